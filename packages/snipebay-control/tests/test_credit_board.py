"""Tests of the leader's distribution of limits."""

import unittest

from snipebay_control.credit_board import RETIRED_S, CreditBoard, QuotaRules
from snipebay_model.credits import CreditReport, CreditRequest
from snipebay_model.workspace import Workspace
from snipebay_testbed.control_rig import ControlRig

A, B = ("a", "1"), ("b", "1")
PLAN = (Workspace("w", rate_per_s=100.0, burst=100.0), Workspace("free"))


class TestCreditBoard(unittest.TestCase):
    """What an instance may still use must not be distributed again."""

    def setUp(self):
        self.board = CreditBoard()
        self.board.start(0.0)
        self.board.tick((), 0.0)
        self.board.tick(PLAN, 0.0)
        self.board.tick(PLAN, 2.0, ())
        self.board.tick(PLAN, 10.0)

    def report(self, instance, now_s, wanted, held=(0.0, 0.0), delay_s=0.0):
        """Return the rate and burst that an instance gets."""
        rows = (CreditReport("w", wanted, 0, *held),)
        sent_ms = int((now_s - delay_s) * 1_000)
        parts = self.board.report(instance, sent_ms, rows, now_s)
        return (parts[0].per_s, parts[0].burst) if parts else None

    def grant(self, count, now_s, workspace="w"):
        return self.board.request("a", CreditRequest(1, workspace, count), now_s)

    def test_part_grows_only_by_what_is_given_up(self):
        first = self.report(A, 10.0, 1_000)
        self.assertAlmostEqual(first[0], 80.0)
        self.assertEqual(self.report(B, 10.1, 1_000), (0.0, 0.0))
        # A is offered less, but may not have received it.
        less = self.report(A, 11.0, 500, first)
        self.assertLess(less[0], 80.0)
        self.assertEqual(self.report(B, 11.1, 1_000), (0.0, 0.0))
        self.report(A, 12.0, 500, less)
        self.assertAlmostEqual(self.report(B, 12.1, 1_000)[0] + less[0], 80.0, delta=9)

    def test_silent_instance_keeps_its_part_for_4_s(self):
        self.report(A, 10.0, 1_000)
        for now_s in (11.0, 12.0, 13.0, 14.0):
            self.board.tick(PLAN, now_s)
            self.assertEqual(self.report(B, now_s, 500), (0.0, 0.0))
        self.board.tick(PLAN, 14.1)
        self.assertAlmostEqual(self.report(B, 14.1, 500)[0], 80.0)

    def test_report_that_was_overtaken_gets_nothing(self):
        self.report(A, 10.0, 10)
        self.assertIsNone(self.report(A, 10.1, 10, delay_s=0.5))

    def test_grants_count_until_they_are_used(self):
        reply = self.grant(500, 10.0)
        self.assertEqual((reply.granted, reply.is_known), (100, True))
        self.assertGreater(reply.due_ms, 0)
        # They may be dispatched up to 0.6 s later, so they hold back the reserve.
        self.assertEqual(self.grant(500, 10.59).granted, 0)
        self.assertLessEqual(self.grant(500, 11.6).granted, 100)

    def test_new_leader_confirms_parts_and_distributes_nothing_new(self):
        self.board.start(20.0)
        self.board.tick(PLAN, 20.0)
        self.assertEqual(self.report(A, 20.1, 90, (30.0, 20.0)), (30.0, 20.0))
        self.assertEqual(self.report(B, 20.2, 900), (0.0, 0.0))
        reply = self.grant(50, 21.01)
        self.assertEqual((reply.granted, reply.is_known), (20, False))
        for now_s in (23.0, 26.0, 29.0):
            self.report(A, now_s, 90, (30.0, 20.0))
        self.board.tick(PLAN, 29.1, ("a", "b"))
        self.assertEqual(self.report(B, 29.1, 900), (0.0, 0.0))
        self.board.tick(PLAN, 30.1, ("a", "b"))
        found = self.report(B, 30.1, 900)
        self.assertGreater(found[0], 0.0)
        self.assertLessEqual(found[0], 50.0)

    def test_new_leader_distributes_once_all_instances_have_reported(self):
        self.board.start(20.0)
        for instance_id in ("a", "b"):
            self.board.record_complete(instance_id)
        # The part of an instance that was removed just before may still be in use.
        self.board.tick(PLAN, 20.9, ("a", "b"))
        self.assertEqual(self.report(A, 20.9, 900), (0.0, 0.0))
        self.board.tick(PLAN, 21.1, ("a", "b"))
        self.assertGreater(self.report(A, 21.9, 900)[0], 0.0)

    def test_spare_credit_counts_until_it_is_used_or_expires(self):
        def ask(number, now_s, spare, held=0, count=0):
            msg = CreditRequest(number, "w", count, spare, held)
            return self.board.request("a", msg, now_s)

        self.assertEqual(ask(1, 10.0, 3).spare, 3)
        self.assertEqual(self.grant(500, 10.0).granted, 97)
        # One was used: it may still be on its way for the time of a grant.
        self.assertEqual(ask(2, 10.1, 0, held=2).spare, 0)
        self.assertEqual(self.grant(500, 12.0).granted, 98)
        self.assertEqual(self.grant(500, 13.7).granted, 98)
        self.board.tick(PLAN, 20.2)
        self.assertEqual(self.grant(500, 22.0).granted, 100)

    def test_spare_credit_is_not_taken_from_the_reserve(self):
        for number in range(40):
            msg = CreditRequest(1, "w", 0, 4)
            self.board.request(f"e{number}", msg, 10.0)
        # The reserve keeps 2 and what the rate yields in 0.9 s at a fifth.
        self.assertEqual(self.grant(500, 10.0).granted, 20)

    def test_only_limited_workspaces_have_state(self):
        self.assertEqual(self.grant(7, 10.0, "free").granted, 7)
        self.board.tick((), 11.0)
        self.board.tick((), 11.0 + RETIRED_S)
        self.assertEqual((self.board._limits, self.board._retired), ({}, {}))

    def test_limit_that_is_set_again_does_not_start_full(self):
        self.grant(100, 10.0)
        self.board.tick((), 10.1)
        self.board.tick(tuple(PLAN), 10.2)
        self.assertLess(self.grant(100, 10.2).granted, 25)

    def test_what_is_distributed_fits_the_window(self):
        rules = QuotaRules(overage=0.1, tolerance=20.0)
        for rate, burst in ((3.2, 3.2), (1.0, 0.0), (320.0, 320.0)):
            per_s, size = rules.budget(Workspace("w", rate_per_s=rate, burst=burst))
            bound = 1.1 * (5 * rate + burst) + 20
            self.assertLessEqual(5 * per_s + size, bound)
            per_s, size = QuotaRules().budget(
                Workspace("w", rate_per_s=rate, burst=burst)
            )
            self.assertLessEqual(5 * per_s + size, 5 * rate + burst + 1e-9)


class TestCreditRequests(unittest.TestCase):
    def test_only_the_leader_grants(self):
        """Guards against two control instances that grant the same credit."""
        rig = ControlRig(1)
        leader = rig.elect()
        for host in rig.hosts.values():
            host.core.receive("e", CreditRequest(1, "w", 2), rig.scheduler.now_s)
            replies = [b for t, b in host.core.pop_messages() if t == "e"]
            self.assertEqual([r.is_known for r in replies], [host is leader])
