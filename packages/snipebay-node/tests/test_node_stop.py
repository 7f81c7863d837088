"""Tests for the graceful stop of an instance with a settings tree."""

import socket
import unittest
from unittest import mock

from snipebay_model.instance import InstanceSettings
from snipebay_node.node import Node


class TestStop(unittest.TestCase):
    def setUp(self):
        settings = InstanceSettings(
            id="e1",
            region="a",
            domain="a-1",
            roles=["entry"],
            http="127.0.0.1:0",
            internal="127.0.0.1:0",
            metrics="127.0.0.1:0",
        )
        self.node = Node(settings)
        self.addCleanup(self.node.hub.stop_listening)
        (listener,) = self.node.hub._listeners
        self.address = listener.getsockname()
        patched = mock.patch.object(type(self.node.proxy), "is_idle", False)
        patched.start()
        self.addCleanup(patched.stop)

    def connect(self):
        socket.create_connection(self.address, 1.0).close()

    def test_no_connection_is_accepted_once_earlier_lookups_have_expired(self):
        # A request accepted now may still run when the stop times out, and be cut.
        self.connect()
        self.node.begin_stop()
        self.node._continue_shutdown(self.node.clock() + self.node.lookup_expiry_s)
        with self.assertRaises(ConnectionRefusedError):
            self.connect()
