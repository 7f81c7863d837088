"""Tests that backend servers which say that they are leaving get no more requests."""

import unittest

import attrs
from snipebay_model.messages import PermitReply, PermitRequest
from snipebay_model.view import BackendRow, ViewDelta
from snipebay_policy.arrivals import Arrival
from snipebay_policy.leaving_backends import MAX_MARKS, LeavingBackends
from snipebay_policy.work import Dispatch, Problem, Send
from snipebay_testbed.forward_case import ForwardCase


def backend(name, **values):
    return BackendRow(name, "s", f"10.0.1.{name[1:]}:80", "a", "a-1", 1, **values)


class TestLeavingBackends(unittest.TestCase):
    def setUp(self):
        self.table = LeavingBackends()
        self.row = backend("i0", born_ms=5)
        self.table.add(self.row)

    def test_mark_is_of_one_incarnation(self):
        self.assertIn(self.row, self.table)
        self.assertNotIn(attrs.evolve(self.row, born_ms=6), self.table)
        self.assertNotIn(attrs.evolve(self.row, address="10.0.1.9:80"), self.table)

    def test_mark_outlives_the_row(self):
        self.table.apply_view(())
        self.assertIn(self.row, self.table)

    def test_mark_without_a_start_time_ends_with_the_row(self):
        row = backend("i1")
        self.table.add(row)
        self.table.apply_view((row,))
        self.assertIn(row, self.table)
        self.table.apply_view(())
        self.assertNotIn(row, self.table)

    def test_number_of_marks_is_limited(self):
        for number in range(MAX_MARKS):
            self.table.add(backend(f"j{number}", born_ms=1))
        self.assertEqual(len(self.table), MAX_MARKS)
        self.assertNotIn(self.row, self.table)


class LeavingCase(ForwardCase):
    """One request runs at a backend server that then says that it is leaving."""

    backends = 0

    def setUp(self):
        super().setUp()
        self.revision = 1
        self.rows = {f"i{n}": backend(f"i{n}", born_ms=5) for n in range(2)}
        self.update(*self.rows.values())
        self.first = self.send(1, "/u/x")
        self.leaving = self.first.backend
        (self.other,) = (r for r in self.rows.values() if r != self.leaving)

    def update(self, *rows, gone=()):
        self.revision += 1
        delta = ViewDelta(
            self.revision - 1, self.revision, backends=rows, backends_gone=gone
        )
        self.apply_delta(delta)

    def mark(self, attempt_id=None):
        self.core.forward.on_leaving(attempt_id or self.first.attempt_id)

    def end(self, dispatch):
        self.core.forward.on_response(dispatch.attempt_id, 200, self.now_s)
        self.core.forward.on_response_end(dispatch.attempt_id, self.now_s)
        return self.actions(Dispatch)

    def targets(self, count=4):
        """Return the ids of the backend servers of further requests."""
        found = set()
        for number in range(count):
            dispatch = self.send(100 + number)
            found.add(dispatch.backend.backend_id)
            self.end(dispatch)
        return found


class TestLeaving(LeavingCase):
    """Guards against orders that are lost when their backend server ends."""

    def test_new_requests_go_elsewhere(self):
        self.mark()
        self.end(self.first)
        self.assertEqual(self.targets(), {self.other.backend_id})

    def test_running_request_finishes(self):
        self.mark()
        self.assertEqual(self.actions(), [])
        self.core.forward.on_response(self.first.attempt_id, 200, self.now_s)
        self.assertEqual(len(self.actions()), 1)

    def test_queued_request_goes_elsewhere(self):
        second = self.send(2)
        while not any(w for w in self.core.forward.queue.waiting.values()):
            self.arrive(3 + len(self.core.forward.rows))
        self.mark()
        self.end(self.first)
        self.assertEqual(self.actions(Dispatch), [])
        targets = {d.backend.backend_id for d in self.end(second)}
        self.assertEqual(targets, {self.other.backend_id})

    def test_retry_goes_elsewhere(self):
        second = self.send(2)
        self.assertEqual(second.backend, self.other)
        self.mark()
        self.end(self.first)
        self.core.forward.on_failure(second.attempt_id, "reset", self.now_s)
        self.assertEqual(self.actions(Dispatch), [])

    def test_all_leaving_are_refused_at_once(self):
        second = self.send(2)
        self.mark()
        self.mark(second.attempt_id)
        (problem,) = self.arrive(3)
        self.assertIsInstance(problem, Problem)
        self.assertEqual((problem.status, problem.reason), (503, "no_backend"))
        self.assertGreater(problem.retry_after_s, 0)

    def test_later_view_does_not_bring_it_back(self):
        self.mark()
        self.end(self.first)
        self.update(attrs.evolve(self.leaving, sequence=9))
        self.assertEqual(self.targets(), {self.other.backend_id})
        self.update(gone=(self.leaving.backend_id,))
        self.update(self.leaving)
        self.assertEqual(self.targets(), {self.other.backend_id})

    def test_next_incarnation_is_used(self):
        self.mark()
        self.end(self.first)
        self.update(attrs.evolve(self.leaving, born_ms=6), gone=())
        self.assertIn(self.leaving.backend_id, self.targets())

    def test_one_behind_another_instance(self):
        attempt = self.core.forward.queue.rows_by_attempt[self.first.attempt_id].attempt
        attempt.is_hop = True
        report = self.core.forward.on_leaving_behind_hop
        report(self.first.attempt_id, self.other.backend_id, 4)
        self.assertNotIn(self.other, self.core.fleet.leaving)
        report(self.first.attempt_id, self.other.backend_id, 5)
        self.assertIn(self.other, self.core.fleet.leaving)


class TestPermits(LeavingCase):
    def test_request_that_waits_for_a_permit_goes_elsewhere(self):
        """A permit that comes late must not send a request to what is leaving."""
        self.end(self.first)
        queue = self.core.forward.queue
        for row in self.rows.values():
            self.core.rate_limits.record(row, 1.0, self.now_s)
        queue.permits.is_owner = lambda backend_id: False
        queue.permits._first_responsive = lambda row, now_s: "e9"
        self.core.forward.on_request(Arrival(5, "a.example", "/a/x", 2.0), self.now_s)
        (ask,) = (
            action.body
            for action in self.core.pop_actions()
            if isinstance(action, Send) and isinstance(action.body, PermitRequest)
        )
        self.core.fleet.mark_leaving(self.rows[ask.limit.backend_id])
        reply = PermitReply(ask.permit_id, True)
        self.core.receive("e9", reply, self.now_s)
        self.assertEqual(self.actions(Dispatch), [])


if __name__ == "__main__":
    unittest.main()
