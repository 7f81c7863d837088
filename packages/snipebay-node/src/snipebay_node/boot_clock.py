"""Clock of leases, which goes on while the machine is suspended."""

import time

__all__ = ["boot_time_s"]


def boot_time_s():
    """Return the time since the machine started, its suspensions included.

    ``time.monotonic`` stands still during a suspension, so that a lease would outlast
    it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
