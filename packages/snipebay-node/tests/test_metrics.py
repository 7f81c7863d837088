"""Tests for metrics, aggregated log lines and the reported view changes."""

import unittest

from prometheus_client.parser import text_string_to_metric_families
from snipebay_model.messages import Evacuate, RenewReply
from snipebay_model.plan import Plan
from snipebay_model.view import BackendRow, EntryRow, View, ViewDelta
from snipebay_node.change_log import (
    AGGREGATION_INTERVAL_S,
    MAX_LISTED_SUBJECTS,
    ChangeLog,
)
from snipebay_node.metrics import NodeMetrics
from snipebay_node.state_collector import StateCollector
from snipebay_policy.view_changes import view_changes
from snipebay_testbed.control_rig import ControlRig
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase


def values(metrics):
    """Return sample values by name and label values, ordered by label name."""
    return {
        (sample.name, *(v for _, v in sorted(sample.labels.items()))): sample.value
        for family in text_string_to_metric_families(metrics.text().decode())
        for sample in family.samples
    }


class TestRequestMetrics(ForwarderCase):
    def setUp(self):
        super().setUp()
        self.metrics = self.forwarder.metrics
        self.metrics.registry.register(
            StateCollector(lambda: self.now_s, lambda: self.core, lambda: None)
        )

    def test_answered_request(self):
        self.send_request()
        self.backend_stream().on_data(RESPONSE)
        found = values(self.metrics)
        ended = ("snipebay_requests_total", "idempotent", "200", "answered", "s")
        self.assertEqual(found[ended], 1)
        self.assertEqual(found["snipebay_attempts_total", "answered", "s"], 1)
        self.assertEqual(found["snipebay_wait_seconds_count", "s"], 1)
        self.assertNotIn(("snipebay_retries_total", "s"), found)

    def test_evacuated_failure_domains_in_the_view(self):
        delta = ViewDelta(1, 2, evacuated=("a-1",))
        self.core.receive(
            "c1", RenewReply("c1", True, quorum_revision=2, delta=delta), 0.0
        )
        self.assertEqual(values(self.metrics)["snipebay_entry_evacuated", "a-1"], 1)

    def test_unsafe_request_with_a_broken_connection(self):
        self.send_request("/u/x", "POST")
        self.backend_stream().abort()
        found = values(self.metrics)
        ended = ("snipebay_requests_total", "unsafe", "502", "connection", "s")
        self.assertEqual(found[ended], 1)
        self.assertEqual(found["snipebay_attempts_total", "failed", "s"], 1)

    def test_retry_withdraws_from_the_retry_budget(self):
        self.send_request()
        before = values(self.metrics)["snipebay_retry_budget", "s"]
        self.backend_stream().abort()
        self.backend_stream().on_data(RESPONSE)
        found = values(self.metrics)
        self.assertEqual(found["snipebay_retries_total", "s"], 1)
        self.assertAlmostEqual(found["snipebay_retry_budget", "s"], before - 1)

    def test_request_without_a_route(self):
        self.send_request("/nowhere")
        found = values(self.metrics)
        ended = ("snipebay_requests_total", "", "404", "no_route", "")
        self.assertEqual(found[ended], 1)

    def test_slots_and_backend_servers_by_state(self):
        self.send_request()
        member = self.core.fleet.members["i1"]
        for _ in range(self.core.fleet.timing.eject_failures):
            self.core.fleet.record_failure(member, self.now_s)
        self.now_s = 0.5
        found = values(self.metrics)
        self.assertEqual(found["snipebay_backends", "s", "sound"], 1)
        self.assertEqual(found["snipebay_backends", "s", "ejected"], 1)
        self.assertEqual(found["snipebay_slots", "s", "total"], 8)
        self.assertEqual(found["snipebay_slots", "s", "ours"], 1)
        self.assertEqual(found["snipebay_view_age_seconds",], 0.5)

    def test_request_paths_and_cookies_create_no_time_series(self):
        before = len(values(self.metrics))
        self.send_request("/nowhere")
        once = len(values(self.metrics))
        for number in range(20):
            self.send_request(f"/nowhere/{number}", extra=f"Cookie: key={number}\r\n")
        self.assertEqual(len(values(self.metrics)), once)
        self.assertGreater(once, before)


class TestControlMetrics(unittest.TestCase):
    def test_members_term_and_commits(self):
        rig = ControlRig(1)
        leader = rig.elect().core
        metrics = NodeMetrics()
        metrics.registry.register(
            StateCollector(lambda: 0.0, lambda: None, lambda: leader)
        )
        found = values(metrics)
        self.assertEqual(found["snipebay_members", "voter"], 3)
        self.assertEqual(found["snipebay_members", "learner"], 0)
        self.assertGreaterEqual(found["snipebay_term",], 1)

    def test_expired_backend_server_is_reported(self):
        rig = ControlRig(2, 5, seeds=("c1", "c2", "c3"))
        rig.scheduler.run_for(6.0)
        leader = rig.elect().core
        leader.telemetry.pop_all()
        leader.sessions.backend_expires_s["gone"] = 0.0
        leader.state.backends["gone"] = BackendRow(
            "gone", "s", "10.0.0.1:80", "a", "a-1", 4
        )
        rig.scheduler.run_for(1.0)
        _, changes = leader.telemetry.pop_all()
        self.assertEqual(changes, [("lease ran out", "gone")])


