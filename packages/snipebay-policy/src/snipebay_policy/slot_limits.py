"""Rate limits of backend servers whose slots are assigned to instances."""

from snipebay_policy.rate_bucket import RateBucket
from snipebay_policy.rate_limits import RateLimitTable
from snipebay_policy.slots import LENT, PENDING

__all__ = ["SlotLimits"]

# Tokens that an idle bucket holds. As many instances as a backend server has slots may
# send one request each at the same moment.
BURST = 1.0


class SlotLimits:
    """Keeps this instance's part of each limit, in proportion to the slots it holds.

    No slot is held by two instances at once, so the parts add up to the limit without
    any message.

    Args:
        slots: :class:`SlotTable` of this instance.
        record_event: Function of event, subject and fields that queues a log event.
    """

    def __init__(self, slots, record_event):
        self._slots = slots
        self._slot_counts = {}
        self._buckets = {}
        self.table = RateLimitTable(record_event)

    def apply_view(self, view):
        """Drop the limits of backend servers that are gone or were started anew."""
        self.table.apply_view(view)
        self._slot_counts = {row.backend_id: row.slots for row in view.backends}
        for backend_id in [i for i in self._buckets if self.table.get(i) is None]:
            del self._buckets[backend_id]

    def is_limited(self, backend_id):
        """Return True while a backend server names a limit or recovers from one."""
        return self.table.get(backend_id) is not None

    def may_send(self, backend_id, now_s):
        """Return True if a request may be sent to a backend server now."""
        if not self.is_limited(backend_id):
            return True
        bucket = self._bucket(backend_id, now_s)
        return bucket.per_s > 0 and bucket.due_in_s(now_s) <= 0

    def take(self, backend_id, now_s):
        """Count a request that is sent to a backend server."""
        if self.is_limited(backend_id):
            self._bucket(backend_id, now_s).take(now_s)

    def tick(self, now_s):
        """Drop limits that have ended and whose recovery is over."""
        self.table.tick(now_s)

    def _bucket(self, backend_id, now_s):
        limit = self.table.get(backend_id)
        held = sum(
            holding.slot.backend_id == backend_id
            and holding.state not in (LENT, PENDING)
            for holding in self._slots.holdings.values()
        )
        share = held / max(1, self._slot_counts.get(backend_id, 0))
        rate_per_s = limit.rate_per_s(now_s) * min(1.0, share)
        bucket = self._buckets.get(backend_id)
        if bucket is None:
            bucket = self._buckets[backend_id] = RateBucket(rate_per_s, BURST, now_s)
        bucket.set_rate(rate_per_s, BURST, now_s)
        return bucket
