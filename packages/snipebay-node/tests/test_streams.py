"""Tests for TCP streams on real sockets."""

import socket
import unittest

from circuits.core.pollers import EPoll
from snipebay_node.streams import Stream, StreamHub


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
