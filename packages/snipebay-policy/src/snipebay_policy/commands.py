"""Sends commands to the control leader and finds it again when it moves."""

import itertools

import attrs
from snipebay_model.codec import encode_body
from snipebay_model.messages import CommandReply, CommandRequest

from snipebay_policy.work import Send

__all__ = ["CommandSystem"]

RESEND_S = 0.5
GIVE_UP_S = 3_600.0
PATIENCE_S = 5.0


@attrs.define
class _Pending:
    """A command without an answer yet."""

    cmd: object
    callback: object
    give_up: object
    sent_s: float
    first_s: float
    is_record: bool
    patience_s: float


class CommandSystem:
    """Commands on their way to control.

    Args:
        ctx: Tables of this entry instance.
        controls: Ids of the control instances.
    """

    def __init__(self, ctx, controls):
        self.ctx = ctx
        self.controls = tuple(controls)
        self.leader = ""
        self.now_s = 0.0
        self._pending = {}
        self._ids = itertools.count(1)
        self._turn = itertools.count()

    def send(self, cmd, callback, give_up=None, patience_s=PATIENCE_S):
        """Send a command, again for a short while until there is an answer.

        Args:
            cmd: The command.
            callback: Function of outcome and time, called at most once.
            give_up: Function of time, called instead when no answer came.
            patience_s: Time after which to give up.
        """
        self._start(cmd, callback, give_up, patience_s, is_record=False)

    def send_until_done(self, cmd):
        """Send a command that must get through, until control has it."""
        self._start(cmd, None, None, GIVE_UP_S, is_record=True)

    def on_reply(self, msg: CommandReply, now_s):
        """Take in an answer."""
        self.now_s = now_s
        if msg.leader:
            self.leader = msg.leader
        pending = self._pending.get(msg.request_id)
        if pending is None:
            return
        if msg.outcome.code == "not-leader":
            if msg.leader == "":
                self.clear_leader()
            pending.sent_s = min(pending.sent_s, now_s - RESEND_S + 0.05)
            return
        del self._pending[msg.request_id]
        if pending.callback is not None:
            pending.callback(msg.outcome, now_s)

    def clear_leader(self):
        """Try another control instance next, as the leader did not answer."""
        self.leader = ""

    def target(self):
        """Return the control instance to send to."""
        if self.leader:
            return self.leader
        return self.controls[next(self._turn) % len(self.controls)]

    def tick(self, now_s):
        """Send again what had no answer."""
        self.now_s = now_s
        for request_id, pending in list(self._pending.items()):
            if now_s - pending.first_s > pending.patience_s:
                del self._pending[request_id]
                if pending.give_up is not None:
                    pending.give_up(now_s)
            elif now_s - pending.sent_s >= RESEND_S:
                pending.sent_s = now_s
                self.clear_leader()
                self._transmit(request_id, pending.cmd)

    @property
    def unrecorded(self):
        """Number of records that control has not confirmed."""
        return sum(pending.is_record for pending in self._pending.values())

    def _start(self, cmd, callback, give_up, patience_s, *, is_record):
        request_id = next(self._ids)
        now_s = self.now_s
        self._pending[request_id] = _Pending(
            cmd, callback, give_up, now_s, now_s, is_record, patience_s
        )
        self._transmit(request_id, cmd)

    def _transmit(self, request_id, cmd):
        kind, data = encode_body(cmd)
        self.ctx.act(Send(self.target(), CommandRequest(request_id, kind, data)))
