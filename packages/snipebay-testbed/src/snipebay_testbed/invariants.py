"""The promises of the brief, put through random faults on fakes."""

import collections

import attrs
import numpy as np

from snipebay_testbed.deployments import Deployment, ServiceSpec
from snipebay_testbed.system_rig import SystemRig

__all__ = ["FAULTS", "Report", "run_seed"]

SHIFT_CAP = 0.3
IN_FORCE_LIMIT_S = 4.0
LEAVE_LIMIT_S = 4.0
LOAD_S = 14.0
RESEND_S = 1.5
RESENDS = 3
SMALL = Deployment(
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
    """What one run showed.

    Attributes:
        seed: Its seed.
        faults: Faults that it went through, with their times.
        broken: Promises that broke, with what was seen.
        told: Requests by service and outcome.
    """

    seed: int
    faults: list = attrs.Factory(list)
    broken: list = attrs.Factory(list)
    told: collections.Counter = attrs.Factory(collections.Counter)


class _Run:
    """One seeded run with load and faults."""

    def __init__(self, seed, fault_names=None, count=3, per_s=60.0):
        self.report = Report(seed)
        # A generator of its own, so that a plan stays when decisions change.
        self.plan = np.random.default_rng(seed + 1_000_000)
        self.rig = SystemRig(
            SMALL,
            seed,
            settings=self._tree(0),
            loss=0.01,
            duplicate=0.02,
        ).start()
        self.rig.connect_s = 0.001
        self.revisions = {}
        self._fault_names = fault_names or sorted(FAULTS)
        self._count = count
        self._per_s = per_s

    def run(self):
        """Run load and faults, heal, and judge."""
        rig = self.rig
        rig.request_counts.clear()
        rig.cross_region_counts.clear()
        self._load("check", self._per_s)
        self._load("issue", 25.0)
        self._watch()
        for _ in range(self._count):
            name = self._fault_names[int(self.plan.integers(len(self._fault_names)))]
            at_s = float(self.plan.uniform(0.5, LOAD_S * 0.6))
            rig.scheduler.after(at_s, self._start_fault, name)
        rig.scheduler.after(2.0, self._leave)
        rig.scheduler.run_for(LOAD_S)
        self._heal()
        rig.scheduler.run_for(8.0)
        self._change_at_the_end()
        self._judge()
        return self.report

    # --- load -------------------------------------------------------------

    def _load(self, service, per_s):
        end_s = self.rig.now_s + LOAD_S

        def arrive():
            if self.rig.now_s < end_s:
                number = self.rig.next_id()
                self._send(service, f"{service}-{number}", 0)
                wait_s = float(self.rig.rng.exponential(1 / per_s))
                self.rig.scheduler.after(wait_s, arrive)

        arrive()

    def _send(self, service, key, tries):
        """Send a request, and again by the same key when there is no answer."""
        hosts = list(self.rig.entries.values())
        host = hosts[int(self.rig.rng.integers(len(hosts)))]
        if host.core is None:
            return
        told = []
        keyed = service == "issue"
        host.request(service, key if keyed else "", on_result=told.append)
        if keyed and tries < RESENDS:
            self.rig.scheduler.after(RESEND_S, self._resend, key, tries, told)

    def _resend(self, key, tries, told):
        if not told or told[0].outcome == "unknown":
            self._send("issue", key, tries + 1)

    # --- faults -----------------------------------------------------------

    def _start_fault(self, name):
        self.report.faults.append((round(self.rig.now_s, 2), name))
        FAULTS[name](self)

    def pick_entry(self):
        hosts = list(self.rig.entries.values())
        return hosts[int(self.plan.integers(len(hosts)))]

    def pick_control(self):
        hosts = list(self.rig.control.hosts.values())
        return hosts[int(self.plan.integers(len(hosts)))]

    def later(self, low_s, high_s, callback, *args):
        """Run something after a time that the plan draws."""
        self.rig.scheduler.after(
            float(self.plan.uniform(low_s, high_s)), callback, *args
        )

    def _leave(self):
        backend = self.rig.backends["check-1"]
        # Long runs, so that a drain that ends too early cuts one off.
        backend.slow_factor = 30.0
        backend.leave()
        self._await_drained(backend)

    def _await_drained(self, backend):
        """Stop a backend server once it was told that it is drained."""
        if backend.state == "drained":
            if backend.load:
                self.report.broken.append(
                    f"planned stop cuts off {backend.load} requests"
                )
            backend.kill()
            backend.state = "gone"
        else:
            self.rig.scheduler.after(0.05, self._await_drained, backend)

    def _heal(self):
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

    # --- judging ----------------------------------------------------------

    def _tree(self, number):
        return SMALL.settings(shift_cap=SHIFT_CAP, retry_budget=0.1 + number / 100) + (
            "shifts: [{service: check, source: west, target: east, share: 0.2}]\n"
        )

    def _watch(self):
        """Note revisions that go back, and requests that cross regions."""
        for host in self.rig.entries.values():
            if host.core is None:
                continue
            key = (host.id, host.row.incarnation)
            revision = host.core.ctx.view.settings_revision
            if revision < self.revisions.get(key, 0):
                self.report.broken.append(f"{host.id} went back to {revision}")
            self.revisions[key] = revision
        self.rig.scheduler.after(0.1, self._watch)

    def _change_at_the_end(self):
        """Change the settings, and see them in force everywhere in time."""
        outcome = self.rig.change(self._tree(1))
        if outcome.code != "ok":
            self.report.broken.append(f"a change was refused: {outcome}")
            return
        took_s = self.rig.scheduler.wait_for(
            lambda: all(
                host.core.ctx.view.settings_revision == outcome.revision
                for host in self.rig.entries.values()
            ),
            2 * IN_FORCE_LIMIT_S,
        )
        if took_s is None or took_s > IN_FORCE_LIMIT_S:
            self.report.broken.append(f"in force everywhere after {took_s} s")

    def _judge(self):
        rig, broken = self.rig, self.report.broken
        runs = rig.runs()
        twice = sorted(key for key, count in runs.items() if count > 1)
        if twice:
            broken.append(f"run twice: {twice}")
        not_run = {
            result.key
            for result in rig.results
            if result.key and result.outcome == "not-run"
        }
        self._judge_not_run(not_run & runs.keys())
        if rig.over_slots():
            broken.append(f"{rig.over_slots()} requests met no free slot")
        for (region, service), asked in rig.request_counts.items():
            crossed = rig.cross_region_counts[region, service]
            if crossed > SHIFT_CAP * asked:
                broken.append(f"{region} {service}: {crossed} of {asked} shifted")
        backend = rig.backends["check-1"]
        late_s = backend.last_new_work_s - backend.leaving_since_s
        if late_s > LEAVE_LIMIT_S:
            broken.append(f"new work {late_s:.2f} s after leaving")
        if backend.state != "gone":
            broken.append(f"not drained: {backend.state}")
        for result in rig.results:
            self.report.told[result.service, result.outcome] += 1

    def _judge_not_run(self, keys):
        """Find keys told as not run that were run before or without a resend."""
        for key in sorted(keys):
            told = [r for r in self.rig.results if r.key == key]
            not_run_s = min(r.at_s for r in told if r.outcome == "not-run")
            run_s = min(
                b.run_at_s[key] for b in self.rig.backends.values() if key in b.run_at_s
            )
            self.report.broken.append(
                f"{key} told not run at {not_run_s:.3f}, run at {run_s:.3f}"
            )


# --- faults ---------------------------------------------------------------


def _kill_entry(run):
    host = run.pick_entry()
    if host.core is not None:
        host.kill()
        run.later(0.5, 6.0, lambda: host.core is None and host.start())


def _freeze_entry(run):
    host = run.pick_entry()
    host.freeze()
    run.later(0.2, 7.0, host.thaw)


def _cut_entry_from_control(run):
    host = run.pick_entry()
    inward, outward = [(True, True), (True, False), (False, True)][
        int(run.plan.integers(3))
    ]
    run.rig.network.partition(
        host.id, run.rig.control.hosts, inward=inward, outward=outward
    )


def _cut_entry_off(run):
    host = run.pick_entry()
    others = [*run.rig.control.hosts, *run.rig.entries]
    run.rig.network.partition(host.id, others)


def _cut_region_from_control(run):
    for host in run.rig.entries_of("west"):
        run.rig.network.partition(host.id, run.rig.control.hosts)


def _kill_control(run):
    host = run.pick_control()
    if host.is_running:
        host.kill()
        run.later(0.5, 5.0, lambda: host.is_running or host.start())


def _crash_control_in_a_write(run):
    run.pick_control().crash_at_sync = ("before-sync", "after-sync")[
        int(run.plan.integers(2))
    ]


def _lose_control_disk(run):
    # One at a time: two lost disks of three are beyond what is promised.
    if getattr(run, "disk_lost", False):
        return
    run.disk_lost = True
    host = run.pick_control()
    host.lose_disk()
    run.later(0.5, 2.0, lambda: host.is_running or host.start())


def _freeze_control(run):
    host = run.pick_control()
    host.freeze()
    run.later(0.5, 5.0, host.thaw)


def _cut_leader_off(run):
    leader = run.rig.control.leader
    if leader is not None:
        others = [*run.rig.control.hosts, *run.rig.entries, "client"]
        run.rig.network.partition(leader.id, others)


def _control_away(run):
    for host in run.rig.control.hosts.values():
        run.rig.network.partition(host.id, run.rig.entries)


def _kill_backend(run):
    ids = sorted(set(run.rig.backends) - {"check-1"})
    backend_id = ids[int(run.plan.integers(len(ids)))]
    run.rig.kill_backend(backend_id)
    run.later(1.0, 5.0, run.rig.backends[backend_id].restart)


def _kill_region(run):
    region = ("mid", "east")[int(run.plan.integers(2))]
    run.rig.kill_region(region)
    for backend in run.rig.backends.values():
        if backend.row.region == region and backend.state != "gone":
            run.later(3.0, 5.0, backend.restart)


def _slow_backend(run):
    run.rig.backends["check-2"].slow_factor = 15.0


def _lossy_network(run):
    run.rig.network.loss = 0.2


FAULTS = {
    "kill an entry instance": _kill_entry,
    "freeze an entry instance": _freeze_entry,
    "cut an entry instance from control": _cut_entry_from_control,
    "cut an entry instance off": _cut_entry_off,
    "cut a region from control": _cut_region_from_control,
    "kill a control instance": _kill_control,
    "crash a control instance in a write": _crash_control_in_a_write,
    "lose a control instance's disk": _lose_control_disk,
    "freeze a control instance": _freeze_control,
    "cut the leader off": _cut_leader_off,
    "cut control from all entry instances": _control_away,
    "kill a backend server": _kill_backend,
    "kill a region's backend servers": _kill_region,
    "slow a backend server": _slow_backend,
    "lose messages": _lossy_network,
}


def run_seed(seed, faults=None, count=3, per_s=60.0):
    """Return the report of one run.

    Args:
        seed: Seed of all chance.
        faults: Names of the faults to draw from, all by default.
        count: Faults in one run.
        per_s: Checks a second.
    """
    return _Run(seed, faults, count, per_s).run()
