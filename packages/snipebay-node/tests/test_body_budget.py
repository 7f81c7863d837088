"""Tests of the decisions on the memory for request bodies, without a network."""

import unittest

from snipebay_node.body_blocks import BodyBlocks
from snipebay_node.body_budget import BodyBudget, capacity_of
from snipebay_node.socket_limits import choose_connections, socket_limits
from snipebay_testbed.http_case import ServerCase

KIB, MIB = 1024, 1024 * 1024
CAPACITY = 96 * MIB
LARGE, MEDIUM, SMALL = 64 * MIB, 512 * KIB, 20 * KIB


class BudgetCase(unittest.TestCase):
    def setUp(self):
        self.budget = BodyBudget(CAPACITY)

    def open(self, length, *, arrived=0, now_s=0.0, wait_s=2.0):
        return self.budget.open(None, length, arrived, now_s, wait_s)

    def fill(self, length=70 * MIB):
        return self.open(length)


class TestAdmission(BudgetCase):
    def test_body_reserves_its_length(self):
        self.assertFalse(self.open(LARGE).is_waiting)
        self.assertEqual(self.budget.held_bytes, LARGE)

    def test_small_and_medium_pass_a_waiting_large_one(self):
        self.fill()
        self.assertTrue(self.open(LARGE).is_waiting)
        self.assertFalse(self.open(MEDIUM).is_waiting)
        self.assertFalse(self.open(SMALL).is_waiting)

    def test_medium_ones_do_not_keep_a_large_one_waiting(self):
        # Guards against large bodies that starve behind a flow of medium ones.
        held = self.fill()
        large = self.open(LARGE)
        count = sum(not self.open(MEDIUM).is_waiting for _ in range(200))
        self.assertLessEqual(count * MEDIUM, CAPACITY / 8)
        self.budget.release(held)
        self.assertEqual(self.budget.admit(1.0)[0], large)

    def test_one_class_is_admitted_in_order(self):
        held = self.fill()
        first, second = self.open(40 * MIB), self.open(20 * MIB)
        third = self.open(20 * MIB)
        self.assertEqual(self.budget.admit(0.1), [])
        self.budget.release(held)
        self.assertEqual(self.budget.admit(0.2), [first, second])
        self.budget.release(first)
        self.assertEqual(self.budget.admit(0.3), [third])

    def test_arrived_bytes_of_a_waiting_body_count(self):
        self.fill()
        before = self.budget.held_bytes
        self.open(LARGE, arrived=9 * KIB)
        self.assertEqual(self.budget.held_bytes, before + 9 * KIB)

    def test_small_ones_wait_only_when_nothing_is_free(self):
        self.budget.hold(CAPACITY)
        small = self.open(SMALL)
        self.assertTrue(small.is_waiting)
        self.budget.hold(-CAPACITY)
        self.assertEqual(self.budget.admit(0.1), [small])

    def test_largest_body_fits_the_smallest_machines(self):
        capacity = capacity_of(152, is_control=False)
        self.assertGreaterEqual(BodyBudget(capacity).max_body_bytes, 64 * MIB)


class TestOverdue(BudgetCase):
    def test_nothing_is_overdue_without_pressure(self):
        self.open(LARGE)
        self.assertEqual(self.budget.overdue(29.0), [])

    def test_wait_ends(self):
        held = self.fill()
        large = self.open(LARGE, wait_s=0.5)
        held.record(60 * MIB, 0.4)
        self.assertEqual(self.budget.overdue(0.4), [])
        self.assertEqual(self.budget.overdue(0.5), [(large, "no_room")])

    def test_stalled_sender_gives_up_its_room_while_others_wait(self):
        held = self.fill()
        held.record(69 * MIB, 0.0)
        self.open(LARGE, now_s=0.5)
        self.assertEqual(self.budget.overdue(0.9), [])
        self.assertEqual(self.budget.overdue(1.0), [(held, "stalled")])

    def test_sender_of_a_few_bytes_has_stalled(self):
        # Guards against an announced length that is held by a trickle of bytes.
        held = self.fill()
        for tenth in range(11):
            held.record(100, tenth / 10)
        self.open(LARGE, now_s=1.0)
        self.assertEqual(self.budget.overdue(1.0), [(held, "stalled")])

    def test_complete_body_is_never_overdue(self):
        held = self.fill()
        held.record(70 * MIB, 0.0)
        self.budget.complete(held)
        self.open(LARGE, wait_s=99.0)
        self.assertEqual(self.budget.overdue(50.0), [])

    def test_few_stalled_small_bodies_are_left_alone(self):
        self.fill().record(70 * MIB, 5.0)
        self.open(SMALL)
        self.open(LARGE, now_s=4.0)
        self.assertEqual(self.budget.overdue(5.0), [])


