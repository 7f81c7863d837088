"""Matches requests to routes and splits the requests of a route over services."""

import hashlib
import math
import statistics

import attrs

__all__ = ["RouteTable", "Split"]

# Positions in the sequence of a split from which instances start.
START_POSITIONS = 101


@attrs.define
class Split:
    """Weighted round robin that keeps the weights over any run of requests.

    Instances start at different positions of the sequence: the load pattern is a
    change of weights at hundreds of instances, of which each has only a few requests in
    the seconds after it.

    Source: smooth weighted round robin, as in nginx.

    Attributes:
        weights: Pairs of name and weight.
        owner: Name of this instance, which sets the position to start from.
    """

    weights: tuple
    owner: str = ""
    _credits: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._credits = [0.0] * len(self.weights)
        if self.owner:
            names = "/".join((self.owner, *(name for name, _ in self.weights)))
            digest = hashlib.blake2b(names.encode(), digest_size=8).digest()
            for _ in range(int.from_bytes(digest) % START_POSITIONS):
                self.next()

    def next(self):
        """Return the next name, or None when the weights sum to zero."""
        total = sum(weight for _, weight in self.weights)
        if total <= 0:
            return None
        for i, (_, weight) in enumerate(self.weights):
            self._credits[i] += weight
        best = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[best] -= total
        return self.weights[best][0]


class RouteTable:
    """Routes of one plan by host and path prefix.

    Args:
        plan: Plan in force.
        previous: Table of the previous plan. A split whose weights are unchanged
            continues from its position there.
        owner: Name of this instance, see :class:`Split`.
    """

    def __init__(self, plan, previous=None, owner=""):
        self.plan = plan
        self.services = {service.name: service for service in plan.services}
        self._hosts = {}
        self._splits = {}
        for route in sorted(plan.routes, key=lambda r: -len(r.prefix)):
            self._hosts.setdefault(route.host.lower(), []).append(route)
            split = previous._splits.get(route.name) if previous else None
            is_unchanged = split is not None and split.weights == route.split
            self._splits[route.name] = (
                split if is_unchanged else Split(route.split, owner)
            )
        self._targets_s = _targets_s(plan.routes)

    def find(self, host, path):
        """Return the route with the longest matching path prefix, or None."""
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        return next(
            (r for r in self._hosts.get(name, ()) if path.startswith(r.prefix)), None
        )

    def target_s(self, service):
        """Return the median target latency of the routes to a service."""
        return self._targets_s.get(service, math.inf)

    def next_service(self, route):
        """Return the service for the next request of a route."""
        return self._splits[route.name].next()


def _targets_s(routes):
    """Return the median target latency of the routes to each service."""
    targets = {}
    for route in routes:
        for service, weight in route.split:
            if weight > 0:
                targets.setdefault(service, []).append(route.target_latency_s)
    return {service: statistics.median(found) for service, found in targets.items()}
