"""Base class of tests for requests on routes."""

import unittest

import attrs
from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_policy.arrivals import Arrival
from snipebay_policy.forward_rows import ForwardRules
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Dispatch, Send

__all__ = ["NON_IDEMPOTENT", "ROUTE", "RULES", "ForwardCase"]

ROUTE = Route("r", "a.example", "/a/", True, 2.0, 0.8, 1, (("s", 1.0),), 2)
NON_IDEMPOTENT = attrs.evolve(ROUTE, name="u", prefix="/u/", idempotent=False)
RULES = ForwardRules(retry_slack=10.0)


class ForwardCase(unittest.TestCase):
    backends = 2

    def setUp(self):
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row, forward=RULES), ("c1",))
        self.now_s = 0.0
        plan = Plan(1, (ROUTE, NON_IDEMPOTENT), (RoutedService("s"),))
        rows = tuple(
            BackendRow(f"i{n}", "s", f"10.0.1.{n}:80", "a", "a-1", 1)
            for n in range(self.backends)
        )
        self.apply_delta(
            ViewDelta(0, 1, whole=True, plan=plan, backends=rows, entries=(row,))
        )
        self.actions()

    def apply_delta(self, delta):
        reply = RenewReply(
            "c1", True, quorum_revision=delta.revision, delta=delta, controls=("c1",)
        )
        self.core.receive("c1", reply, self.now_s)

    def actions(self, *kinds):
        found = [a for a in self.core.pop_actions() if not isinstance(a, Send)]
        return [a for a in found if isinstance(a, kinds)] if kinds else found

    def arrive(self, request_id=1, path="/a/x", timeout_s=5.0):
        arrival = Arrival(request_id, "a.example", path, timeout_s)
        self.core.forward.on_request(arrival, self.now_s)
        return self.actions()

    def send(self, request_id=1, path="/a/x", timeout_s=5.0):
        """Admit a request, mark it as written, and return its dispatch."""
        (dispatch,) = self.arrive(request_id, path, timeout_s)
        self.assertIsInstance(dispatch, Dispatch)
        self.assertTrue(self.core.forward.may_write(dispatch.attempt_id, self.now_s))
        return dispatch

    def tick(self, seconds):
        self.now_s += seconds
        self.core.tick(self.now_s)
        return self.actions()
