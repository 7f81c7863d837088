"""Decides which request bodies a process may hold in memory at a time."""

import collections

import attrs

__all__ = ["REJECTION_REASONS", "BodyBudget", "Claim", "capacity_of"]

MB = 1_000_000
# What a process needs itself: an entry process takes 35 to 47 MB, a control process 35
# to 60 MB and up to 50 MB more while it parses a configuration, beside the weight of
# its body.
ENTRY_RESERVE_MB, CONTROL_RESERVE_MB = 56, 110
MIN_CAPACITY_SHARE = 1 / 8
REJECTION_REASONS = ("no_room", "blocked", "stalled", "too_large", "not_read")
# Size classes. Bodies of one class are admitted in the order of their arrival, so that
# small ones never wait behind large ones.
SMALL, MEDIUM, LARGE = range(3)
MAX_SMALL_BYTES, MAX_MEDIUM_BYTES = 64 * 1024, 1024 * 1024
# Large bodies leave the rest to the others. The share lets one body of 64 MiB pass on
# the smallest machines (152 MB).
LARGE_SHARE = 0.8
# Medium bodies take at most this share while large ones wait, and never the last part.
MEDIUM_SHARE, SMALL_ONLY_SHARE = 0.125, 0.0625
# Small bodies that stall are left alone below this share.
SMALL_STALL_SHARE = 0.1
# Reserved at first for a body without a length.
FIRST_BYTES = 16 * 1024
# While others wait, a body must progress by one step within this time.
STALL_S = 1.0
MIN_STEP_BYTES, STEPS = 1024, 64
# Bodies without a length that block each other are resolved after this time.
BLOCKED_S = 0.5
# Maximum time for which a body waits for room to grow.
GROWTH_WAIT_S = 2.0


