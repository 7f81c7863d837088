"""Tests of the rate limits that the leader passes on to entry instances."""

import unittest

from snipebay_control.rate_limit_board import ENDED_RETENTION_S, RateLimitBoard
from snipebay_model.messages import RateLimitReport
from snipebay_model.view import BackendRow

BACKENDS = {"i1": BackendRow("i1", "s", "10.0.1.1:80", "a", "a-1", 4, born_ms=7)}


class TestRateLimitBoard(unittest.TestCase):
    """A late or foreign report must not replace a newer one."""

    def setUp(self):
        self.board = RateLimitBoard()
        self.board.start(3)

    def report(self, per_s=4.0, now_s=10.0, age_ms=0, born_ms=7, is_ended=False):
        report = RateLimitReport("i1", born_ms, per_s, is_ended, age_ms)
        self.board.merge((report,), BACKENDS, now_s)
        return [r.per_s for r in self.board.reports((0, 0), now_s)]

    def test_newest_observation_counts(self):
        self.report(4.0)
        self.assertEqual(self.report(8.0, age_ms=500), [4.0])
        self.assertEqual(self.report(8.0, now_s=10.1), [8.0])

    def test_other_incarnations_and_unknown_servers_are_ignored(self):
        self.assertEqual(self.report(born_ms=6), [])
        report = RateLimitReport("i2", 7, 1.0, False, 0)
        self.board.merge((report,), BACKENDS, 10.0)
        self.assertEqual(self.board.reports((0, 0), 10.0), ())

    def test_receiver_with_the_current_version_gets_nothing(self):
        self.report(4.0)
        version = self.board.version
        self.assertIsNone(self.board.reports(version, 11.0))
        self.report(4.1, now_s=11.0)
        self.assertEqual(self.board.version, version)
        self.report(8.0, now_s=12.0)
        self.assertNotEqual(self.board.version, version)

    def test_age_grows_until_it_is_sent(self):
        self.report(age_ms=500)
        (report,) = self.board.reports((0, 0), 12.0)
        self.assertEqual(report.age_ms, 2_500)

    def test_ended_and_foreign_limits_expire(self):
        self.report(is_ended=True)
        self.board.expire(BACKENDS, 10.0 + ENDED_RETENTION_S - 1)
        self.assertEqual(len(self.board.reports((0, 0), 11.0)), 1)
        self.board.expire(BACKENDS, 10.0 + ENDED_RETENTION_S)
        self.assertEqual(self.board.reports((0, 0), 11.0), ())

    def test_new_leader_starts_without_limits(self):
        self.report(4.0)
        self.board.start(4)
        self.assertEqual(self.board.reports((3, 1), 11.0), ())


if __name__ == "__main__":
    unittest.main()
