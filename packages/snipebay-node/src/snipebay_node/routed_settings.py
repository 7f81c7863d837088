"""Settings of a node that forwards by routes."""

import attrs
from snipebay_control.credit_board import QuotaRules
from snipebay_policy.routed import RoutedConfig

from snipebay_node.header_names import HeaderNames

__all__ = ["DEFAULT_MAX_FDS", "DEFAULT_MEMORY_MB", "RoutedSettings"]

# Limits of the smallest machines whose settings say nothing of them.
DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS = 200, 4_096


@attrs.frozen
class RoutedSettings:
    """Validated settings of one instance.

    Attributes:
        name: Display name.
        region: Region of the instance.
        domain: Failure domain of the instance.
        internal: ``host:port`` to listen on for other instances; also the id of this
            instance.
        seeds: Internal addresses of the control instances to contact first.
        callers: ``host:port`` to listen on for callers, or empty if the instance has
            no entry role.
        data: Data folder, or empty if the instance has no control role.
        may_bootstrap: True if the seeds may bootstrap a new control group, when the
            system starts for the first time.
        stop_timeout_s: Maximum duration of a graceful shutdown.
        entry_lease_s: Lease duration of an entry instance.
        backend_lease_s: Lease duration of a backend server, which announcements renew.
        quota: How strictly the control group keeps the limits of workspaces.
        routed: Function from the row of this instance to the settings of the routed
            core.
        header_names: Header names of callers and backend servers.
        memory_mb: Memory that the process may take, from which the room for bodies
            is derived.
        max_fds: Number of descriptors that the process may have.
    """

    name: str
    region: str
    domain: str
    internal: str
    seeds: tuple
    callers: str = ""
    data: str = ""
    may_bootstrap: bool = False
    stop_timeout_s: float = 30.0
    entry_lease_s: float = 3.0
    backend_lease_s: float = 6.0
    quota: QuotaRules = QuotaRules()
    routed: object = RoutedConfig
    header_names: HeaderNames = HeaderNames()
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
