"""Tests of the exchange of load reports between the instances of a region."""

import random
import unittest

from snipebay_model.load_news import LoadNews, LoadRow
from snipebay_model.view import BackendRow, EntryRow, View
from snipebay_policy.balancing.load_exchange import (
    INTERVAL_S,
    MAX_AGE_S,
    MAX_ROWS,
    LoadExchange,
)
from snipebay_policy.fleet import Fleet

BACKENDS = tuple(
    BackendRow(f"s{n}", "s", f"10.0.1.{n}:80", "a", "a-1", 6, born_ms=7)
    for n in range(40)
)


def view_of(count, region="a"):
    names = [f"e{n:03}" for n in range(count)]
    rows = tuple(EntryRow(n, "x", f"{n}:1", n, region, "a-1") for n in names)
    return View(1, backends=BACKENDS, entries=rows)


class Instance:
    def __init__(self, name, view):
        self.name = name
        self.fleet = Fleet(name, "a", "a-1")
        self.fleet.apply_view(view, 0.0)
        self.exchange = LoadExchange(name, "a")
        self.exchange.apply_view(view)

    def observe(self, backend_id, open_count, pace, now_s):
        member = self.fleet.members[backend_id]
        member.update_load(open_count, 0, now_s, pace)
        self.exchange.record(member)

    def receive(self, *rows, now_s=1.0):
        self.exchange.receive(LoadNews(rows), self.fleet.members, now_s)


class TestDissemination(unittest.TestCase):
    """A report reaches all of a region, at a rate that is the same for any number."""

    def test_nearly_all_know_a_report_within_its_useful_time(self):
        for count in (4, 23, 44, 62, 147):
            with self.subTest(instances=count):
                self.check_spread(count)

    def check_spread(self, count):
        rng = random.Random(1)
        view = view_of(count)
        found = {r.entry_id: Instance(r.entry_id, view) for r in view.entries}
        names = sorted(found)
        for instance in found.values():
            # Instances run for different times, so their turns differ.
            for number in range(rng.randrange(8)):
                instance.observe("s1", 1, 1.0, number * INTERVAL_S)
                instance.exchange.next_message(number * INTERVAL_S)
        start_s = 10.0
        found[names[0]].observe("s0", 5, 2.0, start_s)
        received = dict.fromkeys(found, 0)
        ticks = round(MAX_AGE_S / INTERVAL_S)
        for tick in range(ticks):
            rng.shuffle(names)
            for place, name in enumerate(names):
                now_s = start_s + (tick + place / count) * INTERVAL_S
                sent = found[name].exchange.next_message(now_s)
                if sent:
                    peer, news = sent
                    received[peer] += 1
                    members = found[peer].fleet.members
                    found[peer].exchange.receive(news, members, now_s + 0.001)
        known = [i.fleet.members["s0"].open_count for i in found.values()]
        self.assertGreaterEqual(known.count(5), 0.9 * count)
        self.assertLessEqual(max(received.values()), 10)

    def test_messages_are_bounded_in_rate_and_size(self):
        instance = Instance("e000", view_of(44))
        sent = []
        for step in range(400):
            for row in BACKENDS:
                instance.observe(row.backend_id, 1, 1.0, step * 0.025)
            sent.append(instance.exchange.next_message(step * 0.025))
        messages = [found[1] for found in sent if found]
        self.assertLessEqual(len(messages), 10 / INTERVAL_S + 2)
        self.assertLessEqual(max(len(m.rows) for m in messages), MAX_ROWS)

    def test_nothing_is_sent_without_paces_or_peers(self):
        self.assertIsNone(Instance("e000", view_of(44)).exchange.next_message(1.0))
        alone = Instance("e000", view_of(44, region="b"))
        alone.observe("s0", 1, 1.0, 1.0)
        self.assertIsNone(alone.exchange.next_message(1.0))


class TestWhatIsTakenOver(unittest.TestCase):
    def setUp(self):
        self.instance = Instance("e000", view_of(4))
        self.member = self.instance.fleet.members["s0"]

    def test_own_requests_are_not_counted_twice(self):
        for begun_s in (0.5, 0.95):
            self.instance.fleet.begin_request(self.member, 5.0, begun_s, 1.0)
        # The report is from 0.9 s, so it includes the first of the two.
        self.instance.receive(LoadRow("s0", 7, 4, 100, 100))
        self.assertAlmostEqual(self.member.other_load, 3.0)
        self.assertEqual(self.member.in_flight, 2)

    def test_late_and_repeated_news_change_nothing(self):
        self.instance.observe("s0", 2, 1.0, 0.8)
        self.instance.receive(LoadRow("s0", 7, 6, 300, 500))
        self.instance.receive(LoadRow("s0", 7, 6, 300, 195))
        self.assertEqual((self.member.open_count, self.member.pace), (2, 1.0))

    def test_unusable_rows_are_ignored(self):
        for row in (
            LoadRow("unknown", 7, 1),
            LoadRow("s0", 8, 1),
            LoadRow("s0", 7, -1),
            LoadRow("s0", 7, 10**9),
            LoadRow("s0", 7, 1, 5),
            LoadRow("s0", 7, 1, -100),
            LoadRow("s0", 7, 1, 10**6),
            LoadRow("s0", 7, 1, 100, -5),
            LoadRow("s0", 7, 1, 100, 5_000),
        ):
            self.instance.receive(row)
        self.assertEqual(self.instance.exchange.counts["rows_ignored"], 9)
        self.assertEqual(self.member.open_count, 0)

    def test_a_report_does_not_circulate_for_ever(self):
        other = Instance("e001", view_of(4))
        self.instance.observe("s0", 3, 2.0, 0.0)
        sent = 0
        for step in range(1, 200):
            for one, two in ((self.instance, other), (other, self.instance)):
                found = one.exchange.next_message(step * 0.025)
                if found:
                    sent += 1
                    two.receive(*found[1].rows, now_s=step * 0.025)
        self.assertLess(sent, 20)


if __name__ == "__main__":
    unittest.main()