@attrs.define(eq=False)
class Claim:
    """The room that one body takes or waits for.

    Attributes:
        owner: Receives the body, see ``BodyIntake``.
        weight: Bytes reserved for each byte of the body.
        length: Announced length, None without one.
        opened_s: Arrival of the head.
        expires_s: When a wait ends at the latest.
        progress_s: Time of the last step of progress.
        reserved: Bytes reserved.
        wanted: Bytes that are to be reserved in all.
        is_waiting: True until the wanted bytes are reserved.
        received: Bytes received.
        is_complete: True once the body is complete.
        is_released: True once it takes no room any more.
    """

    owner: object
    weight: int
    length: int | None
    opened_s: float
    expires_s: float
    progress_s: float
    reserved: int = 0
    wanted: int = 0
    received: int = 0
    is_waiting: bool = False
    is_complete: bool = False
    is_released: bool = False
    _step_end: int = 0

    @property
    def room_left(self):
        """Number of body bytes that may still arrive within the reservation."""
        return self.reserved // self.weight - self.received

    def record(self, count, now_s):
        """Record bytes received."""
        self.received += count
        if self.received >= self._step_end:
            size = self.length or self.received
            self._step_end = self.received + max(MIN_STEP_BYTES, size // STEPS)
            self.progress_s = now_s


class BodyBudget:
    """Limit on the bytes that a process holds for others.

    Bodies with a length reserve it when their head arrives, others as they grow.
    Bytes of responses count too, but are not subject to admission: their producers
    slow down, see :attr:`buffer_share`.

    Args:
        capacity_bytes: The limit, infinite by default.

    Attributes:
        other_bytes: Bytes held for anything but request bodies.
        rejected: Number of bodies rejected, by reason.
    """

    def __init__(self, capacity_bytes=float("inf")):
        self.capacity_bytes = capacity_bytes
        self.other_bytes = self._unrelayed = 0
        self.rejected = collections.Counter()
        self._used = [0, 0, 0]
        self._waiting = ({}, {}, {})
        self._blocked = {}
        self._receiving = {}

    @property
    def held_bytes(self):
        """Bytes held at present."""
        return sum(self._used) + self.other_bytes

    @property
    def free_bytes(self):
        return self.capacity_bytes - self.held_bytes

    @property
    def max_body_bytes(self):
        """Size of the largest body that can be admitted at all."""
        return LARGE_SHARE * self.capacity_bytes

    @property
    def waiting_count(self):
        return sum(map(len, self._waiting)) + len(self._blocked)

    @property
    def buffer_share(self):
        """Share of the usual send buffers that is allowed now, from 0 to 1."""
        free_share = 1.0 - self.held_bytes / self.capacity_bytes
        return min(1.0, max(0.0, 2.0 * free_share))

    def hold(self, count):
        """Count bytes held for others, or fewer of them if negative."""
        self.other_bytes += count

    def note_unrelayed(self, count):
        """Count responses that are not relayed yet, in place of the last count."""
        self.other_bytes += count - self._unrelayed
        self._unrelayed = count

    # --- bodies -----------------------------------------------------------

    def open(self, owner, length, arrived, now_s, wait_s, weight=1):
        """Return the claim of a body whose head has arrived.

        Args:
            owner: Receives it, see ``BodyIntake``.
            length: Its length, or None.
            arrived: Bytes of it that are in memory already.
            now_s: Present time.
            wait_s: How long it may wait for room.
            weight: Bytes to reserve for each of its bytes.
        """
        wanted = weight * (FIRST_BYTES if length is None else length)
        claim = Claim(
            owner, weight, length, now_s, now_s + wait_s, now_s, wanted=wanted
        )
        queue = self._waiting[_class_of(wanted)]
        if not queue and self._fits(claim):
            self._admit(claim)
        else:
            self._reserve(claim, min(arrived, wanted))
            claim.is_waiting = True
            queue[claim] = None
        return claim

    def grow(self, claim, size, now_s):
        """Reserve more for a body without a length; return False if it has to wait."""
        claim.wanted = max(claim.reserved, claim.weight * size)
        if self._fits(claim):
            self._reserve(claim, claim.wanted)
            return True
        claim.is_waiting = True
        claim.expires_s = now_s + GROWTH_WAIT_S
        self._blocked[claim] = now_s
        return False

    def complete(self, claim):
        """Note that a body is complete; it is held until its release."""
        claim.is_complete = True
        self._receiving.pop(claim, None)
        claim.wanted = claim.weight * claim.received
        self._reserve(claim, claim.wanted)

    def release(self, claim):
        """Free the room of a body, wherever it is in its life."""
        if claim.is_released:
            return
        claim.is_released = True
        self._receiving.pop(claim, None)
        self._blocked.pop(claim, None)
        for queue in self._waiting:
            queue.pop(claim, None)
        self._used[_class_of(claim.reserved)] -= claim.reserved

    # --- decisions --------------------------------------------------------

    def admit(self, now_s):
        """Return the waiting claims that have room now, which is reserved."""
        admitted = []
        for claim in sorted(self._blocked, key=lambda claim: claim.opened_s):
            if self._fits(claim):
                del self._blocked[claim]
                claim.is_waiting = False
                self._reserve(claim, claim.wanted)
                claim.progress_s = now_s
                admitted.append(claim)
        for queue in self._waiting:
            while queue and self._fits(claim := next(iter(queue))):
                del queue[claim]
                self._admit(claim)
                claim.progress_s = now_s
                admitted.append(claim)
        return admitted

    def overdue(self, now_s):
        """Return the claims that have to end now, with the reason for each.

        The reasons are ``no_room``, ``blocked`` and ``stalled``.
        """
        if not self.waiting_count:
            return []
        rows = [
            (claim, "no_room")
            for queue in self._waiting
            for claim in queue
            if now_s >= claim.expires_s
        ]
        rows += [(c, "stalled") for c in self._receiving if self.is_stalled(c, now_s)]
        rows += [(c, "blocked") for c in self._blocked if now_s >= c.expires_s]
        if len(self._blocked) > 1 and now_s - min(self._blocked.values()) > BLOCKED_S:
            youngest = max(self._blocked, key=lambda claim: claim.opened_s)
            if (youngest, "blocked") not in rows:
                rows.append((youngest, "blocked"))
        return rows

    def is_stalled(self, claim, now_s):
        """Return True for an incomplete body that has made no progress.

        Small ones only count while they take much room together: the end of a few
        would not help those that wait.
        """
        is_sending = claim in self._receiving and not claim.is_waiting
        if not is_sending or now_s - claim.progress_s < STALL_S:
            return False
        limit = SMALL_STALL_SHARE * self.capacity_bytes
        return _class_of(claim.reserved) != SMALL or self._used[SMALL] > limit

    # --- shared -----------------------------------------------------------

    def _admit(self, claim):
        claim.is_waiting = False
        self._reserve(claim, claim.wanted)
        self._receiving[claim] = None

    def _reserve(self, claim, size):
        self._used[_class_of(claim.reserved)] -= claim.reserved
        self._used[_class_of(size)] += size
        claim.reserved = size

    def _fits(self, claim):
        """Return True if there is room for all that a claim wants."""
        size, extra, free = claim.wanted, claim.wanted - claim.reserved, self.free_bytes
        size_class = _class_of(size)
        if size_class == SMALL or extra > free:
            return extra <= free
        used = self._used[size_class] + size
        if _class_of(claim.reserved) == size_class:
            used -= claim.reserved
        if size_class == LARGE:
            return used <= LARGE_SHARE * self.capacity_bytes
        if extra > free - SMALL_ONLY_SHARE * self.capacity_bytes:
            return False
        return not self._is_large_waiting or used <= MEDIUM_SHARE * self.capacity_bytes

    @property
    def _is_large_waiting(self):
        if self._waiting[LARGE]:
            return True
        return any(_class_of(claim.wanted) == LARGE for claim in self._blocked)


def capacity_of(memory_mb, is_control):
    """Return the budget in bytes of a process with a memory limit."""
    reserve_mb = CONTROL_RESERVE_MB if is_control else ENTRY_RESERVE_MB
    return MB * max(memory_mb - reserve_mb, MIN_CAPACITY_SHARE * memory_mb)


def _class_of(size):
    if size <= MAX_SMALL_BYTES:
        return SMALL
    return MEDIUM if size <= MAX_MEDIUM_BYTES else LARGE
