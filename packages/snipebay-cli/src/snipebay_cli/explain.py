"""Explains the outcome of a request from the logs of several processes."""

import json

import attrs

__all__ = ["Explanation", "explain_request"]


@attrs.frozen
class Explanation:
    """What the logs record about a request.

    Attributes:
        request: Id of the request.
        cause: One sentence on how the request ended and why.
        lines: Decoded log lines of the request, in order.
        skipped: Number of lines whose JSON object could not be decoded.
    """

    request: str
    cause: str
    lines: tuple
    skipped: int


def explain_request(request, lines):
    """Return the :class:`Explanation` of a request.

    Clocks may differ between processes, so lines are not sorted by time: they keep
    the order of the input, and the end of the request comes last.

    Args:
        request: Id of the request.
        lines: Lines of text, each with a JSON object after an optional prefix.

    Raises:
        LookupError: If no line has the id of the request.
    """
    found, skipped = [], 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            row = json.loads(line[start:])
        except ValueError:
            skipped += 1
            continue
        if isinstance(row, dict) and row.get("request") == request:
            found.append(row)
    if not found:
        raise LookupError(
            f"no log line of request {request!r}; {skipped} lines could not be decoded"
        )
    found.sort(key=lambda row: row.get("event") == "request ended")
    return Explanation(request, _cause(found), tuple(found), skipped)


def _cause(rows):
    """Return one sentence on how a request ended."""
    end = rows[-1]
    if end.get("event") != "request ended":
        return f"it was last seen when an attempt failed: {end.get('reason')}"
    instance = f"instance {end.get('instance')}"
    duration = f"after {end.get('elapsed_s')} s"
    place = "entry instance" if end.get("hop") else "backend server"
    backend = f"{place} {end.get('backend')} in {end.get('domain')}"
    failed_attempts = [row for row in rows if row.get("event") == "attempt failed"]
    failures = "".join(
        f"; attempt at {row.get('backend')} failed: {row.get('reason')}"
        for row in failed_attempts
    )
    status, outcome = end.get("status"), end.get("outcome")
    if outcome == "answered":
        return f"{instance} relayed status {status} of {backend} {duration}{failures}"
    if "backend" not in end:
        capacity = _capacity(end)
        return (
            f"{instance} refused it with {status} {duration}, "
            f"unsent: {outcome}{capacity}"
        )
    load = f"load {end.get('load')} of {end.get('slots')} slots when it was sent"
    if "rate_limit" in end:
        load += f", rate limit {end['rate_limit']} a second over all instances"
    if not status:
        return (
            f"{instance} ended it without an answer {duration}: {outcome}; "
            f"{backend}, {load}"
        )
    return (
        f"{instance} gave {status} {duration}: {outcome}; "
        f"sent to {backend}, {load}{failures}"
    )


def _capacity(end):
    """Describe the slots known when a request was refused without being sent."""
    service, slots = end.get("service"), end.get("slots_by_region")
    if not service:
        return ""
    if not slots:
        return f"; no backend server of {service} was in view"
    counts = ", ".join(f"{count:g} in {region}" for region, count in slots.items())
    limits = ""
    if "rate_limited" in end:
        limits = (
            f"; {end['rate_limited']} of its backend servers named rate limits, "
            f"{end.get('rate_limit')} a second together"
        )
    region = end.get("region_share")
    return f"; {service} had slots: {counts}; wanted region {region}{limits}"
