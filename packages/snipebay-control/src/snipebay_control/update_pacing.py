"""Decides when the leader sends changes of the view, and to whom which ones.

The load pattern: hundreds of machines start, or are replaced, within seconds. Each
change concerns all entry instances, so sending each one at once costs changes times
instances messages. Changes of membership are therefore collected for a time that grows
with the number of instances; changes by operators are sent at once.
"""

import math

import attrs

__all__ = ["UpdatePacer"]

# Interval between two pushes for each instance that gets them: 500 messages a second.
PUSH_INTERVAL_S = 0.002
# Longest time that a change of membership is held back, well below all leases.
MAX_PUSH_INTERVAL_S = 0.4
# A whole view that was sent is not sent again for this long for each instance that the
# view lists, up to the time that one of hundreds takes on a link of 2 Mbit/s.
RESEND_TIMEOUT_S = 0.005
MAX_RESEND_TIMEOUT_S = 1.0


@attrs.frozen
class _Sent:
    incarnation: str
    revision: int
    sent_s: float


@attrs.define
class UpdatePacer:
    """Paces the pushed changes of one leadership."""

    _pushed_s: float = -math.inf
    _pushed_revision: int = 0
    _sent: dict = attrs.Factory(dict)

    def is_due(self, revision, urgent_revision, instances, now_s):
        """Return True, and begin a new interval, when changes are to be sent now.

        Args:
            revision: Newest revision of the view.
            urgent_revision: Newest revision that an operator made.
            instances: Number of entry instances.
            now_s: Time.
        """
        if revision <= self._pushed_revision:
            return False
        interval_s = min(MAX_PUSH_INTERVAL_S, instances * PUSH_INTERVAL_S)
        is_urgent = urgent_revision > self._pushed_revision
        if not is_urgent and now_s < self._pushed_s + interval_s:
            return False
        self._pushed_s = now_s
        self._pushed_revision = revision
        return True

    def push_base(self, row, applied):
        """Return the revision from which changes are pushed to an instance.

        Args:
            row: :class:`EntryRow` of the running instance.
            applied: Revision that it reported.
        """
        sent = self._sent.get(row.entry_id)
        if sent is None or sent.incarnation != row.incarnation:
            return applied
        return max(applied, sent.revision)

    def reply_base(self, row, applied, instances, now_s):
        """Return the revision from which a renewal is answered with changes.

        An instance that has no view yet renews again while the whole one is on its
        way to it.

        Args:
            row: :class:`EntryRow` of the running instance.
            applied: Revision that it reported.
            instances: Number of entry instances.
            now_s: Time.
        """
        sent = self._sent.get(row.entry_id)
        timeout_s = min(MAX_RESEND_TIMEOUT_S, instances * RESEND_TIMEOUT_S)
        if applied or sent is None or now_s >= sent.sent_s + timeout_s:
            return applied
        return self.push_base(row, applied)

    def record_sent(self, row, revision, now_s):
        """Record that changes up to a revision were sent to an instance."""
        self._sent[row.entry_id] = _Sent(row.incarnation, revision, now_s)

    def forget(self, entry_id):
        """Drop what was sent to an instance that has left."""
        self._sent.pop(entry_id, None)
