"""Tests of the choice of a backend server, cold starts and ejections."""

import unittest

import attrs
from snipebay_model.view import BackendRow, EntryRow, View
from snipebay_policy.affinity_tiers import CACHED_KEYS
from snipebay_policy.fleet import COLD_OWNERS, Fleet
from snipebay_policy.service_times import ServiceTimes

KEYS = [str(number) for number in range(40)]


def backend(name, domain="a-1", **values):
    return BackendRow(
        name, "s", f"10.0.0.1:{8000 + len(name)}", domain[0], domain, 4, **values
    )


def entry(name):
    return EntryRow(name, "x", "10.0.1.1:80", name, "a", "a-1")


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.view = View(
            1,
            backends=tuple(
                backend(f"{domain}-{number}", domain)
                for domain in ("a-1", "a-2", "b-1", "b-2")
                for number in range(3)
            ),
            entries=tuple(entry(f"e{number}") for number in range(8)),
        )
        self.fleet = self.fleet_of("e0")
        self.times = ServiceTimes([0.2, 0.3, 0.6], mean_s=0.2)

    def fleet_of(self, name, now_s=0.0):
        fleet = Fleet(name, "a", "a-1")
        fleet.apply_view(self.view, now_s)
        return fleet

    def apply_view(self, now_s=0.0, **values):
        self.view = attrs.evolve(self.view, revision=self.view.revision + 1, **values)
        self.fleet.apply_view(self.view, now_s)

    def choose(self, region="a", key="", now_s=0.0, fleet=None, **values):
        values = {
            "exclude": (),
            "cold_per_s": 5.0,
            "target_s": 0.5,
            "connections": 800,
            **values,
        }
        choice = (fleet or self.fleet).choose(
            "s", region, now_s, key=key, times=self.times, **values
        )
        return choice.member if choice else None


class TestChoice(FleetCase):
    def test_own_failure_domain_is_preferred(self):
        self.assertEqual(self.choose().row.domain, "a-1")

    def test_load_spreads_evenly(self):
        for _ in range(12):
            self.fleet.begin_request(self.choose(), 5.0, 0.0, 1.0)
        own = [
            m.in_flight for m in self.fleet.members.values() if m.row.domain[0] == "a"
        ]
        self.assertLessEqual(max(own) - min(own), 4)
        self.assertEqual(sum(own), 12)

    def test_none_when_all_are_full(self):
        for member in self.fleet.members.values():
            member.update_load(4, 4, 0.0)
        self.assertIsNone(self.choose())

    def test_excluded_members_are_not_chosen(self):
        excluded = {f"a-1-{number}" for number in range(3)}
        self.assertEqual(self.choose(exclude=excluded).row.domain, "a-2")

    def test_closed_evacuated_and_stale_members_are_not_usable(self):
        rows = tuple(
            attrs.evolve(row, leaving=row.backend_id == "a-1-0")
            for row in self.view.backends
        )
        self.apply_view(backends=rows, evacuated=("a-2",))
        self.fleet.mark_stale(self.fleet.members["a-1-1"])
        usable = [m.row.backend_id for m in self.fleet.usable("s", 0.0)]
        self.assertEqual([i for i in usable if i[0] == "a"], ["a-1-2"])

    def test_connection_limit_is_divided_over_all_instances(self):
        self.apply_view(backends=(backend("i"),))
        member = self.fleet.members["i"]
        self.assertIsNotNone(self.choose(connections=16))
        member.in_flight = 2
        self.assertIsNone(self.choose(connections=16))
        self.assertIsNotNone(self.choose(connections=24))

    def test_reported_load_decays_without_new_reports(self):
        member = self.fleet.members["a-1-0"]
        member.update_load(4, 4, 0.0)
        self.assertEqual(member.load(0.0), 8)
        self.assertLess(member.load(3.0), 1)


