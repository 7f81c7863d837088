"""Tests that delayed commands do not undo newer ones that were acknowledged."""

import unittest

import numpy as np
from snipebay_control.core import ControlConfig
from snipebay_control.order_guard import OrderGuard
from snipebay_control.sessions import LeaseTiming
from snipebay_model.messages import WITHDRAWN, Evacuate, PutBackend, RemoveBackend
from snipebay_model.view import BackendRow
from snipebay_testbed.control_rig import ControlRig

START = Evacuate("a-1", True)
END = Evacuate("a-1", False)
RANDOM_SEEDS = range(20)
# An order or an announcement may arrive this long after its sender gave it up.
MAX_DELAY_S = 8.0


def backend(**values):
    values = {"born_ms": 100, "sequence": 1, **values}
    return BackendRow("i-1", "s", "10.0.0.1:80", "a", "a-1", 4, **values)


class TestOrderGuard(unittest.TestCase):
    def test_only_an_opposite_order_above_the_base_counts(self):
        guard = OrderGuard(10, ())
        guard.record_applied(START, 20)
        self.assertTrue(guard.is_outdated(END, 19))
        self.assertFalse(guard.is_outdated(END, 20))
        self.assertFalse(guard.is_outdated(START, 5))
        self.assertFalse(guard.is_outdated(Evacuate("a-2", False), 5))

    def test_order_in_the_initial_state_may_be_as_new_as_that(self):
        guard = OrderGuard(10, ("a-1",))
        self.assertTrue(guard.is_outdated(END, 9))
        self.assertFalse(guard.is_outdated(END, 10))
        self.assertTrue(guard.is_outdated(Evacuate("a-2", True), 9))

    def test_proposed_order_counts_until_the_term_ends(self):
        guard = OrderGuard(0, ())
        guard.record_proposed(START, 20)
        self.assertTrue(guard.is_outdated(END, 19))
        guard.start_term()
        self.assertFalse(guard.is_outdated(END, 19))


class TestDelayedOrders(unittest.TestCase):
    """Guards against an abandoned withdrawal that ends a newer evacuation."""

    def setUp(self):
        self.rig = ControlRig(1, 3)
        self.rig.elect()
        self.call(START)
        self.abandoned_base = self.newest_index()
        self.call(END)
        self.call(START)

    def newest_index(self):
        self.rig.scheduler.run_for(0.5)
        return self.rig.elect().core.applied_index

    def call(self, cmd):
        outcome = self.rig.call(cmd, base_index=self.newest_index())
        self.assertEqual(outcome.code, "ok")

    def assert_abandoned_order_is_refused(self):
        outcome = self.rig.call(END, base_index=self.abandoned_base)
        self.assertEqual(outcome.code, "outdated")
        self.assertEqual(self.rig.elect().core.state.evacuated, {"a-1"})

    def test_order_that_arrives_late_is_refused(self):
        self.assert_abandoned_order_is_refused()

    def test_order_before_a_repeated_one_without_effect_is_refused(self):
        self.abandoned_base = self.newest_index()
        self.call(START)
        self.assert_abandoned_order_is_refused()

    def test_order_that_arrives_at_a_new_leader_is_refused(self):
        self.rig.leader.kill()
        self.rig.scheduler.run_for(3.0)
        self.assert_abandoned_order_is_refused()

    def test_order_that_arrives_after_all_have_restarted_is_refused(self):
        self.rig.restart_all()
        self.assert_abandoned_order_is_refused()

    def test_order_that_arrives_after_a_snapshot_was_installed_is_refused(self):
        rig = self.rig = ControlRig(2, 3, cfg=ControlConfig("", (), compact_entries=3))
        behind = next(h for h in rig.hosts.values() if h is not rig.elect())
        self.call(START)
        self.abandoned_base = self.newest_index()
        behind.kill()
        for order in (END, START, END, START, END, START):
            self.call(order)
        behind.start()
        rig.scheduler.run_for(3.0)
        while (leader := rig.elect()) is not behind:
            leader.kill()
            rig.elect()
            leader.start()
            rig.scheduler.run_for(1.0)
        self.assert_abandoned_order_is_refused()

    def test_order_held_up_at_a_suspended_leader_is_refused(self):
        leader = self.rig.elect()
        leader.freeze()
        late = self.rig.send(END, leader.id, self.abandoned_base)
        self.rig.scheduler.run_for(5.0)
        self.call(START)
        leader.thaw()
        self.rig.scheduler.run_for(3.0)
        self.assertNotEqual(self.rig.outcomes[late].code, "ok")
        self.assertEqual(self.rig.elect().core.state.evacuated, {"a-1"})

    def test_order_repeated_after_a_lost_response_succeeds(self):
        base = self.newest_index()
        self.call(END)
        self.assertEqual(self.rig.call(END, base_index=base).code, "ok")
        self.call(START)

    def test_order_of_a_sender_without_a_base_is_applied(self):
        self.assertEqual(self.rig.call(END).code, "ok")
        self.assertEqual(self.rig.elect().core.state.evacuated, set())


