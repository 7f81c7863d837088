"""Tests of settings, their findings and the codec."""

import pathlib
import tempfile
import unittest

import msgspec
from returns.result import Success
from snipebay_cli.__main__ import app
from snipebay_model.codec import CodecError, Envelope, decode, encode
from snipebay_model.instance import parse_instance
from snipebay_model.messages import ApplySettings, VoteReply
from snipebay_model.settings import parse_settings
from snipebay_model.view import View, ViewDelta
from snipebay_testbed.deployments import DEPLOYMENTS

TREE = """
regions:
  norte: {domains: [paita]}
  sur: {domains: [ilo]}
branches:
  all: {rules: {deadline_ms: 900, retries: 2}}
  urgent: {parent: all, rules: {priority: urgent}}
services:
  check: {parent: urgent, rules: {retries: 0}}
  read: {parent: all}
"""
SHIFT = "shifts: [{{service: check, source: {}, target: sur, share: {}}}]"


def findings(text):
    return [str(row) for row in parse_settings(text, "t.yaml").failure().rows]


class TestSettingsTree(unittest.TestCase):
    def test_services_inherit_and_override_rules(self):
        tree = parse_settings(TREE).unwrap()
        check = tree.rules("check")
        found = (check.deadline_ms, check.retries, check.priority)
        self.assertEqual(found, (900, 0, "urgent"))
        self.assertEqual(tree.rules("read").priority, "normal")
        self.assertEqual(tree.explain("check")["deadline_ms"].origin, "all")
        self.assertEqual(tree.explain("check")["queue_limit"].origin, "default")

    def test_testbed_deployments_are_valid(self):
        for deployment in DEPLOYMENTS.values():
            self.assertIsInstance(parse_settings(deployment.settings()), Success)

    def test_all_findings_are_reported_together_with_their_positions(self):
        text = TREE + "  x: {rules: {retires: 1, deadline_ms: 5, idempotent: 3}}\n"
        found = findings(text)
        self.assertEqual(len(found), 3)
        self.assertIn("t.yaml:11:15: services.x.rules.retires", found[0])
        self.assertIn("did you mean 'retries'?", found[0])
        self.assertIn("5 is not within 10 to 600000 ms", found[1])
        self.assertIn("expected true or false, got 3", found[2])

    def test_invalid_trees(self):
        cases = {
            "services: [": "bad YAML",
            "": "the file is empty",
            "- 1": "expected a mapping",
            TREE.replace("parent: urgent", "parent: urgnt"): "unknown parent 'urgnt'",
            TREE.replace("all: {", "all: {parent: urgent, "): "its own ancestor",
            TREE + "  read: {}\n": "duplicate key 'read'",
            TREE.replace("[ilo]", "[paita]"): "is in 'norte' too",
            TREE + "blocks: [{network: 10.0.0.1/8, domain: ilo}]": "expected a block",
            TREE + "blocks: [{network: 10.0.0.0/8, domain: lima}]": "unknown failure",
            TREE + "links: [{source: norte, target: este}]": "unknown region 'este'",
            TREE + SHIFT.format("norte", 0.9): "over shift_cap 0.3",
            TREE + SHIFT.format("sur", 0.1): "both 'sur'",
        }
        for text, expected in cases.items():
            with self.subTest(expected=expected):
                self.assertIn(expected, "\n".join(findings(text)))

    def test_rows_after_an_invalid_one_keep_their_index(self):
        text = TREE + (
            "links:\n- {source: 3}\n- {source: norte, target: east}\n"
            "blocks:\n- {network: x, domain: ilo}\n"
            "- {network: 10.0.0.0/8, domain: callao}\n"
            "shifts:\n- {service: 3}\n"
            "- {service: check, source: norte, target: east, share: 0.1}\n"
        )
        found = "\n".join(findings(text))
        self.assertIn("t.yaml:13:3: links.1.target: unknown region 'east'", found)
        self.assertIn("t.yaml:16:3: blocks.1.domain: unknown", found)
        self.assertIn("t.yaml:19:3: shifts.1.target: unknown region 'east'", found)

    def test_shares_over_100_percent(self):
        text = TREE.replace("retries: 2", "retries: 2, shift_cap: 1")
        text = text.replace("sur: {", "este: {domains: [e]}\n  sur: {")
        row = "{service: read, source: norte, target: %s, share: 0.6}"
        text += f"shifts: [{row % 'sur'}, {row % 'este'}]"
        self.assertIn("add up to 120%, over 100 %", "\n".join(findings(text)))

    def test_check_command_reports_by_exit_code(self):
        with tempfile.TemporaryDirectory() as folder:
            good, bad = pathlib.Path(folder, "g"), pathlib.Path(folder, "b")
            good.write_text(TREE)
            bad.write_text(TREE + "  y: {rules: 1}\n")
            run = lambda path: app(["check", str(path)], result_action="return_value")  # noqa: E731
            self.assertEqual((run(good), run(bad)), (0, 1))


class TestInstanceSettings(unittest.TestCase):
    TEXT = """
id: c1
region: a
domain: x
roles: [control]
http: 127.0.0.1:1
internal: 127.0.0.1:2
metrics: 127.0.0.1:3
data: /d
peers: [{id: c1, internal: 127.0.0.1:2, region: a}]
"""

    def test_valid(self):
        self.assertTrue(parse_instance(self.TEXT).unwrap().is_control)

    def test_all_findings_are_reported_together(self):
        text = self.TEXT.replace("/d", "''").replace("127.0.0.1:1\n", "localhost:1\n")
        text = text.replace("[control]", "[control, boss]")
        text = text.replace(
            "peers: [", "peers: [{id: c1, internal: '1.1.1.1:9', region: a}, "
        )
        report = str(parse_instance(text, "i.yaml").failure())
        self.assertIn("i.yaml:6:7: http: expected an IP number", report)
        self.assertIn("duplicate instance id 'c1'", report)


class TestCodec(unittest.TestCase):
    def test_round_trip(self):
        envelope = Envelope("c1#a", ApplySettings("x", 3, "me", "text"))
        self.assertEqual(decode(encode(envelope)), envelope)

    def test_invalid_frames_raise_codec_error(self):
        good = encode(Envelope("c1", VoteReply(1, True)))
        version = msgspec.msgpack.encode((9, "c1", "VoteReply", {}))
        unknown = msgspec.msgpack.encode((1, "c1", "Nothing", {}))
        wrong = msgspec.msgpack.encode((1, "c1", "VoteReply", {"term": "x"}))
        for frame in (b"", b"garbage", good[:-1], version, unknown, wrong):
            with self.subTest(frame=frame), self.assertRaises(CodecError):
                decode(frame)


class TestView(unittest.TestCase):
    def test_delta_with_newer_base_is_rejected(self):
        with self.assertRaisesRegex(ValueError, "starts at 5"):
            View().apply(ViewDelta(5, 6))

    def test_delta_to_older_revision_is_ignored(self):
        view = View(revision=9, settings="new")
        self.assertIs(view.apply(ViewDelta(0, 8, True, "old", 8)), view)


if __name__ == "__main__":
    unittest.main()
