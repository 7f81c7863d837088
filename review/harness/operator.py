"""Stand-in of the operator, and the configuration that it sends."""

import asyncio

from harness.http_calls import call

__all__ = ["HOST", "Operator", "config"]

HOST = "jepu9.example"


class Operator:
    """Sends orders to the machines that serve ``control_plane``.

    Args:
        record: :class:`Record` of the run.
        controls: Addresses, in the order in which they are tried.
    """

    def __init__(self, record, controls):
        self.record = record
        self.controls = list(controls)

    async def order(self, method, path, document=None, within_s=4.0, first=None):
        """Send an order until it is acknowledged; return the time of the 2xx.

        It goes on to another machine after a failure, a 5xx or a second without a
        response, as the platform's callers do.

        Args:
            method: HTTP method.
            path: Path.
            document: Body, or None.
            within_s: Time for which it is sent again.
            first: Address to try first.

        Raises:
            TimeoutError: If there is no acknowledgement in time.
        """
        addresses = [a for a in (first, *self.controls) if a]
        addresses = list(dict.fromkeys(addresses))
        start_s, number = self.record.now_s(), 0
        while self.record.now_s() < start_s + within_s:
            address = addresses[number % len(addresses)]
            self.record.line(f"operator sends {method} {path} to {address}")
            answer = await call(address, method, path, document)
            status = answer.status if answer else "no answer"
            at_s = self.record.line(f"operator gets {status} for {method} {path}")
            if answer is not None and 200 <= answer.status < 300:
                return at_s
            if answer is not None and 400 <= answer.status < 500:
                raise ValueError(f"{method} {path} is refused: {answer.body!r}")
            number += 1
            await asyncio.sleep(min(0.1 * number, 0.5))
        raise TimeoutError(f"{method} {path} is not acknowledged")


def config(routes, services, version="r1", base="r0"):
    """Return a configuration.

    Args:
        routes: Rows of name, prefix, route type, service, timeout and attempts.
        services: Names of the services.
        version: Its version.
        base: The version that it is built on.
    """
    resources = []
    for name, prefix, route_type, service, timeout_s, attempts in routes:
        spec = {
            "host": HOST,
            "path_prefix": prefix,
            "route_type": route_type,
            "timeout_s": timeout_s,
            "target_latency_s": 0.5,
            "priority": 1,
            "service": service,
            "max_attempts": attempts,
            "session_affinity": False,
            "allowed_regions": [],
        }
        resources.append(
            {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}
        )
    for name in services:
        spec = {
            "health_check_path": "/health",
            "max_connections": 390,
            "protocol": "h1",
            "tls": False,
            "cold_start_s": 3.0,
            "cold_per_s": 5.6,
        }
        resources.append(
            {"resource_type": "services", "metadata": {"name": name}, "spec": spec}
        )
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout_s": 3,
        "idle_timeout_s": 15,
    }
    resources.append({"resource_type": "limits", "metadata": {}, "spec": limits})
    return {"version": version, "base_version": base, "resources": resources}
