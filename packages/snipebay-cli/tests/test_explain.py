"""Tests of the explanation of a request from logs."""

import json
import unittest

from snipebay_cli.explain import explain_request

ENDED = {
    "event": "request ended",
    "instance": "edge-1",
    "request": "7",
    "outcome": "answered",
    "status": 200,
    "elapsed_s": 0.2,
    "backend": "i-1",
    "domain": "a-1",
    "load": 5.0,
    "slots": 4,
}
FAILED_ATTEMPT = {
    "event": "attempt failed",
    "request": "7",
    "backend": "i-0",
    "reason": "the connection was reset",
}


def explain(*rows, extra_lines=()):
    return explain_request("7", [*(json.dumps(row) for row in rows), *extra_lines])


class TestExplain(unittest.TestCase):
    def test_answered_after_a_failed_attempt(self):
        found = explain(ENDED, FAILED_ATTEMPT)
        self.assertEqual([row["event"] for row in found.lines][0], "attempt failed")
        self.assertIn("relayed status 200 of backend server i-1", found.cause)
        self.assertIn("attempt at i-0 failed: the connection was reset", found.cause)

    def test_request_refused_before_it_was_sent(self):
        row = {"event": "request ended", "instance": "edge-1", "request": "7"}
        row |= {"outcome": "no backend server has room", "status": 503}
        cause = explain({**row, "elapsed_s": 0.05}).cause
        self.assertIn("refused it with 503", cause)
        self.assertIn("no backend server has room", cause)
        row |= {"elapsed_s": 0.05, "service": "s", "region_share": "a"}
        self.assertIn("no backend server of s was in view", explain(row).cause)
        row["slots_by_region"] = {"a": 8, "b": 4}
        self.assertIn("s had slots: 8 in a, 4 in b; wanted", explain(row).cause)
        row |= {"rate_limited": 2, "rate_limit": 7.5}
        self.assertIn("2 of its backend servers named rate limits", explain(row).cause)

    def test_rate_limit_of_the_backend_server_is_named(self):
        cause = explain({**ENDED, "status": 502, "outcome": "x", "rate_limit": 4.2})
        self.assertIn("rate limit 4.2 a second", cause.cause)

    def test_failed_after_it_was_sent(self):
        cause = explain(
            {**ENDED, "outcome": "the connection was reset", "status": 502}
        ).cause
        self.assertIn("gave 502", cause)
        self.assertIn("load 5.0 of 4 slots", cause)

    def test_answered_through_another_instance(self):
        cause = explain({**ENDED, "hop": True}).cause
        self.assertIn("relayed status 200 of entry instance i-1", cause)

    def test_ended_without_a_response(self):
        cause = explain({**ENDED, "outcome": "caller gone", "status": 0}).cause
        self.assertIn("without an answer", cause)

    def test_undecodable_lines_are_counted(self):
        found = explain(
            ENDED,
            extra_lines=("{broken", "no json", "  1.2 edge-1 " + json.dumps(ENDED)),
        )
        self.assertEqual(found.skipped, 1)
        self.assertEqual(len(found.lines), 2)

    def test_unknown_request(self):
        with self.assertRaises(LookupError) as caught:
            explain({**ENDED, "request": "8"})
        self.assertIn("'7'", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
