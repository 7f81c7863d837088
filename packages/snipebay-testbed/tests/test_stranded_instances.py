"""Tests of entry instances that lose all backend servers while callers reach them."""

import unittest

from snipebay_testbed.routed_rig import RoutedRig

GRACE_S = 4.0


class StrandedCase(unittest.TestCase):
    def start(self, seed, load_per_s=120.0):
        self.rig = RoutedRig(12, 12, seed).start()
        self.rig.offer_load(load_per_s, 60.0, unsafe_share=0.3)
        self.rig.scheduler.run_for(3.0)

    def cut_off(self, hosts, how):
        for host in hosts:
            host.cut_off(how)

    def share_served(self, hosts, from_s, to_s):
        """Return the share of answered requests that arrived in a time."""
        tries = [
            is_answered
            for host in hosts
            for arrived_s, is_answered in host.tries.values()
            if from_s <= arrived_s < to_s
        ]
        return sum(tries) / len(tries)

    def check_served(self, cut, how, seed, seconds=10.0):
        """Cut instances off and compare what their callers get with the others'."""
        self.start(seed)
        self.cut_off(cut := [self.rig.entries[n] for n in cut], how)
        from_s = self.rig.now_s + GRACE_S
        self.rig.scheduler.run_for(seconds)
        to_s = self.rig.now_s - 2.5
        others = [host for host in self.rig.entries if host not in cut]
        expected = 2 / 3 * self.share_served(others, from_s, to_s)
        self.assertGreaterEqual(self.share_served(cut, from_s, to_s), expected)


class TestCallersOfStrandedInstances(StrandedCase):
    """An instance took its own loss of reach for failures of all backend servers."""

    def test_half_of_the_instances_with_hanging_connections(self):
        self.check_served(range(0, 12, 2), "hang", 1)


if __name__ == "__main__":
    unittest.main()
