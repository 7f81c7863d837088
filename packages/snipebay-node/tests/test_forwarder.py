"""Tests of the forwarder between callers and backend servers, on fake streams."""

import unittest

from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_node.dialect import Dialect
from snipebay_node.forwarder import HELD_ANSWER_BYTES, Forwarder
from snipebay_node.http_server import HttpServer
from snipebay_node.metrics import NodeMetrics
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Send
from snipebay_testbed.fake_stream import FakeHub, FakeStream

DIALECT = Dialect(
    request_id=b"id", target=b"only", not_run=b"not-run", load=b"load", affinity="key"
)
ANSWER = b"HTTP/1.1 200 OK\r\nId: 7\r\nSigned: yes\r\nContent-Length: 2\r\n\r\nhi"


class ForwarderCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.hub = FakeHub()
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row), ("c1",))
        safe = Route("r", "a.example", "/a/", True, 2.0, 0.8, 1, (("s", 1.0),), 2)
        unsafe = Route("u", "a.example", "/u/", False, 2.0, 0.8, 1, (("s", 1.0),), 2)
        plan = Plan(1, (safe, unsafe), (RoutedService("s"),))
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
            DIALECT,
        )
        self.caller = FakeStream()
        HttpServer(self.forwarder, lambda: self.now_s).accept(self.caller)

    def run_actions(self):
        while actions := self.core.take_actions():
            for action in actions:
                if not isinstance(action, Send):
                    self.forwarder.carry_out(action)

    def ask(self, path="/a/x", method="GET", extra=""):
        head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nId: 7\r\n{extra}\r\n"
        self.caller.on_data(head.encode())

    def backend(self, number=-1):
        stream = self.hub.streams[number]
        if stream.is_connecting:
            stream.connect()
        return stream

    @property
    def answer(self):
        return bytes(self.caller.sent)


class TestForwarding(ForwarderCase):
    def test_request_and_answer_pass_unchanged(self):
        self.ask("/a/x?q=1", extra="Other: z\r\nSnipebay-Timeout-Ms: 900\r\n")
        sent = bytes(self.backend().sent).lower()
        self.assertTrue(sent.startswith(b"get /a/x?q=1 http/1.1\r\n"))
        for line in (b"id: 7", b"other: z", b"only: i", b"snipebay-timeout-ms: 900"):
            self.assertIn(line, sent)
        self.backend().on_data(ANSWER)
        self.assertIn(b"signed: yes", self.answer.lower())
        self.assertTrue(self.answer.endswith(b"\r\n\r\nhi"))

    def test_connection_is_used_again(self):
        for _ in range(2):
            self.ask(extra="Cookie: key=k\r\n")
            self.backend().on_data(ANSWER)
        self.assertLessEqual(len(self.hub.streams), 2)
        self.assertEqual(self.answer.count(b"200"), 2)

    def test_deadline_that_is_no_number(self):
        self.ask(extra="Snipebay-Timeout-Ms: soon\r\n")
        self.assertTrue(self.answer.startswith(b"HTTP/1.1 400"))
        self.assertEqual(self.hub.streams, [])


class TestBadAnswers(ForwarderCase):
    def test_answer_that_breaks_off_is_asked_for_again(self):
        self.ask()
        first = self.backend()
        first.on_data(ANSWER[:-1])
        first.abort()
        self.assertEqual(self.answer, b"")
        self.backend(1).on_data(ANSWER)
        self.assertTrue(self.answer.endswith(b"hi"))

    def test_answer_to_another_request_is_not_relayed(self):
        self.ask()
        self.backend().on_data(ANSWER.replace(b"Id: 7", b"Id: 8"))
        self.assertEqual(self.answer, b"")
        self.assertFalse(self.hub.streams[0].is_open)
        self.backend(1).on_data(ANSWER)
        self.assertEqual(self.answer.count(b"200"), 1)

    def test_bytes_behind_an_answer_end_the_connection(self):
        self.ask()
        self.backend().on_data(ANSWER + ANSWER)
        self.assertEqual(self.answer.count(b"200"), 1)
        self.assertFalse(self.hub.streams[0].is_open)

    def test_answer_without_length_that_is_reset_is_not_whole(self):
        self.ask("/u/x", "POST", "Content-Length: 0\r\n")
        stream = self.backend()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nhi")
        stream.was_reset = True
        stream.abort()
        self.assertTrue(self.answer.startswith(b"HTTP/1.1 502"))

    def test_answer_without_length_that_ends_is_whole(self):
        self.ask()
        stream = self.backend()
        stream.on_data(b"HTTP/1.1 200 OK\r\nId: 7\r\n\r\nhi")
        stream.abort()
        self.assertIn(b"200", self.answer)
        self.assertIn(b"hi", self.answer)

    def test_long_answer_is_streamed_and_cut_visibly(self):
        self.ask()
        size = HELD_ANSWER_BYTES * 2
        head = f"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: {size}\r\n\r\n".encode()
        stream = self.backend()
        stream.on_data(head + b"x" * (HELD_ANSWER_BYTES + 1))
        self.assertIn(b"200", self.answer)
        stream.abort()
        self.assertFalse(self.caller.is_open)
        self.assertEqual(len(self.hub.streams), 1)

    def test_refusal_by_a_backend_server_goes_on_to_the_next(self):
        self.ask("/u/x", "POST", "Content-Length: 0\r\n")
        refusal = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        self.backend().on_data(refusal)
        self.backend(1).on_data(ANSWER)
        self.assertIn(b"200", self.answer)

    def test_load_is_learned(self):
        self.ask()
        self.backend().on_data(ANSWER.replace(b"Signed: yes", b"Load: 3,1,4"))
        loads = [m.others for m in self.core.fleet.members.values()]
        self.assertGreater(max(loads), 2)


class TestCallers(ForwarderCase):
    def test_pipelined_requests_run_side_by_side_and_answer_in_order(self):
        self.ask(extra="Cookie: a=1\r\n")
        self.ask("/a/second")
        self.assertEqual(len(self.hub.streams), 2)
        self.backend(1).on_data(ANSWER.replace(b"hi", b"22"))
        self.assertEqual(self.answer, b"")
        self.backend(0).on_data(ANSWER.replace(b"hi", b"11"))
        self.assertLess(self.answer.index(b"11"), self.answer.index(b"22"))

    def test_unsafe_request_waits_for_the_one_before_it(self):
        self.ask()
        self.ask("/u/x", "POST", "Content-Length: 0\r\n")
        self.assertEqual(len(self.hub.streams), 1)
        self.backend(0).on_data(ANSWER)
        self.assertIn(b"POST /u/x", bytes(self.backend().sent))

    def test_caller_that_leaves_cancels(self):
        self.ask()
        self.backend()
        self.caller.abort()
        self.assertFalse(self.hub.streams[0].is_open)
        self.assertTrue(self.forwarder.is_idle)


if __name__ == "__main__":
    unittest.main()
