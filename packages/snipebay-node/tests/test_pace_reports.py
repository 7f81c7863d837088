"""Tests that what a response says of pace, and how long a connect took, is recorded."""

import unittest

from snipebay_policy.work import Probe
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase


class TestPaceReports(ForwarderCase):
    def respond(self, load):
        self.send_request()
        self.backend_stream().on_data(
            RESPONSE.replace(b"Id: 7", b"Id: 7\r\nLoad: " + load)
        )
        return sorted(m.pace for m in self.core.fleet.members.values())

    def test_pace_is_recorded(self):
        self.assertEqual(self.respond(b"2,0,4,250"), [1.0, 2.5])

    def test_absent_and_absurd_paces_are_harmless(self):
        for load in (b"2,0,4", b"2,0,4,0", b"2,0,4,99999999", b"2,0,4,-3", b"2,0,4,x"):
            with self.subTest(load=load):
                self.assertEqual(self.respond(load), [1.0, 1.0])
        self.assertIsNone(self.core.load_exchange.next_message(1.0))

    def test_connect_times_are_recorded(self):
        self.send_request()
        self.now_s = 0.003
        self.backend_stream()
        shortest_s = self.core.fleet.near_domains._shortest_s
        self.assertEqual(shortest_s, {"a-1": 0.003})

    def test_a_probe_that_only_measures_does_not_change_the_reach(self):
        row = next(iter(self.core.fleet.members.values())).row
        results = []
        self.core.forward.on_probe = lambda *args: results.append(args)
        self.forwarder.execute(Probe(row, tests_reach=False))
        self.backend_stream()
        self.forwarder.tick(0.1)
        self.assertEqual(results, [])
        self.assertIn("a-1", self.core.fleet.near_domains._shortest_s)


if __name__ == "__main__":
    unittest.main()
