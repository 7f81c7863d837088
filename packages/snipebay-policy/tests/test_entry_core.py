"""Tests of the entry instance core, without a network."""

import unittest

import attrs
from snipebay_model.messages import (
    LoanReply,
    LoanRequest,
    Outcome,
    PeerBeat,
    RenewReply,
)
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_policy.context import EntryConfig
from snipebay_policy.entry import EntryCore
from snipebay_policy.lookup import BlockTable
from snipebay_policy.slots import BUSY, FREE, LENT
from snipebay_policy.work import Dispatch, Problem, Replay, RequestInfo, Send

SETTINGS = """
regions: {a: {domains: [x, y]}, b: {domains: [z]}}
blocks:
  - {network: 10.0.0.0/8, domain: x}
  - {network: 10.1.0.0/16, domain: z}
services:
  read: {rules: {deadline_ms: 1000, retries: 1, eject_failures: 2, slow_start_s: 0}}
  write: {rules: {deadline_ms: 1000, idempotent: false}}
"""


def entry_row(entry_id, region="a", domain="x"):
    return EntryRow(entry_id, "run", f"127.0.0.1:1{entry_id[1:]}", "", region, domain)


def backend_row(number, service="read", slots=2, **changes):
    row = BackendRow(f"{service}-{number}", service, "127.0.0.1:9", "a", "x", slots)
    return attrs.evolve(row, **changes)


class EntryCase(unittest.TestCase):
    """Base case: one entry instance that owns all slots of its region."""

    def setUp(self):
        self.now_s = 100.0
        self.core = EntryCore(EntryConfig(entry_row("e1")), ("c1",), 7)
        self.backends = [backend_row(1), backend_row(2), backend_row(1, "write")]
        self.entries = [entry_row("e1")]
        self.revision = 0
        self.renew()
        self.advance(2.0)

    def renew(self, granted=True):
        self.revision += 1
        delta = ViewDelta(
            0,
            self.revision,
            True,
            SETTINGS,
            1,
            tuple(self.backends),
            (),
            tuple(self.entries),
        )
        sent_ms = int(self.now_s * 1_000)
        reply = RenewReply("c1", granted, sent_ms, 3_000, self.revision, self.revision)
        reply = attrs.evolve(reply, delta=delta)
        self.core.receive("c1", reply, self.now_s)
        self.core.pop_actions()

    def advance(self, seconds, renew=True):
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self.now_s += 0.1
            if renew:
                self.core.ctx.lease_state.renew(int(self.now_s * 1_000), 3_000)
            self.core.tick(self.now_s)

    def arrive(self, request_id=1, service="read", key=""):
        info = RequestInfo(service, None, key, "digest")
        self.core.requests.on_request(request_id, info, self.now_s)
        return self.actions()

    def actions(self, kind=None):
        found = [a for a in self.core.pop_actions() if not isinstance(a, Send)]
        return [a for a in found if kind is None or isinstance(a, kind)]

    def grant(self, request_id, code="ok", **values):
        outcome = Outcome(code, **values)
        self.core.requests.on_claim_outcome(request_id, outcome, self.now_s)
        return self.actions()


