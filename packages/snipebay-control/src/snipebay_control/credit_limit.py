"""What the leader has dealt out of the limit of one workspace.

The argument that this keeps the limit is in :mod:`snipebay_control.credit_board`.
"""

import collections
import math

import attrs

__all__ = ["Holder", "Limit", "QuotaRules"]

# Validity of a part from the sending of the report that it answers.
PART_S = 4.0
# The same of a spare credit from the request for it. It bridges the time between two
# requests at an instance that gets one every few seconds.
SPARE_S = 10.0
# Clocks of two machines may differ by a few milliseconds over that time.
CLOCK_MARGIN_S = 0.05
# Shares of rate and burst that are distributed; the rest stays in the reserve.
PART_SHARE = 0.8
BURST_SHARE = 0.5
RESERVE_SHARE = 0.2
# Time from a grant to the dispatch of the request: the wait for the reply, and an
# eighth of its target latency in the queue.
IN_FLIGHT_S = 0.6
# Time constant of the use of a workspace at an instance.
USE_WINDOW_S = 2.0
# The same for the use that decides whether the instance gets a part. It is longer,
# since a single request must not yield a part that is then left unused.
MEAN_WINDOW_S = 10.0
# The use is replaced at once if so much less was wanted where several were expected, as
# the part is then missing at other instances.
DROP, MIN_EXPECTED = 0.4, 4.0
# Least burst of a limit, besides what is in flight.
MIN_SIZE = 1.2
# Share of what may go beyond a limit that is dealt out. The rest covers requests that
# wait for a slot longer than the credit in flight counts.
EXTRA_SHARE = 0.8
# Room that the reserve keeps: this many credits, and what it yields in this time. With
# less, the credit in flight holds back further grants.
MIN_RESERVE = 2.0
RESERVE_ROOM_S = 1.5 * IN_FLIGHT_S
# An instance with less use, or that would get a smaller part, asks for each request.
MIN_USE_PER_S = 0.5
# Smallest burst of a part. With a burst of 1, a part of 1.4 requests per second lost an
# eighth of its credit while 10 arrived per second.
MIN_BURST = 2.0
# Largest part in relation to the use. What is above it stays in the reserve, where any
# instance finds it at once. A bucket of few credits is often full, and what overflows
# is lost for the others, so such a part is smaller than the use.
MAX_GROWTH, SMALL_GROWTH = 1.25, 0.8
SMALL_BURST = 4.0
# Spare credits that one instance may hold of a limit.
MAX_SPARE = 4


@attrs.frozen
class QuotaRules:
    """How strictly the limits of workspaces are kept.

    Attributes:
        window_s: Length of the windows in which requests are counted.
        overage: Share of a limit by which it may be exceeded.
        tolerance: Requests beyond that in each window.
    """

    window_s: float = 5.0
    overage: float = 0.0
    tolerance: float = 0.0

    def budget(self, workspace):
        """Return the rate and burst to distribute for a workspace.

        Most of what may go beyond the limit is added to the burst. A small burst would
        admit no request, or none while another one is in flight, so what it lacks is
        taken from the rate of the window.
        """
        rate, burst = workspace.rate_per_s, workspace.burst
        extra = self.overage * (rate * self.window_s + burst) + self.tolerance
        total = burst + EXTRA_SHARE * extra
        missing = max(0.0, MIN_SIZE + rate * IN_FLIGHT_S - total)
        return max(0.1 * rate, rate - missing / self.window_s), total + missing


@attrs.define
class Holder:
    """Parts of one workspace that an instance may hold.

    Attributes:
        reported_ms: When the instance sent its last report on it.
        use: Requests per second that wanted credit.
        mean: The same over a longer time.
        offers: Triples of end, rate and burst in the order in which they were sent.
        per_s: Largest rate among them.
        burst: Largest burst among them.
    """

    reported_ms: int
    use: float = 0.0
    mean: float = 0.0
    offers: collections.deque = attrs.Factory(collections.deque)
    per_s: float = 0.0
    burst: float = 0.0


