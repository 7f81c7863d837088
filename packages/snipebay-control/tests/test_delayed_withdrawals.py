"""Tests that delayed withdrawals do not remove a later incarnation."""

import unittest

import attrs
import numpy as np
from snipebay_control.core import ControlConfig
from snipebay_control.registration_guard import RegistrationGuard
from snipebay_control.sessions import LeaseTiming
from snipebay_model.messages import WITHDRAWN, Evacuate, PutBackend, RemoveBackend
from snipebay_model.view import BackendRow
from snipebay_testbed.control_rig import ControlRig

RANDOM_SEEDS = range(30)
# A call may arrive this long after its sender gave it up.
MAX_DELAY_S = 8.0
LEASE_S = LeaseTiming().backend_lease_s


def backend(**values):
    values = {"born_ms": 100, "sequence": 1, **values}
    return BackendRow("i-1", "s", "10.0.0.1:80", "a", "a-1", 4, **values)


class TestRegistrationGuard(unittest.TestCase):
    def setUp(self):
        self.guard = RegistrationGuard(10, [backend()])

    def assert_outdated(self, expected, base_index, born_ms=0):
        found = self.guard.is_outdated("i-1", born_ms, base_index)
        self.assertEqual(found, expected)

    def test_registration_in_the_initial_state_may_be_as_new_as_that(self):
        self.assert_outdated(True, 9)
        self.assert_outdated(False, 10)
        self.assert_outdated(False, -1)

    def test_only_a_change_of_the_incarnation_is_a_registration(self):
        self.guard.record_applied(backend(sequence=2), 20, backend(sequence=2))
        self.assert_outdated(False, 19)
        self.guard.record_applied(backend(born_ms=200), 21, backend(born_ms=200))
        self.assert_outdated(True, 20)
        self.guard.record_applied(backend(), 22, backend(born_ms=200))
        self.assert_outdated(False, 21)

    def test_known_start_time_decides_alone(self):
        self.assert_outdated(False, 5, born_ms=100)
        self.assert_outdated(True, 11, born_ms=99)

    def test_proposed_registration_counts_until_the_term_ends(self):
        self.guard.record_proposed(backend(born_ms=200), 20)
        self.assert_outdated(True, 19)
        self.guard.record_proposed(backend(), 21)
        self.assert_outdated(True, 19)
        self.guard.start_term()
        self.assert_outdated(False, 19)

    def test_registrations_that_ended_unnoticed_are_forgotten(self):
        for number in range(500):
            row = backend(born_ms=number)
            row = attrs.evolve(row, backend_id=f"i-{number}")
            self.guard.record_applied(row, number, row)
            self.guard.prune({row.backend_id})
        self.assertLess(len(self.guard._applied), 100)

    def test_removed_incarnation_has_no_withdrawal_to_refuse(self):
        self.guard.record_removed("i-1")
        self.assert_outdated(False, 0)


class WithdrawalCase(unittest.TestCase):
    def setUp(self):
        self.start_group(ControlRig(1, 3))

    def start_group(self, rig):
        self.rig = rig
        rig.elect()
        self.announce()
        self.base = self.newest_index()

    @property
    def state(self):
        return self.rig.elect().core.state

    def newest_index(self):
        self.rig.scheduler.run_for(0.5)
        return self.rig.elect().core.applied_index

    def announce(self, base_index=-1, **values):
        return self.rig.call(PutBackend(backend(**values)), base_index=base_index).code

    def withdraw(self, base_index, born_ms=0):
        cmd = RemoveBackend("i-1", WITHDRAWN, born_ms)
        return self.rig.call(cmd, base_index=base_index).code

    def start_again(self, born_ms=200):
        """Withdraw the backend server and register its next incarnation."""
        self.assertEqual(self.withdraw(self.newest_index()), "ok")
        base_index = self.newest_index()
        self.assertEqual(self.announce(base_index, born_ms=born_ms), "ok")

    def assert_is_registered(self, born_ms=200):
        self.rig.scheduler.run_for(0.5)
        row = self.state.backends.get("i-1")
        self.assertEqual(row and row.born_ms, born_ms)

    def assert_delayed_one_is_refused(self):
        self.assertEqual(self.withdraw(self.base), "outdated")
        self.assert_is_registered()
        base_index = self.newest_index()
        self.assertEqual(self.announce(base_index, born_ms=200, sequence=2), "ok")