class TestRequests(EntryCase):
    def test_read_is_retried_on_another_backend_server(self):
        (first,) = self.arrive()
        self.assertIsInstance(first, Dispatch)
        self.assertTrue(self.core.requests.may_write(first.attempt_id, self.now_s))
        self.core.requests.on_failure(first.attempt_id, self.now_s, "closed")
        (second,) = self.actions()
        self.assertNotEqual(first.backend, second.backend)

    def test_backend_server_that_says_it_is_leaving_gets_no_more_requests(self):
        """Guards against requests that are lost when their backend server ends."""
        (first,) = self.arrive()
        self.core.requests.on_leaving(first.attempt_id)
        targets = {a.backend for n in range(2, 8) for a in self.arrive(n)}
        self.assertEqual(len(targets), 1)
        self.assertNotIn(first.backend, targets)

    def test_write_waits_for_its_claim(self):
        self.assertEqual(self.arrive(service="write", key="k"), [])
        (dispatch,) = self.grant(1)
        self.assertEqual(dispatch.backend.service, "write")

    def test_write_without_a_key_is_refused(self):
        (problem,) = self.arrive(service="write")
        self.assertEqual((problem.status, problem.outcome), (428, "not-run"))

    def test_write_is_not_retried_after_a_byte_was_written(self):
        self.arrive(service="write", key="k")
        (dispatch,) = self.grant(1)
        self.core.requests.may_write(dispatch.attempt_id, self.now_s)
        self.core.requests.on_failure(dispatch.attempt_id, self.now_s, "closed")
        (problem,) = self.actions()
        self.assertEqual(problem.outcome, "unknown")

    def test_suspended_process_does_not_write_past_the_deadline(self):
        self.arrive(service="write", key="k")
        (dispatch,) = self.grant(1)
        self.now_s += 5
        may_write = self.core.requests.may_write(dispatch.attempt_id, self.now_s)
        self.assertFalse(may_write)

    def test_not_run_is_reported_only_after_control_recorded_it(self):
        self.arrive(service="write", key="k")
        self.advance(1.2)
        self.assertEqual(self.actions(), [])
        self.core.requests.on_abort_outcome(1, Outcome("ok"), self.now_s)
        (problem,) = self.actions()
        self.assertEqual(problem.outcome, "not-run")

    def test_missing_abort_reply_is_reported_as_unknown(self):
        self.arrive(service="write", key="k")
        self.advance(3.0)
        (problem,) = self.actions()
        self.assertEqual((problem.status, problem.outcome), (503, "unknown"))

    def test_known_key_is_replayed(self):
        self.arrive(service="write", key="k")
        (replay,) = self.grant(1, "replay", status=201, answer=b"label")
        self.assertIsInstance(replay, Replay)
        self.assertEqual((replay.status, replay.answer), (201, b"label"))

    def test_key_of_another_request_is_refused(self):
        self.arrive(service="write", key="k")
        (problem,) = self.grant(1, "mismatch")
        self.assertEqual(problem.status, 422)

    def test_key_at_an_instance_without_settings_is_not_reported_as_not_run(self):
        (problem,) = self.arrive(service="unheard", key="k")
        self.assertEqual(problem.outcome, "unknown")

    def test_queue_is_bounded_by_deadline(self):
        for number in range(1, 6):
            for dispatch in self.arrive(number):
                self.core.requests.may_write(dispatch.attempt_id, self.now_s)
        self.advance(1.2)
        timed_out = [a for a in self.actions(Problem) if a.outcome == "not-run"]
        self.assertEqual([problem.request_id for problem in timed_out], [5])

    def test_slot_of_a_cancelled_request_cools_down(self):
        (dispatch,) = self.arrive()
        self.core.requests.may_write(dispatch.attempt_id, self.now_s)
        self.core.requests.on_caller_disconnect(1, self.now_s)
        self.assertEqual(self.core.ctx.slots.count("read", FREE), 3)
        self.advance(0.2)
        self.assertEqual(self.core.ctx.slots.count("read", FREE), 4)


class TestLeaseState(EntryCase):
    def test_expired_lease_stops_dispatch_unless_peers_confirm_the_revision(self):
        self.entries.append(entry_row("e2"))
        self.renew()
        self.advance(4.0, renew=False)
        self.assertFalse(self.core.ctx.may_serve(self.now_s))
        heartbeat = PeerBeat("e2", "run", self.revision, 1, int(self.now_s * 1_000))
        self.core.receive("e2", heartbeat, self.now_s)
        self.assertTrue(self.core.ctx.may_serve(self.now_s))
        newer = attrs.evolve(heartbeat, revision=self.revision + 1, sent_ms=2)
        self.core.receive("e2", newer, self.now_s)
        self.assertFalse(self.core.ctx.may_serve(self.now_s))

    def test_delayed_heartbeat_with_an_old_echo_confirms_nothing(self):
        self.entries.append(entry_row("e2"))
        self.renew()
        self.advance(4.0, renew=False)
        echo_ms = int((self.now_s - 2) * 1_000)
        heartbeat = PeerBeat("e2", "run", self.revision, 1, echo_ms)
        self.core.receive("e2", heartbeat, self.now_s)
        self.assertFalse(self.core.ctx.may_serve(self.now_s))

    def test_older_heartbeat_that_comes_late_is_ignored(self):
        self.entries.append(entry_row("e2"))
        self.renew()
        self.advance(4.0, renew=False)
        now_ms = int(self.now_s * 1_000)
        older = PeerBeat("e2", "run", self.revision, 5, now_ms)
        newer = attrs.evolve(older, revision=self.revision + 1, sent_ms=6)
        for heartbeat in (newer, older):
            self.core.receive("e2", heartbeat, self.now_s)
        self.assertFalse(self.core.ctx.may_serve(self.now_s))
        restarted = PeerBeat("e2", "other run", self.revision, 1, now_ms)
        self.core.receive("e2", restarted, self.now_s)
        self.assertTrue(self.core.ctx.may_serve(self.now_s))


