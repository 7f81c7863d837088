"""Expected time of a request at a backend server, and the load up to which it is used.

The load pattern: backend servers share machines with others, so the time that work
takes on one of them changes several times a second by a factor of two and more.
"""

import math

from snipebay_policy.service_times import OTHER, PRIMARY

__all__ = [
    "IN_TIME_SHARE",
    "MIN_SERVICE_S",
    "decayed_pace",
    "expected_cost_s",
    "max_load",
]

# Time constant with which a reported pace returns to the usual one. Servers change
# their pace every few hundred milliseconds, and a slow one must be tried again.
PACE_DECAY_S = 0.5
# A slow primary backend server whose expected time is within this share of the target
# is used as if it were at its usual pace: the response is in time, while any other one
# would have to load the key's data first.
IN_TIME_SHARE = 0.8
# Cost of using another failure domain, in seconds of latency: a small part for the
# network delay, the rest for bytes between failure domains, which are billed.
CROSS_DOMAIN_COST_S = 0.05
# Requests that may wait at a backend server, as a share of its slots.
MAX_QUEUE_SHARE = 1.0
# Requests that may always wait, so that no slot is idle for a round trip.
MIN_QUEUE = 1.0
MIN_SERVICE_S = 0.001
# Utilization up to which a backend server gets requests for keys whose data it has not
# cached. They take several times as long, so at a higher utilization they would cost
# more throughput than they add.
OTHER_LOAD_SHARE = 0.25
# The same for the secondary backend servers of a key.
SECONDARY_LOAD_SHARE = 0.75
# Cost of a full backend server over an idle one, in seconds of latency, so that load
# spreads evenly over otherwise equal ones.
FULL_LOAD_COST_S = 0.02


def decayed_pace(pace, age_s):
    """Return the expected pace at some time after a report.

    Args:
        pace: How long work took at the report, as a multiple of the usual time.
        age_s: Seconds since the report.
    """
    return 1.0 + (pace - 1.0) * math.exp(-max(0.0, age_s) / PACE_DECAY_S)


def expected_cost_s(row, load, expected_s, mean_s, domain):
    """Return the cost of one more request at a backend server, in seconds of latency.

    Args:
        row: Its :class:`BackendRow`.
        load: Estimated requests there.
        expected_s: Expected service time of the request there.
        mean_s: Mean service time there.
        domain: Failure domain of this instance.
    """
    queued = max(0.0, load + 1 - row.slots)
    cost = expected_s + queued / row.slots * mean_s
    cost += load / row.slots * FULL_LOAD_COST_S
    return cost + (CROSS_DOMAIN_COST_S if row.domain != domain else 0.0)


def max_load(slots, tier, queue_s, mean_s):
    """Return the load below which a backend server may get one more request.

    A request that would wait there for longer than the target latency allows gets
    a late response, and takes a slot from a request that could still be on time.

    Args:
        slots: Slots of the backend server.
        tier: Its affinity tier for the request's key.
        queue_s: Time that a request to a primary backend server may wait there.
        mean_s: Mean service time there.
    """
    if tier != PRIMARY:
        return slots * (OTHER_LOAD_SHARE if tier == OTHER else SECONDARY_LOAD_SHARE)
    queue = slots * queue_s / max(mean_s, MIN_SERVICE_S)
    return slots + min(max(queue, MIN_QUEUE), slots * MAX_QUEUE_SHARE)
