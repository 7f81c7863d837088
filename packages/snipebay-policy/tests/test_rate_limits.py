"""Tests of the rate limits that backend servers name."""

import unittest

import attrs
from snipebay_model.messages import RateLimitReport
from snipebay_model.view import BackendRow, View
from snipebay_policy.rate_limits import MIN_RATE_PER_S, RECOVERY_S, RateLimitTable

ROW = BackendRow("i1", "s", "10.0.1.1:80", "a", "a-1", 4, born_ms=7)


class TestRateLimitTable(unittest.TestCase):
    """A limit that outlives its incarnation or ends in one step harms the server."""

    def setUp(self):
        self.events = []
        self.table = RateLimitTable(lambda *args, **fields: self.events.append(args[0]))
        self.table.apply_view(View(1, backends=(ROW,)))

    def name(self, per_s, now_s=0.0):
        self.table.record(ROW, per_s, now_s)
        return self.table.get("i1")

    def test_rate_recovers_gradually_after_the_end(self):
        self.name(4.0)
        limit = self.name(None, 1.0)
        rates = [limit.rate_per_s(1.0 + seconds) for seconds in range(3)]
        self.assertEqual(rates, [4.0, 8.0, 16.0])
        self.table.tick(1.0 + RECOVERY_S)
        self.assertIsNone(self.table.get("i1"))

    def test_limit_named_again_is_in_force_at_once(self):
        self.name(4.0)
        self.name(None, 1.0)
        self.assertEqual(self.name(3.0, 2.0).rate_per_s(2.0), 3.0)

    def test_zero_leaves_a_rate_to_notice_the_end(self):
        self.assertEqual(self.name(0.0).rate_per_s(0.0), MIN_RATE_PER_S)

    def test_response_without_a_limit_records_none(self):
        self.assertIsNone(self.name(None))

    def test_new_incarnation_inherits_no_limit(self):
        self.name(4.0)
        self.table.apply_view(View(1, backends=(attrs.evolve(ROW, born_ms=8),)))
        self.assertIsNone(self.table.get("i1"))

    def test_newer_report_of_an_end_replaces_older_knowledge(self):
        self.name(4.0)
        ended = RateLimitReport("i1", 7, 4.0, True, 10_000)
        self.table.apply_control((ended,), (1, 1), 20.0)
        self.table.tick(20.0)
        self.assertIsNone(self.table.get("i1"))

    def test_older_report_changes_nothing(self):
        self.name(4.0, 9.5)
        self.table.merge(RateLimitReport("i1", 7, 1.0, True, 2_000), 10.0)
        self.assertEqual(self.table.get("i1").per_s, 4.0)

    def test_only_what_control_does_not_know_is_reported(self):
        self.name(4.0, 1.0)
        (report,) = self.table.news(1.5)
        self.assertEqual((report.per_s, report.age_ms), (4.0, 500))
        self.table.apply_control((report,), (1, 1), 1.5)
        self.assertEqual(self.table.news(2.0), ())
        self.table.apply_control((), (2, 0), 2.5)
        self.assertEqual(len(self.table.news(2.5)), 1)

    def test_small_changes_are_not_logged(self):
        for per_s in (4.0, 4.1, 4.0, 8.0, None):
            self.name(per_s)
        self.assertEqual(
            self.events,
            [
                "backend server named a rate limit",
                "rate limit changed",
                "rate limit ended",
            ],
        )


if __name__ == "__main__":
    unittest.main()