class TestGrowth(BudgetCase):
    def grown(self, now_s):
        claim = self.open(None, now_s=now_s)
        claim.record(30 * MIB, now_s)
        return claim, self.budget.grow(claim, 30 * MIB, now_s)

    def test_blocked_bodies_are_resolved_from_the_youngest_on(self):
        # Guards against bodies without a length that wait for each other.
        claims = [self.grown(now_s)[0] for now_s in (0.0, 0.1, 0.2, 0.3)]
        self.assertEqual([c.is_waiting for c in claims], [False, False, True, True])
        self.assertFalse(self.budget.grow(claims[1], 50 * MIB, 0.4))
        for claim in claims:
            claim.record(64 * KIB, 0.7)
        self.assertEqual(self.budget.overdue(0.8), [(claims[3], "blocked")])
        self.budget.release(claims[0])
        self.assertEqual(self.budget.admit(0.8)[0], claims[1])

    def test_single_blocked_body_is_rejected_in_time(self):
        self.fill()
        claim = self.open(None)
        self.assertFalse(self.budget.grow(claim, 50 * MIB, 0.0))
        self.assertNotIn((claim, "blocked"), self.budget.overdue(1.9))
        self.assertIn((claim, "blocked"), self.budget.overdue(2.0))


class TestRelease(BudgetCase):
    """Guards against room that is lost, or freed twice, at the end of a body."""

    def test_every_state(self):
        grow = self.budget.grow
        for name, prepare in (
            ("receiving", lambda c: None),
            ("complete", self.budget.complete),
            ("blocked", lambda c: grow(c, 95 * MIB, 0.0)),
            ("grown", lambda c: grow(c, 2 * MIB, 0.0)),
        ):
            with self.subTest(name):
                claim = self.open(None)
                claim.record(5_000, 0.0)
                prepare(claim)
                self.budget.release(claim)
                self.budget.release(claim)
                self.assertEqual(self.budget.held_bytes, 0)
                self.assertEqual(self.budget.waiting_count, 0)

    def test_waiting(self):
        held = self.fill()
        waiting = self.open(LARGE, arrived=KIB)
        self.budget.release(waiting)
        self.budget.release(held)
        self.assertEqual((self.budget.held_bytes, self.budget.waiting_count), (0, 0))

    def test_unrelayed_responses_replace_the_last_count(self):
        self.budget.note_unrelayed(500)
        self.budget.note_unrelayed(200)
        self.assertEqual(self.budget.held_bytes, 200)


