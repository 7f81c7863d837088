"""Backend servers as one entry instance sees them: load, health, cold starts."""

import collections
import math

import attrs

from snipebay_policy.service_times import AWAY, HOME, SECOND
from snipebay_policy.slot_assignment import rendezvous_rank

__all__ = ["Choice", "Fleet", "FleetCounts", "FleetTiming", "Member"]

# Time constant with which the load that others caused is taken to end.
LOAD_DECAY_S = 0.5
# Cost of leaving the own failure domain, in seconds of latency: a few for the
# way, the rest for bytes between failure domains, which are billed.
FAR_DOMAIN_S = 0.05
# Requests that may wait at a backend server, as a part of its slots.
QUEUE_SHARE = 1.0
# Requests that may wait in any case, so that no slot is idle for a round trip.
QUEUE_LEAST = 1.0
LEAST_SERVICE_S = 0.001
# Use of its slots up to which a backend server takes requests for objects that it
# does not have at hand. They take several times as long, so beyond it they would
# displace more work than they do.
AWAY_SHARE = 0.25
# The same for the second home of an object.
SECOND_SHARE = 0.75
# Cost of a full backend server over an idle one, in seconds of latency, so that
# equally good ones share the load.
SPREAD_S = 0.02
# Entry instances that use one cold backend server, and their share each of its
# rate. Were every owner replaced at once, the sum would still be below 1.
COLD_OWNERS = 3
COLD_SHARE = 0.15

# Objects whose order of backend servers is kept, so that it is hashed only once.
RANKS_MOST = 4_096
# Objects that a backend server is taken to have at hand, of those it handled
# last; in a trace, answers slowed down from the fifteenth on.
OBJECTS_AT_HAND = 12


@attrs.frozen
class FleetTiming:
    """Rules for ejections.

    Attributes:
        eject_failures: Failures in a row that eject a backend server.
        eject_s: Time of a first ejection, doubled by each further one.
        eject_most_s: Longest ejection.
        eject_ceiling: Greatest share of a service's backend servers ejected.
    """

    eject_failures: int = 3
    eject_s: float = 1.0
    eject_most_s: float = 8.0
    eject_ceiling: float = 0.5


@attrs.define
class Member:
    """One backend server.

    Attributes:
        row: As the view has it.
        in_flight: Requests of ours that it has.
        others: Requests of other instances that it is taken to have.
        reported_s: Time of its last load report.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until_s: End of its ejection.
        cold_until_s: When it stops being cold.
        next_cold_s: Earliest time for the next request while it is cold.
        heard_s: Time of its last answer to us, whatever it was.
        due_s: Time from which it counts as silent, since requests of ours wait.
        is_stale: True when another backend server answered at its address.
    """

    row: object
    in_flight: int = 0
    others: float = 0.0
    reported_s: float = -math.inf
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    cold_until_s: float = -math.inf
    next_cold_s: float = -math.inf
    heard_s: float = -math.inf
    due_s: float = math.inf
    is_stale: bool = False

    def load(self, now_s):
        """Return the requests that it is taken to run or to queue."""
        age_s = max(0.0, now_s - self.reported_s)
        return self.in_flight + self.others * math.exp(-age_s / LOAD_DECAY_S)

    def is_silent(self, now_s):
        """Return True while it leaves requests of ours without any answer."""
        return now_s >= self.due_s

    def report(self, running, waiting, now_s):
        """Take its own word on its load, which counts our requests as well."""
        self.others = max(0.0, running + waiting - self.in_flight)
        self.reported_s = now_s


@attrs.frozen
class FleetCounts:
    """Numbers on the backend servers of one service.

    Attributes:
        members: Count by state: ``sound``, ``cold``, ``ejected`` or ``closed``.
        slots: ``total`` of the open ones, requests of ``ours`` there, and the
            requests of ``others`` that they are taken to have.
    """

    members: dict
    slots: dict


@attrs.frozen
class Choice:
    """A member to send a request to, and its place for the request's object."""

    member: Member
    place: int


