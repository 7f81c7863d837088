"""Tests of frames between processes, on fake connections."""

import collections
import unittest

from snipebay_model.messages import Hello
from snipebay_node.frames import ACK, ACK_TIMEOUT_S, CONNECT_TIMEOUT_S, FrameBus
from snipebay_testbed.fake_stream import FakeHub, FakeStream


class Counters:
    def __init__(self):
        self.counts = collections.Counter()

    def sent(self, kind, size):
        self.counts["sent"] += 1

    def lost(self, kind):
        self.counts["lost"] += 1

    def bad(self):
        self.counts["bad"] += 1


class FrameCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.hub = FakeHub()
        self.counters = Counters()
        self.got = []
        self.bus = FrameBus(
            self.hub,
            "10.0.0.1:1",
            lambda sender, body: self.got.append((sender, body)),
            self.counters,
            lambda: self.now_s,
        )

    def send(self):
        self.bus.send("10.0.0.2:1", "me", Hello(True))

    def later(self, seconds):
        self.now_s += seconds
        self.bus.tick(self.now_s)

    def connected(self):
        self.send()
        self.hub.streams[-1].connect()
        return self.hub.streams[-1]

    def inbound(self):
        stream = FakeStream()
        self.hub.accept(stream)
        return stream


class TestSending(FrameCase):
    def test_one_connection_for_one_address(self):
        stream = self.connected()
        self.send()
        self.assertEqual(len(self.hub.streams), 1)
        self.assertEqual(self.counters.counts["sent"], 2)
        self.assertTrue(stream.sent)

    def test_silent_connection_is_replaced(self):
        stream = self.connected()
        self.later(ACK_TIMEOUT_S + 0.1)
        self.assertFalse(stream.is_open)
        self.later(0.2)
        self.send()
        self.assertEqual(len(self.hub.streams), 2)

    def test_confirmed_connection_is_kept(self):
        stream = self.connected()
        stream.on_data(ACK)
        self.later(10.0)
        self.assertTrue(stream.is_open)

    def test_connection_that_never_opens_is_given_up(self):
        self.send()
        self.later(CONNECT_TIMEOUT_S + 0.1)
        self.assertFalse(self.hub.streams[0].is_open)

    def test_pause_before_the_next_try(self):
        self.connected().abort()
        self.send()
        self.assertEqual(len(self.hub.streams), 1)
        self.assertEqual(self.counters.counts["lost"], 1)

    def test_connections_to_gone_instances_are_closed(self):
        stream = self.connected()
        self.bus.close_except({"10.0.0.3:1"})
        self.assertFalse(stream.is_open)


class TestReceiving(FrameCase):
    def setUp(self):
        super().setUp()
        self.frames = bytes(self.connected().sent)

    def test_frames_in_any_pieces(self):
        stream = self.inbound()
        for byte in self.frames * 2:
            stream.on_data(bytes([byte]))
        self.assertEqual(self.got, [("me", Hello(True))] * 2)
        self.assertIn(ACK, stream.sent)

    def test_damaged_frame_is_counted_and_the_next_one_read(self):
        damaged = self.frames[:4] + b"\xc1" * (len(self.frames) - 4)
        self.inbound().on_data(damaged + self.frames)
        self.assertEqual(self.counters.counts["bad"], 1)
        self.assertEqual(len(self.got), 1)

    def test_frame_over_the_limit_ends_the_connection(self):
        stream = self.inbound()
        stream.on_data(b"\xff\xff\xff\xff")
        self.assertFalse(stream.is_open)


if __name__ == "__main__":
    unittest.main()
