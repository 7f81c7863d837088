"""Tests that limits hold for the sum over all instances, however many there are."""

import unittest

from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, View, ViewDelta
from snipebay_policy.arrivals import Arrival
from snipebay_policy.fleet import COLD_OWNERS, COLD_RATE_SHARE, Fleet
from snipebay_policy.forward_rows import ForwardRules
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Dispatch, Problem

SIZES = (1, 12, 185, 440)
BACKEND = BackendRow("i", "s", "10.0.0.1:80", "a", "a-1", 4)


def entry_rows(count):
    return tuple(
        EntryRow(f"e{n}", "x", f"10.0.1.{n}:80", f"e{n}", "a", "a-1")
        for n in range(count)
    )


def fleets(count):
    rows = entry_rows(count)
    view = View(1, backends=(BACKEND,), entries=rows)
    for row in rows:
        fleet = Fleet(row.entry_id, "a", "a-1")
        fleet.apply_view(view, 0.0)
        yield fleet


def cores(count, rules):
    """Yield instances that know each other."""
    rows = entry_rows(count)
    delta = ViewDelta(0, 1, whole=True, backends=(BACKEND,), entries=rows)
    reply = RenewReply("c", True, quorum_revision=1, delta=delta)
    for row in rows:
        core = RoutedCore(RoutedConfig(row, forward=rules), ("c",))
        core.receive("c", reply, 0.0)
        yield core


class TestConnections(unittest.TestCase):
    def test_parts_keep_the_limit_and_leave_no_backend_server_unused(self):
        for count in SIZES:
            for limit in (0, 7, 390, 3600):
                with self.subTest(instances=count, limit=limit):
                    parts = [f.max_connections("i", limit) for f in fleets(count)]
                    self.assertLessEqual(sum(parts), limit)
                    self.assertEqual(any(parts), limit > 0)
                    self.assertGreaterEqual(sum(parts), limit - count)

    def test_instances_that_leave_or_are_gone_from_the_view_have_no_part(self):
        (fleet, *_) = fleets(12)
        fleet.apply_view(View(2, backends=(BACKEND,), entries=entry_rows(3)), 0.0)
        self.assertEqual(fleet.max_connections("i", 9), 3)


def arrive(**fields):
    return Arrival(1, "a.example", "/x", 5.0, **fields)


class TestFewConnections(unittest.TestCase):
    """Fewer connections than instances: some have a connection to no backend server."""

    COUNT, LIMIT = 185, 3

    def dispatch(self, core):
        core.forward.on_request(arrive(), 0.0)
        return next(a for a in core.pop_actions() if isinstance(a, Dispatch | Problem))

    def start(self, limit):
        route = Route("r", "a.example", "/", True, 2.0, 0.8, 1, (("s", 1.0),), 2)
        plan = Plan(1, (route,), (RoutedService("s", max_connections=limit),))
        found = tuple(cores(self.COUNT, ForwardRules()))
        reply = RenewReply(
            "c", True, quorum_revision=2, delta=ViewDelta(1, 2, plan=plan)
        )
        for core in found:
            core.receive("c", reply, 0.0)
            core.pop_actions()
        return found

    def test_requests_of_the_others_go_through_another_instance(self):
        found = [self.dispatch(core) for core in self.start(self.LIMIT)]
        direct = [action for action in found if action.attempts_before_hop is None]
        self.assertEqual(len(direct), self.LIMIT)
        self.assertEqual({a.backend.backend_id for a in direct}, {"i"})

    def test_a_request_that_came_over_a_hop_is_refused_there(self):
        core = next(
            c
            for c in self.start(self.LIMIT)
            if c.fleet.lacks_connections("s", self.LIMIT)
        )
        core.forward.on_request(arrive(attempts_before_hop=1), 0.0)
        core.tick(1.0)
        actions = core.pop_actions()
        self.assertFalse([a for a in actions if isinstance(a, Dispatch)])
        (problem,) = (a for a in actions if isinstance(a, Problem))
        self.assertEqual((problem.status, problem.reason), (503, "no_room"))

    def test_no_hop_while_no_instance_may_connect(self):
        core = self.start(0)[0]
        core.forward.on_request(arrive(), 0.0)
        self.assertFalse([a for a in core.pop_actions() if isinstance(a, Dispatch)])


class TestRetries(unittest.TestCase):
    RULES = ForwardRules(retry_ratio=0.15, retry_slack=20.0)

    def retries(self, core, requests):
        """Return the retries of an instance whose requests all fail at first."""
        count = 0
        for _ in range(requests):
            core.budget("s").deposit()
            count += core.budget("s").try_withdraw()
        return count

    def test_instances_that_all_start_keep_ratio_and_slack(self):
        for count in SIZES:
            for requests in (1, 4, 11, 60):
                with self.subTest(instances=count, requests=requests):
                    found = sum(
                        self.retries(core, requests)
                        for core in cores(count, self.RULES)
                    )
                    bound = self.RULES.retry_slack + 0.15 * requests * count
                    self.assertLessEqual(found, bound)

    def test_each_instance_may_retry_in_the_end(self):
        for core in cores(440, self.RULES):
            self.assertGreater(self.retries(core, 60), 0)


class TestColdStarts(unittest.TestCase):
    def test_owners_of_a_cold_backend_server_keep_its_rate(self):
        for count in SIZES:
            owners = sum(f._is_ranked("i", COLD_OWNERS) for f in fleets(count))
            self.assertEqual(owners, min(count, COLD_OWNERS))
            self.assertLessEqual(owners * COLD_RATE_SHARE, 1.0)


if __name__ == "__main__":
    unittest.main()
