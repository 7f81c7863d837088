"""Tests of quotas at the HTTP adapter, on fake streams."""

from snipebay_model.credits import CreditReply
from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_model.workspace import Workspace, key_digest
from snipebay_testbed.forwarder_case import ForwarderCase


class TestQuotaAnswers(ForwarderCase):
    def setUp(self):
        super().setUp()
        workspace = Workspace("w", (key_digest(b"k"),), rate_per_s=1.0, burst=1.0)
        route = Route("r", "a.example", "/a/", True, 2.0, 0.8, 1, (("s", 1.0),), 2)
        plan = Plan(2, (route,), (RoutedService("s"),), workspaces=(workspace,))
        peer = EntryRow("e1", "x", "10.9.0.2:80", "10.9.0.2:7", "a", "a-1")
        delta = ViewDelta(1, 2, plan=plan, entries=(peer,))
        self.core.receive(
            "c1", RenewReply("c1", True, quorum_revision=2, delta=delta), 0.0
        )
        self.key = f"{self.forwarder.header_names.credential.decode()}: k\r\n"

    def test_denied_caller_gets_429_with_the_time_to_return(self):
        self.send_request(extra=self.key)
        self.core.receive("c1", CreditReply(1, "w", 0, 900), 0.0)
        self.run_actions()
        self.assertTrue(self.response.startswith(b"HTTP/1.1 429"))
        self.assertIn(b"retry-after: ", self.response.lower())
        self.assertIn(b"snipebay-outcome: not-run", self.response.lower())
        self.assertEqual(self.hub.streams, [])

    def test_hop_header_exempts_only_at_the_address_of_an_instance(self):
        """Guards against callers that evade their quota."""
        extra = self.key + "Snipebay-Hop: 0\r\n"
        self.caller.peer = "10.7.7.7:999"
        self.send_request(extra=extra)
        self.assertEqual(self.hub.streams, [])
        self.caller.peer = "10.9.0.2:999"
        self.send_request(extra=extra)
        self.assertEqual(len(self.hub.streams), 1)
