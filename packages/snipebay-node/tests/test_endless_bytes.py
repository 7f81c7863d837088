"""Tests of backend servers that send bytes without end, on fake streams."""

import unittest

from snipebay_node.http_server import HttpServer
from snipebay_testbed.fake_stream import FakeStream
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase

CHUNK = b"x" * 8_192
MAX_CHUNKS = 64
HEAD = b"HTTP/1.1 200 OK\r\nId: 7\r\n"


MAX_KEPT_BYTES = 256 * 1024


class TestEndlessBodyWithoutReader(ForwarderCase):
    """Guards against an instance that runs out of memory for one backend server."""

    def feed(self, stream):
        """Send a long body until it is no longer read; return the bytes taken."""
        stream.on_data(HEAD + b"\r\n")
        for count in range(100 * MAX_CHUNKS):
            if not stream.is_open or stream.is_paused:
                return count * len(CHUNK)
            stream.on_data(CHUNK)
        return 100 * MAX_CHUNKS * len(CHUNK)

    def kept_bytes(self):
        responses = self.forwarder._responses.values()
        return sum(len(response.buffered) for response in responses)

    def test_caller_of_a_running_request_has_left(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend_stream()
        self.caller.abort()
        self.feed(stream)
        self.assertLess(self.kept_bytes(), MAX_KEPT_BYTES)
        self.assertTrue(stream.is_paused)
        self.now_s = 2.5
        self.core.tick(self.now_s)
        self.run_actions()
        self.assertFalse(stream.is_open)

    def test_caller_has_left_in_the_middle_of_the_response(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend_stream()
        stream.on_data(HEAD + b"\r\n" + CHUNK)
        self.caller.abort()
        self.feed(stream)
        self.assertLess(self.kept_bytes(), MAX_KEPT_BYTES)

    def test_response_of_usual_size_is_read_to_its_end_without_its_caller(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend_stream()
        self.caller.abort()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 524288\r\n\r\n")
        stream.on_data(b"x" * 524_288)
        self.assertFalse(stream.is_paused)
        self.assertTrue(stream.is_open)
        self.assertEqual(self.core.forward.rows, {})

    def test_all_backend_servers_while_all_callers_have_left(self):
        callers = []
        for _ in range(8):
            self.caller = FakeStream()
            callers.append(self.caller)
            HttpServer(self.forwarder, lambda: self.now_s).accept(self.caller)
            self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        for caller in callers:
            caller.abort()
        for number in range(len(self.hub.streams)):
            self.feed(self.backend_stream(number))
        self.assertEqual(len(self.hub.streams), 8)
        self.assertLess(self.kept_bytes(), MAX_KEPT_BYTES)
        self.assertTrue(all(stream.is_paused for stream in self.hub.streams))

    def test_caller_of_a_request_that_may_be_repeated_has_left(self):
        self.send_request()
        stream = self.backend_stream()
        stream.on_data(HEAD + b"\r\n" + CHUNK)
        self.caller.abort()
        self.assertFalse(stream.is_open)
        self.assertEqual(self.kept_bytes(), 0)

    def test_caller_that_does_not_read(self):
        self.caller.is_congested = True
        self.send_request()
        self.assertLess(self.feed(self.backend_stream()), MAX_KEPT_BYTES)

    def test_response_is_held_behind_an_earlier_one(self):
        self.send_request("/a/1")
        self.send_request("/a/2")
        first, second = map(self.backend_stream, (0, 1))
        self.assertLess(self.feed(second), MAX_KEPT_BYTES)
        first.on_data(RESPONSE)
        self.assertFalse(second.is_paused)
        self.assertEqual(self.response.count(b"HTTP/1.1 200"), 2)

    def test_drained_caller_gets_the_rest_of_an_earlier_response(self):
        self.send_request("/a/1")
        first = self.backend_stream()
        first.on_data(HEAD + b"\r\n" + CHUNK * 10)
        self.caller.is_congested = True
        first.on_data(CHUNK)
        self.assertTrue(first.is_paused)
        self.send_request("/a/2")
        self.caller.is_congested = False
        self.caller.on_drained()
        self.assertFalse(first.is_paused)


class TestEndlessBytes(ForwarderCase):
    """A backend server that never ends a head or body must not hold on to a request."""

    def feed(self, chunk=CHUNK, start=b""):
        """Send bytes until the stream is closed; return how many were taken."""
        self.send_request()
        stream = self.backend_stream()
        if start:
            stream.on_data(start)
        for count in range(MAX_CHUNKS):
            if not stream.is_open:
                return count * len(chunk)
            stream.on_data(chunk)
        return MAX_CHUNKS * len(chunk)

    def assert_bounded_and_retried(self, taken):
        self.assertLess(taken, MAX_CHUNKS * len(CHUNK) // 2)
        self.assertFalse(self.hub.streams[0].is_open)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertEqual(self.response.count(b"200"), 1)

    def test_status_line(self):
        self.assert_bounded_and_retried(self.feed())

    def test_header_value(self):
        self.assert_bounded_and_retried(self.feed(start=HEAD + b"Long: "))

    def test_headers(self):
        self.assert_bounded_and_retried(self.feed(b"Name: value\r\n" * 600, HEAD))

    def test_informational_responses(self):
        chunk = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 300
        self.assert_bounded_and_retried(self.feed(chunk))

    def test_chunk_header(self):
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;"
        self.assert_bounded_and_retried(self.feed(start=start))

    def test_trailers(self):
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        self.assert_bounded_and_retried(self.feed(b"Name: value\r\n" * 600, start))

    def test_body_of_a_refusal(self):
        start = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n"
        self.assert_bounded_and_retried(self.feed(start=start))

    def test_body_ends_visibly_at_the_deadline(self):
        self.send_request()
        stream = self.backend_stream()
        stream.on_data(HEAD + b"\r\n")
        while len(self.response) < 20 * len(CHUNK):
            stream.on_data(CHUNK)
        self.now_s = 2.5
        self.core.tick(self.now_s)
        self.run_actions()
        self.assertFalse(stream.is_open)
        self.assertFalse(self.caller.is_open)
        self.assertFalse(self.response.endswith(b"0\r\n\r\n"))
        self.assertTrue(self.forwarder.is_idle)

    def test_bytes_on_a_connection_without_a_request(self):
        self.forwarder.pool.probe("10.0.1.1:80", lambda is_connected: None)
        stream = self.backend_stream()
        stream.on_data(CHUNK)
        self.assertFalse(stream.is_open)

    def test_bytes_after_a_response(self):
        self.send_request()
        stream = self.backend_stream()
        stream.on_data(RESPONSE)
        stream.on_data(CHUNK)
        self.assertFalse(stream.is_open)
        self.assertEqual(self.response.count(b"200"), 1)


if __name__ == "__main__":
    unittest.main()
