"""Tests of routes, splits and shares by region."""

import collections
import math
import unittest

import attrs
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_policy.affinity import AffinityTable
from snipebay_policy.region_shares import (
    MAX_KEPT_UTILIZATION,
    MIN_KEPT_UTILIZATION,
    REGION_ROUND_TRIP_S,
    RegionShares,
    kept_utilization,
    target_shares,
)
from snipebay_policy.routes import RouteTable, Split


def route(name, prefix, host="a.example", split=(("s", 1.0),)):
    return Route(name, host, prefix, True, 1.0, 0.5, 1, split)


class TestRouteTable(unittest.TestCase):
    def setUp(self):
        routes = (route("all", "/"), route("b", "/a/b/"), route("a", "/a/"))
        self.plan = Plan(1, routes, (RoutedService("s"),))
        self.table = RouteTable(self.plan)

    def test_longest_prefix_wins(self):
        for path, name in (
            ("/a/b/c", "b"),
            ("/a/b", "a"),
            ("/a/x", "a"),
            ("/ab", "all"),
        ):
            self.assertEqual(self.table.find("a.example", path).name, name)

    def test_host_is_compared_without_case_and_port(self):
        self.assertEqual(self.table.find("A.Example:80", "/x").name, "all")

    def test_unknown_host_and_path_have_no_route(self):
        self.assertIsNone(self.table.find("b.example", "/a/"))
        table = RouteTable(attrs.evolve(self.plan, routes=(route("a", "/a/"),)))
        self.assertIsNone(table.find("a.example", "/b/"))

    def test_target_of_a_service_is_the_median_of_its_routes(self):
        routes = [
            attrs.evolve(route(f"r{n}", f"/{n}/"), target_latency_s=target_s)
            for n, target_s in enumerate((0.01, 0.4, 0.5))
        ]
        table = RouteTable(attrs.evolve(self.plan, routes=tuple(routes)))
        self.assertEqual(table.target_s("s"), 0.4)
        self.assertEqual(table.target_s("unknown"), math.inf)

    def test_split_continues_over_a_new_plan(self):
        split = (("s", 1.0), ("t", 1.0))
        plan = Plan(1, (route("r", "/", split=split),))
        table = RouteTable(plan)
        first = table.next_service(plan.routes[0])
        later = RouteTable(attrs.evolve(plan, version=2), table)
        self.assertNotEqual(later.next_service(plan.routes[0]), first)


class TestSplit(unittest.TestCase):
    def test_any_run_of_requests_keeps_the_weights(self):
        split = Split((("a", 90.0), ("b", 10.0)))
        names = [split.next() for _ in range(100)]
        self.assertEqual(collections.Counter(names), {"a": 90, "b": 10})
        self.assertEqual(collections.Counter(names[:50])["b"], 5)

    def test_weight_of_zero_gets_no_requests(self):
        split = Split((("a", 1.0), ("b", 0.0)))
        self.assertEqual({split.next() for _ in range(20)}, {"a"})

    def test_sum_over_many_instances_keeps_the_weights(self):
        """Each instance has only a few requests since the weights changed."""
        weights = (("a", 0.7), ("b", 0.1), ("c", 0.1), ("d", 0.1))
        for instances, requests in ((12, 20), (82, 4), (185, 2), (440, 1)):
            splits = [Split(weights, f"10.0.0.{n}:1") for n in range(instances)]
            names = collections.Counter(
                split.next() for split in splits for _ in range(requests)
            )
            for name, weight in weights:
                share = names[name] / (instances * requests)
                self.assertAlmostEqual(share, weight, delta=0.1, msg=(name, instances))

    def test_no_weights(self):
        self.assertIsNone(Split(()).next())


