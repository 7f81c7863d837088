"""Rules that services inherit from branches of the settings tree."""

import attrs

from snipebay_model.schema import choice_field, flag_field, number_field

__all__ = ["PRIORITIES", "Rules"]

PRIORITIES = ("urgent", "normal", "bulk")


@attrs.frozen
class Rules:
    """Effective rules of one service."""

    deadline_ms = number_field(
        10, 600_000, 2_000, unit="ms", doc="Time a caller's request may take in all."
    )
    priority = choice_field(
        PRIORITIES, "normal", doc="Order in which waiting requests get slots."
    )
    idempotent = flag_field(
        True, doc="False when running a request twice does harm; needs a key."
    )
    retries = number_field(0, 5, 1, doc="Further attempts, each where it is safe.")
    retry_budget = number_field(
        0, 1, 0.1, whole=False, doc="Retries and hedges per request, on average."
    )
    hedge_after_ms = number_field(
        0, 600_000, 0, unit="ms", doc="Second attempt after this time, 0 for none."
    )
    headroom = number_field(
        0, 0.9, 0.1, whole=False, doc="Share of slots kept free of planned load."
    )
    shift_cap = number_field(
        0, 1, 0.3, whole=False, doc="Greatest share of a region sent to another."
    )
    ramp_per_s = number_field(
        0.001, 1, 0.05, whole=False, doc="Share by which a shift may grow each second."
    )
    slow_start_s = number_field(
        0, 3_600, 10, unit="s", whole=False, doc="Time a new backend server warms up."
    )
    eject_failures = number_field(
        1, 100, 5, doc="Failures in a row that eject a backend server."
    )
    eject_ceiling = number_field(
        0, 1, 0.5, whole=False, doc="Greatest share of backend servers ejected."
    )
    eject_s = number_field(
        0.1, 3_600, 5, unit="s", whole=False, doc="Time of an ejection."
    )
    queue_limit = number_field(
        0, 100_000, 200, doc="Requests that may wait at an instance."
    )
    body_limit_bytes = number_field(
        0, 1 << 30, 1 << 20, unit="bytes", doc="Greatest body of a request."
    )
    answer_bytes = number_field(
        1, 1 << 30, 4_096, unit="bytes", doc="Usual answer, for link limits."
    )
    retention_s = number_field(
        1, 31_536_000, 86_400, unit="s", doc="Time an idempotency key is remembered."
    )
    backend_lease_s = number_field(
        1, 600, 3, unit="s", whole=False, doc="Lease of an announcement."
    )
