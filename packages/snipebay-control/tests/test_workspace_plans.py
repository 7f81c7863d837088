"""Tests of plans with workspaces beside instances of older builds."""

import unittest
from unittest import mock

import attrs
from snipebay_control.plan_history import MAX_PLANS
from snipebay_control.state import ControlState
from snipebay_model.codec import encode_body
from snipebay_model.messages import (
    AppendReply,
    ApplyPlan,
    ApplyWorkspacePlan,
    Renew,
    RenewReply,
)
from snipebay_model.packed_delta import unpack_delta
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import EntryRow, View
from snipebay_model.workspace import Workspace, key_digest
from snipebay_testbed.control_rig import ControlRig
from snipebay_testbed.fakes import FakeNetwork

WORKSPACES = (Workspace("w", (key_digest(b"k"),)),)
ROW = EntryRow("e1", "x", "10.0.0.1:1", "e1", "a", "a-1")


def plan(version, workspaces=(), routes=600):
    split = (("s", 1.0),)
    rows = (
        Route(f"r{n}", "a.example", f"/{n}/", True, 2.0, 0.5, 1, split)
        for n in range(routes)
    )
    services = (RoutedService("s"),)
    return Plan(version, tuple(rows), services, workspaces=workspaces)


def change(version, workspaces=(), **fields):
    kind = ApplyWorkspacePlan if workspaces else ApplyPlan
    return kind(f"d{version}", version - 1, plan(version, workspaces, **fields))


class TestOlderInstances(unittest.TestCase):
    """A plan that a counted instance can't apply must not be acknowledged."""

    def setUp(self):
        self.rig = ControlRig(1, 3)
        self.rig.elect()
        self.rig.call(change(1))

    def renew(self, reads, applied=0):
        msg = Renew(
            ROW, 5, applied, applied, reads_plan_patches=True, reads_workspaces=reads
        )
        self.rig.network.receivers["e1"] = lambda sender, body: None
        self.rig.network.send("e1", self.rig.leader.id, msg)
        self.rig.scheduler.run_for(0.5)

    def test_entry_instance_holds_the_change_up_until_it_reads_workspaces(self):
        self.renew(False)
        self.renew(False)
        outcome = self.rig.call(change(2, WORKSPACES))
        self.assertEqual(outcome.code, "busy")
        self.assertIn("e1", outcome.detail)
        self.renew(True)
        self.assertEqual(self.rig.call(change(2, WORKSPACES)).code, "ok")
        self.renew(False)
        self.assertEqual(self.rig.call(change(3, WORKSPACES)).code, "ok")

    def test_entry_instance_without_a_lease_does_not_count(self):
        self.renew(False)
        self.renew(False)
        self.rig.scheduler.run_for(10.0)
        self.assertEqual(self.rig.call(change(2, WORKSPACES)).code, "ok")

    def test_new_leader_waits_for_the_report_of_each_entry_instance(self):
        self.renew(True)
        self.renew(True)
        self.rig.leader.kill()
        self.rig.elect()
        self.assertEqual(self.rig.call(change(2, WORKSPACES)).code, "busy")
        self.renew(True)
        self.assertEqual(self.rig.call(change(2, WORKSPACES)).code, "ok")

    def test_control_instance_that_was_heard_counts_and_a_silent_one_does_not(self):
        leader = self.rig.leader
        older, follower = (h for h in self.rig.hosts.values() if h is not leader)
        send = FakeNetwork.send

        def send_as_older(network, source, target, body):
            if isinstance(body, AppendReply) and source == older.node:
                body = attrs.evolve(body, reads_workspaces=False)
            send(network, source, target, body)

        patch = mock.patch.object(FakeNetwork, "send", send_as_older)
        self.enterContext(patch)
        self.rig.scheduler.run_for(1.0)
        outcome = self.rig.call(change(2, WORKSPACES))
        self.assertEqual(outcome.code, "busy")
        self.assertIn(older.node, outcome.detail)
        older.kill()
        leader.kill()
        self.rig.scheduler.run_for(3.0)
        leader.start()
        self.rig.elect()
        self.assertEqual(self.rig.call(change(2, WORKSPACES)).code, "ok")

    def test_command_for_plans_without_workspaces_is_refused_with_them(self):
        outcome = self.rig.call(ApplyPlan("d", 1, plan(2, WORKSPACES)))
        self.assertEqual(outcome.code, "invalid")

    def test_repeated_change_succeeds(self):
        for _ in range(2):
            self.assertEqual(self.rig.call(change(2, WORKSPACES)).code, "ok")

    def test_leader_answers_each_instance_with_what_it_reads(self):
        self.rig.call(change(2, WORKSPACES))
        core = self.rig.leader.core
        for reads, routes in ((True, 600), (False, 0)):
            msg = Renew(ROW, 5, 0, 0, reads_plan_patches=True, reads_workspaces=reads)
            core.receive("e1", msg, self.rig.scheduler.now_s)
            replies = [b for _, b in core.pop_messages() if isinstance(b, RenewReply)]
            delta = replies[-1].delta or unpack_delta(replies[-1].packed_delta)
            self.assertEqual(len(delta.plan.routes), routes)


class TestDeltas(unittest.TestCase):
    """A build without workspaces must never hold a route of a plan that has them."""

    def setUp(self):
        self.state = ControlState()

    def apply(self, cmd):
        self.assertEqual(self.state.apply(*encode_body(cmd)).code, "ok")

    def read(self, view, **reads):
        return view.apply(self.state.delta(view.revision, **reads))

    def test_older_builds_follow_plans_with_and_without_workspaces(self):
        for reads_patches in (False, True):
            older = newer = View()
            self.state = ControlState()
            for version, workspaces in enumerate(
                ((), (), WORKSPACES, WORKSPACES, (), (), WORKSPACES, ()), start=1
            ):
                self.apply(change(version, workspaces, routes=600 + version))
                older = self.read(older, reads_plan_patches=reads_patches)
                newer = self.read(newer, reads_plan_patches=True, reads_workspaces=True)
                expected = () if workspaces else self.state.plan.routes
                self.assertEqual(older.plan.routes, expected)
                self.assertEqual(older.plan.workspaces, ())
                self.assertEqual(newer.plan, self.state.plan.without_source())

    def test_patches_are_used_again_later(self):
        self.apply(change(1, WORKSPACES))
        for version in range(2, MAX_PLANS + 3):
            self.apply(change(version, routes=600 + version))
        delta = self.state.delta(self.state.revision - 1, reads_plan_patches=True)
        self.assertEqual(len(delta.plan_patches), 1)

    def test_snapshot(self):
        for workspaces in (WORKSPACES, ()):
            version = self.state.plan.version + 1 if self.state.plan else 1
            self.apply(change(version, workspaces))
            loaded = ControlState.from_dump(self.state.dump())
            self.assertEqual(loaded.plan, self.state.plan)
            self.assertEqual(loaded.dump(), self.state.dump())


if __name__ == "__main__":
    unittest.main()
