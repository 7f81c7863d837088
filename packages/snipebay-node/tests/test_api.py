"""Tests for the HTTP API and the operator commands that use it."""

import json
import unittest
from unittest import mock

from returns.result import Success
from snipebay_cli.__main__ import app
from snipebay_cli.client import OperatorClient
from snipebay_cli.common import EXIT_MISSING
from snipebay_cli.settings_edit import with_shift
from snipebay_model.messages import CommandReply, CommandRequest, Outcome, RenewReply
from snipebay_model.settings import parse_settings
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_node.api import Api
from snipebay_node.http_server import HttpServer
from snipebay_policy.context import EntryConfig
from snipebay_policy.entry import EntryCore
from snipebay_testbed.fake_stream import FakeStream

SETTINGS = """\
# kept
regions: {a: {domains: [x]}, b: {domains: [y]}}
services: {s: {rules: {deadline_ms: 900}}}
"""


class FakeNode:
    """A node without network, storage and clock."""

    def __init__(self):
        row = EntryRow("e1", "run", "127.0.0.1:1", "127.0.0.1:2", "a", "x")
        self.entry = EntryCore(EntryConfig(row), ("c1",))
        reply = RenewReply(
            "c1", True, 0, 3_000, 1, 1, ViewDelta(0, 1, True, SETTINGS, 1)
        )
        self.entry.receive("c1", reply, 0.0)
        self.entry.pop_actions()

    def clock(self):
        return 0.0

    def run_actions(self):
        pass


class ApiCase(unittest.TestCase):
    def setUp(self):
        self.node = FakeNode()
        self.token = ""
        self.stream = FakeStream()

    def call(self, method, path, document=None, headers=""):
        body = json.dumps(document).encode() if document is not None else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: a\r\n{headers}"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        server = HttpServer(Api(self.node, self.token), self.node.clock)
        server.accept(self.stream)
        self.stream.on_data(head.encode() + body)

    def parse_response(self):
        head, _, body = bytes(self.stream.sent).partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body)


class TestAnnouncements(ApiCase):
    VALID = {"service": "s", "address": "127.0.0.1:9", "domain": "x", "slots": 2}

    def test_new_backend_server_is_joining(self):
        self.call("PUT", "/v1/backends/b1", self.VALID)
        status, document = self.parse_response()
        self.assertEqual((status, document["state"]), (200, "joining"))

    def test_invalid_fields_are_named_in_the_response(self):
        for change, text in (
            ({"slots": 0}, "'slots' must be >= 1: 0"),
            ({"slots": "2"}, "slots: expected int, got '2'"),
            ({"address": "host:1"}, "address: expected an IP number"),
            ({"service": "z"}, "unknown service 'z'"),
            ({"domain": "z"}, "unknown failure domain 'z'"),
            ({"colour": 1}, "colour"),
        ):
            with self.subTest(change=change):
                self.stream = FakeStream()
                self.call("PUT", "/v1/backends/b1", self.VALID | change)
                status, document = self.parse_response()
                self.assertEqual(status, 422)
                self.assertIn(text, document["detail"])


class TestOperators(ApiCase):
    CHANGE = {"change_id": "c", "base_revision": 1, "author": "a", "text": SETTINGS}

    def reply(self, outcome):
        """Deliver a reply from control to the command that was sent."""
        (request,) = [
            action.body
            for action in self.node.entry.pop_actions()
            if isinstance(action.body, CommandRequest)
        ]
        reply = CommandReply(request.request_id, outcome, "c1")
        self.node.entry.receive("c1", reply, 0.0)

    def test_conflict_response_names_the_conflicting_change(self):
        self.call("POST", "/v1/settings", self.CHANGE)
        self.reply(Outcome("conflict", 7, "made by 'eva' with change 'x'"))
        status, document = self.parse_response()
        self.assertEqual((status, document["code"]), (409, "conflict"))
        self.assertIn("'eva'", document["detail"])

    def test_response_to_an_accepted_change_has_its_revision(self):
        self.call("POST", "/v1/settings", self.CHANGE)
        self.reply(Outcome("ok", 8))
        self.assertEqual(self.parse_response()[1]["revision"], 8)

    def test_operator_token_is_required(self):
        self.token = "secret"
        self.call("POST", "/v1/settings", self.CHANGE)
        self.assertEqual(self.parse_response()[0], 401)
        self.stream = FakeStream()
        header = "Authorization: Bearer secret\r\n"
        self.call("POST", "/v1/settings", self.CHANGE, header)
        self.reply(Outcome("ok", 8))
        self.assertEqual(self.parse_response()[0], 200)


class TestCommandsWithoutSettings(unittest.TestCase):
    def test_commands_exit_with_missing(self):
        nothing = mock.Mock(return_value=Success([]))
        with mock.patch.object(OperatorClient, "settings", nothing):
            for words in (["get"], ["explain", "s"], ["shift", "s", "a", "b", "0.1"]):
                with self.subTest(words=words):
                    code = app(words, result_action="return_value")
                    self.assertEqual(code, EXIT_MISSING)


class TestShiftCommand(unittest.TestCase):
    def test_shift_is_added_changed_and_removed(self):
        added = with_shift(SETTINGS, "s", "a", "b", 0.2)
        self.assertIn("# kept", added)
        self.assertEqual(parse_settings(added).unwrap().shifts[0].share, 0.2)
        changed = with_shift(added, "s", "a", "b", 0.1)
        found = [shift.share for shift in parse_settings(changed).unwrap().shifts]
        self.assertEqual(found, [0.1])
        removed = with_shift(changed, "s", "a", "b", 0)
        self.assertEqual(parse_settings(removed).unwrap().shifts, ())


if __name__ == "__main__":
    unittest.main()
