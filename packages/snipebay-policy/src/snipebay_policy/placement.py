"""Chooses region and slot for a waiting request."""

from snipebay_model.rules import PRIORITIES

__all__ = ["Placement", "in_order"]

SPILL_TRIPS = 1.0
OVERLOAD_SHARE = 0.25


class Placement:
    """Where a waiting request may go, by the tables of this entry instance.

    Args:
        ctx: Tables of this entry instance.
    """

    def __init__(self, ctx):
        self.ctx = ctx

    def wanted_region(self, row, served, now_s):
        """Return the region to ask for slots, another one when ours has none.

        Args:
            row: The request.
            served: Regions with usable backend servers, nearest first.
            now_s: Time.
        """
        home = self.ctx.region
        waited_s = now_s - row.arrived_s
        if row.region != home:
            # A shift that finds no slot there is served at home.
            is_patient = waited_s < self._patience_s(row.region)
            return row.region if is_patient else home
        others = [region for region in served if region != home]
        if not others or not self._may_cross(row):
            return home
        if home in served and waited_s < self._patience_s(others[0]):
            return home
        return others[0]

    def _patience_s(self, region):
        """Return the wait after which a way to another region is worth it."""
        return (
            SPILL_TRIPS
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
        home = self.ctx.region
        return sorted(
            regions,
            key=lambda r: (r != home, self.ctx.settings.link(home, r).delay_ms, r),
        )

    def _may_cross(self, row):
        return row.is_shifted or self.ctx.meter(row.info.service).may_shift

    def cross(self, row, region, now_s):
        """Return True when the request may go to a region, and count it there."""
        if region == self.ctx.region:
            return True
        if not self.ctx.link(region).allows(row.rules.answer_bytes, now_s):
            return False
        if not self._may_cross(row):
            return False
        if not row.is_shifted:
            self.ctx.meter(row.info.service).count_shift()
            row.is_shifted = True
        self.ctx.link(region).spend(row.rules.answer_bytes, now_s)
        return True

    def best_slot(self, row, region, now_s):
        """Return the free slot with the least expected cost, or None."""
        rows = self.ctx.backends
        usable = [
            holding
            for holding in self.ctx.slots.free(row.info.service, region, now_s)
            if self.ctx.health.is_usable(holding.slot.backend_id, now_s)
            and self.ctx.is_open(holding.slot.backend_id)
            and holding.slot.backend_id not in row.tried
        ]
        if not usable:
            return None
        own_domain = self.ctx.cfg.row.domain
        return min(
            usable,
            key=lambda h: (
                self.ctx.health.score(h.slot.backend_id, now_s),
                rows[h.slot.backend_id].domain != own_domain,
                h.slot,
            ),
        )


def in_order(rows, now_s):
    """Return waiting requests in the order in which they get slots.

    Usually the earliest deadline comes first. In an overload that would serve
    everyone just too late, so once the first has used up much of its time the
    newest come first, and the oldest run into their deadline.
    """
    ordered = sorted(rows, key=_order)
    first = ordered[0]
    patience_s = (first.deadline_s - first.arrived_s) * OVERLOAD_SHARE
    if now_s - first.arrived_s > patience_s:
        ordered.reverse()
    return ordered


def _order(row):
    """Return the place of a waiting request in the queue."""
    return PRIORITIES.index(row.rules.priority), row.deadline_s, row.request_id