class TestDelayedWithdrawals(WithdrawalCase):
    """Guards against a restarted backend server that gets no requests any more."""

    def test_after_the_next_incarnation_was_registered(self):
        self.start_again()
        self.assert_delayed_one_is_refused()

    def test_on_the_connection_of_the_earlier_incarnation(self):
        self.start_again()
        self.assertEqual(self.withdraw(self.newest_index(), 100), "outdated")
        self.assert_is_registered()

    def test_at_a_new_leader(self):
        self.start_again()
        self.rig.leader.kill()
        self.rig.scheduler.run_for(1.5)
        self.assert_delayed_one_is_refused()

    def test_after_all_have_restarted(self):
        self.start_again()
        self.rig.restart_all()
        self.assert_delayed_one_is_refused()

    def test_after_all_have_restarted_from_a_snapshot(self):
        cfg = ControlConfig("", (), compact_entries=3)
        self.start_group(ControlRig(2, 3, cfg=cfg))
        self.start_again()
        for number in range(9):
            self.rig.call(Evacuate(f"b-{number}", True))
        for host in self.rig.hosts.values():
            self.assertGreater(host.core.raft.log.snapshot.index, self.base)
        self.rig.restart_all()
        self.assert_delayed_one_is_refused()

    def test_while_the_registration_is_not_committed_yet(self):
        self.withdraw(self.newest_index())
        leader = self.rig.elect()
        followers = [h for h in self.rig.hosts.values() if h is not leader]
        for host in followers:
            host.freeze()
        self.rig.send(PutBackend(backend(born_ms=200)), leader.id)
        self.rig.scheduler.run_for(0.1)
        late = self.rig.send(RemoveBackend("i-1", WITHDRAWN), leader.id, self.base)
        self.rig.scheduler.run_for(0.1)
        for host in followers:
            host.thaw()
        self.rig.scheduler.run_for(0.5)
        self.assertEqual(self.rig.outcomes[late].code, "outdated")
        self.assert_is_registered()

    def test_held_up_at_a_suspended_leader(self):
        leader = self.rig.elect()
        leader.freeze()
        late = self.rig.send(RemoveBackend("i-1", WITHDRAWN), leader.id, self.base)
        self.rig.scheduler.run_for(3.0)
        self.start_again()
        leader.thaw()
        self.rig.scheduler.run_for(1.0)
        self.assertNotEqual(self.rig.outcomes[late].code, "ok")
        self.assert_is_registered()

    def test_after_the_lease_of_the_earlier_incarnation_has_run_out(self):
        self.rig.scheduler.run_for(LEASE_S + 2.0)
        self.assertNotIn("i-1", self.state.backends)
        self.announce(self.newest_index(), born_ms=200)
        self.assert_delayed_one_is_refused()

    def test_lease_that_runs_out_beside_a_new_registration(self):
        """The removal is proposed while the registration is on its way."""
        self.announce(sequence=2, leaving=True)
        leader = self.rig.elect()
        core = leader.core
        row = backend(born_ms=200)
        core._delayed.record_proposed(PutBackend(row), core.raft.log.last_index + 1)
        self.rig.scheduler.run_for(LEASE_S + 1.0)
        self.assertIn("i-1", core.state.backends)

    def test_own_withdrawals_are_applied(self):
        for base_index, born_ms in ((None, 0), (0, 200), (-1, 0)):
            with self.subTest(base_index=base_index, born_ms=born_ms):
                self.setUp()
                self.start_again()
                index = self.newest_index() if base_index is None else base_index
                self.assertEqual(self.withdraw(index, born_ms), "ok")
                self.assertNotIn("i-1", self.state.backends)

    def test_repeated_withdrawal_succeeds(self):
        self.withdraw(self.newest_index())
        self.assertEqual(self.withdraw(self.base), "missing")


