"""Decides how long an entry instance may rely on its view of the workspaces' keys."""

import math

import attrs

__all__ = ["ConfigLease"]

# Share of the time for a revocation that is kept free. Clocks of machines that are
# being adjusted may run apart by 0.1 %.
MARGIN_SHARE = 0.05
# Renewals whose replies may still confirm the view, far more than are on their way.
MAX_UNANSWERED = 64


@attrs.define
class ConfigLease:
    """Time since which the view of an entry instance is known to be complete.

    A reply of the leader holds all changes that were acknowledged before the renewal
    that it answers was sent. A key that the view still holds can only have been revoked
    later, so it may be served until ``revoke_s`` after that time.

    All times are of ``CLOCK_BOOTTIME``, which goes on while the machine is suspended.

    Attributes:
        revoke_s: Time after the acknowledgement of a change from which on a revoked
            key must not be served, or None if the view may be of any age.
        confirmed_s: Time at which the newest confirmed renewal was sent.
    """

    revoke_s: float | None = None
    confirmed_s: float = -math.inf
    _sent: dict = attrs.Factory(dict)

    def record_sent(self, sent_ms, boot_s):
        """Record a renewal.

        Args:
            sent_ms: Its ``sent_ms``, which the reply echoes.
            boot_s: Time just before it is sent.
        """
        self._sent.setdefault(sent_ms, boot_s)
        while len(self._sent) > MAX_UNANSWERED:
            del self._sent[next(iter(self._sent))]

    def confirm(self, sent_ms):
        """Handle the reply to a renewal; one to an earlier process has no effect."""
        self.confirmed_s = max(self.confirmed_s, self._sent.get(sent_ms, -math.inf))

    def is_valid(self, boot_s):
        """Return True while the keys that the view holds may be served."""
        if self.revoke_s is None:
            return True
        return boot_s < self.confirmed_s + self.revoke_s * (1 - MARGIN_SHARE)
