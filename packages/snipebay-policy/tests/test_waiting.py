"""Tests of the decisions on requests that wait for a slot."""

import unittest

import attrs
from snipebay_model.plan import Plan, RoutedService
from snipebay_model.view import ViewDelta
from snipebay_policy.waiting.reserve import has_room, is_late
from snipebay_policy.waiting.rows import WaitingRow
from snipebay_policy.waiting.service_order import (
    MAX_GROUPS,
    MAX_PASSED_OVER,
    PassedOver,
    decide,
)
from snipebay_policy.waiting.usual_timeouts import DECAY, UsualTimeouts
from snipebay_policy.waiting.wait_end import may_return, wait_ends_s
from snipebay_policy.work import Dispatch, Problem
from snipebay_testbed.forward_case import ROUTE, ForwardCase

# Smallest plausible time to a response: 0.1 s.
ROW = WaitingRow(1, ("r", ""), 1, 0.0, 0.0, 0.0, 0.4, 2.0, 2.0, 0.3)
# Its caller was refused before: 1 s of 2 s is left.
LAST = attrs.evolve(ROW, request_id=2, deadline_s=1.0)


def order(rows, now_s=0.0, passed_over=None):
    """Return the ids in the order in which they get slots."""
    decision = decide(rows, passed_over or PassedOver(), now_s)
    return [row.request_id for row in decision.order]


class TestOrder(unittest.TestCase):
    def test_request_that_can_be_in_time_goes_before_an_urgent_late_one(self):
        late = attrs.evolve(ROW, request_id=2, priority=0, latency_s=0.35)
        self.assertEqual(order([ROW, late], 0.2), [2, 1])
        self.assertEqual(order([ROW, late], 0.27), [1, 2])

    def test_priority_then_least_use_then_earliest_target(self):
        urgent = attrs.evolve(ROW, request_id=2, priority=0, recent_use=9.0)
        heavy = attrs.evolve(ROW, request_id=3, recent_use=2.0, latency_s=0.3)
        sooner = attrs.evolve(ROW, request_id=4, latency_s=0.3)
        self.assertEqual(order([heavy, ROW, sooner, urgent]), [2, 4, 1, 3])

    def test_transfer_of_a_body_counts_as_service_time(self):
        upload = attrs.evolve(ROW, transfer_s=0.35)
        self.assertTrue(is_late(attrs.evolve(upload, transfer_s=0.25), 0.1))
        self.assertEqual(order([upload], 1.6), [])

    def test_request_without_time_is_rejected_and_not_sent(self):
        decision = decide([ROW, attrs.evolve(LAST, deadline_s=0.09)], PassedOver(), 0.0)
        self.assertEqual([row.request_id for row in decision.rejected], [2])
        self.assertEqual(decision.order, (ROW,))

    def test_estimate_that_is_too_long_does_not_reject_whole_timeouts(self):
        # Without any request sent, the estimate would never be corrected.
        self.assertEqual(order([attrs.evolve(ROW, expected_s=60.0)]), [1])


class TestNoGroupStarves(unittest.TestCase):
    """A stream of urgent requests, or of one workspace, would take all slots."""

    def gaps(self, other, rounds=100):
        """Return how many slots went to others before each one for ``other``."""
        passed_over, gaps, count = PassedOver(), [], 0
        for _ in range(rounds):
            rows = [ROW, other]
            (first, *rest) = decide(rows, passed_over, 0.0).order
            passed_over.record(first.group, [row.group for row in rest])
            if first is other:
                gaps.append(count)
            count = 0 if first is other else count + 1
        return gaps

    def test_bound_holds_for_kinds_and_workspaces(self):
        for changes in (
            {"group": ("s", ""), "priority": 5},
            {"group": ("r", "w"), "recent_use": 1e9},
            {"group": ("s", ""), "deadline_s": 0.5},
        ):
            with self.subTest(changes=changes):
                gaps = self.gaps(attrs.evolve(ROW, request_id=2, **changes))
                self.assertTrue(gaps)
                self.assertLessEqual(max(gaps), MAX_PASSED_OVER)

    def test_count_lasts_while_none_of_the_group_waits(self):
        passed_over = PassedOver()
        for _ in range(MAX_PASSED_OVER):
            passed_over.record("a", ["b"])
            passed_over.record("a", [])
        self.assertEqual(passed_over.overdue("b"), MAX_PASSED_OVER)

    def test_memory_is_bounded(self):
        passed_over = PassedOver()
        for n in range(3 * MAX_GROUPS):
            passed_over.record("a", [n])
        self.assertLessEqual(len(passed_over._counts), MAX_GROUPS)


