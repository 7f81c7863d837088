"""Callers: look-ups kept for their time to live, and open-loop requests."""

import collections
import itertools
import json

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["Callers", "Demand", "Tally"]

MAX_US = 120_000_000
RESENDS = 6
RESEND_S = 0.3


@attrs.frozen
class Demand:
    """Requests to one service.

    Attributes:
        service: Name of the service.
        per_s: Requests a second, arriving at random.
        keyed: True when each request carries an idempotency key.
        timeout_s: Time that a caller gives a request.
    """

    service: str
    per_s: float
    keyed: bool
    timeout_s: float


@attrs.define
class Tally:
    """What callers saw of one service."""

    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    latency: HdrHistogram = attrs.Factory(lambda: HdrHistogram(1, MAX_US, 3))
    wrong: int = 0
    cut: int = 0

    def ms(self, percentile):
        """Return a latency percentile in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1_000


@attrs.define
class _Request:
    """One request of a caller, over all its sends."""

    demand: Demand
    number: int
    client: str
    start_s: float
    key: str
    tries: int = 0


class Callers:
    """Makes requests as callers do, by the look-up answers that they keep.

    Args:
        client: HTTP client.
        after: Function of delay and callback.
        rng: Source of chance.
        clients: Client addresses.
        entries: Any entry instances, to ask for the first look-up.
    """

    def __init__(self, client, after, rng, clients, entries):
        self.client = client
        self.after = after
        self.rng = rng
        self.clients = clients
        self.entries = entries
        self.tallies = collections.defaultdict(Tally)
        self.open = 0
        self.not_run_keys = set()
        self._lookups = {}
        self._numbers = itertools.count(1)
        self._end_s = 0.0

    def run(self, demands, seconds):
        """Start requests over a time."""
        self._end_s = self.client.clock() + seconds
        for demand in demands:
            self._arrive(demand)

    def _arrive(self, demand):
        if self.client.clock() >= self._end_s:
            return
        number = next(self._numbers)
        key = f"{demand.service}-{number}" if demand.keyed else ""
        client = self.clients[int(self.rng.integers(len(self.clients)))]
        now_s = self.client.clock()
        self.open += 1
        self._look_up(_Request(demand, number, client, now_s, key))
        wait_s = float(self.rng.exponential(1 / demand.per_s))
        self.after(wait_s, lambda: self._arrive(demand))

    def _look_up(self, req):
        """Use the look-up answer kept for a client, or ask for a new one."""
        kept = self._lookups.get((req.demand.service, req.client))
        if kept is not None and kept[0] > self.client.clock():
            self._send(req, kept[1])
            return
        address = self.entries[(req.number + req.tries) % len(self.entries)]
        target = f"/v1/lookup?service={req.demand.service}&client={req.client}"
        self.client.call(
            "GET",
            address,
            target,
            lambda answer: self._looked_up(req, answer),
            timeout_s=1.0,
        )

    def _looked_up(self, req, answer):
        if answer.status != 200:
            self._again(req, "lookup-failed")
            return
        found = answer.document
        addresses = [row["address"] for row in found["instances"]]
        until_s = self.client.clock() + found["ttl_s"]
        self._lookups[req.demand.service, req.client] = (until_s, addresses)
        self._send(req, addresses)

    def _send(self, req, addresses):
        address = addresses[min(req.tries, len(addresses) - 1)]
        headers = [(b"idempotency-key", req.key.encode())] if req.key else []
        self.client.call(
            "POST" if req.key else "GET",
            address,
            f"/svc/{req.demand.service}/item/{req.number}",
            lambda answer: self._answered(req, answer),
            headers=headers,
            body=b'{"lot": 1}' if req.key else b"",
            timeout_s=req.demand.timeout_s,
        )

    def _answered(self, req, answer):
        tally = self.tallies[req.demand.service]
        if answer.status == 200:
            self._check(req, answer, tally)
            elapsed_us = int((self.client.clock() - req.start_s) * 1e6)
            tally.latency.record_value(max(1, elapsed_us))
            self._end(req, "ok")
            return
        outcome = answer.headers.get(b"snipebay-outcome", b"").decode()
        if outcome == "not-run" and req.key and answer.status != 409:
            self.not_run_keys.add(req.key)
            self._end(req, "not-run")
        elif req.key and outcome == "unknown":
            self._again(req, "unknown")
        elif req.key:
            self._again(req, "no-answer")
        else:
            self._again(req, outcome or "no-answer")

    def _check(self, req, answer, tally):
        """Count answers that are another request's."""
        target = json.loads(answer.body or b"{}").get("target")
        if target != f"/item/{req.number}":
            tally.wrong += 1

    def _again(self, req, outcome):
        """Send once more: safe for reads, and by the key for the others."""
        req.tries += 1
        if req.tries > RESENDS:
            self._end(req, outcome)
            return
        self._lookups.pop((req.demand.service, req.client), None)
        self.tallies[req.demand.service].outcomes["resent"] += 1
        self.after(RESEND_S, lambda: self._look_up(req))

    def _end(self, req, outcome):
        self.open -= 1
        self.tallies[req.demand.service].outcomes[outcome] += 1
