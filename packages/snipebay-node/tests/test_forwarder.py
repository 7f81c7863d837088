"""Tests for the forwarder between callers and backend servers, on fake streams."""

import unittest

from snipebay_node.forwarder import MAX_BUFFERED_RESPONSE_BYTES
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase


class TestForwarding(ForwarderCase):
    def test_request_and_response_are_forwarded_unchanged(self):
        self.send_request("/a/x?q=1", extra="Other: z\r\nSnipebay-Timeout-Ms: 900\r\n")
        sent = bytes(self.backend_stream().sent).lower()
        self.assertTrue(sent.startswith(b"get /a/x?q=1 http/1.1\r\n"))
        for line in (b"id: 7", b"other: z", b"only: i", b"snipebay-timeout-ms: 900"):
            self.assertIn(line, sent)
        self.backend_stream().on_data(RESPONSE)
        self.assertIn(b"signed: yes", self.response.lower())
        self.assertTrue(self.response.endswith(b"\r\n\r\nhi"))

    def test_connection_is_reused(self):
        for _ in range(2):
            self.send_request(extra="Cookie: key=k\r\n")
            self.backend_stream().on_data(RESPONSE)
        self.assertLessEqual(len(self.hub.streams), 2)
        self.assertEqual(self.response.count(b"200"), 2)

    def test_non_numeric_deadline_is_rejected(self):
        self.send_request(extra="Snipebay-Timeout-Ms: soon\r\n")
        self.assertTrue(self.response.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.hub.streams, [])


class TestResponses(ForwarderCase):
    def test_truncated_response_is_retried(self):
        self.send_request()
        first = self.backend_stream()
        first.on_data(RESPONSE[:-1])
        first.abort()
        self.assertEqual(self.response, b"")
        self.backend_stream(1).on_data(RESPONSE)
        self.assertTrue(self.response.endswith(b"hi"))

    def test_response_with_another_request_id_is_not_relayed(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE.replace(b"Id: 7", b"Id: 8"))
        self.assertEqual(self.response, b"")
        self.assertFalse(self.hub.streams[0].is_open)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertEqual(self.response.count(b"200"), 1)

    def test_bytes_after_a_response_close_the_connection(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE + RESPONSE)
        self.assertEqual(self.response.count(b"200"), 1)
        self.assertFalse(self.hub.streams[0].is_open)

    def test_response_without_length_is_incomplete_after_a_reset(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend_stream()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nhi")
        stream.was_reset = True
        stream.abort()
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"))

    def test_response_without_length_is_complete_at_end_of_stream(self):
        self.send_request()
        stream = self.backend_stream()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nhi")
        stream.abort()
        self.assertIn(b"200", self.response)
        self.assertIn(b"hi", self.response)

    def test_streamed_response_that_is_truncated_closes_the_connection(self):
        self.send_request()
        size = MAX_BUFFERED_RESPONSE_BYTES * 2
        head = f"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: {size}\r\n\r\n".encode()
        stream = self.backend_stream()
        stream.on_data(head + b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1))
        self.assertIn(b"200", self.response)
        stream.abort()
        self.assertFalse(self.caller.is_open)
        self.assertEqual(len(self.hub.streams), 1)

    def test_request_rejected_by_a_backend_server_is_retried(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        refusal = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        self.backend_stream().on_data(refusal)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertIn(b"200", self.response)

    def test_reported_load_is_recorded(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE.replace(b"Signed: yes", b"Load: 3,1,4"))
        loads = [m.other_load for m in self.core.fleet.members.values()]
        self.assertGreater(max(loads), 2)


class TestCallers(ForwarderCase):
    def test_pipelined_requests_run_concurrently_with_ordered_responses(self):
        self.send_request(extra="Cookie: a=1\r\n")
        self.send_request("/a/second")
        self.assertEqual(len(self.hub.streams), 2)
        self.backend_stream(1).on_data(RESPONSE.replace(b"hi", b"22"))
        self.assertEqual(self.response, b"")
        self.backend_stream(0).on_data(RESPONSE.replace(b"hi", b"11"))
        self.assertLess(self.response.index(b"11"), self.response.index(b"22"))

    def test_pipelined_unsafe_request_waits_for_the_previous_one(self):
        self.send_request()
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        self.assertEqual(len(self.hub.streams), 1)
        self.backend_stream(0).on_data(RESPONSE)
        self.assertIn(b"POST /u/x", bytes(self.backend_stream().sent))

    def test_caller_disconnect_cancels_the_attempt(self):
        self.send_request()
        self.backend_stream()
        self.caller.abort()
        self.assertFalse(self.hub.streams[0].is_open)
        self.assertTrue(self.forwarder.is_idle)


if __name__ == "__main__":
    unittest.main()
