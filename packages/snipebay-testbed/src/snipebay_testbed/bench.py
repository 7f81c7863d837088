"""Benchmarks request routing in virtual time against a simple baseline."""

import concurrent.futures
import heapq
import json
import pathlib
import sys

import attrs
import cyclopts
import numpy as np
from snipebay_cli.render import render_table

from snipebay_testbed.baseline import BaselineHost
from snipebay_testbed.deployments import DEPLOYMENTS
from snipebay_testbed.system_rig import EntryHost, SystemRig

__all__ = ["SCENARIOS", "Figures", "main", "measure"]

SERVICE_MS = 40.0
WARM_UP_S = 3.0
LOAD_DURATION_S = 8.0
HOST_CLASSES = {"ours": EntryHost, "baseline": BaselineHost}
app = cyclopts.App(help=__doc__)


@attrs.frozen
class Figures:
    """Results of one run. Latencies are in milliseconds.

    The fields are printed as JSON under their own names.

    Attributes:
        scenario: Name of the scenario.
        deployment: Name of the deployment.
        policy: ``ours`` (this system), ``baseline``, or ``ideal`` (one queue in
            front of all slots).
        load: Offered load as a fraction of the capacity of all slots.
        requests: Number of requests.
        ok: Fraction of requests that succeeded within the deadline.
        p50: Median latency of successful requests.
        p99: 99th percentile latency.
        p999: 99.9th percentile latency.
        over_slots: Requests that reached a backend server without a free slot.
        peak_region: Highest load of a region as a fraction of its slots.
        shifted: Highest fraction of a region's requests sent to other regions.
        shift_cap: Configured limit of ``shifted``.
        drain_s: Longest drain, or None if nothing was drained.
        cut: Requests aborted by planned stops.
        retries: Retries and hedges per request.
        messages: Messages between instances, per instance and second.
        kilobytes: Size of these messages, per instance and second.
    """

    scenario: str
    deployment: str
    policy: str
    load: float
    requests: int
    ok: float
    p50: float
    p99: float
    p999: float
    over_slots: int = 0
    peak_region: float = 0.0
    shifted: float = 0.0
    shift_cap: float = 1.0
    drain_s: float | None = None
    cut: int = 0
    retries: float = 0.0
    messages: float = 0.0
    kilobytes: float = 0.0

    @property
    def violated_bounds(self):
        """Bounds that this run violated. They apply to policy ``ours`` only."""
        checks = {
            "over_slots <= 0": self.over_slots <= 0,
            "peak_region <= 1": self.peak_region <= 1,
            "shifted <= shift_cap": self.shifted <= self.shift_cap,
            "cut <= 0": self.cut <= 0,
            "drain_s <= 5": self.drain_s is None or self.drain_s <= 5,
        }
        return [name for name, holds in checks.items() if not holds]


