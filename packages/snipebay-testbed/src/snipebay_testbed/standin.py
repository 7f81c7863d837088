"""Stub backend servers with slots, cold starts, load shedding, drain and a ledger."""

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

__all__ = ["StubBackend", "StubBehaviour", "StubHost"]

TICK_S = 0.002
ANNOUNCE_INTERVAL_S = 0.8
BODY_LIMIT_BYTES = 8 * 1024 * 1024
app = cyclopts.App(help=__doc__)


@attrs.frozen
class StubBehaviour:
    """How a stub backend server behaves.

    Attributes:
        sigma: Standard deviation of the logarithm of the run time, which is
            log-normal.
        cold_factor: Run time multiplier right after the start. It falls linearly
            to 1.
        cold_s: Time until the multiplier is 1.
        queue_limit: Requests that may wait for a slot; more are shed.
        slow_factor: Run time multiplier for injected slowness.
        response_bytes: Minimum size of response bodies; shorter ones are padded.
        rate_limit: Requests per second that responses name as the limit, or empty.
    """

    sigma: float = 0.3
    cold_factor: float = 3.0
    cold_s: float = 1.0
    queue_limit: int = 4
    slow_factor: float = 1.0
    response_bytes: int = 200
    rate_limit: str = ""


@attrs.define
class _Run:
    """One request at a stub backend server."""

    exchange: object
    key: str
    started_s: float | None = None