class TestAffinity(FleetCase):
    def test_all_instances_choose_the_same_primary(self):
        other = self.fleet_of("e5")
        for key in KEYS:
            self.assertEqual(
                self.choose(key=key).row.backend_id,
                self.choose(key=key, fleet=other).row.backend_id,
            )

    def test_keys_spread_over_members(self):
        chosen = [self.choose(key=key).row.backend_id for key in KEYS]
        self.assertEqual(len(set(chosen)), 3)
        self.assertLessEqual(max(map(chosen.count, set(chosen))), 24)

    def test_queue_is_bounded_by_the_target_latency(self):
        self.apply_view(backends=(backend("i"),))
        member = self.fleet.members["i"]
        for load, target_s, is_chosen in (
            (4, 0.2, True),
            (5, 0.2, False),
            (5, 0.3, True),
            (7, 0.5, True),
            (8, 9.0, False),
        ):
            member.update_load(load, 0, 0.0)
            chosen = self.choose(target_s=target_s)
            self.assertEqual(chosen is not None, is_chosen, (load, target_s))

    def test_busy_other_members_get_no_request(self):
        self.keep_own_domain()
        for member in self.fleet.members.values():
            member.update_load(2, 0, 0.0)
        for _ in range(2):
            self.choose(key="k").update_load(9, 0, 0.0)
        self.assertIsNone(self.choose(key="k"))

    def shared_primaries(self, key_count):
        """Return the keys whose callers in two failure domains use one primary."""
        other = Fleet("e9", "a", "a-2")
        other.apply_view(self.view, 0.0)
        return {
            key
            for key in map(str, range(400))
            if self.choose(key=key, key_count=key_count).row.backend_id
            == self.choose(key=key, key_count=key_count, fleet=other).row.backend_id
        }

    def test_domains_share_the_primaries_of_keys_that_they_can_not_cache(self):
        cacheable = 3 * CACHED_KEYS
        self.assertEqual(self.shared_primaries(cacheable), set())
        self.assertGreater(len(self.shared_primaries(10 * cacheable)), 0.75 * 400)

    def test_more_keys_move_few_primaries(self):
        before = self.shared_primaries(80)
        after = self.shared_primaries(88)
        self.assertLessEqual(before, after)
        self.assertLess(len(after - before), 0.1 * 400)

    def test_secondary_is_the_primary_of_the_other_domain(self):
        other = Fleet("e9", "a", "a-2")
        other.apply_view(self.view, 0.0)
        for key in KEYS:
            primary = self.choose(key=key)
            primary.update_load(9, 0, 0.0)
            secondary = self.choose(key=key)
            other_primary = self.choose(key=key, fleet=other)
            self.assertEqual(secondary.row.domain, "a-2")
            self.assertEqual(secondary.row.backend_id, other_primary.row.backend_id)
            primary.update_load(0, 0, 0.0)

    def test_ranks_of_removed_members_are_dropped(self):
        for number in range(50):
            self.apply_view(backends=(backend(f"i{number}"), backend(f"j{number}")))
            self.choose(key="k")
        self.assertLessEqual(len(self.fleet.tiers._ranks["s", "k"]), 2)

    def test_busy_secondary_gets_no_request(self):
        self.keep_own_domain()
        primary = self.choose(key="k")
        for member in self.fleet.members.values():
            member.update_load(3, 0, 0.0)
        primary.update_load(9, 0, 0.0)
        self.assertIsNone(self.choose(key="k"))

    def test_other_region_has_one_primary(self):
        for key in KEYS:
            first = self.choose("b", key)
            first.update_load(2, 0, 0.0)
            self.assertIs(self.choose("b", key), first)

    def keep_own_domain(self):
        rows = (row for row in self.view.backends if row.domain == "a-1")
        self.apply_view(backends=tuple(rows))

    def test_short_queue_at_the_primary_beats_an_idle_other_member(self):
        self.keep_own_domain()
        primary = self.choose(key="k")
        primary.update_load(4, 0, 0.0)
        self.assertIs(self.choose(key="k"), primary)

    def test_long_queue_at_the_primary_does_not_beat_an_idle_member(self):
        self.keep_own_domain()
        primary = self.choose(key="k")
        primary.update_load(4, 3, 0.0)
        self.times.mean_s = 1.0
        self.assertIsNot(self.choose(key="k"), primary)


