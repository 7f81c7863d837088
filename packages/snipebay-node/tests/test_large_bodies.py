"""Tests of large bodies on their way to backend servers, and of crowded hubs."""

import errno
import itertools
import socket
import unittest
from unittest import mock

from circuits.core.pollers import EPoll
from snipebay_node.http_server import HttpServer
from snipebay_node.socket_limits import SocketLimits
from snipebay_node.streams import StreamHub
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase
from snipebay_testbed.http_case import Application

BODY = bytes(range(256)) * 2_000
NOT_RUN = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"


class TestLargeBody(ForwarderCase):
    def send_body(self, path="/u/x"):
        self.send_request(path, "POST", f"Content-Length: {len(BODY)}\r\n")
        for start in range(0, len(BODY), 50_000):
            self.caller.on_data(BODY[start : start + 50_000])

    def body_at(self, stream):
        return bytes(stream.sent).partition(b"\r\n\r\n")[2]

    def test_bytes_are_unchanged_and_sent_only_when_complete(self):
        self.send_request("/u/x", "POST", f"Content-Length: {len(BODY)}\r\n")
        self.caller.on_data(BODY[:-1])
        self.assertEqual(self.hub.streams, [])
        self.caller.on_data(BODY[-1:])
        self.assertEqual(self.body_at(self.backend_stream()), BODY)

    def test_blocks_follow_as_the_socket_takes_them(self):
        self.send_body()
        (stream,) = self.hub.streams
        stream.buffered_bytes = 1
        stream.connect()
        self.assertEqual(self.body_at(stream), b"")
        stream.buffered_bytes = 0
        stream.on_drained()
        self.assertEqual(self.body_at(stream), BODY)

    def test_refused_body_is_sent_whole_to_another_server(self):
        # Guards against blocks that are discarded while a repetition is possible.
        self.send_body()
        self.backend_stream().on_data(NOT_RUN)
        self.assertEqual(self.body_at(self.backend_stream(1)), BODY)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertIn(b" 200 ", self.response)

    def test_early_response_ends_the_connection(self):
        # The rest of the body would be taken for the next request.
        self.send_body()
        (stream,) = self.hub.streams
        stream.buffered_bytes = 1
        stream.connect()
        stream.on_data(RESPONSE)
        self.assertIn(b" 200 ", self.response)
        self.assertFalse(stream.is_open)

    def test_body_is_discarded_at_each_end(self):
        for name, end in (
            ("answered", lambda stream: stream.on_data(RESPONSE)),
            ("backend lost", lambda stream: stream.abort()),
            ("caller lost", lambda stream: self.caller.abort()),
        ):
            with self.subTest(name):
                ForwarderCase.setUp(self)
                self.send_body()
                exchange = next(iter(self.forwarder._active.values())).exchange
                end(self.backend_stream())
                self.assertEqual(exchange.body.blocks, [])


class TestCrowdedHub(unittest.TestCase):
    def setUp(self):
        self.hub = StreamHub(EPoll(), limits=SocketLimits(6, 4))
        self.addCleanup(self.hub.stop_listening)
        ticks = itertools.count()
        self.server = HttpServer(Application(), lambda: float(next(ticks)))
        self.address = self.hub.listen("127.0.0.1:0", self.server.accept)

    def close_idle(self):
        oldest = min(self.server.connections, key=lambda row: row.active_s)
        oldest.stream.abort()

    def connect(self, count):
        for _ in range(count):
            sock = socket.create_connection(self.address)
            self.addCleanup(sock.close)
            self.hub.accept_waiting()
        return self.hub.socket_count

    def test_idle_connections_make_room(self):
        self.hub.on_crowded = self.close_idle
        first = self.connect(1) and next(iter(self.server.connections))
        self.assertEqual(self.connect(9), 4)
        self.assertFalse(first.stream.is_open)

    def test_connections_over_the_limit_are_closed_if_all_are_busy(self):
        self.assertEqual(self.connect(9), 4)

    def test_listener_is_not_polled_while_accepting_fails(self):
        # Guards against a busy loop: the listener stays readable.
        (listener,) = self.hub._listeners
        error = OSError(errno.EMFILE, "none")
        with mock.patch.object(socket.socket, "accept", side_effect=error):
            self.hub.accept_waiting()
        self.assertFalse(self.hub.poller.isReading(listener))
        self.hub.tick(0.0)
        self.assertTrue(self.hub.poller.isReading(listener))


if __name__ == "__main__":
    unittest.main()
