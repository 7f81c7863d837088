"""Callbacks at a time, for the event loops of stand-ins and load tool."""

import heapq
import itertools
import time

from circuits import Event

__all__ = ["Timers", "tick"]


class tick(Event):
    """Time has moved."""


class Timers:
    """Runs callbacks after a delay, from the ticks of an event loop."""

    def __init__(self):
        self._due = []
        self._order = itertools.count()

    def after(self, delay_s, callback):
        """Run a callback after a delay."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._due, (due_s, next(self._order), callback))

    def run_due(self):
        """Run what is due."""
        now_s = time.monotonic()
        while self._due and self._due[0][0] <= now_s:
            heapq.heappop(self._due)[2]()
