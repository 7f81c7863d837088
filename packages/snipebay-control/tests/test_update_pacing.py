"""Tests of when changes of the view are sent to entry instances."""

import unittest

from snipebay_control.update_pacing import (
    MAX_PUSH_INTERVAL_S,
    MAX_RESEND_TIMEOUT_S,
    UpdatePacer,
)
from snipebay_model.view import EntryRow

SIZES = (1, 12, 82, 185, 440)
CHANGES_PER_S = 40
TICK_S = 0.025


def row(incarnation="x"):
    return EntryRow("e1", incarnation, "10.0.0.1:80", "e1", "a", "a-1")


class TestStartOfHundreds(unittest.TestCase):
    """Replays changes at each tick, as when backend servers join one by one."""

    def pushes(self, instances, seconds=10.0):
        pacer = UpdatePacer()
        times = (number * TICK_S for number in range(int(seconds / TICK_S)))
        return sum(
            pacer.is_due(revision, 0, instances, now_s)
            for revision, now_s in enumerate(times, 1)
        )

    def test_messages_of_the_leader_are_bounded(self):
        for instances in SIZES[:-1]:
            rate_per_s = self.pushes(instances) * instances / 10.0
            self.assertLessEqual(rate_per_s, 510)

    def test_few_instances_learn_at_the_next_tick(self):
        self.assertEqual(self.pushes(12), 10.0 / TICK_S)

    def test_no_change_is_held_back_longer_than_the_bound(self):
        for instances in SIZES:
            pacer = UpdatePacer()
            self.assertTrue(pacer.is_due(1, 0, instances, 0.0))
            self.assertTrue(pacer.is_due(2, 0, instances, MAX_PUSH_INTERVAL_S))

    def test_a_single_change_is_sent_at_once(self):
        pacer = UpdatePacer()
        pacer.is_due(1, 0, 440, 0.0)
        self.assertTrue(pacer.is_due(2, 0, 440, 5.0))
        self.assertFalse(pacer.is_due(2, 0, 440, 10.0))

    def test_a_change_of_an_operator_is_sent_at_once(self):
        pacer = UpdatePacer()
        pacer.is_due(1, 0, 440, 0.0)
        self.assertFalse(pacer.is_due(2, 1, 440, 0.01))
        self.assertTrue(pacer.is_due(3, 3, 440, 0.02))


class TestWholeView(unittest.TestCase):
    def setUp(self):
        self.pacer = UpdatePacer()
        self.pacer.record_sent(row(), 9, 0.0)

    def base(self, now_s, applied=0, incarnation="x"):
        return self.pacer.reply_base(row(incarnation), applied, 440, now_s)

    def test_is_not_sent_again_while_on_its_way(self):
        self.assertEqual(self.base(0.5), 9)

    def test_is_sent_again_when_it_was_lost(self):
        self.assertEqual(self.base(MAX_RESEND_TIMEOUT_S), 0)

    def test_is_sent_to_a_restarted_instance(self):
        self.assertEqual(self.base(0.1, incarnation="y"), 0)

    def test_changes_that_were_lost_are_sent_again_at_once(self):
        self.assertEqual(self.base(0.1, applied=4), 4)

    def test_is_sent_again_after_the_instance_has_left(self):
        self.pacer.forget("e1")
        self.assertEqual(self.base(0.1), 0)


if __name__ == "__main__":
    unittest.main()
