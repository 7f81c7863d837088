"""Tests of responses that say that their backend server is leaving."""

import unittest

from snipebay_model.messages import RenewReply
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_node.response_headers import format_backend, parse_backend
from snipebay_policy.reach import Reach
from snipebay_testbed.forwarder_case import ForwarderCase


def response(status="200 OK", extra=b""):
    head = f"HTTP/1.1 {status}\r\nId: 7\r\nContent-Length: 2\r\n".encode()
    return head + extra + b"\r\nhi"


LEAVING = b"Snipebay-Leaving: 1\r\n"
NOT_RUN = b"Not-Run: 1\r\n"


class LeavingCase(ForwarderCase):
    @property
    def leaving(self):
        """Ids of the backend servers that are known to be leaving."""
        fleet = self.core.fleet
        return [
            m.row.backend_id for m in fleet.members.values() if m.row in fleet.leaving
        ]

    def respond(self, raw, path="/u/x", extra="Content-Length: 0\r\n"):
        """Send a request, and respond to it at the newest connection."""
        self.send_request(path, "POST", extra)
        self.backend_stream().on_data(raw)


class TestResponses(LeavingCase):
    """Guards against orders that are lost when their backend server ends."""

    def test_header_counts_on_every_status(self):
        for status, extra in (
            ("200 OK", b""),
            ("404 X", b""),
            ("500 X", b""),
            ("503 X", b""),
            ("503 X", NOT_RUN),
        ):
            with self.subTest(status=status, extra=extra):
                self.setUp()
                self.respond(response(status, LEAVING + extra))
                self.assertEqual(len(self.leaving), 1)

    def test_response_is_passed_on_unchanged(self):
        self.respond(response(extra=LEAVING))
        self.assertIn(b"snipebay-leaving: 1", self.response.lower())
        self.assertNotIn(b"snipebay-leaving-backend", self.response.lower())

    def test_further_requests_on_a_kept_connection_go_elsewhere(self):
        self.respond(response(extra=LEAVING))
        (left,) = self.leaving
        for _ in range(6):
            self.respond(response())
        first, *others = self.hub.streams
        self.assertEqual(bytes(first.sent).count(b"POST"), 1)
        self.assertEqual(sum(bytes(s.sent).count(b"POST") for s in others), 6)
        self.assertEqual(self.leaving, [left])

    def test_other_values_say_nothing(self):
        for value in (b"0", b"", b"11", b"yes"):
            self.setUp()
            self.respond(response(extra=b"Snipebay-Leaving: " + value + b"\r\n"))
            self.assertEqual(self.leaving, [])

    def test_header_on_a_421_is_of_another_backend_server(self):
        self.respond(response("421 X", LEAVING))
        self.assertEqual(self.leaving, [])


class TestHops(LeavingCase):
    """The instance that took the request must know of it too."""

    def setUp(self):
        super().setUp()
        rows = tuple(
            EntryRow(f"e{n}", "x", f"10.0.0.{n + 1}:80", f"e{n}", "a", "a-1")
            for n in range(2)
        )
        reply = RenewReply(
            "c1", True, quorum_revision=2, delta=ViewDelta(1, 2, entries=rows)
        )
        self.core.receive("c1", reply, 0.0)

    def test_instance_behind_names_the_backend_server(self):
        self.respond(
            response(extra=LEAVING), extra="Content-Length: 0\r\nSnipebay-Hop: 0\r\n"
        )
        (left,) = self.leaving
        expected = f"snipebay-leaving-backend: 0 {left}\r\n".encode()
        self.assertIn(expected, self.response.lower())

    def test_instance_before_stops_using_it(self):
        self.core.reach.state = Reach.ISOLATED
        self.respond(response(extra=LEAVING + b"Snipebay-Leaving-Backend: 0 i2\r\n"))
        self.assertEqual(self.leaving, ["i2"])
        self.assertNotIn(b"leaving-backend", self.response.lower())

    def test_backend_server_can_name_no_other_one(self):
        named = b"Snipebay-Leaving-Backend: 0 i1\r\nSnipebay-Leaving-Backend: 0 i2\r\n"
        self.respond(
            response(extra=named), extra="Content-Length: 0\r\nSnipebay-Hop: 0\r\n"
        )
        self.assertEqual(self.leaving, [])
        self.assertNotIn(b"leaving-backend", self.response.lower())

    def test_unusable_values(self):
        for value in (b"", b"1", b"x i1", b"-1 i1", b"1" * 99 + b" i1"):
            self.assertIsNone(parse_backend(value))
        row = next(iter(self.core.fleet.members.values())).row
        self.assertEqual(parse_backend(format_backend(row)), (row.backend_id, 0))


if __name__ == "__main__":
    unittest.main()
