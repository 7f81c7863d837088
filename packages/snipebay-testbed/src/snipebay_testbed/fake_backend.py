"""Fake of a backend server with a queue, which counts how often each key runs."""

import attrs
import numpy as np

__all__ = ["FakeBackend", "FakeRequest"]


@attrs.define(eq=False)
class FakeRequest:
    """One request at a fake backend server.

    Attributes:
        key: Idempotency key, or empty.
        on_end: Callback that takes the request when it has completed.
        on_shed: Callback that takes the request when it was rejected without
            running.
        is_cancelled: True once the entry instance has cancelled it.
    """

    key: str
    on_end: object
    on_shed: object
    is_cancelled: bool = False


@attrs.define
class FakeBackend:
    """A backend server with slots, a short queue, cold starts and slowdowns.

    Attributes:
        row: Row that it announces.
        scheduler: Virtual clock and callback queue.
        rng: Random generator for the service times.
        service_s: Median service time.
        sigma: Standard deviation of the logarithm of the service time, which is
            log-normal.
        queue_limit: Maximum number of queued requests; further ones are shed.
        cold_factor: Factor of the service time right after a start. It declines
            linearly to 1 within ``cold_s``.
        cold_s: Duration of the warm-up after a start.
        slow_factor: Factor of the service time, set by tests.
        started_s: Time of the last start.
        is_up: False while the process is stopped.
        leaving: True when it announces a planned stop.
        leaving_since_s: Time of the first announcement of the stop, or None.
        last_request_s: Time at which the last request arrived.
        state: State in the last response to an announcement; ``new`` before the
            first, ``gone`` once a test has stopped it for good.
        running: Requests that occupy a slot.
        queue: Requests that wait for a slot.
        run_counts: Number of times that each key was started.
        first_run_s: Time at which each key was first started.
        over_slots: Number of requests that arrived while all slots were taken.
        max_load: Maximum number of requests present at the same time.
        limit_per_s: Rate limit that its responses name, or None.
        arrived_s: Times at which requests arrived.
        aborted_count: Number of requests that were present when it was killed.
    """

    row: object
    scheduler: object
    rng: object
    service_s: float
    sigma: float = 0.3
    queue_limit: int = 4
    cold_factor: float = 1.0
    cold_s: float = 5.0
    slow_factor: float = 1.0
    started_s: float = 0.0
    is_up: bool = True
    leaving: bool = False
    leaving_since_s: float | None = None
    last_request_s: float = 0.0
    state: str = "new"
    running: set = attrs.Factory(set)
    queue: list = attrs.Factory(list)
    run_counts: dict = attrs.Factory(dict)
    first_run_s: dict = attrs.Factory(dict)
    over_slots: int = 0
    max_load: int = 0
    limit_per_s: float | None = None
    arrived_s: list = attrs.Factory(list)
    aborted_count: int = 0

    @property
    def load(self):
        """Number of requests that run or wait."""
        return len(self.running) + len(self.queue)

    def receive(self, request):
        """Queue an arriving request, or shed it when the queue is full."""
        self.last_request_s = self.scheduler.now_s
        self.arrived_s.append(self.scheduler.now_s)
        if len(self.queue) >= self.queue_limit:
            request.on_shed(request)
            return
        self.queue.append(request)
        self.max_load = max(self.max_load, self.load)
        self.over_slots += self.load > self.row.slots
        self._start_queued()

    def cancel(self, request):
        """Stop or dequeue a request that the entry instance has cancelled."""
        request.is_cancelled = True
        self.running.discard(request)
        if request in self.queue:
            self.queue.remove(request)
        self._start_queued()

    def on_announced(self, reply):
        """Store the state from the response to an announcement."""
        if self.state != "gone":
            self.state = reply.state

    def leave(self):
        """Begin a planned stop: announce from now on that the server is leaving."""
        self.leaving = True
        self.leaving_since_s = self.scheduler.now_s

    def kill(self):
        """Stop the process at once and abort its requests."""
        self.is_up = False
        self.aborted_count += self.load
        self.running.clear()
        self.queue.clear()

    def restart(self):
        """Start the process again, with a cold start."""
        self.is_up = True
        self.started_s = self.scheduler.now_s

    def _start_queued(self):
        while self.queue and len(self.running) < self.row.slots:
            request = self.queue.pop(0)
            self.running.add(request)
            if request.key:
                self.run_counts[request.key] = self.run_counts.get(request.key, 0) + 1
                self.first_run_s.setdefault(request.key, self.scheduler.now_s)
            self.scheduler.after(self._draw_service_s(), self._end, request)

    def _draw_service_s(self):
        age_s = self.scheduler.now_s - self.started_s
        cold = 1 + (self.cold_factor - 1) * max(0.0, 1 - age_s / self.cold_s)
        spread = float(np.exp(self.sigma * self.rng.standard_normal()))
        return self.service_s * spread * cold * self.slow_factor

    def _end(self, request):
        if request in self.running:
            self.running.discard(request)
            request.on_end(request)
            self._start_queued()
