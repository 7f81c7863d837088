"""Tests that instances get changes of a long plan instead of the whole plan."""

import random
import unittest

import attrs
from snipebay_control.plan_history import MAX_PLANS
from snipebay_control.state import ControlState
from snipebay_model.codec import Envelope, decode, encode, encode_body
from snipebay_model.messages import ApplyPlan, RenewReply
from snipebay_model.plan import Plan, RequestLimits, Route, RoutedService
from snipebay_model.plan_patch import PlanPatch
from snipebay_model.view import View

ROUTES = 2_000


def route(number, service="s0"):
    split = ((service, 1.0),)
    return Route(f"r{number}", "a.example", f"/{number}/", True, 2.0, 0.5, 1, split)


def plan(version, routes, services=("s0", "s1")):
    return Plan(
        version,
        tuple(routes),
        tuple(RoutedService(name) for name in services),
        source=f"document {version}".encode(),
    )


class PlanCase(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()
        self.routes = [route(n) for n in range(ROUTES)]
        self.apply(self.routes)

    def apply(self, routes, services=("s0", "s1")):
        version = self.state.plan.version if self.state.plan else 0
        new = plan(version + 2, routes, services)
        cmd = ApplyPlan(f"digest {version}", version, new)
        outcome = self.state.apply(*encode_body(cmd))
        self.assertEqual(outcome.code, "ok")

    def delta(self, base, *, reads_plan_patches=True):
        """Return the changes since a revision, as they arrive."""
        found = self.state.delta(base, reads_plan_patches=reads_plan_patches)
        reply = RenewReply("c", True, delta=found)
        return decode(encode(Envelope("c", reply))).body.delta

    def assert_plan(self, view):
        self.assertEqual(view.plan, self.state.plan.without_source())


class TestMemory(PlanCase):
    def test_replaced_plans_share_their_rows_and_have_no_document(self):
        for n in range(MAX_PLANS):
            self.routes[n] = route(n, "s1")
            self.apply(self.routes)
        replaced = [p for p in self.state._plan_history._replaced.values() if p]
        self.assertEqual(len(replaced), MAX_PLANS)
        rows = {id(row) for p in (*replaced, self.state.plan) for row in p.routes}
        self.assertEqual(len(rows), ROUTES + MAX_PLANS)
        self.assertFalse(any(p.source for p in replaced))
        self.assertTrue(self.state.plan.source)


class TestPatches(PlanCase):
    def test_change_of_one_route_is_small(self):
        view = self.state.view()
        self.routes[7] = route(7, "s1")
        self.apply(self.routes)
        delta = self.delta(view.revision)
        self.assertIsNone(delta.plan)
        self.assertLess(
            len(encode(Envelope("c", RenewReply("c", True, delta=delta)))), 1_000
        )
        self.assert_plan(view.apply(delta))

    def test_routes_services_and_limits_come_and_go(self):
        view = self.state.view()
        self.apply(self.routes[10:] + [route(ROUTES, "s2")], ("s0", "s2"))
        limits = RequestLimits(head_bytes=99)
        new = attrs.evolve(self.state.plan, version=99, limits=limits)
        self.state.apply(*encode_body(ApplyPlan("d", self.state.plan.version, new)))
        patched = view.apply(self.delta(view.revision))
        self.assertEqual(patched.plan.limits, limits)
        self.assert_plan(patched)

    def test_receiver_that_is_ahead_skips_what_it_has(self):
        old = self.state.view()
        self.routes[0] = route(0, "s1")
        self.apply(self.routes)
        ahead = old.apply(self.delta(old.revision))
        # Reverted by the next change: the patch from the old plan doesn't name it.
        self.routes[0] = route(0)
        self.apply(self.routes)
        self.assert_plan(ahead.apply(self.delta(old.revision)))

    def test_first_plan_and_long_changes_are_sent_whole(self):
        self.assertIsNotNone(self.delta(0).plan)
        view = self.state.view()
        self.apply([route(n, "s1") for n in range(ROUTES)])
        delta = self.delta(view.revision)
        self.assertEqual(delta.plan_patches, ())
        self.assert_plan(view.apply(delta))

    def test_older_build_gets_the_whole_plan(self):
        view = self.state.view()
        self.apply(self.routes[1:])
        delta = self.delta(view.revision, reads_plan_patches=False)
        self.assertEqual(delta.plan_patches, ())
        self.assert_plan(view.apply(delta))

    def test_restarted_leader_sends_what_it_does_not_know_whole(self):
        view = self.state.view()
        self.apply(self.routes[1:])
        self.state = ControlState.from_dump(self.state.dump())
        self.assert_plan(view.apply(self.delta(view.revision)))
        self.apply(self.routes[2:])
        self.assert_plan(view.apply(self.delta(view.revision)))

    def test_more_changes_than_are_kept(self):
        view = self.state.view()
        for number in range(MAX_PLANS + 1):
            self.routes[number] = route(number, "s1")
            self.apply(self.routes)
        self.assert_plan(view.apply(self.delta(view.revision)))

    def test_patch_of_another_plan_is_an_error(self):
        patch = PlanPatch.from_plans(plan(1, []), plan(3, []))
        with self.assertRaisesRegex(
            ValueError, "version 1 does not apply to version 2"
        ):
            patch.apply(plan(2, []))


class TestRandomChanges(PlanCase):
    """Instances at any earlier revision reach the current plan, over and over."""

    def test_views_of_all_ages(self):
        rng = random.Random(7)
        views = [View()]
        for _ in range(60):
            numbers = rng.sample(range(ROUTES + 50), rng.randrange(1, 30))
            kept = {r.name: r for r in self.routes}
            for number in numbers:
                kept.pop(f"r{number}", None)
                if rng.random() < 0.7:
                    new = route(number, rng.choice(("s0", "s1")))
                    kept[new.name] = new
            self.routes = list(kept.values())
            self.apply(self.routes)
            index = rng.randrange(len(views))
            # The base may be older than the view.
            base = rng.choice([v.revision for v in views[: index + 1]])
            view = views[index].apply(self.delta(base))
            self.assertEqual(set(view.plan.routes), set(self.routes))
            views.append(view)


if __name__ == "__main__":
    unittest.main()
