"""Simulated callers: cached lookups and open-loop request generation."""

import collections
import itertools
import json

import attrs
from hdrh.histogram import HdrHistogram

__all__ = ["CallerSimulator", "ServiceLoad", "ServiceStats"]

MAX_LATENCY_US = 120_000_000
MAX_RETRIES = 6
RETRY_DELAY_S = 0.3


@attrs.frozen
class ServiceLoad:
    """Load on one service.

    Attributes:
        service: Name of the service.
        rate_per_s: Mean request rate. Arrivals are a Poisson process.
        has_key: True if each request carries an idempotency key.
        timeout_s: Timeout of each attempt.
    """

    service: str
    rate_per_s: float
    has_key: bool
    timeout_s: float


@attrs.define
class ServiceStats:
    """Results of one service, as seen by its callers.

    Attributes:
        outcomes: Requests by final outcome; ``resent`` is the number of retries.
        latency: Latency of successful requests in microseconds, from the first
            attempt to the response.
        mismatched_responses: Responses that belong to another request.
        aborted: Aborted responses.
    """

    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    latency: HdrHistogram = attrs.Factory(lambda: HdrHistogram(1, MAX_LATENCY_US, 3))
    mismatched_responses: int = 0
    aborted: int = 0

    def latency_ms(self, percentile):
        """Return a latency percentile in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1_000


@attrs.define
class _Request:
    """One request of a caller, including its retries."""

    load: ServiceLoad
    number: int
    client: str
    start_s: float
    key: str
    retry_count: int = 0


class CallerSimulator:
    """Sends requests like real callers do, to the instances a lookup returned.

    Lookup responses are cached for their time to live.

    Args:
        client: HTTP client.
        after: Function that calls a callback after a delay in seconds.
        rng: Random number generator.
        clients: Client addresses.
        entries: Addresses of entry instances that serve lookups.
    """

    def __init__(self, client, after, rng, clients, entries):
        self.client = client
        self.after = after
        self.rng = rng
        self.clients = clients
        self.entries = entries
        self.stats = collections.defaultdict(ServiceStats)
        self.open_requests = 0
        self.not_run_keys = set()
        self._lookup_cache = {}
        self._request_numbers = itertools.count(1)
        self._end_s = 0.0

    def run(self, loads, seconds):
        """Generate requests for some time."""
        self._end_s = self.client.clock() + seconds
        for load in loads:
            self._generate_request(load)

    def _generate_request(self, load):
        if self.client.clock() >= self._end_s:
            return
        number = next(self._request_numbers)
        key = f"{load.service}-{number}" if load.has_key else ""
        client = self.clients[int(self.rng.integers(len(self.clients)))]
        now_s = self.client.clock()
        self.open_requests += 1
        self._look_up(_Request(load, number, client, now_s, key))
        wait_s = float(self.rng.exponential(1 / load.rate_per_s))
        self.after(wait_s, lambda: self._generate_request(load))

    def _look_up(self, req):
        """Send to the instances of a cached lookup, or look them up first."""
        cached = self._lookup_cache.get((req.load.service, req.client))
        if cached is not None and cached[0] > self.client.clock():
            self._send(req, cached[1])
            return
        address = self.entries[(req.number + req.retry_count) % len(self.entries)]
        target = f"/v1/lookup?service={req.load.service}&client={req.client}"
        self.client.call(
            "GET",
            address,
            target,
            lambda response: self._on_lookup_response(req, response),
            timeout_s=1.0,
        )

    def _on_lookup_response(self, req, response):
        if response.status != 200:
            self._retry(req, "lookup-failed")
            return
        lookup = response.document
        addresses = [row["address"] for row in lookup["instances"]]
        expires_s = self.client.clock() + lookup["ttl_s"]
        self._lookup_cache[req.load.service, req.client] = (expires_s, addresses)
        self._send(req, addresses)

    def _send(self, req, addresses):
        address = addresses[min(req.retry_count, len(addresses) - 1)]
        headers = [(b"idempotency-key", req.key.encode())] if req.key else []
        self.client.call(
            "POST" if req.key else "GET",
            address,
            f"/svc/{req.load.service}/item/{req.number}",
            lambda response: self._on_response(req, response),
            headers=headers,
            body=b'{"lot": 1}' if req.key else b"",
            timeout_s=req.load.timeout_s,
        )

    def _on_response(self, req, response):
        stats = self.stats[req.load.service]
        if response.status == 200:
            self._check_target(req, response, stats)
            elapsed_us = int((self.client.clock() - req.start_s) * 1e6)
            stats.latency.record_value(max(1, elapsed_us))
            self._finish(req, "ok")
            return
        outcome = response.headers.get(b"snipebay-outcome", b"").decode()
        if outcome == "not-run" and req.key and response.status != 409:
            self.not_run_keys.add(req.key)
            self._finish(req, "not-run")
        elif req.key and outcome == "unknown":
            self._retry(req, "unknown")
        elif req.key:
            self._retry(req, "no-answer")
        else:
            self._retry(req, outcome or "no-answer")

    def _check_target(self, req, response, stats):
        """Count the response if it belongs to another request."""
        target = json.loads(response.body or b"{}").get("target")
        if target != f"/item/{req.number}":
            stats.mismatched_responses += 1

    def _retry(self, req, outcome):
        """Retry after a delay, up to the limit.

        Retrying is safe: requests without an idempotency key are reads, and the
        others are deduplicated by their key.
        """
        req.retry_count += 1
        if req.retry_count > MAX_RETRIES:
            self._finish(req, outcome)
            return
        self._lookup_cache.pop((req.load.service, req.client), None)
        self.stats[req.load.service].outcomes["resent"] += 1
        self.after(RETRY_DELAY_S, lambda: self._look_up(req))

    def _finish(self, req, outcome):
        self.open_requests -= 1
        self.stats[req.load.service].outcomes[outcome] += 1
