"""Bounds of the benchmark, and propagation of settings to 440 instances."""

import unittest

import attrs
from snipebay_testbed.bench import SCENARIOS, measure
from snipebay_testbed.deployments import DEPLOYMENTS, Deployment, ServiceSpec
from snipebay_testbed.system_rig import SystemRig

MAX_IN_FORCE_S = 4.0
# 440 entry instances in 8 regions with 18 failure domains.
LARGE = Deployment(
    "440 instances",
    {f"r{i}": (f"d{i}a", f"d{i}b") + (("x",) if not i else ()) for i in range(8)}
    | {"r7": ("d7a", "d7b", "d7c")},
    (ServiceSpec("check", 18, (5, 6), 40.0, "deadline_ms: 800"),),
    440,
    4.0,
    35.0,
    8.0,
)


class TestBounds(unittest.TestCase):
    def test_invariants_hold_in_every_scenario_at_60_percent_load(self):
        for name in SCENARIOS:
            with self.subTest(scenario=name):
                ours, _, baseline = measure(name, "marina", 0.6, 1)
                self.assertEqual(ours.violated_bounds, [], ours)
                # The baseline ignores slots, so the benchmark must report a violation.
                self.assertGreater(baseline.over_slots, 0)


class TestLargeDeployment(unittest.TestCase):
    def test_change_is_in_force_at_440_instances_within_limit(self):
        rig = SystemRig(LARGE, 1, controls=5, heartbeat_interval_s=5.0)
        rig.start()
        joined_entries = rig.control.leader.core.state.entries
        self.assertEqual(len(joined_entries), LARGE.entries)
        outcome = rig.change(LARGE.settings(retry_budget=0.2))
        in_force_s = rig.scheduler.wait_for(
            lambda: all(
                host.core.ctx.view.settings_revision == outcome.revision
                for host in rig.entries.values()
            ),
            2 * MAX_IN_FORCE_S,
        )
        self.assertIsNotNone(in_force_s)
        self.assertLess(in_force_s, MAX_IN_FORCE_S)


class TestDeployments(unittest.TestCase):
    def test_backend_counts_of_reference_deployments(self):
        counts = {
            name: [service.backends for service in deployment.services]
            for name, deployment in DEPLOYMENTS.items()
        }
        self.assertEqual(counts, {"marina": [16, 12, 12], "badvatten": [14, 12, 14]})
        self.assertTrue(
            all(attrs.asdict(deployment) for deployment in DEPLOYMENTS.values())
        )


if __name__ == "__main__":
    unittest.main()
