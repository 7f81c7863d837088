"""Replays affinity keys that share backend servers' caches, in virtual time.

Three regions of three failure domains, one of them with few backend servers; each
region has keys of its own. A backend server answers a key fast while it is among the
last few that it handled. Decisions are those of :class:`Fleet`; regions are assigned
to keys by :func:`target_shares` of the slots and the demand.
"""

import collections
import itertools
import math

import attrs
import numpy as np
from snipebay_model.view import BackendRow, EntryRow, View
from snipebay_policy.fleet import Fleet
from snipebay_policy.region_shares import kept_utilization, target_shares
from snipebay_policy.service_times import ServiceTimes

from snipebay_testbed.fakes import Scheduler

__all__ = ["AffinityStudy", "StudyLoad", "StudyResult"]

REGION_DELAY_S = 0.035
REGIONS = ("a", "b", "c")
SERVICE = "s"


@attrs.frozen
class StudyLoad:
    """Load and size of a run.

    Attributes:
        instances: Number of entry instances, spread over all failure domains.
        backends: Number of backend servers in a failure domain of each region.
        keys: Number of keys of each region.
        cached_keys: Keys that a backend server answers fast.
        per_s: Requests a second in all.
        demand: Share of the requests that arrive in each region.
        kept: Utilization up to which a region keeps its requests.
        cold_s: Time to a response for a key that is not cached.
        cached_s: The same for a cached one.
        target_s: Target latency.
        slots: Slots of a backend server.
        seconds: Length of the run.
        domains: Failure domains of a region.
        domain_delay_s: One-way latency between failure domains of a region.
        zipf: Exponent of the popularity of the keys of a region, 0 for equal ones.
    """

    instances: int
    backends: tuple = (30, 6, 25)
    keys: int = 300
    cached_keys: int = 15
    per_s: float = 390.0
    demand: tuple = (1 / 3, 1 / 3, 1 / 3)
    kept: float = kept_utilization(1.0)
    cold_s: float = 1.56
    cached_s: float = 0.47
    target_s: float = 1.0
    slots: int = 6
    seconds: float = 24.0
    domains: int = 3
    domain_delay_s: float = 0.004
    zipf: float = 0.0


@attrs.define
class StudyResult:
    """Counts of a run; those named ``settled`` leave out its first third.

    Attributes:
        total: Requests.
        on_time: Those answered within the target.
        settled_total: Requests after the first third.
        settled_on_time: Those of them answered within the target.
        crossed: Requests that left their failure domain.
        refused: Requests that found no room.
        busiest: Requests of the busiest backend server over the mean.
        by_region: Number of requests after the first third, and of those answered
            within the target, by the region of their callers.
    """

    total: int = 0
    on_time: int = 0
    settled_on_time: int = 0
    settled_total: int = 0
    crossed: int = 0
    refused: int = 0
    busiest: float = 0.0
    by_region: dict = attrs.Factory(lambda: {r: [0, 0] for r in REGIONS})

    @property
    def on_time_share(self):
        """Share of all requests answered within the target."""
        return self.on_time / self.total

    @property
    def settled_share(self):
        """The same for the last two thirds of the run."""
        return self.settled_on_time / self.settled_total

    def settled_share_of(self, region):
        """Return the settled share for the callers of a region."""
        total, on_time = self.by_region[region]
        return on_time / total

    @property
    def crossed_share(self):
        """Share of the requests that left their failure domain."""
        return self.crossed / self.total


@attrs.define(eq=False)
class _Backend:
    row: BackendRow
    cached: collections.OrderedDict = attrs.Factory(collections.OrderedDict)
    running: int = 0
    queue: collections.deque = attrs.Factory(collections.deque)
    started: int = 0


@attrs.frozen(eq=False)
class _Request:
    host: object
    member: object
    tier: int
    key: str
    arrived_s: float
    sent_s: float
    found_slot: bool


@attrs.frozen(eq=False)
class _Host:
    row: EntryRow
    fleet: Fleet
    times: ServiceTimes


