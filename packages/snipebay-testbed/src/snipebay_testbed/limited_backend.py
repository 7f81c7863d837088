"""Fake of a backend server that may name a rate limit, in virtual time."""

import attrs
from snipebay_model.view import BackendRow

__all__ = ["LimitedBackend"]

SERVICE_S = 0.2
QUEUE_LIMIT = 4


@attrs.define(eq=False)
class LimitedBackend:
    """A backend server with slots that may name a rate limit.

    Attributes:
        row: Its row in the view.
        rig: Harness that it belongs to.
        limit_per_s: Limit in its responses, None for none.
        arrivals: Pairs of time and id of the sending instance.
        is_up: False while connections to it are refused.
        running: Attempts that occupy a slot.
        queue: Attempts that wait for one.
    """

    row: BackendRow
    rig: object
    limit_per_s: float | None = None
    is_up: bool = True
    arrivals: list = attrs.Factory(list)
    running: set = attrs.Factory(set)
    queue: list = attrs.Factory(list)

    def receive(self, attempt):
        """Queue an arriving request, or reject it."""
        self.arrivals.append((self.rig.now_s, attempt.host.id))
        if len(self.queue) >= QUEUE_LIMIT:
            attempt.host.respond(attempt, self, is_rejected=True)
            return
        self.queue.append(attempt)
        self._start_queued()

    def cancel(self, attempt):
        """Drop a cancelled request."""
        self.running.discard(attempt)
        if attempt in self.queue:
            self.queue.remove(attempt)
        self._start_queued()

    def largest_window(self, from_s, window_s=4.0, but=()):
        """Return the largest number of arrivals in any window that starts later.

        Args:
            from_s: Start of the first window.
            window_s: Length of the windows.
            but: Ids of instances whose requests are not counted.
        """
        times = [at_s for at_s, host_id in self.arrivals if host_id not in but]
        times = [at_s for at_s in times if at_s >= from_s]
        return max(
            (sum(0 <= at_s - first < window_s for at_s in times) for first in times),
            default=0,
        )

    def _start_queued(self):
        while self.queue and len(self.running) < self.row.slots:
            attempt = self.queue.pop(0)
            self.running.add(attempt)
            self.rig.runs[attempt.origin] += 1
            spread = 0.5 + float(self.rig.rng.random())
            self.rig.scheduler.after(SERVICE_S * spread, self._end, attempt)

    def _end(self, attempt):
        if attempt in self.running:
            self.running.discard(attempt)
            attempt.host.respond(attempt, self)
            self._start_queued()
