"""Tests of the checks on a traffic plan."""

import unittest

import attrs
from snipebay_model.plan import Plan, Route, RoutedService, validate_plan

ROUTE = Route("r", "a.example", "/a/", True, 1.0, 0.5, 1, (("s", 1.0),))
PLAN = Plan(1, (ROUTE,), (RoutedService("s"),))


def errors_with(**values):
    return validate_plan(attrs.evolve(PLAN, routes=(attrs.evolve(ROUTE, **values),)))


class TestValidatePlan(unittest.TestCase):
    def test_valid_plan_has_no_errors(self):
        self.assertEqual(validate_plan(PLAN), [])

    def test_each_error_names_its_field_and_value(self):
        for values, text in (
            ({"split": (("x", 1.0),)}, "routes.r.split: unknown service 'x'"),
            ({"split": (("s", -1.0),)}, "below 0"),
            ({"split": (("s", 0.0),)}, "all weights are 0"),
            ({"split": ()}, "no service"),
            ({"timeout_s": 0.0}, "timeout_s: 0.0"),
            ({"prefix": "a/"}, "'a/' does not begin with a slash"),
            ({"max_attempts": 0}, "max_attempts: 0"),
            ({"host": ""}, "host: missing"),
        ):
            with self.subTest(values=values):
                found = errors_with(**values)
                self.assertEqual(len(found), 1, found)
                self.assertIn(text, found[0])

    def test_duplicate_host_and_prefix(self):
        other = attrs.evolve(ROUTE, name="q")
        found = validate_plan(attrs.evolve(PLAN, routes=(ROUTE, other)))
        self.assertEqual(found, ["routes.q: a.example/a/ stands twice"])

    def test_duplicate_service_name(self):
        twice = attrs.evolve(PLAN, services=PLAN.services * 2)
        self.assertEqual(validate_plan(twice), ["services.s: the name stands twice"])

    def test_all_errors_are_reported_together(self):
        self.assertEqual(len(errors_with(timeout_s=0.0, host="", max_attempts=0)), 3)


if __name__ == "__main__":
    unittest.main()
