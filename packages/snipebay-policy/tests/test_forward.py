"""Tests of routed requests: admission, retries, refusals and deadlines."""

import math
import unittest

import attrs
from snipebay_model.plan import Plan, RoutedService
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Cancel, Dispatch, Relay
from snipebay_testbed.forward_case import ROUTE, RULES, ForwardCase


class TestRouting(ForwardCase):
    def test_no_plan_in_force(self):
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row), ("c1",))
        (problem,) = self.arrive()
        self.assertEqual((problem.status, problem.outcome), (503, "not-run"))

    def test_no_route(self):
        (problem,) = self.arrive(path="/b/")
        self.assertEqual(problem.status, 404)

    def test_deadline_is_the_earlier_of_route_and_caller(self):
        self.assertEqual(self.send(1).deadline_s, 2.0)
        self.assertEqual(self.send(2, timeout_s=0.7).deadline_s, 0.7)


class TestRetries(ForwardCase):
    def test_idempotent_request_is_retried_at_another_backend_server(self):
        first = self.send()
        self.core.forward.on_failure(first.attempt_id, "reset", self.now_s)
        (second,) = self.actions()
        self.assertNotEqual(second.backend.backend_id, first.backend.backend_id)

    def test_number_of_attempts_is_limited(self):
        first = self.send()
        self.core.forward.on_failure(first.attempt_id, "reset", self.now_s)
        (second,) = self.actions()
        self.core.forward.may_write(second.attempt_id, self.now_s)
        self.core.forward.on_failure(second.attempt_id, "reset", self.now_s)
        (problem,) = self.actions()
        self.assertEqual((problem.status, problem.outcome), (502, "unknown"))

    def test_non_idempotent_request_that_was_written_is_not_retried(self):
        first = self.send(path="/u/x")
        self.core.forward.on_failure(first.attempt_id, "reset", self.now_s)
        (problem,) = self.actions()
        self.assertEqual((problem.status, problem.outcome), (502, "unknown"))

    def test_non_idempotent_request_is_retried_when_nothing_was_written(self):
        (first,) = self.arrive(path="/u/x")
        self.core.forward.on_failure(first.attempt_id, "no connection", self.now_s)
        self.assertIsInstance(self.actions()[0], Dispatch)

    def test_non_idempotent_request_is_retried_when_it_was_not_run(self):
        first = self.send(path="/u/x")
        self.core.forward.on_rejection(first.attempt_id, "full", self.now_s)
        self.assertIsInstance(self.actions()[0], Dispatch)

    def test_rejection_by_all_is_reported_as_not_run(self):
        first = self.send(path="/u/x")
        self.core.forward.on_rejection(first.attempt_id, "full", self.now_s)
        (second,) = self.actions()
        self.core.forward.may_write(second.attempt_id, self.now_s)
        self.core.forward.on_rejection(second.attempt_id, "full", self.now_s)
        (problem,) = self.actions()
        self.assertEqual((problem.status, problem.outcome), (503, "not-run"))

    def test_rejection_after_a_possible_run_is_reported_as_unknown(self):
        first = self.send()
        self.core.forward.on_failure(first.attempt_id, "reset", self.now_s)
        (second,) = self.actions()
        self.core.forward.may_write(second.attempt_id, self.now_s)
        self.core.forward.on_rejection(second.attempt_id, "full", self.now_s)
        (problem,) = self.actions()
        self.assertEqual((problem.status, problem.outcome), (502, "unknown"))

    def test_error_response_is_retried_then_relayed_unchanged(self):
        first = self.send()
        self.core.forward.on_response(first.attempt_id, 500, self.now_s)
        cancel, second = self.actions()
        self.assertIsInstance(cancel, Cancel)
        self.core.forward.may_write(second.attempt_id, self.now_s)
        self.core.forward.on_response(second.attempt_id, 500, self.now_s)
        (relay,) = self.actions()
        self.assertIsInstance(relay, Relay)

    def test_backend_server_whose_address_was_reused_gets_no_more_requests(self):
        first = self.send()
        self.core.forward.on_rejection(
            first.attempt_id, "421", self.now_s, is_misdirected=True
        )
        (second,) = self.actions()
        self.core.forward.may_write(second.attempt_id, self.now_s)
        self.core.forward.on_response(second.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(second.attempt_id, self.now_s)
        self.actions()
        third = self.send(2)
        self.assertEqual(third.backend.backend_id, second.backend.backend_id)

    def test_budget_limits_retries(self):
        retries = 0
        for request_id in range(60):
            first = self.send(request_id)
            self.core.forward.on_failure(first.attempt_id, "reset", self.now_s)
            (action,) = self.actions()
            if isinstance(action, Dispatch):
                retries += 1
                self.core.forward.on_response(action.attempt_id, 200, self.now_s)
                self.core.forward.on_response_end(action.attempt_id, self.now_s)
                self.actions()
            self.now_s += 10.0
        self.assertLessEqual(retries, RULES.retry_ratio * 60 + RULES.retry_slack)
        self.assertGreater(retries, 0)


class TestWaiting(ForwardCase):
    backends = 1

    def fill(self):
        return [self.send(request_id) for request_id in (1, 2)]

    def test_waiting_request_is_dispatched_to_a_freed_slot(self):
        first, _ = self.fill()
        self.assertEqual(self.arrive(3), [])
        self.core.forward.on_response(first.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(first.attempt_id, self.now_s)
        self.assertEqual([a.request_id for a in self.actions(Dispatch)], [3])

    def test_slot_of_a_caller_that_left_goes_to_a_waiting_request_at_once(self):
        self.fill()
        self.arrive(3)
        self.core.forward.on_caller_disconnect(1, self.now_s)
        self.assertEqual([a.request_id for a in self.actions(Dispatch)], [3])

    def test_slot_of_a_late_refusal_goes_to_a_waiting_request_at_once(self):
        first = self.send(1, "/u/x")
        self.send(2)
        self.core.forward.on_caller_disconnect(1, self.now_s)
        self.arrive(3)
        self.core.forward.on_rejection(first.attempt_id, "full", self.now_s)
        self.assertEqual([a.request_id for a in self.actions(Dispatch)], [3])

    def test_refused_early_with_a_retry_delay(self):
        self.fill()
        self.arrive(3)
        self.assertEqual(self.tick(0.05), [])
        (problem,) = self.tick(0.06)
        self.assertEqual((problem.status, problem.outcome), (503, "not-run"))
        self.assertGreater(problem.retry_after_s, 0)

    def test_most_urgent_request_is_dispatched_first(self):
        urgent = attrs.evolve(ROUTE, name="p", prefix="/p/", priority=0)
        plan = Plan(2, (ROUTE, urgent), (RoutedService("s"),))
        self.apply_delta(ViewDelta(1, 2, plan=plan))
        self.actions()
        first, _ = self.fill()
        self.arrive(3)
        self.arrive(4, "/p/x")
        self.core.forward.on_response(first.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(first.attempt_id, self.now_s)
        self.assertEqual([a.request_id for a in self.actions(Dispatch)], [4])


class TestReasonOfRefusal(ForwardCase):
    """The reason is a metric label and the cause that operators see."""

    def test_no_room_without_any_rate_limit(self):
        for member in self.core.fleet.members.values():
            member.update_load(9, 9, 0.0)
        self.assertEqual(self.arrive(), [])
        self.core.forward.queue.tick(0.13)
        (problem,) = self.actions()
        self.assertEqual(problem.reason, "no_room")
        self.assertEqual(problem.outcome, "not-run")

    def test_no_backend_server_of_the_service(self):
        gone = tuple(f"i{n}" for n in range(self.backends))
        self.apply_delta(ViewDelta(1, 2, backends_gone=gone))
        (problem,) = self.arrive()
        self.assertEqual((problem.reason, problem.status), ("no_backend", 503))

    def test_deadline_of_a_request_that_was_sent(self):
        self.send(timeout_s=0.5)
        (problem,) = [a for a in self.tick(0.5) if not isinstance(a, Cancel)]
        self.assertEqual((problem.reason, problem.status), ("deadline", 504))


class TestAvoidedDomain(ForwardCase):
    def test_failed_connection_is_retried_in_another_domain(self):
        rows = (BackendRow("far", "s", "10.0.2.1:80", "a", "a-2", 1),)
        self.apply_delta(ViewDelta(1, 2, backends=rows))
        self.actions()
        first = self.send()
        self.assertEqual(first.backend.domain, "a-1")
        self.core.forward.on_failure(first.attempt_id, "broke", 0.0)
        (second,) = self.actions(Dispatch)
        self.assertEqual(second.backend.backend_id, "far")

    def test_avoided_domain_is_used_when_it_is_the_only_one(self):
        first = self.send()
        self.core.forward.on_failure(first.attempt_id, "broke", 0.0)
        (second,) = self.actions(Dispatch)
        self.assertEqual(second.backend.domain, "a-1")


class TestAllowedRegions(ForwardCase):
    def test_request_goes_to_an_allowed_region_that_is_not_local(self):
        route = attrs.evolve(ROUTE, name="h", prefix="/h/", allowed_regions=("b",))
        rows = (BackendRow("far", "s", "10.0.2.1:80", "b", "b-1", 4),)
        plan = Plan(2, (ROUTE, route), (RoutedService("s"),))
        self.apply_delta(ViewDelta(1, 2, plan=plan, backends=rows))
        self.actions()
        self.core.shares("s").shares = {"a": 1.0}
        (dispatch,) = self.arrive(1, "/h/x")
        self.assertEqual(dispatch.backend.backend_id, "far")
        (dispatch,) = self.arrive(2)
        self.assertEqual(dispatch.backend.region, "a")


class TestUnresponsive(ForwardCase):
    backends = 4

    def stall_timeout_s(self):
        """Return the time after which a backend server is unresponsive."""
        return self.core.times("s").stall_timeout_s

    def setUp(self):
        super().setUp()
        self.core.times("s").record_response(0.2)

    def test_stalled_idempotent_request_is_retried_elsewhere(self):
        first = self.send()
        cancel, second = self.tick(self.stall_timeout_s())
        self.assertEqual(cancel, Cancel(first.attempt_id))
        self.assertNotEqual(second.backend, first.backend)

    def test_no_stall_timeout_before_the_first_response(self):
        self.core.times("s").slowest_s = math.inf
        self.send()
        self.assertEqual(self.tick(1.9), [])

    def test_slow_service_has_a_longer_stall_timeout(self):
        self.core.times("s").record_response(1.0)
        self.send()
        self.assertEqual(self.tick(1.2), [])
        self.assertEqual(len(self.tick(0.4)), 2)

    def test_non_idempotent_request_keeps_waiting(self):
        self.send(path="/u/x")
        self.assertEqual(self.tick(self.stall_timeout_s()), [])

    def test_request_keeps_waiting_when_its_server_responds_to_another(self):
        rows = (BackendRow("i9", "s", "10.0.1.9:80", "a", "a-1", 4),)
        gone = tuple(f"i{n}" for n in range(self.backends))
        self.apply_delta(ViewDelta(1, 2, backends=rows, backends_gone=gone))
        self.actions()
        self.send(1)
        other = self.send(2)
        self.tick(0.9 * self.stall_timeout_s())
        self.core.forward.on_response(other.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(other.attempt_id, self.now_s)
        self.actions()
        self.assertEqual(self.tick(0.2 * self.stall_timeout_s()), [])

    def test_timeouts_without_any_response_eject(self):
        for request_id in range(3):
            self.send(request_id, "/u/x", timeout_s=0.9)
            member = self.core.fleet.members["i0"]
            self.core.forward.rows[request_id].attempt.member = member
            self.tick(0.95)
        events = [event for event, _, _ in self.core.pop_events()]
        self.assertIn("backend server ejected", events)

    def test_retry_has_a_new_queue_wait(self):
        first = self.send()
        self.now_s = 0.5
        for member in self.core.fleet.members.values():
            member.update_load(9, 0, self.now_s)
        self.core.forward.on_failure(first.attempt_id, "broke", self.now_s)
        self.assertEqual(self.actions(), [])
        for member in self.core.fleet.members.values():
            member.update_load(0, 0, self.now_s)
        self.assertEqual([a.request_id for a in self.tick(0.05)], [1])


class TestEnding(ForwardCase):
    def test_deadline_of_a_written_request(self):
        self.send()
        cancel, problem = self.tick(2.0)
        self.assertIsInstance(cancel, Cancel)
        self.assertEqual((problem.status, problem.outcome), (504, "unknown"))

    def test_nothing_is_written_after_the_deadline(self):
        (dispatch,) = self.arrive()
        self.assertFalse(self.core.forward.may_write(dispatch.attempt_id, 2.0))

    def test_idempotent_request_is_cancelled_when_its_caller_disconnects(self):
        dispatch = self.send()
        self.core.forward.on_caller_disconnect(1, self.now_s)
        (cancel,) = self.actions()
        self.assertEqual(cancel, Cancel(dispatch.attempt_id))
        self.assertTrue(self.core.is_idle)

    def test_non_idempotent_request_without_caller_ends_at_its_deadline(self):
        dispatch = self.send(path="/u/x")
        self.core.forward.on_caller_disconnect(1, self.now_s)
        self.assertEqual(self.actions(), [])
        self.assertEqual(self.tick(2.0), [Cancel(dispatch.attempt_id)])
        member = self.core.fleet.members[dispatch.backend.backend_id]
        self.assertEqual(member.in_flight, 0)
        self.assertTrue(self.core.is_idle)

    def test_non_idempotent_request_without_caller_is_not_retried(self):
        dispatch = self.send(path="/u/x")
        self.core.forward.on_caller_disconnect(1, self.now_s)
        self.core.forward.on_rejection(dispatch.attempt_id, "full", self.now_s)
        self.assertEqual(self.actions(), [])
        self.assertTrue(self.core.is_idle)

    def test_no_retry_once_the_response_is_relayed(self):
        dispatch = self.send()
        self.core.forward.on_response(dispatch.attempt_id, 200, self.now_s)
        self.actions()
        self.core.forward.on_failure(dispatch.attempt_id, "cut", self.now_s)
        self.assertEqual(self.actions(), [])
        self.assertTrue(self.core.is_idle)

    def test_slot_is_released_when_the_response_ends(self):
        dispatch = self.send(path="/u/x")
        self.core.forward.on_caller_disconnect(1, self.now_s)
        member = self.core.fleet.members[dispatch.backend.backend_id]
        self.assertEqual(member.in_flight, 1)
        self.core.forward.on_response(dispatch.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(dispatch.attempt_id, self.now_s)
        self.assertEqual(member.in_flight, 0)


class TestLookup(ForwardCase):
    def test_leaving_and_distant_instances_are_omitted(self):
        rows = tuple(
            EntryRow(f"e{n}", "x", f"10.0.0.{n}:80", f"e{n}", region, domain, leaving)
            for n, region, domain, leaving in (
                (1, "a", "a-1", False),
                (2, "a", "a-1", False),
                (3, "a", "a-1", True),
                (4, "a", "a-2", False),
                (5, "b", "b-1", False),
            )
        )
        self.apply_delta(ViewDelta(1, 2, entries=rows, entries_gone=("e0",)))
        lookup = self.core.lookup
        self.assertEqual(lookup("a-1", "a"), ["10.0.0.1:80", "10.0.0.2:80"])
        self.assertEqual(len(lookup("a-2", "a")), 3)
        self.assertEqual(len(lookup("c-1", "c")), 4)


if __name__ == "__main__":
    unittest.main()
