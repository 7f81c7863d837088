"""Tests that waiting for a change ends, with a reason and an exit code."""

import contextlib
import io
import unittest
from unittest import mock

import attrs
from returns.result import Failure, Success
from snipebay_cli import __main__ as cli
from snipebay_cli.client import ApiError, OperatorClient
from snipebay_cli.common import EXIT_TIMEOUT
from snipebay_cli.waiting import wait_for_status
from snipebay_model.status import ClusterStatus

STATUS = ClusterStatus("c1", 1, 1, 5, 5, 4, 0, (), (), (), ())


class FakeClient:
    """Answers each status request with the next of some results."""

    def __init__(self, *results):
        self.results = list(results)

    def status(self):
        return self.results.pop(0) if len(self.results) > 1 else self.results[0]


def wait(client, timeout_s=0.05):
    return wait_for_status(client, lambda s: s.in_force >= 5, timeout_s)


class TestWaiting(unittest.TestCase):
    def test_ends_when_the_change_is_in_force(self):
        later = attrs.evolve(STATUS, in_force=5)
        found = wait(FakeClient(Success(STATUS), Success(later)), 5.0)
        self.assertGreater(found.unwrap(), 0.0)

    def test_ends_with_the_revision_in_force_after_the_timeout(self):
        error = wait(FakeClient(Success(STATUS))).failure()
        self.assertEqual(error.code, "timeout")
        self.assertIn("within 0.05 s", error.detail)
        self.assertIn("revision 4", error.detail)

    def test_ends_with_the_reason_while_no_instance_answers(self):
        down = Failure(ApiError("unreachable", "127.0.0.1:1: refused"))
        error = wait(FakeClient(down)).failure()
        self.assertEqual(error.code, "timeout")
        self.assertIn("127.0.0.1:1: refused", error.detail)


class TestDrainCommand(unittest.TestCase):
    def test_drain_that_is_not_seen_in_time_has_an_exit_code_of_its_own(self):
        accepted = Success({"revision": 5})
        with (
            mock.patch.object(OperatorClient, "set_held", return_value=accepted),
            mock.patch.object(OperatorClient, "status", return_value=Success(STATUS)),
            contextlib.redirect_stderr(io.StringIO()) as err,
        ):
            code = cli.drain("i-1", timeout=0.05)
        self.assertEqual(code, EXIT_TIMEOUT)
        self.assertIn("timeout: accepted", err.getvalue())


if __name__ == "__main__":
    unittest.main()
