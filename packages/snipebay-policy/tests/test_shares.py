"""Tests of the shares of regions and of the meters of links."""

import unittest

from snipebay_policy.shares import LinkMeter, Ramp, ShareMeter


class TestShares(unittest.TestCase):
    def test_shifted_share_never_exceeds_the_cap(self):
        meter = ShareMeter(0.3)
        for _ in range(1_000):
            if meter.count_request({"b": 0.9}) is not None:
                meter.count_shift()
            self.assertLessEqual(meter.shifted, 0.3 * meter.total)
        self.assertGreater(meter.shifted, 280)

    def test_ramp_rate_is_limited_in_both_directions(self):
        ramp = Ramp(0.1)
        self.assertEqual(ramp.advance(0.5, 0.0), 0.0)
        self.assertAlmostEqual(ramp.advance(0.5, 2.0), 0.2)
        self.assertAlmostEqual(ramp.advance(0.0, 3.0), 0.1)

    def test_link_traffic_stays_within_its_rate(self):
        meter = LinkMeter(1_000.0)
        taken = 0
        for step in range(1_000):
            if meter.allows(100, step / 100):
                meter.consume(100, step / 100)
                taken += 100
        self.assertLessEqual(taken, 10_000 + 250 + 100)


if __name__ == "__main__":
    unittest.main()
