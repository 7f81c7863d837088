"""Tests that a long plan is encoded and compressed once for hundreds of instances."""

import unittest
from unittest import mock

from snipebay_control import state as state_module
from snipebay_model.codec import CodecError, Envelope, decode, encode, encode_body
from snipebay_model.messages import ApplyPlan, Renew, RenewReply
from snipebay_model.packed_delta import MIN_PACKED_BYTES, pack_delta, unpack_delta
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import EntryRow, ViewDelta
from snipebay_testbed.control_rig import ControlRig

INSTANCES, ROUTES = 185, 2_000


def plan(version, count):
    routes = (
        Route(f"r{n}", "a.example", f"/{n}/", True, 2.0, 0.5, 1, (("s", 1.0),))
        for n in range(count)
    )
    return Plan(version, tuple(routes), (RoutedService("s"),), source=b"x")


class TestBigPlanAtManyInstances(unittest.TestCase):
    def setUp(self):
        self.rig = ControlRig(1, 3, seeds=("c1", "c2", "c3"))
        self.rig.scheduler.run_for(6.0)
        self.rig.elect()
        self.rig.call(ApplyPlan("d1", 0, plan(1, 3)))
        self.core = self.rig.leader.core
        self.rows = [
            EntryRow(f"e{n}", "x", f"10.0.0.{n}:1", f"e{n}", "a", "a-1")
            for n in range(INSTANCES)
        ]
        for row in self.rows:
            self.renew(row, 0)
        self.rig.scheduler.run_for(2.0)
        for row in self.rows:
            self.renew(row, self.core.state.revision)
        self.core.pop_messages()

    def renew(self, row, applied, *, reads=True):
        msg = Renew(row, 0, applied, applied, reads_plan_patches=reads)
        self.core.receive(row.entry_id, msg, self.rig.scheduler.now_s)

    def replies(self):
        """Return the replies with changes that the leader has to send."""
        found = [body for _, body in self.core.pop_messages()]
        found = [body for body in found if isinstance(body, RenewReply)]
        return [body for body in found if body.packed_delta or body.delta]

    def change(self):
        self.core.state.apply(*encode_body(ApplyPlan("d2", 1, plan(2, ROUTES))))

    def test_long_change_is_packed_once_and_short_for_each(self):
        self.change()
        base = self.core.state.revision - 1
        with mock.patch.object(
            state_module, "pack_delta", side_effect=pack_delta
        ) as packed:
            for row in self.rows:
                self.renew(row, base)
            replies = self.replies()
        self.assertEqual(len(replies), INSTANCES)
        self.assertEqual(packed.call_count, 1)
        self.assertEqual(len({id(reply.packed_delta) for reply in replies}), 1)
        for reply in replies[:3]:
            frame = encode(Envelope("c1", reply))
            whole = encode(Envelope("c1", RenewReply("c1", True, delta=self.whole())))
            self.assertLess(len(frame), len(whole) / 4)
            arrived = unpack_delta(decode(frame).body.packed_delta)
            self.assertEqual(
                arrived, self.core.state.delta(base, reads_plan_patches=True)
            )

    def whole(self):
        return self.core.state.delta(0)

    def test_older_build_gets_it_unpacked(self):
        self.change()
        self.renew(self.rows[0], self.core.state.revision - 1, reads=False)
        (reply,) = self.replies()
        self.assertEqual(reply.packed_delta, b"")
        self.assertEqual(len(reply.delta.plan.routes), ROUTES)


class TestPacking(unittest.TestCase):
    def test_short_changes_are_not_packed(self):
        self.assertEqual(pack_delta(ViewDelta(1, 2)), b"")

    def test_damaged_bytes_are_refused(self):
        data = pack_delta(ViewDelta(0, 1, settings="x" * MIN_PACKED_BYTES))
        self.assertEqual(unpack_delta(data).revision, 1)
        for damaged in (data[:-5], data[:10] + b"zz" + data[12:], b"", b"nonsense"):
            with self.assertRaises(CodecError):
                unpack_delta(damaged)


if __name__ == "__main__":
    unittest.main()
