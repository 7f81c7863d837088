"""Tests of routed requests while an instance stops."""

from snipebay_policy.work import Problem, Relay
from snipebay_testbed.forward_case import ForwardCase


class TestStopping(ForwardCase):
    def test_new_requests_are_refused_and_running_ones_finish(self):
        dispatch = self.send()
        self.core.forward.is_closed = True
        (problem,) = self.arrive(2)
        self.assertEqual((problem.status, problem.outcome), (503, "not-run"))
        self.core.forward.on_response(dispatch.attempt_id, 200, self.now_s)
        self.assertIsInstance(self.actions()[0], Relay)

    def assert_ends_with(self, status, outcome):
        """Check the only response at the end of the stop."""
        self.assertEqual(self.tick(0.9), [])
        (problem,) = [a for a in self.tick(0.1) if isinstance(a, Problem)]
        self.assertEqual((problem.status, problem.outcome), (status, outcome))
        self.assertEqual(problem.reason, "stopping")

    def test_running_request_is_answered_before_the_end(self):
        self.send(path="/u/x")
        self.core.forward.end_by(self.now_s + 1.0)
        self.assert_ends_with(504, "unknown")

    def test_request_accepted_in_the_stop_is_answered_before_the_end(self):
        self.core.forward.end_by(self.now_s + 1.0)
        dispatch = self.send()
        self.assertEqual(dispatch.deadline_s, self.now_s + 1.0)
        self.assert_ends_with(504, "unknown")

    def test_request_that_was_not_sent_is_reported_as_not_run(self):
        (dispatch,) = self.arrive(path="/u/x")
        self.core.forward.end_by(self.now_s + 1.0)
        self.assert_ends_with(503, "not-run")
        self.assertFalse(self.core.forward.may_write(dispatch.attempt_id, self.now_s))

    def test_non_idempotent_request_that_may_not_end_in_time_is_refused(self):
        self.core.forward.end_by(self.now_s + 1.9)
        (problem,) = self.arrive(path="/u/x")
        self.assertEqual((problem.status, problem.outcome), (503, "not-run"))
        self.assertEqual(problem.reason, "stopping")
        self.send(2, path="/u/x", timeout_s=1.8)

    def test_earlier_deadline_stays(self):
        self.send(timeout_s=0.5)
        self.core.forward.end_by(self.now_s + 1.0)
        problem = self.tick(0.5)[-1]
        self.assertEqual(problem.reason, "deadline")
