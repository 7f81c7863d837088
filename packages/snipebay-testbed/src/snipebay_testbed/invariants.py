"""Checks the invariants of the system under random faults, on fakes.

- No request with an idempotency key runs more than once.
- A request whose caller received ``not-run`` never runs.
- No backend server has more requests at a time than slots.
- No more than the capped share of a region's requests is sent to other regions.
- A leaving backend server soon receives no new requests, is drained, and its planned
  stop aborts no request.
- The settings revision of a running entry instance never decreases, and an accepted
  change is soon in force at all entry instances.
"""

import collections

import attrs
import numpy as np

from snipebay_testbed.deployments import Deployment, ServiceSpec
from snipebay_testbed.system_rig import SystemRig

__all__ = ["FAULTS", "Report", "run_seed"]

SHIFT_CAP = 0.3
MAX_IN_FORCE_S = 4.0
MAX_REQUEST_AFTER_LEAVE_S = 4.0
LOAD_DURATION_S = 14.0
RETRY_DELAY_S = 1.5
MAX_RETRIES = 3
SMALL_DEPLOYMENT = Deployment(
    "three small regions",
    {"west": ("w1", "w2"), "mid": ("m1",), "east": ("s1",)},
    (
        ServiceSpec(
            "check", 8, (2, 3), 20.0, "deadline_ms: 800, retries: 2, hedge_after_ms: 90"
        ),
        ServiceSpec("issue", 8, (2, 3), 30.0, "deadline_ms: 2000, idempotent: false"),
    ),
    8,
    4.0,
    35.0,
    8.0,
)


@attrs.define
class Report:
    """Result of one run.

    Attributes:
        seed: Random seed of the run.
        faults: Pairs of time and name of the injected faults.
        violations: Descriptions of the violated invariants.
        outcome_counts: Number of requests by service and outcome.
    """

    seed: int
    faults: list = attrs.Factory(list)
    violations: list = attrs.Factory(list)
    outcome_counts: collections.Counter = attrs.Factory(collections.Counter)


