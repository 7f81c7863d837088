"""Sends commands to the control leader and follows changes of leadership."""

import itertools
import math

import attrs
from snipebay_model.codec import encode_body
from snipebay_model.messages import CommandReply, CommandRequest
from snipebay_model.node_names import instance_id_of

from snipebay_policy.work import Send

__all__ = ["CommandSystem"]

RETRY_INTERVAL_S = 0.5
CONFIRM_TIMEOUT_S = 3_600.0
DEFAULT_TIMEOUT_S = 5.0


@attrs.define
class _Pending:
    """A command that control has not replied to yet."""

    cmd: object
    callback: object
    on_timeout: object
    sent_s: float
    created_s: float
    must_confirm: bool
    timeout_s: float
    base_index: int


class CommandSystem:
    """Commands sent to control and not yet confirmed.

    Args:
        ctx: Shared state of this entry instance.
        controls: Ids of the control instances.

    Attributes:
        leader: Id of the leader, empty while it is unknown.
        leader_heard_s: When a control instance last named itself as a new leader.
    """

    def __init__(self, ctx, controls):
        self.ctx = ctx
        self.controls = tuple(controls)
        self.leader = ""
        self.leader_heard_s = -math.inf
        self.now_s = 0.0
        self._pending = {}
        self._ids = itertools.count(1)
        self._round_robin = itertools.count()

    def send(
        self,
        cmd,
        callback,
        on_timeout=None,
        timeout_s=DEFAULT_TIMEOUT_S,
        base_index=-1,
    ):
        """Send a command, and retry it until control replies or it times out.

        Args:
            cmd: The command.
            callback: Function of outcome and time, called at most once.
            on_timeout: Function of time, called instead if no reply came in time.
            timeout_s: Time after which the command is abandoned.
            base_index: Base of an order, see :class:`CommandRequest`.
        """
        self._enqueue(
            cmd,
            callback,
            on_timeout,
            timeout_s,
            must_confirm=False,
            base_index=base_index,
        )

    def send_until_confirmed(self, cmd):
        """Send a command that must not be lost, retrying until control confirms it.

        It is dropped only after ``CONFIRM_TIMEOUT_S``.
        """
        self._enqueue(cmd, None, None, CONFIRM_TIMEOUT_S, must_confirm=True)

    def on_reply(self, msg: CommandReply, now_s):
        """Process control's reply to a command."""
        self.now_s = now_s
        if msg.leader:
            self.leader = msg.leader
        pending = self._pending.get(msg.request_id)
        if pending is None:
            return
        if msg.outcome.code == "not-leader":
            if msg.leader == "":
                self.clear_leader()
            # Retry after 0.05 s instead of the full interval.
            pending.sent_s = min(pending.sent_s, now_s - RETRY_INTERVAL_S + 0.05)
            return
        del self._pending[msg.request_id]
        if pending.callback is not None:
            pending.callback(msg.outcome, now_s)

    def record_leader(self, leader, sender, now_s):
        """Record which leader a control instance names, empty for none.

        Args:
            leader: Id of the leader.
            sender: Id or node name of the control instance.
            now_s: Time.
        """
        if not leader:
            return
        # One that has lost its quorum goes on naming itself for a while.
        if leader != self.leader and instance_id_of(sender) == leader:
            self.leader_heard_s = now_s
        self.leader = leader

    def clear_leader(self):
        """Clear the known leader, so that control instances are tried in turn."""
        self.leader = ""

    def target(self):
        """Return the id of the control instance to send to."""
        if self.leader:
            return self.leader
        return self.controls[next(self._round_robin) % len(self.controls)]

    def targets(self, count):
        """Return the leader's id or, while it is unknown, those of some instances.

        Args:
            count: Largest number of ids; successive calls return all in turn.
        """
        if self.leader:
            return (self.leader,)
        return tuple({self.target(): None for _ in range(count)})

    def tick(self, now_s):
        """Retry commands without a reply, and abandon those that have timed out."""
        self.now_s = now_s
        for request_id, pending in list(self._pending.items()):
            if now_s - pending.created_s > pending.timeout_s:
                del self._pending[request_id]
                if pending.on_timeout is not None:
                    pending.on_timeout(now_s)
            elif now_s - pending.sent_s >= RETRY_INTERVAL_S:
                pending.sent_s = now_s
                self.clear_leader()
                self._transmit(request_id, pending)

    @property
    def unconfirmed_count(self):
        """Number of commands sent until confirmed that control has not confirmed."""
        return sum(pending.must_confirm for pending in self._pending.values())

    def _enqueue(
        self, cmd, callback, on_timeout, timeout_s, *, must_confirm, base_index=-1
    ):
        request_id = next(self._ids)
        now_s = self.now_s
        pending = self._pending[request_id] = _Pending(
            cmd, callback, on_timeout, now_s, now_s, must_confirm, timeout_s, base_index
        )
        self._transmit(request_id, pending)

    def _transmit(self, request_id, pending):
        kind, data = encode_body(pending.cmd)
        request = CommandRequest(request_id, kind, data, pending.base_index)
        self.ctx.queue_action(Send(self.target(), request))
