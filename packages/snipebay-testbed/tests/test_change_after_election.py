"""Tests that a change is in force everywhere soon after control lost its leader."""

import unittest

import attrs
from snipebay_model.messages import ApplyPlan
from snipebay_testbed.routed_rig import RoutedRig

# A change that was acknowledged must be in force everywhere within this time.
APPLY_S = 2.5
CONTROLS = 5
SEEDS = range(6)


class ElectionCase(unittest.TestCase):
    def start(self, seed, entries):
        self.rig = RoutedRig(entries, 2, seed, controls=CONTROLS).start()
        # Renewals of the instances are spread over their interval.
        self.rig.scheduler.run_for(1.0 + float(self.rig.rng.uniform(0.0, 1.0)))

    def change_plan(self):
        """Apply the next version of the plan and return when it was acknowledged."""
        plan = self.rig.control.elect().core.state.plan
        plan = attrs.evolve(plan, version=plan.version + 1)
        cmd = ApplyPlan(f"d{plan.version}", plan.version - 1, plan)
        self.assertEqual(self.rig.control.call(cmd).code, "ok")
        return self.rig.now_s

    def delay_s(self, acked_s):
        """Return the time from an acknowledgement until the change is in force."""
        version = self.rig.control.leader.core.state.plan.version
        entries = self.rig.entries
        self.rig.scheduler.wait_for(
            lambda: all(e.core.view.plan.version >= version for e in entries), 20.0
        )
        return self.rig.now_s - acked_s


class TestChangeAfterElection(ElectionCase):
    """Guards against instances that answer by an older version after an election."""

    def check(self, entries, lose_leader, others=0, seeds=range(3)):
        for seed in seeds:
            with self.subTest(seed=seed):
                self.start(seed, entries)
                hosts = self.rig.control.hosts.values()
                leader = self.rig.control.elect()
                followers = [host for host in hosts if host is not leader]
                for host in (leader, *followers[:others]):
                    lose_leader(host)
                took_s = self.delay_s(self.change_plan())
                self.assertLessEqual(took_s, APPLY_S)

    def test_leader_is_suspended(self):
        self.check(40, lambda host: host.freeze())

    def test_leader_is_killed(self):
        self.check(40, lambda host: host.kill())

    def test_leader_and_a_follower_are_suspended(self):
        self.check(40, lambda host: host.freeze(), others=1)

    def test_many_instances(self):
        self.check(200, lambda host: host.freeze(), others=1, seeds=SEEDS)


if __name__ == "__main__":
    unittest.main()
