"""Tests of the headers of backend servers' responses."""

import unittest
from unittest import mock

from snipebay_node.response_headers import parse_rate_limit, parse_retry_after
from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase

INVALID = (
    b"",
    b"-1",
    b"nan",
    b"inf",
    b"1e308",
    b"4,2",
    b"9" * 100,
    b"0x10",
    b".",
    "٣".encode(),
)


class TestParsing(unittest.TestCase):
    def test_decimal_numbers(self):
        for value, per_s in ((b"4.2", 4.2), (b" 7 ", 7.0), (b"0", 0.0)):
            self.assertEqual(parse_rate_limit([value]), per_s)

    def test_no_header_means_no_limit(self):
        self.assertIsNone(parse_rate_limit([]))

    def test_smallest_of_several_counts(self):
        self.assertEqual(parse_rate_limit([b"5", b"3.5"]), 3.5)

    def test_invalid_values_are_refused_and_named(self):
        for value in INVALID:
            with self.subTest(value), self.assertRaisesRegex(ValueError, "rate limit"):
                parse_rate_limit([value])


class TestRetryAfter(unittest.TestCase):
    def test_seconds_with_fractions(self):
        self.assertEqual(parse_retry_after(b" 0.7"), 0.7)

    def test_dates_and_nonsense_are_no_delay(self):
        for value in (b"", b"-1", b"nan", b"Fri, 04 Dec 2026 17:00:00 GMT", b"9" * 99):
            self.assertIsNone(parse_retry_after(value))


class TestReporting(ForwarderCase):
    """A limit that is not read lets every instance exceed it."""

    def respond(self, line):
        self.send_request()
        self.backend_stream().on_data(RESPONSE.replace(b"Signed: yes", line))
        return [limit.per_s for limit in self.core.rate_limits if not limit.is_ended]

    def test_named_limit_is_recorded_and_logged(self):
        self.assertEqual(self.respond(b"Limit: 4.2"), [4.2])
        self.assertIn("named a rate limit", str(self.core.pop_events()))

    def test_invalid_limit_is_logged_and_changes_nothing(self):
        self.assertEqual(self.respond(b"Limit: nan"), [])
        ((event, _, fields),) = self.core.pop_events()[-1:]
        self.assertEqual(event, "invalid rate limit")
        self.assertIn("'nan'", fields["detail"])

    def test_rejection_names_a_limit_too(self):
        self.send_request()
        refusal = (
            b"HTTP/1.1 503 F\r\nNot-Run: 1\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n"
        )
        self.backend_stream().on_data(refusal)
        self.assertEqual([limit.per_s for limit in self.core.rate_limits], [2.0])

    def test_another_server_at_the_address_names_no_limit_and_no_load(self):
        self.send_request()
        refusal = b"HTTP/1.1 421 M\r\nLimit: 2\r\nLoad: 3,1,4\r\n"
        with mock.patch.object(self.core.forward, "on_load_report") as on_load_report:
            self.backend_stream().on_data(refusal + b"Content-Length: 0\r\n\r\n")
        self.assertEqual(list(self.core.rate_limits), [])
        on_load_report.assert_not_called()


if __name__ == "__main__":
    unittest.main()
