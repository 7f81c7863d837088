"""Tests of the changes of the view that an instance gets from control."""

import unittest

from snipebay_model.messages import Renew, RenewReply
from snipebay_model.plan import Plan, Route
from snipebay_model.plan_patch import PlanPatch
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_policy.routed import RoutedConfig, RoutedCore

ROUTE = Route("r", "a.example", "/a/", True, 2.0, 0.8, 1, (("s", 1.0),))


class ViewCase(unittest.TestCase):
    def setUp(self):
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row), ("c1",))
        self.now_s = 0.0
        self.reply(ViewDelta(0, 5, True, plan=Plan(1, (ROUTE,))))

    def reply(self, delta):
        reply = RenewReply(
            "c1", True, quorum_revision=delta.revision, delta=delta, lease_ms=3_000
        )
        self.core.receive("c1", reply, self.now_s)

    def reported_revision(self):
        """Return the view revision in the next renewal."""
        self.core.pop_actions()
        self.now_s += 3.0
        self.core.tick(self.now_s)
        bodies = [getattr(action, "body", None) for action in self.core.pop_actions()]
        return next(body.applied for body in bodies if isinstance(body, Renew))


class TestPlanPatches(ViewCase):
    def test_patch_is_in_force(self):
        patch = PlanPatch.from_plans(self.core.view.plan, Plan(3, ()))
        self.reply(ViewDelta(5, 6, plan_patches=(patch,)))
        self.assertIsNone(self.core.table.find("a.example", "/a/"))
        self.assertEqual(self.reported_revision(), 6)

    def test_whole_view_is_requested_after_a_patch_that_does_not_apply(self):
        patch = PlanPatch.from_plans(Plan(2), Plan(3))
        self.reply(ViewDelta(5, 6, plan_patches=(patch,)))
        self.assertEqual(self.core.view.revision, 5)
        self.assertEqual(self.reported_revision(), 0)
        self.reply(ViewDelta(0, 7, True, plan=Plan(3, ())))
        self.assertEqual(self.reported_revision(), 7)
        self.assertIsNone(self.core.table.find("a.example", "/a/"))


class TestControlWithoutQuorum(unittest.TestCase):
    """A leader that has lost its quorum names itself and grants nothing."""

    def setUp(self):
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row), ("c1", "c2"))

    def renewals(self):
        """Return the targets of the renewals that are sent."""
        actions = self.core.pop_actions()
        bodies = ((a.target, getattr(a, "body", None)) for a in actions)
        return [target for target, body in bodies if isinstance(body, Renew)]

    def no_quorum(self, sender, leader):
        self.core.receive(sender, RenewReply(leader, granted=False), 0.0)
        return self.renewals()

    def test_a_named_leader_is_asked_at_once(self):
        self.core.tick(0.0)
        self.assertEqual(self.renewals(), ["c1", "c2"])
        self.assertEqual(self.no_quorum("c1", "c9"), ["c9"])

    def test_a_leader_that_names_itself_is_not_asked_again_at_once(self):
        self.core.tick(0.0)
        self.renewals()
        self.assertEqual(self.no_quorum("c1", "c1"), [])

    def test_two_that_name_each_other_are_not_asked_without_end(self):
        self.core.tick(0.0)
        self.renewals()
        self.assertEqual(self.no_quorum("c1", "c2"), ["c2"])
        self.assertEqual(self.no_quorum("c2", "c1"), [])

    def test_the_next_renewal_may_be_redirected_again(self):
        self.core.tick(0.0)
        self.no_quorum("c1", "c2")
        self.core.tick(5.0)
        self.assertEqual(len(self.renewals()), 2)
        self.assertEqual(self.no_quorum("c1", "c2"), ["c2"])


if __name__ == "__main__":
    unittest.main()