class TestTargetShares(unittest.TestCase):
    def test_region_with_enough_capacity_keeps_all(self):
        self.assertEqual(target_shares("a", {"a": 10, "b": 10}, {"a": 5.0}), {"a": 1.0})

    def test_line_between_keeping_all_and_sending_some(self):
        capacity = {"a": 10, "b": 10}
        for kept in (0.3, 0.6):
            shares = target_shares("a", capacity, {"a": 10 * kept}, kept)
            self.assertEqual(shares, {"a": 1.0})
            shares = target_shares("a", capacity, {"a": 10 * kept + 0.1}, kept)
            self.assertLess(shares["a"], 1.0)

    def test_requests_leave_later_when_the_way_costs_much_of_their_target(self):
        found = [kept_utilization(t) for t in (0.0, 0.2, 0.3, 0.6, 1.0, 2.5, math.inf)]
        self.assertEqual(found, sorted(found, reverse=True))
        self.assertEqual(found[:2], [MAX_KEPT_UTILIZATION] * 2)
        self.assertEqual(found[-1], MIN_KEPT_UTILIZATION)
        at_round_trip = kept_utilization(REGION_ROUND_TRIP_S)
        self.assertEqual(at_round_trip, MAX_KEPT_UTILIZATION)

    def test_region_sends_away_what_exceeds_its_utilization_level(self):
        shares = target_shares("a", {"a": 10, "b": 50}, {"a": 12.0, "b": 6.0})
        self.assertAlmostEqual(shares["a"], MAX_KEPT_UTILIZATION * 10 / 12)
        self.assertAlmostEqual(sum(shares.values()), 1.0)

    def test_beyond_the_level_all_regions_have_the_same_utilization(self):
        capacity, demand = {"a": 10, "b": 30}, {"a": 20.0, "b": 20.0}
        shares = {local: target_shares(local, capacity, demand) for local in demand}
        utilization = {
            region: sum(demand[r] * shares[r].get(region, 0) for r in demand) / slots
            for region, slots in capacity.items()
        }
        self.assertAlmostEqual(utilization["a"], utilization["b"])

    def test_region_without_backend_servers_sends_all_away(self):
        shares = target_shares("a", {"b": 10, "c": 30}, {"a": 5.0})
        self.assertAlmostEqual(shares["c"], 0.75)
        self.assertNotIn("a", shares)

    def test_without_local_demand_all_regions_are_assumed_equal(self):
        shares = target_shares("a", {"a": 8, "b": 24, "c": 24}, {})
        self.assertAlmostEqual(shares["a"], 8 * 3 / 56)
        self.assertEqual(target_shares("b", {"a": 8, "b": 24, "c": 24}, {}), {"b": 1.0})

    def test_no_capacity_in_any_region(self):
        self.assertEqual(target_shares("a", {}, {"a": 1.0}), {})


class TestRegionShares(unittest.TestCase):
    def setUp(self):
        self.shares = RegionShares("a", max_change_per_s=0.03)
        self.shares.update({"a": 10, "b": 10}, {"a": 1.0}, 0.0)
        self.assertEqual(self.shares.shares, {"a": 1.0})

    def test_shares_change_at_a_bounded_rate(self):
        self.shares.update({"a": 10, "b": 50}, {"a": 30.0}, 2.0)
        self.assertAlmostEqual(self.shares.shares["a"], 0.94)

    def test_key_stays_in_one_region_and_few_keys_move(self):
        keys = [str(number) for number in range(40)]
        table = AffinityTable()
        for key in keys * 3:
            table.record(key)
        table.refresh(0.0)
        self.shares.shares = {"a": 0.5, "b": 0.5}
        before = [self.shares.region_at(table.position(key)) for key in keys]
        self.assertEqual(before.count("a"), 20)
        self.shares.shares = {"a": 0.4, "b": 0.6}
        after = [self.shares.region_at(table.position(key)) for key in keys]
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        self.assertEqual(moved, 4)

    def test_keys_without_requests_are_removed(self):
        table = AffinityTable()
        table.record("k")
        table.refresh(0.0)
        table.refresh(60.0)
        self.assertEqual(len(table), 0)

    def test_unknown_key_has_a_position(self):
        self.assertEqual(self.shares.region_at(AffinityTable().position("new")), "a")

    def test_region_without_capacity_loses_its_share_at_once(self):
        self.shares.update({"b": 10}, {"a": 1.0}, 0.1)
        self.assertEqual(self.shares.shares, {"b": 1.0})
        self.assertEqual(self.shares.next_region(), "b")

    def test_share_returns_at_a_bounded_rate(self):
        self.shares.update({"b": 10}, {"a": 1.0}, 0.1)
        self.shares.update({"a": 10, "b": 10}, {"a": 1.0}, 1.1)
        self.assertAlmostEqual(self.shares.shares["a"], 0.03)

    def test_only_allowed_regions(self):
        self.assertEqual(self.shares.next_region(("a",)), "a")
        self.assertIsNone(self.shares.next_region(("c",)))

    def test_allowed_regions_without_a_share_are_weighted_by_slots(self):
        shares = RegionShares("a", max_change_per_s=0.03)
        shares.update({"a": 10, "b": 10, "c": 30}, {"a": 1.0}, 0.0)
        self.assertEqual(shares.shares, {"a": 1.0})
        found = [shares.next_region(("b", "c")) for _ in range(8)]
        self.assertEqual((found.count("b"), found.count("c")), (2, 6))
        self.assertEqual(shares.region_at(0.1, ("b", "c")), "b")
        self.assertEqual(shares.region_at(0.9, ("b", "c")), "c")
        self.assertEqual(shares.regions(("b", "c")), ["b", "c"])
        self.assertEqual(shares.regions(), ["a"])


if __name__ == "__main__":
    unittest.main()
