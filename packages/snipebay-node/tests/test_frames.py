"""Tests for message frames between processes, on fake connections."""

import collections
import struct
import unittest
import zlib

from snipebay_model.codec import Envelope, encode
from snipebay_model.messages import Hello, RenewReply
from snipebay_node.frame_compression import (
    CompressionError,
    FrameCompressor,
    FrameDecompressor,
)
from snipebay_node.frames import (
    ACK,
    ACK_TIMEOUT_S,
    COMPRESSED,
    FrameBus,
)
from snipebay_policy.connect_attempts import LONGEST_ATTEMPT_S
from snipebay_testbed.fake_stream import FakeHub, FakeStream


class Counters:
    def __init__(self):
        self.counts = collections.Counter()

    def message_sent(self, kind, size):
        self.counts["sent"] += 1

    def message_dropped(self, kind):
        self.counts["dropped"] += 1

    def message_undecodable(self):
        self.counts["undecodable"] += 1


class FrameCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.hub = FakeHub()
        self.counters = Counters()
        self.received = []
        self.bus = FrameBus(
            self.hub,
            "10.0.0.1:1",
            lambda sender, body: self.received.append((sender, body)),
            self.counters,
            lambda: self.now_s,
        )

    def send(self):
        self.bus.send("10.0.0.2:1", "me", Hello(True))

    def advance(self, seconds):
        self.now_s += seconds
        self.bus.tick(self.now_s)

    def open_connection(self):
        self.send()
        self.hub.streams[-1].connect()
        return self.hub.streams[-1]

    def accept_connection(self):
        stream = FakeStream()
        self.hub.accept(stream)
        return stream


class TestSending(FrameCase):
    def test_one_connection_per_address(self):
        stream = self.open_connection()
        self.send()
        self.assertEqual(len(self.hub.streams), 1)
        self.assertEqual(self.counters.counts["sent"], 2)
        self.assertTrue(stream.sent)

    def test_unresponsive_connection_is_replaced(self):
        stream = self.open_connection()
        self.advance(ACK_TIMEOUT_S + 0.1)
        self.assertFalse(stream.is_open)
        self.advance(0.2)
        self.send()
        self.assertEqual(len(self.hub.streams), 2)

    def test_acknowledged_connection_stays_open(self):
        stream = self.open_connection()
        stream.on_data(ACK)
        self.advance(10.0)
        self.assertTrue(stream.is_open)

    def test_connect_times_out(self):
        self.send()
        self.advance(LONGEST_ATTEMPT_S + 0.1)
        self.assertFalse(self.hub.streams[0].is_open)

    def test_connect_to_a_peer_without_power_is_tried_again_soon(self):
        self.send()
        self.advance(0.3)
        self.assertFalse(self.hub.streams[0].is_open)
        self.now_s += 0.15
        self.send()
        self.assertEqual(len(self.hub.streams), 2)

    def test_attempts_get_longer_until_one_succeeds(self):
        for least_s in (0.2, 0.45, 0.75):
            self.send()
            self.advance(least_s)
            self.assertTrue(self.hub.streams[-1].is_open)
            self.advance(0.1)
            self.assertFalse(self.hub.streams[-1].is_open)
            self.now_s += 0.2
        self.open_connection().abort()
        self.now_s += 0.2
        self.send()
        self.advance(0.3)
        self.assertFalse(self.hub.streams[-1].is_open)

    def test_delay_before_reconnecting(self):
        self.open_connection().abort()
        self.send()
        self.assertEqual(len(self.hub.streams), 1)
        self.assertEqual(self.counters.counts["dropped"], 1)

    def test_connections_to_departed_instances_are_closed(self):
        stream = self.open_connection()
        self.bus.close_except({"10.0.0.3:1"})
        self.assertFalse(stream.is_open)


class TestReceiving(FrameCase):
    def setUp(self):
        super().setUp()
        self.frames = bytes(self.open_connection().sent)

    def test_frames_split_at_every_byte(self):
        stream = self.accept_connection()
        for byte in self.frames * 2:
            stream.on_data(bytes([byte]))
        self.assertEqual(self.received, [("me", Hello(True))] * 2)
        self.assertIn(ACK, stream.sent)

    def test_corrupt_frame_is_counted_and_the_next_one_is_read(self):
        corrupt = self.frames[:4] + b"\xc1" * (len(self.frames) - 4)
        self.accept_connection().on_data(corrupt + self.frames)
        self.assertEqual(self.counters.counts["undecodable"], 1)
        self.assertEqual(len(self.received), 1)

    def test_oversized_frame_closes_the_connection(self):
        stream = self.accept_connection()
        stream.on_data(b"\xff\xff\xff\xff")
        self.assertFalse(stream.is_open)


