"""Tests of requests that need the key of a workspace."""

import unittest

import attrs
from snipebay_model.messages import RenewReply
from snipebay_model.view import ViewDelta
from snipebay_model.workspace import Workspace, key_digest
from snipebay_policy.arrivals import Arrival
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Dispatch, Send
from snipebay_policy.workspaces.lease import MAX_UNANSWERED, ConfigLease
from snipebay_testbed.forward_case import ROUTE, ForwardCase

PUBLIC = attrs.evolve(ROUTE, name="p", prefix="/p/", is_public=True)
WORKSPACE = Workspace("w", (key_digest(b"k1"), key_digest(b"k2")))


class WorkspaceCase(ForwardCase):
    def setUp(self):
        super().setUp()
        self.apply_plan(WORKSPACE)

    def apply_plan(self, *workspaces, routes=(ROUTE, PUBLIC)):
        view = self.core.view
        plan = attrs.evolve(
            view.plan,
            version=view.plan.version + 1,
            routes=routes,
            workspaces=workspaces,
        )
        self.apply_delta(ViewDelta(view.revision, view.revision + 1, plan=plan))

    def ask(self, key=b"", path="/a/x", core=None):
        """Return the reason of a problem, or the workspace of a dispatch."""
        core = core or self.core
        arrival = Arrival(1, "a.example", path, 5.0, credential=key)
        core.forward.on_request(arrival, self.now_s)
        actions = [a for a in core.pop_actions() if not isinstance(a, Send)]
        core.forward.on_caller_disconnect(1, self.now_s)
        core.pop_actions()
        if not actions:
            return "waits"
        (action,) = actions
        if isinstance(action, Dispatch):
            return action.workspace
        return action.status, action.reason


class TestKeys(WorkspaceCase):
    def test_only_a_known_key_is_served(self):
        for key in (b"", b"k", b"k12", b"w"):
            self.assertEqual(self.ask(key), (401, "unknown_key"))
        self.assertEqual(self.ask(b"k2"), "w")

    def test_public_route_needs_no_key_and_has_no_workspace(self):
        self.assertEqual(self.ask(b"", "/p/x"), "")
        self.assertEqual(self.ask(b"k1", "/p/x"), "")

    def test_plan_without_workspaces_asks_for_no_key(self):
        self.apply_plan()
        self.assertEqual(self.ask(), "")

    def test_log_line_of_a_plan_gives_the_number_of_workspaces(self):
        self.core.pop_events()
        self.apply_plan(WORKSPACE, Workspace("v"))
        found = [fields for event, _, fields in self.core.pop_events()]
        self.assertEqual([fields["workspaces"] for fields in found], [2])

    def test_instance_without_a_plan_never_says_that_a_key_is_unknown(self):
        core = RoutedCore(RoutedConfig(self.core.row), ("c1",))
        self.assertEqual(self.ask(b"x", core=core), (503, "no_plan"))

    def test_regions_of_the_route_and_of_the_workspace_both_bind(self):
        for of_route, of_workspace, is_served in (
            ((), ("a",), True),
            (("a",), (), True),
            (("a", "b"), ("a", "c"), True),
            (("a",), ("b",), False),
            ((), ("b",), False),
            (("b",), (), False),
        ):
            with self.subTest(route=of_route, workspace=of_workspace):
                route = attrs.evolve(ROUTE, allowed_regions=of_route)
                workspace = attrs.evolve(WORKSPACE, allowed_regions=of_workspace)
                self.apply_plan(workspace, routes=(route,))
                self.assertEqual(self.ask(b"k1") == "w", is_served)


class TestConfigLease(unittest.TestCase):
    def test_counts_from_the_first_sending_of_an_answered_renewal(self):
        lease = ConfigLease(5.0)
        self.assertFalse(lease.is_valid(0.0))
        for sent_ms, boot_s in ((1_000, 1.0), (1_000, 1.0009), (2_000, 2.0)):
            lease.record_sent(sent_ms, boot_s)
        lease.confirm(1_000)
        self.assertTrue(lease.is_valid(5.74))
        self.assertFalse(lease.is_valid(5.75))
        lease.confirm(2_000)
        lease.confirm(1_000)
        self.assertTrue(lease.is_valid(6.7))

    def test_reply_to_an_earlier_process_confirms_nothing(self):
        lease = ConfigLease(5.0)
        lease.confirm(900)
        self.assertFalse(lease.is_valid(0.9))

    def test_unanswered_renewals_take_bounded_memory(self):
        lease = ConfigLease(5.0)
        for number in range(3 * MAX_UNANSWERED):
            lease.record_sent(number, number / 1_000)
        self.assertEqual(len(lease._sent), MAX_UNANSWERED)


class TestStaleConfig(WorkspaceCase):
    def setUp(self):
        super().setUp()
        self.core.config_lease = ConfigLease(5.0)
        self.now_s = 10.0
        self.core.tick(self.now_s)

    def reply(self, sent_ms, quorum_revision):
        msg = RenewReply("c1", True, sent_ms=sent_ms, quorum_revision=quorum_revision)
        self.core.receive("c1", msg, self.now_s)

    def test_stale_view_refuses_before_it_looks_at_the_key(self):
        for key in (b"k1", b"unknown"):
            self.assertEqual(self.ask(key), (503, "stale_config"))
        self.assertEqual(self.ask(b"", "/p/x"), "")

    def test_only_a_reply_to_a_renewal_with_a_quorum_and_no_newer_view_confirms(self):
        revision = self.core.view.revision
        for sent_ms, quorum_revision, is_confirmed in (
            (0, revision, False),
            (10_000, 0, False),
            (10_000, revision + 1, False),
            (10_000, revision, True),
        ):
            with self.subTest(sent_ms=sent_ms, quorum_revision=quorum_revision):
                self.reply(sent_ms, quorum_revision)
                self.assertEqual(self.core.config_lease.is_valid(10.1), is_confirmed)
        self.now_s = 14.7
        self.assertEqual(self.ask(b"k1"), "w")
        self.now_s = 14.75
        self.assertEqual(self.ask(b"k1"), (503, "stale_config"))


if __name__ == "__main__":
    unittest.main()
