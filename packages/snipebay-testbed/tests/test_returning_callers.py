"""Replays bursts in which the callers of refused requests return once."""

import unittest

import numpy as np
from snipebay_policy.retry_delay import MAX_DELAY_S, SPREAD, RetryDelays
from snipebay_testbed.fakes import Scheduler

SIZES = (9, 82, 185, 440)
SERVICE = "s"
MIN_DELAY_S = 0.4
SERVICE_S, SLOTS, DEADLINE_S = 0.5, 100, 3.0
BURST_FACTOR, BURST_S, RUN_S = 1.7, 2.0, 8.0
# Requests a second that use four fifths of the slots.
CALM_PER_S = 0.8 * SLOTS / SERVICE_S


class FixedDelays:
    """Tells every caller the same delay."""

    def record_served(self, service, now_s):
        pass

    def refused_s(self, service, now_s):
        return MIN_DELAY_S


class BurstReplay:
    """A burst at instances that refuse what finds no slot; each caller returns once.

    Callers honour a delay up to a third of the time that they have left.
    """

    def __init__(self, delays, seed):
        self.delays = delays
        self.rng = np.random.default_rng(seed)
        self.scheduler = Scheduler()
        self.running = self.refused = self.total = 0
        self.returned_at_s = []

    def run(self):
        """Return the share of callers that are refused twice."""
        self._arrive()
        self.scheduler.run_for(RUN_S)
        return self.refused / self.total

    def _arrive(self):
        now_s = self.scheduler.now_s
        self.total += 1
        self._try(now_s, is_first=True)
        factor = BURST_FACTOR if 1.0 <= now_s < 1.0 + BURST_S else 1.0
        after_s = float(self.rng.exponential(1 / (CALM_PER_S * factor)))
        self.scheduler.after(after_s, self._arrive)

    def _try(self, arrived_s, *, is_first):
        now_s = self.scheduler.now_s
        delays = self.delays[int(self.rng.integers(len(self.delays)))]
        if self.running < SLOTS:
            self.running += 1
            delays.record_served(SERVICE, now_s)
            self.scheduler.after(SERVICE_S, self._end)
            return
        delay_s = delays.refused_s(SERVICE, now_s)
        if not is_first:
            self.refused += 1
            return
        left_s = arrived_s + DEADLINE_S - now_s
        delay_s = min(delay_s, left_s / 3)
        self.returned_at_s.append(now_s + delay_s)
        self.scheduler.after(delay_s, lambda: self._try(arrived_s, is_first=False))

    def _end(self):
        self.running -= 1


def replay(make_delays, instances):
    """Return the mean share of callers refused twice, over three seeds."""
    runs = (
        BurstReplay([make_delays(n) for n in range(instances)], seed)
        for seed in range(3)
    )
    return sum(run.run() for run in runs) / 3


class TestBurst(unittest.TestCase):
    def test_fewer_callers_are_refused_twice_at_all_sizes(self):
        for size in SIZES:
            with self.subTest(instances=size):
                fixed = replay(lambda n: FixedDelays(), size)
                found = replay(lambda n: RetryDelays(MIN_DELAY_S, f"e{n}"), size)
                self.assertLess(found, fixed)


class TestDelays(unittest.TestCase):
    def test_delay_grows_with_the_share_of_refused_requests(self):
        delays = RetryDelays(MIN_DELAY_S, "e0")
        for _ in range(50):
            delays.record_served(SERVICE, 0.0)
        few_s = delays.refused_s(SERVICE, 0.0)
        self.assertLess(few_s, MIN_DELAY_S * (1 + SPREAD) * 1.1)
        many_s = [delays.refused_s(SERVICE, 0.0) for _ in range(200)]
        self.assertGreater(min(many_s[-20:]), few_s)
        self.assertLessEqual(max(many_s), MAX_DELAY_S * (1 + SPREAD))

    def test_callers_of_instances_in_step_do_not_return_together(self):
        found = [
            RetryDelays(MIN_DELAY_S, f"e{n}").refused_s(SERVICE, 0.0)
            for n in range(185)
        ]
        bins = np.histogram(found, bins=7)[0]
        self.assertLess(max(bins), 2 * len(found) / 7)

    def test_refusals_are_forgotten_after_an_overload(self):
        delays = RetryDelays(MIN_DELAY_S, "e0")
        for _ in range(100):
            delays.refused_s(SERVICE, 0.0)
        delays.record_served(SERVICE, 30.0)
        after_s = delays.refused_s(SERVICE, 30.0)
        self.assertLess(after_s, MIN_DELAY_S * 1.5 * (1 + SPREAD))

    def test_other_services_do_not_lengthen_the_delay(self):
        delays = RetryDelays(MIN_DELAY_S, "e0")
        for _ in range(100):
            delays.refused_s("other", 0.0)
        after_s = delays.refused_s(SERVICE, 0.0)
        self.assertLessEqual(after_s, MIN_DELAY_S * 2 * (1 + SPREAD))


if __name__ == "__main__":
    unittest.main()
