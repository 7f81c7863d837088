"""Backend servers as seen by one entry instance: load, health, cold starts."""

import collections
import math

from snipebay_policy.affinity_tiers import AffinityTiers
from snipebay_policy.balancing.cost import (
    IN_TIME_SHARE,
    MIN_SERVICE_S,
    expected_cost_s,
    max_load,
)
from snipebay_policy.balancing.near_domains import NearDomains
from snipebay_policy.balancing.popularity import KeyPopularity, KeySpread
from snipebay_policy.fleet_rows import Choice, FleetCounts, FleetTiming, Member
from snipebay_policy.leaving_backends import LeavingBackends
from snipebay_policy.member_index import MemberIndex
from snipebay_policy.service_times import MIN_STALL_S, OTHER, PRIMARY, SECONDARY
from snipebay_policy.slot_assignment import rendezvous_rank

__all__ = ["Fleet"]

# Entry instances that may use one cold backend server, and the share of its rate that
# each may use. The sum stays below 1 even when all of them are replaced at once.
COLD_OWNERS = 3
COLD_RATE_SHARE = 0.15


class Fleet:
    """Table of the backend servers in the view.

    Args:
        entry_id: Id of this instance.
        region: Region of this instance.
        domain: Failure domain of this instance.
        timing: Rules for ejections.

    Attributes:
        members: :class:`Member` by id.
        affinity: :class:`AffinityTable` by service.
        tiers: Affinity tiers of the members.
        popularity: :class:`KeyPopularity` by service and region.
        leaving: Backend servers that said in a response that they are leaving.
        near_domains: Failure domains that share primaries with this instance's own.
        rate_shares: Share of its full rate that a member may use, by id of those with
            a rate limit.
    """

    def __init__(self, entry_id, region, domain, timing=None):
        self.entry_id = entry_id
        self.region = region
        self.domain = domain
        self.timing = timing or FleetTiming()
        self.members = {}
        self._by_service = {}
        self._open = MemberIndex()
        self._ejected_until_s = -math.inf
        self._evacuated = frozenset()
        self._entries = ()
        self._ranked_entries = {}
        self.affinity = {}
        self.rate_shares = {}
        self.leaving = LeavingBackends()
        self.tiers = AffinityTiers(domain)
        self.near_domains = NearDomains(domain, region)
        self.popularity = {}

    def apply_view(self, view, now_s):
        """Replace the table's contents by a view; known members keep their state."""
        members = {}
        by_service = {}
        for row in view.backends:
            member = self._updated_member(self.members.get(row.backend_id), row, now_s)
            members[row.backend_id] = member
            by_service.setdefault(row.service, []).append(member)
        if self.members.keys() - members.keys():
            self.tiers.clear()
        self.members = members
        self._by_service = by_service
        self._evacuated = frozenset(view.evacuated)
        self._entries = tuple(r.entry_id for r in view.entries if not r.leaving)
        self._ranked_entries.clear()
        self.near_domains.apply_view(view.backends)
        self.leaving.apply_view(view.backends)
        self._update_index()

    def _update_index(self):
        members = (m for m in self.members.values() if self._is_open(m))
        self._open = MemberIndex.from_members(members)

    def mark_stale(self, member):
        """Stop using a member whose address another backend server has now."""
        member.is_stale = True
        self._update_index()

    def mark_leaving(self, row):
        """Stop using an incarnation that is leaving; return True if that is news."""
        is_new = self.leaving.add(row)
        if is_new:
            self._update_index()
        return is_new

    def is_current(self, member):
        """Return True while requests may begin at a member that was chosen before."""
        known = self.members.get(member.row.backend_id)
        return known is member and self._is_open(member)

    def open_rows(self):
        """Return the rows of the members that may get requests, by failures or not."""
        return [m.row for m in self.members.values() if self._is_open(m)]

    def reset_failures(self, now_s):
        """Forget all failures, which this instance's own links may have caused."""
        for member in self.members.values():
            member.failures = member.ejections = 0
            member.ejected_until_s = -math.inf
            if member.in_flight:
                member.unresponsive_from_s = now_s + MIN_STALL_S

    def usable(self, service, now_s):
        """Return the members of a service that may get requests.

        When all of them are ejected, the one whose ejection ends first is returned.
        """
        found = self._open.of_service(service)
        if now_s >= self._ejected_until_s:
            return found
        healthy = [m for m in found if now_s >= m.ejected_until_s]
        return healthy or sorted(found, key=lambda m: m.ejected_until_s)[:1]

    def _usable_in(self, service, region, now_s):
        """Return the usable members of a service in a region."""
        if now_s >= self._ejected_until_s:
            return self._open.of_region(service, region)
        return [m for m in self.usable(service, now_s) if m.row.region == region]

    def capacity(self, service, now_s):
        """Return the slots of usable members by region.

        A member with a rate limit counts with the slots that its rate can fill.
        """
        if now_s >= self._ejected_until_s and not self.rate_shares:
            return self._open.slots(service)
        slots = {}
        for member in self.usable(service, now_s):
            region = member.row.region
            share = self.rate_shares.get(member.row.backend_id, 1.0)
            slots[region] = slots.get(region, 0) + member.row.slots * share
        return slots

    def apply_rate_limits(self, limits, times, now_s):
        """Update the shares of their full rate that members with a limit may use.

        Args:
            limits: :class:`RateLimit` of each limited backend server.
            times: Function from a service to its :class:`ServiceTimes`.
            now_s: Time.
        """
        shares = {}
        for limit in limits:
            row = self.members[limit.backend_id].row
            cached_s = max(times(row.service).expected_s(PRIMARY), MIN_SERVICE_S)
            shares[limit.backend_id] = limit.rate_per_s(now_s) * cached_s / row.slots
        self.rate_shares = {i: min(1.0, share) for i, share in shares.items()}

    def summary(self, now_s):
        """Return :class:`FleetCounts` by service, for metrics."""
        return {
            service: FleetCounts(
                collections.Counter(self._state(m, now_s) for m in members),
                self._slots_by_state(members, now_s),
                sum(m.pace_at(now_s) for m in members) / len(members),
            )
            for service, members in self._by_service.items()
        }

    def choose(
        self,
        service,
        region,
        now_s,
        *,
        key,
        key_count=0,
        times,
        target_s,
        exclude,
        cold_per_s,
        connections,
        avoid_domains=(),
        is_closed=lambda backend_id, tier, now_s: False,
    ):
        """Return the :class:`Choice` with the earliest expected response, or None.

        With a key, one member of the region is primary and another one secondary.
        All entry instances agree on them, so they have the key's data cached.

        Args:
            service: Service of the request.
            region: Region to choose from.
            now_s: Time.
            key: Affinity key of the request, or empty.
            key_count: Number of keys that all instances send to the region.
            times: :class:`ServiceTimes` of the service.
            target_s: Target latency; a later response is of less value.
            exclude: Ids of the backend servers not to choose.
            cold_per_s: Rate of requests to a cold backend server from all instances.
            connections: Limit on connections to a backend server from all instances.
            avoid_domains: Failure domains to use only if there is no other.
            is_closed: Function of backend server id, affinity tier and time that
                returns True while its rate limit permits no request.
        """
        members = self._responsive(service, region, now_s)
        tiers = {}
        if key:
            near = self.near_domains.near(target_s)
            spread = self._spread(service, region, key)
            find = self.tiers.find
            tiers = find(service, members, key, key_count, near, spread)
        expected_s = [times.expected_s(tier) for tier in (PRIMARY, SECONDARY, OTHER)]
        best, best_cost, best_tier = None, (True, math.inf), PRIMARY
        for member in members:
            row = member.row
            load = member.load(now_s)
            tier = tiers.get(row.backend_id, OTHER) if key else PRIMARY
            if row.backend_id in exclude:
                continue
            if member.in_flight >= self.max_connections(row.backend_id, connections):
                continue
            if is_closed(row.backend_id, tier, now_s):
                continue
            if member.ejections and member.in_flight:
                # After an ejection, one request at a time until one succeeds.
                continue
            pace = member.pace_at(now_s)
            mean_s = times.mean_s * pace
            queue_s = target_s - expected_s[PRIMARY] * pace
            if load >= max_load(row.slots, tier, queue_s, mean_s):
                continue
            if not self._may_send_cold(member, cold_per_s, now_s):
                continue
            tier_s = expected_s[tier] * pace
            if key and tier == PRIMARY and tier_s <= target_s * IN_TIME_SHARE:
                tier_s = expected_s[tier]
            cost = expected_cost_s(row, load, tier_s, mean_s, self.domain)
            ranked = (row.domain in avoid_domains, cost)
            if ranked < best_cost:
                best, best_cost, best_tier = member, ranked, tier
        return None if best is None else Choice(best, best_tier)

    def record_key(self, service, region, key, now_s):
        """Count a request with an affinity key, where backend servers name paces."""
        if self.near_domains.is_enabled:
            found = self.popularity.setdefault((service, region), KeyPopularity())
            found.record(key, now_s)

    def _spread(self, service, region, key):
        found = self.popularity.get((service, region))
        if found is None:
            return None
        start = int.from_bytes(rendezvous_rank(self.entry_id, key))
        return KeySpread(found, key, start)

    def _responsive(self, service, region, now_s):
        """Return the usable members of a region without the unresponsive ones.

        When a large share of them is unresponsive, all are returned: the service as a
        whole is slow then.
        """
        found = self._usable_in(service, region, now_s)
        responsive = [m for m in found if not m.is_unresponsive(now_s)]
        minimum = len(found) * (1 - self.timing.eject_ceiling)
        return responsive if len(responsive) >= minimum else found

    def begin_request(self, member, cold_per_s, now_s, stall_timeout_s):
        """Count a request sent to a member; start the stall timeout of an idle one."""
        if not member.in_flight:
            member.unresponsive_from_s = now_s + stall_timeout_s
        member.in_flight += 1
        member.begun_s.append(now_s)
        if now_s < member.cold_until_s:
            member.next_cold_s = now_s + 1 / (cold_per_s * COLD_RATE_SHARE)

    def record_response(self, member, now_s, stall_timeout_s):
        """Record that a member responded, and restart its stall timeout."""
        member.last_response_s = now_s
        member.unresponsive_from_s = now_s + stall_timeout_s

    def end_request(self, member):
        """Count the end of a request at a member, whatever its result."""
        member.in_flight -= 1
        if not member.in_flight:
            member.unresponsive_from_s = math.inf

    def record_success(self, member):
        """Reset the failures and ejections of a member after a successful response."""
        member.failures = member.ejections = 0

    def record_failure(self, member, now_s):
        """Count a failure, and return True when it ejects the member."""
        member.failures += 1
        if member.failures < self.timing.eject_failures:
            return False
        peers = self._by_service.get(member.row.service, ())
        ejected = sum(now_s < m.ejected_until_s for m in peers if m is not member)
        if ejected + 1 > self.timing.eject_ceiling * len(peers):
            return False
        span_s = self.timing.eject_s * 2**member.ejections
        member.ejections += 1
        member.ejected_until_s = now_s + min(span_s, self.timing.max_eject_s)
        self._ejected_until_s = max(self._ejected_until_s, member.ejected_until_s)
        return True

    def _state(self, member, now_s):
        if not self._is_open(member):
            return "closed"
        if now_s < member.ejected_until_s:
            return "ejected"
        return "cold" if now_s < member.cold_until_s else "sound"

    def _slots_by_state(self, members, now_s):
        total = sum(m.row.slots for m in members if self._is_open(m))
        local = sum(m.in_flight for m in members)
        other = round(sum(m.load(now_s) for m in members) - local, 1)
        return {"total": total, "ours": local, "others": other}

    def _is_open(self, member):
        row = member.row
        is_evacuated = row.domain in self._evacuated
        is_closed = member.is_stale or is_evacuated or row in self.leaving
        return row.is_open and not is_closed

    def _may_send_cold(self, member, cold_per_s, now_s):
        """Return True for a warm member, or a cold one that may get a request now."""
        if now_s >= member.cold_until_s or cold_per_s == math.inf:
            return True
        if cold_per_s <= 0 or now_s < member.next_cold_s:
            return False
        return self._is_ranked(member.row.backend_id, COLD_OWNERS)

    def max_connections(self, backend_id, limit):
        """Return this instance's part of the limit on connections to a backend server.

        With more instances than connections, those that rank first get one each.

        Args:
            backend_id: The backend server.
            limit: Connections that it accepts from all instances together.
        """
        own = limit // max(1, len(self._entries))
        return own or int(limit > 0 and self._is_ranked(backend_id, limit))

    def lacks_connections(self, service, limit):
        """Return True if other instances have all connections of a service.

        The load pattern: a few backend servers that accept fewer connections than there
        are instances.

        Args:
            service: The service.
            limit: Connections that each backend server accepts from all instances.
        """
        members = self._open.of_service(service)
        if not members or limit <= 0 or limit >= len(self._entries):
            return False
        return not any(self._is_ranked(m.row.backend_id, limit) for m in members)

    def _is_ranked(self, backend_id, count):
        """Return True if this instance ranks among the first for a backend server."""
        if backend_id not in self._ranked_entries:
            self._ranked_entries[backend_id] = sorted(
                self._entries, key=lambda i: rendezvous_rank(i, backend_id)
            )
        return self.entry_id in self._ranked_entries[backend_id][:count]

    def _updated_member(self, member, row, now_s):
        """Return the member for a row; a new incarnation gets a new member."""
        is_same = (
            member is not None
            and member.row.born_ms == row.born_ms
            and member.row.address == row.address
        )
        if not is_same:
            member = Member(row)
        if row.cold_s > 0 and (not is_same or member.row.cold_s != row.cold_s):
            member.cold_until_s = now_s + row.cold_s
        elif row.cold_s <= 0:
            member.cold_until_s = -math.inf
        member.row = row
        return member