class TestLinkLimit(EntryCase):
    def test_part_of_a_link_follows_the_number_of_instances(self):
        alone = self.core.ctx.link("b").bytes_per_s
        self.entries += [entry_row("e2"), entry_row("e3"), entry_row("e4")]
        self.renew()
        self.assertAlmostEqual(self.core.ctx.link("b").bytes_per_s, alone / 4)


class TestAnnouncements(EntryCase):
    def test_unknown_service_and_failure_domain_are_named_in_the_error(self):
        announce = self.core.announcements.announce
        for row, text in (
            (backend_row(9, "wrote"), "unknown service 'wrote'"),
            (backend_row(9, domain="q"), "unknown failure domain 'q'"),
            (backend_row(9, region="b"), "stands in 'a', not in 'b'"),
        ):
            with self.assertRaisesRegex(ValueError, text):
                announce(row, self.now_s)

    def test_renewal_is_reported_once_to_control(self):
        response = self.core.announcements.announce(self.backends[0], self.now_s)
        self.assertEqual(response.state, "serving")
        self.assertEqual(self.core.announcements.pop_renewed(), ("read-1",))
        self.assertEqual(self.core.announcements.pop_renewed(), ())


class TestDrainingBackend(EntryCase):
    def test_drain_reported_by_a_peer_stops_dispatch_at_once(self):
        heartbeat = PeerBeat("e2", "run", self.revision, 1, leaving=("read-1",))
        self.core.receive("e2", heartbeat, self.now_s)
        dispatches = [self.arrive(number) for number in (1, 2, 3)]
        ids = [a.backend.backend_id for found in dispatches for a in found]
        self.assertEqual(ids, ["read-2", "read-2"])

    def test_newer_row_clears_an_old_drain_mark(self):
        self.core.ctx.leaving["read-1"] = self.revision
        self.backends[0] = backend_row(1, since_revision=self.revision + 1)
        self.renew()
        self.assertTrue(self.core.ctx.is_open("read-1"))


class TestLoans(EntryCase):
    def setUp(self):
        super().setUp()
        self.entries.append(entry_row("e2", "b", "z"))
        self.renew()
        self.advance(2.0)
        self.core.pop_actions()

    def request_loan(self, count=1, loan_id=1):
        sent_ms = int(self.now_s * 1_000)
        request = LoanRequest(loan_id, "read", "a", count, sent_ms)
        self.core.receive("e2", request, self.now_s)
        (send,) = [a for a in self.core.pop_actions() if isinstance(a.body, LoanReply)]
        return send.body

    def test_headroom_is_not_lent_to_another_region(self):
        self.assertEqual(len(self.request_loan(10).slots), 3)

    def test_lent_slots_are_freed_only_after_lease_and_deadline(self):
        self.request_loan(2)
        self.advance(1.5)
        self.assertEqual(self.core.ctx.slots.count("read", LENT), 2)
        self.advance(1.0)
        self.assertEqual(self.core.ctx.slots.count("read", LENT), 0)

    def test_return_of_an_older_loan_changes_nothing(self):
        reply = self.request_loan(1, loan_id=1)
        slot = next(iter(self.core.ctx.slots.holdings))
        self.core.ctx.slots.reclaim_lent(slot, "e2", 99, self.now_s)
        self.assertEqual(self.core.ctx.slots.count("read", LENT), 1)
        self.assertEqual(len(reply.slots), 1)

    def test_duplicate_loan_reply_returns_no_slots(self):
        self.entries[1] = entry_row("e2")
        self.renew()
        loans, now_s = self.core.loans, self.now_s
        heartbeat = PeerBeat("e2", "run", self.revision, 5, int(now_s * 1_000))
        self.core.receive("e2", heartbeat, now_s)
        loans.request_slots("read", "a", 1, now_s)
        (request,) = [
            a.body
            for a in self.core.pop_actions()
            if isinstance(a, Send) and isinstance(a.body, LoanRequest)
        ]
        owned = {h.slot for h in self.core.ctx.slots.holdings.values()}
        foreign = next(
            (b, n)
            for b, n in (("read-1", 0), ("read-1", 1), ("read-2", 0), ("read-2", 1))
            if (b, n) not in {(s.backend_id, s.number) for s in owned}
        )
        reply = LoanReply(request.loan_id, "read", request.sent_ms, 1_000, (foreign,))
        loans.on_reply("e2", reply, now_s)
        loans.on_reply("e2", reply, now_s)
        self.assertEqual(self.core.pop_actions(), [])


