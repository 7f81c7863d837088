"""Tests of a control group whose members discover each other by seeds."""

import unittest

import attrs
import numpy as np
from snipebay_control.core import ControlConfig
from snipebay_control.sessions import LeaseTiming
from snipebay_model.messages import (
    WITHDRAWN,
    ApplyPlan,
    Evacuate,
    PutBackend,
    RemoveBackend,
    Renew,
)
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow
from snipebay_testbed.control_rig import ControlRig

SEEDS = ("c1", "c2", "c3")
RANDOM_SEEDS = range(20)


def plan(version, timeout_s=1.0):
    route = Route("r", "a.example", "/a/", True, timeout_s, 0.5, 1, (("s", 1.0),))
    return Plan(version, (route,), (RoutedService("s"),), source=b"%d" % version)


def plan_change(version, base, digest=None):
    return ApplyPlan(digest or f"d{version}", base, plan(version))


def backend(backend_id="i-1", address="10.0.0.1:80", **values):
    values = {"born_ms": 100, "sequence": 1, **values}
    return BackendRow(backend_id, "s", address, "a", "a-1", 4, **values)


class DiscoveryCase(unittest.TestCase):
    def rig(self, seed, size=5, **values):
        return ControlRig(seed, size, seeds=SEEDS, **values)

    def assert_all_vote(self, rig, count):
        rig.scheduler.run_for(6.0)
        members = rig.elect().core.raft.members
        self.assertEqual(sum(members.values()), count, members)


