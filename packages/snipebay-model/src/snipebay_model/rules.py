"""Rules of services, inherited from the branches of the settings tree."""

import attrs

from snipebay_model.schema import choice_field, flag_field, number_field

__all__ = ["PRIORITIES", "Rules"]

PRIORITIES = ("urgent", "normal", "bulk")


@attrs.frozen
class Rules:
    """The rules in force for one service, with inherited values and defaults."""

    deadline_ms = number_field(
        10,
        600_000,
        2_000,
        unit="ms",
        doc="Maximum time of a request, retries included.",
    )
    priority = choice_field(
        PRIORITIES, "normal", doc="Priority of waiting requests when slots become free."
    )
    idempotent = flag_field(
        True, doc="False if requests must not run twice; they need an idempotency key."
    )
    retries = number_field(
        0, 5, 1, doc="Maximum number of retries; only safe ones are made."
    )
    retry_budget = number_field(
        0,
        1,
        0.1,
        whole=False,
        doc="Maximum retries and hedges per request, on average.",
    )
    hedge_after_ms = number_field(
        0, 600_000, 0, unit="ms", doc="Delay before a hedge, 0 for no hedges."
    )
    headroom = number_field(
        0,
        0.9,
        0.1,
        whole=False,
        doc="Share of slots kept free when lending to other regions.",
    )
    shift_cap = number_field(
        0,
        1,
        0.3,
        whole=False,
        doc="Maximum share of a region's requests sent to other regions.",
    )
    ramp_per_s = number_field(
        0.001,
        1,
        0.05,
        whole=False,
        doc="Maximum change of a shift's share per second.",
    )
    slow_start_s = number_field(
        0, 3_600, 10, unit="s", whole=False, doc="Warm-up time of a new backend server."
    )
    eject_failures = number_field(
        1, 100, 5, doc="Consecutive failures that eject a backend server."
    )
    eject_ceiling = number_field(
        0,
        1,
        0.5,
        whole=False,
        doc="Maximum share of a service's backend servers ejected.",
    )
    eject_s = number_field(
        0.1, 3_600, 5, unit="s", whole=False, doc="Duration of an ejection."
    )
    queue_limit = number_field(
        0, 100_000, 200, doc="Maximum number of requests waiting at an instance."
    )
    body_limit_bytes = number_field(
        0, 1 << 30, 1 << 20, unit="bytes", doc="Maximum size of a request body."
    )
    answer_bytes = number_field(
        1,
        1 << 30,
        4_096,
        unit="bytes",
        doc="Typical response size, charged to link limits.",
    )
    retention_s = number_field(
        1,
        31_536_000,
        86_400,
        unit="s",
        doc="Time for which an idempotency key is stored.",
    )
    backend_lease_s = number_field(
        1,
        600,
        3,
        unit="s",
        whole=False,
        doc="Lease of a backend server, renewed by announcements.",
    )