class TestSlots(EntryCase):
    def test_revoked_slot_settles_when_its_request_ends(self):
        self.arrive()
        before = self.core.ctx.slots.settled
        self.entries.append(entry_row("e2"))
        self.backends[0] = backend_row(1, leaving=True)
        self.backends[1] = backend_row(2, leaving=True)
        self.renew()
        slots = self.core.ctx.slots
        self.assertEqual(slots.settled, before)
        (holding,) = [h for h in slots.holdings.values() if h.state == BUSY]
        slots.release(holding.slot, self.now_s)
        self.assertEqual(slots.settled, self.revision)

    def test_new_slot_waits_until_its_former_owner_has_settled(self):
        self.entries.append(entry_row("e2"))
        self.renew()
        before = self.core.ctx.slots.count("read", FREE)
        self.assertLess(before, 4)
        self.entries.pop()
        self.renew()
        self.core.ctx.settled_floor = self.revision - 1
        self.advance(30.0)
        self.assertEqual(self.core.ctx.slots.count("read", FREE), before)
        self.core.ctx.settled_floor = self.revision
        self.advance(0.1)
        self.assertEqual(self.core.ctx.slots.count("read", FREE), 4)

    def test_new_slot_waits_for_a_partitioned_former_owner(self):
        self.entries.append(entry_row("e2"))
        self.renew()
        before = self.core.ctx.slots.count("read", FREE)
        self.entries.pop()
        self.renew()
        self.advance(0.6)
        self.assertEqual(self.core.ctx.slots.count("read", FREE), before)
        self.advance(0.4)
        self.assertEqual(self.core.ctx.slots.count("read", FREE), 4)


class TestLookup(EntryCase):
    def test_longest_block_wins(self):
        table = BlockTable([("10.0.0.0/8", "x"), ("10.1.0.0/16", "z")])
        found = [table.domain(f"10.{i}.0.1") for i in (0, 1, 2)]
        self.assertEqual(found, ["x", "z", "x"])
        self.assertIsNone(table.domain("11.0.0.1"))
        self.assertIsNone(table.domain("9.255.255.255"))

    def test_ipv6_and_the_ends_of_the_address_space(self):
        table = BlockTable([("::/0", "x"), ("2001:db8::/32", "z"), ("0.0.0.0/0", "y")])
        self.assertEqual(table.domain("2001:db8::1"), "z")
        self.assertEqual(table.domain("ffff::1"), "x")
        self.assertEqual(table.domain("255.255.255.255"), "y")
        self.assertEqual(table.domain("::ffff:1.2.3.4"), "y")

    def test_nearest_instances_come_first_and_leaving_ones_are_excluded(self):
        self.entries += [
            entry_row("e2", "a", "y"),
            entry_row("e3", "b", "z"),
            attrs.evolve(entry_row("e4"), leaving=True),
        ]
        self.renew()
        answer = self.core.lookup("read", "10.0.0.1", self.now_s)
        self.assertEqual([c.instance for c in answer.instances], ["e1", "e2", "e3"])
        far = self.core.lookup("read", "10.1.0.1", self.now_s)
        self.assertEqual(far.instances[0].instance, "e3")

    def test_clients_are_spread_over_equally_near_instances(self):
        self.entries += [entry_row(f"e{i}") for i in range(2, 5)]
        self.renew()
        first = [
            self.core.lookup("read", f"10.0.0.{i}", self.now_s).instances[0].instance
            for i in range(200)
        ]
        self.assertTrue(all(25 < first.count(f"e{i}") < 80 for i in range(1, 5)))


if __name__ == "__main__":
    unittest.main()
