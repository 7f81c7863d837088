"""Passes load and pace reports of backend servers on to the instances of a region.

The load pattern: an instance meets a given backend server every few seconds, while the
load and the pace of that server change several times a second. The reports that all
instances of the region receive would tell it, but each of them can handle only some ten
messages a second.

The instances stand in a ring, sorted by id, and each sends in turn to those 1, 2, 4,
... places ahead. Reports are passed on until they are too old, so that one reaches all
of ``n`` instances within about ``log2(n)`` intervals, while an instance sends and
receives one message in each interval, whatever ``n`` is.
"""

import collections
import math

import attrs
from snipebay_model.load_news import LoadNews, LoadRow

__all__ = ["LoadExchange"]

# Interval between two messages, which is eight a second.
INTERVAL_S = 0.125
# Rows of one message, the newest first: 2.7 kB, or 0.4 kB compressed on a connection.
MAX_ROWS = 32
# Older reports say nothing on the present load or pace.
MAX_AGE_S = 1.0
# Added to the age of a row for the way to the receiver, so that a report doesn't seem
# newer at each instance that it passes.
TRANSIT_MS = 1
# Smaller gains in age are differences of rounding and transit of one report.
MIN_NEWER_S = 0.02
# Values beyond these are taken for errors.
MAX_OPEN_COUNT = 100_000
MIN_PACE_PERCENT, MAX_PACE_PERCENT = 10, 10_000


@attrs.define
class LoadExchange:
    """Decides which reports go to which instance, and which ones are taken over.

    Reports of backend servers that name no pace are not passed on, so a deployment
    without such servers sends no messages.

    Attributes:
        entry_id: Id of this instance.
        region: Region of this instance.
        counts: Messages and rows by what became of them.
    """

    entry_id: str
    region: str
    counts: collections.Counter = attrs.Factory(collections.Counter)
    _peers: tuple = ()
    _recent: dict = attrs.Factory(dict)
    _sent_s: dict = attrs.Factory(dict)
    _turn: int = 0
    _next_s: float = -math.inf

    def apply_view(self, view):
        """Update the instances to send to, in the order of their turns."""
        rows = (r for r in view.entries if r.region == self.region and not r.leaving)
        ring = sorted({self.entry_id, *(row.entry_id for row in rows)})
        own = ring.index(self.entry_id)
        offsets = (1 << n for n in range((len(ring) - 1).bit_length()))
        self._peers = tuple(ring[(own + n) % len(ring)] for n in offsets)
        self._sent_s = {peer: s for peer, s in self._sent_s.items() if peer in ring}

    def record(self, member):
        """Pass on the last report of a member, which a response has brought."""
        self._recent[member.row.backend_id] = member

    def next_message(self, now_s):
        """Return the instance to send to now and its :class:`LoadNews`, or None."""
        if not self._recent or not self._peers or now_s < self._next_s:
            return None
        # Ticks are late by up to a tick; the mean interval stays the same.
        self._next_s = max(self._next_s, now_s - INTERVAL_S) + INTERVAL_S
        peer = self._peers[self._turn % len(self._peers)]
        self._turn += 1
        self._recent = {
            backend_id: member
            for backend_id, member in self._recent.items()
            if now_s - member.reported_s < MAX_AGE_S
        }
        since_s = self._sent_s.get(peer, -math.inf)
        self._sent_s[peer] = now_s
        news = [m for m in self._recent.values() if m.heard_s > since_s]
        news.sort(key=lambda m: -m.reported_s)
        rows = tuple(_row(member, now_s) for member in news[:MAX_ROWS])
        if not rows:
            return None
        self.counts["messages_sent"] += 1
        self.counts["rows_sent"] += len(rows)
        return peer, LoadNews(rows)

    def receive(self, news, members, now_s):
        """Take over the reports that are newer than the known ones.

        Args:
            news: The :class:`LoadNews`.
            members: :class:`Member` by id.
            now_s: Time.
        """
        self.counts["messages_received"] += 1
        for row in news.rows[:MAX_ROWS]:
            member = members.get(row.backend_id)
            is_used = member is not None and _is_newer(row, member, now_s)
            self.counts["rows_used" if is_used else "rows_ignored"] += 1
            if is_used:
                pace = row.pace_percent / 100 if row.pace_percent else None
                observed_s = now_s - row.age_ms / 1_000
                member.take_over_load(row.open_count, pace, observed_s, now_s)
                self._recent[row.backend_id] = member


def _row(member, now_s):
    age_ms = math.ceil((now_s - member.reported_s) * 1_000) + TRANSIT_MS
    return LoadRow(
        member.row.backend_id,
        member.row.born_ms,
        member.open_count,
        round(member.pace * 100) if member.paced_s == member.reported_s else 0,
        age_ms,
    )


def _is_newer(row, member, now_s):
    """Return True if a row is sensible and newer than the last report of a member."""
    is_sensible = (
        row.born_ms == member.row.born_ms
        and 0 <= row.open_count <= MAX_OPEN_COUNT
        and 0 <= row.age_ms < MAX_AGE_S * 1_000
        and (not row.pace_percent or _is_pace(row.pace_percent))
    )
    return is_sensible and now_s - row.age_ms / 1_000 > member.reported_s + MIN_NEWER_S


def _is_pace(percent):
    return MIN_PACE_PERCENT <= percent <= MAX_PACE_PERCENT
