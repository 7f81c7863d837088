"""Tests of requests that go through another entry instance, on fake streams."""

import unittest

from snipebay_model.messages import RenewReply
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_policy.reach import Reach
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase

NOT_RUN = (
    b"HTTP/1.1 503 X\r\nSnipebay-Outcome: not-run\r\nRetry-After: 0.7\r\n"
    b"Content-Length: 0\r\n\r\n"
)
FULL = b"HTTP/1.1 502 X\r\nSnipebay-Outcome: unknown\r\nContent-Length: 0\r\n\r\n"


class TestHops(ForwarderCase):
    """A hop must carry the request unchanged, once, and never start a second hop."""

    def setUp(self):
        super().setUp()
        rows = tuple(
            EntryRow(f"e{n}", "x", f"10.0.0.{n + 1}:80", f"e{n}", "a", "a-1")
            for n in range(3)
        )
        delta = ViewDelta(1, 2, entries=rows)
        reply = RenewReply("c1", True, quorum_revision=2, delta=delta)
        self.core.receive("c1", reply, 0.0)
        self.core.reach.state = Reach.ISOLATED

    def sent(self, number=-1):
        return bytes(self.backend_stream(number).sent).lower()

    def test_request_is_sent_through_an_instance_that_reaches(self):
        self.send_request("/a/x?q=1", extra="Other: z\r\nSnipebay-Timeout-Ms: 900\r\n")
        self.assertTrue(self.sent().startswith(b"get /a/x?q=1 http/1.1\r\n"))
        for line in (b"host: a.example", b"id: 7", b"other: z", b"snipebay-hop: 0"):
            self.assertIn(line, self.sent())
        self.assertIn(b"snipebay-timeout-ms: 900", self.sent())
        self.assertNotIn(b"only:", self.sent())
        self.backend_stream().on_data(
            RESPONSE.replace(b"Signed", b"Limit: 1\r\nSigned")
        )
        self.assertIn(b"signed: yes", self.response.lower())
        self.assertEqual(list(self.core.rate_limits), [])

    def test_request_that_has_hopped_is_refused_at_once(self):
        self.send_request(extra="Snipebay-Hop: 0\r\n")
        self.assertTrue(self.response.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"not-run", self.response)
        self.assertEqual(self.hub.streams, [])

    def test_status_of_a_backend_server_behind_an_instance_is_no_promise(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        self.backend_stream().on_data(
            b"HTTP/1.1 503 X\r\nId: 7\r\nContent-Length: 0\r\n\r\n"
        )
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"))

    def test_endless_response_through_an_instance_without_its_caller(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend_stream()
        self.caller.abort()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\n")
        for _ in range(100):
            if not stream.is_paused:
                stream.on_data(b"x" * 65_536)
        self.assertTrue(stream.is_paused)
        (response,) = self.forwarder._responses.values()
        self.assertEqual(response.buffered, b"")

    def test_outcome_that_a_backend_server_claims_is_not_passed_on(self):
        self.core.reach.state = Reach.REACHED
        self.send_request("/u/x", "POST", "Content-Length: 0\r\nSnipebay-Hop: 1\r\n")
        self.backend_stream().on_data(
            b"HTTP/1.1 500 X\r\nId: 7\r\nSnipebay-Outcome: not-run\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.assertTrue(self.response.startswith(b"HTTP/1.1 500"))
        self.assertNotIn(b"not-run", self.response)

    def test_hop_header_does_not_reach_backend_servers(self):
        self.core.reach.state = Reach.REACHED
        self.send_request(extra="Snipebay-Hop: 0\r\n")
        self.assertNotIn(b"snipebay-hop", self.sent())

    def test_attempts_before_the_hop_count(self):
        self.core.reach.state = Reach.REACHED
        self.send_request(extra="Snipebay-Hop: 1\r\n")
        self.backend_stream().abort()
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"))

    def test_refusal_by_one_instance_is_tried_at_another(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        self.backend_stream().on_data(NOT_RUN)
        self.backend_stream(1).on_data(RESPONSE)
        self.assertIn(b"200", self.response)

    def test_refusal_that_an_instance_writes_bears_the_id_of_the_request(self):
        self.send_request(extra="Snipebay-Hop: 0\r\n")
        self.assertIn(b"\r\nid: 7\r\n", self.response.lower())

    def test_refusal_by_all_carries_the_time_to_return(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        for number in (0, 1):
            self.backend_stream(number).on_data(NOT_RUN)
        self.assertTrue(self.response.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: 0.7", self.response.lower())

    def test_unsafe_request_is_not_repeated_after_a_broken_hop(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        self.backend_stream().abort()
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"))
        self.assertEqual(len(self.hub.streams), 1)

    def test_failure_is_relayed_unchanged(self):
        self.send_request()
        self.backend_stream().on_data(FULL)
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"))
        self.assertEqual(len(self.hub.streams), 1)

    def test_caller_disconnect_cancels_the_hop(self):
        self.send_request()
        self.backend_stream()
        self.caller.abort()
        self.assertFalse(self.hub.streams[0].is_open)
        self.assertTrue(self.forwarder.is_idle)

    def test_last_resort_when_connections_are_refused_one_by_one(self):
        self.core.reach.state = Reach.REACHED
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        for number in (0, 1):
            self.hub.streams[number].abort()
        self.assertIn(b"snipebay-hop: 2", self.sent(2))


class TestProbes(ForwarderCase):
    """A probe must cost a backend server no request, and its connection is kept."""

    def probe(self):
        self.results = []
        self.forwarder.pool.probe("10.0.1.1:80", self.results.append)
        return self.hub.streams[-1]

    def test_established_connection_is_kept(self):
        stream = self.probe()
        stream.connect()
        self.forwarder.tick(0.1)
        self.assertEqual(self.results, [True])
        self.assertTrue(stream.is_open)
        self.assertEqual(bytes(stream.sent), b"")

    def test_refused_connection(self):
        self.probe().abort()
        self.forwarder.tick(0.1)
        self.assertEqual(self.results, [False])

    def test_hanging_connection_is_given_up(self):
        stream = self.probe()
        self.forwarder.tick(0.3)
        self.assertEqual(self.results, [])
        self.forwarder.tick(0.5)
        self.assertEqual(self.results, [False])
        self.assertFalse(stream.is_open)


if __name__ == "__main__":
    unittest.main()
