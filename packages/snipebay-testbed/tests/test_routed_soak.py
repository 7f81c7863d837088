"""Runs the soak of routed instances on a few seeds."""

import unittest

from snipebay_testbed.routed_soak import run_seed


class TestRoutedInstancesUnderFaults(unittest.TestCase):
    """Faults that overlap break promises that each of them alone keeps."""

    def test_seeds(self):
        # 12, 34 and 53 violated the check while region shares were still returning.
        for seed in (0, 1, 2, 12, 34, 53):
            with self.subTest(seed):
                report = run_seed(seed)
                self.assertEqual(report.violations, (), report.faults)


if __name__ == "__main__":
    unittest.main()
