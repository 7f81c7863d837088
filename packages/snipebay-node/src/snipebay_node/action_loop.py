"""Executes the actions of the protocol cores of one process."""

import structlog
from circuits import handler
from snipebay_control.core import RAFT_MESSAGES
from snipebay_model import messages

from snipebay_node.storage import StorageError

__all__ = ["CONTROL_MESSAGES", "CONTROL_PEER_MESSAGES", "ActionLoop"]

# Exchanged between control instances. Their sender is a node name, which includes
# the incarnation of the data folder.
CONTROL_PEER_MESSAGES = (*RAFT_MESSAGES, messages.Hello)
CONTROL_MESSAGES = (
    *CONTROL_PEER_MESSAGES,
    messages.CommandRequest,
    messages.CreditRequest,
    messages.Renew,
    messages.StatusRequest,
)

log = structlog.get_logger(__name__)


class ActionLoop:
    """Base class of a node: runs its cores and delivers messages to itself.

    A subclass must have the attributes ``control``, ``storage``, ``metrics``,
    ``changes`` and ``clock``, and implement the methods that raise
    ``NotImplementedError``.
    """

    def __init__(self):
        super().__init__()
        self._local_messages = []
        self._is_running_actions = False

    def send(self, target, body):
        """Send a message to an instance."""
        raise NotImplementedError

    def run_actions(self):
        """Execute the pending actions of all cores until none is left."""
        if self._is_running_actions:
            return
        self._is_running_actions = True
        try:
            has_actions = True
            while has_actions:
                has_actions = (
                    self._run_control_actions()
                    | self._run_client_actions()
                    | self._deliver_local_messages()
                )
        finally:
            self._is_running_actions = False

    def _handle(self, sender, body):
        """Pass a message to the core that handles it."""
        raise NotImplementedError

    def _run_client_actions(self):
        """Execute pending actions of the cores other than control.

        Returns:
            True if there were any.
        """
        raise NotImplementedError

    def _own_id(self):
        """Return the id by which other instances know this one."""
        raise NotImplementedError

    def _disable_control(self, exc):
        """Disable the control role after a failure of its storage."""
        raise NotImplementedError

    @handler("exception", channel="*")
    def _on_exception(self, kind, exc, trace, handler=None, fevent=None):
        log.error(
            "unhandled exception in an event handler",
            error=repr(exc),
            trace="".join(trace),
        )

    def _on_message(self, sender, body):
        self._handle(sender, body)
        self.run_actions()

    def _deliver_local_messages(self):
        """Deliver messages between the roles of this instance."""
        bodies, self._local_messages = self._local_messages, []
        for body in bodies:
            self._handle(self._own_id(), body)
        return bool(bodies)

    def _run_control_actions(self):
        if self.control is None:
            return False
        had_actions = False
        while not (ready := self.control.pop_ready()).is_empty:
            had_actions = True
            started_s = self.clock()
            try:
                self.storage.save(ready)
            except StorageError as exc:
                # Messages that depend on unsynced state must not be sent.
                self._disable_control(exc)
                return False
            if ready.needs_sync:
                self.metrics.syncs.observe(self.clock() - started_s)
            self.control.complete_ready(ready)
        commit_times, changes = self.control.telemetry.pop_all()
        for elapsed_s in commit_times:
            self.metrics.commits.observe(elapsed_s)
        for event, subject in changes:
            self.changes.record(self.clock(), event, subject)
        # A folded line would hide which of several orders took effect.
        for event, fields in self.control.telemetry.pop_orders():
            log.info(event, **fields)
        for target, body in self.control.pop_messages():
            had_actions = True
            self.send(target, body)
        return had_actions
