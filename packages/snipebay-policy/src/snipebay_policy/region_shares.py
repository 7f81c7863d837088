"""Shares of a service's requests by region, in proportion to room and demand."""

import attrs

from snipebay_policy.routes import Split

__all__ = ["RegionShares", "wanted_shares"]


# Use of its slots up to which a region keeps its requests to itself.
KEEP_USE = 0.6
# Slots below which a region's own demand tells nothing; all regions are then
# taken to have the same.
LEAST_DEMAND = 0.5


def wanted_shares(home, capacity, demand):
    """Return the share that each region should take of the requests at home.

    A region keeps what fits into its slots up to a level of use and gives the
    rest to those below that level. Beyond it, all come to the same use.

    Args:
        home: Region where the requests arrive.
        capacity: Slots by region, only regions that have any.
        demand: Slots that the requests of each region need.
    """
    if not capacity:
        return {}
    slots = sum(capacity.values())
    if demand.get(home, 0.0) < LEAST_DEMAND:
        regions = {*capacity, home}
        demand = dict.fromkeys(regions, KEEP_USE * slots / len(regions))
    own, load = demand[home], sum(demand.values())
    level = max(KEEP_USE, load / slots)
    kept = min(1.0, level * capacity.get(home, 0) / own)
    surplus = {
        region: max(0.0, level * count - demand.get(region, 0.0))
        for region, count in capacity.items()
        if region != home
    }
    if kept >= 1.0 or not sum(surplus.values()):
        return {home: 1.0} if home in capacity else _normal(capacity)
    shares = {r: (1.0 - kept) * part for r, part in _normal(surplus).items()}
    return {**shares, home: kept} if kept else shares


@attrs.define
class RegionShares:
    """Shares in force, which follow the wanted ones at a bounded speed.

    Attributes:
        home: Our region.
        per_s: Greatest part of the requests that changes region in a second.
        shares: Share by region.
        capacity: Slots by region, as they were last given.
    """

    home: str
    per_s: float
    shares: dict = attrs.Factory(dict)
    capacity: dict = attrs.Factory(dict)
    _at_s: float | None = None
    _splits: dict = attrs.Factory(dict)

    def move(self, capacity, demand, now_s):
        """Bring the shares forward to a time."""
        self.capacity = capacity
        wanted = wanted_shares(self.home, capacity, demand)
        # A region without room is left at once, whatever the speed.
        kept = {r: share for r, share in self.shares.items() if r in capacity}
        elapsed_s = now_s - self._at_s if self._at_s is not None else 0.0
        self._at_s = now_s
        if not sum(kept.values()):
            self.shares = wanted
        else:
            self.shares = _step(_normal(kept), wanted, self.per_s * elapsed_s)

    def region_at(self, position, allowed=()):
        """Return the region that takes an object at a position, or None.

        Args:
            position: Place of the object in the order of all, from 0 to 1.
            allowed: Regions to choose from, empty for all.
        """
        rows = sorted(
            self._weights(allowed), key=lambda row: (row[0] != self.home, row[0])
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

        Where none of the allowed regions has a share, since the own region
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

    def next(self, allowed=()):
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


def _normal(parts):
    total = sum(parts.values())
    return {name: part / total for name, part in parts.items() if part > 0}


def _step(shares, wanted, most):
    """Return shares moved towards the wanted ones by at most one amount."""
    regions = sorted({*shares, *wanted})
    gaps = {r: wanted.get(r, 0.0) - shares.get(r, 0.0) for r in regions}
    moved = sum(gap for gap in gaps.values() if gap > 0)
    part = 1.0 if moved <= most else most / moved
    return {r: shares.get(r, 0.0) + part * gaps[r] for r in regions}
