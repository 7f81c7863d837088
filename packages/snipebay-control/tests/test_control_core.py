"""Tests of a control group with a fixed member list under injected faults."""

import unittest

import attrs
import numpy as np
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_control.raft_log import HardState, PersistentState
from snipebay_control.waiting_renewals import WaitingRenewals
from snipebay_model.messages import (
    ApplyPlan,
    ApplySettings,
    LogEntry,
    PutBackend,
    Renew,
    VoteRequest,
)
from snipebay_model.plan import Plan
from snipebay_model.view import BackendRow, EntryRow
from snipebay_testbed.control_rig import ControlRig

SEEDS = range(25)
SETTINGS_TEMPLATE = (
    "regions: {{a: {{domains: [x]}}}}\nservices: {{v: {{rules: {{retries: {}}}}}}}\n"
)


def settings_change(number, base, change_id=None):
    return ApplySettings(
        change_id or f"change-{number}",
        base,
        "operator",
        SETTINGS_TEMPLATE.format(number % 5),
    )


def apply_changes(rig, count, base=0):
    """Apply settings changes in sequence and return the last revision."""
    for number in range(count):
        outcome = rig.call(settings_change(number, base, f"{base}-{number}"))
        assert outcome.code == "ok", outcome
        base = outcome.revision
    return base


class ControlCase(unittest.TestCase):
    """Assertions shared by the tests below."""

    def assert_all_at_revision(self, rig, revision):
        rig.scheduler.run_for(8.0)
        revisions = {
            host.id: host.core.state.settings_revision for host in rig.hosts.values()
        }
        self.assertEqual(set(revisions.values()), {revision}, f"at {revisions}")


class TestLogSize(ControlCase):
    """Operators change a long plan hundreds of times a day."""

    CHANGES, DOCUMENT_BYTES, LIMIT_BYTES = 60, 50_000, 400_000

    def apply_plans(self, rig, first, last):
        for version in range(first, last):
            source = bytes(self.DOCUMENT_BYTES) + str(version).encode()
            plan = Plan(version, source=source)
            outcome = rig.call(ApplyPlan(f"d{version}", version - 1, plan))
            self.assertEqual(outcome.code, "ok")

    def test_start_with_a_long_log_of_which_nothing_is_committed(self):
        # A crash after the entry was saved that makes the log long.
        entries = tuple(LogEntry(i, 1, "command", b"") for i in range(1, 9))
        stored = PersistentState(HardState(1), entries=entries)
        cfg = ControlConfig("c1#a", ("c1", "c2", "c3"), compact_entries=3)
        core = ControlCore(cfg, stored, np.random.default_rng(1), 0.0)
        core.receive("c2#a", VoteRequest(2, 8, 1), 1.0)
        for _ in range(3):
            core.complete_ready(core.pop_ready())
        self.assertTrue(core.pop_ready().is_empty)

    def test_log_is_compacted_by_bytes(self):
        cfg = ControlConfig("", (), compact_bytes=self.LIMIT_BYTES)
        rig = ControlRig(1, cfg=cfg)
        rig.elect()
        self.apply_plans(rig, 1, self.CHANGES)
        rig.hosts["c3"].kill()
        self.apply_plans(rig, self.CHANGES, 2 * self.CHANGES)
        rig.hosts["c3"].start()
        rig.scheduler.run_for(5.0)
        for host in rig.hosts.values():
            held = sum(len(entry.data) for entry in host.disk.log.entries)
            self.assertLess(held, self.LIMIT_BYTES + 2 * self.DOCUMENT_BYTES)
            self.assertEqual(host.core.state.plan.version, 2 * self.CHANGES - 1)
        for host in rig.hosts.values():
            host.kill()
        for host in rig.hosts.values():
            host.start()
        rig.elect()
        rig.scheduler.run_for(2.0)
        for host in rig.hosts.values():
            self.assertEqual(host.core.state.plan.version, 2 * self.CHANGES - 1)


