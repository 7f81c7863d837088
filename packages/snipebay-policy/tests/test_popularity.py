"""Tests that popular keys get several backend servers, and others keep theirs."""

import random
import unittest

from snipebay_model.view import BackendRow, View
from snipebay_policy.balancing.popularity import KeyPopularity
from snipebay_policy.fleet import Fleet
from snipebay_policy.service_times import PRIMARY, SECONDARY

SERVERS = 38
VIEW = View(
    1,
    backends=tuple(
        BackendRow(f"s{n}", "s", f"s{n}:1", "a", "a-1", 6) for n in range(SERVERS)
    ),
)


def popularity_of(shares, seconds, per_s, seed=1):
    """Return what an instance knows after a time, and the spreads seen meanwhile."""
    rng = random.Random(seed)
    found, seen = KeyPopularity(), {key: [] for key in shares}
    for number in range(int(seconds * per_s)):
        (key,) = rng.choices(list(shares), list(shares.values()))
        found.record(key, number / per_s)
        seen[key].append(found.spread(key, SERVERS))
    return found, seen


class TestSpread(unittest.TestCase):
    def test_few_requests_spread_no_key(self):
        _, seen = popularity_of({"only": 1.0}, 3.0, 1.0)
        self.assertEqual(set(seen["only"]), {1})

    def test_a_popular_key_gets_servers_by_its_share(self):
        shares = {"popular": 0.2, **{f"k{n}": 0.008 for n in range(100)}}
        found, _ = popularity_of(shares, 60.0, 20.0)
        # At half of the mean load for each server it needs 0.2 * 38 / 0.5 = 15.
        self.assertIn(found.spread("popular", SERVERS), (8, 16))

    def test_equal_keys_keep_one_server_at_an_instance_with_few_requests(self):
        shares = {f"k{n}": 1 / 108 for n in range(108)}
        _, seen = popularity_of(shares, 120.0, 3.0)
        spread = [n for counts in seen.values() for n in counts]
        self.assertLess(sum(n > 1 for n in spread), 0.03 * len(spread))

    def test_noise_does_not_change_the_number(self):
        shares = {"popular": 0.2, **{f"k{n}": 0.008 for n in range(100)}}
        _, seen = popularity_of(shares, 120.0, 20.0)
        settled = seen["popular"][len(seen["popular"]) // 2 :]
        changes = sum(a != b for a, b in zip(settled, settled[1:], strict=False))
        self.assertLessEqual(changes, 4)


class TestTiers(unittest.TestCase):
    def fleet_of(self, name, requests):
        fleet = Fleet(name, "a", "a-1")
        fleet.apply_view(VIEW, 0.0)
        fleet.near_domains.is_enabled = True
        for number in range(requests):
            fleet.record_key("s", "a", "k", number * 0.1)
            fleet.record_key("s", "a", f"other{number}", number * 0.1)
        return fleet

    def tiers(self, fleet):
        members = list(fleet.members.values())
        spread = fleet._spread("s", "a", "k")
        return fleet.tiers.find("s", members, "k", 108, spread=spread)

    def test_who_takes_a_key_for_less_popular_uses_a_part_of_its_servers(self):
        one, many = (
            self.tiers(self.fleet_of("e0", 1)),
            self.tiers(self.fleet_of("e0", 40)),
        )
        (primary,) = (i for i, tier in one.items() if tier == PRIMARY)
        self.assertIn(primary, many)
        self.assertEqual(sum(tier == PRIMARY for tier in many.values()), 2)
        self.assertGreater(sum(tier == SECONDARY for tier in many.values()), 4)

    def primaries(self, fleet):
        return {i for i, tier in self.tiers(fleet).items() if tier == PRIMARY}

    def test_an_instance_uses_all_servers_in_turn(self):
        fleet, used = self.fleet_of("e0", 40), set()
        for _ in range(SERVERS):
            fleet.record_key("s", "a", "k", 4.0)
            used |= self.primaries(fleet)
        self.assertEqual(used, set(self.tiers(fleet)))

    def test_instances_begin_with_different_servers(self):
        firsts = {
            frozenset(self.primaries(self.fleet_of(f"e{n}", 40))) for n in range(8)
        }
        self.assertGreaterEqual(len(firsts), 4)

    def test_nothing_is_counted_without_paces(self):
        fleet = Fleet("e0", "a", "a-1")
        fleet.record_key("s", "a", "k", 0.0)
        self.assertEqual(fleet.popularity, {})


if __name__ == "__main__":
    unittest.main()
