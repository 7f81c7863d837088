"""Matches requests to routes and splits the requests of a route over services."""

import attrs

__all__ = ["RouteTable", "Split"]


@attrs.define
class Split:
    """Weighted round robin that keeps the weights over any run of requests.

    Source: smooth weighted round robin, as in nginx.
    """

    weights: tuple
    _credits: list = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._credits = [0.0] * len(self.weights)

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
    """

    def __init__(self, plan, previous=None):
        self.plan = plan
        self.services = {service.name: service for service in plan.services}
        self._hosts = {}
        self._splits = {}
        for route in sorted(plan.routes, key=lambda r: -len(r.prefix)):
            self._hosts.setdefault(route.host.lower(), []).append(route)
            split = previous._splits.get(route.name) if previous else None
            is_unchanged = split is not None and split.weights == route.split
            self._splits[route.name] = split if is_unchanged else Split(route.split)

    def find(self, host, path):
        """Return the route with the longest matching path prefix, or None."""
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        return next(
            (r for r in self._hosts.get(name, ()) if path.startswith(r.prefix)), None
        )

    def next_service(self, route):
        """Return the service for the next request of a route."""
        return self._splits[route.name].next()
