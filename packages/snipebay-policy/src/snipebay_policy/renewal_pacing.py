"""Decides when an entry instance renews its lease.

The load pattern: one leader answers the renewals of all instances, and hundreds of them
renew at once when they start. The interval grows with the number of instances, and an
instance that has been answered waits for the plan without asking again.
"""

__all__ = ["renewal_interval_s"]

# Interval for each instance: 200 renewals a second at the leader.
INTERVAL_PER_INSTANCE_S = 0.005
# A lease is renewed at least this often within its duration, so that it outlasts two
# lost renewals.
RENEWALS_PER_LEASE = 3.3


def renewal_interval_s(min_s, lease_s, instances):
    """Return the interval between two renewals.

    Args:
        min_s: Shortest interval.
        lease_s: Duration of the lease; 0 while unknown.
        instances: Number of entry instances in the view.
    """
    longest_s = max(min_s, lease_s / RENEWALS_PER_LEASE)
    return min(longest_s, max(min_s, instances * INTERVAL_PER_INSTANCE_S))
