"""Requests that wait for a backend server, in the order in which they are served."""

import itertools

from snipebay_policy.fleet_rows import Choice
from snipebay_policy.forward_reasons import dispatch_reason
from snipebay_policy.forward_rows import ForwardAttempt
from snipebay_policy.permits import Permission, PermitSystem
from snipebay_policy.refusals import QueueState, refusal
from snipebay_policy.retry_delay import RetryDelays
from snipebay_policy.service_times import PRIMARY
from snipebay_policy.waiting.reserve import has_room
from snipebay_policy.waiting.wait_end import can_meet_deadline, is_return_in_vain
from snipebay_policy.waiting.waiting_table import WaitingTable
from snipebay_policy.work import Dispatch

__all__ = ["DispatchQueue"]

# Hops of one request: a second one, if the first instance can't take it.
MAX_HOPS = 2


class DispatchQueue:
    """Chooses backend servers for waiting requests.

    Args:
        ctx: :class:`RoutedCore` with the tables of this entry instance.
        rules: Rules for all routes.
        fail_request: Function of request, status, reason, detail, time and delay before
            a retry, which ends a request that is not dispatched.

    Attributes:
        waiting: Requests that wait for a slot or a permit, by service and id.
        rows_by_attempt: Requests that were dispatched, by id of the attempt.
        permits: Permits for backend servers with a rate limit.
        retry_delays: Delays for the callers of refused requests.
    """

    def __init__(self, ctx, rules, fail_request):
        self.ctx = ctx
        self.rules = rules
        self.waiting = {}
        self.rows_by_attempt = {}
        self.permits = PermitSystem(ctx, self._on_permit)
        self.retry_delays = RetryDelays(rules.retry_after_s, ctx.row.entry_id)
        self._table = WaitingTable(ctx, rules)
        self._fail_request = fail_request
        self._attempt_ids = itertools.count(1)

    @property
    def is_waiting(self):
        """True while any request waits."""
        return any(self.waiting.values())

    def add(self, row):
        """Add a request, without dispatching it."""
        self._table.record_timeout(row)
        self.waiting.setdefault(row.service, {})[row.request_id] = row

    def remove(self, row):
        """Remove a request if it waits."""
        self.waiting.get(row.service, {}).pop(row.request_id, None)

    def tick(self, now_s):
        """Dispatch the waiting requests of all services."""
        self.permits.tick(now_s)
        for service in list(self.waiting):
            self.dispatch_waiting(service, now_s)

    def dispatch_waiting(self, service, now_s):
        """Dispatch waiting requests to free slots; refuse those that wait too long."""
        waiting = self.waiting.get(service)
        if not waiting:
            return
        tried = None
        if len(waiting) == 1:
            # Nearly all requests find nobody waiting: this saves a tenth of their cost.
            (tried,) = waiting.values()
            if tried.needs_permit or not self._table.is_new(tried, now_s):
                tried = None
            elif self.try_dispatch(tried, now_s):
                return
        decision = self._table.decide(service, waiting.values(), now_s)
        for state in decision.rejected:
            self._refuse(waiting[state.request_id], state, now_s)
        others = {state.request_id: state for state in decision.order}
        for state in decision.order:
            row = waiting.get(state.request_id)
            if row is None:
                continue
            late_until_s = self._table.late_until_s(state, now_s)
            if row is not tried and self.try_dispatch(row, now_s, late_until_s):
                del others[state.request_id]
                self._table.record_slot(service, state, others.values())
            else:
                self._refuse(row, state, now_s)

    def _refuse(self, row, state, now_s):
        """Refuse a request that is not dispatched, unless it keeps waiting.

        Args:
            row: The request.
            state: The same as a :class:`WaitingRow`.
            now_s: Time.
        """
        found = refusal(self._queue_state(row, state, now_s), now_s)
        if found is None:
            return
        if found.due_in_s is not None:
            after_s = max(found.due_in_s, self.rules.retry_after_s)
        elif is_return_in_vain(state, now_s):
            after_s = round(row.deadline_s - now_s, 3)
        else:
            after_s = self.retry_delays.refused_s(row.service, now_s)
        self._fail_request(row, 503, found.reason, found.detail, now_s, after_s)

    def try_dispatch(self, row, now_s, late_until_s=None):
        """Return True when a request was dispatched or waits for its permit.

        Args:
            row: The request.
            now_s: Time.
            late_until_s: When the wait of a late request ends, None for any other.
        """
        if now_s >= row.deadline_s:
            return False
        service = self.ctx.service(row.service)
        connections = service.max_connections
        if self.ctx.reach.is_isolated or self.ctx.fleet.lacks_connections(
            row.service, connections
        ):
            return self.try_hop(row, now_s)
        for region in self._regions(row):
            if late_until_s is not None:
                load, slots = self._load(row.service, region, now_s)
                if not has_room(load, slots, late_until_s, now_s):
                    continue
            choice = self.ctx.fleet.choose(
                row.service,
                region,
                now_s,
                key=row.key,
                key_count=self.ctx.key_count(row.service, region) if row.key else 0,
                times=self.ctx.times(row.service),
                target_s=row.route.target_latency_s,
                exclude=row.excluded_backends,
                is_closed=self.permits.is_closed,
                avoid_domains=row.avoid_domains,
                cold_per_s=service.cold_per_s,
                connections=connections,
            )
            if choice is None:
                continue
            if region != row.region and not self._acquire_spill(row):
                return False
            permission = self.permits.acquire(row, choice, now_s)
            if permission is Permission.DENIED:
                return self.try_dispatch(row, now_s, late_until_s)
            row.needs_permit = permission is Permission.PENDING
            if permission is Permission.GRANTED:
                self._dispatch(row, choice, now_s)
            return True
        return False

    def _load(self, service, region, now_s):
        """Return the load and the slots of a region's usable backend servers."""
        usable = self.ctx.fleet.usable(service, now_s)
        members = [m for m in usable if m.row.region == region]
        return sum(m.load(now_s) for m in members), sum(m.row.slots for m in members)

    def may_retry(self, row):
        """Return True unless a request needs another hop and may take none."""
        return not self.ctx.reach.is_isolated or row.hop_count < MAX_HOPS

    def try_hop(self, row, now_s):
        """Return True when a request was sent through another entry instance."""
        if row.has_hopped or row.hop_count >= MAX_HOPS:
            return False
        exclude = row.excluded_backends
        member = self.ctx.hop_table.choose(row.allowed_regions, exclude)
        if member is None:
            return False
        row.hop_count += 1
        self._start_attempt(row, Choice(member, PRIMARY), now_s, is_hop=True)
        return True

    def _on_permit(self, row, choice, permission, now_s):
        """Handle the decision on a permit that a request waits for."""
        row.needs_permit = False
        if row.request_id not in self.waiting.get(row.service, {}):
            # Its caller has left, or its deadline has passed.
            return
        is_usable = self.ctx.fleet.is_current(choice.member)
        if (
            permission is Permission.GRANTED
            and is_usable
            and not self.ctx.reach.is_isolated
        ):
            self._dispatch(row, choice, now_s)
        else:
            self.dispatch_waiting(row.service, now_s)

    def _queue_state(self, row, state, now_s):
        """Return the :class:`QueueState` of a waiting request."""
        return QueueState(
            has_backends=bool(self.ctx.fleet.usable(row.service, now_s)),
            is_isolated=self.ctx.reach.is_isolated,
            ends_s=self._table.ends_s(state, now_s),
            permit_due_s=self._permit_due_s(row, now_s),
            has_time=can_meet_deadline(state, row.waiting_since_s),
        )

    def _permit_due_s(self, row, now_s):
        """Return when any backend server of the request's region may take it.

        Returns:
            None when no rate limit keeps it from one of them.
        """
        if not self.ctx.rate_limits:
            return None
        members = (
            member
            for member in self.ctx.fleet.usable(row.service, now_s)
            if row.region in (None, member.row.region)
        )
        due_s = (self.permits.due_s(m.row.backend_id, PRIMARY, now_s) for m in members)
        first_s = min(due_s, default=now_s)
        return first_s if first_s > now_s else None

    def _regions(self, row):
        """Return the regions to try, the one assigned to the request first."""
        allowed = row.allowed_regions
        known = self.ctx.shares(row.service).regions(allowed)
        others = sorted(known, key=lambda r: (r != self.ctx.region, r))
        regions = dict.fromkeys((row.region, *others))
        return [r for r in regions if r]

    def _acquire_spill(self, row):
        """Return True when a request may leave its region, and count it if it does.

        Retries, and requests without an assigned region, are not counted.
        """
        meter = self.ctx.spill_meter(row.service)
        if row.region is None or row.attempt_count:
            return True
        if not meter.may_shift:
            return False
        meter.count_shift()
        return True

    def _dispatch(self, row, choice, now_s):
        """Send a request to a backend server."""
        row.attempt_count += 1
        self.retry_delays.record_served(row.service, now_s)
        self._start_attempt(row, choice, now_s)

    def _start_attempt(self, row, choice, now_s, *, is_hop=False):
        self.remove(row)
        member = choice.member
        found_slot = member.load(now_s) + 1 <= member.row.slots
        attempt = ForwardAttempt(
            next(self._attempt_ids),
            member,
            now_s,
            found_slot,
            choice.tier,
            is_hop=is_hop,
        )
        row.attempt = attempt
        row.excluded_backends.add(member.row.backend_id)
        self.rows_by_attempt[attempt.attempt_id] = row
        cold_per_s = self.ctx.service(row.service).cold_per_s
        stall_timeout_s = self.ctx.times(row.service).stall_timeout_s
        self.ctx.fleet.begin_request(member, cold_per_s, now_s, stall_timeout_s)
        limit = self.ctx.rate_limits.get(member.row.backend_id)
        reason = dispatch_reason(row, choice, self.ctx.view.revision, now_s, limit)
        self.ctx.queue_action(
            Dispatch(
                row.request_id,
                attempt.attempt_id,
                member.row,
                row.deadline_s,
                {**reason, "hop": True} if is_hop else reason,
                row.attempt_count if is_hop else None,
                row.workspace.name if row.workspace is not None else "",
            )
        )
