"""Tests with damaged bytes on every port: no error escapes, and service goes on."""

import random
import unittest
from unittest import mock

from snipebay_model.codec import CodecError, Envelope, decode, encode
from snipebay_model.messages import (
    CommandRequest,
    Hello,
    PermitReply,
    PermitRequest,
    RateLimitReport,
    Renew,
    RenewReply,
    StatusRequest,
)
from snipebay_model.view import EntryRow
from snipebay_node.frame_compression import FrameCompressor
from snipebay_node.frames import COMPRESSED, FrameBus
from snipebay_testbed.fake_stream import FakeHub, FakeStream
from snipebay_testbed.forwarder_case import ForwarderCase

RUNS = 400
# Parts of requests, responses and their framing, to be put at random places.
TOKENS = (
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\x00",
    b": ",
    b"Content-Length: 5\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"ffffffffffffffff\r\n",
    b"0\r\n\r\n",
    b"Id: 2\r\n",
    b"Not-Run: 1\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/9.9 999 \xff\r\n",
    b"GET /\xff HTTP/1.1\r\n",
    b"\xff" * 9,
)
REQUESTS = (
    b"GET /a/x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nCookie: key=k\r\n\r\n",
    b"POST /u/x HTTP/1.1\r\nHost: a.example\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc",
    b"POST /u/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
)
RESPONSES = (
    b"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nhi",
    b"HTTP/1.1 503 Full\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhi\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhi",
)
ROW = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
MESSAGES = (
    Hello(True),
    Renew(ROW, 5, 1, 1, load_reports={"s": 3}, needs={"s": 1.5}),
    RenewReply("c1", True, quorum_revision=3, demand=(("s", "a", 1.0),)),
    CommandRequest(1, "PutEntry", b"abc"),
    StatusRequest(1, "status"),
    PermitRequest(1, RateLimitReport("i1", 7, 2.5, 10, 5), 1),
    PermitReply(1, True),
)


def damage(rng, data, tokens=TOKENS):
    """Return data with a few bytes or parts changed, added or removed."""
    data = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        at = rng.randrange(len(data) + 1)
        match rng.randrange(4):
            case 0:
                data[at : at + 1] = bytes([rng.randrange(256)])
            case 1:
                data[at:at] = rng.choice(tokens)
            case 2:
                del data[at : at + rng.randint(1, 12)]
            case 3:
                data[at : at + 4] = rng.choice(tokens)
    return bytes(data)


def pieces(rng, data):
    """Return data in one to three parts, as a network may deliver it."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(3)))
    bounds = [0, *cuts, len(data)]
    parts = (data[a:b] for a, b in zip(bounds, bounds[1:], strict=False))
    return [part for part in parts if part]


class TestCallers(ForwarderCase):
    def test_damaged_requests(self):
        rng = random.Random(1)
        for _ in range(RUNS):
            self.setUp()
            data = damage(rng, rng.choice(REQUESTS))
            for piece in pieces(rng, data):
                if self.caller.is_open:
                    self.caller.on_data(piece)
            self.caller.abort()


class TestBackendServers(ForwarderCase):
    def test_damaged_responses(self):
        rng = random.Random(2)
        for _ in range(RUNS):
            self.setUp()
            self.caller.on_data(rng.choice(REQUESTS[:2]))
            for _ in range(2):
                data = damage(rng, rng.choice(RESPONSES))
                stream = self.backend_stream()
                for piece in pieces(rng, data):
                    if stream.is_open:
                        stream.on_data(piece)
                stream.abort()
            self.caller.abort()


@mock.patch("snipebay_node.frames.log", mock.Mock())
class TestInstances(unittest.TestCase):
    def accept(self, on_message):
        """Return an accepted stream of a bus."""
        hub = FakeHub()
        FrameBus(hub, "x", on_message, _Counters(), float)
        stream = FakeStream()
        hub.accept(stream)
        return stream

    def test_damaged_frames(self):
        rng = random.Random(3)
        for _ in range(RUNS):
            stream = self.accept(lambda sender, body: None)
            for piece in pieces(rng, self.frames(rng)):
                if stream.is_open:
                    stream.on_data(piece)

    def frames(self, rng):
        """Return damaged frames, compressed or not."""
        compressor = FrameCompressor() if rng.randrange(2) else None
        data = b""
        for _ in range(3):
            frame = encode(Envelope("me", rng.choice(MESSAGES)))
            mark = COMPRESSED if compressor else 0
            frame = compressor.compress(frame) if compressor else frame
            data += (len(frame) | mark).to_bytes(4, "little") + frame
        return damage(rng, data, (b"\xc1", b"\x00" * 4, b"\xff" * 4, b"\x81\xa0\xc0"))

    def test_damaged_messages(self):
        rng = random.Random(4)
        tokens = (
            b"\xc1",
            b"\xc0",
            b"\xcf" + b"\xff" * 8,
            b"\xd9\x02\xff\xfe",
            b"\x91" * 9,
        )
        for _ in range(10 * RUNS):
            data = damage(rng, encode(Envelope("me", rng.choice(MESSAGES))), tokens)
            try:
                decode(data)
            except CodecError:
                continue

    def test_a_message_whose_handling_fails_is_not_handled_again(self):
        received = []

        def on_message(sender, body):
            received.append(body)
            if len(received) == 1:
                raise ValueError("a fault in a core")

        stream = self.accept(on_message)
        first, second = (
            encode(Envelope("me", Hello(is_empty))) for is_empty in (True, False)
        )
        with self.assertRaises(ValueError):
            stream.on_data(len(first).to_bytes(4, "little") + first)
        stream.on_data(len(second).to_bytes(4, "little") + second)
        self.assertEqual(received, [Hello(True), Hello(False)])

    def test_text_that_is_not_utf_8(self):
        data = encode(Envelope("me", Hello(True))).replace(b"me", b"\xff\xfe")
        with self.assertRaises(CodecError):
            decode(data)

    def test_deep_nesting(self):
        data = encode(Envelope("me", Hello(True)))
        with self.assertRaises(CodecError):
            decode(data[:-1] + b"\x91" * 100_000)


class _Counters:
    def __getattr__(self, name):
        return lambda *args: None


if __name__ == "__main__":
    unittest.main()
