"""Layout of the replicated state in a snapshot."""

import attrs
from snipebay_model.messages import Outcome
from snipebay_model.plan import Plan
from snipebay_model.status import ChangeStatus
from snipebay_model.view import BackendRow, EntryRow

from snipebay_control.claims import ClaimRow
from snipebay_control.registry import Tombstone

__all__ = ["StateImage"]


@attrs.define
class StateImage:
    """Full state as stored in a snapshot.

    Attributes:
        revision: Revision of the view.
        settings_revision: Revision that last changed the settings.
        settings: Text of the settings.
        now_ms: Cluster time.
        backends: Backend servers.
        entries: Entry instances.
        changes: Newest changes of the settings.
        change_outcomes: First outcomes by change id, for retries.
        claims: Idempotency keys.
        plan: Traffic plan, or None before the first one.
        plan_digests: Digests of the accepted plan changes.
        evacuated: Evacuated failure domains.
        tombstones: Withdrawn incarnations of backend servers.
        withdrawals: Ids of backend servers and log indices of their withdrawals.
        workspace_plan: Traffic plan in place of ``plan`` if it has workspaces. An
            older build ignores it, and then finds no plan instead of one without the
            workspaces, whose routes it would serve without keys.
    """

    revision: int
    settings_revision: int
    settings: str
    now_ms: int
    backends: list[BackendRow]
    entries: list[EntryRow]
    changes: list[ChangeStatus]
    change_outcomes: list[tuple[str, Outcome]]
    claims: list[ClaimRow]
    plan: Plan | None = None
    plan_digests: list[str] = attrs.Factory(list)
    evacuated: list[str] = attrs.Factory(list)
    tombstones: list[Tombstone] = attrs.Factory(list)
    withdrawals: list[tuple[str, int]] = attrs.Factory(list)
    workspace_plan: Plan | None = None
