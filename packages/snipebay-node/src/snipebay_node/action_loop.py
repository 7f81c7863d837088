"""Carries out what the pure cores of one process decide, until nothing is left."""

from snipebay_control.core import RAFT_MESSAGES
from snipebay_model import messages

from snipebay_node.storage import StorageError

__all__ = ["CONTROL_MESSAGES", "SIGNED_MESSAGES", "ActionLoop"]

# Between control instances, which sign with the incarnation of their disk.
SIGNED_MESSAGES = (*RAFT_MESSAGES, messages.Hello)
CONTROL_MESSAGES = (
    *SIGNED_MESSAGES,
    messages.CommandRequest,
    messages.Renew,
    messages.StatusRequest,
)


class ActionLoop:
    """Base of a node: its messages, its control core, and messages to itself.

    A subclass has the attributes ``control``, ``storage``, ``metrics``, ``changes``
    and ``clock``, and the methods below that raise ``NotImplementedError``.
    """

    def __init__(self):
        super().__init__()
        self._local = []
        self._is_running_actions = False

    def send(self, target, body):
        """Send a message to an instance."""
        raise NotImplementedError

    def run_actions(self):
        """Carry out what the cores decided until there is nothing left."""
        if self._is_running_actions:
            return
        self._is_running_actions = True
        try:
            busy = True
            while busy:
                busy = self._work_control() | self._work_clients() | self._work_local()
        finally:
            self._is_running_actions = False

    def _handle(self, sender, body):
        """Hand a message to the core that it is for."""
        raise NotImplementedError

    def _work_clients(self):
        """Return True after carrying out actions of the other cores."""
        raise NotImplementedError

    def _own_id(self):
        """Return the id by which other instances know this one."""
        raise NotImplementedError

    def _end_control(self, exc):
        """Take the control core out, whose work could not be synced."""
        raise NotImplementedError

    def _on_message(self, sender, body):
        self._handle(sender, body)
        self.run_actions()

    def _work_local(self):
        """Deliver messages between our own roles."""
        bodies, self._local = self._local, []
        for body in bodies:
            self._handle(self._own_id(), body)
        return bool(bodies)

    def _work_control(self):
        if self.control is None:
            return False
        worked = False
        while not (ready := self.control.pop_ready()).is_empty:
            worked = True
            begun_s = self.clock()
            try:
                self.storage.save(ready)
            except StorageError as exc:
                # What can't be synced must not be told.
                self._end_control(exc)
                return False
            if ready.needs_sync:
                self.metrics.syncs.observe(self.clock() - begun_s)
            self.control.complete_ready(ready)
        commit_times, changes = self.control.telemetry.pop_all()
        for elapsed_s in commit_times:
            self.metrics.commits.observe(elapsed_s)
        for event, subject in changes:
            self.changes.record(self.clock(), event, subject)
        for target, body in self.control.pop_messages():
            worked = True
            self.send(target, body)
        return worked
