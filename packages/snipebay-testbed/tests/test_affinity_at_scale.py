"""Tests that many instances place affinity keys as well as a few of them do."""

import unittest

from snipebay_policy.region_shares import kept_utilization
from snipebay_testbed.affinity_study import REGIONS, AffinityStudy, StudyLoad

SIZES = (9, 82, 185, 440)
NOISE = 0.03


def count_own(study, host, region):
    """Count the keys that one instance has met itself."""
    return len(study.local_counts[host.row.entry_id])


def count_all(study, host, region):
    """Count the keys that run in a region, as control reports them."""
    return study.keys_in(region)


class TestManyInstancesWithFewRequestsEach(unittest.TestCase):
    """At hundreds of instances each one meets a key once in minutes."""

    @classmethod
    def setUpClass(cls):
        cls.results = {
            size: AffinityStudy(StudyLoad(size, seconds=12.0), 1, count_all).run()
            for size in SIZES
        }

    def test_responses_are_as_often_on_time(self):
        few = self.results[SIZES[0]].settled_share
        for size in SIZES[1:]:
            self.assertGreater(self.results[size].settled_share, few - NOISE)

    def test_more_keys_are_cached_than_by_own_counts(self):
        load = StudyLoad(SIZES[2], seconds=12.0)
        own = AffinityStudy(load, 1, count_own).run()
        self.assertGreater(
            self.results[SIZES[2]].settled_share, own.settled_share + NOISE
        )


class TestRegionWithLittleRoom(unittest.TestCase):
    """A tenth of the backend servers and a fifth of the callers are in one region."""

    def shares(self, instances, kept):
        """Return the share in time for the callers of each region."""
        load = StudyLoad(
            instances, per_s=607.0, demand=(0.46, 0.19, 0.35), kept=kept, seconds=12.0
        )
        found = AffinityStudy(load, 1, count_all).run()
        return [found.settled_share_of(region) for region in REGIONS]

    def test_its_callers_are_served_better_when_requests_leave_early(self):
        for size in SIZES:
            with self.subTest(instances=size):
                late, early = (
                    self.shares(size, 0.6),
                    self.shares(size, kept_utilization(1.0)),
                )
                self.assertGreater(early[1], late[1] + NOISE)
                for region in (0, 2):
                    self.assertGreater(early[region], late[region] - NOISE)


if __name__ == "__main__":
    unittest.main()