class _BenchRun:
    """One run of a scenario with one policy."""

    def __init__(self, scenario, deployment_name, policy, load, seed):
        deployment = DEPLOYMENTS[deployment_name]
        service = attrs.evolve(deployment.services[0], service_ms=SERVICE_MS)
        self.deployment = attrs.evolve(
            deployment, services=(service, *deployment.services[1:])
        )
        self.deployment_name, self.policy, self.load = deployment_name, policy, load
        self.scenario = scenario
        self.service = service.name
        self.arrivals_rng = np.random.default_rng(seed + 99)
        host_class = HOST_CLASSES[policy]
        self.rig = SystemRig(
            self.deployment,
            seed,
            settings=self.settings_text(),
            loss=0.001,
            host_class=host_class,
        ).start()
        self.rig.connect_s = deployment.connect_ms / 1_000
        self.arrival_times_s = []
        self.drain_times_s = []
        self.peak_region_load = 0.0

    def settings_text(self, extra_settings="", **rules):
        return self.deployment.settings(slow_start_s=5, **rules) + extra_settings

    @property
    def slots(self):
        return sum(
            b.row.slots
            for b in self.rig.backends.values()
            if b.row.service == self.service
        )

    @property
    def capacity_per_s(self):
        mean_s = SERVICE_MS / 1_000 * float(np.exp(0.3**2 / 2))
        return self.slots / mean_s

    def schedule_load(self, seconds, load_at=None):
        """Schedule Poisson arrivals at random entry instances.

        Args:
            seconds: Length of the load.
            load_at: Function from elapsed seconds to load; by default a constant.
        """
        rig, rng = self.rig, self.arrivals_rng
        start_s = rig.now_s
        hosts = list(rig.entries.values())
        at_s = 0.0
        while at_s < seconds:
            load = load_at(at_s) if load_at else self.load
            at_s += float(rng.exponential(1 / (self.capacity_per_s * load)))
            host = hosts[int(rng.integers(len(hosts)))]
            self.arrival_times_s.append(start_s + at_s)
            rig.scheduler.after(at_s, host.request, self.service)
        self._sample_region_load(start_s + seconds)

    def _sample_region_load(self, end_s):
        """Sample the load of each region periodically and record the maximum."""
        for region in self.deployment.regions:
            load = self.rig.region_load(region, self.service)
            slots = self.rig.region_slots(region, self.service)
            self.peak_region_load = max(self.peak_region_load, load / slots)
        if self.rig.now_s < end_s:
            self.rig.scheduler.after(0.02, self._sample_region_load, end_s)

    def drain_backend(self, backend_id):
        """Drain a backend server, stop it when drained, and restart it."""
        backend = self.rig.backends[backend_id]
        backend.leave()
        self._poll_drain(backend)

    def _poll_drain(self, backend):
        if backend.state == "drained":
            self.drain_times_s.append(self.rig.now_s - backend.leaving_since_s)
            backend.kill()
            backend.leaving = False
            backend.state = "new"
            self.rig.scheduler.after(1.0, backend.restart)
        else:
            self.rig.scheduler.after(0.05, self._poll_drain, backend)

    def run(self):
        """Run the scenario and return its figures."""
        rig = self.rig
        rig.offer_poisson_load(self.service, self.capacity_per_s * 0.3, WARM_UP_S)
        rig.scheduler.run_for(WARM_UP_S + 1)
        rig.results.clear()
        rig.cross_region_counts.clear()
        rig.request_counts.clear()
        sent_before, sent_bytes_before = (
            sum(rig.network.sent.values()),
            sum(rig.network.sent_bytes.values()),
        )
        start_s = rig.now_s
        retries_before = self._count_retries()
        SCENARIOS[self.scenario](self)
        rig.scheduler.run_for(2.0)
        span_s = (rig.now_s - start_s) * len(rig.entries)
        return self._figures(
            (sum(rig.network.sent.values()) - sent_before) / span_s,
            (sum(rig.network.sent_bytes.values()) - sent_bytes_before) / span_s / 1_000,
            self._count_retries() - retries_before,
        )

    def _count_retries(self):
        """Return the number of retries and hedges so far."""
        return sum(
            host.core.ctx.counts["retries"] + host.core.ctx.counts["hedges"]
            for host in self.rig.entries.values()
            if host.core
        )

    def _figures(self, messages, kilobytes, retry_count):
        rig = self.rig
        results = [r for r in rig.results if r.service == self.service]
        host = next(host for host in rig.entries.values() if host.core)
        rules = host.core.ctx.rules(self.service)
        ok = [
            r.latency_s * 1_000
            for r in results
            if r.outcome == "ok" and r.latency_s * 1_000 <= rules.deadline_ms
        ]
        count = len(self.arrival_times_s)
        shares = [
            rig.cross_region_counts[region_service] / total
            for region_service, total in rig.request_counts.items()
            if region_service[1] == self.service
        ]
        return Figures(
            self.scenario,
            self.deployment_name,
            self.policy,
            self.load,
            count,
            len(ok) / count,
            *_percentiles(ok),
            over_slots=rig.over_slots(),
            peak_region=round(self.peak_region_load, 3),
            shifted=round(max(shares, default=0.0), 4),
            shift_cap=rules.shift_cap,
            drain_s=round(max(self.drain_times_s), 2) if self.drain_times_s else None,
            cut=sum(b.aborted_count for b in rig.backends.values())
            if self.drain_times_s
            else 0,
            retries=round(retry_count / count, 4),
            messages=round(messages, 1),
            kilobytes=round(kilobytes, 2),
        )

    def ideal_figures(self, deadline_s=0.8):
        """Return the figures of a single queue over all slots for the same arrivals."""
        rng = np.random.default_rng(7)
        free_s = [0.0] * self.slots
        heapq.heapify(free_s)
        ok = []
        for at_s in sorted(self.arrival_times_s):
            start_s = max(at_s, free_s[0])
            if start_s - at_s > deadline_s:
                continue
            run_s = SERVICE_MS / 1_000 * float(np.exp(0.3 * rng.standard_normal()))
            heapq.heapreplace(free_s, start_s + run_s)
            if start_s + run_s - at_s <= deadline_s:
                ok.append((start_s + run_s - at_s) * 1_000)
        return Figures(
            self.scenario,
            self.deployment_name,
            "ideal",
            self.load,
            len(self.arrival_times_s),
            len(ok) / len(self.arrival_times_s),
            *_percentiles(ok),
        )


