"""Runs a reference deployment as separate processes, under load, and checks it."""

import http.client
import json
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

import attrs
import cyclopts
import numpy as np
from circuits import BaseComponent, Timer, handler
from circuits.core.pollers import EPoll
from snipebay_cli.render import render_table
from snipebay_node.streams import StreamHub

from snipebay_testbed.deployments import DEPLOYMENTS
from snipebay_testbed.http_client import HttpClient
from snipebay_testbed.load import CallerSimulator, ServiceLoad
from snipebay_testbed.processes import (
    RunningDeployment,
    read_run_counts,
    reserve_ports,
)
from snipebay_testbed.timers import Timers, tick

__all__ = ["LoadGenerator", "RunReport", "main"]

TICK_S = 0.002
READY_TIMEOUT_S = 20.0
MAX_IN_FORCE_S = 4.0
MAX_DRAIN_S = 5.0
WARM_UP_S = 2.5
CLIENT_COUNT = 30
app = cyclopts.App(help=__doc__)


class LoadGenerator(BaseComponent):
    """Event loop that runs the simulated callers.

    Args:
        seed: Random seed.
        clients: Client addresses.
        entries: Addresses of the entry instances.
    """

    channel = "load"

    def __init__(self, seed, clients, entries):
        super().__init__()
        self.poller = EPoll().register(self)
        self.hub = StreamHub(self.poller).register(self)
        self.client = HttpClient(self.hub, time.monotonic)
        self.timers = Timers()
        rng = np.random.default_rng(seed)
        self.callers = CallerSimulator(
            self.client, self.timers.after, rng, clients, entries
        )
        Timer(TICK_S, tick(), "load", persist=True).register(self)

    def run_load(self, loads, seconds, drain_timeout_s):
        """Send requests for some time, then wait for outstanding responses.

        Args:
            loads: Load on each service.
            seconds: How long new requests are sent.
            drain_timeout_s: Longest time to wait for responses after that.
        """
        self.timers.after(0, lambda: self.callers.run(loads, seconds))
        end_s = time.monotonic() + seconds
        self.run_until(lambda: self._is_load_done(end_s, drain_timeout_s))

    def run_until(self, is_done):
        """Run the event loop until a condition holds."""
        self._is_done = is_done
        self.run()

    def _is_load_done(self, end_s, drain_timeout_s):
        now_s = time.monotonic()
        all_completed = now_s > end_s + 0.2 and not self.callers.open_requests
        return all_completed or now_s > end_s + drain_timeout_s

    @handler("tick")
    def _on_tick(self):
        now_s = time.monotonic()
        self.timers.run_due()
        self.client.tick(now_s)
        if self._is_done():
            self.stop()


@attrs.define
class RunReport:
    """Results of the run, besides the callers' statistics.

    Attributes:
        ready_s: Time until all backend servers had joined, including the warm-up.
        in_force_s: Time until the settings change was in force everywhere.
        drain_s: Time that the drain took.
        late_requests: Requests sent to a backend server after it was told that it
            is drained.
        killed: Ids of instances that did not stop gracefully.
        violations: Descriptions of violated invariants.
    """

    ready_s: float | None = None
    in_force_s: float | None = None
    drain_s: float | None = None
    late_requests: int = 0
    killed: list = attrs.Factory(list)
    violations: list = attrs.Factory(list)


