"""Shares of a service's requests by region, in proportion to room and demand."""

import attrs

from snipebay_policy.routes import Split

__all__ = ["RegionShares", "target_shares"]


# Use of its slots up to which a region keeps its requests to itself.
LOCAL_UTILIZATION = 0.6
# Slots below which a region's local_demand demand tells nothing; all regions are then
# taken to have the same.
MIN_DEMAND = 0.5


def target_shares(local_region, capacity, demand):
    """Return the share that each region should take of the requests at local_region.

    A region keeps what fits into its slots up to a level of use and gives the
    rest to those below that level. Beyond it, all come to the same use.

    Args:
        local_region: Region where the requests arrive.
        capacity: Slots by region, only regions that have any.
        demand: Slots that the requests of each region need.
    """
    if not capacity:
        return {}
    slots = sum(capacity.values())
    if demand.get(local_region, 0.0) < MIN_DEMAND:
        regions = {*capacity, local_region}
        demand = dict.fromkeys(regions, LOCAL_UTILIZATION * slots / len(regions))
    local_demand, load = demand[local_region], sum(demand.values())
    level = max(LOCAL_UTILIZATION, load / slots)
    kept = min(1.0, level * capacity.get(local_region, 0) / local_demand)
    surplus = {
        region: max(0.0, level * count - demand.get(region, 0.0))
        for region, count in capacity.items()
        if region != local_region
    }
    if kept >= 1.0 or not sum(surplus.values()):
        return (
            {local_region: 1.0} if local_region in capacity else _normalized(capacity)
        )
    shares = {r: (1.0 - kept) * part for r, part in _normalized(surplus).items()}
    return {**shares, local_region: kept} if kept else shares


@attrs.define
class RegionShares:
    """Shares in force, which follow the target ones at a bounded speed.

    Attributes:
        local_region: Our region.
        max_change_per_s: Greatest part of the requests that changes region in a second.
        shares: Share by region.
        capacity: Slots by region, as they were last given.
    """

    local_region: str
    max_change_per_s: float
    shares: dict = attrs.Factory(dict)
    capacity: dict = attrs.Factory(dict)
    _updated_s: float | None = None
    _splits: dict = attrs.Factory(dict)

    def update(self, capacity, demand, now_s):
        """Bring the shares forward to a time."""
        self.capacity = capacity
        target = target_shares(self.local_region, capacity, demand)
        # A region without room is left at once, whatever the speed.
        kept = {r: share for r, share in self.shares.items() if r in capacity}
        elapsed_s = now_s - self._updated_s if self._updated_s is not None else 0.0
        self._updated_s = now_s
        if not sum(kept.values()):
            self.shares = target
        else:
            self.shares = _step(
                _normalized(kept), target, self.max_change_per_s * elapsed_s
            )

    def region_at(self, position, allowed=()):
        """Return the region that takes an object at a position, or None.

        Args:
            position: Place of the object in the order of all, from 0 to 1.
            allowed: Regions to choose from, empty for all.
        """
        rows = sorted(
            self._weights(allowed),
            key=lambda row: (row[0] != self.local_region, row[0]),
        )
        left = position * sum(share for _, share in rows)
        for region, share in rows:
            left -= share
            if left < 0:
                return region
        return rows[-1][0] if rows else None

    def regions(self, allowed=()):
        """Return the regions that may take requests, in a fixed order."""
        known = [r for r in self.shares if not allowed or r in allowed]
        return sorted(known or (region for region, _ in self._weights(allowed)))

    def _weights(self, allowed):
        """Return pairs of region and weight.

        Where none of the allowed regions has a share, since the local_demand region
        keeps all that it may, they get one by their slots.
        """
        for table in (self.shares, self.capacity):
            rows = [
                (region, weight)
                for region, weight in table.items()
                if weight > 0 and (not allowed or region in allowed)
            ]
            if rows or not allowed:
                return rows
        return []

    def next_region(self, allowed=()):
        """Return the region whose turn it is, or None when none has room.

        Args:
            allowed: Regions to choose from, empty for all.
        """
        weights = tuple(sorted(self._weights(allowed)))
        names = tuple(region for region, _ in weights)
        split = self._splits.get(names)
        if split is None:
            split = self._splits[names] = Split(weights)
        split.weights = weights
        return split.next()


def _normalized(parts):
    total = sum(parts.values())
    return {name: part / total for name, part in parts.items() if part > 0}


def _step(shares, target, max_change):
    """Return shares moved towards the target ones by at max_change one amount."""
    regions = sorted({*shares, *target})
    gaps = {r: target.get(r, 0.0) - shares.get(r, 0.0) for r in regions}
    moved = sum(gap for gap in gaps.values() if gap > 0)
    part = 1.0 if moved <= max_change else max_change / moved
    return {r: shares.get(r, 0.0) + part * gaps[r] for r in regions}
