"""Stand-in backend servers: slots, cold starts, shedding, drain and a ledger."""

import itertools
import json
import pathlib
import sys
import time

import attrs
import cyclopts
import numpy as np
from circuits import BaseComponent, Timer, handler
from circuits.core.pollers import EPoll
from snipebay_node.http_server import HttpServer
from snipebay_node.streams import StreamHub

from snipebay_testbed.deployments import DEPLOYMENTS
from snipebay_testbed.http_client import HttpClient
from snipebay_testbed.timers import Timers, tick

__all__ = ["Behaviour", "StandIn", "StandInHost"]

TICK_S = 0.002
ANNOUNCE_S = 0.8
BODY_LIMIT_BYTES = 8 * 1024 * 1024
app = cyclopts.App(help=__doc__)


@attrs.frozen
class Behaviour:
    """How a stand-in backend server behaves.

    Attributes:
        sigma: Spread of its run times, as of a log-normal distribution.
        cold_factor: How much slower it is when just started.
        cold_s: Time until it is warm.
        queue: Requests that may wait for a slot; more are shed.
        slow_factor: How much slower than normal, for faults.
        answer_bytes: Size of its answers.
    """

    sigma: float = 0.3
    cold_factor: float = 3.0
    cold_s: float = 1.0
    queue: int = 4
    slow_factor: float = 1.0
    answer_bytes: int = 200


@attrs.define
class _Run:
    """One request at a stand-in."""

    exchange: object
    key: str
    started_s: float | None = None


class StandIn:
    """One stand-in backend server.

    Args:
        host: Process that it shares with others.
        spec: What it is.
        behaviour: How it behaves.
    """

    def __init__(self, host, spec, behaviour):
        self.host = host
        self.spec = spec
        self.behaviour = behaviour
        self.state = "new"
        self.leaving_since_s = None
        self.drained_after_s = None
        self.late_requests = 0
        self.running = {}
        self.waiting = []
        self._started_s = host.clock()
        self._turn = itertools.count(int(host.rng.integers(100)))
        self._next_announce_s = 0.0
        self._announcing = False
        self.http = HttpServer(self, host.clock)
        host.hub.listen(spec.address, self.http.accept)

    # --- application of the HTTP server -----------------------------------

    def check_head(self, exchange):
        exchange.body_limit = BODY_LIMIT_BYTES

    def handle(self, exchange):
        """Take in a request."""
        if exchange.path.startswith("/standin/"):
            self._command(exchange)
            return
        if exchange.path in ("/health", "/load"):
            exchange.respond_json(200, self.report())
            return
        if self.leaving_since_s is not None:
            self.late_requests += 1
        if self.state == "drained" or len(self.waiting) >= self.behaviour.queue:
            exchange.respond(503, b"", headers=[("Snipebay-Shed", "1")])
            return
        run = _Run(exchange, exchange.header("idempotency-key"))
        exchange.on_disconnect = lambda: self._gone(run)
        self.waiting.append(run)
        self._fill()

    def report(self):
        """Return health and load as it would report them."""
        return {
            "state": self.state,
            "slots": self.spec.slots,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "late_requests": self.late_requests,
            "drained_after_s": self.drained_after_s,
        }

    # --- runs -------------------------------------------------------------

    def _fill(self):
        """Start waiting requests while slots are free."""
        while self.waiting and len(self.running) < self.spec.slots:
            run = self.waiting.pop(0)
            run.started_s = self.host.clock()
            self.running[id(run)] = run
            if run.key:
                self.host.note(self.spec, run.key, "run")
            self.host.timers.after(self._run_s(), lambda r=run: self._end(r))

    def _run_s(self):
        """Return the time that a run takes."""
        b = self.behaviour
        age_s = self.host.clock() - self._started_s
        cold = 1 + (b.cold_factor - 1) * max(0.0, 1 - age_s / b.cold_s)
        spread = float(np.exp(b.sigma * self.host.rng.standard_normal()))
        return self.spec.service_ms / 1_000 * spread * cold * b.slow_factor

    def _end(self, run):
        if self.running.pop(id(run), None) is None:
            return
        if run.key:
            self.host.note(self.spec, run.key, "end")
        body = json.dumps(
            {
                "backend": self.spec.backend_id,
                "target": run.exchange.target,
                "key": run.key,
            }
        ).encode()
        pad = max(0, self.behaviour.answer_bytes - len(body))
        run.exchange.respond(200, body + b" " * pad)
        self._fill()

    def _gone(self, run):
        """Stop a run whose connection was closed: that is how it is cancelled."""
        if self.running.pop(id(run), None) is None and run in self.waiting:
            self.waiting.remove(run)
        self._fill()

    # --- announcing -------------------------------------------------------

    def tick(self, now_s):
        """Announce when it is time."""
        self.http.tick(now_s)
        if now_s < self._next_announce_s or self._announcing or self.state == "gone":
            return
        self._next_announce_s = now_s + ANNOUNCE_S
        self._announcing = True
        entries = self.host.entries
        address = entries[next(self._turn) % len(entries)]
        document = {
            "service": self.spec.service,
            "address": self.spec.address,
            "domain": self.spec.domain,
            "slots": self.spec.slots,
            "leaving": self.leaving_since_s is not None,
        }
        self.host.client.call(
            "PUT",
            address,
            f"/v1/backends/{self.spec.backend_id}",
            self._announced,
            body=json.dumps(document).encode(),
            timeout_s=0.5,
        )

    def leave(self):
        """Ask to be drained."""
        self.leaving_since_s = self.host.clock()
        self._next_announce_s = 0.0

    def _announced(self, answer):
        self._announcing = False
        if answer.status != 200:
            self._next_announce_s = self.host.clock() + 0.1
            return
        self.state = answer.document["state"]
        idle = not self.running and not self.waiting
        if self.state == "drained" and idle and self.drained_after_s is None:
            self.drained_after_s = self.host.clock() - self.leaving_since_s
        elif self.state == "draining":
            self._next_announce_s = self.host.clock() + 0.1

    def _command(self, exchange):
        command = exchange.path.removeprefix("/standin/")
        if command == "leave":
            self.leave()
        elif command.startswith("slow/"):
            factor = float(command.removeprefix("slow/"))
            self.behaviour = attrs.evolve(self.behaviour, slow_factor=factor)
        exchange.respond_json(200, self.report())


