"""Seeded fakes of time, network and disk for driving the pure cores."""

import heapq
import itertools

import attrs
from snipebay_control.raft_log import PersistentState, RaftLog
from snipebay_model.codec import Envelope, decode, encode

__all__ = ["FakeDisk", "FakeNetwork", "Scheduler"]


class Scheduler:
    """Runs callbacks in the order of virtual time."""

    def __init__(self):
        self.now_s = 0.0
        self._heap = []
        self._order = itertools.count()

    def after(self, delay_s, callback, *args):
        """Run ``callback`` with ``args`` after a delay."""
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), callback, args))

    def run_until(self, end_s):
        """Run everything due up to a time."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self.now_s = end_s

    def run_for(self, seconds):
        """Run everything due within a time from now."""
        self.run_until(self.now_s + seconds)

    def wait_for(self, condition, limit_s, step_s=0.05):
        """Return the seconds until a condition holds, or None at the limit."""
        start_s = self.now_s
        while self.now_s - start_s < limit_s:
            if condition():
                return self.now_s - start_s
            self.run_for(step_s)
        return None


@attrs.define
class FakeNetwork:
    """Carries messages with delay, loss, duplicates and cuts.

    Attributes:
        scheduler: Source of time.
        rng: Source of chance.
        receivers: Function of sender and body, by node or instance id.
        delay_s: Function of two ids giving the one-way delay.
        jitter: Greatest further delay as a share of the delay.
        loss: Share of messages lost.
        duplicate: Share of messages that arrive twice.
        cut: Pairs of ids between which messages vanish, one way.
        sent: Messages sent, by kind.
        sent_bytes: Bytes sent, by kind.
    """

    scheduler: Scheduler
    rng: object
    receivers: dict = attrs.Factory(dict)
    delay_s: object = lambda source, target: 0.004
    jitter: float = 0.5
    loss: float = 0.0
    duplicate: float = 0.0
    cut: set = attrs.Factory(set)
    sent: dict = attrs.Factory(dict)
    sent_bytes: dict = attrs.Factory(dict)

    def send(self, source, target, body):
        """Send a message; both names may carry an incarnation."""
        frame = encode(Envelope(source, body))
        kind = type(body).__name__
        self.sent[kind] = self.sent.get(kind, 0) + 1
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + len(frame)
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            pair = (_place(source), _place(target))
            delay_s = self.delay_s(*pair) * (1 + self.jitter * self.rng.random())
            self.scheduler.after(delay_s, self._deliver, pair, target, frame)

    def partition(self, node, others, *, inward=True, outward=True):
        """Let messages between a node and others vanish in silence."""
        for other in others:
            if other != node:
                self.cut |= {(other, node)} if inward else set()
                self.cut |= {(node, other)} if outward else set()

    def heal(self):
        """End all cuts."""
        self.cut.clear()

    def _deliver(self, pair, target, frame):
        if pair in self.cut:
            return
        receiver = self.receivers.get(target) or self.receivers.get(_place(target))
        if receiver is not None:
            envelope = decode(frame)
            receiver(envelope.sender, envelope.body)


@attrs.define
class FakeDisk:
    """Keeps what was synced, and only that."""

    hard_state: object = PersistentState().hard_state
    log: RaftLog = attrs.Factory(RaftLog)
    syncs: int = 0

    def save(self, ready):
        """Store and sync the work of one turn."""
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        if ready.snapshot is not None:
            self.log.reset(ready.snapshot)
        self.log.append(ready.entries)
        if ready.compacted is not None:
            self.log.compact(ready.compacted)
        self.syncs += ready.needs_sync

    def load(self):
        """Return what is on the disk."""
        return PersistentState(
            self.hard_state, self.log.snapshot, tuple(self.log.entries)
        )


def _place(node):
    """Return the instance id in a name that may carry an incarnation."""
    return node.partition("#")[0]
