"""Tests of what the pace of backend servers and near failure domains change."""

import math
import unittest

import attrs
from snipebay_model.load_news import LoadNews, LoadRow
from snipebay_model.view import BackendRow, EntryRow, View
from snipebay_policy.balancing.near_domains import MIN_SAMPLES
from snipebay_policy.fleet import Fleet
from snipebay_policy.service_times import PRIMARY, ServiceTimes
from snipebay_policy.work import Probe, Send
from snipebay_testbed.forward_case import ForwardCase

KEYS = [f"k{n}" for n in range(60)]
VIEW = View(
    1,
    backends=tuple(
        BackendRow(f"{d}-{n}", "s", f"{d}{n}:1", "a", d, 6)
        for d in ("a-1", "a-2")
        for n in range(6)
    ),
)


class FleetCase(unittest.TestCase):
    def setUp(self):
        self.fleet = self.fleet_in("a-1")

    def fleet_in(self, domain):
        fleet = Fleet("e0", "a", domain)
        fleet.apply_view(VIEW, 0.0)
        return fleet

    def choose(self, fleet, key="", now_s=0.0, target_s=0.741):
        return fleet.choose(
            "s",
            "a",
            now_s,
            key=key,
            key_count=len(KEYS),
            times=ServiceTimes([0.2, 0.3, 0.6], mean_s=0.2),
            target_s=target_s,
            exclude=(),
            cold_per_s=math.inf,
            connections=800,
        )


class TestPace(FleetCase):
    def test_slow_servers_get_less_but_not_for_ever(self):
        slow = self.choose(self.fleet).member
        slow.update_load(0, 0, 0.0, 3.0)
        self.assertIsNot(self.choose(self.fleet).member, slow)
        self.assertAlmostEqual(slow.pace_at(10.0), 1.0, 3)
        for member in self.fleet.members.values():
            if member is not slow:
                member.update_load(2, 0, 10.0)
        self.assertIs(self.choose(self.fleet, now_s=10.0).member, slow)

    def test_key_leaves_its_primary_only_if_that_would_be_late(self):
        primary = self.choose(self.fleet, "k1").member
        primary.update_load(0, 0, 0.0, 2.5)
        self.assertIs(self.choose(self.fleet, "k1").member, primary)
        primary.update_load(0, 0, 0.0, 8.0)
        self.assertNotEqual(self.choose(self.fleet, "k1").tier, PRIMARY)


class TestNearDomains(FleetCase):
    def measure(self, fleet, other_s):
        fleet.near_domains.is_enabled = True
        for row in VIEW.backends:
            own = row.domain == fleet.domain
            fleet.near_domains.record_connect(row.address, 0.001 if own else other_s)

    def primaries(self, *fleets):
        return [
            {self.choose(f, key).member.row.backend_id for f in fleets} for key in KEYS
        ]

    def test_near_domains_share_one_primary(self):
        fleets = [self.fleet_in("a-1"), self.fleet_in("a-2")]
        self.assertTrue(all(len(ids) == 2 for ids in self.primaries(*fleets)))
        for fleet in fleets:
            self.measure(fleet, 0.002)
        self.assertTrue(all(len(ids) == 1 for ids in self.primaries(*fleets)))

    def test_domains_three_milliseconds_apart_are_not_near(self):
        self.measure(self.fleet, 0.007)
        self.assertEqual(self.fleet.near_domains.near(60.0), frozenset())

    def test_few_samples_or_no_pace_change_nothing(self):
        near_domains = self.fleet.near_domains
        for row in (VIEW.backends[0], VIEW.backends[-1]):
            for _ in range(MIN_SAMPLES - 1):
                near_domains.record_connect(row.address, 0.001)
        near_domains.is_enabled = True
        self.assertEqual(near_domains.near(0.741), frozenset())
        self.measure(self.fleet, 0.001)
        near_domains.is_enabled = False
        self.assertEqual(near_domains.near(0.741), frozenset())


class TestReports(ForwardCase):
    def test_usual_time_is_learned(self):
        dispatch = self.send()
        self.now_s = 0.6
        self.core.forward.on_load_report(dispatch.attempt_id, 0, 0, 0.6, 3.0)
        self.core.forward.on_response(dispatch.attempt_id, 200, 0.6)
        self.assertAlmostEqual(self.core.times("s").by_tier[PRIMARY], 0.2)

    def test_news_are_taken_over_and_sent_to_the_region(self):
        peer = EntryRow("e1", "x", "10.0.0.2:80", "e1", "a", "a-1")
        entries = (*self.core.view.entries, peer)
        self.core.load_exchange.apply_view(
            attrs.evolve(self.core.view, entries=entries)
        )
        news = LoadNews((LoadRow("i0", self.core.view.backends[0].born_ms, 1, 300, 5),))
        self.core.receive("e1", news, 0.0)
        self.assertEqual(self.core.fleet.members["i0"].pace, 3.0)
        self.assertEqual(self.send().backend.backend_id, "i1")
        self.core.tick(0.2)
        sent = [a for a in self.core.pop_actions() if isinstance(a, Send)]
        (message,) = (a for a in sent if isinstance(a.body, LoadNews))
        self.assertEqual(message.target, "e1")

    def test_probes_to_measure_start_with_the_first_pace_and_end(self):
        rows = tuple(attrs.evolve(r, domain="a-2") for r in self.core.view.backends[1:])
        view = attrs.evolve(
            self.core.view, backends=(*self.core.view.backends[:1], *rows)
        )
        self.core.fleet.apply_view(view, 0.0)
        self.assertFalse([a for a in self.tick(0.2) if isinstance(a, Probe)])
        dispatch = self.send()
        self.core.forward.on_load_report(dispatch.attempt_id, 0, 0, 0.2, 1.0)
        found = [a for _ in range(80) for a in self.tick(0.2) if isinstance(a, Probe)]
        self.assertLess(len(found), 45)
        self.assertEqual({a.backend.domain for a in found}, {"a-1", "a-2"})
        self.assertFalse(any(a.tests_reach for a in found))


if __name__ == "__main__":
    unittest.main()
