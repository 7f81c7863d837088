"""Tests for TCP streams on real sockets."""

import socket
import unittest

from snipebay_node.streams import Stream


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