class TestConnections(ServerCase):
    """The budget behind an HTTP server on fake streams."""

    BIG = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n"
    CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

    def setUp(self):
        super().setUp()
        self.budget = self.server.budget
        self.idle_bytes = self.budget.held_bytes

    def set_free(self, count):
        self.budget.capacity_bytes = self.budget.held_bytes + count

    def assert_free_again(self):
        self.stream.abort()
        self.assertLessEqual(self.budget.held_bytes, 0)
        self.assertEqual(self.budget.waiting_count, 0)

    def test_waiting_body_is_paused_and_then_served(self):
        self.set_free(1_000)
        self.budget.hold(980)
        self.assertEqual(self.send(self.BIG), b"")
        self.assertTrue(self.stream.is_paused)
        self.budget.hold(-980)
        self.server.tick(0.1)
        self.assertFalse(self.stream.is_paused)
        self.assertTrue(self.send(b"y" * 90).endswith(b"/x" + b"y" * 90))
        self.assertEqual(self.budget.held_bytes, self.idle_bytes)

    def test_refusal_says_not_run_why_and_when_to_return(self):
        self.set_free(1_000)
        self.budget.hold(980)
        self.send(self.BIG)
        self.now_s = 2.0
        self.server.tick(self.now_s)
        response = bytes(self.stream.sent).lower()
        for text in (b" 503 ", b"retry-after: ", b"outcome: not-run", b'"no_room"'):
            self.assertIn(text, response)
        self.budget.hold(-980)
        self.assert_free_again()

    def test_announced_length_over_the_limit_is_refused_at_once(self):
        raw = self.BIG.replace(b" 90", b" 99999999999")
        self.assert_rejected(raw, 413, "100 bytes")
        self.assert_free_again()

    def test_room_is_free_after_each_end(self):
        for name, raw in (
            ("cut in the body", self.BIG + b"y"),
            ("cut before the body", self.BIG),
            ("answered", self.BIG + b"y" * 90),
            ("chunk is cut", self.CHUNKED + b"5\r\nab"),
            ("chunk is malformed", self.CHUNKED + b"zz\r\n"),
            ("chunks over the limit", self.CHUNKED + b"70\r\n" + b"y" * 112),
            ("pipelined", (self.BIG + b"y" * 90) * 3 + self.BIG),
        ):
            with self.subTest(name):
                ServerCase.setUp(self)
                self.budget = self.server.budget
                self.send(raw)
                self.assert_free_again()

    def test_many_chunks_of_one_byte_arrive_unchanged(self):
        raw = self.CHUNKED + b"1\r\nx\r\n" * 100 + b"0\r\n\r\n"
        self.assertTrue(self.send(raw).endswith(b"/x" + b"x" * 100))

    def test_pipelined_heads_count_and_are_refused_without_room(self):
        # Guards against heads of thousands of headers behind an unanswered request.
        self.app.hold_responses = True
        one = b"GET /1 HTTP/1.1\r\nHost: a\r\n" + b"x:y\r\n" * 500 + b"\r\n"
        self.send(one * 2)
        self.assertGreater(self.budget.held_bytes, self.idle_bytes + 100_000)
        self.set_free(0)
        self.send(one)
        self.assertEqual(len(self.app.exchanges), 2)
        for exchange in self.app.exchanges:
            self.app.respond(exchange)
        self.assertIn(b" 503 ", bytes(self.stream.sent))
        self.assert_free_again()

    def test_held_back_response_counts_until_its_end(self):
        self.app.hold_responses = True
        one = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
        self.send(one % 1 + one % 2)
        before = self.budget.held_bytes
        self.app.exchanges[1].respond(200, b"z" * 5_000)
        self.assertEqual(self.budget.held_bytes, before + 5_000)
        self.assert_free_again()


class TestBodyBlocks(unittest.TestCase):
    def test_pieces_of_all_sizes_stay_in_order(self):
        body, expected = BodyBlocks(), b""
        for number, size in enumerate((1, 9_000, 3, 70_000, 8_191, 65_536, 2)):
            data = bytes([number]) * size
            body.append(data)
            expected += data
        self.assertEqual((bytes(body), len(body)), (expected, len(expected)))

    def test_bytes_are_discarded_with_the_last_holder(self):
        discarded = []
        body = BodyBlocks(b"abc")
        body.on_discarded = lambda: discarded.append(True)
        body.retain()
        body.release()
        self.assertEqual((bytes(body), discarded), (b"abc", []))
        body.release()
        self.assertEqual((bytes(body), discarded), (b"", [True]))


class TestSocketLimits(unittest.TestCase):
    def test_reserves(self):
        limits = socket_limits(1_535)
        self.assertLess(limits.max_sockets, 1_535)
        self.assertLess(limits.max_accepting, limits.max_sockets - 100)

    def test_longest_idle_connections_are_closed_first(self):
        class Row:
            def __init__(self, active_s, may_make_room=True):
                self.active_s, self.may_make_room = active_s, may_make_room

        rows = [Row(n) for n in range(9, 0, -1)] + [Row(0, may_make_room=False)]
        self.assertEqual([row.active_s for row in choose_connections(rows)], [1])


if __name__ == "__main__":
    unittest.main()
