"""Tests of the HTTP wire towards callers and backend servers."""

import json
import unittest

from snipebay_node.http_server import HttpServer
from snipebay_node.upstream import (
    CONNECT_TIMEOUT_S,
    UpstreamPool,
    UpstreamRequest,
    strip_hop_headers,
)
from snipebay_testbed.fake_stream import FakeHub, FakeStream


class Application:
    """Answers each request with its target and body, when told to."""

    def __init__(self):
        self.exchanges = []
        self.gone = []
        self.hold = False

    def check_head(self, exchange):
        exchange.body_limit = 100

    def handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.gone.append(exchange.target)
        if not self.hold:
            self.answer(exchange)

    def answer(self, exchange):
        exchange.respond(200, exchange.target.encode() + bytes(exchange.body))


class ServerCase(unittest.TestCase):
    def setUp(self):
        self.app = Application()
        self.now_s = 0.0
        self.server = HttpServer(self.app, lambda: self.now_s)
        self.stream = FakeStream()
        self.server.accept(self.stream)

    def send(self, raw):
        self.stream.on_data(raw)
        return bytes(self.stream.sent)

    def assert_refused(self, raw, status, text=""):
        answer = self.send(raw)
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer[:100])
        self.assertIn(text.encode(), answer)
        self.assertFalse(self.stream.is_open)
        self.assertEqual(self.app.exchanges, [])


