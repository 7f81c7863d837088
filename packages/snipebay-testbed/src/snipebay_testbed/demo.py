"""The main job: one deployment of the brief, run as separate processes."""

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
from snipebay_testbed.load import Callers, Demand
from snipebay_testbed.processes import RunningDeployment, read_ledger
from snipebay_testbed.timers import Timers, tick

__all__ = ["Findings", "LoadHost", "main"]

TICK_S = 0.002
READY_LIMIT_S = 20.0
IN_FORCE_LIMIT_S = 4.0
DRAIN_LIMIT_S = 5.0
SETTLE_S = 2.5
CLIENTS = 30
app = cyclopts.App(help=__doc__)


class LoadHost(BaseComponent):
    """Event loop of the callers.

    Args:
        seed: Seed of all chance.
        clients: Client addresses.
        entries: Addresses of entry instances.
    """

    channel = "load"

    def __init__(self, seed, clients, entries):
        super().__init__()
        self.poller = EPoll().register(self)
        self.hub = StreamHub(self.poller).register(self)
        self.client = HttpClient(self.hub, time.monotonic)
        self.timers = Timers()
        rng = np.random.default_rng(seed)
        self.callers = Callers(self.client, self.timers.after, rng, clients, entries)
        Timer(TICK_S, tick(), "load", persist=True).register(self)

    def run_load(self, demands, seconds, linger_s):
        """Make requests over a time, and wait for the last answers."""
        self.timers.after(0, lambda: self.callers.run(demands, seconds))
        end_s = time.monotonic() + seconds
        self.start_loop(lambda: self._is_over(end_s, linger_s))

    def start_loop(self, is_over):
        """Run the event loop until a condition holds."""
        self._is_done = is_over
        self.run()

    def _is_over(self, end_s, linger_s):
        now_s = time.monotonic()
        quiet = now_s > end_s + 0.2 and not self.callers.open
        return quiet or now_s > end_s + linger_s

    @handler("tick")
    def _on_tick(self):
        now_s = time.monotonic()
        self.timers.run_due()
        self.client.tick(now_s)
        if self._is_done():
            self.stop()


@attrs.define
class Findings:
    """What the run showed besides the callers' tallies."""

    ready_s: float | None = None
    in_force_s: float | None = None
    drain_s: float | None = None
    late_requests: int = 0
    killed: list = attrs.Factory(list)
    faults: list = attrs.Factory(list)


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
    """Run a deployment with load, a change and a drain, and print a summary.

    Args:
        deployment: ``marina`` or ``badvatten``.
        seed: Seed of all chance.
        seconds: Length of the load.
        first_port: First of about 150 ports on 127.0.0.1.
        faults: Kill the leader, freeze an instance and lose a disk meanwhile, in
            place of the change and the drain.
        keep: Keep logs, spans and data.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="snipebay-"))
    plan = DEPLOYMENTS[deployment]
    running = RunningDeployment(deployment, plan, folder, first_port, seed)
    findings = Findings()
    tallies = {}
    print(f"{plan.name}: {plan.entries} instances, {len(running.backends)} backends")
    try:
        if _get_ready(running, findings):
            work = _harm if faults else _operate
            tallies = _load(running, findings, seed, seconds, work)
    finally:
        findings.killed = running.stop()
    _judge(findings, tallies, faults)
    _summarize(findings, tallies)
    if keep or findings.faults:
        print(f"logs, spans and data: {folder}")
    else:
        shutil.rmtree(folder)
    return 1 if findings.faults else 0


def _get_ready(running, findings):
    """Start everything and return True once backend servers serve."""
    start_s = time.monotonic()
    running.start_instances()
    entries = running.deployment.entries
    up = running.wait_status(lambda s: len(s.entries) == entries, READY_LIMIT_S)
    if up is None:
        findings.faults.append("the instances did not come up")
        return False
    tree = running.folder / "settings.yaml"
    tree.write_text(running.deployment.settings())
    running.cli("apply", str(tree))
    running.start_standins()
    count = len(running.backends)
    if running.wait_status(lambda s: len(s.backends) == count, READY_LIMIT_S) is None:
        findings.faults.append("the backend servers did not all join")
        return False
    time.sleep(SETTLE_S)
    findings.ready_s = time.monotonic() - start_s
    return True


def _load(running, findings, seed, seconds, work):
    """Run the load with something else beside it; return the tallies."""
    check, issue, read = (service.name for service in running.deployment.services)
    demands = [
        Demand(check, 60.0, False, 1.0),
        Demand(issue, 10.0, True, 5.0),
        Demand(read, 4.0, False, 25.0),
    ]
    clients = [f"127.0.{i % 6}.{10 + i}" for i in range(CLIENTS)]
    host = LoadHost(seed, clients, running.entries)
    operator = threading.Thread(target=work, args=(running, findings, seconds))
    operator.start()
    host.run_load(demands, seconds, 10.0)
    operator.join()
    host.callers.tallies["(open)"].outcomes["open"] = host.callers.open
    _check_ledger(running, findings, host.callers)
    return host.callers.tallies


def _operate(running, findings, seconds):
    """Change a setting at the top of the tree, then drain a backend server."""
    time.sleep(seconds * 0.2)
    tree = running.folder / "changed.yaml"
    tree.write_text(running.deployment.settings(retry_budget=0.2))
    findings.in_force_s = running.cli("apply", str(tree))["in_force_s"]
    time.sleep(seconds * 0.2)
    address = running.backends[0].address
    _call_standin(address, "leave")
    end_s = time.monotonic() + 2 * DRAIN_LIMIT_S
    while findings.drain_s is None and time.monotonic() < end_s:
        time.sleep(0.1)
        report = _call_standin(address, "report")
        findings.drain_s = report["drained_after_s"]


def _harm(running, findings, seconds):
    """Kill the leader, freeze an instance, lose a disk, each while load runs."""
    time.sleep(seconds * 0.1)
    leader = running.client.status().unwrap().leader
    running.signal(leader, signal.SIGKILL)
    running.instances[leader].wait()
    time.sleep(seconds * 0.2)
    running.start_instance(leader)
    frozen = next(i for i in running.instances if not running.has_disk(i))
    running.signal(frozen, signal.SIGSTOP)
    time.sleep(seconds * 0.3)
    running.signal(frozen, signal.SIGCONT)
    loser = next(i for i in running.instances if running.has_disk(i) and i != leader)
    running.signal(loser, signal.SIGKILL)
    running.instances[loser].wait()
    shutil.rmtree(running.folder / loser)
    running.start_instance(loser)
    repaired = running.wait_status(
        lambda s: len(s.members) == 3 and all(m.voter for m in s.members), READY_LIMIT_S
    )
    if repaired is None:
        findings.faults.append("the lost disk's instance did not get its vote back")
    tree = running.folder / "changed.yaml"
    tree.write_text(running.deployment.settings(retry_budget=0.2))
    findings.in_force_s = running.cli("apply", str(tree))["in_force_s"]


def _call_standin(address, command):
    """Return a stand-in's report after a command."""
    connection = http.client.HTTPConnection(address, timeout=2)
    connection.request("GET", f"/standin/{command}")
    document = json.loads(connection.getresponse().read())
    connection.close()
    return document


