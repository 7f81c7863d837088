"""Tests of quotas and of the recent use by workspace at one entry instance."""

from snipebay_model.credits import CreditPart, CreditReply, CreditRequest
from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, RoutedService
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_model.workspace import Workspace, key_digest
from snipebay_policy.arrivals import Arrival
from snipebay_policy.work import Dispatch, Send
from snipebay_policy.workspaces.fairness import MAX_WORKSPACES, WorkspaceUse
from snipebay_policy.workspaces.quota import MAX_REPORTS
from snipebay_policy.workspaces.quota_labels import MAX_LABELS
from snipebay_testbed.forward_case import NON_IDEMPOTENT, ROUTE, ForwardCase


class QuotaCase(ForwardCase):
    """Workspaces w with a limit of 10, and free without one, on 4 backend servers."""

    backends = 4

    def setUp(self):
        self.sent = []
        super().setUp()
        self.limit(10.0)
        self.core.commands.leader = "c1"

    def limit(self, rate, others=()):
        workspaces = (
            Workspace("w", (key_digest(b"w"),), rate_per_s=rate, burst=rate),
            Workspace("free", (key_digest(b"free"),)),
            *others,
        )
        services = (RoutedService("s"),)
        plan = Plan(2, (ROUTE, NON_IDEMPOTENT), services, workspaces=workspaces)
        revision = self.core.view.revision
        row = EntryRow("e1", "x", "10.0.0.2:80", "10.9.0.2:7", "a", "a-1")
        delta = ViewDelta(revision, revision + 1, plan=plan, entries=(row,))
        self.apply_delta(delta)
        self.actions()

    def actions(self, *kinds):
        found = self.core.pop_actions()
        self.sent += [a.body for a in found if isinstance(a, Send)]
        found = [a for a in found if not isinstance(a, Send)]
        return [a for a in found if isinstance(a, kinds)] if kinds else found

    def arrive(self, request_id=1, key=b"w", path="/a/x", **fields):
        arrival = Arrival(request_id, "a.example", path, 5.0, credential=key, **fields)
        self.core.forward.on_request(arrival, self.now_s)
        return self.actions()

    def set_part(self, per_s, burst, name="w"):
        """Give this instance a part, as the reply to a renewal that it sends now."""
        parts = (CreditPart(name, per_s, burst),)
        sent_ms = int(self.now_s * 1_000)
        revision = self.core.view.revision
        reply = RenewReply("c1", True, sent_ms, 3_000, 0, revision, credit_parts=parts)
        self.core.receive("c1", reply, self.now_s)

    def asked(self):
        """Return the requests for credit since the last call."""
        found = [body for body in self.sent if isinstance(body, CreditRequest)]
        self.sent.clear()
        return found

    def reply(self, ask, granted, due_ms=0, *, is_known=True):
        msg = CreditReply(ask.request_id, "w", granted, due_ms, is_known)
        self.core.receive("c1", msg, self.now_s)
        return self.actions()