class _FaultRun:
    """One run of a deployment under load and faults, reproducible by its seed."""

    def __init__(self, seed, fault_names=None, fault_count=3, checks_per_s=60.0):
        self.report = Report(seed)
        # A separate generator keeps the faults of a seed the same when the code
        # under test draws other random numbers.
        self.fault_rng = np.random.default_rng(seed + 1_000_000)
        self.rig = SystemRig(
            SMALL_DEPLOYMENT,
            seed,
            settings=self._settings_text(0),
            loss=0.01,
            duplicate=0.02,
        ).start()
        self.rig.connect_s = 0.001
        self.revisions = {}
        self._fault_names = fault_names or sorted(FAULTS)
        self._fault_count = fault_count
        self._checks_per_s = checks_per_s

    def run(self):
        """Run load and faults, repair the faults and check the invariants."""
        rig = self.rig
        rig.request_counts.clear()
        rig.cross_region_counts.clear()
        self._offer_load("check", self._checks_per_s)
        self._offer_load("issue", 25.0)
        self._watch_revisions()
        for _ in range(self._fault_count):
            name = self._fault_names[
                int(self.fault_rng.integers(len(self._fault_names)))
            ]
            at_s = float(self.fault_rng.uniform(0.5, LOAD_DURATION_S * 0.6))
            rig.scheduler.after(at_s, self._inject_fault, name)
        rig.scheduler.after(2.0, self._start_drain)
        rig.scheduler.run_for(LOAD_DURATION_S)
        self._repair_faults()
        rig.scheduler.run_for(8.0)
        self._check_settings_change()
        self._check_invariants()
        return self.report

    # --- load -------------------------------------------------------------

    def _offer_load(self, service, per_s):
        end_s = self.rig.now_s + LOAD_DURATION_S

        def arrive():
            if self.rig.now_s < end_s:
                number = self.rig.next_id()
                self._send(service, f"{service}-{number}", 0)
                wait_s = float(self.rig.rng.exponential(1 / per_s))
                self.rig.scheduler.after(wait_s, arrive)

        arrive()

    def _send(self, service, key, retry_count):
        """Send a request; a call of ``issue`` is repeated if its outcome is unknown."""
        hosts = list(self.rig.entries.values())
        host = hosts[int(self.rig.rng.integers(len(hosts)))]
        if host.core is None:
            return
        results = []
        is_keyed = service == "issue"
        host.request(service, key if is_keyed else "", on_result=results.append)
        if is_keyed and retry_count < MAX_RETRIES:
            self.rig.scheduler.after(
                RETRY_DELAY_S, self._retry_if_unknown, key, retry_count, results
            )

    def _retry_if_unknown(self, key, retry_count, results):
        """Repeat a call with the same key if it is unknown whether the request ran."""
        if not results or results[0].outcome == "unknown":
            self._send("issue", key, retry_count + 1)

    # --- faults -----------------------------------------------------------

    def _inject_fault(self, name):
        self.report.faults.append((round(self.rig.now_s, 2), name))
        FAULTS[name](self)

    def pick_entry(self):
        """Return a random entry instance."""
        hosts = list(self.rig.entries.values())
        return hosts[int(self.fault_rng.integers(len(hosts)))]

    def pick_control(self):
        """Return a random control instance."""
        hosts = list(self.rig.control.hosts.values())
        return hosts[int(self.fault_rng.integers(len(hosts)))]

    def after_random_delay(self, low_s, high_s, callback, *args):
        """Schedule a callback after a delay from a uniform distribution."""
        self.rig.scheduler.after(
            float(self.fault_rng.uniform(low_s, high_s)), callback, *args
        )

    def _start_drain(self):
        backend = self.rig.backends["check-1"]
        # Slow requests, so that a drain that ends too early aborts one.
        backend.slow_factor = 30.0
        backend.leave()
        self._await_drained(backend)

    def _await_drained(self, backend):
        """Stop a backend server once it has been reported as drained."""
        if backend.state == "drained":
            if backend.load:
                self.report.violations.append(
                    f"planned stop aborted {backend.load} requests"
                )
            backend.kill()
            backend.state = "gone"
        else:
            self.rig.scheduler.after(0.05, self._await_drained, backend)

    def _repair_faults(self):
        """Restore the network, and resume or start all instances."""
        self.rig.network.heal()
        self.rig.network.loss = 0.0
        for host in self.rig.control.hosts.values():
            if host.frozen:
                host.thaw()
            if not host.is_running:
                host.start()
        for host in self.rig.entries.values():
            if host.frozen:
                host.thaw()
            if host.core is None:
                host.start()

    # --- checks -----------------------------------------------------------

    def _settings_text(self, number):
        """Return a settings tree as YAML that differs by its number."""
        return SMALL_DEPLOYMENT.settings(
            shift_cap=SHIFT_CAP, retry_budget=0.1 + number / 100
        ) + ("shifts: [{service: check, source: west, target: east, share: 0.2}]\n")

    def _watch_revisions(self):
        """Record running instances whose settings revision decreases, periodically."""
        for host in self.rig.entries.values():
            if host.core is None:
                continue
            key = (host.id, host.row.incarnation)
            revision = host.core.ctx.view.settings_revision
            if revision < self.revisions.get(key, 0):
                self.report.violations.append(
                    f"{host.id} went back to settings revision {revision}"
                )
            self.revisions[key] = revision
        self.rig.scheduler.after(0.1, self._watch_revisions)

    def _check_settings_change(self):
        """Check that a change of the settings is in force everywhere in time."""
        outcome = self.rig.change(self._settings_text(1))
        if outcome.code != "ok":
            self.report.violations.append(f"settings change refused: {outcome}")
            return
        took_s = self.rig.scheduler.wait_for(
            lambda: all(
                host.core.ctx.view.settings_revision == outcome.revision
                for host in self.rig.entries.values()
            ),
            2 * MAX_IN_FORCE_S,
        )
        if took_s is None or took_s > MAX_IN_FORCE_S:
            self.report.violations.append(
                f"settings in force everywhere after {took_s} s"
            )

    def _check_invariants(self):
        """Check the invariants that are checked once, at the end of the run."""
        rig, violations = self.rig, self.report.violations
        run_counts = rig.run_counts()
        repeated = sorted(key for key, count in run_counts.items() if count > 1)
        if repeated:
            violations.append(f"run more than once: {repeated}")
        not_run = {
            result.key
            for result in rig.results
            if result.key and result.outcome == "not-run"
        }
        self._report_not_run(not_run & run_counts.keys())
        if rig.over_slots():
            violations.append(
                f"{rig.over_slots()} requests arrived without a free slot"
            )
        for (region, service), request_count in rig.request_counts.items():
            shifted = rig.cross_region_counts[region, service]
            if shifted > SHIFT_CAP * request_count:
                violations.append(
                    f"{region} {service}: {shifted} of {request_count} shifted"
                )
        backend = rig.backends["check-1"]
        late_s = backend.last_request_s - backend.leaving_since_s
        if late_s > MAX_REQUEST_AFTER_LEAVE_S:
            violations.append(f"new request {late_s:.2f} s after leaving")
        if backend.state != "gone":
            violations.append(f"not drained: {backend.state}")
        for result in rig.results:
            self.report.outcome_counts[result.service, result.outcome] += 1

    def _report_not_run(self, keys):
        """Record keys that were reported as not run but ran, with both times."""
        for key in sorted(keys):
            results = [r for r in self.rig.results if r.key == key]
            not_run_s = min(r.at_s for r in results if r.outcome == "not-run")
            run_s = min(
                b.first_run_s[key]
                for b in self.rig.backends.values()
                if key in b.first_run_s
            )
            self.report.violations.append(
                f"{key} reported as not run at {not_run_s:.3f}, run at {run_s:.3f}"
            )