@app.default
def run(
    *,
    deployment: str = "marina",
    seed: int = 1,
    seconds: float = 10.0,
    first_port: int = 21_000,
    faults: bool = False,
    keep: bool = False,
):
    """Run a deployment under load, with a change and a drain, and print a summary.

    Args:
        deployment: ``marina`` or ``badvatten``.
        seed: Random seed.
        seconds: Duration of the load.
        first_port: First port on 127.0.0.1 to try; a run uses 200.
        faults: Instead of the drain, kill the leader, pause an instance and wipe
            the disk of another, then change a setting.
        keep: Keep logs, spans and data.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="snipebay-"))
    spec = DEPLOYMENTS[deployment]
    with reserve_ports(first_port) as port:
        running = RunningDeployment(deployment, spec, directory, port, seed)
        report = _play(running, seed, seconds, faults)
    if keep or report.violations:
        print(f"logs, spans and data: {directory}")
    else:
        shutil.rmtree(directory)
    return 1 if report.violations else 0


def _play(running, seed, seconds, faults):
    """Run a deployment, print the summary and return the :class:`RunReport`."""
    spec = running.deployment
    report = RunReport()
    stats_by_service = {}
    print(f"{spec.name}: {spec.entries} instances, {len(running.backends)} backends")
    try:
        if _start_and_wait(running, report):
            operation = _inject_faults if faults else _change_and_drain
            stats_by_service = _run_load(running, report, seed, seconds, operation)
    finally:
        report.killed = running.stop()
    _check_invariants(report, stats_by_service, faults)
    _print_summary(report, stats_by_service)
    return report


def _start_and_wait(running, report):
    """Start all processes and return True once all backend servers have joined."""
    start_s = time.monotonic()
    running.start_instances()
    entries = running.deployment.entries
    instances_up_s = running.wait_for_status(
        lambda s: len(s.entries) == entries, READY_TIMEOUT_S
    )
    if instances_up_s is None:
        report.violations.append("the instances did not start in time")
        return False
    settings_path = running.directory / "settings.yaml"
    settings_path.write_text(running.deployment.settings())
    running.run_cli("apply", str(settings_path))
    running.start_stubs()
    count = len(running.backends)
    if (
        running.wait_for_status(lambda s: len(s.backends) == count, READY_TIMEOUT_S)
        is None
    ):
        report.violations.append("not all backend servers joined in time")
        return False
    time.sleep(WARM_UP_S)
    report.ready_s = time.monotonic() - start_s
    return True


def _run_load(running, report, seed, seconds, operation):
    """Run the load while a thread operates the deployment.

    Returns:
        Statistics by service.
    """
    check_service, issue_service, read_service = (
        service.name for service in running.deployment.services
    )
    loads = [
        ServiceLoad(check_service, 60.0, False, 1.0),
        ServiceLoad(issue_service, 10.0, True, 5.0),
        ServiceLoad(read_service, 4.0, False, 25.0),
    ]
    clients = [f"127.0.{i % 6}.{10 + i}" for i in range(CLIENT_COUNT)]
    generator = LoadGenerator(seed, clients, running.entries)
    operator = threading.Thread(target=operation, args=(running, report, seconds))
    operator.start()
    generator.run_load(loads, seconds, 10.0)
    operator.join()
    generator.callers.stats["(open)"].outcomes["open"] = generator.callers.open_requests
    _check_ledger(running, report, generator.callers)
    return generator.callers.stats


def _change_and_drain(running, report, seconds):
    """Change a rule inherited by all services, then drain a backend server."""
    time.sleep(seconds * 0.2)
    settings_path = running.directory / "changed.yaml"
    settings_path.write_text(running.deployment.settings(retry_budget=0.2))
    report.in_force_s = running.run_cli("apply", str(settings_path))["in_force_s"]
    time.sleep(seconds * 0.2)
    address = running.backends[0].address
    _call_stub(address, "leave")
    end_s = time.monotonic() + 2 * MAX_DRAIN_S
    while report.drain_s is None and time.monotonic() < end_s:
        time.sleep(0.1)
        stub_report = _call_stub(address, "report")
        report.drain_s = stub_report["drained_after_s"]
    # The load goes on, so a request that is sent there by mistake would arrive now.
    time.sleep(seconds * 0.2)
    late_requests = _call_stub(address, "report")["late_requests"]
    report.late_requests = late_requests - stub_report["late_requests"]


def _inject_faults(running, report, seconds):
    """Kill the leader, pause an instance and wipe a disk, all under load."""
    time.sleep(seconds * 0.1)
    leader = running.client.status().unwrap().leader
    running.send_signal(leader, signal.SIGKILL)
    running.processes[leader].wait()
    time.sleep(seconds * 0.2)
    running.start_instance(leader)
    paused = next(i for i in running.processes if not running.is_control(i))
    running.send_signal(paused, signal.SIGSTOP)
    time.sleep(seconds * 0.3)
    running.send_signal(paused, signal.SIGCONT)
    wiped = next(i for i in running.processes if running.is_control(i) and i != leader)
    running.send_signal(wiped, signal.SIGKILL)
    running.processes[wiped].wait()
    shutil.rmtree(running.directory / wiped)
    running.start_instance(wiped)
    voters_restored_s = running.wait_for_status(
        lambda s: len(s.members) == 3 and all(m.voter for m in s.members),
        READY_TIMEOUT_S,
    )
    if voters_restored_s is None:
        report.violations.append(
            "the instance with the wiped disk did not become a voter again"
        )
    settings_path = running.directory / "changed.yaml"
    settings_path.write_text(running.deployment.settings(retry_budget=0.2))
    report.in_force_s = running.run_cli("apply", str(settings_path))["in_force_s"]


def _call_stub(address, command):
    """Send a control command to a stub backend server and return its report."""
    connection = http.client.HTTPConnection(address, timeout=2)
    connection.request("GET", f"/standin/{command}")
    document = json.loads(connection.getresponse().read())
    connection.close()
    return document


def _check_ledger(running, report, callers):
    """Compare the outcomes that callers received with the ledger of executed keys."""
    runs = read_run_counts(running.ledger)
    run_twice = [key for key, count in runs.items() if count > 1]
    wrongly_reported = callers.not_run_keys & runs.keys()
    if run_twice:
        report.violations.append(f"run more than once: {run_twice}")
    if wrongly_reported:
        report.violations.append(
            f"reported as not run, but run: {sorted(wrongly_reported)}"
        )
    print(f"keys run: {len(runs)}, run more than once: {len(run_twice)}, ", end="")
    print(f"reported as not run, but run: {len(wrongly_reported)}")


def _check_invariants(report, stats_by_service, under_faults):
    """Record every violated invariant in the report."""
    violations = report.violations
    for service, stats in stats_by_service.items():
        if stats.mismatched_responses:
            violations.append(
                f"{service}: {stats.mismatched_responses} mismatched responses"
            )
        failures = {
            k: v for k, v in stats.outcomes.items() if k not in ("ok", "resent") and v
        }
        # With injected faults "unknown" is an allowed outcome; _check_ledger has
        # compared the reported outcomes with the ledger.
        if failures and not under_faults:
            violations.append(f"{service}: {failures}")
    if report.ready_s is not None:
        if report.in_force_s is None or report.in_force_s > MAX_IN_FORCE_S:
            violations.append(f"change in force after {report.in_force_s!r} s")
        drained_late = report.drain_s is None or report.drain_s > MAX_DRAIN_S
        if drained_late and not under_faults:
            violations.append(f"drained after {report.drain_s!r} s")
    if report.late_requests:
        violations.append(f"{report.late_requests} requests after the drain")
    if report.killed:
        violations.append(f"did not stop gracefully: {report.killed}")


def _print_summary(report, stats_by_service):
    """Print a table by service, the measured times and all violations."""
    rows = [
        (
            service,
            stats.outcomes["ok"],
            stats.outcomes["resent"],
            stats.outcomes["not-run"],
            sum(stats.outcomes.values())
            - sum(stats.outcomes[k] for k in ("ok", "resent", "not-run")),
            f"{stats.latency_ms(50):.1f}",
            f"{stats.latency_ms(99):.1f}",
        )
        for service, stats in sorted(stats_by_service.items())
        if service != "(open)"
    ]
    print(
        render_table(
            ["SERVICE", "OK", "RETRIES", "NOT RUN", "OTHER", "p50 ms", "p99 ms"], rows
        )
    )
    print(
        f"ready after {_seconds(report.ready_s)}; change in force everywhere after "
        f"{_seconds(report.in_force_s)}; drained in {_seconds(report.drain_s)}"
        if report.ready_s
        else "never ready"
    )
    for violation in report.violations:
        print(f"VIOLATED: {violation}")
    print("all invariants held" if not report.violations else "invariants violated")


def _seconds(duration_s):
    return "-" if duration_s is None else f"{duration_s:.2f} s"


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
