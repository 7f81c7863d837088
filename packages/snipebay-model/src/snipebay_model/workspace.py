"""Workspaces: groups of callers with keys, a priority and a quota of requests."""

import collections
import hashlib
import math

import attrs

__all__ = ["Workspace", "key_digest", "validate_workspaces"]

DIGEST_BYTES = 16


def key_digest(key):
    """Return the digest by which a key is known outside of the operator's document.

    Args:
        key: The key as bytes.
    """
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


@attrs.frozen
class Workspace:
    """A group of callers, which identify themselves by one of its keys.

    Attributes:
        name: Name, unique in the plan; backend servers receive it with each request.
        key_digests: Digests of its keys, see :func:`key_digest`.
        priority: Rank of its requests, which goes before that of their route; 0 for
            the most urgent, None for that of the route.
        rate_per_s: Requests per second at all instances together, 0 for no limit.
        burst: Requests beyond that rate that may come at once.
        allowed_regions: Regions that may serve it, empty for all.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()

    @property
    def is_limited(self):
        """True if a quota bounds its requests."""
        return self.rate_per_s > 0


def validate_workspaces(workspaces):
    """Return the errors of the workspaces of a plan, each with its path."""
    names = collections.Counter(workspace.name for workspace in workspaces)
    errors = [
        f"workspaces.{name}: the name stands twice"
        for name, count in names.items()
        if count > 1
    ]
    owners = {}
    for workspace in workspaces:
        path = f"workspaces.{workspace.name}"
        for digest in dict.fromkeys(workspace.key_digests):
            owner = owners.setdefault(digest, workspace.name)
            if owner != workspace.name:
                errors.append(f"{path}.keys: shares a key with {owner!r}")
        for field in ("rate_per_s", "burst"):
            value = getattr(workspace, field)
            if not 0 <= value < math.inf:
                errors.append(f"{path}.{field}: {value!r} is below 0")
    return errors
