"""Distribution of the limits of workspaces to entry instances, kept by the leader.

Safety. Let R be the rate and S the burst that are distributed for a workspace. At any
time the leader keeps the sum of the parts that may be in use, plus its own reserve,
within R and S. Every bucket starts empty, holds at most its burst, and fills at its
rate. So the requests in any window of length w are at most the credit of all buckets at
its start, which is at most S, plus R x w. In detail:

- Parts: a part only grows by what is free, see :meth:`CreditBoard.report`.
- Reserve: it fills at R less the rates of the parts and holds S less their bursts. A
  granted credit still counts against what it holds for ``IN_FLIGHT_S``, within which
  the request is dispatched.
- Reduced parts: every part offered to an instance counts until the instance reports a
  later one, or until it has expired. Instances ignore replies that are overtaken by
  a later one, so a reported part ends all offers before it.
- Expired parts: an instance counts the validity from the sending of its report, the
  leader from the arrival, which is later.
- Leader change: leader leases don't overlap. For ``PART_S`` a new leader only confirms
  the parts that instances report, which the old leader had counted. Its reserve
  starts empty and fills at ``RESERVE_SHARE``, which no leader hands out in parts.
- Restart of an instance: the new incarnation starts without a part, and that of the old
  one counts until it has expired.
"""

import collections
import math

import attrs
from snipebay_model.credits import CreditPart, CreditReply

__all__ = ["CreditBoard", "QuotaRules"]

# Validity of a part from the sending of the report that it answers.
PART_S = 4.0
# Clocks of two machines may differ by a few milliseconds over that time.
CLOCK_MARGIN_S = 0.05
# Shares of rate and burst that are distributed; the rest stays in the reserve.
PART_SHARE = 0.8
BURST_SHARE = 0.5
RESERVE_SHARE = 1.0 - PART_SHARE
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
# An instance without credit doesn't ask again for this long.
MIN_DUE_S, MAX_DUE_S = 0.2, 1.0
# Instances told to ask again for each credit that becomes due: some have no request
# at that time, and the reserve should not overflow.
ASKS_PER_CREDIT = 4.0
# More waiting requests in one message than any instance has.
MAX_COUNT = 100_000
# The state of a removed limit is kept this long, in case that it is set again: two
# windows and the validity of a part.
RETIRED_S = 15.0


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

        Half of what may go beyond the limit is added to the burst. A small burst would
        admit no request, or none while another one is in flight, so what it lacks is
        taken from the rate of the window.
        """
        rate, burst = workspace.rate_per_s, workspace.burst
        extra = self.overage * (rate * self.window_s + burst) + self.tolerance
        total = burst + extra / 2
        missing = max(0.0, MIN_SIZE + rate * IN_FLIGHT_S - total)
        return max(0.1 * rate, rate - missing / self.window_s), total + missing


@attrs.define
class _Holder:
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
class _Limit:
    """Distribution of one workspace's limit.

    Attributes:
        rate: Rate that is distributed.
        size: Burst that is distributed.
        holders: :class:`_Holder` by instance.
        use: Sum of their use.
        per_s: Sum of the rates of the parts that may be in use.
        burst: Sum of their bursts.
        credit: Credit of the reserve.
        updated_s: Time of that credit.
        in_flight: Pairs of end and count of recent grants.
        granted: Sum of these counts.
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
        room = MIN_RESERVE + RESERVE_SHARE * self.rate * RESERVE_ROOM_S
        return max(0.0, min(BURST_SHARE * self.size, self.size - room))

    def is_settled(self, settled_s, now_s):
        """Return True if the parts of an earlier leader have ended."""
        return now_s >= settled_s or self.parts_burst < MIN_BURST

    def fill_rate(self, settled_s):
        """Return the rate at which the reserve fills."""
        if self.is_settled(settled_s, self.updated_s):
            return max(0.0, self.rate - self.per_s)
        return RESERVE_SHARE * self.rate

    def _fill(self, settled_s, now_s):
        rate = self.fill_rate(settled_s)
        is_settled = self.is_settled(settled_s, self.updated_s)
        held = self.burst if is_settled else max(self.burst, self.parts_burst)
        room = max(0.0, self.size - held - self.granted)
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
        largest = min(self.parts_burst, self.size - max(self.granted, room))
        burst = min(burst, holder.burst + max(0.0, largest - self.burst))
        # A part given and taken back in turns would be left unused while it changes.
        least_per_s = MIN_USE_PER_S / 2 if holder.per_s else MIN_USE_PER_S
        is_useful = per_s >= least_per_s and burst >= MIN_BURST
        return (per_s, burst) if is_useful else (0.0, 0.0)


