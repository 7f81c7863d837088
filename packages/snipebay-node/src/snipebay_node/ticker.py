"""Periodic timer on the monotonic clock, unaffected by system clock changes."""

import time

from circuits import BaseComponent, handler

__all__ = ["Ticker"]

# A call that is later than this lets input go first. After a suspension, input that
# arrived in time would otherwise find its timeouts expired.
LATE_S = 0.01
# Polls for input before a late call: for connections, for what arrived on them, and for
# the rest of long messages.
INPUT_POLLS = 3


class Ticker(BaseComponent):
    """Calls a function periodically.

    ``circuits.Timer`` uses the system clock: setting the clock back stalls it, and
    setting it forward makes it fire in a burst.

    Args:
        interval_s: Interval between calls in seconds.
        on_tick: Called with the monotonic time in seconds.
        clock: Function returning the monotonic time in seconds.

    Attributes:
        interval_s: Interval from the next call on.
    """

    channel = "ticker"

    def __init__(self, interval_s, on_tick, clock=time.monotonic):
        super().__init__()
        self.interval_s = interval_s
        self._on_tick = on_tick
        self._clock = clock
        self._next_tick_s = clock() + interval_s
        self._polls_left = INPUT_POLLS

    def expedite(self, delay_s):
        """Make the next call within a delay, if it would come later."""
        self._next_tick_s = min(self._next_tick_s, self._clock() + delay_s)

    @handler("generate_events")
    def _on_generate_events(self, event):
        now_s = self._clock()
        if now_s >= self._next_tick_s + LATE_S and self._polls_left:
            self._polls_left -= 1
            event.reduce_time_left(0.0)
            return
        if now_s >= self._next_tick_s:
            # Missed ticks are skipped.
            self._next_tick_s = now_s + self.interval_s
            self._polls_left = INPUT_POLLS
            self._on_tick(now_s)
        event.reduce_time_left(max(0.0, self._next_tick_s - self._clock()))
