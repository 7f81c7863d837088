"""The traffic plan: routes by host and path, services and request limits."""

import math

import attrs

from snipebay_model.workspace import Workspace, validate_workspaces

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
    """Routing rule for the requests of one host and path prefix.

    Attributes:
        name: Name, unique in the plan.
        host: Value of the ``Host`` header, without a port.
        prefix: Path prefix, with a slash at both ends.
        idempotent: True when a request may run more than once.
        timeout_s: Maximum time in seconds from a request's arrival to its
            response; a caller may ask for less.
        target_latency_s: Target response time in seconds; a later response is of
            less value.
        priority: Rank, 0 for the most urgent.
        split: Pairs of service and weight.
        max_attempts: Maximum number of attempts of one request, retries included.
        session_affinity: True when requests with the same affinity key
            prefer the same backend server.
        allowed_regions: Regions that may serve the route, empty for all.
        is_upload: True when requests have large bodies.
        is_public: True when requests need no key of a workspace.
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
    is_upload: bool = False
    is_public: bool = False

    @property
    def kind(self):
        """``idempotent``, ``upload`` or ``unsafe``, for logs and metrics."""
        if self.is_upload:
            return "upload"
        return "idempotent" if self.idempotent else "unsafe"


@attrs.frozen
class RoutedService:
    """Settings common to the backend servers of one service.

    Attributes:
        name: Name, unique in the plan.
        health_path: Path of the health check.
        max_connections: Connections that one backend server accepts from all
            entry instances together.
        cold_start_s: Warm-up time of a new backend server in seconds.
        cold_per_s: Requests per second that a backend server accepts from all
            entry instances together while it warms up.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 256
    cold_start_s: float = 0.0
    cold_per_s: float = math.inf


@attrs.frozen
class RequestLimits:
    """Limits on the requests and connections of callers.

    Attributes:
        head_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of the body.
        head_timeout_s: Maximum time in seconds to receive the headers.
        idle_timeout_s: Seconds after which an idle connection is closed.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@attrs.frozen
class Plan:
    """One version of the traffic plan.

    Attributes:
        version: Version chosen by the operator, higher with each change.
        routes: Routes in the order of the document.
        services: Services in the order of the document.
        limits: Limits on requests.
        source: The document that the plan was parsed from, returned unchanged
            when it is read.
        workspaces: Workspaces in the order of the document. Without any, requests
            need no key.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: RequestLimits = RequestLimits()
    source: bytes = b""
    workspaces: tuple[Workspace, ...] = ()

    def without_source(self):
        """Return the plan without its document, which entry instances don't use."""
        return attrs.evolve(self, source=b"")

    def sharing_rows_of(self, old):
        """Return an equal plan whose rows are those of an older plan where equal.

        Args:
            old: The older :class:`Plan`, or None.
        """
        if old is None:
            return self
        return attrs.evolve(
            self,
            routes=_shared_rows(self.routes, old.routes),
            services=_shared_rows(self.services, old.services),
            workspaces=_shared_rows(self.workspaces, old.workspaces),
        )


def _shared_rows(rows, old_rows):
    """Return rows, replaced by equal old ones of the same name."""
    known = {row.name: row for row in old_rows}
    return tuple(known[row.name] if known.get(row.name) == row else row for row in rows)


@attrs.frozen
class PlanReading:
    """Result of reading the plan from a control instance.

    Attributes:
        plan: Newest plan, None before the first one.
        digests: Digests of the newest accepted changes, to recognize a repeated
            call.
    """

    plan: Plan | None
    digests: tuple[str, ...] = ()

    @property
    def version(self):
        """Version of the plan, 0 before the first one."""
        return self.plan.version if self.plan else 0


def validate_plan(plan):
    """Return the errors of a plan, an empty list for a valid one.

    An operator gets the texts in the response to a change.
    """
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
    errors += validate_workspaces(plan.workspaces)
    if plan.version < 1:
        errors.append(f"version: {plan.version!r} is not above 0")
    return errors


def _validate_route(route, known):
    """Return the errors of one route, each beginning with the field's name."""
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
