"""Replays backend servers that share machines with others, in virtual time.

Some of them are slower at a time and name their pace. Instances of a region exchange
the reports that they receive, or don't.
"""

import attrs
from snipebay_policy.balancing.load_exchange import LoadExchange

from snipebay_testbed.affinity_study import (
    REGIONS,
    SERVICE,
    AffinityStudy,
    StudyLoad,
)

__all__ = ["PaceLoad", "PaceStudy"]

TICK_S = 0.1
SAMPLE_S = 0.1
# Messages that an instance may receive in a second if all send to all.
ALL_TO_ALL_PER_S = 10


@attrs.frozen
class PaceLoad(StudyLoad):
    """Load, size and ways of a run.

    Attributes:
        slow_share: Share of the backend servers that are slow at a time.
        slow_pace: Their pace.
        slow_s: Interval after which others are slow.
        uses_pace: True when instances use the pace that responses name.
        news: How instances pass on reports: ``none``, ``ring`` as :class:`LoadExchange`
            does, ``all`` for all to all at the same rate, or ``ideal`` for each report
            to all at once.
        is_near: True when instances have measured that domains of a region are near.
        spreads_keys: True when popular keys have several primary backend servers.
    """

    backends: tuple = (19, 4, 16)
    keys: int = 108
    cold_s: float = 0.75
    cached_s: float = 0.225
    target_s: float = 0.741
    seconds: float = 18.0
    domains: int = 2
    domain_delay_s: float = 0.0005
    slow_share: float = 0.0
    slow_pace: float = 2.5
    slow_s: float = 0.6
    uses_pace: bool = False
    news: str = "none"
    is_near: bool = False
    spreads_keys: bool = False


class PaceStudy(AffinityStudy):
    """One run.

    Args:
        load: :class:`PaceLoad`.
        seed: Random seed.
        count_keys: As for :class:`AffinityStudy`.

    Attributes:
        messages: Messages between instances.
        unslotted: Requests that waited at a backend server.
        open_sums: Sum of samples of the open requests by backend server.
    """

    def __init__(self, load, seed, count_keys):
        super().__init__(load, seed, count_keys)
        self.messages = 0
        self.unslotted = 0
        self.open_sums = dict.fromkeys(self.backends, 0)
        self._slow = frozenset()
        self._exchanges = {}
        self._region_hosts = {region: [] for region in REGIONS}
        for host in self._all_hosts():
            self._region_hosts[host.row.region].append(host)
        for host in self._all_hosts():
            exchange = LoadExchange(host.row.entry_id, host.row.region)
            exchange.apply_view(self.view)
            self._exchanges[host.row.entry_id] = exchange
            host.fleet.near_domains.is_enabled = load.is_near or load.spreads_keys
            if load.is_near:
                self._measure_distances(host)
            if load.news in ("ring", "all"):
                start_s = float(self.rng.random()) * self._interval_s(host)
                self.scheduler.after(start_s, self._tick, host)
        self._change_pace()
        self.scheduler.after(SAMPLE_S, self._sample)

    def busiest_over_mean(self):
        """Return the busiest server's mean open requests over those of its region."""
        found = []
        for region in REGIONS:
            sums = [n for i, n in self.open_sums.items() if i[1] == region]
            found.append(max(sums) * len(sums) / sum(sums))
        return max(found)

    def messages_per_s(self):
        """Return the messages that one instance sends in a second."""
        return self.messages / self.load.seconds / self.load.instances

    def _measure_distances(self, host):
        """Let an instance connect to the domains of its region, and measure the way."""
        near_domains = host.fleet.near_domains
        for backend in self.backends.values():
            delay_s = 2 * self._delay_s(host, backend)
            near_domains.record_connect(backend.row.address, delay_s)

    def _interval_s(self, host):
        if self.load.news == "ring":
            return TICK_S
        return len(self._region_hosts[host.row.region]) / ALL_TO_ALL_PER_S

    def _tick(self, host):
        self.scheduler.after(self._interval_s(host), self._tick, host)
        exchange = self._exchanges[host.row.entry_id]
        found = exchange.next_message(self._now_s)
        if found is None:
            return
        peer, news = found
        hosts = self._region_hosts[host.row.region]
        if self.load.news == "ring":
            hosts = [h for h in hosts if h.row.entry_id == peer]
        for other in hosts:
            if other is not host:
                self.messages += 1
                delay_s = self.load.domain_delay_s
                self.scheduler.after(delay_s, self._receive, other, news)

    def _receive(self, host, news):
        exchange = self._exchanges[host.row.entry_id]
        exchange.receive(news, host.fleet.members, self._now_s)
        if self.load.news == "all":
            exchange._recent.clear()

    def _change_pace(self):
        ids = sorted(self.backends)
        count = round(self.load.slow_share * len(ids))
        self._slow = frozenset(self.rng.choice(ids, count, replace=False).tolist())
        self.scheduler.after(self.load.slow_s, self._change_pace)

    def _sample(self):
        self.scheduler.after(SAMPLE_S, self._sample)
        for backend_id, backend in self.backends.items():
            self.open_sums[backend_id] += backend.running + len(backend.queue)

    def _send(self, host, key, arrived_s):
        if self.load.spreads_keys and arrived_s == self._now_s:
            host.fleet.record_key(SERVICE, self.run_regions[key], key, arrived_s)
        super()._send(host, key, arrived_s)

    def _reach(self, request):
        backend = self.backends[request.member.row.backend_id]
        self.unslotted += backend.running >= self.load.slots
        super()._reach(request)

    def _pace_of(self, backend):
        is_slow = backend.row.backend_id in self._slow
        return self.load.slow_pace if is_slow else 1.0

    def _report_of(self, backend):
        return (*super()._report_of(backend), self._pace_of(backend))

    def _record_report(self, request, report):
        running, waiting, pace = report
        member, now_s, load = request.member, self._now_s, self.load
        named = pace if load.uses_pace else None
        member.update_load(running, waiting, now_s, named)
        host = request.host
        self._exchanges[host.row.entry_id].record(member)
        if load.news == "ideal":
            for other in self._region_hosts[host.row.region]:
                if other is not host:
                    found = other.fleet.members[member.row.backend_id]
                    found.take_over_load(running + waiting, named, now_s, now_s)

    def _record_unqueued(self, request, elapsed_s, report):
        pace = report[-1] if self.load.uses_pace else 1.0
        super()._record_unqueued(request, elapsed_s / pace, report)
