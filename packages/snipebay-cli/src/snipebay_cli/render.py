"""Formats results as text for operators."""

import difflib

__all__ = ["diff_lines", "render_backends", "render_explain", "render_status"]


def render_table(header, rows):
    """Return a table with aligned columns."""
    cells = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def render_status(status):
    """Return the status of the system as text."""
    is_everywhere = status.in_force >= status.revision
    extent = "everywhere" if is_everywhere else f"up to {status.in_force} everywhere"
    summary = (
        f"leader {status.leader or 'none'}, term {status.term}, "
        f"revision {status.revision} in force {extent}, "
        f"settings {status.settings_revision}, {status.claims} idempotency keys stored"
    )
    members = render_table(
        ["CONTROL", "VOTES", "LOG", "HEARD"],
        [
            (
                m.node,
                "yes" if m.voter else "learns",
                m.match_index or "-",
                "yes" if m.heard else "no",
            )
            for m in status.members
        ],
    )
    entries = render_table(
        ["ENTRY", "REGION", "DOMAIN", "ADDRESS", "IN FORCE", "STATE"],
        [
            (
                e.row.entry_id,
                e.row.region,
                e.row.domain,
                e.row.address,
                e.applied,
                _entry_state(e, status),
            )
            for e in status.entries
        ],
    )
    return f"{summary}\n\n{members}\n\n{entries}"


def render_backends(status):
    """Return a table of the backend servers."""
    return render_table(
        ["BACKEND", "SERVICE", "REGION", "DOMAIN", "ADDRESS", "SLOTS", "STATE"],
        [
            (
                b.backend_id,
                b.service,
                b.region,
                b.domain,
                b.address,
                b.slots,
                _backend_state(b, status),
            )
            for b in status.backends
        ],
    )


def render_explain(service, settings, routing):
    """Return the rules of a service, and the routing state that they result in.

    Args:
        service: Name of the service.
        settings: Settings tree.
        routing: Routing state at one entry instance, or None.
    """
    rules = render_table(
        ["RULE", "VALUE", "SET BY"],
        [(k, v.value, v.origin) for k, v in settings.explain(service).items()],
    )
    if routing is None:
        return rules
    summary = (
        f"at {routing['instance']}, revision {routing['revision']}: "
        f"{routing['requests']} requests, {routing['shifted']} sent to other regions "
        f"(cap {routing['shift_cap']:.0%}), {routing['waiting']} waiting; "
        + ("may serve" if routing["may_serve"] else "may not serve: no lease")
    )
    backends = render_table(
        ["BACKEND", "REGION", "DOMAIN", "OPEN", "EJECTED", "COST s", "SLOTS HERE"],
        [
            (
                b["backend_id"],
                b["region"],
                b["domain"],
                "yes" if b["open"] else "no",
                "yes" if b["ejected"] else "no",
                b["cost_s"],
                " ".join(sorted(b["slots_here"].values())) or "-",
            )
            for b in routing["backends"]
        ],
    )
    return f"{rules}\n\n{summary}\n\n{backends}"


def diff_lines(old, new):
    """Return the unified diff from one settings text to another."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "in force", "new", lineterm=""
    )
    return "\n".join(lines)


def _entry_state(entry, status):
    if entry.row.leaving:
        return "leaving"
    return "current" if entry.applied >= status.revision else "behind"


def _backend_state(row, status):
    if row.backend_id in status.drained:
        return "drained"
    return "serving" if row.is_open else "draining"
