"""Tests of responses whose status line is not one of HTTP."""

import unittest

from snipebay_testbed.forwarder_case import RESPONSE, ForwarderCase

# Outside of 100 to 599, or no status line.
STATUS_LINES = (
    b"HTTP/1.1 000 Broken",
    b"HTTP/1.1 099 Broken",
    b"HTTP/1.1 600 Broken",
    b"HTTP/1.1 999 Broken",
    b"HTTP/1.1 99 Broken",
    b"HTTP/1.1 2000 Broken",
    b"HTTP/1.1 -20 Broken",
    b"HTTP/1.1 abc Broken",
    b"HTTP/1.1",
)


class TestInvalidStatus(ForwarderCase):
    """Guards against relaying the answer of a failing backend server as its response.

    A client that gets a status such as 000 or 999 takes it for an answer.
    """

    def respond(self, status_line):
        answer = RESPONSE.replace(b"HTTP/1.1 200 OK", status_line)
        self.backend_stream().on_data(answer)

    def test_request_that_may_not_repeat_gets_502(self):
        for status_line in STATUS_LINES:
            with self.subTest(status_line=status_line):
                self.setUp()
                self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
                self.respond(status_line)
                self.assertTrue(self.response.startswith(b"HTTP/1.1 502 "))
                self.assertNotIn(b"Signed", self.response)
                self.assertFalse(self.hub.streams[0].is_open)

    def test_idempotent_request_is_sent_to_another_backend_server(self):
        for status_line in STATUS_LINES:
            with self.subTest(status_line=status_line):
                self.setUp()
                self.send_request()
                self.respond(status_line)
                self.assertEqual(self.response, b"")
                self.backend_stream(1).on_data(RESPONSE)
                self.assertTrue(self.response.startswith(b"HTTP/1.1 200 "))

    def test_invalid_status_after_an_informational_response(self):
        self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
        self.respond(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 Broken")
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502 "))

    def test_valid_statuses_are_relayed(self):
        for status in (b"204", b"404", b"599"):
            with self.subTest(status=status):
                self.setUp()
                self.send_request("/u/x", "POST", "Content-Length: 0\r\n")
                answer = b"HTTP/1.1 " + status + b" X\r\nId: 7\r\n"
                end = b"\r\n" if status == b"204" else b"Content-Length: 0\r\n\r\n"
                self.backend_stream().on_data(answer + end)
                self.assertTrue(self.response.startswith(b"HTTP/1.1 " + status))


if __name__ == "__main__":
    unittest.main()
