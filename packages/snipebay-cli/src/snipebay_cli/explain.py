"""Explains what became of a request from the logs of many processes."""

import json

import attrs

__all__ = ["Explanation", "explain_request"]


@attrs.frozen
class Explanation:
    """What the logs say of one request.

    Attributes:
        request: Its id.
        cause: One sentence on how it ended and why.
        lines: Log lines that name it, in order.
        skipped: Lines that could not be read.
    """

    request: str
    cause: str
    lines: tuple
    skipped: int


def explain_request(request, lines):
    """Return the :class:`Explanation` of a request.

    The time of day may differ between processes, so lines of one process keep
    their order, and an attempt stands in front of the end of its request.

    Args:
        request: Id of the request.
        lines: Lines of text, each with a JSON object, maybe behind a prefix.

    Raises:
        LookupError: If no line names the request.
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
        raise LookupError(f"no line names request {request!r}, {skipped} unreadable")
    found.sort(key=lambda row: row.get("event") == "request ended")
    return Explanation(request, _cause(found), tuple(found), skipped)


def _cause(rows):
    """Return one sentence on how a request ended."""
    end = rows[-1]
    if end.get("event") != "request ended":
        return f"it was last seen when an attempt failed: {end.get('reason')}"
    where = f"instance {end.get('instance')}"
    after = f"after {end.get('elapsed_s')} s"
    sent = f"backend server {end.get('backend')} in {end.get('domain')}"
    tries = [row for row in rows if row.get("event") == "attempt failed"]
    failed = "".join(
        f"; attempt at {row.get('backend')} failed: {row.get('reason')}"
        for row in tries
    )
    status, outcome = end.get("status"), end.get("outcome")
    if outcome == "answered":
        return f"{where} relayed status {status} of {sent} {after}{failed}"
    if "backend" not in end:
        room = _room(end)
        return f"{where} refused it with {status} {after}, unsent: {outcome}{room}"
    load = f"load {end.get('load')} of {end.get('slots')} slots when it was sent"
    if not status:
        return f"{where} ended it without an answer {after}: {outcome}; {sent}, {load}"
    return f"{where} gave {status} {after}: {outcome}; sent to {sent}, {load}{failed}"


def _room(end):
    """Return what was known of room for a request that was not sent."""
    service, slots = end.get("service"), end.get("slots_by_region")
    if not service:
        return ""
    if not slots:
        return f"; no backend server of {service} was in view"
    listed = ", ".join(f"{count} in {region}" for region, count in slots.items())
    return f"; {service} had slots: {listed}; wanted region {end.get('region_share')}"