def _check_ledger(running, findings, callers):
    """Compare what callers were told with what was run."""
    runs = read_ledger(running.ledger)
    twice = [key for key, count in runs.items() if count > 1]
    told_wrong = callers.not_run_keys & runs.keys()
    if twice:
        findings.faults.append(f"run twice: {twice}")
    if told_wrong:
        findings.faults.append(f"told not run, but run: {sorted(told_wrong)}")
    print(f"keys run: {len(runs)}, run twice: {len(twice)}, ", end="")
    print(f"told not run though run: {len(told_wrong)}")


def _judge(findings, tallies, under_faults):
    """Collect every promise that broke."""
    faults = findings.faults
    for service, tally in tallies.items():
        if tally.wrong:
            faults.append(f"{service}: {tally.wrong} answers of other requests")
        lost = {
            k: v for k, v in tally.outcomes.items() if k not in ("ok", "resent") and v
        }
        # Under faults callers may be told "unknown"; what they are told is judged
        # by the ledger.
        if lost and not under_faults:
            faults.append(f"{service}: {lost}")
    if findings.ready_s is not None:
        if findings.in_force_s is None or findings.in_force_s > IN_FORCE_LIMIT_S:
            faults.append(f"change in force after {findings.in_force_s!r} s")
        late = findings.drain_s is None or findings.drain_s > DRAIN_LIMIT_S
        if late and not under_faults:
            faults.append(f"drained after {findings.drain_s!r} s")
    if findings.killed:
        faults.append(f"did not stop gracefully: {findings.killed}")


def _summarize(findings, tallies):
    """Print what people want to know."""
    rows = [
        (
            service,
            tally.outcomes["ok"],
            tally.outcomes["resent"],
            tally.outcomes["not-run"],
            sum(tally.outcomes.values())
            - sum(tally.outcomes[k] for k in ("ok", "resent", "not-run")),
            f"{tally.ms(50):.1f}",
            f"{tally.ms(99):.1f}",
        )
        for service, tally in sorted(tallies.items())
        if service != "(open)"
    ]
    print(
        render_table(
            ["SERVICE", "OK", "RESENT", "NOT RUN", "OTHER", "p50 ms", "p99 ms"], rows
        )
    )
    print(
        f"ready after {findings.ready_s:.1f} s; change in force everywhere after "
        f"{findings.in_force_s} s; drained in {findings.drain_s} s"
        if findings.ready_s
        else "never ready"
    )
    for fault in findings.faults:
        print(f"BROKEN: {fault}")
    print("all promises held" if not findings.faults else "promises broke")


def main():
    """Run from the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
