"""The traffic plan: routes by host and path, their services and request limits."""

import math

import attrs

__all__ = [
    "Plan",
    "PlanReading",
    "RequestLimits",
    "Route",
    "RoutedService",
    "validate_plan",
]


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and how.

    Attributes:
        name: Name, unique in the plan.
        host: Value of the ``Host`` header, without a port.
        prefix: Path prefix, with a slash at both ends.
        idempotent: True when a request may run more than once.
        timeout_s: Longest time that a request may be kept waiting.
        target_latency_s: Time within which an answer has its full worth.
        priority: Rank, 0 for the most urgent.
        split: Pairs of service and weight.
        max_attempts: Most backend servers that one request may be sent to.
        session_affinity: True when requests for one object belong together.
        allowed_regions: Regions that may serve it, empty for all.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    split: tuple[tuple[str, float], ...]
    max_attempts: int = 1
    session_affinity: bool = False
    allowed_regions: tuple[str, ...] = ()

    @property
    def kind(self):
        """``idempotent`` or ``unsafe``, for logs and metrics."""
        return "idempotent" if self.idempotent else "unsafe"


@attrs.frozen
class RoutedService:
    """What the backend servers of one service share.

    Attributes:
        name: Name, unique in the plan.
        health_path: Path of the health endpoint.
        max_connections: Connections that one backend server takes in all.
        cold_start_s: Time for which a new backend server is cold.
        cold_per_s: Requests per second that a cold backend server tolerates.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 256
    cold_start_s: float = 0.0
    cold_per_s: float = math.inf


@attrs.frozen
class RequestLimits:
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@attrs.frozen
class Plan:
    """One version of the traffic plan.

    Attributes:
        version: Version chosen by the operator, growing with each change.
        routes: Routes in the order in which they were given.
        services: Services in the order in which they were given.
        limits: Limits on requests.
        source: The document that it was made from, to be read back unchanged.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: RequestLimits = RequestLimits()
    source: bytes = b""

    def without_source(self):
        """Return the plan as entry instances need it."""
        return attrs.evolve(self, source=b"")


@attrs.frozen
class PlanReading:
    """The plan as read from control.

    Attributes:
        plan: Newest plan, None before the first one.
        digests: Digests of the newest accepted changes, to know a resend by.
    """

    plan: Plan | None
    digests: tuple[str, ...] = ()


def validate_plan(plan):
    """Return what makes a plan invalid, one line for each finding."""
    known = [service.name for service in plan.services]
    errors = [
        f"services.{name}: the name stands twice"
        for name in sorted({name for name in known if known.count(name) > 1})
    ]
    names, host_prefixes = set(), set()
    for route in plan.routes:
        path = f"routes.{route.name}"
        if route.name in names:
            errors.append(f"{path}: the name stands twice")
        if (route.host, route.prefix) in host_prefixes:
            errors.append(f"{path}: {route.host}{route.prefix} stands twice")
        names.add(route.name)
        host_prefixes.add((route.host, route.prefix))
        errors += [f"{path}.{error}" for error in _validate_route(route, set(known))]
    if plan.version < 1:
        errors.append(f"version: {plan.version!r} is not above 0")
    return errors


def _validate_route(route, known):
    """Return what is wrong with one route."""
    errors = []
    if not route.host:
        errors.append("host: missing")
    if not route.prefix.startswith("/"):
        errors.append(f"prefix: {route.prefix!r} does not begin with a slash")
    if not 0 < route.timeout_s < math.inf:
        errors.append(f"timeout_s: {route.timeout_s!r} is not above 0")
    if route.max_attempts < 1:
        errors.append(f"max_attempts: {route.max_attempts!r} is below 1")
    if not route.split:
        errors.append("split: no service")
    errors += [
        f"split: unknown service {service!r}"
        for service, _ in route.split
        if service not in known
    ]
    weights = [weight for _, weight in route.split]
    if any(not 0 <= weight < math.inf for weight in weights):
        errors.append(f"split: a weight of {weights!r} is below 0")
    elif weights and not sum(weights):
        errors.append("split: all weights are 0")
    return errors
