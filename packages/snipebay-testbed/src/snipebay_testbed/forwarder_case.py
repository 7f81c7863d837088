"""Base class of tests that run a forwarder on fake streams."""

import unittest

from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_node.forwarder import Forwarder
from snipebay_node.header_names import HeaderNames
from snipebay_node.http_server import HttpServer
from snipebay_node.metrics import NodeMetrics
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Send

from snipebay_testbed.fake_stream import FakeHub, FakeStream

__all__ = ["HEADER_NAMES", "RESPONSE", "ForwarderCase"]

HEADER_NAMES = HeaderNames(
    request_id=b"id",
    target=b"only",
    not_run=b"not-run",
    load=b"load",
    rate_limit=b"limit",
    affinity="key",
)
RESPONSE = b"HTTP/1.1 200 OK\r\nId: 7\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nhi"


class ForwarderCase(unittest.TestCase):
    """Sets up a forwarder with one caller connection and two backend servers.

    Requests under ``/a/`` are routed as idempotent, those under ``/u/`` are not.
    """

    def setUp(self):
        self.now_s = 0.0
        self.hub = FakeHub()
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row), ("c1",))
        idempotent = Route("r", "a.example", "/a/", True, 2.0, 0.8, 1, (("s", 1.0),), 2)
        non_idempotent = Route(
            "u", "a.example", "/u/", False, 2.0, 0.8, 1, (("s", 1.0),), 2
        )
        plan = Plan(1, (idempotent, non_idempotent), (RoutedService("s"),))
        backends = tuple(
            BackendRow(f"i{n}", "s", f"10.0.1.{n}:80", "a", "a-1", 4) for n in (1, 2)
        )
        delta = ViewDelta(0, 1, True, plan=plan, backends=backends, entries=(row,))
        reply = RenewReply("c1", True, quorum_revision=1, delta=delta)
        self.core.receive("c1", reply, 0.0)
        self.forwarder = Forwarder(
            self.core,
            self.hub,
            lambda: self.now_s,
            NodeMetrics(),
            self.run_actions,
            HEADER_NAMES,
        )
        self.caller = FakeStream()
        HttpServer(self.forwarder, lambda: self.now_s).accept(self.caller)

    def run_actions(self):
        while actions := self.core.pop_actions():
            for action in actions:
                if not isinstance(action, Send):
                    self.forwarder.execute(action)

    def send_request(self, path="/a/x", method="GET", extra=""):
        """Send the head of a request on the caller's connection.

        Args:
            path: Path and query.
            method: HTTP method.
            extra: Further header lines, each with its line end.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nId: 7\r\n{extra}\r\n"
        self.caller.on_data(head.encode())

    def backend_stream(self, number=-1):
        """Return a stream to a backend server, by default the newest, connected."""
        stream = self.hub.streams[number]
        if stream.is_connecting:
            stream.connect()
        return stream

    @property
    def response(self):
        """All bytes that the caller has received."""
        return bytes(self.caller.sent)