class TestCompression(FrameCase):
    """Frames are compressed once the receiver has said that it accepts them."""

    def deliver(self, stream, start=0):
        """Pass what a stream has sent to an accepted one; return the latter."""
        accepted = self.accept_connection()
        accepted.on_data(bytes(stream.sent[start:]))
        return accepted

    def frame_sizes(self, stream, count):
        sizes = []
        for _ in range(count):
            size = len(stream.sent)
            self.send()
            sizes.append(len(stream.sent) - size)
        return sizes

    def test_plain_before_the_first_acknowledgement(self):
        stream = self.open_connection()
        self.assertEqual(len(set(self.frame_sizes(stream, 3))), 1)

    def test_repeated_messages_cost_little(self):
        stream = self.open_connection()
        plain = len(stream.sent)
        stream.on_data(ACK)
        self.assertLess(max(self.frame_sizes(stream, 5)[1:]), plain / 2)
        self.deliver(stream)
        self.assertEqual(self.received, [("me", Hello(True))] * 6)

    def test_an_older_receiver_gets_plain_frames(self):
        stream = self.open_connection()
        stream.on_data(b"\x01")
        self.assertEqual(len(set(self.frame_sizes(stream, 3))), 1)

    def test_a_new_connection_starts_anew(self):
        first = self.open_connection()
        first.on_data(ACK)
        self.send()
        first.abort()
        self.advance(0.2)
        second = self.open_connection()
        second.on_data(ACK)
        self.send()
        self.deliver(second)
        self.assertEqual(self.received, [("me", Hello(True))] * 2)

    def test_frames_split_at_every_byte(self):
        stream = self.open_connection()
        stream.on_data(ACK)
        self.frame_sizes(stream, 3)
        accepted = self.accept_connection()
        for byte in bytes(stream.sent):
            accepted.on_data(bytes([byte]))
        self.assertEqual(len(self.received), 4)

    def test_corrupt_frame_closes_the_connection(self):
        stream = self.open_connection()
        stream.on_data(ACK)
        start = len(stream.sent)
        self.send()
        stream.sent[start + 4 :] = b"\xff" * (len(stream.sent) - start - 4)
        self.assertFalse(self.deliver(stream, start).is_open)
        self.assertEqual(self.counters.counts["undecodable"], 1)
        self.assertEqual(self.received, [])

    def test_end_of_the_compressed_stream_closes_the_connection(self):
        stream = self.accept_connection()
        data = zlib.compressobj(wbits=-12)
        data = data.compress(b"x") + data.flush()
        stream.on_data(struct.pack("<I", len(data) | COMPRESSED) + data)
        self.assertFalse(stream.is_open)

    def test_packed_message_is_sent_as_it_is_between_compressed_ones(self):
        stream = self.open_connection()
        stream.on_data(ACK)
        packed = RenewReply("c1", True, packed_delta=bytes(range(256)) * 100)
        for body in (Hello(True), packed, Hello(False)):
            stream.sent.clear()
            self.bus.send("10.0.0.2:1", "me", body)
            (word,) = struct.unpack_from("<I", stream.sent)
            self.assertEqual(bool(word & COMPRESSED), body is not packed)
        incoming = self.accept_connection()
        compressor = FrameCompressor()
        for body in (Hello(True), packed, Hello(False)):
            frame, mark = encode(Envelope("me", body)), 0
            if body is not packed:
                frame, mark = compressor.compress(frame), COMPRESSED
            incoming.on_data(struct.pack("<I", len(frame) | mark) + frame)
        bodies = [body for _, body in self.received]
        self.assertEqual(bodies, [Hello(True), packed, Hello(False)])

    def test_frame_that_expands_over_the_limit_closes_the_connection(self):
        compressor = FrameCompressor()
        decompressor = FrameDecompressor(1_000)
        self.assertEqual(decompressor.decompress(compressor.compress(b"x")), b"x")
        with self.assertRaises(CompressionError):
            decompressor.decompress(compressor.compress(b"x" * 100_000))


if __name__ == "__main__":
    unittest.main()