class TestCallMetrics(unittest.TestCase):
    def test_calls_are_counted_by_status(self):
        metrics = NodeMetrics()
        for status in (200, 200, 503):
            metrics.call_ended("control", status)
        found = values(metrics)
        self.assertEqual(found["snipebay_calls_total", "control", "200"], 2)
        self.assertEqual(found["snipebay_calls_total", "control", "503"], 1)


class TestChangeLog(unittest.TestCase):
    def setUp(self):
        self.lines = []
        self.changes = ChangeLog(self)

    def info(self, event, **fields):
        self.lines.append((event, fields))

    def test_first_event_is_logged_immediately(self):
        self.changes.record(1.0, "joined", "i1", revision=7)
        self.assertEqual(self.lines, [("joined", {"subject": "i1", "revision": 7})])

    def test_further_events_are_aggregated_and_counted(self):
        for number in range(1_000):
            self.changes.record(1.0 + number * 0.0005, "joined", f"i{number}")
        self.changes.tick(1.0 + AGGREGATION_INTERVAL_S)
        self.assertEqual(len(self.lines), 2)
        event, fields = self.lines[1]
        self.assertEqual((event, fields["count"]), ("joined", 999))
        self.assertEqual(len(fields["subjects"]), MAX_LISTED_SUBJECTS)

    def test_kinds_are_aggregated_separately(self):
        for event in ("joined", "gone"):
            self.changes.record(1.0, event, "i1")
        self.assertEqual([event for event, _ in self.lines], ["joined", "gone"])

    def test_each_end_of_an_evacuation_is_logged_with_its_revision(self):
        for domain in ("a-1", "a-2"):
            self.changes.record(
                1.0, "failure domain evacuation ended", domain, revision=8
            )
        self.assertEqual(
            [fields for _, fields in self.lines],
            [{"subject": "a-1", "revision": 8}, {"subject": "a-2", "revision": 8}],
        )

    def test_number_of_lines_is_bounded(self):
        for number in range(10_000):
            now_s = number * 0.01
            self.changes.record(now_s, "joined", "i1")
            self.changes.tick(now_s)
        self.assertLessEqual(len(self.lines), 2 * 100.0 / AGGREGATION_INTERVAL_S)


class TestViewChanges(unittest.TestCase):
    def test_every_kind_of_change_is_reported(self):
        def backend(name, **fields):
            return BackendRow(name, "s", "10.0.0.1:80", "a", "a-1", 4, **fields)

        entry = EntryRow("e1", "x", "10.0.0.2:80", "e1", "a", "a-1")
        old = View(
            1, backends=(backend("i1"), backend("i2")), evacuated=("a-2",), plan=Plan(1)
        )
        new = View(
            2,
            backends=(backend("i1", leaving=True), backend("i3")),
            entries=(entry,),
            evacuated=("a-1",),
            plan=Plan(2),
        )
        found = [(event, subject) for event, subject, _ in view_changes(old, new)]
        self.assertEqual(
            found,
            [
                ("traffic plan in force", "2"),
                ("failure domain evacuated", "a-1"),
                ("failure domain evacuation ended", "a-2"),
                ("backend server leaving", "i1"),
                ("backend server joined", "i3"),
                ("backend server gone", "i2"),
                ("entry instance joined", "e1"),
            ],
        )
        self.assertEqual(view_changes(new, new), [])

    def test_end_of_an_evacuation_names_revision_and_control_instance(self):
        found = view_changes(View(7, evacuated=("a-1",)), View(8), "c2")
        fields = {"revision": 8, "source": "c2"}
        self.assertEqual(found, [("failure domain evacuation ended", "a-1", fields)])


class TestOrderEvents(unittest.TestCase):
    """Tells a lost order from an entry instance with an old view."""

    def setUp(self):
        self.rig = ControlRig(3)
        self.leader = self.rig.elect().core

    def events(self, core):
        return [(event, f["evacuated"]) for event, f in core.telemetry.pop_orders()]

    def test_leader_names_sender_base_and_index(self):
        self.rig.call(Evacuate("a-1", True), base_index=3)
        (_, proposed), (_, applied) = self.leader.telemetry.pop_orders()
        self.assertEqual((proposed["base"], bool(proposed["sender"])), (3, True))
        self.assertEqual(proposed["index"], applied["index"])
        self.assertEqual(applied["revision"], self.leader.state.revision)

    def test_all_control_instances_record_what_they_applied(self):
        self.rig.call(Evacuate("a-1", True))
        self.rig.scheduler.run_for(1.0)
        for host in self.rig.hosts.values():
            if host.core is not self.leader:
                self.assertEqual(self.events(host.core), [("order applied", True)])

    def test_refused_order_is_recorded(self):
        self.rig.call(Evacuate("a-1", True))
        self.rig.call(Evacuate("a-1", False), base_index=1)
        self.assertEqual(self.events(self.leader)[-1], ("order refused", False))

    def test_control_role_exports_the_evacuated_failure_domains(self):
        self.rig.call(Evacuate("a-1", True))
        metrics = NodeMetrics()
        metrics.registry.register(
            StateCollector(lambda: 0.0, lambda: None, lambda: self.leader)
        )
        found = values(metrics)
        self.assertEqual(found["snipebay_control_evacuated", "a-1"], 1)
        self.assertEqual(found["snipebay_state_revision",], self.leader.state.revision)


if __name__ == "__main__":
    unittest.main()