class StubBackend:
    """One stub backend server.

    Args:
        host: Process that it shares with other stubs.
        spec: Its identity, slots and service time.
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
        self._entry_indexes = itertools.count(int(host.rng.integers(100)))
        self._next_announce_s = 0.0
        self._announcing = False
        self.http = HttpServer(self, host.clock)
        host.hub.listen(spec.address, self.http.accept)

    # --- application of the HTTP server -----------------------------------

    def check_head(self, exchange):
        exchange.body_limit = BODY_LIMIT_BYTES

    def handle(self, exchange):
        """Handle a request: a control command, a health check or work."""
        if exchange.path.startswith("/standin/"):
            self._handle_command(exchange)
            return
        if exchange.path in ("/health", "/load"):
            exchange.respond_json(200, self.report())
            return
        if self.leaving_since_s is not None:
            self.late_requests += 1
        if self.state == "drained" or len(self.waiting) >= self.behaviour.queue_limit:
            headers = [("Snipebay-Shed", "1"), *self._limit_headers()]
            exchange.respond(503, b"", headers=headers)
            return
        run = _Run(exchange, exchange.header("idempotency-key"))
        exchange.on_disconnect = lambda: self._on_disconnect(run)
        self.waiting.append(run)
        self._start_waiting()

    def report(self):
        """Return the health and load report."""
        return {
            "state": self.state,
            "slots": self.spec.slots,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "late_requests": self.late_requests,
            "drained_after_s": self.drained_after_s,
        }

    # --- runs -------------------------------------------------------------

    def _start_waiting(self):
        """Start waiting requests while slots are free."""
        while self.waiting and len(self.running) < self.spec.slots:
            run = self.waiting.pop(0)
            run.started_s = self.host.clock()
            self.running[id(run)] = run
            if run.key:
                self.host.append_to_ledger(self.spec, run.key, "run")
            self.host.timers.after(
                self._draw_run_time_s(), lambda r=run: self._finish(r)
            )

    def _draw_run_time_s(self):
        """Return a random run time."""
        behaviour = self.behaviour
        age_s = self.host.clock() - self._started_s
        cold_multiplier = 1 + (behaviour.cold_factor - 1) * max(
            0.0, 1 - age_s / behaviour.cold_s
        )
        spread = float(np.exp(behaviour.sigma * self.host.rng.standard_normal()))
        return (
            self.spec.service_ms
            / 1_000
            * spread
            * cold_multiplier
            * behaviour.slow_factor
        )

    def _finish(self, run):
        if self.running.pop(id(run), None) is None:
            return
        if run.key:
            self.host.append_to_ledger(self.spec, run.key, "end")
        body = json.dumps(
            {
                "backend": self.spec.backend_id,
                "target": run.exchange.target,
                "key": run.key,
            }
        ).encode()
        padding_bytes = max(0, self.behaviour.response_bytes - len(body))
        body += b" " * padding_bytes
        run.exchange.respond(200, body, headers=self._limit_headers())
        self._start_waiting()

    def _limit_headers(self):
        limit = self.behaviour.rate_limit
        return [("Snipebay-Rate-Limit", limit)] if limit else []

    def _on_disconnect(self, run):
        """Cancel a run because the entry instance closed its connection."""
        if self.running.pop(id(run), None) is None and run in self.waiting:
            self.waiting.remove(run)
        self._start_waiting()

    # --- announcements ----------------------------------------------------

    def tick(self, now_s):
        """Close timed-out connections, and announce this server if that is due."""
        self.http.tick(now_s)
        if now_s < self._next_announce_s or self._announcing or self.state == "gone":
            return
        self._next_announce_s = now_s + ANNOUNCE_INTERVAL_S
        self._announcing = True
        entries = self.host.entries
        address = entries[next(self._entry_indexes) % len(entries)]
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
            self._on_announce_response,
            body=json.dumps(document).encode(),
            timeout_s=0.5,
        )

    def request_drain(self):
        """Request a drain with the next announcement."""
        self.leaving_since_s = self.host.clock()
        self._next_announce_s = 0.0

    def _on_announce_response(self, response):
        self._announcing = False
        if response.status != 200:
            self._next_announce_s = self.host.clock() + 0.1
            return
        self.state = response.document["state"]
        idle = not self.running and not self.waiting
        if self.state == "drained" and idle and self.drained_after_s is None:
            self.drained_after_s = self.host.clock() - self.leaving_since_s
        elif self.state == "draining":
            self._next_announce_s = self.host.clock() + 0.1

    def _handle_command(self, exchange):
        command = exchange.path.removeprefix("/standin/")
        if command == "leave":
            self.request_drain()
        elif command.startswith("slow/"):
            factor = float(command.removeprefix("slow/"))
            self.behaviour = attrs.evolve(self.behaviour, slow_factor=factor)
        elif command.startswith("limit/"):
            limit = command.removeprefix("limit/")
            self.behaviour = attrs.evolve(self.behaviour, rate_limit=limit)
        exchange.respond_json(200, self.report())


class StubHost(BaseComponent):
    """A process with many stub backend servers.

    Args:
        specs: Specifications of the stubs.
        entries: Addresses of the entry instances that receive announcements.
        ledger: File that gets a line when a run with an idempotency key starts and
            another when it ends.
        seed: Random seed.
        behaviour: How the stubs behave.
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
        self.stubs = [
            StubBackend(self, spec, behaviour or StubBehaviour()) for spec in specs
        ]
        Timer(TICK_S, tick(), "standins", persist=True).register(self)

    def append_to_ledger(self, spec, key, event):
        """Append a line to the ledger."""
        line = {"backend": spec.backend_id, "key": key, "what": event}
        self._ledger.write(json.dumps(line) + "\n")

    @handler("tick")
    def _on_tick(self):
        now_s = self.clock()
        self.timers.run_due()
        for stub in self.stubs:
            stub.tick(now_s)
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
    """Run the stub backend servers of a deployment.

    Args:
        deployment: Name of the deployment.
        first_port: First port of the backend servers.
        entries: Addresses of entry instances, separated by commas.
        ledger: Ledger file.
        part: Index of the part of the backend servers to run in this process.
        parts: Number of parts.
        seed: Random seed.
    """
    specs = DEPLOYMENTS[deployment].backends(first_port)[part::parts]
    StubHost(specs, entries.split(","), ledger, seed + part).run()


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
