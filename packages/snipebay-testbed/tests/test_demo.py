"""Short runs of the demo with real processes, two at once."""

import contextlib
import subprocess
import sys
import unittest

from snipebay_testbed.processes import PORT_COUNT, reserve_ports

TIMEOUT_S = 120.0
FIRST_PORT = 22_000


class TestPorts(unittest.TestCase):
    def test_two_runs_get_different_ports(self):
        with reserve_ports(FIRST_PORT) as first, reserve_ports(FIRST_PORT) as second:
            self.assertGreaterEqual(second, first + PORT_COUNT)
        with reserve_ports(FIRST_PORT) as again:
            self.assertEqual(again, first)


class TestDemo(unittest.TestCase):
    def test_two_deployments_at_once_hold_all_invariants(self):
        command = [sys.executable, "-m", "snipebay_testbed.demo", "--seconds=4"]
        with contextlib.ExitStack() as stack:
            processes = [
                stack.enter_context(
                    subprocess.Popen(
                        [*command, f"--deployment={name}"],
                        stdout=subprocess.PIPE,
                        stderr=subprocess.STDOUT,
                        text=True,
                    )
                )
                for name in ("marina", "badvatten")
            ]
            for process in processes:
                printed, _ = process.communicate(timeout=TIMEOUT_S)
                self.assertEqual(process.returncode, 0, printed)
                self.assertIn("all invariants held", printed)


if __name__ == "__main__":
    unittest.main()
