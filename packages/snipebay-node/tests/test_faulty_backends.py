"""Tests of backend servers that repeat, omit or cut parts of their responses."""

import unittest

from snipebay_testbed.forwarder_case import ForwarderCase

REFUSAL = b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
POST_HEADERS = "Content-Length: 0\r\nCookie: key=k\r\n"


def response(request_id, body=b"hi"):
    head = f"HTTP/1.1 200 OK\r\nId: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class FaultyCase(ForwarderCase):
    def ask(self, request_id, path="/u/x", method="POST"):
        head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nId: {request_id}\r\n"
        self.caller.on_data(f"{head}{POST_HEADERS}\r\n".encode())

    def keep_connection(self, after):
        """Send request 1, respond by ``after``, and return the kept connection."""
        self.ask(1)
        stream = self.backend_stream()
        stream.on_data(after)
        if not stream.is_open or b"503" in after:
            # The retry went to the other backend server.
            self.backend_stream().on_data(response(1))
        self.caller.sent.clear()
        return stream

    def assert_unknown(self):
        """Assert that the caller was told neither success nor that it did not run."""
        self.assertTrue(self.response.startswith(b"HTTP/1.1 502"), self.response)
        self.assertNotIn(b"not-run", self.response)


class TestRepeatedRefusal(FaultyCase):
    """An earlier refusal is written once more while the next request runs."""

    def ask_on(self, stream):
        """Send request 2 over a kept connection; return the number of streams."""
        idle = self.forwarder.pool._idle
        for address in [a for a in idle if stream not in [c.stream for c in idle[a]]]:
            for connection in idle.pop(address):
                connection.stream.abort()
        sent = len(stream.sent)
        self.ask(2)
        self.assertGreater(len(stream.sent), sent)
        return len(self.hub.streams)

    def test_with_the_id_of_the_earlier_request(self):
        stream = self.keep_connection(response(1))
        streams = self.ask_on(stream)
        stream.on_data(REFUSAL + b"Id: 1\r\n\r\n")
        self.assert_unknown()
        self.assertEqual(len(self.hub.streams), streams)
        self.assertFalse(stream.is_open)

    def test_without_an_id(self):
        stream = self.keep_connection(response(1))
        streams = self.ask_on(stream)
        stream.on_data(REFUSAL + b"\r\n")
        self.assert_unknown()
        self.assertEqual(len(self.hub.streams), streams)
        self.assertFalse(stream.is_open)

    def test_response_without_an_id_is_not_relayed(self):
        stream = self.keep_connection(response(1))
        self.ask_on(stream)
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
        self.assert_unknown()

    def test_refusal_of_the_request_itself_is_believed(self):
        stream = self.keep_connection(response(1))
        self.ask_on(stream)
        stream.on_data(REFUSAL + b"Id: 2\r\n\r\n")
        self.backend_stream().on_data(response(2))
        self.assertIn(b"200 ", self.response)

    def test_second_copy_on_an_idle_connection_closes_it(self):
        stream = self.keep_connection(response(1))
        stream.on_data(response(1))
        self.assertFalse(stream.is_open)
        self.assertEqual(self.response, b"")

    def test_second_copy_after_the_next_request_is_not_relayed(self):
        stream = self.keep_connection(response(1, b"old"))
        self.ask_on(stream)
        stream.on_data(response(1, b"old"))
        self.assert_unknown()
        self.assertNotIn(b"old", self.response)


