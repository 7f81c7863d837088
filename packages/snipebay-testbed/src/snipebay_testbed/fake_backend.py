"""Queueing fake of a backend server, with a ledger of every run."""

import attrs
import numpy as np

__all__ = ["FakeBackend", "FakeRequest"]


@attrs.define(eq=False)
class FakeRequest:
    """One request at a fake backend server.

    Attributes:
        key: Idempotency key, or empty.
        on_end: Function of the run, called when it has ended.
        on_shed: Function of the run, called when it was not begun.
    """

    key: str
    on_end: object
    on_shed: object
    is_cancelled: bool = False


@attrs.define
class FakeBackend:
    """A backend server with slots, a short queue, cold starts and faults.

    Attributes:
        row: What it announces.
        scheduler: Source of time.
        rng: Source of chance.
        service_s: Median time of a run.
        sigma: Spread of run times, as of a log-normal distribution.
        queue_limit: Requests that may wait; more are shed.
        cold_factor: How much slower it is when just started.
        cold_s: Time until it is warm.
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
    last_new_work_s: float = 0.0
    state: str = "new"
    running: set = attrs.Factory(set)
    queue: list = attrs.Factory(list)
    runs: dict = attrs.Factory(dict)
    run_at_s: dict = attrs.Factory(dict)
    over_slots: int = 0
    peak: int = 0
    aborted_count: int = 0

    @property
    def load(self):
        """Requests here, running or waiting."""
        return len(self.running) + len(self.queue)

    def receive(self, run):
        """Take in a request."""
        self.last_new_work_s = self.scheduler.now_s
        if len(self.queue) >= self.queue_limit:
            run.on_shed(run)
            return
        self.queue.append(run)
        self.peak = max(self.peak, self.load)
        self.over_slots += self.load > self.row.slots
        self._fill()

    def cancel(self, run):
        """Stop a request that nobody waits for any more."""
        run.is_cancelled = True
        self.running.discard(run)
        if run in self.queue:
            self.queue.remove(run)
        self._fill()

    def take_answer(self, answer):
        """Take the answer to an announcement."""
        if self.state != "gone":
            self.state = answer.state

    def leave(self):
        """Ask to be drained."""
        self.leaving = True
        self.leaving_since_s = self.scheduler.now_s

    def kill(self):
        """Die with everything that runs here."""
        self.is_up = False
        self.aborted_count += self.load
        self.running.clear()
        self.queue.clear()

    def restart(self):
        """Come back cold."""
        self.is_up = True
        self.started_s = self.scheduler.now_s

    def _fill(self):
        while self.queue and len(self.running) < self.row.slots:
            run = self.queue.pop(0)
            self.running.add(run)
            if run.key:
                self.runs[run.key] = self.runs.get(run.key, 0) + 1
                self.run_at_s.setdefault(run.key, self.scheduler.now_s)
            self.scheduler.after(self._run_s(), self._end, run)

    def _run_s(self):
        age_s = self.scheduler.now_s - self.started_s
        cold = 1 + (self.cold_factor - 1) * max(0.0, 1 - age_s / self.cold_s)
        spread = float(np.exp(self.sigma * self.rng.standard_normal()))
        return self.service_s * spread * cold * self.slow_factor

    def _end(self, run):
        if run in self.running:
            self.running.discard(run)
            run.on_end(run)
            self._fill()