class AffinityStudy:
    """One run.

    Args:
        load: :class:`StudyLoad`.
        seed: Random seed.
        count_keys: Function of this study, an instance and a region that returns the
            number of keys that the instance knows to run there.
    """

    def __init__(self, load, seed, count_keys):
        self.load = load
        self.rng = np.random.default_rng(seed)
        self.scheduler = Scheduler()
        self.result = StudyResult()
        self.count_keys = count_keys
        weights = 1.0 / np.arange(1, load.keys + 1) ** load.zipf
        self.popularity = weights / weights.sum()
        domains = [f"{r}-{n}" for r in REGIONS for n in range(load.domains)]
        rows = [
            BackendRow(f"i{d}-{n}", SERVICE, f"10.0.1.{n}:{d[-1]}", d[0], d, load.slots)
            for d in domains
            for n in range(load.backends[REGIONS.index(d[0])])
        ]
        entries = [
            EntryRow(f"e{n}", "x", f"10.0.0.{n}:1", f"e{n}", d[0], d)
            for n, d in zip(range(load.instances), itertools.cycle(domains))
        ]
        view = self.view = View(1, backends=tuple(rows), entries=tuple(entries))
        self.backends = {row.backend_id: _Backend(row) for row in rows}
        self.hosts = {d: [] for d in domains}
        for row in entries:
            fleet = Fleet(row.entry_id, row.region, row.domain)
            fleet.apply_view(view, 0.0)
            self.hosts[row.domain].append(_Host(row, fleet, ServiceTimes()))
        self.run_regions = self._assign_regions()
        self.local_counts = {h.row.entry_id: set() for h in self._all_hosts()}

    def run(self):
        """Run to the end and return the :class:`StudyResult`."""
        self._arrive()
        self.scheduler.run_for(self.load.seconds)
        started = [b.started for b in self.backends.values()]
        self.result.busiest = max(started) / (sum(started) / len(started))
        return self.result

    def keys_in(self, region):
        """Return the true number of keys that run in a region."""
        return sum(r == region for r in self.run_regions.values())

    def _all_hosts(self):
        return itertools.chain.from_iterable(self.hosts.values())

    def _assign_regions(self):
        """Return the region in which each key runs, by the shares of the regions."""
        load = self.load
        slots = {
            region: count * load.domains * load.slots
            for region, count in zip(REGIONS, load.backends, strict=True)
        }
        demand = {
            region: part * load.per_s * load.cached_s
            for region, part in zip(REGIONS, load.demand, strict=True)
        }
        found = {}
        for region in REGIONS:
            shares = target_shares(region, slots, demand, load.kept)
            others = [r for r in shares if r != region]
            parts = np.array([shares[r] for r in others])
            for number in range(load.keys):
                point = (number + 0.5) / load.keys
                run = region
                if point >= shares.get(region, 0.0):
                    run = others[
                        int(self.rng.choice(len(others), p=parts / parts.sum()))
                    ]
                found[f"{region}{number}"] = run
        return found

    def _arrive(self):
        load = self.load
        region = REGIONS[int(self.rng.choice(len(REGIONS), p=load.demand))]
        domain = f"{region}-{int(self.rng.integers(load.domains))}"
        hosts = self.hosts[domain]
        key = f"{domain[0]}{self._next_key()}"
        self._send(hosts[int(self.rng.integers(len(hosts)))], key, self._now_s)
        delay_s = float(self.rng.exponential(1 / load.per_s))
        self.scheduler.after(delay_s, self._arrive)

    def _next_key(self):
        if not self.load.zipf:
            return int(self.rng.integers(self.load.keys))
        return int(self.rng.choice(self.load.keys, p=self.popularity))

    @property
    def _now_s(self):
        return self.scheduler.now_s

    def _send(self, host, key, arrived_s):
        region = self.run_regions[key]
        self.local_counts[host.row.entry_id].add(key)
        choice = host.fleet.choose(
            SERVICE,
            region,
            self._now_s,
            key=key,
            key_count=self.count_keys(self, host, region),
            times=host.times,
            target_s=self.load.target_s,
            exclude=(),
            cold_per_s=1e9,
            connections=100_000,
        )
        if choice is None:
            if self._now_s - arrived_s > self.load.target_s / 8:
                self._count(host, None, arrived_s, math.inf)
            else:
                self.scheduler.after(0.025, self._send, host, key, arrived_s)
            return
        member = choice.member
        found_slot = member.load(self._now_s) + 1 <= member.row.slots
        host.fleet.begin_request(member, 1e9, self._now_s, 10.0)
        request = _Request(
            host, member, choice.tier, key, arrived_s, self._now_s, found_slot
        )
        self.scheduler.after(self._delay_s(host, member), self._reach, request)

    def _delay_s(self, host, member):
        if host.row.domain == member.row.domain:
            return 0.0002
        same_region = host.row.region == member.row.region
        return self.load.domain_delay_s if same_region else REGION_DELAY_S

    def _reach(self, request):
        backend = self.backends[request.member.row.backend_id]
        backend.queue.append(request)
        self._start(backend)

    def _start(self, backend):
        while backend.queue and backend.running < self.load.slots:
            request = backend.queue.popleft()
            is_cached = request.key in backend.cached
            backend.cached[request.key] = True
            backend.cached.move_to_end(request.key)
            if len(backend.cached) > self.load.cached_keys:
                backend.cached.popitem(last=False)
            backend.running += 1
            backend.started += 1
            mean_s = self.load.cached_s if is_cached else self.load.cold_s
            spread = 0.85 + 0.3 * float(self.rng.random())
            busy_s = mean_s * spread * self._pace_of(backend)
            self.scheduler.after(busy_s, self._end, backend, request)

    def _pace_of(self, backend):
        """Return how long work takes on a backend server now, 1.0 for the usual."""
        return 1.0

    def _report_of(self, backend):
        """Return what a response says of the load of its backend server."""
        return backend.running, len(backend.queue)

    def _end(self, backend, request):
        backend.running -= 1
        self._start(backend)
        report = self._report_of(backend)
        delay_s = self._delay_s(request.host, request.member)
        self.scheduler.after(delay_s, self._respond, request, report)

    def _respond(self, request, report):
        host, now_s = request.host, self._now_s
        elapsed_s = now_s - request.sent_s
        self._record_report(request, report)
        host.fleet.end_request(request.member)
        if request.found_slot:
            self._record_unqueued(request, elapsed_s, report)
        self._count(host, request.member, request.arrived_s, now_s)

    def _record_report(self, request, report):
        request.member.update_load(*report, self._now_s)

    def _record_unqueued(self, request, elapsed_s, report):
        request.host.times.record_unqueued(elapsed_s, request.tier)

    def _count(self, host, member, arrived_s, end_s):
        result = self.result
        is_settled = arrived_s > self.load.seconds / 3
        is_on_time = end_s - arrived_s <= self.load.target_s
        result.total += 1
        result.on_time += is_on_time
        result.settled_total += is_settled
        result.settled_on_time += is_on_time and is_settled
        if is_settled:
            counts = result.by_region[host.row.region]
            counts[0] += 1
            counts[1] += is_on_time
        if member is None:
            result.refused += 1
        else:
            result.crossed += member.row.domain != host.row.domain
