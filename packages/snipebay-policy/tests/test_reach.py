"""Tests that tell an own loss of reach from failures of backend servers."""

import types
import unittest

from snipebay_model.view import BackendRow, EntryRow, View
from snipebay_policy.hop_table import HopTable
from snipebay_policy.reach import (
    PROBE_INTERVAL_S,
    SILENCE_S,
    SUSPICION_INTERVAL_S,
    Reach,
    ReachMonitor,
)

TICK_S = 0.025
DOMAINS = ("a-1", "a-2", "b-1", "b-2")


def backend(number):
    domain = DOMAINS[number % len(DOMAINS)]
    return BackendRow(f"i{number}", "s", f"10.0.1.{number}:80", domain[0], domain, 4)


BACKENDS = [backend(number) for number in range(12)]


class ReachCase(unittest.TestCase):
    def setUp(self):
        self.reach = ReachMonitor()
        self.now_s = 0.0
        self.attempts = []
        self.run_for(0.1)
        self.reach.on_response(self.now_s)

    def run_for(self, seconds):
        """Tick, and return the probes that were due."""
        probes = []
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            self.reach.tick(self.attempts, lambda: BACKENDS, self.now_s)
            probes += self.reach.next_probes(lambda: BACKENDS, self.now_s)
        return probes

    def fail(self, *numbers):
        for number in numbers:
            self.reach.on_failure(BACKENDS[number])
        return self.run_for(TICK_S)

    def isolate(self):
        for _ in self.fail(0, 4, 8, 1):
            self.reach.on_probe(False, self.now_s)
        self.assertTrue(self.reach.is_isolated)


class TestSuspicion(ReachCase):
    """A failing region of backend servers must not isolate its entry instances."""

    def test_few_failures_raise_none(self):
        self.assertEqual(self.fail(0, 4), [])
        self.reach.on_response(self.now_s)
        self.assertEqual(self.fail(0, 0, 0, 0), [])

    def test_response_in_between_ends_the_count(self):
        self.fail(0, 4)
        self.reach.on_response(self.now_s)
        self.assertEqual(self.fail(1, 2), [])

    def test_other_failure_domains_are_probed(self):
        probes = self.fail(0, 4, 8, 1)
        self.assertEqual({row.domain for row in probes}, set(DOMAINS))
        self.assertEqual({row.domain for row in probes[:2]}, {"b-1", "b-2"})

    def test_one_connection_clears_it(self):
        first, *others = self.fail(0, 4, 8, 1)
        self.assertFalse(self.reach.on_probe(True, self.now_s))
        for _ in others:
            self.assertFalse(self.reach.on_probe(False, self.now_s))
        self.assertIs(self.reach.state, Reach.REACHED)

    def test_suspicions_are_limited_in_rate(self):
        for _ in self.fail(0, 4, 8, 1):
            self.reach.on_probe(True, self.now_s)
        self.assertEqual(self.fail(0, 4, 8, 1), [])
        self.run_for(SUSPICION_INTERVAL_S)
        self.assertIs(self.reach.state, Reach.SUSPECTED)

    def test_silence_of_kept_connections_raises_it(self):
        started_s = self.now_s
        self.attempts = [
            types.SimpleNamespace(
                member=types.SimpleNamespace(row=row), started_s=started_s
            )
            for row in BACKENDS[:2]
        ]
        self.assertEqual(self.run_for(SILENCE_S - 2 * TICK_S), [])
        self.assertTrue(self.run_for(4 * TICK_S))

    def test_time_without_ticks_is_no_silence(self):
        self.test_silence_of_kept_connections_raises_it()
        self.setUp()
        self.attempts = [
            types.SimpleNamespace(
                member=types.SimpleNamespace(row=row), started_s=self.now_s
            )
            for row in BACKENDS[:2]
        ]
        self.now_s += 5.0
        self.assertEqual(self.run_for(0.1), [])


class TestReturn(ReachCase):
    """An instance that is back must be used again, without a swing at each packet."""

    def test_one_success_is_not_enough(self):
        self.isolate()
        self.assertFalse(self.reach.on_probe(True, self.now_s))
        self.assertTrue(self.reach.is_isolated)

    def test_several_successes_are_despite_failures_in_between(self):
        self.isolate()
        results = (True, False, True, False, True)
        changes = [self.reach.on_probe(result, self.now_s) for result in results]
        self.assertEqual(changes, [False] * 4 + [True])

    def test_rate_of_probes_is_limited(self):
        self.isolate()
        probes = self.run_for(20 * PROBE_INTERVAL_S)
        self.assertLessEqual(len(probes), 21)
        self.assertEqual({row.domain for row in probes}, set(DOMAINS))


class TestHopTable(unittest.TestCase):
    """A hop must not leave the regions of a route, nor end at a isolated instance."""

    def setUp(self):
        domains = ("a-1", "a-1", "a-2", "b-1")
        rows = [
            EntryRow(f"e{n}", "x", f"10.0.0.{n}:80", f"e{n}", domain[0], domain)
            for n, domain in enumerate(domains)
        ]
        self.table = HopTable(rows[0])
        self.table.apply_view(View(1, entries=tuple(rows)))

    def choose(self, allowed=(), exclude=()):
        member = self.table.choose(allowed, exclude)
        return member.row.backend_id if member else None

    def test_nearest_first(self):
        self.assertEqual(self.choose(), "e1")
        self.assertEqual(self.choose(exclude={"e1"}), "e2")
        self.table.update_isolated(("e1", "e2"))
        self.assertEqual(self.choose(), "e3")

    def test_regions_of_the_route_are_kept(self):
        self.table.update_isolated(("e1", "e2"))
        self.assertIsNone(self.choose(allowed=("a",)))
        self.assertEqual(self.choose(allowed=("a", "b")), "e3")

    def test_none_when_all_are_isolated(self):
        self.table.update_isolated(("e1", "e2", "e3"))
        self.assertIsNone(self.choose())


if __name__ == "__main__":
    unittest.main()
