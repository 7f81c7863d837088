"""Tests of the bound on the requests of a workspace over all entry instances."""

import unittest

from snipebay_control.credit_board import QuotaRules
from snipebay_testbed.quota_rig import QuotaRig

LARGE, SMALL = 320.0, 3.2
LIMITS = (("large", LARGE), ("small", SMALL))
USUAL = {"large": 200.0, "small": 2.0}
# What a deployment with quotas sets; without it no request goes over the limit.
TOLERANT = QuotaRules(overage=0.1, tolerance=20.0)


class QuotaCase(unittest.TestCase):
    def load(self, rig, seconds, factor=9, entries=None):
        """Let both workspaces send a multiple of their usual rate for some time."""
        for name, per_s in USUAL.items():
            rig.load(name, factor * per_s, seconds, entries)
        rig.run_for(seconds)

    def check_bound(self, rig):
        """Fail if any window has more requests than the limits allow."""
        for name, rate in LIMITS:
            self.assertGreater(len(rig.ran[name]), 0)
            self.assertLessEqual(rig.excess(name, rate), 0, name)


class TestBoundInEveryWindow(QuotaCase):
    """Nine times the usual rate, while instances and the leader fail."""

    def check_failures(self, entries):
        rig = QuotaRig(entries, LIMITS)
        self.load(rig, 4)
        quarter = rig.instances[: max(1, entries // 4)]
        rig.freeze(quarter, 5)
        for _ in range(max(1, entries // 8)):
            rig.join()
        self.load(rig, 3)
        half = rig.instances[::2]
        for instance in half:
            instance.is_cut = True
        self.load(rig, 5)
        for instance in half:
            instance.is_cut = False
        for instance in rig.instances[1::8]:
            instance.is_gone = True
        for instance in rig.instances[2::8]:
            instance.start()
        self.load(rig, 2)
        rig.lose_leader()
        self.load(rig, 1.5)
        rig.elect()
        self.load(rig, 6)
        self.check_bound(rig)

    def test_1_instance(self):
        self.check_failures(1)

    def test_12_instances(self):
        self.check_failures(12)

    def test_70_instances(self):
        self.check_failures(70)

    def test_185_instances(self):
        self.check_failures(185)

    def test_440_instances(self):
        self.check_failures(440)

    def check_cut_off(self, *, is_leader_lost):
        """Cut off the instances that hold all parts, and let all get requests."""
        rig = QuotaRig(12, LIMITS)
        holders = rig.instances[:6]
        self.load(rig, 7, entries=holders)
        for instance in holders:
            instance.is_cut = True
        if is_leader_lost:
            rig.elect()
        self.load(rig, 10)
        self.check_bound(rig)

    def test_leader_change_with_parts_in_use(self):
        """Guards against a new leader that distributes what is in use already."""
        self.check_cut_off(is_leader_lost=True)

    def test_partition_with_parts_in_use(self):
        """Guards against parts that are distributed again before they have ended."""
        self.check_cut_off(is_leader_lost=False)

    def test_use_that_moves_between_instances(self):
        """Guards against a part that is distributed again before it was given up."""
        rig = QuotaRig(12, LIMITS)
        for first in (0, 6, 0, 3, 9):
            self.load(rig, 2.5, entries=rig.instances[first : first + 3])
        self.check_bound(rig)

    def test_lowered_limit_binds_one_window_later(self):
        rig = QuotaRig(12, LIMITS)
        self.load(rig, 6)
        lowered = (("large", LARGE / 4), ("small", SMALL / 2))
        rig.set_limits(lowered, delay_s=1.0)
        since_s = rig.now_s + 1.0
        # 60 requests of the small workspace; with 14 of them, one is 7 % of its limit.
        self.load(rig, 44)
        for name, rate in lowered:
            self.assertLessEqual(rig.excess(name, rate, since_s), 0, name)
            self.assertGreater(rig.used(name, rate, since_s + 5.0), 0.9, name)


class TestUseOfALimit(QuotaCase):
    """Nearly all of a limit is usable, and under it nobody is refused."""

    def test_by_all_instances(self):
        for entries in (1, 12, 70, 185, 440):
            rig = QuotaRig(entries, LIMITS, TOLERANT)
            self.load(rig, 12)
            for name, rate in LIMITS:
                self.assertGreaterEqual(rig.used(name, rate, 4.0), 0.9, (entries, name))
            self.check_bound(rig)

    def test_by_one_instance_of_many(self):
        rig = QuotaRig(70, LIMITS, TOLERANT)
        self.load(rig, 12, entries=rig.instances[:1])
        for name, rate in LIMITS:
            self.assertGreaterEqual(rig.used(name, rate, 4.0), 0.9, name)

    def test_nobody_is_refused_under_the_limit(self):
        for entries in (1, 12, 70, 185, 440):
            rig = QuotaRig(entries, LIMITS, TOLERANT)
            self.load(rig, 18, factor=1)
            for name, _ in LIMITS:
                self.assertEqual(rig.failed_since(name, 6.0), [], (entries, name))

    def test_lost_leader_is_not_reported_as_a_used_quota(self):
        """Guards against 429 for a workspace inside its limit."""
        rig = QuotaRig(12, LIMITS, TOLERANT)
        self.load(rig, 8, factor=1)
        rig.lose_leader()
        self.load(rig, 3, factor=1)
        rig.elect()
        self.load(rig, 3, factor=1)
        reasons = {row[1] for row in rig.failed_since("large", 6.0)}
        reasons |= {row[1] for row in rig.failed_since("small", 6.0)}
        self.assertEqual(reasons - {"quota_unknown"}, set())

    def test_callers_of_a_burst_are_told_different_times(self):
        rig = QuotaRig(12, LIMITS)
        self.load(rig, 6)
        for entry in ("large", "small"):
            delays = [row[2] for row in rig.failed_since(entry, 5.0) if row[2]]
            self.assertGreater(len(set(delays)), 0.5 * len(delays))
        waits = [row[3] for rows in rig.failed.values() for row in rows]
        self.assertLess(max(waits), 0.5)


if __name__ == "__main__":
    unittest.main()