class TestWaitEnd(unittest.TestCase):
    def test_caller_that_may_return_is_refused_within_the_wait(self):
        self.assertTrue(may_return(ROW, 0.0))
        self.assertLessEqual(wait_ends_s(ROW, 0.1, 0.05, 0.0), 0.1)

    def test_last_try_waits_while_its_deadline_can_be_met(self):
        self.assertFalse(may_return(LAST, 0.0))
        self.assertAlmostEqual(wait_ends_s(LAST, 0.1, 0.05, 0.0), 0.9)

    def test_target_of_a_last_try_counts_from_the_first_one(self):
        self.assertTrue(is_late(LAST, 0.0))
        self.assertFalse(is_late(ROW, 0.0))

    def test_usual_timeout_of_callers_is_learned(self):
        usual = UsualTimeouts()
        self.assertEqual(usual.usual_s(ROUTE), ROUTE.timeout_s)
        usual.record(ROUTE, 1.2)
        self.assertEqual(usual.usual_s(ROUTE), 1.2)
        usual.record(ROUTE, 0.5)
        self.assertEqual(usual.usual_s(ROUTE), 1.2 * DECAY)


class TestReserve(unittest.TestCase):
    def test_late_requests_leave_slots_free_until_their_wait_ends(self):
        self.assertTrue(has_room(17, 20, 1.0, 0.0))
        self.assertFalse(has_room(18, 20, 1.0, 0.0))
        self.assertTrue(has_room(19, 20, 1.0, 0.99))
        self.assertFalse(has_room(20, 20, 1.0, 0.99))

    def test_few_slots_have_no_reserve(self):
        self.assertTrue(has_room(8, 9, 1.0, 0.0))

    def test_target_that_no_request_can_meet_has_no_reserve(self):
        self.assertFalse(is_late(attrs.evolve(LAST, latency_s=0.05), 0.0))


class TestQueue(ForwardCase):
    backends = 1

    def setUp(self):
        super().setUp()
        route = attrs.evolve(ROUTE, name="p", prefix="/p/", priority=0)
        plan = Plan(2, (ROUTE, route), (RoutedService("s"),))
        self.apply_delta(ViewDelta(1, 2, plan=plan))
        self.actions()

    def fill(self):
        return [self.send(request_id) for request_id in (1, 2)]

    def end(self, dispatch):
        self.core.forward.on_response(dispatch.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(dispatch.attempt_id, self.now_s)
        return [a.request_id for a in self.actions(Dispatch)]

    def test_reason_of_a_request_without_time(self):
        self.send(1)
        (problem,) = self.arrive(2, timeout_s=0.01)
        self.assertEqual((problem.status, problem.reason), (503, "no_time"))
        self.assertEqual(problem.outcome, "not-run")

    def test_caller_that_would_return_in_vain_is_told_all_of_its_time(self):
        self.send(1)
        (problem,) = self.arrive(2, timeout_s=0.06)
        self.assertEqual(problem.retry_after_s, 0.06)

    def test_last_try_is_served_by_a_slot_that_becomes_free_later(self):
        first, _ = self.fill()
        self.arrive(3, timeout_s=1.2)
        self.assertEqual(self.tick(0.6), [])
        self.core.forward.on_caller_disconnect(2, self.now_s)
        self.assertEqual([*self.actions(Dispatch)], [])
        self.assertEqual(self.end(first), [3])

    def test_last_try_that_found_no_slot_says_so_before_its_deadline(self):
        self.fill()
        self.arrive(3, timeout_s=1.2)
        found = [p for _ in range(24) for p in self.tick(0.05)]
        (problem,) = (p for p in found if isinstance(p, Problem))
        self.assertEqual((problem.request_id, problem.reason), (3, "no_room"))

    def test_request_whose_permit_is_pending_is_not_sent(self):
        self.fill()
        self.arrive(3)
        self.core.forward.rows[3].needs_permit = True
        self.core.forward.on_caller_disconnect(1, self.now_s)
        self.core.forward.on_caller_disconnect(2, self.now_s)
        self.assertEqual(self.actions(Dispatch, Problem), [])

    def test_request_that_can_be_in_time_is_dispatched_before_a_last_try(self):
        first, _ = self.fill()
        self.arrive(3, "/p/x")
        self.arrive(4, timeout_s=1.2)
        self.assertEqual(self.end(first), [3])


if __name__ == "__main__":
    unittest.main()
