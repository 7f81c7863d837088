"""Tests for TCP streams on real sockets."""

import errno
import socket
import time
import unittest
from unittest import mock

from circuits.core.pollers import EPoll
from snipebay_node import streams
from snipebay_node.http_server import HttpServer
from snipebay_node.streams import Stream, StreamHub
from snipebay_testbed.http_case import Application


class TestPeerClosed(unittest.TestCase):
    def setUp(self):
        sock, self.peer = socket.socketpair()
        sock.setblocking(False)
        self.stream = Stream(None, sock)
        self.addCleanup(sock.close)
        self.addCleanup(self.peer.close)

    def test_open_connection(self):
        self.assertFalse(self.stream.has_peer_closed)

    def test_unread_input_is_kept(self):
        self.peer.sendall(b"x")
        self.assertFalse(self.stream.has_peer_closed)
        self.assertEqual(self.stream.sock.recv(2), b"x")

    def test_closed_by_the_peer(self):
        self.peer.close()
        self.assertTrue(self.stream.has_peer_closed)


class TestConnectionAge(unittest.TestCase):
    """Guards against an abandoned order that passes for a new one.

    A process that was suspended may apply newer log entries before it accepts the
    connection that has waited in its kernel.
    """

    def setUp(self):
        self.index = 5
        self.app = Application()
        self.hub = StreamHub(EPoll())
        self.addCleanup(self.hub.stop_listening)
        self.server = HttpServer(self.app, lambda: 0.0, log_index=lambda: self.index)
        address = self.hub.listen("127.0.0.1:0", self.server.accept)
        self.tick()
        self.caller = socket.create_connection(address)
        self.addCleanup(self.caller.close)

    def tick(self):
        self.assertTrue(self.hub.accept_waiting())
        self.server.note_all_accepted()

    def accepted_index(self):
        listener = next(iter(self.hub._listeners))
        self.hub._on_read(listener)
        (stream,) = self.hub._streams.values()
        self.addCleanup(stream.abort)
        self.caller.sendall(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        while not stream.handle_read():
            pass
        return self.app.exchanges[-1].log_index

    def test_entries_applied_before_the_accept_do_not_count(self):
        self.index = 9
        self.assertEqual(self.accepted_index(), 5)

    def test_entries_applied_before_the_connection_count(self):
        listener = next(iter(self.hub._listeners))
        self.hub._on_read(listener)
        for stream in list(self.hub._streams.values()):
            stream.abort()
        self.index = 9
        self.tick()
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        self.assertEqual(self.accepted_index(), 9)


class TestTimeoutBesideWaitingInput(unittest.TestCase):
    """Guards against requests lost in the kernel of a process that was suspended."""

    REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

    def setUp(self):
        self.now_s = 0.0
        self.app = Application()
        self.server = HttpServer(self.app, lambda: self.now_s)
        self.hub = StreamHub(EPoll())
        self.addCleanup(self.hub.stop_listening)
        address = self.hub.listen("127.0.0.1:0", self.server.accept)
        self.caller = socket.create_connection(address, 1.0)
        self.addCleanup(self.caller.close)
        self.hub.accept_waiting()
        (self.stream,) = self.hub._streams.values()
        self.addCleanup(self.stream.abort)

    def ask(self):
        self.caller.sendall(self.REQUEST)
        while not self.stream.handle_read():
            pass
        self.assertIn(b"200", self.caller.recv(1_000))

    def test_request_that_waits_on_an_idle_connection_is_answered(self):
        self.ask()
        self.server.stop()
        self.caller.sendall(self.REQUEST)
        time.sleep(0.05)
        self.now_s = 0.8
        self.server.tick(self.now_s)
        self.assertIn(b"200", self.caller.recv(1_000))

    def response_to_a_late_part(self, size):
        """Return the response when a part of a request waits as it times out."""
        self.caller.sendall(self.REQUEST[:9])
        while not self.stream.handle_read():
            pass
        self.caller.sendall(self.REQUEST[9 : 9 + size])
        time.sleep(0.05)
        self.now_s = 60.0
        self.server.tick(self.now_s)
        return self.caller.recv(1_000)

    def test_rest_of_a_request_that_waits_is_read_before_it_times_out(self):
        self.assertIn(b"200", self.response_to_a_late_part(len(self.REQUEST)))

    def test_request_that_arrives_slowly_is_rejected(self):
        self.assertIn(b"408", self.response_to_a_late_part(3))

    def test_idle_connection_without_input_is_closed(self):
        self.ask()
        self.now_s = 600.0
        self.server.tick(self.now_s)
        self.assertEqual(self.caller.recv(1_000), b"")


class TestAccept(unittest.TestCase):
    def setUp(self):
        self.hub = StreamHub(EPoll())
        self.addCleanup(self.hub.stop_listening)
        self.hub.listen("127.0.0.1:0", lambda stream: None)

    def test_failure_to_accept_is_logged_once(self):
        (listener,) = self.hub._listeners
        failing = mock.Mock(**{"accept.side_effect": OSError(errno.EMFILE, "none")})
        self.hub._listeners = {failing: self.hub._listeners[listener]}
        with mock.patch.object(streams, "log") as log:
            self.assertFalse(self.hub.accept_waiting())
            self.assertFalse(self.hub.accept_waiting())
            log.warning.assert_called_once()
        self.hub._listeners = {listener: None}
        self.assertTrue(self.hub.accept_waiting())


class TestConnect(unittest.TestCase):
    def test_address_that_can_not_be_used_is_a_failed_connection(self):
        # Rows may come from another writer, or from a build with other checks.
        hub = StreamHub(EPoll())
        for address in ("10.0.0.1:70000", "10.0.0.1:-1", "x y:80", "", ":"):
            with self.subTest(address=address):
                stream = hub.connect(address)
                self.assertFalse(stream.is_open)
                self.assertTrue(stream.was_reset)

    def test_address_of_version_6(self):
        try:
            listener = socket.create_server(("::1", 0), family=socket.AF_INET6)
        except OSError as exc:
            self.skipTest(f"no IPv6 here: {exc}")
        self.addCleanup(listener.close)
        stream = StreamHub(EPoll()).connect(f"[::1]:{listener.getsockname()[1]}")
        self.addCleanup(stream.abort)
        self.assertTrue(stream.is_open)
        listener.accept()[0].close()


if __name__ == "__main__":
    unittest.main()