class TestWireGuard(ServerCase):
    def test_two_lengths(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        self.assert_refused(raw + b"Content-Length: 2\r\n\r\nx", 400)

    def test_length_and_chunked(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        raw += b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
        self.assert_refused(raw, 400, "both Content-Length and Transfer-Encoding")

    def test_negative_length(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"
        self.assert_refused(raw, 400)

    def test_two_hosts(self):
        self.assert_refused(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400)

    def test_garbage(self):
        self.assert_refused(b"\x16\x03\x01\x02\x00\r\n\r\n", 400)

    def test_oversized_head(self):
        raw = b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000
        self.assert_refused(raw, 431)

    def test_oversized_body(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n"
        self.assert_refused(raw + b"x" * 200, 413, "100 bytes")

    def test_oversized_chunked_body(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assert_refused(raw + (b"60\r\n" + b"x" * 96 + b"\r\n") * 3, 413)

    def test_refusal_is_a_problem_document(self):
        answer = self.send(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
        document = json.loads(answer.partition(b"\r\n\r\n")[2])
        self.assertEqual(document["status"], 400)
        self.assertEqual(document["outcome"], "not-run")

    def test_slow_head_is_ended(self):
        self.send(b"GET / HT")
        self.now_s = 11.0
        self.server.tick(self.now_s)
        self.assertFalse(self.stream.is_open)


class TestServer(ServerCase):
    def test_status_and_detail_of_answers_are_told(self):
        told = []
        self.server.on_response = lambda exchange, status, detail: told.append(
            (exchange.path, status, detail)
        )
        self.send(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        self.app.answer = lambda exchange: exchange.problem(503, "not-run", "full")
        self.send(b"GET /b?c HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(told, [("/a", 200, ""), ("/b", 503, "full")])

    def test_pipelined_requests_are_answered_in_order(self):
        self.app.hold = True
        one = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        self.send(one % 1 + one % 2 + one % 3)
        for number in range(3):
            self.app.answer(self.app.exchanges[number])
        bodies = [part[-2:] for part in bytes(self.stream.sent).split(b"HTTP/1.1")[1:]]
        self.assertEqual(bodies, [b"/1", b"/2", b"/3"])

    def test_body_in_pieces(self):
        self.send(b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
        self.assertTrue(self.send(b"cd").endswith(b"/xabcd"))

    def test_expect_continue_is_answered(self):
        raw = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        answer = self.send(raw + b"Expect: 100-continue\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 100 "))

    def test_caller_that_leaves_is_noticed(self):
        self.app.hold = True
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        self.stream.abort()
        self.assertEqual(self.app.gone, ["/x"])

    def test_answer_of_wrong_length_is_cut_visibly(self):
        self.app.hold = True
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        exchange = self.app.exchanges[0]
        exchange.start(200, [("Content-Length", "10")])
        exchange.write(b"abc")
        exchange.finish()
        self.assertFalse(self.stream.is_open)

    def test_stop_closes_idle_connections_and_ends_busy_ones_after_the_answer(self):
        self.app.hold = True
        self.send(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        idle = FakeStream()
        self.server.accept(idle)
        self.server.stop()
        self.assertFalse(idle.is_open)
        self.app.answer(self.app.exchanges[0])
        self.assertIn(b"connection: close", bytes(self.stream.sent).lower())
        self.assertFalse(self.stream.is_open)


class Listener:
    """Notes what the pool tells."""

    def __init__(self):
        self.told = []
        self.may = True

    def may_write(self, attempt_id):
        return self.may

    def on_head(self, attempt_id, status, headers):
        self.told.append(("head", attempt_id, status))

    def on_data(self, attempt_id, data):
        self.told.append(("data", attempt_id, data))

    def on_end(self, attempt_id, status, headers, body):
        self.told.append(("end", attempt_id, body))

    def on_not_run(self, attempt_id, status, headers):
        self.told.append(("shed", attempt_id))

    def on_failure(self, attempt_id, reason):
        self.told.append(("failure", attempt_id))


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

    def test_connection_is_used_again_after_a_whole_answer(self):
        stream = self.start(1)
        stream.connect()
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        self.assertEqual(self.listener.told[-1], ("end", 1, b"ok"))
        self.start(2)
        self.assertEqual(len(self.hub.streams), 1)

    def test_late_answer_never_reaches_the_next_request(self):
        stream = self.start(1)
        stream.connect()
        self.pool.cancel(1)
        self.assertFalse(stream.is_open)
        other = self.start(2)
        self.assertIsNot(other, stream)
        other.connect()
        other.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2")
        self.assertEqual(
            [row for row in self.listener.told if row[0] == "end"], [("end", 2, b"2")]
        )

    def test_bytes_that_nobody_asked_for_end_the_connection(self):
        stream = self.start(1)
        stream.connect()
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        stream.on_data(whole)
        stream.on_data(whole)
        self.assertFalse(stream.is_open)
        self.assertEqual(len([r for r in self.listener.told if r[0] == "end"]), 1)

    def test_second_answer_in_the_same_bytes_ends_the_connection(self):
        stream = self.start(1)
        stream.connect()
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        stream.on_data(whole + whole)
        self.assertEqual(len([r for r in self.listener.told if r[0] == "end"]), 1)
        fresh = self.start(2)
        self.assertIsNot(fresh, stream)

    def test_connection_that_does_not_come_about_is_a_failure(self):
        stream = self.start(1)
        self.now_s = CONNECT_TIMEOUT_S
        self.pool.tick(self.now_s)
        self.assertTrue(stream.is_open)
        self.now_s += 0.01
        self.pool.tick(self.now_s)
        self.assertFalse(stream.is_open)
        self.assertEqual(self.listener.told, [("failure", 1)])

    def test_answer_cut_short_is_a_failure(self):
        stream = self.start(1)
        stream.connect()
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
        stream.abort()
        self.assertEqual(self.listener.told[-1], ("failure", 1))

    def test_shed_by_contract_is_told_apart_from_other_503(self):
        stream = self.start(1)
        stream.connect()
        stream.on_data(
            b"HTTP/1.1 503 x\r\nSnipebay-Shed: 1\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertEqual(self.listener.told, [("shed", 1)])
        stream = self.start(2)
        stream.on_data(b"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(self.listener.told[1], ("head", 2, 503))

    def test_nothing_is_written_when_the_core_refuses(self):
        self.listener.may = False
        stream = self.start(1)
        stream.connect()
        self.assertEqual(bytes(stream.sent), b"")
        self.assertFalse(stream.is_open)

    def test_connection_that_never_opens_is_given_up(self):
        self.start(1)
        self.now_s = 3.0
        self.pool.tick(self.now_s)
        self.assertEqual(self.listener.told, [("failure", 1)])

    def test_hop_headers_stay_on_their_hop(self):
        headers = [(b"Connection", b"x-own, close"), (b"X-Own", b"1"), (b"TE", b"x")]
        self.assertEqual(strip_hop_headers([*headers, (b"A", b"b")]), [(b"A", b"b")])


if __name__ == "__main__":
    unittest.main()
