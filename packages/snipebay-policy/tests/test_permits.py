"""Tests of permits for backend servers with a rate limit."""

import unittest

import attrs
from snipebay_model.messages import PermitReply, PermitRequest, RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_policy.arrivals import Arrival
from snipebay_policy.permits import REPLY_TIMEOUT_S, UNSURE_SHARE
from snipebay_policy.reach import Reach
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Dispatch, Problem, Send

ROUTE = Route("r", "a.example", "/a/", True, 2.0, 0.8, 1, (("s", 1.0),), 2)
BACKEND = BackendRow("i1", "s", "10.0.1.1:80", "a", "a-1", 4, born_ms=1)
LIMIT_PER_S = 4.0


def entry(name):
    return EntryRow(name, "x", "10.0.0.1:80", name, "a", "a-1")


class PermitCase(unittest.TestCase):
    """One backend server with a limit, and three instances that may own it."""

    def setUp(self):
        self.now_s = 0.0
        self.cores = {name: self.core_of(name) for name in ("e0", "e1", "e2")}
        permits = self.cores["e0"].forward.queue.permits
        self.owner, self.deputy = permits.owners(BACKEND)
        (self.other,) = self.cores.keys() - {self.owner, self.deputy}

    def core_of(self, name):
        core = RoutedCore(RoutedConfig(entry(name)), ("c1",))
        entries = tuple(entry(n) for n in ("e0", "e1", "e2"))
        plan = Plan(1, (ROUTE,), (RoutedService("s"),))
        delta = ViewDelta(0, 1, True, plan=plan, backends=(BACKEND,), entries=entries)
        core.receive("c1", RenewReply("c1", True, quorum_revision=1, delta=delta), 0.0)
        core.rate_limits.record(BACKEND, LIMIT_PER_S, 0.0)
        core.pop_actions()
        return core

    def confirm_views(self):
        for core in self.cores.values():
            core.receive("c1", RenewReply("c1", True, quorum_revision=1), self.now_s)

    def ask(self, name, priority=1, tier=0):
        """Ask an instance for a permit, as another one, and return its reply."""
        core = self.cores[name]
        limit = core.rate_limits.get("i1").report(self.now_s)
        core.receive("x", PermitRequest(7, limit, priority, tier), self.now_s)
        (reply,) = [a.body for a in core.pop_actions() if a.target == "x"]
        return reply

    def granted(self, name, seconds, step_s=0.05, **values):
        """Return how many permits an instance grants in a time of constant demand."""
        count = 0
        for _ in range(round(seconds / step_s)):
            self.now_s += step_s
            self.confirm_views()
            count += self.ask(name, **values).granted
        return count

    def arrive(self, request_id=1):
        core = self.cores[self.other]
        arrival = Arrival(request_id, "a.example", "/a/", 2.0)
        core.forward.on_request(arrival, self.now_s)
        return core.pop_actions()

    def tick(self, seconds):
        self.now_s += seconds
        self.cores[self.other].tick(self.now_s)
        return self.cores[self.other].pop_actions()


class TestGranting(PermitCase):
    """An instance that is not the only one to grant must not grant the whole limit."""

    def test_bucket_of_a_new_owner_starts_empty(self):
        self.assertFalse(self.ask(self.owner).granted)

    def test_owner_grants_the_limit(self):
        self.assertAlmostEqual(
            self.granted(self.owner, 10.0), 10 * LIMIT_PER_S, delta=1
        )

    def test_deputy_grants_a_part(self):
        expected = 10 * LIMIT_PER_S * UNSURE_SHARE
        self.assertAlmostEqual(self.granted(self.deputy, 10.0), expected, delta=1)

    def test_owner_with_an_old_view_grants_a_part(self):
        self.now_s = 100.0
        self.ask(self.owner)
        self.now_s += 1 / (LIMIT_PER_S * UNSURE_SHARE) - 0.1
        self.assertFalse(self.ask(self.owner).granted)
        self.now_s += 0.1
        self.assertTrue(self.ask(self.owner).granted)

    def test_denial_tells_when_the_next_permit_is_due(self):
        self.assertAlmostEqual(self.ask(self.owner).due_ms, 1_000 / LIMIT_PER_S)

    def test_less_urgent_request_waits_after_a_denial_of_an_urgent_one(self):
        self.ask(self.owner, priority=0)
        self.now_s += 1 / LIMIT_PER_S
        self.assertFalse(self.ask(self.owner, priority=2).granted)
        self.assertTrue(self.ask(self.owner, priority=0).granted)

    def test_key_cached_elsewhere_gets_only_what_is_left_over(self):
        self.ask(self.owner)
        self.now_s += 1 / LIMIT_PER_S
        self.assertFalse(self.ask(self.owner, tier=2).granted)
        self.now_s += 2.0
        self.assertTrue(self.ask(self.owner, tier=2).granted)