class StandInHost(BaseComponent):
    """A process with many stand-in backend servers.

    Args:
        specs: What the stand-ins are.
        entries: Addresses of entry instances to announce to.
        ledger: File that takes a line for each begin and end of a keyed run.
        seed: Seed of all chance.
        behaviour: How they behave.
    """

    channel = "standins"

    def __init__(self, specs, entries, ledger, seed, behaviour=None):
        super().__init__()
        self.clock = time.monotonic
        self.entries = entries
        self.rng = np.random.default_rng(seed)
        self.poller = EPoll().register(self)
        self.hub = StreamHub(self.poller).register(self)
        self.client = HttpClient(self.hub, self.clock)
        self._ledger = open(ledger, "a", buffering=1)  # noqa: SIM115
        self.timers = Timers()
        self.standins = [
            StandIn(self, spec, behaviour or Behaviour()) for spec in specs
        ]
        Timer(TICK_S, tick(), "standins", persist=True).register(self)

    def note(self, spec, key, what):
        """Write a line of the ledger."""
        line = {"backend": spec.backend_id, "key": key, "what": what}
        self._ledger.write(json.dumps(line) + "\n")

    @handler("tick")
    def _on_tick(self):
        now_s = self.clock()
        self.timers.run_due()
        for standin in self.standins:
            standin.tick(now_s)
        self.client.tick(now_s)


@app.default
def run(
    deployment: str,
    *,
    first_port: int,
    entries: str,
    ledger: pathlib.Path,
    part: int = 0,
    parts: int = 1,
    seed: int = 1,
):
    """Run the stand-in backend servers of a deployment.

    Args:
        deployment: Name of the deployment.
        first_port: First port of the backend servers.
        entries: Addresses of entry instances, separated by commas.
        ledger: File for the ledger.
        part: Which part of the backend servers to run here.
        parts: Number of parts.
        seed: Seed of all chance.
    """
    specs = DEPLOYMENTS[deployment].backends(first_port)[part::parts]
    StandInHost(specs, entries.split(","), ledger, seed + part).run()


def main():
    """Run from the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
