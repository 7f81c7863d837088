"""Tests that a split keeps its weights while a part is out of room."""

import collections
import itertools
import unittest

import attrs
from snipebay_model.messages import RenewReply
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, ViewDelta
from snipebay_policy.arrivals import Arrival
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Dispatch, Problem

WEIGHTS = (("s0", 0.7), ("s1", 0.1), ("s2", 0.1), ("s3", 0.1))
CHANGED_WEIGHTS = (("s0", 0.1), ("s1", 0.1), ("s2", 0.7), ("s3", 0.1))
ROUTE = Route("r", "a.example", "/", True, 2.0, 0.8, 1, WEIGHTS, 2)
# Enough connections for one of each instance at every backend server.
SERVICES = tuple(RoutedService(name, max_connections=3_600) for name, _ in WEIGHTS)
# Instances, and requests at each in the window after a change.
SIZES = ((12, 10), (185, 2), (440, 1))
TOLERANCE = 0.1


def backends(instances):
    """Return the rows of four services, with slots for the requests of all."""
    return tuple(
        BackendRow(f"{name}-{n}", name, f"10.0.1.{n}:80", "a", "a-1", instances)
        for name, _ in WEIGHTS
        for n in range(10)
    )


class SplitCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.ids = itertools.count(1)

    def start(self, instances, plan):
        """Return cores of many instances with a plan in force."""
        rows = [
            EntryRow(f"10.0.0.{n}:1", "x", f"10.0.0.{n}:80", f"e{n}", "a", "a-1")
            for n in range(instances)
        ]
        cores = [RoutedCore(RoutedConfig(row), ("c1",)) for row in rows]
        found = backends(instances)
        delta = ViewDelta(
            0, 1, whole=True, plan=plan, backends=found, entries=tuple(rows)
        )
        self.apply_delta(cores, delta)
        return cores

    def apply_delta(self, cores, delta):
        reply = RenewReply("c1", True, quorum_revision=delta.revision, delta=delta)
        for core in cores:
            core.receive("c1", reply, self.now_s)
            core.pop_actions()

    def send(self, cores, requests):
        """Send requests to each instance; return dispatches and refusals by service."""
        dispatched, refused = collections.Counter(), collections.Counter()
        arrived_s = self.now_s
        # The wait for a slot ends before the next tick.
        self.now_s += 0.5
        for core in cores:
            for _ in range(requests):
                request_id = next(self.ids)
                arrival = Arrival(request_id, "a.example", "/x", 5.0)
                core.forward.on_request(arrival, arrived_s)
            core.tick(self.now_s)
            for action in core.pop_actions():
                if isinstance(action, Dispatch):
                    dispatched[action.backend.service] += 1
                elif isinstance(action, Problem):
                    refused[action.inputs["service"]] += 1
        return dispatched, refused

    def check_weights(self, counts, weights, total):
        for name, weight in weights:
            share = counts[name] / total
            self.assertAlmostEqual(share, weight, delta=TOLERANCE, msg=name)


class TestPartWithoutRoom(SplitCase):
    def test_its_requests_are_refused_and_the_other_parts_keep_their_weights(self):
        full = attrs.evolve(SERVICES[0], max_connections=0)
        plan = Plan(1, (ROUTE,), (full, *SERVICES[1:]))
        for instances, requests in SIZES:
            with self.subTest(instances=instances):
                cores = self.start(instances, plan)
                dispatched, refused = self.send(cores, requests)
                total = instances * requests
                self.assertEqual(set(refused), {"s0"})
                self.assertNotIn("s0", dispatched)
                self.check_weights(dispatched + refused, WEIGHTS, total)


class TestChangedWeights(SplitCase):
    def test_sum_over_instances_follows_at_once(self):
        first = Plan(1, (ROUTE,), SERVICES)
        route = attrs.evolve(ROUTE, split=CHANGED_WEIGHTS)
        second = Plan(2, (route,), SERVICES)
        for instances, requests in SIZES:
            with self.subTest(instances=instances):
                cores = self.start(instances, first)
                before, _ = self.send(cores, requests)
                self.check_weights(before, WEIGHTS, instances * requests)
                self.apply_delta(cores, ViewDelta(1, 2, plan=second))
                after, refused = self.send(cores, requests)
                self.assertFalse(refused)
                self.check_weights(after, CHANGED_WEIGHTS, instances * requests)


if __name__ == "__main__":
    unittest.main()
