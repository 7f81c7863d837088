"""Base class of tests for the HTTP server."""

import unittest

from snipebay_node.http_server import HttpServer

from snipebay_testbed.fake_stream import FakeStream

__all__ = ["Application", "ServerCase"]


class Application:
    """Responds with the target and body of a request, at once or on demand."""

    def __init__(self):
        self.exchanges = []
        self.disconnected = []
        self.hold_responses = False

    def check_head(self, exchange):
        exchange.body_limit = 100

    def handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.disconnected.append(exchange.target)
        if not self.hold_responses:
            self.respond(exchange)

    def respond(self, exchange):
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

    def assert_rejected(self, raw, status, text=""):
        response = self.send(raw)
        self.assertTrue(response.startswith(b"HTTP/1.1 %d " % status), response[:100])
        self.assertIn(text.encode(), response)
        self.assertFalse(self.stream.is_open)
        self.assertEqual(self.app.exchanges, [])
