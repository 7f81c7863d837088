"""Measures the steering decisions in virtual time, beside a plain baseline."""

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
LOAD_S = 8.0
POLICIES = {"ours": EntryHost, "baseline": BaselineHost}
app = cyclopts.App(help=__doc__)


@attrs.frozen
class Figures:
    """What one run showed, times in milliseconds.

    Attributes:
        scenario: Name of the scenario.
        deployment: Name of the deployment.
        policy: ``ours``, ``baseline`` or ``ideal``.
        load: Offered load as a share of what the slots can run.
        requests: Requests made.
        ok: Share answered within the deadline.
        p50: Median latency of answers.
        p99: 99th percentile.
        p999: 99.9th percentile.
        over_slots: Requests that met a backend server with no slot free.
        peak_region: Greatest load of a region as a share of its slots.
        shifted: Greatest share that a region sent away.
        shift_cap: Its cap.
        drain_s: Longest drain, or None.
        cut: Requests cut by planned stops.
        retries: Retries and hedges for each request.
        messages: Messages between instances for each instance and second.
        kilobytes: Their size.
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
    def findings(self):
        """Bounds of the promises that do not hold, for our policy."""
        checks = {
            "over_slots <= 0": self.over_slots <= 0,
            "peak_region <= 1": self.peak_region <= 1,
            "shifted <= shift_cap": self.shifted <= self.shift_cap,
            "cut <= 0": self.cut <= 0,
            "drain_s <= 5": self.drain_s is None or self.drain_s <= 5,
        }
        return [name for name, holds in checks.items() if not holds]


class _Bench:
    """One run of one scenario under one policy."""

    def __init__(self, scenario, name, policy, load, seed):
        plan = DEPLOYMENTS[name]
        check = attrs.evolve(plan.services[0], service_ms=SERVICE_MS)
        self.deployment = attrs.evolve(plan, services=(check, *plan.services[1:]))
        self.name, self.policy, self.load = name, policy, load
        self.scenario = scenario
        self.service = check.name
        self.arrivals_rng = np.random.default_rng(seed + 99)
        host_class = POLICIES[policy]
        self.rig = SystemRig(
            self.deployment,
            seed,
            settings=self.tree(),
            loss=0.001,
            host_class=host_class,
        ).start()
        self.rig.connect_s = plan.connect_ms / 1_000
        self.arrivals = []
        self.drains = []
        self.peak = 0.0

    def tree(self, extra="", **rules):
        return self.deployment.settings(slow_start_s=5, **rules) + extra

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

    def offer(self, seconds, load_at=None):
        """Let requests arrive, at a load that may change over time."""
        rig, rng = self.rig, self.arrivals_rng
        start_s = rig.now_s
        hosts = list(rig.entries.values())
        at_s = 0.0
        while at_s < seconds:
            load = load_at(at_s) if load_at else self.load
            at_s += float(rng.exponential(1 / (self.capacity_per_s * load)))
            host = hosts[int(rng.integers(len(hosts)))]
            self.arrivals.append(start_s + at_s)
            rig.scheduler.after(at_s, host.request, self.service)
        self._watch(start_s + seconds)

    def _watch(self, end_s):
        """Note the greatest load of a region against its slots."""
        for region in self.deployment.regions:
            load = self.rig.region_load(region, self.service)
            slots = self.rig.region_slots(region, self.service)
            self.peak = max(self.peak, load / slots)
        if self.rig.now_s < end_s:
            self.rig.scheduler.after(0.02, self._watch, end_s)

    def drain(self, backend_id):
        """Drain a backend server, stop it when told, and bring it back."""
        backend = self.rig.backends[backend_id]
        backend.leave()
        self._await_drained(backend)

    def _await_drained(self, backend):
        if backend.state == "drained":
            self.drains.append(self.rig.now_s - backend.leaving_since_s)
            backend.kill()
            backend.leaving = False
            backend.state = "new"
            self.rig.scheduler.after(1.0, backend.restart)
        else:
            self.rig.scheduler.after(0.05, self._await_drained, backend)

    def run(self):
        """Run the scenario and return its figures."""
        rig = self.rig
        rig.offer_poisson_load(self.service, self.capacity_per_s * 0.3, WARM_UP_S)
        rig.scheduler.run_for(WARM_UP_S + 1)
        rig.results.clear()
        rig.cross_region_counts.clear()
        rig.request_counts.clear()
        sent, size = (
            sum(rig.network.sent.values()),
            sum(rig.network.sent_bytes.values()),
        )
        start_s = rig.now_s
        tries = self._tries()
        SCENARIOS[self.scenario](self)
        rig.scheduler.run_for(2.0)
        span_s = (rig.now_s - start_s) * len(rig.entries)
        return self._figures(
            (sum(rig.network.sent.values()) - sent) / span_s,
            (sum(rig.network.sent_bytes.values()) - size) / span_s / 1_000,
            self._tries() - tries,
        )

    def _tries(self):
        """Return retries and hedges so far."""
        return sum(
            host.core.ctx.counts["retries"] + host.core.ctx.counts["hedges"]
            for host in self.rig.entries.values()
            if host.core
        )

    def _figures(self, messages, kilobytes, tries):
        rig = self.rig
        results = [r for r in rig.results if r.service == self.service]
        host = next(host for host in rig.entries.values() if host.core)
        rules = host.core.ctx.rules(self.service)
        ok = [
            r.latency_s * 1_000
            for r in results
            if r.outcome == "ok" and r.latency_s * 1_000 <= rules.deadline_ms
        ]
        count = len(self.arrivals)
        shares = [
            rig.cross_region_counts[place] / total
            for place, total in rig.request_counts.items()
            if place[1] == self.service
        ]
        return Figures(
            self.scenario,
            self.name,
            self.policy,
            self.load,
            count,
            len(ok) / count,
            *_percentiles(ok),
            over_slots=rig.over_slots(),
            peak_region=round(self.peak, 3),
            shifted=round(max(shares, default=0.0), 4),
            shift_cap=rules.shift_cap,
            drain_s=round(max(self.drains), 2) if self.drains else None,
            cut=sum(b.aborted_count for b in rig.backends.values())
            if self.drains
            else 0,
            retries=round(tries / count, 4),
            messages=round(messages, 1),
            kilobytes=round(kilobytes, 2),
        )

    def ideal(self, deadline_s=0.8):
        """Return the figures of one queue over all slots for the same arrivals."""
        rng = np.random.default_rng(7)
        free_s = [0.0] * self.slots
        heapq.heapify(free_s)
        ok = []
        for at_s in sorted(self.arrivals):
            start_s = max(at_s, free_s[0])
            if start_s - at_s > deadline_s:
                continue
            run_s = SERVICE_MS / 1_000 * float(np.exp(0.3 * rng.standard_normal()))
            heapq.heapreplace(free_s, start_s + run_s)
            if start_s + run_s - at_s <= deadline_s:
                ok.append((start_s + run_s - at_s) * 1_000)
        return Figures(
            self.scenario,
            self.name,
            "ideal",
            self.load,
            len(self.arrivals),
            len(ok) / len(self.arrivals),
            *_percentiles(ok),
        )


def _percentiles(values):
    """Return median, 99th and 99.9th percentile, rounded."""
    if not values:
        return 0.0, 0.0, 0.0
    return tuple(round(float(p), 1) for p in np.percentile(values, (50, 99, 99.9)))


# --- scenarios ------------------------------------------------------------


def _steady(bench):
    bench.offer(LOAD_S)
    bench.rig.scheduler.run_for(LOAD_S)


def _shift(bench):
    """An operator moves half a region's cap to another."""
    source, target = list(bench.deployment.regions)[1:]
    extra = (
        f"shifts: [{{service: {bench.service}, source: {source}, target: {target}, "
        "share: 0.2}]\n"
    )
    bench.rig.change(bench.tree(extra))
    bench.offer(LOAD_S)
    bench.rig.scheduler.run_for(LOAD_S)


