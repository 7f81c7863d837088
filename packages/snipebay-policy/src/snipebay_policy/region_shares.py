"""Splits the requests of a service over regions by capacity and demand.

The load pattern: a region has a tenth of the backend servers and a third of the
callers. Affinity gives some servers of a region about twice the mean load, so they
queue long before the region as a whole is full, and its caches hold fewer keys than its
callers use. Requests leave such a region before its queues are long, the sooner the
less the way to another region counts against their target latency.
"""

import attrs

from snipebay_policy.routes import Split

__all__ = ["RegionShares", "kept_utilization", "target_shares"]


# Utilization of its slots up to which a region keeps all of its requests, however far
# the others are: its busiest backend servers have about twice as much.
MIN_KEPT_UTILIZATION = 0.3
# The same for requests to which the way to another region costs most of their target.
MAX_KEPT_UTILIZATION = 0.6
# Round trip between regions, for comparison with target latencies.
REGION_ROUND_TRIP_S = 0.07
# A lower local demand, in slots, is too small to be meaningful; all regions are then
# assumed to have the same demand.
MIN_DEMAND = 0.5


def kept_utilization(target_s):
    """Return the utilization of its slots up to which a region keeps its requests.

    Args:
        target_s: Target latency of the service's requests.
    """
    lost_share = REGION_ROUND_TRIP_S / max(target_s, REGION_ROUND_TRIP_S)
    return min(MAX_KEPT_UTILIZATION, MIN_KEPT_UTILIZATION + lost_share)


def target_shares(local_region, capacity, demand, kept=MAX_KEPT_UTILIZATION):
    """Return the share of the local requests that each region should handle.

    A region keeps the requests that fit into its slots up to a target
    utilization, and sends the rest to regions below it. When the total demand
    exceeds that level, all regions end up with the same utilization.

    Args:
        local_region: Region where the requests arrive.
        capacity: Slots by region, without regions that have none.
        demand: Slots needed by the requests that arrive in each region.
        kept: Utilization up to which a region keeps its requests.
    """
    if not capacity:
        return {}
    slots = sum(capacity.values())
    if demand.get(local_region, 0.0) < MIN_DEMAND:
        regions = {*capacity, local_region}
        demand = dict.fromkeys(regions, kept * slots / len(regions))
    local_demand, load = demand[local_region], sum(demand.values())
    level = max(kept, load / slots)
    kept_share = min(1.0, level * capacity.get(local_region, 0) / local_demand)
    surplus = {
        region: max(0.0, level * count - demand.get(region, 0.0))
        for region, count in capacity.items()
        if region != local_region
    }
    if kept_share >= 1.0 or not sum(surplus.values()):
        return (
            {local_region: 1.0} if local_region in capacity else _normalized(capacity)
        )
    sent_share = 1.0 - kept_share
    shares = {r: sent_share * part for r, part in _normalized(surplus).items()}
    return {**shares, local_region: kept_share} if kept_share else shares


@attrs.define
class RegionShares:
    """Current shares by region, which approach their targets at a bounded rate.

    Attributes:
        local_region: Region of this instance.
        max_change_per_s: Largest share of requests that changes region per second.
        owner: Name of this instance, see :class:`Split`.
        shares: Share by region.
        capacity: Slots by region at the last update.
    """

    local_region: str
    max_change_per_s: float
    owner: str = ""
    shares: dict = attrs.Factory(dict)
    capacity: dict = attrs.Factory(dict)
    _updated_s: float | None = None
    _splits: dict = attrs.Factory(dict)

    def update(self, capacity, demand, now_s, kept=MAX_KEPT_UTILIZATION):
        """Move the shares towards the targets for a capacity and demand."""
        self.capacity = capacity
        target = target_shares(self.local_region, capacity, demand, kept)
        # Regions without capacity lose their share at once, without the rate limit.
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
        """Return the region for the affinity key at a position, or None.

        Args:
            position: Position of the key in the order of all keys, from 0 to 1.
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
        """Return the regions that may handle requests, sorted by name."""
        known = [r for r in self.shares if not allowed or r in allowed]
        return sorted(known or (region for region, _ in self._weights(allowed)))

    def _weights(self, allowed):
        """Return pairs of region and weight.

        When no allowed region has a share, because the local region keeps all
        requests that may run there, the allowed regions are weighted by slots.
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
        """Return the region for the next request, or None when there is none.

        Args:
            allowed: Regions to choose from, empty for all.
        """
        weights = tuple(sorted(self._weights(allowed)))
        names = tuple(region for region, _ in weights)
        split = self._splits.get(names)
        if split is None:
            split = self._splits[names] = Split(weights, self.owner)
        split.weights = weights
        return split.next()


def _normalized(parts):
    total = sum(parts.values())
    return {name: part / total for name, part in parts.items() if part > 0}


def _step(shares, target, max_change):
    """Return shares moved towards the target by at most `max_change` in total."""
    regions = sorted({*shares, *target})
    gaps = {r: target.get(r, 0.0) - shares.get(r, 0.0) for r in regions}
    moved = sum(gap for gap in gaps.values() if gap > 0)
    part = 1.0 if moved <= max_change else max_change / moved
    return {r: shares.get(r, 0.0) + part * gaps[r] for r in regions}
