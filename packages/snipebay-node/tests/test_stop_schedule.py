"""Tests for the schedule of a graceful shutdown."""

import unittest

from snipebay_node.stop_schedule import StopSchedule


class TestStopSchedule(unittest.TestCase):
    def test_requests_are_refused_and_end_before_the_process_whatever_the_timeout(self):
        for timeout_s in (0.5, 1.0, 1.5, 2.5, 5.5, 30.0):
            schedule = StopSchedule(timeout_s, True)
            with self.subTest(timeout_s=timeout_s):
                self.assertLessEqual(schedule.accept_s, timeout_s / 2)
                self.assertLess(schedule.accept_s, schedule.requests_end_s)
                self.assertLess(schedule.requests_end_s, timeout_s)
                self.assertGreater(schedule.requests_end_s, 0.9 * timeout_s)

    def test_requests_are_accepted_while_callers_may_use_earlier_lookups(self):
        schedule = StopSchedule(5.5, True)
        self.assertEqual((schedule.accept_s, schedule.min_s), (2.5, 3.0))

    def test_instance_without_callers_stops_at_once(self):
        self.assertLess(StopSchedule(5.5, False).min_s, 0.5)
