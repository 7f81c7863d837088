"""Tests for the bounds of log output, which must never block the process."""

import json
import os
import unittest

from snipebay_node.log_sink import (
    LINE_BURST,
    MAX_LINES_PER_S,
    SAMPLE_ONE_IN,
    LogSink,
    RequestLog,
)


class FakeLog:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))

    warning = info


class TestLogSink(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.sink = LogSink(self.writer, limit_bytes=10_000)

    def tearDown(self):
        if self.writer is not None:
            os.close(self.writer)

    def read(self):
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ""

    def test_lines_are_written_completely(self):
        self.sink.write("one\n")
        self.sink.write("tw")
        self.sink.write("o\n")
        self.sink.flush()
        self.assertEqual(self.read(), "one\ntwo\n")

    def test_stalled_reader_does_not_block_writes(self):
        for number in range(20_000):
            self.sink.write(f"line {number:>40}\n")
        self.sink.flush()
        text = ""
        while part := self.read():
            text += part
            self.sink.flush()
        lines = text.splitlines()
        drop_counts = [json.loads(line)["count"] for line in lines if "dropped" in line]
        self.assertEqual(sum(drop_counts) + len(lines) - len(drop_counts), 20_000)
        self.assertTrue(all(len(line) == 45 for line in lines if "drop" not in line))

    def test_closed_reader_drops_lines_without_an_error(self):
        os.close(self.reader)
        self.reader = os.open(os.devnull, os.O_RDONLY)
        self.sink.write("x\n")
        self.sink.flush()
        self.assertEqual(self.sink.dropped, 1)


class TestRequestLog(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        self.requests = RequestLog(self.log)

    def test_notable_requests_are_logged_up_to_the_rate_limit(self):
        for number in range(10_000):
            self.requests.record(
                number / 1_000, is_notable=True, request=str(number), outcome="cut"
            )
        ended = [fields for event, fields in self.log.lines if event == "request ended"]
        self.assertLessEqual(len(ended), LINE_BURST + 10 * MAX_LINES_PER_S)
        suppressed_count = sum(
            f["count"] for e, f in self.log.lines if "suppressed" in e
        )
        self.assertGreaterEqual(len(ended) + suppressed_count, 9_900)

    def test_other_requests_are_sampled_alike_in_every_process(self):
        other = FakeLog()
        for log in (self.requests, RequestLog(other)):
            for number in range(5_000):
                log.record(float(number), is_notable=False, request=f"{number:016x}")
        self.assertEqual(self.log.lines, other.lines)
        self.assertLess(len(other.lines), 3 * 5_000 / SAMPLE_ONE_IN)
        self.assertTrue(other.lines)


if __name__ == "__main__":
    unittest.main()
