"""Tests of the ejection of backend servers."""

import unittest

import attrs
from snipebay_model.view import BackendRow
from snipebay_policy.health import HealthTable


def backend_row(number):
    return BackendRow(f"read-{number}", "read", "127.0.0.1:9", "a", "x", 2)


class TestHealth(unittest.TestCase):
    def test_ejection_has_a_ceiling(self):
        rules = attrs.make_class(
            "R", ["eject_failures", "eject_ceiling", "eject_s", "slow_start_s"]
        )(1, 0.5, 5, 0)
        view = attrs.make_class("V", ["backends"])([backend_row(i) for i in range(4)])
        table = HealthTable()
        table.apply_view(view, lambda service: rules, 0.0)
        for number in range(4):
            table.record_failure(f"read-{number}", rules, 1.0)
        usable = sum(table.is_usable(f"read-{i}", 1.0) for i in range(4))
        self.assertEqual(usable, 2)

    def test_latency_outlier_is_ejected(self):
        rules = attrs.make_class(
            "R", ["eject_failures", "eject_ceiling", "eject_s", "slow_start_s"]
        )(5, 0.5, 5, 0)
        view = attrs.make_class("V", ["backends"])([backend_row(i) for i in range(4)])
        table = HealthTable()
        table.apply_view(view, lambda service: rules, 0.0)
        for _ in range(10):
            for number in range(4):
                latency_s = 0.5 if number == 0 else 0.01
                table.record_success(f"read-{number}", latency_s, rules, 1.0)
        self.assertFalse(table.is_usable("read-0", 1.0))
        self.assertTrue(table.is_usable("read-1", 1.0))


if __name__ == "__main__":
    unittest.main()