class TestClockThatWentBack(WithdrawalCase):
    """Guards against a live backend server that is acknowledged but never used."""

    def test_lease_of_the_earlier_incarnation_is_not_renewed(self):
        for sequence in range(1, 12):
            self.announce(born_ms=50, sequence=sequence)
            self.rig.scheduler.run_for(LEASE_S / 4)
        self.assert_is_registered(50)

    def test_announcement_that_has_no_effect_is_not_acknowledged(self):
        self.assertEqual(self.announce(self.base, born_ms=50), "superseded")
        self.withdraw(self.newest_index())
        base_index = self.newest_index()
        self.assertEqual(self.announce(base_index, born_ms=50), "superseded")
        self.assertEqual(self.announce(base_index, sequence=2), "superseded")

    def test_delayed_or_leaving_one_is_stale(self):
        self.start_again()
        self.assertEqual(self.announce(self.base, sequence=2), "stale")
        self.withdraw(self.newest_index())
        base_index = self.newest_index()
        self.assertEqual(self.announce(base_index, born_ms=200, leaving=True), "stale")


class TestRandomIncarnations(unittest.TestCase):
    """Incarnations follow each other while calls come late and instances fail."""

    INCARNATIONS = 10

    def test_newest_acknowledged_incarnation_stays(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                cfg = ControlConfig("", (), compact_entries=10)
                rig = ControlRig(seed, 3, cfg=cfg, loss=0.01)
                rig.elect()
                self.run_incarnations(rig, np.random.default_rng(seed))

    def run_incarnations(self, rig, rng):
        for number in range(1, self.INCARNATIONS + 1):
            row = backend(born_ms=100 * number)
            self.call(rig, rng, PutBackend(row))
            disturbed = self.disturb(rig, rng)
            for sequence in range(2, 5):
                rig.scheduler.run_for(rng.uniform(0.1, 1.0))
                row = backend(born_ms=100 * number, sequence=sequence)
                self.call(rig, rng, PutBackend(row))
                rig.elect()
                found = rig.leader.core.state.backends["i-1"].born_ms
                self.assertEqual(found, 100 * number)
            if disturbed is not None:
                disturbed.thaw() if disturbed.frozen else disturbed.start()
            if rng.random() < 0.7:
                self.abandon(rig, rng, RemoveBackend("i-1", WITHDRAWN))
            if rng.random() < 0.7:
                self.call(rig, rng, RemoveBackend("i-1", WITHDRAWN))

    def abandon(self, rig, rng, cmd):
        """Connect to any instance; let the call reach control any time later."""
        base_index = rig.hosts[f"c{rng.integers(1, 4)}"].core.applied_index
        rig.scheduler.after(
            rng.uniform(0.0, MAX_DELAY_S), lambda: rig.send(cmd, base_index=base_index)
        )

    def disturb(self, rig, rng):
        """Kill or suspend an instance at times, and return it."""
        if rng.random() < 0.5:
            return None
        host = rig.hosts[f"c{rng.integers(1, 4)}"]
        (host.kill if rng.random() < 0.5 else host.freeze)()
        return host

    def call(self, rig, rng, cmd):
        """Send a call through one instance after another until it succeeds."""
        for _ in range(80):
            running = [h for h in rig.hosts.values() if h.is_running and not h.frozen]
            connected = running[int(rng.integers(len(running)))]
            request_id = rig.send(cmd, base_index=connected.core.applied_index)
            rig.scheduler.wait_for(lambda i=request_id: i in rig.outcomes, 1.0)
            outcome = rig.outcomes.get(request_id)
            if outcome is not None and outcome.code in ("ok", "missing"):
                return
            rig.scheduler.run_for(0.1)
        self.fail(f"{cmd!r} is not acknowledged")


if __name__ == "__main__":
    unittest.main()