class TestElection(ControlCase):
    def test_starts_with_all_members_voting(self):
        rig = ControlRig(1, 5)
        members = rig.elect().core.raft.members
        self.assertEqual(len(members), 5)
        self.assertTrue(all(members.values()))

    def test_first_start_waits_for_all_members(self):
        rig = ControlRig(2, absent=("c3",))
        rig.scheduler.run_for(10)
        self.assertIsNone(rig.leader)
        rig.hosts["c3"].start()
        rig.elect()

    def test_new_leader_answers_what_it_was_asked_before_the_election(self):
        rig = ControlRig(1, 3)
        replies = []
        rig.network.receivers["e1"] = lambda sender, body: replies.append(body)
        row = EntryRow("e1", "x", "10.0.0.1:80", "e1", "a", "a-1")
        while not any(host.core.raft.is_leader for host in rig.hosts.values()):
            asked_s = rig.scheduler.now_s
            for name in rig.hosts:
                rig.network.send("e1", name, Renew(row, 0, 0, 0))
            rig.scheduler.run_for(0.3)
        self.assertLess(rig.scheduler.now_s, asked_s + 0.4)
        rig.scheduler.run_for(1.0)
        self.assertEqual([reply.leader for reply in replies][-1], rig.leader.id)
        self.assertEqual(sum(reply.lease_ms > 0 for reply in replies), 1)

    def test_old_question_is_not_answered_by_a_new_leader(self):
        waiting = WaitingRenewals()
        waiting.record("e1", "old", 0.0)
        waiting.record("e2", "first", 0.5)
        waiting.record("e2", "second", 0.9)
        self.assertEqual(waiting.pop(1.2), [("e2", "second")])
        self.assertEqual(waiting.pop(1.2), [])

    def test_at_most_one_leader_holds_a_lease(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = ControlRig(seed, 5, loss=0.05, duplicate=0.05)
                leader = rig.elect()
                rig.network.partition(leader.id, rig.hosts)
                for _ in range(200):
                    rig.scheduler.run_for(0.02)
                    serving = [
                        host.id
                        for host in rig.hosts.values()
                        if host.core.raft.holds_lease(rig.scheduler.now_s)
                    ]
                    self.assertLessEqual(len(serving), 1)
                self.assertNotEqual(rig.leader.id, leader.id)

    def test_split_vote_is_resolved(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = ControlRig(seed, 4)
                rig.elect().kill()
                rig.elect(10)

    def test_partitioned_member_does_not_depose_the_leader(self):
        rig = ControlRig(3)
        leader = rig.elect()
        other = next(i for i in rig.hosts if i != leader.id)
        rig.network.partition(other, rig.hosts, outward=False)
        rig.scheduler.run_for(30)
        rig.network.heal()
        term = leader.core.raft.term
        rig.scheduler.run_for(10)
        self.assertIs(rig.leader, leader)
        self.assertEqual(leader.core.raft.term, term)

    def test_planned_stop_transfers_leadership_at_once(self):
        rig = ControlRig(4)
        leader = rig.elect()
        leader.core.stop()
        leader._process_output()
        elapsed_s = rig.scheduler.wait_for(
            lambda: rig.leader is not None and rig.leader is not leader, 5
        )
        self.assertLess(elapsed_s, 0.5)


class TestAcceptedChanges(ControlCase):
    def test_survive_kills_freezes_and_lost_disks(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = ControlRig(seed, loss=0.05, duplicate=0.05)
                rig.elect()
                base = 0
                for step in range(8):
                    base = apply_changes(rig, 2, base)
                    host = rig.hosts[f"c{rig.rng.integers(3) + 1}"]
                    self.inject_fault(rig, host, rig.rng.integers(4), step, base)
                self.assert_all_at_revision(rig, base)

    def inject_fault(self, rig, host, fault, step, base):
        if fault == 0:
            host.kill()
            rig.scheduler.run_for(1)
        elif fault == 1:
            host.lose_disk()
            rig.scheduler.run_for(0.3)
        elif fault == 2:
            host.freeze()
            rig.scheduler.run_for(3)
            host.thaw()
        else:
            host.crash_at_sync = ("before-sync", "after-sync")[step % 2]
            rig.call(settings_change(step, -1, f"refused-{step}"))
        if not host.is_running:
            host.start()
        rig.scheduler.run_for(6)

    def test_survive_a_second_loss_right_after_a_repair(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = ControlRig(seed)
                rig.elect()
                base = apply_changes(rig, 5)
                for instance_id in ("c1", "c2", "c3"):
                    host = rig.hosts[instance_id]
                    host.lose_disk()
                    host.start()
                    self.wait_until_repaired(rig, host)
                self.assert_all_at_revision(rig, base)

    def wait_until_repaired(self, rig, host):
        def repaired():
            members = rig.leader.core.raft.members if rig.leader else {}
            return members.get(host.node) and len(members) == 3

        self.assertIsNotNone(rig.scheduler.wait_for(repaired, 30), "not repaired")

    def test_member_with_a_lost_disk_does_not_vote(self):
        rig = ControlRig(5)
        rig.elect()
        base = apply_changes(rig, 3)
        survivor, wiped = rig.hosts["c1"], rig.hosts["c2"]
        rig.hosts["c3"].kill()
        wiped.lose_disk()
        wiped.start()
        rig.scheduler.run_for(30)
        self.assertIsNone(rig.leader)
        rig.hosts["c3"].start()
        rig.elect()
        self.assert_all_at_revision(rig, base)
        self.assertEqual(survivor.core.state.settings_revision, base)

    def test_reach_a_member_that_was_down_for_500_changes(self):
        cfg = ControlConfig("", (), compact_entries=50)
        rig = ControlRig(6, cfg=cfg)
        rig.elect()
        base = apply_changes(rig, 3)
        lagging = next(h for h in rig.hosts.values() if h is not rig.leader)
        lagging.kill()
        base = apply_changes(rig, 500, base)
        lagging.start()
        self.assert_all_at_revision(rig, base)
        self.assertGreater(lagging.disk.log.snapshot.index, 0)

    def test_survive_a_restart_of_all_members_after_500_changes(self):
        rig = ControlRig(7, cfg=ControlConfig("", (), compact_entries=50))
        rig.elect()
        base = apply_changes(rig, 500)
        for host in rig.hosts.values():
            host.kill()
        for host in rig.hosts.values():
            host.start()
        rig.elect()
        self.assert_all_at_revision(rig, base)

    def test_are_refused_by_a_partitioned_leader(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = ControlRig(seed)
                leader = rig.elect()
                base = apply_changes(rig, 2)
                rig.network.partition(leader.id, rig.hosts)
                no_reply_id = rig.send(settings_change(3, base, "lost"), leader.id)
                rig.scheduler.run_for(5)
                self.assertNotIn(no_reply_id, rig.outcomes)
                refused = rig.send(settings_change(4, base, "refused"), leader.id)
                rig.scheduler.run_for(1)
                self.assertEqual(rig.outcomes[refused].code, "not-leader")
                base = apply_changes(rig, 2, base)
                rig.network.heal()
                self.assert_all_at_revision(rig, base)


class TestOperators(ControlCase):
    def test_conflicting_change_names_the_concurrent_one(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                rig = ControlRig(seed, 4, loss=0.02)
                rig.elect()
                base = apply_changes(rig, 1)
                ids = [rig.send(settings_change(n, base, f"race-{n}")) for n in (1, 2)]
                rig.scheduler.run_for(5)
                found = [rig.outcomes[i] for i in ids if i in rig.outcomes]
                self.assertLessEqual([o.code for o in found].count("ok"), 1)
                for outcome in found:
                    if outcome.code == "conflict":
                        self.assertRegex(outcome.detail, "race-[12]")

    def test_change_with_a_base_before_the_first_settings_is_a_conflict(self):
        rig = ControlRig(7)
        rig.elect()
        outcome = rig.call(settings_change(1, 5))
        self.assertEqual(outcome.code, "conflict")
        self.assertIn("nothing is set yet", outcome.detail)
        self.assertEqual(rig.call(settings_change(2, 0)).code, "ok")

    def test_retry_after_a_lost_reply_returns_the_first_outcome(self):
        rig = ControlRig(8)
        rig.elect()
        first = rig.call(settings_change(1, 0, "same"))
        rig.leader.kill()
        again = rig.call(settings_change(1, 0, "same"))
        self.assertEqual(first, again)
        self.assertEqual(rig.leader.core.state.settings_revision, first.revision)

    def test_invalid_settings_are_rejected(self):
        rig = ControlRig(9)
        rig.elect()
        base = apply_changes(rig, 1)
        bad = attrs.evolve(settings_change(2, base), text="services: [")
        outcome = rig.call(bad)
        self.assertEqual(outcome.code, "invalid")
        self.assertIn("settings.yaml:1:", outcome.detail)
        self.assertEqual(rig.leader.core.state.settings_revision, base)


class TestEntryInstances(ControlCase):
    def join(self, rig, incarnation, address):
        row = EntryRow("e1", incarnation, address, address, "a", "x")
        replies = []
        rig.network.receivers["e1"] = lambda sender, body: replies.append(body)
        for _ in range(4):
            renew = Renew(row, int(rig.scheduler.now_s * 1_000), 0, 0)
            rig.network.send("e1", rig.leader.id, renew)
            rig.scheduler.run_for(0.3)
        return replies[-1]

    def test_second_instance_with_an_id_in_use_is_refused(self):
        rig = ControlRig(11)
        rig.elect()
        self.assertTrue(self.join(rig, "one", "127.0.0.1:1").granted)
        second = self.join(rig, "two", "127.0.0.1:2")
        self.assertFalse(second.granted)
        self.assertIn("instance id 'e1' is in use", second.refused)

    def test_restart_at_the_same_address_keeps_the_id(self):
        rig = ControlRig(12)
        rig.elect()
        self.join(rig, "one", "127.0.0.1:1")
        self.assertTrue(self.join(rig, "two", "127.0.0.1:1").granted)

    def test_last_instance_of_a_region_is_kept_as_it_may_still_serve(self):
        rig = ControlRig(13)
        rig.elect()
        self.join(rig, "one", "127.0.0.1:1")
        rig.scheduler.run_for(20)
        self.assertIn("e1", rig.leader.core.state.entries)


class TestBackendLeases(ControlCase):
    def test_backend_server_with_an_expired_lease_is_removed(self):
        rig = ControlRig(10)
        rig.elect()
        row = BackendRow("b1", "v", "127.0.0.1:1", "a", "x", 5)
        rig.call(PutBackend(row))
        self.assertIn("b1", rig.leader.core.state.backends)
        rig.scheduler.run_for(5)
        self.assertNotIn("b1", rig.leader.core.state.backends)


if __name__ == "__main__":
    unittest.main()
