"""A timer on the steady clock, which a step of the time of day doesn't touch."""

import time

from circuits import BaseComponent, handler

__all__ = ["Ticker"]


class Ticker(BaseComponent):
    """Calls a function again and again.

    ``circuits.Timer`` counts in time of day, so a step backwards stops it and
    a step forwards makes it fire in a burst.

    Args:
        interval_s: Time between two calls.
        on_tick: Function of the time in seconds.
        clock: Function returning the steady time in seconds.
    """

    channel = "ticker"

    def __init__(self, interval_s, on_tick, clock=time.monotonic):
        super().__init__()
        self._interval_s = interval_s
        self._on_tick = on_tick
        self._clock = clock
        self._due_s = clock() + interval_s

    @handler("generate_events")
    def _on_generate_events(self, event):
        now_s = self._clock()
        if now_s >= self._due_s:
            # Missed calls are not made up for.
            self._due_s = now_s + self._interval_s
            self._on_tick(now_s)
        event.reduce_time_left(max(0.0, self._due_s - self._clock()))