class TestColdStart(FleetCase):
    def setUp(self):
        super().setUp()
        self.view = attrs.evolve(
            self.view, backends=(backend("i", cold_s=3.0, born_ms=5),)
        )
        self.fleets = [self.fleet_of(f"e{number}") for number in range(8)]

    def test_all_instances_together_stay_below_the_cold_rate(self):
        cold_per_s, sent = 5.0, []
        for step in range(120):
            now_s = step * 0.025
            for fleet in self.fleets:
                member = self.choose(now_s=now_s, fleet=fleet, cold_per_s=cold_per_s)
                if member is not None:
                    fleet.begin_request(member, cold_per_s, now_s, 1.0)
                    member.in_flight = 0
                    sent.append(now_s)
        for start_s in sent:
            count = sum(start_s <= at_s < start_s + 1 for at_s in sent)
            self.assertLessEqual(count, cold_per_s + 1)
        self.assertGreaterEqual(len(sent), COLD_OWNERS)

    def test_warm_after_the_cold_start(self):
        fleet = self.fleets[0]
        chosen = [self.choose(now_s=3.1, fleet=fleet) for fleet in self.fleets]
        self.assertTrue(all(chosen))
        fleet.apply_view(attrs.evolve(self.view, revision=9), 4.0)
        self.assertIsNotNone(self.choose(now_s=4.0, fleet=fleet))


class TestEjection(FleetCase):
    def record_failures(self, name, times=3, now_s=0.0):
        return [
            self.fleet.record_failure(self.fleet.members[name], now_s)
            for _ in range(times)
        ]

    def test_consecutive_failures_eject_for_a_limited_time(self):
        self.assertEqual(self.record_failures("a-1-0"), [False, False, True])
        names = [m.row.backend_id for m in self.fleet.usable("s", 0.5)]
        self.assertNotIn("a-1-0", names)
        names = [m.row.backend_id for m in self.fleet.usable("s", 1.0)]
        self.assertIn("a-1-0", names)

    def test_success_resets_the_failure_count(self):
        self.record_failures("a-1-0", 2)
        self.fleet.record_success(self.fleet.members["a-1-0"])
        self.assertEqual(self.record_failures("a-1-0", 1), [False])

    def test_ejection_ceiling(self):
        for name in self.fleet.members:
            self.record_failures(name)
        self.assertEqual(len(self.fleet.usable("s", 0.5)), 6)

    def test_one_request_at_a_time_after_an_ejection(self):
        self.apply_view(backends=(backend("only"),))
        member = self.choose(now_s=2.0)
        member.ejections = 1
        self.fleet.begin_request(member, 5.0, 2.0, 1.0)
        self.assertIsNone(self.choose(now_s=2.0))
        self.fleet.record_success(member)
        self.assertIs(self.choose(now_s=2.0), member)

    def test_unresponsive_member_gets_no_request_until_it_responds(self):
        first = self.choose()
        self.fleet.begin_request(first, 5.0, 0.0, 1.0)
        first.in_flight = 0
        before = self.fleet.capacity("s", 0.9)
        self.assertIs(self.choose(now_s=0.9), first)
        self.assertIsNot(self.choose(now_s=1.0), first)
        self.assertEqual(self.fleet.capacity("s", 1.0), before)
        self.fleet.record_response(first, 1.1, 1.0)
        self.assertIs(self.choose(now_s=1.2), first)

    def test_idle_member_is_not_unresponsive(self):
        first = self.choose()
        self.fleet.begin_request(first, 5.0, 0.0, 1.0)
        self.fleet.end_request(first)
        self.assertIs(self.choose(now_s=9.0), first)

    def test_unresponsive_members_are_kept_when_they_are_the_majority(self):
        members = [m for m in self.fleet.members.values() if m.row.region == "a"]
        for member in members[:4]:
            self.fleet.begin_request(member, 5.0, 0.0, 1.0)
        chosen = {self.choose(now_s=2.0, key=key).row.backend_id for key in KEYS}
        self.assertEqual(len(chosen), 3)

    def test_one_member_is_usable_when_all_are_ejected(self):
        self.apply_view(backends=(backend("only"),))
        self.fleet.members["only"].ejected_until_s = 9.0
        self.assertEqual(len(self.fleet.usable("s", 0.0)), 1)

    def test_new_incarnation_starts_healthy(self):
        self.record_failures("a-1-0")
        rows = tuple(attrs.evolve(row, born_ms=7) for row in self.view.backends)
        self.apply_view(backends=rows)
        self.assertEqual(self.fleet.members["a-1-0"].failures, 0)


if __name__ == "__main__":
    unittest.main()
