"""Tests of how an entry instance finds and follows control."""

import unittest

from snipebay_model.messages import RenewReply
from snipebay_model.view import EntryRow
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Send


class TestControlDiscovery(unittest.TestCase):
    def setUp(self):
        row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
        self.core = RoutedCore(RoutedConfig(row), ("c1", "c2"))

    def targets(self):
        return [a.target for a in self.core.pop_actions() if isinstance(a, Send)]

    def test_leader_that_is_no_seed_is_contacted_as_soon_as_it_is_known(self):
        self.core.tick(5.0)
        self.assertIn(self.targets()[0], ("c1", "c2"))
        self.core.receive("c1", RenewReply("c9", False, controls=("c9",)), 5.1)
        self.assertEqual(self.targets(), ["c9"])

    def test_unresponsive_leader_is_dropped(self):
        self.core.tick(5.0)
        self.core.receive("c1", RenewReply("c9", False), 5.1)
        self.targets()
        contacted = set()
        for step in range(4):
            self.core.tick(6.0 + step)
            contacted.update(self.targets())
        self.assertEqual(contacted, {"c1", "c2"})

    def test_new_seeds_are_contacted_and_discovered_instances_are_kept(self):
        self.core.receive("c1", RenewReply("", False, controls=("c7",)), 5.0)
        self.core.update_seeds(("c8",))
        contacted = set()
        for step in range(20):
            self.core.tick(6.0 + step)
            contacted.update(self.targets())
        self.assertEqual(contacted, {"c7", "c8", "c1", "c2"})

    def test_renews_often_until_a_plan_is_in_force(self):
        for step in range(40):
            self.core.tick(5.0 + step * 0.025)
        self.assertGreaterEqual(len(self.targets()), 5)

    def test_new_leader_that_names_itself_is_contacted(self):
        self.core.tick(60.0)
        self.targets()
        self.core.receive("c9#a", RenewReply("c9", False), 60.1)
        self.core.tick(60.7)
        self.assertEqual(self.targets(), ["c9"])

    def test_leader_that_only_names_itself_is_dropped(self):
        """It has lost its quorum and answers nothing."""
        contacted = set()
        for step in range(8):
            self.core.receive("c9", RenewReply("c9", False), 60.0 + step * 0.5)
            self.core.tick(60.1 + step * 0.5)
            contacted.update(self.targets())
        self.assertIn("c1", contacted)
