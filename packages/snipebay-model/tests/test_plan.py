"""Tests of the checks on a traffic plan."""

import unittest

import attrs
from snipebay_model.plan import Plan, Route, RoutedService, plan_faults

ROUTE = Route("r", "a.example", "/a/", True, 1.0, 0.5, 1, (("s", 1.0),))
PLAN = Plan(1, (ROUTE,), (RoutedService("s"),))


def faults_of(**values):
    return plan_faults(attrs.evolve(PLAN, routes=(attrs.evolve(ROUTE, **values),)))


class TestPlanFaults(unittest.TestCase):
    def test_good_plan_has_none(self):
        self.assertEqual(plan_faults(PLAN), [])

    def test_each_fault_names_its_place_and_value(self):
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
                found = faults_of(**values)
                self.assertEqual(len(found), 1, found)
                self.assertIn(text, found[0])

    def test_two_routes_at_one_place(self):
        other = attrs.evolve(ROUTE, name="q")
        found = plan_faults(attrs.evolve(PLAN, routes=(ROUTE, other)))
        self.assertEqual(found, ["routes.q: a.example/a/ stands twice"])

    def test_names_that_stand_twice(self):
        twice = attrs.evolve(PLAN, services=PLAN.services * 2)
        self.assertEqual(plan_faults(twice), ["services.s: the name stands twice"])

    def test_all_findings_are_told_together(self):
        self.assertEqual(len(faults_of(timeout_s=0.0, host="", max_attempts=0)), 3)


if __name__ == "__main__":
    unittest.main()