@attrs.define
class Spare:
    """Spare credits of one instance.

    Attributes:
        request_id: Request for credit that they were last counted with.
        count: How many it may hold.
        ends_s: When all of them have expired.
    """

    request_id: int
    count: int
    ends_s: float


@attrs.define
class Limit:
    """Distribution of one workspace's limit.

    Attributes:
        rate: Rate that is distributed.
        size: Burst that is distributed.
        holders: :class:`Holder` by instance.
        use: Sum of their use.
        per_s: Sum of the rates of the parts that may be in use.
        burst: Sum of their bursts.
        credit: Credit of the reserve.
        updated_s: Time of that credit.
        in_flight: Pairs of end and count of recent grants.
        granted: Sum of these counts.
        spares: :class:`Spare` by id of the instance.
        spare_count: Sum of their counts.
        next_due_s: When a credit is due that no denied instance was told of.
    """

    rate: float
    size: float
    updated_s: float
    holders: dict = attrs.Factory(dict)
    use: float = 0.0
    per_s: float = 0.0
    burst: float = 0.0
    credit: float = 0.0
    in_flight: collections.deque = attrs.Factory(collections.deque)
    granted: int = 0
    spares: dict = attrs.Factory(dict)
    spare_count: int = 0
    next_due_s: float = 0.0

    def advance(self, settled_s, now_s):
        """Fill the reserve up to a time, in steps between the ends of grants."""
        if self.updated_s < settled_s <= now_s:
            self.advance(settled_s, math.nextafter(settled_s, 0.0))
            self.updated_s = settled_s
        while self.in_flight and self.in_flight[0][0] <= now_s:
            self._fill(settled_s, self.in_flight[0][0])
            self.granted -= self.in_flight.popleft()[1]
        self._fill(settled_s, now_s)

    @property
    def parts_burst(self):
        """Burst that may be distributed; below ``MIN_BURST`` there are no parts."""
        return max(0.0, min(BURST_SHARE * self.size, self.size - self.reserve_room))

    @property
    def reserve_room(self):
        """Credit that is never in parts or spare."""
        room = MIN_RESERVE + RESERVE_SHARE * self.rate * RESERVE_ROOM_S
        return min(self.size, room)

    def is_settled(self, settled_s, now_s):
        """Return True if all that an earlier leader gave away is known or has ended."""
        return now_s >= settled_s or self.size - self.reserve_room < 1.0

    def fill_rate(self, settled_s):
        """Return the rate at which the reserve fills."""
        if self.is_settled(settled_s, self.updated_s):
            return max(0.0, self.rate - self.per_s)
        return RESERVE_SHARE * self.rate

    def _fill(self, settled_s, now_s):
        rate = self.fill_rate(settled_s)
        if self.is_settled(settled_s, self.updated_s):
            room = max(0.0, self.size - self.burst - self.granted - self.spare_count)
        else:
            room = max(0.0, self.reserve_room - self.granted)
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.credit = min(self.credit + elapsed_s * rate, room)
        self.updated_s = max(now_s, self.updated_s)

    def recount(self, holder, now_s):
        """Drop the ended offers of an instance and update the sums."""
        while holder.offers and holder.offers[0][0] <= now_s:
            holder.offers.popleft()
        per_s = burst = 0.0
        for _, offered_per_s, offered_burst in holder.offers:
            per_s = max(per_s, offered_per_s)
            burst = max(burst, offered_burst)
        self.per_s += per_s - holder.per_s
        self.burst += burst - holder.burst
        holder.per_s, holder.burst = per_s, burst

    def count_spare(self, instance_id, request_id, held, ends_s, now_s, returned=0):
        """Count the spare credits that an instance holds, and those it has used.

        Credits that it returns unused go back to the reserve.

        A message that was overtaken by a later one changes nothing.
        """
        known = self.spares.get(instance_id)
        if known is not None and request_id < known.request_id:
            return
        gone = max(0, known.count - held) if known is not None else 0
        returned = min(returned, gone)
        used = gone - returned
        self.credit += returned
        if used:
            self.in_flight.append((now_s + IN_FLIGHT_S, used))
            self.granted += used
        self.spare_count += held - (known.count if known is not None else 0)
        if held:
            self.spares[instance_id] = Spare(request_id, held, ends_s)
        elif known is not None:
            known.count, known.request_id = 0, request_id

    def grant_spare(self, instance_id, request_id, wanted, now_s):
        """Return how many spare credits an instance gets, and count them."""
        known = self.spares.get(instance_id)
        if known is not None and request_id < known.request_id:
            return 0
        held = known.count if known is not None else 0
        taken = self.burst + self.granted + self.spare_count + self.reserve_room
        free = min(self.size - taken, self.credit - MIN_RESERVE)
        count = min(wanted, MAX_SPARE - held, int(free))
        if count <= 0:
            return 0
        ends_s = now_s + SPARE_S + CLOCK_MARGIN_S
        self.spares[instance_id] = Spare(request_id, held + count, ends_s)
        self.spare_count += count
        self.credit -= count
        return count

    def expire_spares(self, now_s):
        """Forget the spare credits that have expired."""
        for instance_id in [i for i, s in self.spares.items() if s.ends_s <= now_s]:
            self.spare_count -= self.spares.pop(instance_id).count

    def record_use(self, holder, wanted, elapsed_s):
        """Update the use at an instance from what it reports."""
        expected = holder.use * elapsed_s
        has_dropped = expected >= MIN_EXPECTED and wanted < DROP * expected
        weight = 1.0 if has_dropped else -math.expm1(-elapsed_s / USE_WINDOW_S)
        change = weight * (wanted / elapsed_s - holder.use)
        holder.use += change
        self.use += change
        weight = -math.expm1(-elapsed_s / MEAN_WINDOW_S)
        holder.mean += weight * (wanted / elapsed_s - holder.mean)

    def target(self, holder):
        """Return the rate and burst that an instance should hold, by its use."""
        if holder.mean < MIN_USE_PER_S:
            return 0.0, 0.0
        share = holder.use / max(self.use, holder.use)
        count, burst = len(self.holders), self.parts_burst
        if MIN_BURST * count <= burst:
            wanted_burst = MIN_BURST + (burst - MIN_BURST * count) * share
        else:
            # There isn't enough for all; the instances with the most use get a part.
            if holder.use < 0.5 * self.use / count:
                return 0.0, 0.0
            wanted_burst = max(MIN_BURST, burst * share)
        growth = MAX_GROWTH if wanted_burst >= SMALL_BURST else SMALL_GROWTH
        per_s = min(PART_SHARE * self.rate * share, growth * holder.use)
        return per_s, wanted_burst

    def offer(self, holder):
        """Return the part for an instance, which grows only by what is free."""
        per_s, burst = self.target(holder)
        free_per_s = max(0.0, PART_SHARE * self.rate - self.per_s)
        per_s = min(per_s, holder.per_s + free_per_s)
        reserve_per_s = self.rate - self.per_s - max(0.0, per_s - holder.per_s)
        room = MIN_RESERVE + reserve_per_s * RESERVE_ROOM_S
        given = self.spare_count + max(self.granted, room)
        largest = min(self.parts_burst, self.size - given)
        burst = min(burst, holder.burst + max(0.0, largest - self.burst))
        # A part given and taken back in turns would be left unused while it changes.
        least_per_s = MIN_USE_PER_S / 2 if holder.per_s else MIN_USE_PER_S
        is_useful = per_s >= least_per_s and burst >= MIN_BURST
        return (per_s, burst) if is_useful else (0.0, 0.0)
