"""Inputs of routing decisions for the log, and the problems that callers receive."""

from snipebay_policy.work import NOT_RUN, UNKNOWN, Problem

__all__ = [
    "deadline_reason",
    "dispatch_reason",
    "problem_for",
    "refusal_reason",
    "unstated_refusal_detail",
]


def dispatch_reason(row, choice, revision, now_s, limit=None):
    """Return the log fields that explain why a request goes to a backend server.

    The field ``place`` holds the affinity tier of the backend server for the key
    in ``object``.

    Args:
        row: The request.
        choice: Backend server chosen, and its affinity tier.
        revision: Revision of the view.
        now_s: Time.
        limit: :class:`RateLimit` of the backend server, or None.
    """
    member = choice.member
    pace = round(member.pace_at(now_s), 2)
    return {
        **_request_fields(row, revision),
        "target_s": row.route.target_latency_s,
        "backend": member.row.backend_id,
        "domain": member.row.domain,
        "load": round(member.load(now_s), 1),
        "slots": member.row.slots,
        "place": choice.tier,
        "attempt": row.attempt_count,
        "waited_s": round(now_s - row.arrived_s, 3),
        **({"pace": pace} if pace != 1.0 else {}),
        **({"rate_limit": round(limit.rate_per_s(now_s), 3)} if limit else {}),
    }


def refusal_reason(row, slots_by_region, revision, limits=()):
    """Return the log fields that explain why a request ends without having been sent.

    Args:
        row: The request.
        slots_by_region: Slots of the usable backend servers by region.
        revision: Revision of the view.
        limits: Rate limits of backend servers of the service.
    """
    slots = {region: round(count, 1) for region, count in slots_by_region.items()}
    fields = {**_request_fields(row, revision), "slots_by_region": slots}
    if limits:
        fields["rate_limited"] = len(limits)
        fields["rate_limit"] = round(sum(limit.per_s for limit in limits), 3)
    return fields


def deadline_reason(row, ends_s):
    """Return why a request ended at its deadline: the reason for logs, and a detail.

    Args:
        row: The request.
        ends_s: When all requests end because the instance stops.
    """
    if row.deadline_s >= ends_s:
        return "stopping", "this instance stops"
    return "deadline", "the deadline has passed"


def unstated_refusal_detail(status):
    """Return the detail for a refusal that may come after the request has run."""
    return f"the backend server answered {status} and doesn't say that it has not run"


def problem_for(row, status, reason, detail, retry_after_s, inputs):
    """Return the :class:`Problem` that the caller of a failed request receives."""
    outcome = UNKNOWN if row.may_have_run else NOT_RUN
    return Problem(
        row.request_id, status, outcome, detail, retry_after_s, reason, inputs
    )


def _request_fields(row, revision):
    return {
        "route": row.route.name,
        "kind": row.route.kind,
        "service": row.service,
        "region_share": row.region,
        "object": row.key,
        **({"workspace": row.workspace.name} if row.workspace is not None else {}),
        "revision": revision,
    }
