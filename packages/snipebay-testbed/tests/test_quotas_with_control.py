"""Tests of quotas with the cores of control and entry instances."""

import unittest

import attrs
from snipebay_model.messages import ApplyWorkspacePlan
from snipebay_model.workspace import Workspace, key_digest
from snipebay_policy.arrivals import Arrival
from snipebay_testbed.routed_host import HOST, PREFIX
from snipebay_testbed.routed_rig import RoutedRig

RATE = 40.0
WINDOW_S = 5.0


class TestQuotasWithControl(unittest.TestCase):
    """Guards against fields of messages that are lost between the cores."""

    def setUp(self):
        self.rig = RoutedRig(4, 24, seed=3).start()

    def limit(self, rate):
        workspace = Workspace("w", (key_digest(b"k"),), rate_per_s=rate, burst=rate)
        leader = self.rig.control.leader.core
        plan = attrs.evolve(leader.state.plan, version=2, workspaces=(workspace,))
        command = ApplyWorkspacePlan("d2", 1, plan)
        self.assertEqual(self.rig.control.call(command).code, "ok")
        self.rig.scheduler.run_for(2.0)

    def send(self, per_s, seconds):
        """Let requests arrive at all instances, and record those that are sent on."""
        rig = self.rig
        for number in range(int(per_s * seconds)):
            host = rig.entries[number % len(rig.entries)]
            rig.scheduler.after(number / per_s, self._arrive, host)
        rig.scheduler.run_for(seconds)

    def _arrive(self, host):
        arrival = Arrival(next(self.rig.ids), HOST, PREFIX, 2.5, credential=b"k")
        host.paths[arrival.request_id] = PREFIX
        host.run(
            lambda: host.core.forward.on_request(arrival, self.rig.now_s),
        )

    def test_limit_holds_and_is_used_over_a_change_of_leader(self):
        self.limit(RATE)
        runs = []
        for _ in range(24):
            before = self.rig.runs.total()
            self.send(3 * RATE, 0.5)
            runs.append(self.rig.runs.total() - before)
        self.assertGreaterEqual(sum(runs[8:]) / 8, 0.9 * RATE)
        self.rig.control.leader.kill()
        for _ in range(24):
            before = self.rig.runs.total()
            self.send(3 * RATE, 0.5)
            runs.append(self.rig.runs.total() - before)
        steps = int(WINDOW_S / 0.5)
        worst = max(sum(runs[n : n + steps]) for n in range(len(runs) - steps))
        self.assertLessEqual(worst, RATE * WINDOW_S + RATE)
        self.assertGreaterEqual(sum(runs[-6:]) / 3, 0.8 * RATE)
        reasons = self.rig.count_refusals()
        self.assertGreater(reasons["over_quota"], 0)
        self.assertEqual(set(reasons) - {"over_quota", "quota_unknown"}, set())

    def test_without_workspaces_no_message_is_longer(self):
        """Guards against costs for deployments that have none."""
        self.send(3 * RATE, 3.0)
        self.assertNotIn("CreditRequest", self.rig.network.sent)
        for host in self.rig.entries:
            self.assertEqual(host.core.forward.quota.reports("c1", 99.0), ())
