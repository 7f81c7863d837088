"""Counted bounds of the bench, and settings in force at the letter's size."""

import unittest

import attrs
from snipebay_testbed.bench import SCENARIOS, measure
from snipebay_testbed.deployments import DEPLOYMENTS, Deployment, ServiceSpec
from snipebay_testbed.system_rig import SystemRig

IN_FORCE_LIMIT_S = 4.0
LARGE = Deployment(
    "the letter's size",
    {f"r{i}": (f"d{i}a", f"d{i}b") + (("x",) if not i else ()) for i in range(8)}
    | {"r7": ("d7a", "d7b", "d7c")},
    (ServiceSpec("check", 18, (5, 6), 40.0, "deadline_ms: 800"),),
    440,
    4.0,
    35.0,
    8.0,
)


class TestBounds(unittest.TestCase):
    def test_promises_hold_in_every_scenario_at_60_percent(self):
        for name in SCENARIOS:
            with self.subTest(scenario=name):
                ours, _, baseline = measure(name, "marina", 0.6, 1)
                self.assertEqual(ours.findings, [], ours)
                # The measure must be able to fail: the baseline has no limits.
                self.assertGreater(baseline.over_slots, 0)


class TestLettersSize(unittest.TestCase):
    def test_change_is_in_force_at_440_instances_in_time(self):
        rig = SystemRig(LARGE, 1, controls=5, heartbeat_interval_s=5.0)
        rig.start()
        joined = rig.control.leader.core.state.entries
        self.assertEqual(len(joined), LARGE.entries)
        outcome = rig.change(LARGE.settings(retry_budget=0.2))
        took_s = rig.scheduler.wait_for(
            lambda: all(
                host.core.ctx.view.settings_revision == outcome.revision
                for host in rig.entries.values()
            ),
            2 * IN_FORCE_LIMIT_S,
        )
        self.assertIsNotNone(took_s)
        self.assertLess(took_s, IN_FORCE_LIMIT_S)


class TestDeployments(unittest.TestCase):
    def test_sizes_of_the_brief(self):
        counts = {
            name: [service.backends for service in plan.services]
            for name, plan in DEPLOYMENTS.items()
        }
        self.assertEqual(counts, {"marina": [16, 12, 12], "badvatten": [14, 12, 14]})
        self.assertTrue(all(attrs.asdict(plan) for plan in DEPLOYMENTS.values()))


if __name__ == "__main__":
    unittest.main()