class TestRemovedBackendServer(PermitCase):
    """The last response of a server that has left must not bring its limit back."""

    def test_owner_follows_the_failure_domain_of_a_new_incarnation(self):
        core = self.cores["e0"]
        far = attrs.evolve(entry("e9"), region="b", domain="b-1")
        moved = attrs.evolve(BACKEND, region="b", domain="b-1", born_ms=2)
        permits = core.forward.queue.permits
        for revision, delta in (
            (2, ViewDelta(1, 2, entries=(far,))),
            (3, ViewDelta(2, 3, backends=(moved,))),
        ):
            permits.owners(BACKEND)
            reply = RenewReply("c1", True, quorum_revision=revision, delta=delta)
            core.receive("c1", reply, 0.1)
        self.assertEqual(permits.owners(moved)[0], "e9")

    def test_limit_in_a_late_response_is_ignored(self):
        core = self.cores[self.other]
        delta = ViewDelta(1, 2, backends_gone=("i1",))
        core.receive("c1", RenewReply("c1", True, quorum_revision=2, delta=delta), 0.1)
        core.rate_limits.record(BACKEND, LIMIT_PER_S, 0.2)
        core.tick(0.5)
        self.assertEqual(list(core.rate_limits), [])


class TestAsking(PermitCase):
    """A request must not wait for an owner that is frozen or cut off."""

    def request_of(self, actions):
        (send,) = [a for a in actions if isinstance(a, Send)]
        return send.target, send.body

    def test_request_is_sent_after_the_permit(self):
        target, request = self.request_of(self.arrive())
        self.assertEqual(target, self.owner)
        core = self.cores[self.other]
        core.receive(target, PermitReply(request.permit_id, True), 0.01)
        (dispatch,) = core.pop_actions()
        self.assertIsInstance(dispatch, Dispatch)
        self.assertEqual(dispatch.reason["rate_limit"], LIMIT_PER_S)

    def test_denied_request_is_refused_at_once(self):
        target, request = self.request_of(self.arrive())
        core = self.cores[self.other]
        core.receive(target, PermitReply(request.permit_id, False, 900), 0.01)
        (problem,) = core.pop_actions()
        self.assertIsInstance(problem, Problem)
        self.assertEqual(problem.reason, "rate_limited")
        self.assertAlmostEqual(problem.retry_after_s, 0.9)
        (problem,) = self.arrive(2)
        self.assertEqual((problem.status, problem.outcome), (503, "not-run"))

    def test_deputy_is_asked_when_the_owner_does_not_reply(self):
        self.arrive()
        actions = [
            a
            for a in self.tick(REPLY_TIMEOUT_S)
            if isinstance(getattr(a, "body", None), PermitRequest)
        ]
        self.assertEqual([a.target for a in actions], [self.deputy])

    def test_granted_request_hops_when_the_reach_was_lost_meanwhile(self):
        target, request = self.request_of(self.arrive())
        core = self.cores[self.other]
        core.reach.state = Reach.ISOLATED
        core.receive(target, PermitReply(request.permit_id, True), 0.01)
        (dispatch,) = core.pop_actions()
        self.assertIn(dispatch.backend.backend_id, (self.owner, self.deputy))

    def test_late_reply_is_ignored(self):
        target, request = self.request_of(self.arrive())
        core = self.cores[self.other]
        core.forward.on_caller_disconnect(1, 0.0)
        core.receive(target, PermitReply(request.permit_id, True), 0.01)
        self.assertEqual(core.pop_actions(), [])
        self.assertTrue(core.is_idle)


if __name__ == "__main__":
    unittest.main()
