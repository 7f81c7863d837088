"""Tests in virtual time that a revoked key ceases to be served everywhere."""

import unittest

import attrs
from snipebay_model.messages import ApplyWorkspacePlan
from snipebay_model.workspace import Workspace, key_digest
from snipebay_testbed.routed_rig import RoutedRig

REVOKE_S = 5.0
KEY = b"k"


class RevokedKeyCase(unittest.TestCase):
    """Requests with a key are sent to all instances while it is revoked."""

    revoke_s = REVOKE_S

    def setUp(self):
        self.rig = RoutedRig(entries=4, backends=6, seed=5, revoke_s=self.revoke_s)
        self.rig.start()
        self.apply(key_digest(KEY))
        self.rig.scheduler.run_for(2.0)
        self.sent = {}
        self.probe()

    def apply(self, *digests):
        plan = self.rig.control.leader.core.state.plan
        workspaces = (Workspace("w", digests),)
        new = attrs.evolve(plan, version=plan.version + 1, workspaces=workspaces)
        cmd = ApplyWorkspacePlan(f"d{new.version}", plan.version, new)
        self.assertEqual(self.rig.control.call(cmd).code, "ok")

    def probe(self):
        """Send a request to each instance, now and periodically."""
        for host in self.rig.entries:
            request_id = host.request(credential=KEY)
            self.sent[request_id] = (self.rig.now_s, host.id)
        self.rig.scheduler.after(0.1, self.probe)

    def revoke(self):
        """Revoke the key, and return the time of the acknowledgement."""
        self.apply()
        return self.rig.now_s

    def runs_after(self, sent_s, host=None):
        """Return how many requests ran that were sent after a time."""
        return sum(
            self.rig.runs[request_id]
            for request_id, (at_s, entry_id) in self.sent.items()
            if at_s > sent_s and (host is None or entry_id == host.id)
        )

    def assert_revoked(self, acked_s):
        self.rig.scheduler.run_for(REVOKE_S + 5.0)
        self.assertEqual(self.runs_after(acked_s + REVOKE_S), 0)

    def cut_off(self, host):
        self.rig.network.partition(host.id, tuple(self.rig.control.hosts))


class TestRevokedKeys(RevokedKeyCase):
    def test_instances_in_contact(self):
        started_s = self.rig.now_s
        acked_s = self.revoke()
        self.assertGreater(self.runs_after(started_s - 1.0), 0)
        self.rig.scheduler.run_for(2.0)
        self.assertEqual(self.runs_after(acked_s + 1.0), 0)

    def test_instance_that_is_cut_off(self):
        host = self.rig.entries[0]
        self.cut_off(host)
        acked_s = self.revoke()
        self.assert_revoked(acked_s)
        # The case is real: it still served the key, which it could not know revoked.
        self.assertGreater(self.runs_after(acked_s, host), 0)
        self.assertEqual(host.refusals[-1][1].reason, "stale_config")
        self.rig.network.heal()
        self.rig.scheduler.run_for(2.0)
        self.assertEqual(host.refusals[-1][1].reason, "unknown_key")

    def test_instance_that_is_frozen(self):
        host = self.rig.entries[1]
        host.freeze()
        self.cut_off(host)
        acked_s = self.revoke()
        self.rig.scheduler.run_for(REVOKE_S + 1.0)
        host.thaw()
        self.assert_revoked(acked_s)

    def test_reply_that_was_held_back_does_not_confirm_a_later_time(self):
        host = self.rig.entries[1]
        self.rig.scheduler.run_for(0.5)
        host.core._renew(self.rig.now_s)
        host._run_actions()
        host.freeze()
        self.rig.scheduler.run_for(0.3)
        self.cut_off(host)
        acked_s = self.revoke()
        self.rig.scheduler.run_for(REVOKE_S + 1.0)
        host.thaw()
        self.assert_revoked(acked_s)

    def test_instance_that_is_restarted_while_cut_off(self):
        host = self.rig.entries[2]
        self.cut_off(host)
        acked_s = self.revoke()
        host.kill()
        host.start()
        self.assert_revoked(acked_s)
        reasons = {problem.reason for _, problem in host.refusals[-10:]}
        self.assertEqual(reasons, {"no_plan"})

    def test_leader_that_is_cut_off_confirms_nothing(self):
        leader, host = self.rig.control.leader, self.rig.entries[0]
        others = [h.id for h in self.rig.control.hosts.values() if h is not leader]
        entries = [h.id for h in self.rig.entries[1:]]
        self.rig.network.partition(leader.id, [*others, *entries])
        self.rig.network.partition(host.id, others)
        self.rig.scheduler.run_for(0.8)
        self.rig.scheduler.wait_for(lambda: self.rig.control.leader, 10.0)
        self.assert_revoked(self.revoke())

    def test_lease_outlasts_the_loss_of_the_leader(self):
        self.rig.control.leader.kill()
        lost_s = self.rig.now_s
        self.rig.control.elect()
        self.rig.scheduler.run_for(3.0)
        stale = self.rig.count_refusals(lost_s)["stale_config"]
        self.assertEqual(stale, 0)


class TestWithoutFailClosed(RevokedKeyCase):
    revoke_s = None

    def test_instance_that_is_cut_off_serves_on(self):
        host = self.rig.entries[0]
        self.cut_off(host)
        acked_s = self.revoke()
        self.rig.scheduler.run_for(REVOKE_S + 3.0)
        self.assertGreater(self.runs_after(acked_s + REVOKE_S, host), 0)


if __name__ == "__main__":
    unittest.main()
