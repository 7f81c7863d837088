"""Tests of why and when a request that waits is refused."""

import unittest

import attrs
from snipebay_policy.refusals import QueueState, refusal

STATE = QueueState(has_backends=True, is_isolated=False, ends_s=10.0, permit_due_s=None)


class TestLineBetweenReasons(unittest.TestCase):
    def reason(self, now_s, **changes):
        found = refusal(attrs.evolve(STATE, **changes), now_s)
        return found.reason if found else None

    def test_a_request_waits_until_the_end_of_its_wait(self):
        self.assertIsNone(self.reason(9.999))
        self.assertEqual(self.reason(10.0), "no_room")
        self.assertEqual(self.reason(10.1), "no_room")

    def test_permit_due_before_the_end_of_the_wait_is_waited_for(self):
        self.assertIsNone(self.reason(9.0, permit_due_s=9.5))
        self.assertIsNone(self.reason(9.0, permit_due_s=10.0))

    def test_permit_due_too_late_refuses_at_once(self):
        self.assertEqual(self.reason(9.0, permit_due_s=10.1), "rate_limited")

    def test_permit_due_after_the_end_of_the_wait_has_passed(self):
        self.assertEqual(self.reason(10.0, permit_due_s=10.1), "rate_limited")

    def test_permit_that_is_due_now_is_not_the_reason(self):
        self.assertEqual(self.reason(10.0, permit_due_s=10.0), "no_room")
        self.assertEqual(self.reason(10.5, permit_due_s=10.2), "no_room")

    def test_no_backend_server_refuses_at_once(self):
        self.assertEqual(self.reason(9.0, has_backends=False), "no_backend")

    def test_an_isolated_instance_refuses_at_once_whatever_else_holds(self):
        self.assertEqual(self.reason(9.0, is_isolated=True), "unreachable")
        self.assertEqual(
            self.reason(9.0, is_isolated=True, has_backends=False), "unreachable"
        )

    def test_only_a_permit_tells_when_to_return(self):
        late = attrs.evolve(STATE, permit_due_s=12.5)
        self.assertEqual(refusal(late, 10.0).due_in_s, 2.5)
        self.assertIsNone(refusal(STATE, 10.0).due_in_s)


if __name__ == "__main__":
    unittest.main()
