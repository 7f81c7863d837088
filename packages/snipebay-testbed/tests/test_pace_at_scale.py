"""Tests of load news, near failure domains and popular keys at many instances."""

import unittest

from snipebay_testbed.pace_study import PaceLoad, PaceStudy

SIZES = (12, 133, 440)
# Messages that one instance may send in a second.
MESSAGES_PER_S = 10


def run(instances, **values):
    load = PaceLoad(instances, slow_share=0.15, seconds=12.0, **values)
    study = PaceStudy(load, 1, lambda study, host, region: study.keys_in(region))
    return study, study.run()


class TestNearDomains(unittest.TestCase):
    """A key that is met for the first time in each domain is late twice."""

    def test_fewer_first_responses_are_late(self):
        for size in SIZES:
            with self.subTest(instances=size):
                _, far = run(size)
                _, near = run(size, is_near=True)
                self.assertGreater(near.on_time_share, far.on_time_share)


class TestPopularKeys(unittest.TestCase):
    """Each instance believes in free slots at the servers of a popular key."""

    def test_more_responses_are_on_time_with_bounded_messages(self):
        for size in SIZES:
            with self.subTest(instances=size):
                before, without = run(size, zipf=1.0, is_near=True)
                after, found = run(
                    size,
                    zipf=1.0,
                    is_near=True,
                    uses_pace=True,
                    news="ring",
                    spreads_keys=True,
                )
                self.assertGreater(found.settled_share, without.settled_share)
                self.assertLess(after.busiest_over_mean(), before.busiest_over_mean())
                self.assertLessEqual(after.messages_per_s(), MESSAGES_PER_S)


if __name__ == "__main__":
    unittest.main()