class TestBootstrap(DiscoveryCase):
    def test_all_join_and_vote(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                self.assert_all_vote(self.rig(seed, loss=0.05), 5)

    def test_one_seed_down_at_the_first_start(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed, absent=("c2",))
                rig.elect(10.0)
                rig.hosts["c2"].start()
                self.assert_all_vote(rig, 5)

    def test_instances_that_are_no_seeds_do_not_bootstrap(self):
        rig = self.rig(1, absent=SEEDS)
        rig.scheduler.run_for(20.0)
        self.assertIsNone(rig.leader)
        self.assertFalse(rig.hosts["c4"].core.raft.members)

    def test_seed_with_a_lost_disk_rejoins_and_does_not_bootstrap(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed)
                self.assert_all_vote(rig, 5)
                rig.call(plan_change(1, 0))
                rig.hosts["c1"].lose_disk()
                rig.hosts["c1"].start()
                self.assertFalse(rig.hosts["c1"].core.raft.members)
                self.assert_all_vote(rig, 5)
                self.assertEqual(rig.hosts["c1"].core.state.plan.version, 1)
                self.assertIn("c1#a+", rig.leader.core.raft.members)
                self.assertNotIn("c1#a", rig.leader.core.raft.members)

    def test_group_elects_a_leader_after_all_were_killed(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed)
                self.assert_all_vote(rig, 5)
                rig.call(plan_change(3, 0))
                for host in rig.hosts.values():
                    host.kill()
                for host in rig.hosts.values():
                    host.start()
                rig.elect(6.0)
                self.assertEqual(rig.leader.core.state.plan.version, 3)

    def test_leader_that_restarts_with_all_others_is_reelected_at_once(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed, loss=0.02)
                self.assert_all_vote(rig, 5)
                rig.call(plan_change(3, 0))
                leader = rig.leader
                for host in rig.hosts.values():
                    host.kill()
                rig.scheduler.run_for(2.0)
                for host in rig.hosts.values():
                    host.start()
                    rig.scheduler.run_for(0.02)
                election_min_s = rig.cfg.raft.election_min_s
                elapsed_s = rig.scheduler.wait_for(
                    lambda r=rig: r.leader, election_min_s
                )
                self.assertIsNotNone(elapsed_s)
                self.assertIs(rig.leader, leader)
                self.assertEqual(leader.core.state.plan.version, 3)

    def test_leader_that_restarts_alone_follows_the_new_leader(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed, loss=0.02)
                self.assert_all_vote(rig, 5)
                old = rig.leader
                old.kill()
                rig.call(plan_change(1, 0))
                new = rig.leader
                old.start()
                rig.scheduler.run_for(2.0)
                self.assertIs(rig.leader, new)
                self.assertEqual(old.core.state.plan.version, 1)


class TestUnreachableMembers(DiscoveryCase):
    def test_unreachable_voter_is_removed_and_rejoins(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed, loss=0.02)
                self.assert_all_vote(rig, 5)
                rig.hosts["c5"].kill()
                rig.call(plan_change(1, 0))
                rig.scheduler.run_for(2 * rig.cfg.unreachable_timeout_s)
                self.assert_all_vote(rig, 4)
                rig.hosts["c5"].start()
                self.assert_all_vote(rig, 5)
                self.assertEqual(rig.hosts["c5"].core.state.plan.version, 1)

    def test_partitioned_voter_is_removed_and_rejoins(self):
        rig = self.rig(1)
        self.assert_all_vote(rig, 5)
        partitioned = next(h for h in rig.hosts.values() if h is not rig.leader)
        rig.network.partition(partitioned.id, rig.hosts)
        rig.scheduler.run_for(2 * rig.cfg.unreachable_timeout_s)
        self.assert_all_vote(rig, 4)
        rig.network.heal()
        self.assert_all_vote(rig, 5)

    def test_short_outage_removes_no_member(self):
        rig = self.rig(2)
        self.assert_all_vote(rig, 5)
        rig.hosts["c4"].kill()
        rig.scheduler.run_for(0.6 * rig.cfg.unreachable_timeout_s)
        self.assertEqual(sum(rig.elect().core.raft.members.values()), 5)

    def test_never_fewer_voters_than_initial_voters(self):
        rig = self.rig(3)
        self.assert_all_vote(rig, 5)
        for unreachable in ("c5", "c4", "c3"):
            rig.hosts[unreachable].kill()
            rig.scheduler.run_for(2 * rig.cfg.unreachable_timeout_s)
        self.assertEqual(sum(rig.elect().core.raft.members.values()), 3)

    def test_joining_member_does_not_count_as_unreachable(self):
        # The delay to the joining member is long, so the other members commit the
        # configuration before it has acknowledged the leader for the first time.
        def delay_s(source, target):
            return 0.1 if "c6" in source + target else 0.004

        rig = self.rig(5, 6, absent=("c6",), delay_s=delay_s)
        self.assert_all_vote(rig, 5)
        rig.scheduler.run_for(2 * rig.cfg.unreachable_timeout_s)
        raft = rig.elect().core.raft
        rig.hosts["c6"].start()
        configurations = []
        for _ in range(100):
            rig.scheduler.run_for(0.01)
            if not configurations or configurations[-1] != raft.members:
                configurations.append(dict(raft.members))
        self.assertEqual([len(members) for members in configurations], [5, 6, 6])
        self.assertTrue(configurations[-1]["c6#a"])

    def test_replaced_members_do_not_count_towards_the_majority(self):
        rig = self.rig(4, 7, absent=("c6", "c7"))
        self.assert_all_vote(rig, 5)
        for unreachable, replacement in (("c4", "c6"), ("c5", "c7")):
            rig.hosts[unreachable].kill()
            rig.hosts[replacement].start()
            rig.scheduler.run_for(2 * rig.cfg.unreachable_timeout_s)
        self.assert_all_vote(rig, 5)
        rig.hosts["c1"].kill()
        rig.hosts["c2"].kill()
        self.assertEqual(rig.call(plan_change(1, 0)).code, "ok")

    def test_removed_members_agree_with_the_rest_after_a_restart(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed, loss=0.02)
                self.assert_all_vote(rig, 5)
                for host in (rig.hosts["c4"], rig.hosts["c5"]):
                    host.kill()
                rig.scheduler.run_for(3 * rig.cfg.unreachable_timeout_s)
                rig.call(plan_change(1, 0))
                for host in rig.hosts.values():
                    if host.is_running:
                        host.kill()
                    host.start()
                self.assert_all_vote(rig, 5)
                self.assertEqual(rig.leader.core.state.plan.version, 1)


class TestPlans(DiscoveryCase):
    def test_retry_gets_the_same_outcome_from_a_new_leader(self):
        rig = self.rig(1)
        self.assert_all_vote(rig, 5)
        self.assertEqual(rig.call(plan_change(3, 0)).code, "ok")
        self.assertEqual(rig.call(plan_change(7, 3)).code, "ok")
        rig.leader.kill()
        rig.elect()
        self.assertEqual(rig.call(plan_change(3, 0)).code, "ok")
        self.assertEqual(rig.leader.core.state.plan.version, 7)

    def test_second_change_of_a_version_gets_a_conflict(self):
        rig = self.rig(2)
        self.assert_all_vote(rig, 5)
        first, second = (
            rig.call(plan_change(4, 0, "a")),
            rig.call(plan_change(4, 0, "b")),
        )
        self.assertEqual((first.code, second.code), ("ok", "conflict"))

    def test_version_that_does_not_increase_is_invalid(self):
        rig = self.rig(3)
        self.assert_all_vote(rig, 5)
        rig.call(plan_change(4, 0))
        self.assertEqual(rig.call(plan_change(4, 4, "again")).code, "invalid")

    def test_plan_and_evacuation_survive_a_snapshot(self):
        cfg = ControlConfig("", (), compact_entries=10)
        rig = self.rig(4, cfg=cfg)
        self.assert_all_vote(rig, 5)
        rig.call(plan_change(1, 0))
        rig.call(Evacuate("a-1", True))
        for number in range(40):
            rig.call(PutBackend(backend(sequence=number + 1, cold_s=float(number % 2))))
        rig.scheduler.run_for(1.0)
        for host in rig.hosts.values():
            self.assertGreater(host.core.raft.log.snapshot.index, 0)
            host.kill()
            host.start()
        state = rig.elect().core.state
        self.assertEqual(state.plan.version, 1)
        self.assertEqual(state.evacuated, {"a-1"})
        self.assertTrue(state.has_applied_plan("d1"))


class TestAnnouncements(DiscoveryCase):
    def setUp(self):
        self.group = self.rig(5)
        self.assert_all_vote(self.group, 5)
        self.group.call(plan_change(1, 0))

    def put(self, **values):
        return self.group.call(PutBackend(backend(**values))).code

    @property
    def backends(self):
        return self.group.leader.core.state.backends

    def test_delayed_announcement_is_ignored(self):
        self.put(sequence=4)
        self.put(sequence=5, leaving=True)
        self.assertEqual(self.put(sequence=3), "stale")
        self.assertTrue(self.backends["i-1"].leaving)

    def test_new_incarnation_restarts_the_sequence(self):
        self.put(sequence=9, leaving=True)
        self.assertEqual(self.put(born_ms=200, sequence=1), "ok")
        self.assertFalse(self.backends["i-1"].leaving)

    def test_withdrawn_incarnation_is_not_registered_again(self):
        self.put()
        self.group.call(RemoveBackend("i-1", WITHDRAWN))
        self.assertEqual(self.put(sequence=2), "stale")
        self.assertNotIn("i-1", self.backends)
        self.assertEqual(self.put(born_ms=300), "ok")

    def test_server_and_route_that_left_stay_away_after_all_restart(self):
        self.put(backend_id="kept", address="10.0.0.2:80")
        self.put()
        self.group.call(RemoveBackend("i-1", WITHDRAWN))
        without_routes = attrs.evolve(plan(2), routes=())
        self.group.call(ApplyPlan("d2", 1, without_routes))
        for host in self.group.hosts.values():
            host.kill()
        for host in self.group.hosts.values():
            host.start()
        self.group.elect()
        for sequence in (2, 9):
            self.assertEqual(self.put(sequence=sequence), "stale")
        self.assertEqual(set(self.backends), {"kept"})
        state = self.group.leader.core.state
        self.assertEqual(state.plan.routes, ())
        # An entry instance that starts gets what control has, and keeps nothing.
        found = state.delta(0)
        self.assertEqual([row.backend_id for row in found.backends], ["kept"])
        self.assertEqual(found.plan.routes, ())

    def test_address_goes_to_the_newest_incarnation(self):
        self.put(backend_id="old")
        self.put(backend_id="new", born_ms=200)
        self.assertEqual(set(self.backends), {"new"})
        self.assertEqual(self.put(backend_id="old", sequence=7), "stale")
        self.assertEqual(set(self.backends), {"new"})

    def test_backend_server_of_an_unknown_service_is_rejected(self):
        row = BackendRow("i-9", "nonsense", "10.0.0.1:80", "a", "a-1", 4)
        self.assertEqual(self.group.call(PutBackend(row)).code, "invalid")
        self.assertNotIn("i-9", self.backends)

    def test_renewals_append_no_log_entries(self):
        self.put()
        before = self.group.leader.core.raft.log.last_index
        for number in range(5):
            self.assertEqual(self.put(sequence=2 + number), "ok")
        self.assertEqual(self.group.leader.core.raft.log.last_index, before)

    def test_backend_server_is_removed_after_its_lease(self):
        self.put()
        self.group.scheduler.run_for(2.0)
        self.assertIn("i-1", self.backends)
        self.group.scheduler.run_for(2.0)
        self.assertNotIn("i-1", self.backends)


class TestEntries(DiscoveryCase):
    def test_expired_instance_is_removed_without_a_live_peer(self):
        cfg = ControlConfig(
            "", (), leases=LeaseTiming(completion_grace_s=0, needs_live_peer=False)
        )
        rig = self.rig(6, cfg=cfg)
        leader = self.leader_of(rig)
        row = EntryRow("e1", "x", "10.0.0.2:80", "e1", "a", "a-1")
        for _ in range(5):
            rig.network.send("e1", leader.id, Renew(row, 0, 0, 0))
            rig.scheduler.run_for(0.3)
        self.assertIn("e1", leader.core.state.entries)
        rig.scheduler.run_for(4.0)
        self.assertNotIn("e1", leader.core.state.entries)

    def test_expired_instance_that_returns_is_kept(self):
        cfg = ControlConfig(
            "", (), leases=LeaseTiming(completion_grace_s=0, needs_live_peer=False)
        )
        rig = self.rig(7, cfg=cfg)
        leader = self.leader_of(rig)
        row = EntryRow("e1", "x", "10.0.0.2:80", "e1", "a", "a-1")
        for incarnation in ("x", "y"):
            row = attrs.evolve(row, incarnation=incarnation)
            for _ in range(5):
                rig.network.send("e1", leader.id, Renew(row, 0, 0, 0))
                rig.scheduler.run_for(0.5)
                table = leader.core.state.entries
                self.assertIn("e1", table)
                self.assertEqual(table["e1"].incarnation, incarnation)
            rig.scheduler.run_for(8.0)
            self.assertNotIn("e1", leader.core.state.entries)

    def leader_of(self, rig):
        self.assert_all_vote(rig, 5)
        return rig.leader


class TestRandomFaults(DiscoveryCase):
    def test_acknowledged_changes_survive(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                rig = self.rig(seed, loss=0.03, duplicate=0.03)
                self.assert_all_vote(rig, 5)
                self.run_faults(rig, np.random.default_rng(seed))

    def run_faults(self, rig, rng):
        """Kill, wipe or partition one instance before each change."""
        for version in range(1, 7):
            host = rig.hosts[f"c{rng.integers(1, 6)}"]
            fault = rng.integers(3)
            if fault == 0:
                host.kill()
            elif fault == 1:
                host.lose_disk()
            else:
                rig.network.partition(host.id, rig.hosts)
            outcome = rig.call(plan_change(version, version - 1))
            self.assertEqual(outcome.code, "ok")
            rig.network.heal()
            if not host.is_running:
                host.start()
            rig.scheduler.run_for(5.0)
            self.assertEqual(rig.elect().core.state.plan.version, version)


if __name__ == "__main__":
    unittest.main()