def _percentiles(values):
    """Return the median, 99th and 99.9th percentiles, rounded."""
    if not values:
        return 0.0, 0.0, 0.0
    return tuple(round(float(p), 1) for p in np.percentile(values, (50, 99, 99.9)))


# --- scenarios ------------------------------------------------------------


def _steady(bench):
    bench.schedule_load(LOAD_DURATION_S)
    bench.rig.scheduler.run_for(LOAD_DURATION_S)


def _shift(bench):
    """An operator shifts half of a region's shift cap to another region."""
    source, target = list(bench.deployment.regions)[1:]
    shift_settings = (
        f"shifts: [{{service: {bench.service}, source: {source}, target: {target}, "
        "share: 0.2}]\n"
    )
    bench.rig.change(bench.settings_text(shift_settings))
    bench.schedule_load(LOAD_DURATION_S)
    bench.rig.scheduler.run_for(LOAD_DURATION_S)


def _rolling_drains(bench):
    """Backend servers are drained and restarted one after another."""
    bench.schedule_load(LOAD_DURATION_S)
    for i in range(3):
        bench.drain_backend(f"{bench.service}-{i + 1}")
        bench.rig.scheduler.run_for(LOAD_DURATION_S / 3)


def _region_crashes(bench):
    """All backend servers of a region crash and restart cold."""
    bench.schedule_load(LOAD_DURATION_S)
    bench.rig.scheduler.run_for(1.0)
    region = list(bench.deployment.regions)[2]
    bench.rig.kill_region(region)
    bench.rig.scheduler.run_for(3.0)
    for backend in bench.rig.backends.values():
        if backend.row.region == region:
            backend.cold_factor = 4.0
            backend.restart()
    bench.rig.scheduler.run_for(LOAD_DURATION_S - 4.0)


def _slow_backend(bench):
    """One backend server is ten times slower but still responds."""
    bench.rig.backends[f"{bench.service}-1"].slow_factor = 10.0
    _steady(bench)


def _control_unreachable(bench):
    """No entry instance can reach control; all leases expire before the load."""
    for host in bench.rig.control.hosts.values():
        bench.rig.network.partition(host.id, bench.rig.entries)
    bench.rig.scheduler.run_for(30.0)
    _steady(bench)


def _domain_crashes(bench):
    """Entry instances and backend servers of one failure domain crash."""
    bench.schedule_load(LOAD_DURATION_S)
    bench.rig.scheduler.run_for(1.0)
    domain = bench.deployment.domains[0][0]
    for host in bench.rig.entries.values():
        if host.row.domain == domain:
            host.kill()
    for backend in bench.rig.backends.values():
        if backend.row.domain == domain:
            bench.rig.kill_backend(backend.row.backend_id)
    bench.rig.scheduler.run_for(LOAD_DURATION_S - 1.0)


def _load_ramp(bench):
    """Load grows from a fifth of the target to the full target."""
    bench.schedule_load(
        LOAD_DURATION_S, lambda at_s: bench.load * (0.2 + 0.8 * at_s / LOAD_DURATION_S)
    )
    bench.rig.scheduler.run_for(LOAD_DURATION_S)


def _entry_paused(bench):
    """One entry instance is paused for four seconds."""
    bench.schedule_load(LOAD_DURATION_S)
    bench.rig.scheduler.run_for(1.0)
    host = bench.rig.entries["e02"]
    host.freeze()
    bench.rig.scheduler.run_for(4.0)
    host.thaw()
    bench.rig.scheduler.run_for(LOAD_DURATION_S - 5.0)


SCENARIOS = {
    "steady": _steady,
    "shift": _shift,
    "drains": _rolling_drains,
    "region-dies": _region_crashes,
    "slow-backend": _slow_backend,
    "control-away": _control_unreachable,
    "domain-dies": _domain_crashes,
    "rush": _load_ramp,
    "entry-freezes": _entry_paused,
}
LOADS_BY_SCENARIO = {"steady": (0.5, 0.8, 0.95, 1.2)}
DEFAULT_LOAD = 0.6
MAX_P99_TO_IDEAL_RATIO = 1.3


