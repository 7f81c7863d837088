"""Tests of long responses on connections with other requests in progress."""

import unittest

from snipebay_node.body_budget import BodyBudget
from snipebay_policy.long_responses import (
    MAX_BUFFERED_RESPONSE_BYTES,
    MAX_HELD_RESPONSE_BYTES,
)
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase

SIZE = 3 * MAX_BUFFERED_RESPONSE_BYTES
HEAD = f"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: {SIZE}\r\n\r\n".encode()
PART = b"x" * (2 * MAX_BUFFERED_RESPONSE_BYTES)
WHOLE = b"x" * SIZE


class LongResponseCase(ForwarderCase):
    def setUp(self):
        super().setUp()
        (self.connection,) = self.caller.on_data.__self__.server.connections
        self.server = self.connection.server

    def send(self, *paths):
        for path in paths:
            self.send_request(path)

    def stream_of(self, path):
        """Return the newest stream on which a request was sent."""
        streams = [self.backend_stream(n) for n in range(len(self.hub.streams))]
        return next(s for s in reversed(streams) if path.encode() in bytes(s.sent))

    def statuses(self):
        return [int(part[:3]) for part in self.response.split(b"HTTP/1.1 ")[1:]]


class TestBrokenOff(LongResponseCase):
    """Guards against responses lost with one that its backend server breaks off."""

    def test_responses_behind_it_are_delivered(self):
        self.send("/a/1", "/a/2")
        self.stream_of("/a/1").on_data(HEAD + PART)
        self.assertEqual(self.response, b"")
        self.stream_of("/a/2").on_data(RESPONSE)
        self.stream_of("/a/1").abort()
        self.stream_of("/a/1").on_data(RESPONSE)
        self.assertEqual(self.statuses(), [200, 200])
        self.assertTrue(self.caller.is_open)

    def test_responses_before_it_are_delivered(self):
        self.send("/a/1", "/a/2")
        self.stream_of("/a/2").on_data(HEAD + PART)
        self.stream_of("/a/2").abort()
        self.assertTrue(self.caller.is_open)
        self.stream_of("/a/1").on_data(RESPONSE)
        self.assertEqual(self.statuses(), [200])

    def test_on_both_sides(self):
        self.send("/a/1", "/a/2", "/a/3")
        self.stream_of("/a/2").on_data(HEAD + PART)
        self.stream_of("/a/1").on_data(RESPONSE)
        self.stream_of("/a/3").on_data(RESPONSE)
        self.assertEqual(self.statuses(), [200])
        self.stream_of("/a/2").abort()
        self.stream_of("/a/2").on_data(RESPONSE)
        self.assertEqual(self.statuses(), [200, 200, 200])

    def test_later_request_waits_for_a_streamed_response(self):
        self.send("/a/1")
        self.stream_of("/a/1").on_data(HEAD + PART)
        self.assertEqual(self.statuses(), [200])
        self.send("/a/2")
        self.assertEqual(len(self.hub.streams), 1)
        self.stream_of("/a/1").on_data(WHOLE[len(PART) :])
        self.stream_of("/a/2").on_data(RESPONSE)
        self.assertEqual(self.statuses(), [200, 200])

    def test_request_that_is_not_safe_is_answered(self):
        self.send_request("/u/1", "POST", "Content-Length: 0\r\n")
        self.send("/a/2")
        self.stream_of("/u/1").on_data(HEAD + PART)
        self.assertEqual(self.statuses(), [200])
        self.assertEqual(len(self.hub.streams), 1)


class TestHeldResponses(LongResponseCase):
    def test_whole_response_is_delivered(self):
        self.send("/a/1", "/a/2")
        self.stream_of("/a/2").on_data(RESPONSE)
        self.stream_of("/a/1").on_data(HEAD + WHOLE)
        self.assertEqual(self.statuses(), [200, 200])
        self.assertIn(WHOLE, self.response)

    def test_one_that_is_not_due_is_left_unread(self):
        self.send("/a/1", "/a/2")
        second = self.stream_of("/a/2")
        second.on_data(HEAD + PART)
        self.assertTrue(second.is_paused)
        self.stream_of("/a/1").on_data(RESPONSE)
        self.assertFalse(second.is_paused)
        second.on_data(WHOLE[len(PART) :])
        self.assertIn(WHOLE, self.response)

    def test_one_without_others_is_streamed(self):
        self.send("/a/1")
        self.stream_of("/a/1").on_data(HEAD + PART)
        self.assertIn(PART, self.response)

    def test_very_long_one_is_streamed(self):
        self.send("/a/1", "/a/2")
        size = MAX_HELD_RESPONSE_BYTES + 1
        head = f"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: {2 * size}\r\n\r\n"
        self.stream_of("/a/1").on_data(head.encode() + b"x" * size)
        self.assertEqual(self.statuses(), [200])

    def test_memory_that_is_short_comes_first(self):
        self.server.budget = BodyBudget(1_000)
        self.server.budget.hold(2_000)
        self.send("/a/1", "/a/2")
        self.stream_of("/a/1").on_data(HEAD + PART)
        self.assertEqual(self.statuses(), [200])

    def test_one_that_arrives_is_not_taken_for_silent(self):
        self.send("/a/1", "/a/2")
        first = self.stream_of("/a/1")
        for _ in range(3):
            first.on_data(HEAD + PART if not self.now_s else b"x")
            self.now_s += 0.6
            self.core.tick(self.now_s)
            self.run_actions()
        self.assertTrue(first.is_open)

    def test_caller_that_leaves(self):
        self.send("/a/1", "/a/2")
        self.stream_of("/a/2").on_data(HEAD + PART)
        self.caller.abort()
        self.assertEqual(self.core.forward.rows, {})
        self.assertTrue(all(not s.is_open for s in self.hub.streams))


class TestWaitingRequests(LongResponseCase):
    def test_time_behind_others_counts(self):
        """A backend server must not get more time than the caller has left."""
        self.send_request("/u/1", "POST", "Content-Length: 0\r\n")
        self.send_request("/a/2", extra="Snipebay-Timeout-Ms: 900\r\n")
        self.now_s = 0.6
        self.stream_of("/u/1").on_data(RESPONSE)
        sent = bytes(self.stream_of("/a/2").sent).lower()
        remaining_ms = int(sent.partition(b"snipebay-timeout-ms: ")[2].split()[0])
        self.assertLessEqual(remaining_ms, 300)

    def test_request_without_time_left_is_refused(self):
        self.send_request("/u/1", "POST", "Content-Length: 0\r\n")
        self.send_request("/a/2", extra="Snipebay-Timeout-Ms: 500\r\n")
        self.now_s = 0.6
        self.stream_of("/u/1").on_data(RESPONSE)
        self.assertEqual(self.statuses(), [200, 503])
        self.assertIn(b"not-run", self.response)


if __name__ == "__main__":
    unittest.main()