class TestMissingId(FaultyCase):
    """A backend server never echoes the ids of requests."""

    def test_response_on_a_new_connection_is_relayed_and_closes_it(self):
        self.ask(1)
        stream = self.backend_stream()
        stream.on_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        self.assertIn(b"200 ", self.response)
        self.assertFalse(stream.is_open)

    def test_refusal_on_a_new_connection_is_believed_and_closes_it(self):
        self.ask(1)
        stream = self.backend_stream()
        stream.on_data(REFUSAL + b"\r\n")
        self.assertFalse(stream.is_open)
        self.backend_stream().on_data(response(1))
        self.assertIn(b"200 ", self.response)

    def test_request_without_an_id_needs_none_in_its_response(self):
        for _ in range(2):
            self.caller.on_data(
                f"POST /u/x HTTP/1.1\r\nHost: a.example\r\n{POST_HEADERS}\r\n".encode()
            )
            self.backend_stream().on_data(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
            )
        self.assertEqual(self.response.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(len(self.hub.streams), 1)

    def test_two_different_ids_belong_to_no_request(self):
        self.ask(1)
        self.backend_stream().on_data(REFUSAL + b"Id: 1\r\nId: 2\r\n\r\n")
        self.assert_unknown()


class TestUnstatedRefusal(FaultyCase):
    """Guards against a status that promises more than the backend server said."""

    STATUSES = (408, 429, 503)

    def answer(self, status, method, headers=b"", end=b"Content-Length: 0\r\n\r\n"):
        self.ask(1, "/u/x" if method == "POST" else "/a/x", method)
        head = b"HTTP/1.1 %d X\r\nId: 1\r\nSigned: yes\r\n" % status
        self.backend_stream().on_data(head + headers + end)

    def test_status_is_not_passed_on_for_a_request_that_may_have_run(self):
        for status in self.STATUSES:
            with self.subTest(status=status):
                self.setUp()
                self.answer(status, "POST")
                self.assert_unknown()
                self.assertNotIn(b"signed", self.response.lower())
                self.assertNotIn(b"retry-after", self.response.lower())
                self.assertEqual(len(self.hub.streams), 1)
                self.assertTrue(self.forwarder.is_idle)

    def test_long_body_does_not_delay_the_response(self):
        self.answer(503, "POST", end=b"\r\n" + b"x" * 200_000)
        self.assert_unknown()
        self.assertFalse(self.backend_stream().is_open)

    def test_stated_refusal_is_retried(self):
        self.answer(503, "POST", b"Not-Run: 1\r\n")
        self.backend_stream().on_data(response(1))
        self.assertIn(b"200 ", self.response)

    def test_other_statuses_are_passed_on(self):
        for status in (400, 409, 500, 502, 504):
            with self.subTest(status=status):
                self.setUp()
                self.answer(status, "POST")
                self.assertIn(b"HTTP/1.1 %d" % status, self.response)
                self.assertIn(b"signed: yes", self.response.lower())

    def test_idempotent_request_gets_the_status(self):
        self.answer(429, "GET")
        self.assertIn(b"HTTP/1.1 429", self.response)


class TestRepeatedMisdirection(FaultyCase):
    """A 421 is repeated while the request runs at the address's new owner."""

    def test_connection_is_not_used_again(self):
        self.ask(1)
        stream = self.backend_stream()
        stream.on_data(b"HTTP/1.1 421 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
        self.assertFalse(stream.is_open)


class TestCutResponse(FaultyCase):
    """A connection ends at each byte of a response to an unsafe request."""

    def cut_at_each_byte(self, whole, from_byte=0):
        for size in range(from_byte, len(whole)):
            with self.subTest(size=size):
                self.setUp()
                self.ask(1)
                stream = self.backend_stream()
                stream.on_data(whole[:size])
                stream.abort()
                self.assert_unknown()
                self.assertEqual(len(self.hub.streams), 1)

    def test_head_and_body_with_a_length(self):
        self.cut_at_each_byte(response(1, b"body"))

    def test_chunks(self):
        head = b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.cut_at_each_byte(head + b"4\r\nbody\r\n3\r\nend\r\n0\r\n\r\n")

    def test_head_that_leaves_the_end_to_the_connection(self):
        head = b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\n\r\n"
        self.cut_at_each_byte(head)

    def test_head_on_a_kept_connection(self):
        for size in range(len(response(2)) - 2):
            with self.subTest(size=size):
                self.setUp()
                self.keep_connection(response(1))
                self.ask(2)
                used = self.backend_stream()
                used.on_data(response(2)[:size])
                used.abort()
                self.assert_unknown()


if __name__ == "__main__":
    unittest.main()