def _drains(bench):
    """One backend server after the other is drained and comes back."""
    bench.offer(LOAD_S)
    for i in range(3):
        bench.drain(f"{bench.service}-{i + 1}")
        bench.rig.scheduler.run_for(LOAD_S / 3)


def _region_dies(bench):
    """All backend servers of a region die and come back cold."""
    bench.offer(LOAD_S)
    bench.rig.scheduler.run_for(1.0)
    region = list(bench.deployment.regions)[2]
    bench.rig.kill_region(region)
    bench.rig.scheduler.run_for(3.0)
    for backend in bench.rig.backends.values():
        if backend.row.region == region:
            backend.cold_factor = 4.0
            backend.restart()
    bench.rig.scheduler.run_for(LOAD_S - 4.0)


def _slow_backend(bench):
    """One backend server is ten times slower, but not dead."""
    bench.rig.backends[f"{bench.service}-1"].slow_factor = 10.0
    _steady(bench)


def _control_away(bench):
    """No entry instance reaches control, long after all leases are over."""
    for host in bench.rig.control.hosts.values():
        bench.rig.network.partition(host.id, bench.rig.entries)
    bench.rig.scheduler.run_for(30.0)
    _steady(bench)


def _domain_dies(bench):
    """Entry instances and backend servers of a failure domain die."""
    bench.offer(LOAD_S)
    bench.rig.scheduler.run_for(1.0)
    domain = bench.deployment.domains[0][0]
    for host in bench.rig.entries.values():
        if host.row.domain == domain:
            host.kill()
    for backend in bench.rig.backends.values():
        if backend.row.domain == domain:
            bench.rig.kill_backend(backend.row.backend_id)
    bench.rig.scheduler.run_for(LOAD_S - 1.0)