class Fleet:
    """Table of the backend servers in view.

    Args:
        entry_id: Our instance id.
        region: Our region.
        domain: Our failure domain.
        timing: Rules for ejections.

    Attributes:
        members: Member by id.
        objects: :class:`ObjectTable` by service.
    """

    def __init__(self, entry_id, region, domain, timing=None):
        self.entry_id = entry_id
        self.region = region
        self.domain = domain
        self.timing = timing or FleetTiming()
        self.members = {}
        self._by_service = {}
        self._evacuated = frozenset()
        self._entries = ()
        self._ranks = {}
        self._owners_of = {}
        self.objects = {}

    def adopt(self, view, now_s):
        """Bring the table forward to a view."""
        members = {}
        by_service = {}
        for row in view.backends:
            member = self._next(self.members.get(row.backend_id), row, now_s)
            members[row.backend_id] = member
            by_service.setdefault(row.service, []).append(member)
        if self.members.keys() - members.keys():
            self._ranks.clear()
        self.members = members
        self._by_service = by_service
        self._evacuated = frozenset(view.evacuated)
        self._entries = tuple(r.entry_id for r in view.entries if not r.leaving)
        self._owners_of.clear()

    def usable(self, service, now_s):
        """Return the members of a service that may get requests, ejected ones last.

        When all are ejected, the one that has been so for longest is tried.
        """
        found = [m for m in self._by_service.get(service, ()) if self._is_open(m)]
        sound = [m for m in found if now_s >= m.ejected_until_s]
        return sound or sorted(found, key=lambda m: m.ejected_until_s)[:1]

    def capacity(self, service, now_s):
        """Return the slots of usable members by region."""
        slots = {}
        for member in self.usable(service, now_s):
            region = member.row.region
            slots[region] = slots.get(region, 0) + member.row.slots
        return slots

    def summary(self, now_s):
        """Return :class:`FleetCounts` by service, for metrics."""
        return {
            service: FleetCounts(
                collections.Counter(self._state(m, now_s) for m in members),
                self._slots_by_state(members, now_s),
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
        times,
        target_s,
        exclude,
        cold_per_s,
        connections,
        shunned=(),
    ):
        """Return the :class:`Choice` that should end a request first, or None.

        With a key, one member of the region is home to it and another one is
        next. All entry instances agree on them, so they have the object at hand.

        Args:
            service: Service of the request.
            region: Region that it goes to.
            now_s: Time.
            key: Names the object that the request concerns, or empty.
            times: :class:`ServiceTimes` of the service.
            target_s: Time within which an answer has its full worth.
            exclude: Ids that have failed the request.
            cold_per_s: Rate that a cold backend server tolerates in all.
            connections: Connections that it takes in all, shared out evenly.
            shunned: Failure domains to use only if there is no other.
        """
        own_connections = max(1, connections // max(1, len(self._entries)))
        members = self._lively(service, region, now_s)
        places = self._places(service, members, key) if key else {}
        best, best_cost, best_place = None, (True, math.inf), HOME
        for member in members:
            row = member.row
            load = member.load(now_s)
            place = places.get(row.backend_id, AWAY) if key else HOME
            if row.backend_id in exclude or member.in_flight >= own_connections:
                continue
            if member.ejections and member.in_flight:
                # After an ejection, one request at a time until one is answered.
                continue
            if load >= _most(row.slots, place, times, target_s):
                continue
            if not self._may_cold(member, cold_per_s, now_s):
                continue
            queued = max(0.0, load + 1 - row.slots)
            cost = times.expected_s(place) + queued / row.slots * times.mean_s
            cost += load / row.slots * SPREAD_S
            cost += FAR_DOMAIN_S if row.domain != self.domain else 0.0
            ranked = (row.domain in shunned, cost)
            if ranked < best_cost:
                best, best_cost, best_place = member, ranked, place
        return None if best is None else Choice(best, best_place)

    def _lively(self, service, region, now_s):
        """Return usable members of a region without the silent ones.

        Many silent ones are kept: then the service as a whole is slow.
        """
        found = [m for m in self.usable(service, now_s) if m.row.region == region]
        lively = [m for m in found if not m.is_silent(now_s)]
        least = len(found) * (1 - self.timing.eject_ceiling)
        return lively if len(lively) >= least else found

    def start(self, member, cold_per_s, now_s, patience_s):
        """Count a request that is sent to a member, which may be silent so long."""
        if not member.in_flight:
            member.due_s = now_s + patience_s
        member.in_flight += 1
        if now_s < member.cold_until_s:
            member.next_cold_s = now_s + 1 / (cold_per_s * COLD_SHARE)

    def hear(self, member, now_s, patience_s):
        """Take note that a member said something, and may be silent again so long."""
        member.heard_s = now_s
        member.due_s = now_s + patience_s

    def release(self, member):
        """Take note that a request at a member has ended, however it did."""
        member.in_flight -= 1
        if not member.in_flight:
            member.due_s = math.inf

    def succeed(self, member):
        """Take note of an answer."""
        member.failures = member.ejections = 0

    def fail(self, member, now_s):
        """Return True when a failure ejects a member."""
        member.failures += 1
        if member.failures < self.timing.eject_failures:
            return False
        peers = self._by_service.get(member.row.service, ())
        ejected = sum(now_s < m.ejected_until_s for m in peers if m is not member)
        if ejected + 1 > self.timing.eject_ceiling * len(peers):
            return False
        span_s = self.timing.eject_s * 2**member.ejections
        member.ejections += 1
        member.ejected_until_s = now_s + min(span_s, self.timing.eject_most_s)
        return True

    def _places(self, service, members, key):
        """Return the places for an object of members of one region, by id.

        A failure domain with enough members for all objects has a home of its
        own for each, which keeps bytes inside it; the others share one of the
        whole region. The homes of other failure domains are second homes: the
        object is at hand there as well, and nothing else is displaced.
        """
        ranked = self._ranked(service, members, key)
        counts = collections.Counter(m.row.domain for m in ranked)
        objects = len(self.objects.get(service, ()))
        homes = {}
        for member in ranked:
            domain = member.row.domain
            if counts[domain] * OBJECTS_AT_HAND >= objects:
                homes.setdefault(domain, member.row.backend_id)
        ids = [m.row.backend_id for m in ranked]
        home = homes.get(self.domain) or next(iter(ids), None)
        others = [i for i in homes.values() if i != home]
        others = others or [i for i in ids if i != home][:1]
        return {**dict.fromkeys(others, SECOND), home: HOME}

    def _ranked(self, service, members, key):
        """Return members in the order that all instances agree on for an object."""
        if len(self._ranks) > RANKS_MOST:
            self._ranks.clear()
        ranks = self._ranks.setdefault((service, key), {})
        for member in members:
            name = member.row.backend_id
            if name not in ranks:
                ranks[name] = rendezvous_rank(key, name)
        return sorted(members, key=lambda m: ranks[m.row.backend_id])

    def _state(self, member, now_s):
        if not self._is_open(member):
            return "closed"
        if now_s < member.ejected_until_s:
            return "ejected"
        return "cold" if now_s < member.cold_until_s else "sound"

    def _slots_by_state(self, members, now_s):
        total = sum(m.row.slots for m in members if self._is_open(m))
        ours = sum(m.in_flight for m in members)
        others = round(sum(m.load(now_s) for m in members) - ours, 1)
        return {"total": total, "ours": ours, "others": others}

    def _is_open(self, member):
        row = member.row
        is_evacuated = row.domain in self._evacuated
        return row.is_open and not member.is_stale and not is_evacuated

    def _may_cold(self, member, cold_per_s, now_s):
        """Return True for a warm member, or a cold one whose next turn is ours."""
        if now_s >= member.cold_until_s or cold_per_s == math.inf:
            return True
        if cold_per_s <= 0 or now_s < member.next_cold_s:
            return False
        return self.entry_id in self._owners(member.row.backend_id)

    def _owners(self, backend_id):
        """Return the entry instances that may use a cold backend server."""
        if backend_id not in self._owners_of:
            ranked = sorted(self._entries, key=lambda i: rendezvous_rank(i, backend_id))
            self._owners_of[backend_id] = ranked[:COLD_OWNERS]
        return self._owners_of[backend_id]

    def _next(self, member, row, now_s):
        """Return the member for a row, a new one for a new incarnation."""
        same = (
            member is not None
            and member.row.born_ms == row.born_ms
            and member.row.address == row.address
        )
        if not same:
            member = Member(row)
        if row.cold_s > 0 and (not same or member.row.cold_s != row.cold_s):
            member.cold_until_s = now_s + row.cold_s
        elif row.cold_s <= 0:
            member.cold_until_s = -math.inf
        member.row = row
        return member


def _most(slots, place, times, target_s):
    """Return the load up to which a backend server takes one more request.

    Whoever waits there longer than the target leaves is answered late, and
    keeps a slot busy that another one would have been answered in time by.
    """
    if place != HOME:
        return slots * (AWAY_SHARE if place == AWAY else SECOND_SHARE)
    spare_s = target_s - times.expected_s(place)
    queue = slots * spare_s / max(times.mean_s, LEAST_SERVICE_S)
    return slots + min(max(queue, QUEUE_LEAST), slots * QUEUE_SHARE)
