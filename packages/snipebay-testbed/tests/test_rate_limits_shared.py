"""Tests that all entry instances together keep the limits of backend servers."""

import unittest

from snipebay_testbed.routed_rig import RoutedRig

GRACE_S = 4.0
LOAD_PER_S = 150.0


def allowed(per_s):
    """Return the requests that a backend server may get in 4 s, by the stated rule."""
    return 1.5 * 4.0 * per_s + 5


class TestLimitOfAllInstancesTogether(unittest.TestCase):
    """Instances that each keep a limit, or none, together exceed it many times."""

    def check(self, per_s, seed, disturb=None):
        rig = RoutedRig(12, 12, seed).start()
        rig.offer_load(LOAD_PER_S, 24.0)
        rig.scheduler.run_for(3.0)
        named = rig.name_limits(per_s, share=0.75)
        from_s = rig.now_s + GRACE_S
        if disturb is not None:
            disturb(rig)
        rig.scheduler.run_for(16.0)
        worst = max(backend.largest_window(from_s) for backend in named)
        self.assertLessEqual(worst, allowed(per_s), (per_s, seed))
        return rig

    def test_sum_over_instances_keeps_the_limit(self):
        for per_s in (0.5, 1.6, 6.0):
            self.check(per_s, 1)


if __name__ == "__main__":
    unittest.main()
