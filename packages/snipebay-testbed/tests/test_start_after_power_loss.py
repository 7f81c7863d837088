"""Replays the start of all instances after a loss of power, in virtual time."""

import unittest
from unittest import mock

import numpy as np
from snipebay_policy import routed
from snipebay_policy.connect_attempts import LONGEST_ATTEMPT_S, ConnectAttempts
from snipebay_policy.routed import STARTUP_TARGETS, RoutedConfig
from snipebay_testbed.routed_rig import RoutedRig

SIZES = (9, 82, 185, 440)
# Power returns within this time, in any order.
POWER_SPREAD_S = 0.6
RENEW_INTERVAL_S = 0.15
TICK_S = 0.1
ROUND_TRIP_S = 0.07


def contact_s(attempts, started_s, peer_up_s):
    """Return when an instance that started reaches a peer, which listens from then.

    A SYN that arrives before is lost and the attempt ends at its timeout. Connections
    are opened by renewals and timed out by ticks.
    """
    now_s = started_s
    while True:
        if now_s + ROUND_TRIP_S / 2 >= peer_up_s:
            return now_s + ROUND_TRIP_S
        ended_s = now_s + attempts.timeout_s + TICK_S / 2
        attempts.record_timeout()
        attempts.record_end(ended_s)
        now_s = attempts.next_s + RENEW_INTERVAL_S / 2


def delays_s(make_attempts, instances, seed):
    """Return how long after both are up each instance reaches the leader."""
    rng = np.random.default_rng(seed)
    peer_up_s = POWER_SPREAD_S
    started_s = rng.uniform(0.0, POWER_SPREAD_S, instances)
    return [contact_s(make_attempts(), s, peer_up_s) - peer_up_s for s in started_s]


class TestStart(unittest.TestCase):
    def test_a_peer_that_starts_last_is_reached_sooner_at_all_sizes(self):
        for size in SIZES:
            with self.subTest(instances=size):
                found_s = delays_s(ConnectAttempts, size, 1)
                fixed_s = delays_s(lambda: ConnectAttempts(LONGEST_ATTEMPT_S), size, 1)
                self.assertLess(max(found_s), max(fixed_s))
                self.assertLess(np.mean(found_s), 0.75 * np.mean(fixed_s))

    def test_a_slow_link_is_given_the_time_that_it_needs(self):
        attempts = ConnectAttempts()
        spent_s = 0.0
        while attempts.timeout_s < LONGEST_ATTEMPT_S:
            spent_s += attempts.timeout_s
            attempts.record_timeout()
        self.assertLess(spent_s, 1.0)


class TestPlanAfterElection(unittest.TestCase):
    """All processes are killed and start again, control a little after the entries."""

    def plan_delays_s(self, instances, startup_targets=STARTUP_TARGETS):
        """Return how long after the election each instance has the plan."""
        with mock.patch(f"{routed.__name__}.STARTUP_TARGETS", startup_targets):
            return self._replay(instances)

    def _replay(self, instances):
        rig = RoutedRig(instances, 12, 1).start()
        control_hosts = list(rig.control.hosts.values())
        for host in [*control_hosts, *rig.entries]:
            host.kill()
        rig.scheduler.run_for(0.5)
        for host in rig.entries:
            rig.scheduler.after(float(rig.rng.uniform(0.0, 0.2)), host.start)
        for host in control_hosts:
            rig.scheduler.after(float(rig.rng.uniform(0.2, 0.4)), host.start)
        rig.scheduler.wait_for(lambda: rig.control.leader is not None, 20.0, 0.01)
        elected_s = rig.now_s
        ready_s = []
        while len(ready_s) < instances and rig.now_s < elected_s + 2.0:
            count = sum(h.core is not None and h.core.is_ready for h in rig.entries)
            ready_s += [rig.now_s - elected_s] * (count - len(ready_s))
            rig.scheduler.run_for(0.01)
        self.assertEqual(len(ready_s), instances)
        return ready_s

    def test_plan_arrives_in_one_round_and_sooner_than_by_asking_in_turn(self):
        interval_s = RoutedConfig(None).startup_renew_interval_s
        for size in SIZES:
            with self.subTest(instances=size):
                found_s = self.plan_delays_s(size)
                in_turn_s = self.plan_delays_s(size, startup_targets=1)
                self.assertLess(np.mean(found_s), np.mean(in_turn_s))
                # One interval, a round trip with its jitter, and a tick of each end.
                self.assertLess(max(found_s), interval_s + 0.2)


if __name__ == "__main__":
    unittest.main()
