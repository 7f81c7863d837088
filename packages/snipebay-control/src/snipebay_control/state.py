"""Replicated state: settings, backend servers, entry instances and claims."""

import collections
import itertools

import attrs
import msgspec
from snipebay_model import messages
from snipebay_model.codec import decode_body
from snipebay_model.messages import Outcome
from snipebay_model.packed_delta import pack_delta
from snipebay_model.plan import PlanReading
from snipebay_model.status import ChangeStatus
from snipebay_model.view import View, ViewDelta

from snipebay_control.claims import ClaimTable
from snipebay_control.plan_history import PlanHistory
from snipebay_control.registry import Registry
from snipebay_control.state_image import StateImage

__all__ = ["ControlState"]

MAX_JOURNAL_ROWS = 2_048
MAX_CHANGES = 200
# Tables that operators change.
OPERATOR_TABLES = ("settings", "plan", "evacuated")
MAX_CHANGE_IDS = 10_000
# Far more changes than can be made while one is being retried.
MAX_READ_DIGESTS = 256


class ControlState:
    """Replicated state machine, the same on all instances at the same log index.

    Attributes:
        revision: Revision of the view.
        urgent_revision: Newest revision since the start that an operator made.
    """

    def __init__(self):
        self.revision = 0
        self.urgent_revision = 0
        self.settings_revision = 0
        self.settings = ""
        self.now_ms = 0
        self.registry = Registry()
        self.backends = self.registry.rows
        self.entries = {}
        self.plan = None
        self.evacuated = set()
        self._plan_digests = collections.OrderedDict()
        self.changes = collections.deque(maxlen=MAX_CHANGES)
        self.claims = ClaimTable()
        self._change_outcomes = collections.OrderedDict()
        self._journal = collections.deque(maxlen=MAX_JOURNAL_ROWS)
        self._deltas = {}
        self._packed_deltas = {}
        self._plan_history = PlanHistory()
        self._handlers = {
            messages.ApplySettings: self._apply_settings,
            messages.ApplyPlan: self._apply_plan,
            messages.ApplyWorkspacePlan: self._apply_plan,
            messages.Evacuate: self._evacuate,
            messages.PutBackend: self._put_backend,
            messages.HoldBackend: self._hold_backend,
            messages.RemoveBackend: self._remove_backend,
            messages.PutEntry: self._put_entry,
            messages.RemoveEntry: self._remove_entry,
            messages.Claim: lambda cmd: self.claims.claim(cmd, self.now_ms),
            messages.Finish: self.claims.finish,
            messages.Abort: lambda cmd: self.claims.abort(cmd, self.now_ms),
            messages.Reap: self._advance_clock,
        }

    # --- log --------------------------------------------------------------

    def apply(self, kind, data):
        """Apply an encoded command from the log and return its outcome."""
        return self.execute(decode_body(kind, data))

    def execute(self, cmd):
        """Apply a command from the log and return its outcome."""
        return self._handlers[type(cmd)](cmd)

    def is_command(self, cmd):
        """Return True for a message that can be applied."""
        return type(cmd) in self._handlers

    def dump(self):
        """Return the encoded state for a snapshot."""
        plan, workspace_plan = self.plan, None
        if self.has_workspaces:
            plan, workspace_plan = None, plan
        image = StateImage(
            self.revision,
            self.settings_revision,
            self.settings,
            self.now_ms,
            list(self.backends.values()),
            list(self.entries.values()),
            list(self.changes),
            list(self._change_outcomes.items()),
            list(self.claims.rows.values()),
            plan,
            list(self._plan_digests),
            sorted(self.evacuated),
            list(self.registry.tombstones.values()),
            list(self.registry.withdrawals.items()),
            workspace_plan,
        )
        return msgspec.msgpack.encode(image)

    @classmethod
    def from_dump(cls, data):
        """Return the state encoded by :meth:`dump`, or an initial one for no bytes."""
        state = cls()
        if not data:
            return state
        image = msgspec.msgpack.decode(data, type=StateImage)
        state.revision = image.revision
        state.settings_revision = image.settings_revision
        state.settings = image.settings
        state.now_ms = image.now_ms
        state.registry.load(image.backends, image.tombstones, image.withdrawals)
        state.plan = image.workspace_plan or image.plan
        state._plan_digests.update(dict.fromkeys(image.plan_digests))
        state.evacuated = set(image.evacuated)
        state.entries = {row.entry_id: row for row in image.entries}
        state.changes.extend(image.changes)
        state._change_outcomes.update(image.change_outcomes)
        state.claims.rows = {(row.service, row.key): row for row in image.claims}
        return state

    # --- views ------------------------------------------------------------

    def view(self):
        """Return the view at the current revision."""
        return View().apply(self._full_delta())

    @property
    def has_workspaces(self):
        """True if the traffic plan has workspaces."""
        return self.plan is not None and bool(self.plan.workspaces)

    def delta(self, base, *, reads_plan_patches=False, reads_workspaces=False):
        """Return the changes since a revision, or None if there are none.

        The delta contains the full view if the journal doesn't reach back to the
        revision.

        Args:
            base: The revision.
            reads_plan_patches: True if the receiver can apply patches of the plan.
            reads_workspaces: True if it can apply plans with workspaces. Other
                receivers get such a plan without its routes.
        """
        if base >= self.revision:
            return None
        hides_routes = self._hides_routes(reads_workspaces)
        key = base, reads_plan_patches, hides_routes
        if key not in self._deltas:
            self._deltas[key] = self._compute_delta(
                base, reads_plan_patches, hides_routes
            )
        return self._deltas[key]

    def _hides_routes(self, reads_workspaces):
        """Return True if a receiver must not get the routes, or patches of them.

        It must not get patches either after a plan with workspaces was replaced, as it
        has no routes to which they apply.
        """
        has_workspaces = self.has_workspaces or self._plan_history.has_workspaces
        return has_workspaces and not reads_workspaces

    def packed_delta(self, base, *, reads_workspaces=False):
        """Return the same for a receiver of patches as packed bytes, made only once.

        Returns:
            Empty if there is no change, or a short one.
        """
        found = self.delta(
            base, reads_plan_patches=True, reads_workspaces=reads_workspaces
        )
        if found is None:
            return b""
        key = base, self._hides_routes(reads_workspaces)
        if key not in self._packed_deltas:
            self._packed_deltas[key] = pack_delta(found)
        return self._packed_deltas[key]

    def _compute_delta(self, base, reads_plan_patches, hides_routes):
        first = self._journal[0][0] if self._journal else self.revision + 1
        if base < first - 1:
            return self._full_delta(hides_routes)
        rows = {
            (table, row_id)
            for revision, table, row_id in self._journal
            if revision > base
        }
        backends = sorted(row_id for table, row_id in rows if table == "backends")
        entries = sorted(row_id for table, row_id in rows if table == "entries")
        settings_changed = ("settings", "") in rows
        plan_changed = ("plan", "") in rows
        reads_plan_patches = reads_plan_patches and not hides_routes
        patches = self._plan_patches(base) if reads_plan_patches else None
        plan = self._plan_for_entries(hides_routes)
        return ViewDelta(
            base=base,
            revision=self.revision,
            settings=self.settings if settings_changed else None,
            settings_revision=self.settings_revision if settings_changed else 0,
            backends=tuple(self.backends[i] for i in backends if i in self.backends),
            backends_gone=tuple(i for i in backends if i not in self.backends),
            entries=tuple(self.entries[i] for i in entries if i in self.entries),
            entries_gone=tuple(i for i in entries if i not in self.entries),
            plan=plan if plan_changed and not patches else None,
            evacuated=(
                tuple(sorted(self.evacuated)) if ("evacuated", "") in rows else None
            ),
            plan_patches=patches or (),
        )

    def _full_delta(self, hides_routes=False):
        return ViewDelta(
            base=0,
            revision=self.revision,
            whole=True,
            settings=self.settings,
            settings_revision=self.settings_revision,
            backends=tuple(self.backends.values()),
            entries=tuple(self.entries.values()),
            plan=self._plan_for_entries(hides_routes),
            evacuated=tuple(sorted(self.evacuated)),
        )

    def _plan_patches(self, base):
        """Return the patches of the plan since a revision, None without all of them."""
        revisions = [
            revision
            for revision, table, _ in self._journal
            if table == "plan" and revision > base
        ]
        return self._plan_history.patches(revisions, self.plan) if revisions else None

    def _plan_for_entries(self, hides_routes):
        if not self.plan:
            return None
        plan = self.plan.without_source()
        if hides_routes and plan.workspaces:
            return attrs.evolve(plan, routes=(), workspaces=())
        return plan

    def _record_change(self, table, row_id=""):
        """Journal a change for the deltas and return its new revision."""
        self.revision += 1
        self._journal.append((self.revision, table, row_id))
        self._deltas.clear()
        self._packed_deltas.clear()
        if table in OPERATOR_TABLES:
            self.urgent_revision = self.revision
        return self.revision

    # --- commands ---------------------------------------------------------

    def _apply_settings(self, cmd):
        if cmd.change_id in self._change_outcomes:
            return self._change_outcomes[cmd.change_id]
        if cmd.base_revision != self.settings_revision:
            detail = f"base revision {cmd.base_revision!r}, nothing is set yet"
            if self.changes:
                newest = self.changes[-1]
                detail = (
                    f"base revision {cmd.base_revision!r} is not the current "
                    f"{self.settings_revision!r}, made by {newest.author!r} "
                    f"with change {newest.change_id!r}"
                )
            outcome = Outcome("conflict", self.settings_revision, detail)
        else:
            self.settings = cmd.text
            self.settings_revision = self._record_change("settings")
            self.changes.append(
                ChangeStatus(
                    self.settings_revision,
                    cmd.change_id,
                    cmd.author,
                    cmd.note,
                    self.now_ms,
                    cmd.text,
                )
            )
            outcome = Outcome("ok", self.settings_revision)
        return self._store_outcome(cmd.change_id, outcome)

    def _store_outcome(self, change_id, outcome):
        """Store the first outcome of a change, to return it to retries."""
        self._change_outcomes[change_id] = outcome
        excess = len(self._change_outcomes) - MAX_CHANGE_IDS
        for old in list(itertools.islice(self._change_outcomes, max(excess, 0))):
            del self._change_outcomes[old]
        return outcome

    def read_plan(self):
        """Return the traffic plan and the digests of its newest changes."""
        return PlanReading(self.plan, tuple(self._plan_digests)[-MAX_READ_DIGESTS:])

    def has_applied_plan(self, digest):
        """Return True if a change of the traffic plan was accepted before."""
        return digest in self._plan_digests

    def _apply_plan(self, cmd):
        version = self.plan.version if self.plan else 0
        if cmd.digest in self._plan_digests:
            return Outcome("ok", self.revision)
        if cmd.base_version != version:
            detail = f"base version {cmd.base_version!r} is not the current {version!r}"
            return Outcome("conflict", self.revision, detail)
        if cmd.plan.version <= version:
            detail = f"version {cmd.plan.version!r} is not above {version!r}"
            return Outcome("invalid", self.revision, detail)
        old, self.plan = self.plan, cmd.plan.sharing_rows_of(self.plan)
        self._plan_digests[cmd.digest] = None
        if len(self._plan_digests) > MAX_CHANGE_IDS:
            self._plan_digests.popitem(last=False)
        revision = self._record_change("plan")
        self._plan_history.record(revision, old and old.without_source())
        return Outcome("ok", revision)

    def _evacuate(self, cmd):
        if cmd.evacuated == (cmd.domain in self.evacuated):
            return Outcome("ok", self.revision)
        if cmd.evacuated:
            self.evacuated.add(cmd.domain)
        else:
            self.evacuated.discard(cmd.domain)
        return Outcome("ok", self._record_change("evacuated"))

    def _put_backend(self, cmd):
        old = self.backends.get(cmd.row.backend_id)
        row = attrs.evolve(
            cmd.row,
            held=old.held if old else False,
            since_revision=old.since_revision if old else 0,
        )
        if row == old:
            return Outcome("ok", self.revision)
        if reason := self.registry.stale_reason(row):
            return Outcome("stale", self.revision, reason)
        for backend_id in self.registry.superseded_by(row):
            del self.backends[backend_id]
            self._record_change("backends", backend_id)
        return self._store_backend(row)

    def _hold_backend(self, cmd):
        if cmd.change_id in self._change_outcomes:
            return self._change_outcomes[cmd.change_id]
        old = self.backends.get(cmd.backend_id)
        if old is None:
            return Outcome("missing", detail=f"no backend server {cmd.backend_id!r}")
        outcome = self._store_backend(attrs.evolve(old, held=cmd.held))
        return self._store_outcome(cmd.change_id, outcome)

    def _store_backend(self, row):
        revision = self._record_change("backends", row.backend_id)
        self.backends[row.backend_id] = attrs.evolve(row, since_revision=revision)
        return Outcome("ok", revision)

    def _remove_backend(self, cmd):
        is_withdrawn = cmd.reason == messages.WITHDRAWN
        if not self.registry.remove(cmd.backend_id, is_withdrawn=is_withdrawn):
            return Outcome("missing", self.revision)
        return Outcome("ok", self._record_change("backends", cmd.backend_id))

    def _put_entry(self, cmd):
        old = self.entries.get(cmd.row.entry_id)
        since = old.since_revision if old else 0
        if old == attrs.evolve(cmd.row, since_revision=since):
            return Outcome("ok", self.revision)
        revision = self._record_change("entries", cmd.row.entry_id)
        self.entries[cmd.row.entry_id] = attrs.evolve(cmd.row, since_revision=revision)
        return Outcome("ok", revision)

    def _remove_entry(self, cmd):
        old = self.entries.get(cmd.entry_id)
        if old is None or old.incarnation != cmd.incarnation:
            return Outcome("missing", self.revision)
        del self.entries[cmd.entry_id]
        return Outcome("ok", self._record_change("entries", cmd.entry_id))

    def _advance_clock(self, cmd):
        self.now_ms = max(self.now_ms, cmd.now_ms)
        return Outcome("ok", detail=str(self.claims.expire(self.now_ms)))