class CreditBoard:
    """Parts of the limits of workspaces, in the leader's memory.

    Args:
        rules: :class:`QuotaRules`.
    """

    def __init__(self, rules=None):
        self.rules = rules or QuotaRules()
        self._limits = {}
        self._retired = {}
        self._workspaces = None
        self._settled_s = 0.0
        self._reported_ms = {}
        self._endings = collections.deque()

    def start(self, now_s):
        """Start a leadership, which knows nothing of the parts in use."""
        self._limits.clear()
        self._retired.clear()
        self._workspaces = None
        self._settled_s = now_s + PART_S + CLOCK_MARGIN_S
        self._reported_ms.clear()
        self._endings.clear()

    def tick(self, workspaces, now_s):
        """Apply the workspaces of the plan, and forget instances that don't report."""
        if workspaces is not self._workspaces:
            self._apply(workspaces, now_s)
        for name, (_, ends_s) in list(self._retired.items()):
            if ends_s <= now_s:
                del self._retired[name]
        while self._endings and self._endings[0][0] <= now_s:
            _, instance, sent_ms, names = self._endings.popleft()
            if self._reported_ms.get(instance) == sent_ms:
                del self._reported_ms[instance]
            for name in names:
                limit = self._limits.get(name) or self._retired.get(name, (None,))[0]
                self._expire(limit, instance, now_s)

    def report(self, instance, sent_ms, reports, now_s):
        """Return the parts for an instance, one for each workspace that it reports.

        Args:
            instance: Pair of its id and incarnation.
            sent_ms: When the instance sent the reports, by its own clock.
            reports: Its :class:`CreditReport` rows.
            now_s: Time.
        """
        last_ms = self._reported_ms.get(instance, sent_ms - 1_000)
        if sent_ms <= last_ms or not reports:
            return ()
        self._reported_ms[instance] = sent_ms
        parts = []
        for row in reports:
            limit = self._limits.get(row.workspace)
            if limit is not None:
                holder = limit.holders.setdefault(instance, _Holder(last_ms))
                found = self._offer(limit, holder, row, sent_ms, now_s)
                parts.append(CreditPart(row.workspace, *found))
        ends_s = now_s + PART_S + CLOCK_MARGIN_S
        names = tuple(part.workspace for part in parts)
        self._endings.append((ends_s, instance, sent_ms, names))
        return tuple(parts)

    def request(self, msg, now_s):
        """Return the :class:`CreditReply` to an instance whose part is used up."""
        limit = self._limits.get(msg.workspace)
        count = min(max(0, msg.count), MAX_COUNT)
        if limit is None:
            # The limit was lifted, and the instance will learn of it.
            return CreditReply(msg.request_id, msg.workspace, count)
        limit.advance(self._settled_s, now_s)
        granted = min(count, int(limit.credit))
        if granted:
            limit.credit -= granted
            limit.granted += granted
            limit.in_flight.append((now_s + IN_FLIGHT_S, granted))
        if granted == count:
            return CreditReply(msg.request_id, msg.workspace, granted)
        due_ms = math.ceil(self._due_in_s(limit, now_s) * 1_000)
        is_known = limit.is_settled(self._settled_s, now_s)
        return CreditReply(msg.request_id, msg.workspace, granted, due_ms, is_known)

    def _offer(self, limit, holder, row, sent_ms, now_s):
        """Count what an instance may hold, and return its next part."""
        limit.advance(self._settled_s, now_s)
        held = (row.per_s, row.burst)
        ends_s = now_s + PART_S + CLOCK_MARGIN_S
        if now_s < self._settled_s:
            found = held
        elif holder.offers and holder.offers[0][1:] != held:
            values = [offer[1:] for offer in holder.offers]
            for _ in range(values.index(held) if held in values else 0):
                holder.offers.popleft()
        limit.record_use(holder, row.wanted, (sent_ms - holder.reported_ms) / 1_000)
        holder.reported_ms = sent_ms
        limit.recount(holder, now_s)
        if now_s >= self._settled_s:
            found = limit.offer(holder)
        holder.offers.append((ends_s, *found))
        limit.recount(holder, now_s)
        # The reserve gives up what the part has taken.
        limit.advance(self._settled_s, now_s)
        return found

    def _due_in_s(self, limit, now_s):
        """Return when an instance may ask again: each credit is due to one of them."""
        interval_s = 1.0 / max(limit.fill_rate(self._settled_s), 0.01 * limit.rate)
        first_s = now_s + max(0.0, 1.0 - limit.credit) * interval_s
        due_s = max(first_s, limit.next_due_s)
        step_s = interval_s / ASKS_PER_CREDIT
        limit.next_due_s = min(due_s + step_s, now_s + MAX_DUE_S)
        return min(max(due_s - now_s, MIN_DUE_S), MAX_DUE_S)

    def _expire(self, limit, instance, now_s):
        holder = limit.holders.get(instance) if limit is not None else None
        if holder is None:
            return
        limit.advance(self._settled_s, now_s)
        limit.recount(holder, now_s)
        if not holder.offers:
            del limit.holders[instance]
            limit.use -= holder.use

    def _apply(self, workspaces, now_s):
        """Change the limits to those of a plan; drop the others."""
        limits = {}
        for workspace in workspaces:
            if workspace.is_limited:
                limits[workspace.name] = self._limit(workspace, now_s)
        for name, limit in self._limits.items():
            if name not in limits:
                self._retired[name] = limit, now_s + RETIRED_S
        self._workspaces = workspaces
        self._limits = limits

    def _limit(self, workspace, now_s):
        """Return the state of a workspace in a new plan."""
        rate, size = self.rules.budget(workspace)
        retired, _ = self._retired.pop(workspace.name, (None, 0.0))
        limit = self._limits.get(workspace.name) or retired
        if limit is None:
            # No part of a limit that this plan introduces can be in use.
            is_first = self._workspaces is None
            return _Limit(rate, size, now_s, credit=0.0 if is_first else size)
        limit.advance(self._settled_s, now_s)
        limit.rate, limit.size = rate, size
        limit.advance(self._settled_s, now_s)
        return limit