def _rush(bench):
    """Load grows from a fifth to the full offer within the run."""
    bench.offer(LOAD_S, lambda at_s: bench.load * (0.2 + 0.8 * at_s / LOAD_S))
    bench.rig.scheduler.run_for(LOAD_S)


def _entry_freezes(bench):
    """One entry instance stands still for four seconds."""
    bench.offer(LOAD_S)
    bench.rig.scheduler.run_for(1.0)
    host = bench.rig.entries["e02"]
    host.freeze()
    bench.rig.scheduler.run_for(4.0)
    host.thaw()
    bench.rig.scheduler.run_for(LOAD_S - 5.0)


SCENARIOS = {
    "steady": _steady,
    "shift": _shift,
    "drains": _drains,
    "region-dies": _region_dies,
    "slow-backend": _slow_backend,
    "control-away": _control_away,
    "domain-dies": _domain_dies,
    "rush": _rush,
    "entry-freezes": _entry_freezes,
}
LOADS = {"steady": (0.5, 0.8, 0.95, 1.2)}
USUAL_LOAD = 0.6
IDEAL_RATIO = 1.3


def measure(scenario, deployment, load, seed):
    """Return the figures of ours, the baseline and the ideal for one case."""
    ours = _Bench(scenario, deployment, "ours", load, seed)
    figures = [ours.run(), ours.ideal()]
    return [*figures, _Bench(scenario, deployment, "baseline", load, seed).run()]


def _measure(args):
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
    """Run the scenarios and print a JSON line for each run, then a table.

    Args:
        seed: Seed of all chance.
        scenario: Run only this one.
        deployment: Run only this one.
        jobs: Cases run at once.
        report: Folder for a plot and the table.
    """
    cases = [
        (name, place, load, seed)
        for place in DEPLOYMENTS
        if not deployment or place == deployment
        for name in SCENARIOS
        if not scenario or name == scenario
        for load in LOADS.get(name, (USUAL_LOAD,))
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        rows = [row for found in pool.map(_measure, cases) for row in found]
    broken = 0
    for row in rows:
        findings = row.findings if row.policy == "ours" else []
        broken += bool(findings)
        verdict = "broken: " + ", ".join(findings) if findings else "held"
        print(json.dumps(attrs.asdict(row) | {"verdict": verdict}))
    table = _table(rows)
    print(table)
    missed = list(_missed(rows))
    for line in missed:
        print(f"MISSED: {line}")
    if report is not None:
        _draw(rows, table, report)
    return 1 if broken or missed else 0


def _missed(rows):
    """Yield the targets beside baseline and ideal that were not met."""
    cases = {}
    for row in rows:
        case = (row.deployment, row.scenario, row.load)
        cases.setdefault(case, {})[row.policy] = row
    for case, by in cases.items():
        p99 = {policy: row.p99 for policy, row in by.items()}
        if p99["ours"] > p99["baseline"]:
            yield f"{case}: p99 {p99['ours']} over the baseline's {p99['baseline']}"
        if p99["ours"] > IDEAL_RATIO * p99["ideal"]:
            yield f"{case}: p99 {p99['ours']} over 1.3 x {p99['ideal']} of one queue"


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


def _draw(rows, table, folder):
    """Write the table and a plot of p99 by scenario and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "table.txt").write_text(table + "\n")
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
    figure.savefig(folder / "p99.png")


def main():
    """Run from the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
