"""Selects the region and slot for a waiting request."""

from snipebay_model.rules import PRIORITIES

__all__ = ["Placement", "dispatch_order"]

SPILLOVER_ROUND_TRIPS = 1.0
OVERLOAD_WAIT_FRACTION = 0.25


class Placement:
    """Selects regions and slots by the state of this entry instance.

    Args:
        ctx: Shared state of this entry instance.
    """

    def __init__(self, ctx):
        self.ctx = ctx

    def preferred_region(self, row, served, now_s):
        """Return the region to request slots from.

        A request spills over to the nearest other region when the local one has
        no usable backend server or the wait there has become too long.

        Args:
            row: The request.
            served: Regions with usable backend servers, nearest first.
            now_s: Current time.
        """
        local_region = self.ctx.region
        waited_s = now_s - row.arrived_s
        if row.region != local_region:
            # A shifted request that finds no slot in time is served locally.
            may_wait = waited_s < self._spillover_delay_s(row.region)
            return row.region if may_wait else local_region
        others = [region for region in served if region != local_region]
        if not others or not self._may_shift(row):
            return local_region
        if local_region in served and waited_s < self._spillover_delay_s(others[0]):
            return local_region
        return others[0]

    def _spillover_delay_s(self, region):
        """Return the wait that justifies the round trip to another region."""
        return (
            SPILLOVER_ROUND_TRIPS
            * 2
            * self.ctx.settings.link(self.ctx.region, region).delay_ms
            / 1_000
        )

    def served_regions(self, service, now_s):
        """Return the regions with usable backend servers, nearest first."""
        regions = {
            row.region
            for row in self.ctx.backends.values()
            if row.service == service
            and self.ctx.is_open(row.backend_id)
            and self.ctx.health.is_usable(row.backend_id, now_s)
        }
        local_region = self.ctx.region
        return sorted(
            regions,
            key=lambda r: (
                r != local_region,
                self.ctx.settings.link(local_region, r).delay_ms,
                r,
            ),
        )

    def _may_shift(self, row):
        return row.is_shifted or self.ctx.meter(row.info.service).may_shift

    def admit_to_region(self, row, region, now_s):
        """Check link limit and shift cap; charge the request to them if admitted."""
        if region == self.ctx.region:
            return True
        if not self.ctx.link(region).allows(row.rules.answer_bytes, now_s):
            return False
        if not self._may_shift(row):
            return False
        if not row.is_shifted:
            self.ctx.meter(row.info.service).count_shift()
            row.is_shifted = True
        self.ctx.link(region).consume(row.rules.answer_bytes, now_s)
        return True

    def best_slot(self, row, region, now_s):
        """Return the free slot with the lowest expected cost, or None."""
        rows = self.ctx.backends
        usable = [
            holding
            for holding in self.ctx.slots.free_slots(row.info.service, region, now_s)
            if self.ctx.health.is_usable(holding.slot.backend_id, now_s)
            and self.ctx.is_open(holding.slot.backend_id)
            and holding.slot.backend_id not in row.excluded_backends
            and self.ctx.slot_limits.may_send(holding.slot.backend_id, now_s)
        ]
        if not usable:
            return None
        local_domain = self.ctx.cfg.row.domain
        return min(
            usable,
            key=lambda h: (
                self.ctx.health.score(h.slot.backend_id, now_s),
                rows[h.slot.backend_id].domain != local_domain,
                h.slot,
            ),
        )


def dispatch_order(rows, now_s):
    """Return waiting requests in the order in which they receive slots.

    Normally this is by priority, then earliest deadline first. In an overload that
    order would complete every request just too late. So once the first request has
    waited for a certain part of its timeout the order is reversed, priorities
    included: the newest come first, and the oldest run into their deadline.
    """
    ordered = sorted(rows, key=_queue_key)
    first = ordered[0]
    overload_wait_s = (first.deadline_s - first.arrived_s) * OVERLOAD_WAIT_FRACTION
    if now_s - first.arrived_s > overload_wait_s:
        ordered.reverse()
    return ordered


def _queue_key(row):
    """Return the sort key of a waiting request: priority, deadline, id."""
    return PRIORITIES.index(row.rules.priority), row.deadline_s, row.request_id
