"""Tests of changes while disks fill up."""

import unittest

import numpy as np
from snipebay_control.core import ControlConfig
from snipebay_model.messages import ApplyPlan
from snipebay_model.plan import Plan, RoutedService
from snipebay_testbed.control_rig import ControlRig

SEEDS = ("c1", "c2", "c3")
RANDOM_SEEDS = range(20)


def plan_change(version, base):
    plan = Plan(version, (), (RoutedService("s"),), source=b"%d" % version)
    return ApplyPlan(f"d{version}", base, plan)


class TestFullDisks(unittest.TestCase):
    """Guards against changes that stay refused after full disks have room again."""

    def test_changes_are_accepted_soon_after_the_last_disk_has_room(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                cfg = ControlConfig("", (), compact_entries=3)
                rig = ControlRig(seed, 5, seeds=SEEDS, cfg=cfg, loss=0.01)
                rig.scheduler.run_for(6.0)
                members = rig.elect().core.raft.members
                self.assertEqual(sum(members.values()), 5, members)
                self.fill_in_turn(rig, np.random.default_rng(seed))

    def fill_in_turn(self, rig, rng):
        """Fill the disks one after another, never two at once, while changes go on."""
        version = 0
        for host in [*rig.hosts.values(), rig.elect(), *rig.hosts.values()]:
            host.is_disk_full = True
            end_s = rig.scheduler.now_s + rng.uniform(1.0, 6.0)
            while rig.scheduler.now_s < end_s:
                version += 1
                change = plan_change(version, version - 1)
                self.assertEqual(rig.call(change, limit_s=6.0).code, "ok")
                rig.scheduler.run_for(rng.uniform(0.0, 1.0))
            host.is_disk_full = False
        rig.scheduler.run_for(3.0)
        change = plan_change(version + 1, version)
        self.assertEqual(rig.call(change, limit_s=1.0).code, "ok")
        rig.scheduler.run_for(1.0)
        found = {i: host.core.state.plan.version for i, host in rig.hosts.items()}
        self.assertEqual(set(found.values()), {version + 1}, found)
