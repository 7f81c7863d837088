"""Client for commands and reads that the leader of the control group handles."""

import itertools

import attrs
import msgspec
from snipebay_model import messages
from snipebay_model.messages import WITHDRAWN, Outcome
from snipebay_model.plan import Plan, PlanReading
from snipebay_policy.action_queue import ActionQueue
from snipebay_policy.commands import CommandSystem
from snipebay_policy.work import Send

__all__ = ["ControlClient"]

# Below the 1 s after which a client switches to another control instance.
CALL_TIMEOUT_S = 0.9
READ_RETRY_INTERVAL_S = 0.3
# A version that is in progress is committed within a few round trips.
VERSION_POLL_INTERVAL_S = 0.1
UNAVAILABLE = Outcome(
    "unavailable", detail="control has no leader that a quorum confirms"
)
# Answer of a leader whose build has no workspaces.
UNKNOWN_COMMAND = f"unknown message kind {messages.ApplyWorkspacePlan.__name__!r}"
LEADER_IS_OLDER = Outcome(
    "busy", detail="the leader runs an older build, which can't read workspaces"
)


@attrs.define
class _PendingRead:
    """A read of the plan that is waiting for its reply, or for a newer version.

    Attributes:
        min_version: Version that the plan should have at least.
        newest: Outcome and reading passed on when time runs out.
    """

    done: object
    min_version: int
    started_s: float
    sent_s: float
    interval_s: float = READ_RETRY_INTERVAL_S
    newest: tuple = (UNAVAILABLE, None)


class ControlClient(ActionQueue):
    """Forwards calls to the leader and returns their outcomes.

    It runs on any control instance. Each call takes ``done``, a function of an
    :class:`Outcome`, whose code is ``unavailable`` if the call timed out; it is then
    unknown whether the call took effect.

    Args:
        controls: Ids of the control instances to contact first.
        clock: Function returning the monotonic time in seconds.
    """

    def __init__(self, controls, clock):
        super().__init__()
        self.clock = clock
        self.commands = CommandSystem(self, controls)
        self._pending_reads = {}
        self._read_ids = itertools.count(1)

    # --- calls ------------------------------------------------------------

    def apply_plan(self, plan, base_version, digest, done):
        """Replace the plan if its current version is ``base_version``."""
        if not plan.workspaces:
            self._command(messages.ApplyPlan(digest, base_version, plan), done)
            return

        def finish(outcome):
            is_older = outcome.code == "invalid" and outcome.detail == UNKNOWN_COMMAND
            done(LEADER_IS_OLDER if is_older else outcome)

        self._command(messages.ApplyWorkspacePlan(digest, base_version, plan), finish)

    def evacuate(self, domain, evacuated, done, base_index):
        """Start or end the evacuation of a failure domain.

        No requests are sent to the backend servers of an evacuated domain. The
        outcome is ``outdated`` if the opposite order was given after ``base_index``.
        """
        self._command(messages.Evacuate(domain, evacuated), done, base_index)

    def announce(self, row, done, base_index):
        """Add or update a backend server, or renew its lease.

        The outcome is ``outdated`` if it is not registered and was withdrawn after
        ``base_index``.
        """
        self._command(messages.PutBackend(row), done, base_index)

    def withdraw(self, backend_id, done, base_index, born_ms):
        """Remove a backend server that is shutting down.

        The outcome is ``outdated`` if another incarnation of it was registered after
        ``base_index``, or than the one that started at ``born_ms`` if that is known.
        """
        cmd = messages.RemoveBackend(backend_id, WITHDRAWN, born_ms)
        self._command(cmd, done, base_index)

    def confirm_plan(self, base_version, digest, done):
        """Ask whether a change was accepted whose base version has been replaced.

        The outcome is ``ok`` if it was, otherwise ``conflict``.
        """
        # Versions only increase, so a plan on top of this one is never applied.
        plan = Plan(base_version + 1)
        self._command(messages.ApplyPlan(digest, base_version, plan), done)

    def read_plan(self, done, min_version=0):
        """Read the current plan.

        Args:
            done: Function of the outcome and a PlanReading, or None on failure.
            min_version: Version to wait for while it is in progress. Without it in
                time, the older plan is passed on.
        """
        now_s = self.clock()
        read_id = next(self._read_ids)
        self._pending_reads[read_id] = _PendingRead(done, min_version, now_s, now_s)
        self._send_read(read_id)

    # --- inputs -----------------------------------------------------------

    def set_leader(self, leader, controls):
        """Update the leader and the members of the control group, where known."""
        if leader:
            self.commands.leader = leader
        if controls:
            self.commands.controls = controls

    def receive(self, body, now_s):
        """Handle a reply from a control instance."""
        if isinstance(body, messages.CommandReply):
            self.commands.on_reply(body, now_s)
        elif isinstance(body, messages.StatusReply):
            self._on_read_reply(body)

    def tick(self, now_s):
        """Retry commands and reads without a reply, and time out old ones."""
        self.commands.tick(now_s)
        for read_id, read in list(self._pending_reads.items()):
            if now_s - read.started_s > CALL_TIMEOUT_S:
                del self._pending_reads[read_id]
                read.done(*read.newest)
            elif now_s - read.sent_s > read.interval_s:
                read.sent_s, read.interval_s = now_s, READ_RETRY_INTERVAL_S
                # What an earlier reply said may have changed since.
                read.newest = UNAVAILABLE, None
                self._send_read(read_id)

    # --- helpers ----------------------------------------------------------

    def _command(self, cmd, done, base_index=-1):
        self.commands.now_s = self.clock()
        self.commands.send(
            cmd,
            lambda outcome, at_s: done(outcome),
            lambda at_s: done(UNAVAILABLE),
            CALL_TIMEOUT_S,
            base_index,
        )

    def _send_read(self, read_id):
        request = messages.StatusRequest(read_id, "plan")
        self.queue_action(Send(self.commands.target(), request))

    def _on_read_reply(self, msg):
        if msg.leader:
            self.commands.leader = msg.leader
        read = self._pending_reads.get(msg.request_id)
        if read is None or msg.outcome.code != "ok":
            return
        reading = msgspec.msgpack.decode(msg.data, type=PlanReading)
        if reading.version < read.min_version:
            read.newest = msg.outcome, reading
            read.interval_s = VERSION_POLL_INTERVAL_S
            return
        del self._pending_reads[msg.request_id]
        read.done(msg.outcome, reading)