def measure(scenario, deployment_name, load, seed):
    """Return the figures of ``ours``, ``ideal`` and ``baseline``, in this order."""
    ours = _BenchRun(scenario, deployment_name, "ours", load, seed)
    figures = [ours.run(), ours.ideal_figures()]
    return [
        *figures,
        _BenchRun(scenario, deployment_name, "baseline", load, seed).run(),
    ]


def _measure_case(args):
    return measure(*args)


@app.default
def run(
    *,
    seed: int = 1,
    scenario: str = "",
    deployment: str = "",
    jobs: int = 6,
    report: pathlib.Path | None = None,
):
    """Run the scenarios and print a JSON line per run, then a table.

    Args:
        seed: Random seed.
        scenario: Run only this scenario.
        deployment: Run only this deployment.
        jobs: Number of cases to run in parallel.
        report: Directory for the table and a plot.
    """
    cases = [
        (scenario_name, deployment_name, load, seed)
        for deployment_name in DEPLOYMENTS
        if not deployment or deployment_name == deployment
        for scenario_name in SCENARIOS
        if not scenario or scenario_name == scenario
        for load in LOADS_BY_SCENARIO.get(scenario_name, (DEFAULT_LOAD,))
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        rows = [row for figures in pool.map(_measure_case, cases) for row in figures]
    violating_runs = 0
    for row in rows:
        violated = row.violated_bounds if row.policy == "ours" else []
        violating_runs += bool(violated)
        verdict = "broken: " + ", ".join(violated) if violated else "held"
        print(json.dumps(attrs.asdict(row) | {"verdict": verdict}))
    table = _table(rows)
    print(table)
    missed_targets = list(_missed_targets(rows))
    for line in missed_targets:
        print(f"MISSED: {line}")
    if report is not None:
        _write_report(rows, table, report)
    return 1 if violating_runs or missed_targets else 0


def _missed_targets(rows):
    """Yield the p99 targets, relative to baseline and ideal, that were not met."""
    cases = {}
    for row in rows:
        case = (row.deployment, row.scenario, row.load)
        cases.setdefault(case, {})[row.policy] = row
    for case, by_policy in cases.items():
        p99 = {policy: row.p99 for policy, row in by_policy.items()}
        if p99["ours"] > p99["baseline"]:
            yield f"{case}: p99 {p99['ours']} exceeds baseline p99 {p99['baseline']}"
        if p99["ours"] > MAX_P99_TO_IDEAL_RATIO * p99["ideal"]:
            yield f"{case}: p99 {p99['ours']} exceeds 1.3 x ideal p99 {p99['ideal']}"


def _table(rows):
    return render_table(
        [
            "SCENARIO",
            "WHO",
            "LOAD",
            "POLICY",
            "OK %",
            "p50",
            "p99",
            "p99.9",
            "PEAK",
            "OVER",
            "SHIFT",
            "DRAIN s",
            "TRIES",
            "KB/s",
        ],
        [
            (
                r.scenario,
                r.deployment,
                r.load,
                r.policy,
                f"{r.ok * 100:.2f}",
                r.p50,
                r.p99,
                r.p999,
                r.peak_region,
                r.over_slots,
                r.shifted,
                r.drain_s if r.drain_s is not None else "-",
                r.retries,
                r.kilobytes,
            )
            for r in rows
        ],
    )


def _write_report(rows, table, directory):
    """Write the table and a bar chart of p99 by case and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    directory.mkdir(parents=True, exist_ok=True)
    (directory / "table.txt").write_text(table + "\n")
    cases = list(dict.fromkeys((r.deployment, r.scenario, r.load) for r in rows))
    figure, axes = pyplot.subplots(figsize=(12, 6))
    for i, policy in enumerate(("ours", "baseline", "ideal")):
        values = [r.p99 for r in rows if r.policy == policy]
        axes.bar([x + 0.27 * i for x in range(len(values))], values, 0.27, label=policy)
    axes.set_xticks(
        range(len(cases)), [" ".join(map(str, c)) for c in cases], rotation=75
    )
    axes.set_ylabel("p99 in ms")
    axes.legend()
    figure.tight_layout()
    figure.savefig(directory / "p99.png")


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
