"""Delayed callbacks for the event loops of the stub servers and load generator."""

import heapq
import itertools
import time

from circuits import Event

__all__ = ["Timers", "tick"]


class tick(Event):
    """Periodic event at which an event loop runs its due callbacks."""


class Timers:
    """Priority queue of delayed callbacks, run by the ticks of an event loop."""

    def __init__(self):
        self._due = []
        self._order = itertools.count()

    def after(self, delay_s, callback):
        """Schedule a callback to run after a delay."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._due, (due_s, next(self._order), callback))

    def run_due(self):
        """Run the callbacks that are due, earliest first."""
        now_s = time.monotonic()
        while self._due and self._due[0][0] <= now_s:
            heapq.heappop(self._due)[2]()