# --- faults ---------------------------------------------------------------


def _kill_entry(run):
    host = run.pick_entry()
    if host.core is not None:
        host.kill()
        run.after_random_delay(0.5, 6.0, lambda: host.core is None and host.start())


def _freeze_entry(run):
    host = run.pick_entry()
    host.freeze()
    run.after_random_delay(0.2, 7.0, host.thaw)


def _partition_entry_from_control(run):
    host = run.pick_entry()
    inward, outward = [(True, True), (True, False), (False, True)][
        int(run.fault_rng.integers(3))
    ]
    run.rig.network.partition(
        host.id, run.rig.control.hosts, inward=inward, outward=outward
    )


def _partition_entry(run):
    host = run.pick_entry()
    others = [*run.rig.control.hosts, *run.rig.entries]
    run.rig.network.partition(host.id, others)


def _partition_region_from_control(run):
    for host in run.rig.running_entries("west"):
        run.rig.network.partition(host.id, run.rig.control.hosts)


def _kill_control(run):
    host = run.pick_control()
    if host.is_running:
        host.kill()
        run.after_random_delay(0.5, 5.0, lambda: host.is_running or host.start())


def _crash_control_in_write(run):
    run.pick_control().crash_at_sync = ("before-sync", "after-sync")[
        int(run.fault_rng.integers(2))
    ]


def _lose_control_disk(run):
    # At most once in a run: the invariants do not cover the loss of two of the three
    # disks.
    if getattr(run, "disk_lost", False):
        return
    run.disk_lost = True
    host = run.pick_control()
    host.lose_disk()
    run.after_random_delay(0.5, 2.0, lambda: host.is_running or host.start())


def _freeze_control(run):
    host = run.pick_control()
    host.freeze()
    run.after_random_delay(0.5, 5.0, host.thaw)


def _partition_leader(run):
    leader = run.rig.control.leader
    if leader is not None:
        others = [*run.rig.control.hosts, *run.rig.entries, "client"]
        run.rig.network.partition(leader.id, others)


def _partition_control_from_entries(run):
    for host in run.rig.control.hosts.values():
        run.rig.network.partition(host.id, run.rig.entries)


def _kill_backend(run):
    ids = sorted(set(run.rig.backends) - {"check-1"})
    backend_id = ids[int(run.fault_rng.integers(len(ids)))]
    run.rig.kill_backend(backend_id)
    run.after_random_delay(1.0, 5.0, run.rig.backends[backend_id].restart)


def _kill_region(run):
    region = ("mid", "east")[int(run.fault_rng.integers(2))]
    run.rig.kill_region(region)
    for backend in run.rig.backends.values():
        if backend.row.region == region and backend.state != "gone":
            run.after_random_delay(3.0, 5.0, backend.restart)


def _slow_backend(run):
    run.rig.backends["check-2"].slow_factor = 15.0


def _lossy_network(run):
    run.rig.network.loss = 0.2


# Runs draw from the sorted names, so a renamed fault changes what a seed reproduces.
FAULTS = {
    "kill an entry instance": _kill_entry,
    "freeze an entry instance": _freeze_entry,
    "cut an entry instance from control": _partition_entry_from_control,
    "cut an entry instance off": _partition_entry,
    "cut a region from control": _partition_region_from_control,
    "kill a control instance": _kill_control,
    "crash a control instance in a write": _crash_control_in_write,
    "lose a control instance's disk": _lose_control_disk,
    "freeze a control instance": _freeze_control,
    "cut the leader off": _partition_leader,
    "cut control from all entry instances": _partition_control_from_entries,
    "kill a backend server": _kill_backend,
    "kill a region's backend servers": _kill_region,
    "slow a backend server": _slow_backend,
    "lose messages": _lossy_network,
}


def run_seed(seed, fault_names=None, fault_count=3, checks_per_s=60.0):
    """Return the report of one run.

    Args:
        seed: Random seed of the run.
        fault_names: Names of the faults to draw from, by default all.
        fault_count: Number of faults injected.
        checks_per_s: Mean number of requests a second to the service ``check``.
    """
    return _FaultRun(seed, fault_names, fault_count, checks_per_s).run()
