"""What operators and backend servers ask of control, at any control instance."""

import itertools

import attrs
import msgspec
from snipebay_model import messages
from snipebay_model.messages import WITHDRAWN, Outcome
from snipebay_model.plan import PlanReading
from snipebay_policy.action_queue import ActionQueue
from snipebay_policy.commands import CommandSystem
from snipebay_policy.work import Send

__all__ = ["ControlClient"]

# Callers of a control instance turn to another one after a second.
PATIENCE_S = 0.9
READ_RESEND_S = 0.3
UNAVAILABLE = Outcome(
    "unavailable", detail="control has no leader that a quorum confirms"
)


@attrs.define
class _Read:
    """A read of the plan that waits for an answer."""

    done: object
    first_s: float
    sent_s: float


class ControlClient(ActionQueue):
    """Passes calls on to the leader, and their outcomes back.

    Each call takes ``done``, a function of an :class:`Outcome`, whose code is
    ``unavailable`` when nothing is known of what became of the call.

    Args:
        controls: Ids of the control instances to ask first.
        clock: Function returning the steady time in seconds.
    """

    def __init__(self, controls, clock):
        super().__init__()
        self.clock = clock
        self.commands = CommandSystem(self, controls)
        self._reads = {}
        self._ids = itertools.count(1)

    # --- calls ------------------------------------------------------------

    def apply_plan(self, plan, base_version, digest, done):
        """Replace the plan if it still is at a version."""
        self._command(messages.ApplyPlan(digest, base_version, plan), done)

    def evacuate(self, domain, evacuated, done):
        """Keep requests from the backend servers of a failure domain, or end that."""
        self._command(messages.Evacuate(domain, evacuated), done)

    def announce(self, row, done):
        """Add, change or renew a backend server."""
        self._command(messages.PutBackend(row), done)

    def withdraw(self, backend_id, done):
        """Take out a backend server that ends."""
        self._command(messages.RemoveBackend(backend_id, WITHDRAWN), done)

    def read_plan(self, done):
        """Read the newest plan; ``done`` takes outcome and PlanReading or None."""
        now_s = self.clock()
        read_id = next(self._ids)
        self._reads[read_id] = _Read(done, now_s, now_s)
        self._ask(read_id)

    # --- inputs -----------------------------------------------------------

    def lead_by(self, leader, controls):
        """Take in who leads, and which control instances there are."""
        if leader:
            self.commands.leader = leader
        if controls:
            self.commands.controls = controls

    def receive(self, body, now_s):
        """Take in an answer of control."""
        if isinstance(body, messages.CommandReply):
            self.commands.on_reply(body, now_s)
        elif isinstance(body, messages.StatusReply):
            self._on_read(body)

    def tick(self, now_s):
        """Ask again, and give up on what waits too long."""
        self.commands.tick(now_s)
        for read_id, read in list(self._reads.items()):
            if now_s - read.first_s > PATIENCE_S:
                del self._reads[read_id]
                read.done(UNAVAILABLE, None)
            elif now_s - read.sent_s > READ_RESEND_S:
                read.sent_s = now_s
                self._ask(read_id)

    # --- helpers ----------------------------------------------------------

    def _command(self, cmd, done):
        self.commands.now_s = self.clock()
        self.commands.send(
            cmd,
            lambda outcome, at_s: done(outcome),
            lambda at_s: done(UNAVAILABLE),
            PATIENCE_S,
        )

    def _ask(self, read_id):
        request = messages.StatusRequest(read_id, "plan")
        self.act(Send(self.commands.target(), request))

    def _on_read(self, msg):
        if msg.leader:
            self.commands.leader = msg.leader
        read = self._reads.get(msg.request_id)
        if read is None or msg.outcome.code != "ok":
            return
        del self._reads[msg.request_id]
        reading = msgspec.msgpack.decode(msg.data, type=PlanReading)
        read.done(msg.outcome, reading)