class TestRandomOrders(unittest.TestCase):
    """Orders are abandoned and come late, while instances are killed or suspended."""

    STEPS = 25

    def test_newest_acknowledged_order_holds(self):
        for seed in RANDOM_SEEDS:
            with self.subTest(seed=seed):
                cfg = ControlConfig("", (), compact_entries=10)
                rig = ControlRig(seed, 3, cfg=cfg, loss=0.01)
                rig.elect()
                self.give_orders(rig, np.random.default_rng(seed))

    def give_orders(self, rig, rng):
        is_evacuated = False
        for _ in range(self.STEPS):
            is_evacuated = bool(rng.random() < 0.5)
            order = Evacuate("a-1", is_evacuated)
            if rng.random() < 0.6:
                self.abandon(rig, rng, order)
            disturbed = self.disturb(rig, rng)
            self.acknowledge(rig, rng, order)
            if disturbed is not None:
                disturbed.thaw() if disturbed.frozen else disturbed.start()
            rig.scheduler.run_for(rng.uniform(0.0, 2.0))
            rig.elect()
            self.assert_holds(rig, is_evacuated)
        rig.scheduler.run_for(MAX_DELAY_S + 1.0)
        self.assert_holds(rig, is_evacuated)

    def abandon(self, rig, rng, order):
        """Connect to any instance; let the order reach control any time later."""
        connected = rig.hosts[f"c{rng.integers(1, 4)}"]
        base_index = connected.core.applied_index
        rig.scheduler.after(
            rng.uniform(0.0, MAX_DELAY_S),
            lambda: rig.send(order, base_index=base_index),
        )

    def disturb(self, rig, rng):
        """Kill or suspend an instance at times, and return it."""
        if rng.random() < 0.6:
            return None
        host = rig.hosts[f"c{rng.integers(1, 4)}"]
        (host.kill if rng.random() < 0.5 else host.freeze)()
        return host

    def acknowledge(self, rig, rng, order):
        """Send an order through one instance after another until it succeeds."""
        for _ in range(60):
            running = [h for h in rig.hosts.values() if h.is_running and not h.frozen]
            connected = running[int(rng.integers(len(running)))]
            base_index = connected.core.applied_index
            request_id = rig.send(order, base_index=base_index)
            rig.scheduler.wait_for(lambda i=request_id: i in rig.outcomes, 1.0)
            outcome = rig.outcomes.get(request_id)
            if outcome is not None and outcome.code == "ok":
                return
            rig.scheduler.run_for(0.1)
        self.fail(f"{order!r} is not acknowledged")

    def assert_holds(self, rig, is_evacuated):
        found = rig.elect().core.state.evacuated
        self.assertEqual(found, {"a-1"} if is_evacuated else set())


class TestDelayedAnnouncements(unittest.TestCase):
    """Guards against a backend server that is registered again after it has left."""

    def setUp(self):
        self.start_group(ControlRig(1, 3))

    def start_group(self, rig):
        self.rig = rig
        rig.elect()
        self.base = self.newest_index()

    def newest_index(self):
        self.rig.scheduler.run_for(0.5)
        return self.rig.elect().core.applied_index

    def announce(self, base_index, **values):
        return self.rig.call(PutBackend(backend(**values)), base_index=base_index).code

    def withdraw(self):
        self.rig.call(RemoveBackend("i-1", WITHDRAWN))

    def expire(self):
        """Let the lease of the backend server run out."""
        self.rig.scheduler.run_for(LeaseTiming().backend_lease_s + 2.0)
        self.assertNotIn("i-1", self.rig.elect().core.state.backends)

    def assert_is_not_registered(self, **values):
        self.assertEqual(self.announce(self.base, **values), "outdated")
        self.assertNotIn("i-1", self.rig.elect().core.state.backends)

    def test_after_its_lease_had_run_out(self):
        self.announce(self.base)
        self.expire()
        self.withdraw()
        self.assert_is_not_registered(sequence=2)

    def test_first_one_after_the_withdrawal(self):
        self.withdraw()
        self.assert_is_not_registered()

    def test_after_the_lease_of_a_leaving_server_has_run_out(self):
        self.announce(self.base, sequence=3, leaving=True)
        self.expire()
        self.assertEqual(self.announce(-1, sequence=2), "stale")
        self.assertNotIn("i-1", self.rig.elect().core.state.backends)

    def test_without_a_start_time(self):
        self.announce(self.base, born_ms=0)
        self.withdraw()
        self.assert_is_not_registered(born_ms=0)

    def test_after_all_have_restarted(self):
        self.withdraw()
        self.rig.restart_all()
        self.assert_is_not_registered()

    def test_after_all_have_restarted_from_a_snapshot(self):
        cfg = ControlConfig("", (), compact_entries=3)
        self.start_group(ControlRig(2, 3, cfg=cfg))
        self.withdraw()
        for number in range(9):
            self.rig.call(Evacuate(f"b-{number}", True))
        for host in self.rig.hosts.values():
            self.assertGreater(host.core.raft.log.snapshot.index, self.base)
        self.rig.restart_all()
        self.assert_is_not_registered()

    def test_while_the_withdrawal_is_not_committed_yet(self):
        leader = self.rig.elect()
        self.rig.send(RemoveBackend("i-1", WITHDRAWN), leader.id)
        late = self.rig.send(PutBackend(backend()), leader.id, self.base)
        self.rig.scheduler.run_for(1.0)
        self.assertEqual(self.rig.outcomes[late].code, "outdated")

    def test_new_incarnation_is_registered(self):
        self.announce(self.base)
        self.expire()
        self.withdraw()
        self.assertEqual(self.announce(self.newest_index(), born_ms=200), "ok")
        self.assertIn("i-1", self.rig.elect().core.state.backends)

    def test_server_that_returns_after_its_lease_is_registered(self):
        self.announce(self.base)
        self.expire()
        self.assertEqual(self.announce(self.base, sequence=2), "ok")
        self.assertIn("i-1", self.rig.elect().core.state.backends)

    def test_registered_server_renews_on_an_old_connection(self):
        self.withdraw()
        self.announce(self.newest_index(), born_ms=200)
        self.assertEqual(self.announce(self.base, born_ms=200, sequence=2), "ok")
