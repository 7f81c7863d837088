"""Deterministic fakes of clock, network and disk that drive the I/O-free cores."""

import heapq
import itertools

import attrs
from snipebay_control.raft_log import PersistentState, RaftLog
from snipebay_model.codec import Envelope, decode, encode
from snipebay_model.node_names import instance_id_of

__all__ = ["FakeDisk", "FakeNetwork", "Scheduler"]


class Scheduler:
    """Runs callbacks in order of virtual time; equal times run in insertion order."""

    def __init__(self):
        self.now_s = 0.0
        self._heap = []
        self._order = itertools.count()

    def after(self, delay_s, callback, *args):
        """Schedule ``callback(*args)`` to run after a delay."""
        due_s = self.now_s + delay_s
        heapq.heappush(self._heap, (due_s, next(self._order), callback, args))

    def run_until(self, end_s):
        """Run all callbacks due by ``end_s`` and advance the clock to it."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self.now_s = end_s

    def run_for(self, seconds):
        """Run all callbacks due within the next ``seconds``."""
        self.run_until(self.now_s + seconds)

    def wait_for(self, condition, limit_s, step_s=0.05):
        """Run until a condition holds; return the seconds it took.

        Args:
            condition: Function without arguments, checked before each step.
            limit_s: Time after which to stop waiting and return None.
            step_s: Virtual time between two checks.
        """
        start_s = self.now_s
        while self.now_s - start_s < limit_s:
            if condition():
                return self.now_s - start_s
            self.run_for(step_s)
        return None


@attrs.define
class FakeNetwork:
    """Delivers messages with delay, loss, duplication and partitions.

    Attributes:
        scheduler: Virtual clock and callback queue.
        rng: Random generator for jitter, loss and duplication.
        receivers: Callbacks that take sender and body, by node or instance id.
        delay_s: Function of two instance ids that returns the one-way delay.
        jitter: Upper bound of the random extra delay, as a fraction of the delay.
        loss: Probability that a copy of a message is dropped.
        duplicate: Probability that a message is sent twice.
        blocked_pairs: Pairs of source and target id whose messages are dropped.
        sent: Number of messages sent, by message class.
        sent_bytes: Encoded bytes sent, by message class.
    """

    scheduler: Scheduler
    rng: object
    receivers: dict = attrs.Factory(dict)
    delay_s: object = lambda source, target: 0.004
    jitter: float = 0.5
    loss: float = 0.0
    duplicate: float = 0.0
    blocked_pairs: set = attrs.Factory(set)
    sent: dict = attrs.Factory(dict)
    sent_bytes: dict = attrs.Factory(dict)

    def send(self, source, target, body):
        """Send a message between two nodes.

        Both ids may carry an incarnation (``id#incarnation``). Partitions and
        delays apply to the instance ids alone.
        """
        frame = encode(Envelope(source, body))
        kind = type(body).__name__
        self.sent[kind] = self.sent.get(kind, 0) + 1
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + len(frame)
        copies = 2 if self.rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            pair = (instance_id_of(source), instance_id_of(target))
            delay_s = self.delay_s(*pair) * (1 + self.jitter * self.rng.random())
            self.scheduler.after(delay_s, self._deliver, pair, target, frame)

    def partition(self, node, others, *, inward=True, outward=True):
        """Drop the messages between a node and others, also those in flight.

        Args:
            node: Id of the instance to partition.
            others: Ids of the instances on the other side.
            inward: Drop messages to ``node``.
            outward: Drop messages from ``node``.
        """
        for other in others:
            if other != node:
                self.blocked_pairs |= {(other, node)} if inward else set()
                self.blocked_pairs |= {(node, other)} if outward else set()

    def heal(self):
        """Remove all partitions."""
        self.blocked_pairs.clear()

    def _deliver(self, pair, target, frame):
        if pair in self.blocked_pairs:
            return
        receiver = self.receivers.get(target) or self.receivers.get(
            instance_id_of(target)
        )
        if receiver is not None:
            envelope = decode(frame)
            receiver(envelope.sender, envelope.body)


@attrs.define
class FakeDisk:
    """Persistent state of a control instance; only synced data survives a crash.

    Attributes:
        hard_state: Last saved Raft hard state.
        log: Raft log with its snapshot.
        sync_count: Number of saves that needed a sync.
    """

    hard_state: object = PersistentState().hard_state
    log: RaftLog = attrs.Factory(RaftLog)
    sync_count: int = 0

    def save(self, ready):
        """Store and sync one batch of Raft output."""
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        if ready.snapshot is not None:
            self.log.reset(ready.snapshot)
        self.log.append(ready.entries)
        if ready.compacted is not None:
            self.log.compact(ready.compacted)
        self.sync_count += ready.needs_sync

    def load(self):
        """Return the state that a restarted process reads."""
        return PersistentState(
            self.hard_state, self.log.snapshot, tuple(self.log.entries)
        )
