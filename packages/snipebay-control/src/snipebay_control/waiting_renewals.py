"""Keeps the renewals that came before the leader could answer them.

The load pattern: after a loss of power, or of the leader, all instances ask control
again and again. Each asks the control instances in turn, so after the election it could
take several rounds until an instance asks the leader, and without an answer an instance
that has just started has no traffic plan. The new leader answers what it was asked last
at once.
"""

import attrs

__all__ = ["WaitingRenewals"]

# An instance asks five control instances in turn within this time.
MAX_AGE_S = 1.0


@attrs.define
class WaitingRenewals:
    """Newest renewal of each entry instance that could not be answered."""

    _rows: dict = attrs.Factory(dict)

    def record(self, sender, msg, now_s):
        """Keep a renewal in place of an older one of the same instance."""
        self._rows.pop(sender, None)
        self._rows[sender] = now_s, msg
        self._drop_old(now_s)

    def pop(self, now_s):
        """Remove all; return pairs of sender and renewal, without old ones."""
        self._drop_old(now_s)
        rows, self._rows = self._rows, {}
        return [(sender, msg) for sender, (_, msg) in rows.items()]

    def _drop_old(self, now_s):
        """Drop the first rows, which are the oldest."""
        while self._rows:
            sender = next(iter(self._rows))
            if now_s - self._rows[sender][0] <= MAX_AGE_S:
                return
            del self._rows[sender]
