"""Tests of the periodic timer."""

import unittest

from snipebay_node.ticker import INPUT_POLLS, Ticker


class FakeEvent:
    time_left_s = 0.0

    def reduce_time_left(self, seconds):
        self.time_left_s = seconds


class TestTicker(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.ticks = []
        self.ticker = Ticker(0.1, self.ticks.append, lambda: self.now_s)

    def run_until(self, end_s):
        """Run the loop as circuits does: sleep for the time left, then ask again."""
        while self.now_s < end_s:
            event = FakeEvent()
            self.ticker._on_generate_events(event)
            self.now_s += max(event.time_left_s, 0.001)

    def test_ticks_at_the_interval(self):
        self.run_until(1.05)
        self.assertEqual(len(self.ticks), 10)

    def test_changed_interval_counts_from_the_next_tick_on(self):
        self.ticker.interval_s = 0.02
        self.run_until(0.195)
        self.assertEqual(len(self.ticks), 5)

    def test_expedited_tick_is_not_delayed_by_a_longer_wish(self):
        self.ticker.expedite(0.03)
        self.ticker.expedite(0.5)
        self.run_until(0.035)
        self.assertEqual(len(self.ticks), 1)

    def test_late_tick_lets_waiting_input_go_first(self):
        # Guards against timeouts that expire before input from a suspension is read.
        self.now_s = 5.0
        events = [FakeEvent() for _ in range(INPUT_POLLS)]
        for event in events:
            event.time_left_s = 1.0
            self.ticker._on_generate_events(event)
        self.assertEqual([event.time_left_s for event in events], [0.0] * INPUT_POLLS)
        self.assertEqual(self.ticks, [])
        self.ticker._on_generate_events(FakeEvent())
        self.assertEqual(self.ticks, [5.0])

    def test_missed_ticks_are_skipped(self):
        self.now_s = 5.0
        self.run_until(5.05)
        self.assertEqual(len(self.ticks), 1)


if __name__ == "__main__":
    unittest.main()
