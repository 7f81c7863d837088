"""Schedule of a graceful shutdown."""

import attrs

__all__ = ["StopSchedule"]

# Requests are accepted this long after a shutdown has started. By then callers have
# looked up other instances, and requests accepted earlier can still complete.
ACCEPT_S = 2.5
ACCEPT_SHARE = 0.5
# Accepted requests end this long before the process does, for their responses to be
# sent.
FLUSH_S = 0.1
FLUSH_SHARE = 0.05


@attrs.frozen
class StopSchedule:
    """Times of a graceful shutdown, in seconds from its start.

    Attributes:
        timeout_s: When the process ends at the latest.
        has_callers: True if the instance has the entry role.
    """

    timeout_s: float
    has_callers: bool

    @property
    def accept_s(self):
        """When new requests begin to be refused."""
        return min(ACCEPT_S, ACCEPT_SHARE * self.timeout_s)

    @property
    def requests_end_s(self):
        """When the last accepted request ends."""
        return self.timeout_s - min(FLUSH_S, FLUSH_SHARE * self.timeout_s)

    @property
    def min_s(self):
        """Minimum duration.

        Callers may use earlier lookups that returned this instance until then.
        """
        return self.accept_s + 0.5 if self.has_callers else 0.2
