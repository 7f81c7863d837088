"""Checks limits, hops and refusals of routed instances under random faults."""

import concurrent.futures
import sys

import attrs
import cyclopts
import numpy as np

from snipebay_testbed.routed_rig import RoutedRig

__all__ = ["RoutedReport", "main", "run_seed"]

GRACE_S = 4.0
WINDOW_S = 4.0
FAULT_COUNT = 8
FAULT_GAP_S = 1.5
SETTLE_S = 8.0
# Region shares return at 0.05 a second, after the last limit has recovered.
RETURN_S = 26.0
LOAD_PER_S = 120.0
# Share of the requests that must be served once all faults are over.
MIN_SERVED_AFTER = 0.95
app = cyclopts.App(help=__doc__)


@attrs.frozen
class RoutedReport:
    """Result of one seed.

    Attributes:
        seed: The seed.
        faults: Faults in order.
        violations: Texts on what was violated.
    """

    seed: int
    faults: tuple
    violations: tuple


class _Run:
    """One run: a deployment under load, with faults that may overlap."""

    def __init__(self, seed):
        self.rng = np.random.default_rng(seed)
        self.rig = RoutedRig(12, 12, seed).start()
        self.limit_per_s = float(self.rng.uniform(0.5, 6.0))
        self.disturbed = set()
        self.faults = []

    def play(self):
        """Play all faults, then a time without any; return the violations."""
        rig = self.rig
        rig.offer_load(LOAD_PER_S, 90.0, unsafe_share=0.4)
        rig.scheduler.run_for(3.0)
        self.named = rig.name_limits(self.limit_per_s, float(self.rng.uniform(0.2, 1)))
        limited_from_s = rig.now_s + GRACE_S
        rig.scheduler.run_for(2.0)
        kinds = (self._restart, self._freeze, self._isolate, self._cut, self._leader)
        for _ in range(FAULT_COUNT):
            kinds[int(self.rng.integers(len(kinds)))]()
            rig.scheduler.run_for(float(self.rng.uniform(0.1, FAULT_GAP_S)))
        rig.scheduler.run_for(SETTLE_S)
        violations = [*self._check_limits(limited_from_s), *self._check_runs()]
        rig.name_limits(None)
        rig.scheduler.run_for(RETURN_S)
        return tuple(violations + self._check_service())

    # --- faults -----------------------------------------------------------

    def _pick(self):
        hosts = self.rig.entries
        return hosts[int(self.rng.integers(len(hosts)))]

    def _record(self, fault, host):
        """Record a fault that excuses an instance from the limits it may exceed."""
        self.faults.append(fault)
        self.disturbed.add(host.id)

    def _later(self, callback, *args):
        after_s = float(self.rng.uniform(0.5, 6.0))
        self.rig.scheduler.after(after_s, callback, *args)

    def _restart(self):
        host = self._pick()
        if host.core is not None and not host.frozen:
            self._record(f"restart {host.id}", host)
            host.kill()
            self.rig.scheduler.after(0.8, host.start)

    def _freeze(self):
        host = self._pick()
        if host.core is not None and not host.frozen:
            self._record(f"freeze {host.id}", host)
            host.freeze()
            self._later(host.thaw)

    def _isolate(self):
        how = ("hang", "refuse")[int(self.rng.integers(2))]
        hosts = [self._pick() for _ in range(int(self.rng.integers(1, 7)))]
        self.faults.append(f"isolate {how} {[host.id for host in hosts]}")
        for host in hosts:
            host.cut_off(how)
            self._later(host.cut_off, "")

    def _cut(self):
        host = self._pick()
        self._record(f"cut {host.id} from control", host)
        self.rig.network.partition(host.id, self.rig.control.hosts)
        self._later(self.rig.network.heal)

    def _leader(self):
        leader = self.rig.control.leader
        if leader is not None:
            self.faults.append(f"kill leader {leader.id}")
            leader.kill()
            self.rig.scheduler.after(1.0, leader.start)

    # --- checks -----------------------------------------------------------

    def _check_limits(self, from_s):
        allowed = 1.5 * WINDOW_S * self.limit_per_s + 5
        for backend in self.named:
            worst = backend.largest_window(from_s, WINDOW_S, but=self.disturbed)
            if worst > allowed:
                name = backend.row.backend_id
                yield f"{worst} requests in 4 s to {name}, allowed {allowed:.0f}"

    def _check_runs(self):
        for host in self.rig.entries:
            unsafe = {i for i, path in host.paths.items() if path == "/u/"}
            for request_id in sorted(unsafe):
                if self.rig.runs[request_id] > 1:
                    yield f"unsafe request {request_id} ran more than once"
            refused = {p.request_id for _, p in host.refusals if p.outcome == "not-run"}
            for request_id in sorted(refused & unsafe):
                if self.rig.runs[request_id]:
                    yield f"unsafe request {request_id} ran and was told not run"

    def _check_service(self):
        to_s = self.rig.now_s - 2.5
        tries = [
            is_answered
            for host in self.rig.entries
            for arrived_s, is_answered in host.tries.values()
            if to_s - 3.0 <= arrived_s < to_s
        ]
        served = sum(tries) / len(tries)
        if served < MIN_SERVED_AFTER:
            return [f"{served:.2f} of the requests served after the faults"]
        return []


def run_seed(seed):
    """Run one seed and return its :class:`RoutedReport`."""
    run = _Run(seed)
    violations = run.play()
    return RoutedReport(seed, tuple(run.faults), violations)


@app.default
def run(*, seeds: int = 50, first: int = 0, jobs: int = 4):
    """Run consecutive seeds and print those that violate an invariant.

    Args:
        seeds: Number of seeds.
        first: First seed; with ``--seeds 1`` this repeats a single run.
        jobs: Number of runs in parallel.
    """
    failed_count = 0
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for report in pool.map(run_seed, range(first, first + seeds)):
            if seeds == 1 or report.violations:
                print(f"seed {report.seed}: {'; '.join(report.faults)}")
            for violation in report.violations:
                print(f"  VIOLATED: {violation}")
            failed_count += bool(report.violations)
    print(f"{seeds - failed_count} seeds kept all invariants, {failed_count} did not")
    return 1 if failed_count else 0


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
