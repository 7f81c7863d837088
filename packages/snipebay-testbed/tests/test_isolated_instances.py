"""Tests of entry instances that lose all backend servers while callers reach them."""

import unittest

from snipebay_testbed.routed_rig import RoutedRig

GRACE_S = 4.0


class IsolatedCase(unittest.TestCase):
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


class TestCallersOfIsolatedInstances(IsolatedCase):
    """An instance took its own loss of reach for failures of all backend servers."""

    def test_half_of_the_instances_with_hanging_connections(self):
        self.check_served(range(0, 12, 2), "hang", 1)

    def test_half_of_the_instances_with_refused_connections(self):
        self.check_served(range(0, 12, 2), "refuse", 2)

    def test_all_instances_of_a_failure_domain(self):
        for how in ("hang", "refuse"):
            self.check_served((0, 6), how, 3)

    def test_all_instances_but_one(self):
        for how in ("hang", "refuse"):
            self.check_served(range(11), how, 4)

    def test_instance_that_starts_while_it_is_cut_off(self):
        self.start(5)
        host = self.rig.entries[0]
        host.kill()
        host.cut_off("hang")
        self.rig.scheduler.run_for(1.0)
        host.start()
        from_s = self.rig.now_s + GRACE_S
        self.rig.scheduler.run_for(10.0)
        served = self.share_served([host], from_s, self.rig.now_s - 2.5)
        self.assertGreater(served, 2 / 3)

    def test_requests_are_refused_at_once_when_none_reaches(self):
        self.start(6)
        self.cut_off(self.rig.entries, "hang")
        self.rig.scheduler.run_for(6.0)
        for host in self.rig.entries:
            refused_s = {
                problem.request_id: at_s
                for at_s, problem in host.refusals
                if problem.reason == "unreachable" and problem.request_id in host.tries
            }
            late = [
                at_s - host.tries[i][0]
                for i, at_s in refused_s.items()
                if host.tries[i][0] > self.rig.now_s - 3.0
            ]
            self.assertTrue(late)
            self.assertLess(max(late), 0.01)

    def test_limits_of_backend_servers_are_kept_meanwhile(self):
        self.start(7)
        named = self.rig.name_limits(3.0)
        self.cut_off(self.rig.entries[::2], "hang")
        from_s = self.rig.now_s + GRACE_S
        self.rig.scheduler.run_for(12.0)
        worst = max(backend.largest_window(from_s) for backend in named)
        self.assertLessEqual(worst, 1.5 * 4 * 3.0 + 5)


class TestReturnOfReach(IsolatedCase):
    """Failures recorded while cut off must not count against backend servers."""

    def setUp(self):
        self.start(8)
        self.cut = self.rig.entries[::3]
        self.cut_off(self.cut, "hang")
        self.rig.scheduler.run_for(8.0)

    def test_no_backend_server_stays_ejected(self):
        for host in self.cut:
            members = host.core.fleet.members.values()
            self.assertFalse(any(m.ejections for m in members))

    def test_look_ups_name_the_others_meanwhile(self):
        cut = {host.row.address for host in self.cut}
        for host in self.rig.entries:
            found = host.core.lookup(host.row.domain, host.row.region)
            self.assertFalse(cut & set(found))

    def test_instance_is_used_again(self):
        self.cut_off(self.cut, "")
        self.rig.scheduler.run_for(4.0)
        for host in self.cut:
            self.assertFalse(host.core.reach.is_isolated)
            found = self.rig.entries[1].core.lookup(host.row.domain, host.row.region)
            self.assertIn(host.row.address, found)
        from_s = self.rig.now_s
        self.rig.scheduler.run_for(4.0)
        served = self.share_served(self.cut, from_s, self.rig.now_s - 2.5)
        self.assertGreater(served, 0.98)


class TestSoundInstances(IsolatedCase):
    """Failures of some backend servers must not pass for an own loss of reach."""

    def test_lost_region_of_backend_servers(self):
        self.start(9)
        for backend in self.rig.backends.values():
            if backend.row.region == "a":
                backend.is_up = False
        for _ in range(40):
            self.rig.scheduler.run_for(0.2)
            isolated = [h.id for h in self.rig.entries if h.core.reach.is_isolated]
            self.assertEqual(isolated, [])

    def test_frozen_process(self):
        self.start(10)
        host = self.rig.entries[0]
        host.freeze()
        self.rig.scheduler.run_for(2.5)
        host.thaw()
        for _ in range(20):
            self.rig.scheduler.run_for(0.1)
            self.assertFalse(host.core.reach.is_isolated)


if __name__ == "__main__":
    unittest.main()
