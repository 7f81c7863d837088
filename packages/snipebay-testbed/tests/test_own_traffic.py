"""Tests that a machine's share of our own messages doesn't grow with their number."""

import unittest

from snipebay_model.messages import PutBackend
from snipebay_testbed.routed_rig import RoutedRig

SMALL, LARGE = 12, 82
BACKENDS = 160
START_S = 10.0
STEADY_S = 10.0


class StartCase(unittest.TestCase):
    """Backend servers announce themselves while instances start: changes for all."""

    def count(self, entries):
        """Return the totals of the start and of a steady time."""
        rig = RoutedRig(entries, BACKENDS, 1)
        rows = [backend.row for backend in rig.backends.values()]
        rig.backends = {}
        rig.start()
        rig.network.sent.clear()
        rig.network.sent_bytes.clear()
        for number, row in enumerate(rows):
            delay_s = START_S / 2 * number / len(rows)
            rig.scheduler.after(delay_s, rig.control.send, PutBackend(row))
        rig.scheduler.run_for(START_S)
        self.assertTrue(
            all(len(host.core.view.backends) == len(rows) for host in rig.entries)
        )
        started = self.totals(rig)
        rig.network.sent.clear()
        rig.network.sent_bytes.clear()
        rig.scheduler.run_for(STEADY_S)
        return started, self.totals(rig)

    def totals(self, rig):
        """Return messages and bytes for each instance."""
        tables = rig.network.sent, rig.network.sent_bytes
        return [(t["Renew"] + t["RenewReply"]) / len(rig.entries) for t in tables]


class TestTrafficOfOneInstance(StartCase):
    def test_does_not_grow_with_the_number_of_machines(self):
        small, large = self.count(SMALL), self.count(LARGE)
        for before, after in zip(small, large, strict=True):
            for number in (0, 1):
                self.assertLessEqual(after[number], before[number] * 1.05)


if __name__ == "__main__":
    unittest.main()
