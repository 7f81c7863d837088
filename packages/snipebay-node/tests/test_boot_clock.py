"""Tests that no lease outlasts a suspension of the machine."""

import time
import unittest
from unittest import mock

from snipebay_node.boot_clock import boot_time_s
from snipebay_node.routed_node import RoutedNode
from snipebay_node.routed_settings import RoutedSettings

SUSPENDED_S = 60.0


class TestBootClock(unittest.TestCase):
    def setUp(self):
        settings = RoutedSettings(
            "n", "a", "a-1", "127.0.0.1:0", ("127.0.0.1:1",), callers="127.0.0.1:0"
        )
        self.node = RoutedNode(settings)
        for listener in list(self.node.hub._listeners):
            self.addCleanup(listener.close)

    def test_all_parts_of_a_node_see_the_time_of_a_suspension(self):
        clocks = {
            time.CLOCK_BOOTTIME: SUSPENDED_S + 5.0,
            time.CLOCK_MONOTONIC: 5.0,
        }
        with mock.patch("time.clock_gettime", clocks.get):
            parts = (self.node, self.node.hub, self.node.bus, self.node.control_client)
            found = [part.clock() for part in parts]
        self.assertEqual(found, [SUSPENDED_S + 5.0] * len(parts))

    def test_clock_advances(self):
        start_s = boot_time_s()
        self.assertGreaterEqual(boot_time_s(), start_s)


if __name__ == "__main__":
    unittest.main()
