"""The routing table of entry instances and its changes."""

import attrs

from snipebay_model.plan import Plan
from snipebay_model.plan_patch import PlanPatch

__all__ = ["BackendRow", "EntryRow", "View", "ViewDelta"]


@attrs.frozen
class BackendRow:
    """A backend server as announced.

    Attributes:
        backend_id: Id chosen by the backend server, unique in the system.
        service: Service that it runs.
        address: IP address and port, ``host:port``.
        region: Its region.
        domain: Its failure domain.
        slots: Concurrency limit: requests that it runs at once.
        leaving: True once it announced that it shuts down.
        held: True while an operator drains it.
        since_revision: View revision of the last change of this row.
        born_ms: Start of this incarnation in Unix milliseconds, 0 if not announced.
        cold_s: Warm-up time left in seconds when the row was made.
        sequence: Number of the announcement that changed the row last. Two rows
            that differ in nothing else are equal.
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
        """True while it may get new requests."""
        return not (self.leaving or self.held)


@attrs.frozen
class EntryRow:
    """An entry instance that holds a lease.

    Attributes:
        entry_id: Instance id from its settings.
        incarnation: Id unique to one run of the process.
        address: ``host:port`` that callers use.
        internal: ``host:port`` for other instances.
        region: Its region.
        domain: Its failure domain.
        leaving: True once it began to shut down.
        since_revision: View revision at which this incarnation joined, or at
            which its row changed last.
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
    """The routing table of an entry instance at one revision.

    Attributes:
        revision: Revision of the newest change contained.
        settings_revision: Revision of the newest settings change contained.
        settings: The settings tree as YAML.
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
        """Return this view with the changes of ``delta``.

        Args:
            delta: Changes since a revision that this view has reached.

        Raises:
            ValueError: If the delta starts after this view's revision, or its patches
                don't apply to this view's plan.
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
            plan=delta.plan or self._patched_plan(delta.plan_patches),
            evacuated=(self.evacuated if delta.evacuated is None else delta.evacuated),
        )

    def _patched_plan(self, patches):
        """Return the plan after the patches that it doesn't contain yet."""
        plan = self.plan
        for patch in patches:
            if plan is None or patch.version > plan.version:
                plan = patch.apply(plan)
        return plan


@attrs.frozen
class ViewDelta:
    """Changes that move a view from ``base`` to ``revision``.

    Attributes:
        base: Revision that the receiver must have reached.
        revision: Revision reached after applying.
        whole: True when ``backends`` and ``entries`` are complete and replace
            the receiver's rows.
        settings: New settings tree as YAML, or None when unchanged.
        settings_revision: Revision of ``settings``.
        backends: Rows added or changed.
        backends_gone: Ids of rows removed.
        entries: Rows added or changed.
        entries_gone: Ids of rows removed.
        plan: New traffic plan, or None when unchanged or patched.
        evacuated: All evacuated failure domains, or None when unchanged.
        plan_patches: Changes of the traffic plan since ``base``, oldest first.
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
    plan_patches: tuple[PlanPatch, ...] = ()


def _merge(rows, changed, gone, key):
    """Return rows ordered by id, with some added or replaced and others removed."""
    rows_by_id = {getattr(row, key): row for row in rows}
    rows_by_id.update({getattr(row, key): row for row in changed})
    for row_id in gone:
        rows_by_id.pop(row_id, None)
    return tuple(rows_by_id[row_id] for row_id in sorted(rows_by_id))