class TestCredit(QuotaCase):
    def start_part(self, burst=2.0):
        """Let this instance hold a full part."""
        self.now_s = 1.0
        self.arrive(100)
        (ask,) = self.asked()
        self.reply(ask, 0, due_ms=1)
        self.set_part(4.0, burst)
        self.now_s = 2.0

    def test_requests_without_credit_wait_for_one_reply(self):
        """Guards against a message to the leader for each request."""
        self.assertEqual(self.arrive(1) + self.arrive(2) + self.arrive(3), [])
        (ask,) = self.asked()
        self.now_s = 0.1
        (dispatch,) = self.reply(ask, 1)
        self.assertEqual((dispatch.request_id, dispatch.workspace), (1, "w"))
        (ask,) = self.asked()
        self.assertEqual(ask.count, 2)
        problems = self.reply(ask, 0, due_ms=700)
        self.assertEqual([p.status for p in problems], [429, 429])
        self.assertEqual([p.reason for p in problems], ["over_quota"] * 2)
        delays = [p.retry_after_s for p in problems]
        self.assertGreaterEqual(min(delays), 0.7)
        self.assertNotEqual(*delays)

    def test_denial_holds_until_credit_is_due(self):
        self.arrive(1)
        self.reply(self.asked()[0], 0, due_ms=700)
        self.now_s = 0.6
        self.assertEqual([p.status for p in self.arrive(2)], [429])
        self.assertEqual(self.asked(), [])
        self.now_s = 0.71
        self.assertEqual(self.arrive(3), [])
        self.assertEqual(len(self.asked()), 1)
        events = [event for event, subject, _ in self.core.pop_events()]
        self.assertEqual(events.count("workspace over its limit"), 1)
        self.now_s = 5.7
        self.tick(0.1)
        events = [event for event, subject, _ in self.core.pop_events()]
        self.assertEqual(events.count("workspace within its limit"), 1)

    def test_lost_leader_gives_503(self):
        self.arrive(1)
        self.assertEqual(self.tick(0.29), [])
        (problem,) = self.tick(0.02)
        self.assertEqual((problem.status, problem.reason), (503, "quota_unknown"))
        (ask, *_) = self.asked()
        self.assertEqual(self.reply(ask, 1), [])

    def test_leader_that_does_not_know_gives_no_429(self):
        self.arrive(1)
        self.reply(self.asked()[0], 0, due_ms=200, is_known=False)
        self.assertEqual(self.asked(), [])
        self.tick(0.21)
        self.assertEqual(len(self.asked()), 1)
        (problem,) = self.tick(0.1)
        self.assertEqual(problem.reason, "quota_unknown")

    def test_part_admits_its_burst_and_ends_after_4_s(self):
        self.start_part()
        found = self.arrive(1) + self.arrive(2) + self.arrive(3)
        self.assertEqual([a.request_id for a in found], [1, 2])
        self.now_s = 5.01
        self.assertEqual(self.arrive(4), [])

    def test_lower_limit_scales_a_part_at_once(self):
        self.start_part(burst=4.0)
        self.limit(5.0)
        found = self.arrive(1) + self.arrive(2) + self.arrive(3)
        self.assertEqual([a.request_id for a in found], [1, 2])

    def test_reply_that_was_overtaken_is_ignored(self):
        """Guards against a part that the leader takes for given up."""
        self.start_part()
        quota = self.core.forward.quota
        quota.apply_parts((CreditPart("w", 8.0, 4.0),), 900, self.now_s)
        self.assertEqual(quota.reports("c1", self.now_s)[0].per_s, 4.0)

    def test_refused_request_gives_its_credit_back(self):
        """Guards against a quota that is used up by requests that never ran."""
        self.start_part(burst=20.0)
        self.now_s = 4.5
        found = [a for request_id in range(14) for a in self.arrive(request_id)]
        dispatched = len(found)
        problems = self.tick(0.11)
        self.assertEqual({p.reason for p in problems}, {"no_room"})
        self.assertEqual(dispatched + len(problems), 14)
        held = self.core.forward.quota.credit_held(self.now_s)["w"]
        # What was earned in 3.61 s, less what runs.
        self.assertAlmostEqual(held, 4.0 * 3.61 - dispatched)

    def test_request_refused_by_backend_servers_gives_its_credit_back(self):
        self.start_part()
        found = self.arrive(1)
        self.arrive(2)
        while found and isinstance(found[0], Dispatch):
            self.core.forward.on_rejection(found[0].attempt_id, "full", self.now_s)
            found = self.actions()
        self.assertEqual(found[0].status, 503)
        self.assertEqual(self.core.forward.quota.credit_held(self.now_s), {"w": 1.0})

    def test_caller_that_leaves_gives_its_credit_back(self):
        self.arrive(1)
        self.core.forward.on_caller_disconnect(1, self.now_s)
        self.assertEqual(self.reply(self.asked()[0], 1), [])
        self.assertEqual([a.request_id for a in self.arrive(2)], [2])
        self.assertTrue(self.core.forward.rows)

    def test_unlimited_workspace_asks_for_nothing(self):
        (dispatch,) = self.arrive(1, key=b"free")
        self.assertIsInstance(dispatch, Dispatch)
        self.assertEqual(self.asked(), [])
        self.assertEqual(self.core.forward.quota.reports("c1", 9.0), ())

    def test_lifted_limit_admits_what_waits(self):
        self.arrive(1)
        self.limit(0.0)
        self.assertIsNotNone(self.core.forward.rows[1].attempt)

    def test_only_an_entry_instance_exempts_by_a_hop(self):
        """Guards against callers that send the header of a hop themselves."""
        hop = {"attempts_before_hop": 0}
        self.assertEqual(self.arrive(1, peer_host="10.7.7.7", **hop), [])
        self.assertEqual(len(self.asked()), 1)
        (dispatch,) = self.arrive(2, peer_host="10.9.0.2", **hop)
        self.assertEqual(dispatch.request_id, 2)

    def test_reports_and_labels_are_bounded(self):
        names = [f"w{n}" for n in range(100)]
        rows = [Workspace(n, (key_digest(n.encode()),), None, 9.0, 9.0) for n in names]
        self.limit(10.0, rows)
        for number, name in enumerate(names):
            for count in range(1 + (number >= 90)):
                self.arrive(1_000 * count + number, name.encode())
        quota = self.core.forward.quota
        reports = quota.reports("c1", self.now_s)
        self.assertEqual(len(reports), MAX_REPORTS)
        self.assertEqual({r.workspace for r in reports[:10]}, set(names[90:]))
        self.assertLessEqual(len(quota.credit_held(self.now_s)), MAX_LABELS + 1)


class TestWorkspaceUse(QuotaCase):
    def test_dispatched_requests_count_and_decay(self):
        self.arrive(1, key=b"free")
        self.arrive(2)
        recent = self.core.workspace_use.recent
        self.assertEqual([recent(n, 0.0) for n in ("free", "w", None)], [1.0, 0.0, 0.0])
        self.reply(self.asked()[0], 1)
        self.assertEqual(recent("w", 0.0), 1.0)
        self.assertLess(recent("w", 10.0), 0.4)

    def test_number_is_bounded(self):
        use = WorkspaceUse()
        for number in range(2 * MAX_WORKSPACES):
            use.record(f"w{number}", 0.0)
            use.record("busy", 0.0)
        self.assertLessEqual(len(use._counts), MAX_WORKSPACES)
        self.assertGreater(use.recent("busy", 0.0), MAX_WORKSPACES)
