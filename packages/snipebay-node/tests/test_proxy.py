"""Tests of the proxy of instances with a settings tree, on fake streams."""

import unittest
from unittest import mock

from snipebay_node.proxy import Proxy
from snipebay_node.upstream import UpstreamRequest
from snipebay_testbed.fake_stream import FakeHub

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nhi"
SHED = b"HTTP/1.1 503 Full\r\nSnipebay-Shed: 1\r\nContent-Length: 0\r\n\r\n"


class TestResponses(unittest.TestCase):
    """A response that the proxy can't read is lost, and its request runs to the end."""

    def setUp(self):
        self.hub = FakeHub()
        self.core = mock.Mock()
        self.core.requests.may_write.return_value = True
        tracing = mock.Mock()
        self.proxy = Proxy(
            self.core, self.hub, lambda: 0.0, mock.Mock(), tracing, lambda: None
        )
        headers = [(b"host", b"a")]
        req = UpstreamRequest(1, "10.0.1.1:80", "GET", "/", headers, b"")
        self.proxy.pool.start(req)
        self.hub.streams[0].connect()

    def test_complete_response(self):
        self.hub.streams[0].on_data(RESPONSE)
        self.core.requests.on_response_end.assert_called_once_with(
            1, 0.0, status=200, content_type="text/plain", body=b"hi"
        )

    def test_shed_request(self):
        self.hub.streams[0].on_data(SHED)
        self.core.requests.on_rejection.assert_called_once_with(1, 0.0)

    def test_backend_server_that_says_it_is_leaving(self):
        """Guards against requests that are lost when their backend server ends."""
        stream = self.hub.streams[0]
        stream.on_data(
            RESPONSE.replace(b"\r\n\r\n", b"\r\nSnipebay-Leaving: 1\r\n\r\n")
        )
        self.core.requests.on_leaving.assert_called_once_with(1)

    def test_421_says_nothing_of_the_backend_server_that_was_meant(self):
        """Guards against a backend server that is left for what another one says."""
        head = b"HTTP/1.1 421 M\r\nSnipebay-Leaving: 1\r\nSnipebay-Rate-Limit: 2\r\n"
        self.hub.streams[0].on_data(head + b"Content-Length: 0\r\n\r\n")
        self.core.requests.on_rejection.assert_called_once_with(1, 0.0)
        self.core.requests.on_leaving.assert_not_called()
        self.core.requests.on_rate_limit.assert_not_called()


if __name__ == "__main__":
    unittest.main()
