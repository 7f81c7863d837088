"""Tests for pipelined requests in a stop, and behind invalid ones."""

from snipebay_node.http_server import BODY_TIMEOUT_S, STOP_IDLE_DELAY_S
from snipebay_testbed.http_case import ServerCase


class TestPipelinedRequestsInAStop(ServerCase):
    """Guards against requests cut behind the last response of their connection."""

    ONE = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"

    def setUp(self):
        super().setUp()
        self.app.hold_responses = True

    def assert_answered(self, *targets):
        """Check the answered targets, that only the last one closes, and no cut."""
        heads = bytes(self.stream.sent).lower().split(b"http/1.1 ")[1:]
        self.assertEqual([head[-2:].decode() for head in heads], list(targets))
        closing = [b"connection: close" in head for head in heads]
        self.assertEqual(closing, [False] * (len(heads) - 1) + [True])
        self.assertFalse(self.stream.is_open)
        self.assertEqual(self.app.disconnected, [])

    def test_request_that_arrives_behind_a_held_response_is_answered(self):
        self.send(self.ONE % 1 + self.ONE % 2)
        self.server.stop()
        self.app.respond(self.app.exchanges[1])
        self.send(self.ONE % 3)
        self.app.respond(self.app.exchanges[0])
        self.app.respond(self.app.exchanges[2])
        self.assert_answered("/1", "/2", "/3")

    def test_held_response_closes_the_connection_if_it_is_the_last(self):
        self.send(self.ONE % 1 + self.ONE % 2)
        self.server.stop()
        self.app.respond(self.app.exchanges[1])
        self.app.respond(self.app.exchanges[0])
        self.assert_answered("/1", "/2")

    def test_requests_read_at_once_are_all_answered(self):
        self.app.hold_responses = False
        self.server.stop()
        self.send(self.ONE % 1 + self.ONE % 2 + self.ONE % 3)
        self.assert_answered("/1", "/2", "/3")

    def test_request_whose_head_is_incomplete_is_answered(self):
        self.send(self.ONE % 1 + b"GET /2 HT")
        self.server.stop()
        self.app.respond(self.app.exchanges[0])
        self.send(b"TP/1.1\r\nHost: a\r\n\r\n")
        self.app.respond(self.app.exchanges[1])
        self.assert_answered("/1", "/2")

    def test_no_request_is_dispatched_behind_a_closing_response_in_progress(self):
        self.send(self.ONE % 1)
        self.server.stop()
        exchange = self.app.exchanges[0]
        exchange.start(200, [("Content-Length", "2")])
        self.send(self.ONE % 2)
        exchange.write(b"/1")
        exchange.finish()
        self.assertEqual(len(self.app.exchanges), 1)
        self.assert_answered("/1")

    def test_connection_left_idle_by_its_last_response_closes_soon(self):
        self.send(self.ONE % 1)
        exchange = self.app.exchanges[0]
        exchange.start(200, [("Content-Length", "2")])
        self.server.stop()
        self.now_s = 1.0
        exchange.write(b"/1")
        exchange.finish()
        self.assertTrue(self.stream.is_open)
        self.now_s += STOP_IDLE_DELAY_S
        self.server.tick(self.now_s)
        self.assertFalse(self.stream.is_open)


class TestBrokenOffResponses(ServerCase):
    """Guards against requests that are cut with a later one that was broken off."""

    def test_response_of_which_nothing_was_sent_becomes_an_error(self):
        self.app.hold_responses = True
        self.send(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
        first, second, third = self.app.exchanges
        second.start(200, [("Content-Length", "9")])
        second.write(b"part")
        second.break_off("the connection was reset")
        self.assertTrue(self.stream.is_open)
        for exchange in (third, first):
            self.app.respond(exchange)
        heads = bytes(self.stream.sent).split(b"HTTP/1.1 ")[1:]
        self.assertEqual([int(head[:3]) for head in heads], [200, 502, 200])
        self.assertNotIn(b"part", bytes(self.stream.sent))

    def test_response_that_has_begun_closes_the_connection(self):
        self.app.hold_responses = True
        self.send(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
        (exchange,) = self.app.exchanges
        exchange.start(200, [("Content-Length", "9")])
        exchange.break_off("the connection was reset")
        self.assertFalse(self.stream.is_open)


class TestRejectionBehindRunningRequests(ServerCase):
    """Guards against running requests cut by an invalid one behind them."""

    def setUp(self):
        super().setUp()
        self.app.hold_responses = True
        self.send(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")

    def assert_rejected_after_the_response(self, status):
        self.assertEqual((bytes(self.stream.sent), self.app.disconnected), (b"", []))
        self.app.respond(self.app.exchanges[0])
        heads = bytes(self.stream.sent).split(b"HTTP/1.1 ")[1:]
        self.assertEqual([int(head[:3]) for head in heads], [200, status])
        self.assertFalse(self.stream.is_open)

    def test_malformed_request(self):
        self.send(b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
        self.assert_rejected_after_the_response(400)

    def test_malformed_request_in_a_stop(self):
        self.server.stop()
        self.test_malformed_request()

    def test_bytes_that_are_no_request(self):
        self.send(b"\x16\x03\x01\x02\x00\r\n\r\n")
        self.assert_rejected_after_the_response(400)

    def test_oversized_body(self):
        raw = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n"
        self.send(raw + b"x" * 200)
        self.assert_rejected_after_the_response(413)

    def test_body_that_stops_arriving(self):
        self.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
        self.now_s = 2 * BODY_TIMEOUT_S
        self.server.tick(self.now_s)
        self.assert_rejected_after_the_response(408)
