"""Differences between two views, as events for the log."""

__all__ = ["view_changes"]


def view_changes(old, new, source=""):
    """Return triples of event, subject and fields, in a fixed order.

    Args:
        old: Previous view.
        new: Current view.
        source: Control instance that sent it, or empty.
    """
    return [
        *_plan_changes(old, new),
        *_evacuation_changes(old, new, source),
        *_backend_changes(old, new),
        *_entry_changes(old, new),
    ]


def _plan_changes(old, new):
    if new.plan is not None and new.plan is not old.plan:
        version = new.plan.version
        fields = {"revision": new.revision, "workspaces": len(new.plan.workspaces)}
        yield "traffic plan in force", str(version), fields


def _evacuation_changes(old, new, source):
    fields = {"revision": new.revision, "source": source}
    for domain in sorted(set(new.evacuated) - set(old.evacuated)):
        yield "failure domain evacuated", domain, fields
    for domain in sorted(set(old.evacuated) - set(new.evacuated)):
        yield "failure domain evacuation ended", domain, fields


def _backend_changes(old, new):
    before = {row.backend_id: row for row in old.backends}
    after = {row.backend_id: row for row in new.backends}
    for name, row in after.items():
        known = before.get(name)
        fields = {"service": row.service, "revision": new.revision}
        if known is None or known.born_ms != row.born_ms:
            yield "backend server joined", name, fields
        elif known.is_open and not row.is_open:
            yield "backend server leaving", name, fields
    for name, row in before.items():
        if name not in after:
            fields = {"service": row.service, "revision": new.revision}
            yield "backend server gone", name, fields


def _entry_changes(old, new):
    before = {row.entry_id for row in old.entries if not row.leaving}
    after = {row.entry_id for row in new.entries if not row.leaving}
    for name in sorted(after - before):
        yield "entry instance joined", name, {"revision": new.revision}
    for name in sorted(before - after):
        yield "entry instance gone", name, {"revision": new.revision}
