"""Decides how long an attempt to connect to another instance may take.

The load pattern: after a loss of power all instances start within a second or two, and
each connects to others that have no power yet. A lost SYN is only sent again after a
second (RFC 6298), so an attempt that was too early would keep an instance from a peer
that listens by then, and without the peer it has no traffic plan. Early attempts are
short; they grow so that a slow link is given the time that it needs.
"""

import attrs

__all__ = ["ConnectAttempts"]

# Three round trips between regions.
FIRST_ATTEMPT_S = 0.25
# Below an election timeout.
LONGEST_ATTEMPT_S = 0.8
GROWTH_FACTOR = 2.0
# Delay after a failed attempt or a lost connection.
RECONNECT_DELAY_S = 0.1


@attrs.define
class ConnectAttempts:
    """Attempts to connect to one peer.

    Attributes:
        timeout_s: How long the next attempt may take.
        next_s: Earliest time of the next attempt.
    """

    timeout_s: float = FIRST_ATTEMPT_S
    next_s: float = 0.0

    def record_connected(self):
        """Start over: the peer answered."""
        self.timeout_s = FIRST_ATTEMPT_S

    def record_timeout(self):
        """Give the next attempt more time."""
        self.timeout_s = min(LONGEST_ATTEMPT_S, self.timeout_s * GROWTH_FACTOR)

    def record_end(self, now_s):
        """Wait before the next attempt, after a failed one or a lost connection."""
        self.next_s = now_s + RECONNECT_DELAY_S
