"""Tests of the forwarder between callers and backend servers, on fake streams."""

import unittest

from snipebay_node.forwarder import HELD_ANSWER_BYTES
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase


class TestForwarding(ForwarderCase):
    def test_request_and_answer_pass_unchanged(self):
        self.send_request("/a/x?q=1", extra="Other: z\r\nSnipebay-Timeout-Ms: 900\r\n")
        sent = bytes(self.backend_stream().sent).lower()
        self.assertTrue(sent.startswith(b"get /a/x?q=1 http/1.1\r\n"))
        for line in (b"id: 7", b"other: z", b"only: i", b"snipebay-timeout-ms: 900"):
            self.assertIn(line, sent)
        self.backend_stream().on_data(RESPONSE)
        self.assertIn(b"signed: yes", self.response.lower())
        self.assertTrue(self.response.endswith(b"\r\n\r\nhi"))

    def test_connection_is_used_again(self):
        for _ in range(2):
            self.send_request(extra="Cookie: key=k\r\n")
            self.backend_stream().on_data(RESPONSE)
        self.assertLessEqual(len(self.hub.streams), 2)
        self.assertEqual(self.response.count(b"200"), 2)

    def test_deadline_that_is_no_number(self):
        self.send_request(extra="Snipebay-Timeout-Ms: soon\r\n")
        self.assertTrue(self.response.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.hub.streams, [])


class TestBadAnswers(ForwarderCase):
    def test_answer_that_breaks_off_is_asked_for_again(self):
        self.send_request()
        first = self.backend_stream()
        first.on_data(RESPONSE[:-1])
        first.abort()
        self.assertEqual(self.response, b"")
        self.backend_stream(1).on_data(RESPONSE)
        self.assertTrue(self.response.endswith(b"hi"))

    def test_answer_to_another_request_is_not_relayed(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE.replace(b"Id: 7", b"Id: 8"))
        self.assertEqual(self.response, b"")
        self.assertFalse(self.hub.streams[0].is_open)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertEqual(self.response.count(b"200"), 1)

    def test_bytes_behind_an_answer_end_the_connection(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE + RESPONSE)
        self.assertEqual(self.response.count(b"200"), 1)
        self.assertFalse(self.hub.streams[0].is_open)

    def test_answer_without_length_that_is_reset_is_not_whole(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend_stream()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nhi")
        stream.was_reset = True
        stream.abort()
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"))

    def test_answer_without_length_that_ends_is_whole(self):
        self.send_request()
        stream = self.backend_stream()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nhi")
        stream.abort()
        self.assertIn(b"200", self.response)
        self.assertIn(b"hi", self.response)

    def test_long_answer_is_streamed_and_cut_visibly(self):
        self.send_request()
        size = HELD_ANSWER_BYTES * 2
        head = f"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: {size}\r\n\r\n".encode()
        stream = self.backend_stream()
        stream.on_data(head + b"x" * (HELD_ANSWER_BYTES + 1))
        self.assertIn(b"200", self.response)
        stream.abort()
        self.assertFalse(self.caller.is_open)
        self.assertEqual(len(self.hub.streams), 1)

    def test_refusal_by_a_backend_server_goes_on_to_the_next(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        refusal = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        self.backend_stream().on_data(refusal)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertIn(b"200", self.response)

    def test_load_is_learned(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE.replace(b"Signed: yes", b"Load: 3,1,4"))
        loads = [m.other_load for m in self.core.fleet.members.values()]
        self.assertGreater(max(loads), 2)


class TestCallers(ForwarderCase):
    def test_pipelined_requests_run_side_by_side_and_answer_in_order(self):
        self.send_request(extra="Cookie: a=1\r\n")
        self.send_request("/a/second")
        self.assertEqual(len(self.hub.streams), 2)
        self.backend_stream(1).on_data(RESPONSE.replace(b"hi", b"22"))
        self.assertEqual(self.response, b"")
        self.backend_stream(0).on_data(RESPONSE.replace(b"hi", b"11"))
        self.assertLess(self.response.index(b"11"), self.response.index(b"22"))

    def test_unsafe_request_waits_for_the_one_before_it(self):
        self.send_request()
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        self.assertEqual(len(self.hub.streams), 1)
        self.backend_stream(0).on_data(RESPONSE)
        self.assertIn(b"POST /u/x", bytes(self.backend_stream().sent))

    def test_caller_that_leaves_cancels(self):
        self.send_request()
        self.backend_stream()
        self.caller.abort()
        self.assertFalse(self.hub.streams[0].is_open)
        self.assertTrue(self.forwarder.is_idle)


if __name__ == "__main__":
    unittest.main()
