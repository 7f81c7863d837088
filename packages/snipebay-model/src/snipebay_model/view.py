"""Rows of the replicated tables that entry instances act on."""

import attrs

from snipebay_model.plan import Plan

__all__ = ["BackendRow", "EntryRow", "View", "ViewDelta"]


@attrs.frozen
class BackendRow:
    """A backend server as announced.

    Attributes:
        backend_id: Name chosen by the backend server, unique in the system.
        service: Service that it answers for.
        address: ``host:port`` by IP number.
        region: Region it stands in.
        domain: Failure domain it stands in.
        slots: Requests that it runs at once.
        leaving: True once it asked to leave.
        held: True while an operator drains it.
        since_revision: View revision of the last change of this row.
        born_ms: Start of this incarnation in Unix milliseconds, 0 if not told.
        cold_s: Time for which it is still cold, from when the row was made.
        sequence: Number of the announcement that changed the row last.
    """

    backend_id: str
    service: str
    address: str
    region: str
    domain: str
    slots: int
    leaving: bool = False
    held: bool = False
    since_revision: int = 0
    born_ms: int = 0
    cold_s: float = 0.0
    sequence: int = attrs.field(default=0, eq=False)

    @property
    def is_open(self):
        """True while it may be given new work."""
        return not (self.leaving or self.held)


@attrs.frozen
class EntryRow:
    """An entry instance that holds a lease.

    Attributes:
        entry_id: Instance id from its settings.
        incarnation: Value unique to one run of the process.
        address: ``host:port`` that callers use.
        internal: ``host:port`` for other instances.
        region: Region it stands in.
        domain: Failure domain it stands in.
        leaving: True once it asked to stop.
        since_revision: View revision at which this incarnation joined.
    """

    entry_id: str
    incarnation: str
    address: str
    internal: str
    region: str
    domain: str
    leaving: bool = False
    since_revision: int = 0


@attrs.frozen
class View:
    """Everything an entry instance needs to decide, at one revision.

    Attributes:
        revision: Revision of the newest change contained.
        settings_revision: Revision of the newest settings change contained.
        settings: Text of the settings tree.
        backends: Rows ordered by id.
        entries: Rows ordered by id.
        plan: Traffic plan, None before the first one.
        evacuated: Failure domains whose backend servers get no requests.
    """

    revision: int = 0
    settings_revision: int = 0
    settings: str = ""
    backends: tuple[BackendRow, ...] = ()
    entries: tuple[EntryRow, ...] = ()
    plan: Plan | None = None
    evacuated: tuple[str, ...] = ()

    def apply(self, delta):
        """Return this view moved forward by ``delta``.

        Args:
            delta: Changes since a revision that this view already contains.

        Raises:
            ValueError: If the delta starts after this view's revision.
        """
        if delta.base > self.revision:
            raise ValueError(
                f"delta starts at {delta.base!r}, view is at {self.revision!r}"
            )
        if delta.revision <= self.revision:
            return self
        changed = delta.settings is not None
        return View(
            revision=delta.revision,
            settings_revision=(
                delta.settings_revision if changed else self.settings_revision
            ),
            settings=delta.settings if changed else self.settings,
            backends=_merge(
                () if delta.whole else self.backends,
                delta.backends,
                delta.backends_gone,
                "backend_id",
            ),
            entries=_merge(
                () if delta.whole else self.entries,
                delta.entries,
                delta.entries_gone,
                "entry_id",
            ),
            plan=delta.plan or self.plan,
            evacuated=(self.evacuated if delta.evacuated is None else delta.evacuated),
        )


@attrs.frozen
class ViewDelta:
    """Changes that move a view from ``base`` to ``revision``.

    Attributes:
        base: Revision that the receiver must have reached.
        revision: Revision reached after applying.
        whole: True when rows replace all that the receiver has.
        settings: New settings text, or None when unchanged.
        settings_revision: Revision of ``settings``.
        backends: Rows added or changed.
        backends_gone: Ids of rows removed.
        entries: Rows added or changed.
        entries_gone: Ids of rows removed.
        plan: New traffic plan, or None when unchanged.
        evacuated: Evacuated failure domains, or None when unchanged.
    """

    base: int
    revision: int
    whole: bool = False
    settings: str | None = None
    settings_revision: int = 0
    backends: tuple[BackendRow, ...] = ()
    backends_gone: tuple[str, ...] = ()
    entries: tuple[EntryRow, ...] = ()
    entries_gone: tuple[str, ...] = ()
    plan: Plan | None = None
    evacuated: tuple[str, ...] | None = None


def _merge(rows, changed, gone, key):
    """Return rows ordered by id, with changes put in and removals taken out."""
    rows_by_id = {getattr(row, key): row for row in rows}
    rows_by_id.update({getattr(row, key): row for row in changed})
    for row_id in gone:
        rows_by_id.pop(row_id, None)
    return tuple(rows_by_id[row_id] for row_id in sorted(rows_by_id))
