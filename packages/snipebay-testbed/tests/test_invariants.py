"""Tests of the invariants under random faults, also with mechanisms disabled."""

import collections
import unittest
from unittest import mock

from snipebay_control.sessions import Sessions
from snipebay_policy.lease_state import LeaseState
from snipebay_policy.requests import RequestSystem
from snipebay_policy.shares import ShareMeter
from snipebay_policy.slots import FREE, PENDING, SlotTable
from snipebay_policy.work import RequestRow
from snipebay_testbed.invariants import FAULTS, run_seed
from snipebay_testbed.soak import run_seeds

SEEDS = 200
# One of this many seeds must show what happens without a mechanism.
SEEDS_WITHOUT_MECHANISM = 6
JOBS = 6
REPEAT = "python -m snipebay_testbed.soak --seeds 1 --first"


class TestInvariantsUnderFaults(unittest.TestCase):
    """Each run injects three faults drawn from ``FAULTS`` and checks all invariants."""

    def test_all_seeds_keep_all_invariants(self):
        outcome_counts = collections.Counter()
        fault_counts = collections.Counter()
        for report in run_seeds(range(SEEDS), JOBS):
            outcome_counts += report.outcome_counts
            fault_counts.update(name for _, name in report.faults)
            with self.subTest(seed=report.seed):
                self.assertEqual(report.violations, [], f"{REPEAT} {report.seed}")
        # A run that serves no request would violate no invariant.
        self.assertGreater(outcome_counts["check", "ok"], 500 * SEEDS)
        self.assertGreater(outcome_counts["issue", "ok"], 100 * SEEDS)
        self.assertGreater(outcome_counts["issue", "not-run"], SEEDS)
        self.assertEqual(set(fault_counts), set(FAULTS))


class TestWithoutMechanism(unittest.TestCase):
    """Each invariant is violated when the mechanism that ensures it is disabled."""

    def assert_violated(
        self, text, fault_names, first=0, fault_count=3, checks_per_s=60.0
    ):
        """Check that a run of one of the seeds reports a violation with this text.

        The first seed is one from which on the faults meet what the mechanism prevents;
        which do depends on the number of messages, of which each draws a delay.
        """
        violations = []
        for seed in range(first, first + SEEDS_WITHOUT_MECHANISM):
            violations += run_seed(
                seed, fault_names, fault_count, checks_per_s
            ).violations
            if any(text in violation for violation in violations):
                return
        self.fail(f"no violation contains {text!r}: {violations}")

    def test_share_meter(self):
        with mock.patch.object(ShareMeter, "may_shift", True):
            self.assert_violated(
                "shifted", ["kill a region's backend servers"], first=7
            )

    def test_wait_until_former_owners_have_settled(self):
        def free_at_once(table, floor, now_s):
            for holding in table.holdings.values():
                if holding.state == PENDING:
                    holding.state = FREE

        with mock.patch.object(SlotTable, "process_timeouts", free_at_once):
            self.assert_violated(
                "without a free slot",
                ["kill an entry instance", "lose messages"],
                fault_count=8,
                checks_per_s=900.0,
            )

    def test_lease_of_an_entry_instance(self):
        always_true = mock.Mock(return_value=True)
        with mock.patch.object(LeaseState, "may_serve", always_true):
            self.assert_violated("without a free slot", ["cut an entry instance off"])

    def test_claim_before_dispatch(self):
        with mock.patch.object(RequestRow, "may_dispatch", True):
            self.assert_violated(
                "run more than once", ["lose messages", "slow a backend server"]
            )

    def test_abort_before_reporting_not_run(self):
        def fail_at_once(system, row, now_s):
            system._fail_request(row, 503, "not-run", "without a record")

        with mock.patch.object(RequestSystem, "_begin_abort", fail_at_once):
            self.assert_violated(
                "reported as not run", ["cut control from all entry instances"]
            )

    def test_confirmation_of_a_drain(self):
        def drained_at_once(sessions, state, now_s):
            return tuple(i for i, row in state.backends.items() if not row.is_open)

        with mock.patch.object(Sessions, "drained", drained_at_once):
            self.assert_violated("planned stop", ["lose messages"], first=7)


if __name__ == "__main__":
    unittest.main()
