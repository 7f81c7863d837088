"""Tests that keys of workspaces stay at the entry instances, on fake streams."""

import io
import unittest

import attrs
import structlog
from snipebay_model.messages import RenewReply
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_model.workspace import Workspace, key_digest
from snipebay_policy.reach import Reach
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase

KEY = "key-3f9a"
EXTRA = f"Snipebay-Key: {KEY}\r\nSnipebay-Workspace: forged\r\nOther: z\r\n"


class WorkspaceHeaderCase(ForwarderCase):
    def setUp(self):
        super().setUp()
        self.plan = self.core.view.plan
        self.apply_workspaces(Workspace("w", (key_digest(KEY.encode()),)))

    def apply_workspaces(self, *workspaces):
        public = attrs.evolve(
            self.plan.routes[0], name="p", prefix="/p/", is_public=True
        )
        base = self.core.view.revision
        plan = attrs.evolve(
            self.plan,
            version=base + 1,
            routes=(*self.plan.routes, public),
            workspaces=workspaces,
        )
        rows = tuple(
            EntryRow(f"e{n}", "x", f"10.0.0.{n + 1}:80", f"e{n}", "a", "a-1")
            for n in range(2)
        )
        delta = ViewDelta(base, base + 1, entries=rows, plan=plan)
        reply = RenewReply("c1", True, quorum_revision=base + 1, delta=delta)
        self.core.receive("c1", reply, 0.0)

    def sent(self):
        """Return the header lines of the newest request to a server, in lower case."""
        head = bytes(self.backend_stream().sent).lower().partition(b"\r\n\r\n")[0]
        return head.split(b"\r\n")

    def headers(self, name):
        return [line for line in self.sent() if line.startswith(name + b":")]


class TestWorkspaceHeaders(WorkspaceHeaderCase):
    def test_backend_server_gets_the_name_once_and_no_key(self):
        self.send_request(extra=EXTRA)
        self.assertEqual(
            self.headers(b"snipebay-workspace"), [b"snipebay-workspace: w"]
        )
        self.assertNotIn(KEY.encode(), bytes(self.backend_stream().sent))
        self.assertIn(b"other: z", self.sent())

    def test_public_route_passes_neither(self):
        self.send_request("/p/x", extra=EXTRA)
        self.assertEqual(self.headers(b"snipebay-workspace"), [])
        self.assertNotIn(KEY.encode(), bytes(self.backend_stream().sent))

    def test_hop_passes_the_key_and_no_name_and_the_next_instance_sets_it(self):
        self.core.reach.state = Reach.ISOLATED
        self.send_request(extra=EXTRA)
        self.assertEqual(self.headers(b"snipebay-workspace"), [])
        self.assertEqual(
            self.headers(b"snipebay-key"), [b"snipebay-key: " + KEY.encode()]
        )
        hopped = bytes(self.backend_stream().sent)
        self.core.reach.state = Reach.REACHED
        self.backend_stream().on_data(RESPONSE)
        self.caller.on_data(hopped)
        self.assertEqual(
            self.headers(b"snipebay-workspace"), [b"snipebay-workspace: w"]
        )
        self.assertEqual(self.headers(b"snipebay-key"), [])

    def test_key_that_stands_twice_is_unknown(self):
        self.send_request(extra=EXTRA + EXTRA)
        self.assertTrue(self.response.startswith(b"HTTP/1.1 401"))

    def test_without_workspaces_all_headers_pass(self):
        self.apply_workspaces()
        self.send_request(extra=EXTRA)
        self.assertEqual(
            self.headers(b"snipebay-workspace"), [b"snipebay-workspace: forged"]
        )
        self.assertEqual(len(self.headers(b"snipebay-key")), 1)


class TestSecrecy(WorkspaceHeaderCase):
    """A key must not show in a log line, a metric or a problem document."""

    def test_outcomes_of_all_kinds(self):
        lines = io.StringIO()
        wrapper = structlog.stdlib.BoundLogger
        logger = structlog.wrap_logger(
            structlog.PrintLogger(lines), wrapper_class=wrapper
        )
        self.forwarder._log._log = logger
        # Not in its place, not known, and in lines that the parser can't read.
        self.send_request(extra=EXTRA)
        self.backend_stream().abort()
        self.now_s = 3.0
        self.core.tick(self.now_s)
        self.run_actions()
        self.send_request(extra=EXTRA.replace(KEY, KEY + "x"))
        self.send_request(extra=f"Snipebay-Timeout-Ms: soon\r\n{EXTRA}")
        self.send_request(extra=f"Snipebay-Key : {KEY}\r\n")
        for status in (b"HTTP/1.1 401", b"HTTP/1.1 400"):
            self.assertIn(status, self.response)
        self.assertIn("belongs to no workspace", lines.getvalue())
        texts = (
            self.response.decode(),
            lines.getvalue(),
            str(self.forwarder.metrics.text()),
        )
        self.assertEqual([text for text in texts if KEY in text], [])


if __name__ == "__main__":
    unittest.main()
