"""Tests for the HTTP server and the connections to backend servers."""

import json
import unittest

from snipebay_node.hop_headers import strip_hop_headers
from snipebay_node.http_server import STOP_IDLE_DELAY_S
from snipebay_node.upstream import (
    CONNECT_TIMEOUT_S,
    UpstreamPool,
    UpstreamRequest,
)
from snipebay_testbed.fake_stream import FakeHub, FakeStream
from snipebay_testbed.http_case import ServerCase


class TestRequestRejection(ServerCase):
    def test_duplicate_content_length(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        self.assert_rejected(raw + b"Content-Length: 2\r\n\r\nx", 400)

    def test_content_length_with_chunked_encoding(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        raw += b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        self.assert_rejected(raw, 400, "both Content-Length and Transfer-Encoding")

    def test_negative_content_length(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"
        self.assert_rejected(raw, 400)

    def test_duplicate_host(self):
        self.assert_rejected(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400)

    def test_non_http_input(self):
        self.assert_rejected(b"\x16\x03\x01\x02\x00\r\n\r\n", 400)

    def test_oversized_head(self):
        raw = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000
        self.assert_rejected(raw, 431)

    def test_oversized_body(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n"
        self.assert_rejected(raw + b"x" * 200, 413, "100 bytes")

    def test_oversized_chunked_body(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_rejected(raw + (b"60\r\n" + b"x" * 96 + b"\r\n") * 3, 413)

    def test_rejection_is_a_problem_document(self):
        response = self.send(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
        document = json.loads(response.partition(b"\r\n\r\n")[2])
        self.assertEqual(document["status"], 400)
        self.assertEqual(document["outcome"], "not-run")

    def test_slow_head_times_out(self):
        self.send(b"GET / HT")
        self.now_s = 11.0
        self.server.tick(self.now_s)
        self.assertFalse(self.stream.is_open)


class TestServer(ServerCase):
    def test_callback_receives_status_and_detail(self):
        events = []
        self.server.on_response = lambda exchange, status, detail: events.append(
            (exchange.path, status, detail)
        )
        self.send(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        self.app.respond = lambda exchange: exchange.problem(503, "not-run", "full")
        self.send(b"GET /b?c HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(events, [("/a", 200, ""), ("/b", 503, "full")])

    def test_pipelined_responses_keep_the_request_order(self):
        self.app.hold_responses = True
        one = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        self.send(one % 1 + one % 2 + one % 3)
        for number in range(3):
            self.app.respond(self.app.exchanges[number])
        bodies = [part[-2:] for part in bytes(self.stream.sent).split(b"HTTP/1.1")[1:]]
        self.assertEqual(bodies, [b"/1", b"/2", b"/3"])

    def test_body_in_several_reads(self):
        self.send(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
        self.assertTrue(self.send(b"cd").endswith(b"/xabcd"))

    def test_expect_continue_gets_a_100_response(self):
        raw = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        response = self.send(raw + b"Expect: 100-continue\r\n\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 100 "))

    def test_caller_disconnect_is_reported(self):
        self.app.hold_responses = True
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.stream.abort()
        self.assertEqual(self.app.disconnected, ["/x"])

    def test_response_shorter_than_its_length_closes_the_connection(self):
        self.app.hold_responses = True
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        exchange = self.app.exchanges[0]
        exchange.start(200, [("Content-Length", "10")])
        exchange.write(b"abc")
        exchange.finish()
        self.assertFalse(self.stream.is_open)

    def test_stop_closes_busy_connections_after_the_response(self):
        self.app.hold_responses = True
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.server.stop()
        self.now_s = 5.0
        self.server.tick(self.now_s)
        self.assertTrue(self.stream.is_open)
        self.app.respond(self.app.exchanges[0])
        self.assertIn(b"connection: close", bytes(self.stream.sent).lower())
        self.assertFalse(self.stream.is_open)

    def test_stop_closes_idle_connections_after_a_delay(self):
        self.server.stop()
        self.now_s = STOP_IDLE_DELAY_S - 0.01
        self.server.tick(self.now_s)
        self.assertTrue(self.stream.is_open)
        self.now_s = STOP_IDLE_DELAY_S
        self.server.tick(self.now_s)
        self.assertFalse(self.stream.is_open)

    def test_connection_accepted_during_a_stop_has_its_usual_time(self):
        self.server.stop()
        late = FakeStream()
        self.server.accept(late)
        self.now_s = 2 * STOP_IDLE_DELAY_S
        self.server.tick(self.now_s)
        self.assertTrue(late.is_open)
        late.on_data(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(bytes(late.sent).startswith(b"HTTP/1.1 200 "))
        self.assertFalse(late.is_open)

    def test_request_that_was_on_its_way_at_a_stop_is_answered(self):
        self.server.stop()
        response = self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "))
        self.assertIn(b"connection: close", response.lower())
        self.assertFalse(self.stream.is_open)


class Listener:
    """Records the events of the pool."""

    def __init__(self):
        self.events = []
        self.write_allowed = True

    def may_write(self, attempt_id):
        return self.write_allowed

    def on_head(self, attempt_id, status, headers):
        self.events.append(("head", attempt_id, status))

    def on_data(self, attempt_id, data):
        self.events.append(("data", attempt_id, data))

    def on_end(self, attempt_id, status, headers, body):
        self.events.append(("end", attempt_id, body))

    def on_not_run(self, attempt_id, status, headers):
        self.events.append(("shed", attempt_id))

    def on_failure(self, attempt_id, reason):
        self.events.append(("failure", attempt_id))


class TestUpstream(unittest.TestCase):
    def setUp(self):
        self.hub = FakeHub()
        self.listener = Listener()
        self.now_s = 0.0
        self.pool = UpstreamPool(self.hub, lambda: self.now_s, self.listener)

    def start(self, attempt_id):
        headers = [(b"host", b"a")]
        self.pool.start(
            UpstreamRequest(attempt_id, "127.0.0.1:1", "GET", "/x", headers, b"")
        )
        return self.hub.streams[-1]

    def test_connection_is_reused_after_a_complete_response(self):
        stream = self.start(1)
        stream.connect()
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.assertEqual(self.listener.events[-1], ("end", 1, b"ok"))
        self.start(2)
        self.assertEqual(len(self.hub.streams), 1)

    def test_late_response_never_reaches_the_next_request(self):
        stream = self.start(1)
        stream.connect()
        self.pool.cancel(1)
        self.assertFalse(stream.is_open)
        other = self.start(2)
        self.assertIsNot(other, stream)
        other.connect()
        other.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
        self.assertEqual(
            [row for row in self.listener.events if row[0] == "end"], [("end", 2, b"2")]
        )

    def test_unsolicited_bytes_close_the_connection(self):
        stream = self.start(1)
        stream.connect()
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        stream.on_data(response)
        stream.on_data(response)
        self.assertFalse(stream.is_open)
        self.assertEqual(len([r for r in self.listener.events if r[0] == "end"]), 1)

    def test_second_response_in_the_same_read_closes_the_connection(self):
        stream = self.start(1)
        stream.connect()
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        stream.on_data(response + response)
        self.assertEqual(len([r for r in self.listener.events if r[0] == "end"]), 1)
        other = self.start(2)
        self.assertIsNot(other, stream)

    def test_connect_fails_only_after_the_timeout(self):
        stream = self.start(1)
        self.now_s = CONNECT_TIMEOUT_S
        self.pool.tick(self.now_s)
        self.assertTrue(stream.is_open)
        self.now_s += 0.01
        self.pool.tick(self.now_s)
        self.assertFalse(stream.is_open)
        self.assertEqual(self.listener.events, [("failure", 1)])

    def test_truncated_response_is_a_failure(self):
        stream = self.start(1)
        stream.connect()
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
        stream.abort()
        self.assertEqual(self.listener.events[-1], ("failure", 1))

    def test_shed_response_is_distinguished_from_other_503(self):
        stream = self.start(1)
        stream.connect()
        stream.on_data(
            b"HTTP/1.1 503 x\r\nSnipebay-Shed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.listener.events, [("shed", 1)])
        stream = self.start(2)
        stream.on_data(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.listener.events[1], ("head", 2, 503))

    def test_nothing_is_written_when_the_listener_disallows_it(self):
        self.listener.write_allowed = False
        stream = self.start(1)
        stream.connect()
        self.assertEqual(bytes(stream.sent), b"")
        self.assertFalse(stream.is_open)

    def test_long_overdue_connect_fails(self):
        self.start(1)
        self.now_s = 3.0
        self.pool.tick(self.now_s)
        self.assertEqual(self.listener.events, [("failure", 1)])

    def test_hop_by_hop_headers_are_removed(self):
        headers = [(b"Connection", b"x-own, close"), (b"X-Own", b"1"), (b"TE", b"x")]
        self.assertEqual(strip_hop_headers([*headers, (b"A", b"b")]), [(b"A", b"b")])


if __name__ == "__main__":
    unittest.main()
