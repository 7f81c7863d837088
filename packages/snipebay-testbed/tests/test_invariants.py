"""The promises of the brief under random faults, and without their mechanisms."""

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
JOBS = 6
REPEAT = "python -m snipebay_testbed.soak --seeds 1 --first"


class TestInvariantsUnderFaults(unittest.TestCase):
    """Every run checks all promises, with three faults of those in ``FAULTS``."""

    def test_all_seeds_keep_all_invariants(self):
        told = collections.Counter()
        met = collections.Counter()
        for report in run_seeds(range(SEEDS), JOBS):
            told += report.told
            met.update(name for _, name in report.faults)
            with self.subTest(seed=report.seed):
                self.assertEqual(report.broken, [], f"{REPEAT} {report.seed}")
        # A run that serves nobody would keep every promise.
        self.assertGreater(told["check", "ok"], 500 * SEEDS)
        self.assertGreater(told["issue", "ok"], 100 * SEEDS)
        self.assertGreater(told["issue", "not-run"], SEEDS)
        self.assertEqual(set(met), set(FAULTS))


class TestWithoutMechanism(unittest.TestCase):
    """Each promise breaks when the mechanism that keeps it is taken out."""

    def assert_breaks(self, pattern, faults, seeds=6, count=3, per_s=60.0):
        """Check that one of the seeds breaks a promise in the way expected."""
        seen = []
        for seed in range(seeds):
            seen += run_seed(seed, faults, count, per_s).broken
            if any(pattern in line for line in seen):
                return
        self.fail(f"nothing like {pattern!r} in {seen}")

    def test_share_meter(self):
        with mock.patch.object(ShareMeter, "may_shift", True):
            self.assert_breaks("shifted", ["kill a region's backend servers"])

    def test_wait_until_former_owners_have_settled(self):
        def mature_at_once(table, floor, now_s):
            for holding in table.holdings.values():
                if holding.state == PENDING:
                    holding.state = FREE

        with mock.patch.object(SlotTable, "process_timeouts", mature_at_once):
            self.assert_breaks(
                "no free slot",
                ["kill an entry instance", "lose messages"],
                count=8,
                per_s=900.0,
            )

    def test_lease_of_an_entry_instance(self):
        always = mock.Mock(return_value=True)
        with mock.patch.object(LeaseState, "may_serve", always):
            self.assert_breaks("no free slot", ["cut an entry instance off"])

    def test_claim_before_dispatch(self):
        with mock.patch.object(RequestRow, "may_dispatch", True):
            self.assert_breaks("run twice", ["lose messages", "slow a backend server"])

    def test_abort_before_telling_not_run(self):
        def tell_at_once(system, row, now_s):
            system._fail_request(row, 503, "not-run", "without a record")

        with mock.patch.object(RequestSystem, "_begin_abort", tell_at_once):
            self.assert_breaks("told not run", ["cut control from all entry instances"])

    def test_confirmation_of_a_drain(self):
        def drained_at_once(sessions, state, now_s):
            return tuple(i for i, row in state.backends.items() if not row.is_open)

        with mock.patch.object(Sessions, "drained", drained_at_once):
            self.assert_breaks("planned stop", ["lose messages"])


if __name__ == "__main__":
    unittest.main()
