"""Tests that all entry instances together keep the limits of backend servers."""

import unittest

from snipebay_testbed.routed_rig import RoutedRig

GRACE_S = 4.0
RUN_S = 16.0
LOAD_PER_S = 150.0


def allowed(per_s):
    """Return the requests that a backend server may get in 4 s, by the stated rule."""
    return 1.5 * 4.0 * per_s + 5


class LimitCase(unittest.TestCase):
    entries = backends = 12
    load_per_s = LOAD_PER_S

    def start(self, per_s, seed):
        """Start a deployment under load; most backend servers name a limit."""
        self.rig = RoutedRig(self.entries, self.backends, seed).start()
        self.rig.offer_load(self.load_per_s, 60.0)
        self.run_for(3.0)
        self.per_s = per_s
        self.named = self.rig.name_limits(per_s, share=0.75)
        self.from_s = self.rig.now_s + GRACE_S

    def run_for(self, seconds):
        self.rig.scheduler.run_for(seconds)

    def owners(self):
        """Return the hosts that own limited backend servers, in a fixed order."""
        permits = self.rig.entries[0].core.forward.queue.permits
        ids = {permits.owners(backend.row)[0] for backend in self.named}
        return [host for host in self.rig.entries if host.id in ids]

    def check_kept(self, but=()):
        worst = max(
            backend.largest_window(self.from_s, but=but) for backend in self.named
        )
        self.assertLessEqual(worst, allowed(self.per_s))

    def used(self, seconds):
        """Return the requests of the last seconds as a share of what is allowed."""
        from_s = self.rig.now_s - seconds
        arrivals = sum(
            at_s >= from_s for backend in self.named for at_s, _ in backend.arrivals
        )
        return arrivals / (seconds * self.per_s * len(self.named))


class TestLimitOfAllInstancesTogether(LimitCase):
    """Instances that each keep a limit, or none, together exceed it many times."""

    def test_sum_over_instances_keeps_the_limit(self):
        for per_s in (0.5, 1.6, 6.0):
            self.start(per_s, 1)
            self.run_for(RUN_S)
            self.check_kept()

    def test_limit_is_used_where_callers_are_short(self):
        self.start(4.0, 2)
        self.run_for(RUN_S)
        self.assertGreater(self.used(10.0), 0.9)

    def test_requests_beyond_the_limits_are_refused_with_a_time_to_return(self):
        self.start(1.0, 3)
        self.rig.name_limits(1.0)
        self.run_for(5.0)
        refusals = [
            (at_s, problem) for h in self.rig.entries for at_s, problem in h.refusals
        ]
        limited = [p for _, p in refusals if p.reason == "rate_limited"]
        self.assertTrue(limited)
        self.assertTrue(all(p.outcome == "not-run" for p in limited))
        self.assertTrue(all(p.retry_after_s > 0 for p in limited))

    def test_rate_returns_after_the_end(self):
        self.start(2.0, 4)
        self.run_for(8.0)
        self.rig.name_limits(None)
        self.run_for(8.0)
        self.assertGreater(self.used(2.0), 3.0)
        tables = [host.core.rate_limits for host in self.rig.entries]
        self.assertEqual([len(table) for table in tables], [0] * len(tables))

    def test_limit_named_again_is_kept(self):
        self.start(2.0, 5)
        self.run_for(8.0)
        self.rig.name_limits(None)
        self.run_for(8.0)
        self.rig.name_limits(2.0, share=0.75)
        self.from_s = self.rig.now_s + GRACE_S
        self.run_for(RUN_S)
        self.check_kept()


class TestLimitWhileOwnersChange(LimitCase):
    """Two instances that both grant permits for a backend server overload it."""

    def test_restarts_in_series(self):
        for seed in (1, 2, 3):
            self.start(3.0, seed)
            self.run_for(4.0)
            for host in self.owners()[:4]:
                host.kill()
                self.run_for(0.8)
                host.start()
                self.run_for(0.7)
            self.run_for(6.0)
            self.check_kept()

    def test_started_instance_knows_the_limits_before_its_first_request(self):
        self.start(0.5, 4)
        self.run_for(4.0)
        host = self.rig.entries[0]
        host.kill()
        self.run_for(1.0)
        host.start()
        while not host.core.is_ready:
            self.run_for(0.05)
        known = {limit.backend_id for limit in host.core.rate_limits}
        self.assertEqual(known, {backend.row.backend_id for backend in self.named})

    def test_frozen_owners(self):
        for seed in (1, 2, 3):
            self.start(3.0, seed)
            self.run_for(5.0)
            frozen = self.owners()[:3]
            for host in frozen:
                host.freeze()
            self.run_for(6.0)
            # Instances that are not frozen go on within the limits.
            self.assertGreater(self.used(2.0), 0.8)
            for host in frozen:
                host.thaw()
            self.run_for(6.0)
            self.check_kept(but={host.id for host in frozen})

    def test_owners_cut_from_control(self):
        for seed in (1, 2, 3):
            self.start(3.0, seed)
            self.run_for(5.0)
            for host in self.owners()[:3]:
                self.rig.network.partition(host.id, self.rig.control.hosts)
            self.run_for(8.0)
            self.rig.network.heal()
            self.run_for(4.0)
            self.check_kept()

    def test_control_lost(self):
        self.start(3.0, 1)
        self.run_for(5.0)
        for host in self.rig.control.hosts.values():
            host.freeze()
        self.run_for(8.0)
        self.assertGreater(self.used(3.0), 0.35)
        for host in self.rig.control.hosts.values():
            host.thaw()
        self.run_for(6.0)
        self.check_kept()

    def test_leader_killed(self):
        self.start(3.0, 2)
        self.run_for(5.0)
        leader = self.rig.control.leader
        leader.kill()
        self.run_for(4.0)
        leader.start()
        self.run_for(6.0)
        self.assertGreater(self.used(3.0), 0.9)
        self.check_kept()


class TestLimitAtManyInstances(LimitCase):
    """A part of each limit per instance is below one request at this size."""

    entries, backends, load_per_s = 100, 40, 400.0

    def test_sum_over_instances_keeps_the_limit(self):
        self.start(0.5, 1)
        self.run_for(10.0)
        self.check_kept()
        self.assertGreater(self.used(6.0), 0.8)


if __name__ == "__main__":
    unittest.main()
