"""Distribution of the limits of workspaces to entry instances, kept by the leader.

Safety. Let R be the rate and S the burst that are distributed for a workspace. At any
time the leader keeps the sum of the parts that may be in use, plus its own reserve,
within R and S. Every bucket starts empty, holds at most its burst, and fills at its
rate. So the requests in any window of length w are at most the credit of all buckets at
its start, which is at most S, plus R x w. In detail:

- Parts: a part only grows by what is free, see :meth:`CreditBoard.report`.
- Reserve: it fills at R less the rates of the parts and holds S less their bursts. A
  granted credit still counts against what it holds for ``IN_FLIGHT_S``, within which
  the request is dispatched. A spare credit counts until its instance says that it was
  used, and then for ``IN_FLIGHT_S``, or until it has expired after ``SPARE_S``.
- Reduced parts: every part offered to an instance counts until the instance reports a
  later one, or until it has expired. Instances ignore replies that are overtaken by
  a later one, so a reported part ends all offers before it.
- Expired parts: an instance counts the validity from the sending of its report, the
  leader from the arrival, which is later.
- Leader change: leader leases don't overlap. A new leader first only confirms the parts
  that instances report, which the old leader had counted. Its reserve starts empty,
  fills at ``RESERVE_SHARE``, which no leader hands out in parts, and holds no more than
  what no leader gives away as parts or spare credits. This ends when all instances with
  a lease have reported all that they hold, or else when all that an earlier leader gave
  away has expired. An instance without a lease was removed at least ``MIN_LEASE_S``
  after its last renewal.
- Restart of an instance: the new incarnation starts without a part, and that of the old
  one counts until it has expired.
"""

import collections
import math

from snipebay_model.credits import CreditPart, CreditReply

from snipebay_control.credit_limit import (
    CLOCK_MARGIN_S,
    IN_FLIGHT_S,
    MAX_SPARE,
    PART_S,
    SPARE_S,
    Holder,
    Limit,
    QuotaRules,
)

__all__ = ["CreditBoard", "QuotaRules"]

# Lease of an entry instance.
MIN_LEASE_S = 3.0
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
        self._settled_s = self._earliest_s = self._filled_s = 0.0
        self._complete = set()
        self._reported_ms = {}
        self._endings = collections.deque()

    def start(self, now_s):
        """Start a leadership, which knows nothing of the parts in use."""
        self._limits.clear()
        self._retired.clear()
        self._workspaces = None
        self._settled_s = now_s + max(PART_S, SPARE_S) + CLOCK_MARGIN_S
        # The part of an instance that was removed before may not have ended yet.
        self._earliest_s = now_s + max(PART_S - MIN_LEASE_S, 0.0) + CLOCK_MARGIN_S
        # A reserve that starts empty can't tell before that a limit is used up.
        self._filled_s = now_s + PART_S + CLOCK_MARGIN_S
        self._complete.clear()
        self._reported_ms.clear()
        self._endings.clear()

    def record_complete(self, instance_id):
        """Record that an instance has reported all credit that it holds."""
        self._complete.add(instance_id)

    def tick(self, workspaces, now_s, instance_ids=None):
        """Apply the workspaces of the plan, and forget instances that don't report.

        Args:
            workspaces: Workspaces of the plan.
            now_s: Time.
            instance_ids: Ids of the instances with a lease, None if unknown.
        """
        if workspaces is not self._workspaces:
            self._apply(workspaces, now_s)
        may_settle = self._earliest_s <= now_s < self._settled_s
        is_known = instance_ids is not None and self._complete.issuperset(instance_ids)
        if may_settle and is_known:
            self._settled_s = now_s
        for limit in self._limits.values():
            limit.expire_spares(now_s)
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
                holder = limit.holders.setdefault(instance, Holder(last_ms))
                if instance[0] not in limit.spares and row.held:
                    ends_s = now_s + SPARE_S + CLOCK_MARGIN_S
                    held = min(row.held, MAX_SPARE)
                    limit.count_spare(instance[0], 0, held, ends_s, now_s)
                found = self._offer(limit, holder, row, sent_ms, now_s)
                parts.append(CreditPart(row.workspace, *found))
        ends_s = now_s + PART_S + CLOCK_MARGIN_S
        names = tuple(part.workspace for part in parts)
        self._endings.append((ends_s, instance, sent_ms, names))
        return tuple(parts)

    def request(self, instance_id, msg, now_s):
        """Return the :class:`CreditReply` to an instance whose part is used up."""
        limit = self._limits.get(msg.workspace)
        count = min(max(0, msg.count), MAX_COUNT)
        if limit is None:
            # The limit was lifted, and the instance will learn of it.
            return CreditReply(msg.request_id, msg.workspace, count)
        ends_s = now_s + SPARE_S + CLOCK_MARGIN_S
        held = min(max(0, msg.held), MAX_SPARE)
        limit.count_spare(
            instance_id, msg.request_id, held, ends_s, now_s, max(0, msg.returned)
        )
        limit.advance(self._settled_s, now_s)
        granted = min(count, int(limit.credit))
        if granted:
            limit.credit -= granted
            limit.granted += granted
            limit.in_flight.append((now_s + IN_FLIGHT_S, granted))
        if granted == count:
            spare = 0
            if msg.spare > 0 and limit.is_settled(self._settled_s, now_s):
                wanted = min(msg.spare, MAX_SPARE)
                spare = limit.grant_spare(instance_id, msg.request_id, wanted, now_s)
            return CreditReply(msg.request_id, msg.workspace, granted, spare=spare)
        due_ms = math.ceil(self._due_in_s(limit, now_s) * 1_000)
        is_known = now_s >= self._filled_s
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
            return Limit(rate, size, now_s, credit=0.0 if is_first else size)
        limit.advance(self._settled_s, now_s)
        limit.rate, limit.size = rate, size
        limit.advance(self._settled_s, now_s)
        return limit
