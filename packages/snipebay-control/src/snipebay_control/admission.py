"""Validates commands before they are proposed to the replicated log."""

import attrs
from returns.result import Success
from snipebay_model import messages
from snipebay_model.messages import Outcome
from snipebay_model.plan import validate_plan
from snipebay_model.settings import parse_settings

__all__ = ["admission"]


def admission(state, cmd, *, requires_known_service):
    """Return the outcome of a command that needs no log entry, or None.

    Args:
        state: Replicated state of a leader with a valid lease.
        cmd: The command.
        requires_known_service: True if a backend server must belong to a service
            of the traffic plan.
    """
    if not state.is_command(cmd):
        return Outcome("invalid", detail=f"{type(cmd).__name__!r} is not a command")
    if isinstance(cmd, messages.ApplyPlan | messages.ApplyWorkspacePlan):
        return _admit_plan(state, cmd)
    if isinstance(cmd, messages.PutBackend):
        return _admit_backend(state, cmd.row, requires_known_service)
    if isinstance(cmd, messages.ApplySettings):
        result = parse_settings(cmd.text)
        if not isinstance(result, Success):
            return Outcome("invalid", detail=str(result.failure()))
    return None


def _admit_plan(state, cmd):
    """Accept a plan that was already applied, and reject an invalid one."""
    if state.has_applied_plan(cmd.digest):
        return Outcome("ok", state.revision)
    errors = validate_plan(cmd.plan)
    if cmd.plan.workspaces and isinstance(cmd, messages.ApplyPlan):
        # A follower of an older build would apply it without the workspaces.
        errors.append("workspaces: the command is for a plan without them")
    return Outcome("invalid", detail="; ".join(errors)) if errors else None


def _admit_backend(state, row, requires_known_service):
    """Accept an announcement without changes, and reject an unknown service."""
    known = state.backends.get(row.backend_id)
    if known is None:
        return _admit_new_backend(state, row) if requires_known_service else None
    if row.sequence < known.sequence:
        return None
    # The remaining cold time decreases by itself, which is no change.
    is_cooling = 0 < row.cold_s <= known.cold_s
    same = attrs.evolve(
        row,
        held=known.held,
        since_revision=known.since_revision,
        cold_s=known.cold_s if is_cooling else row.cold_s,
    )
    return Outcome("ok", state.revision) if same == known else None


def _admit_new_backend(state, row):
    """Reject a new backend server whose service isn't in the traffic plan."""
    if state.plan is None:
        return Outcome("busy", detail="no traffic plan was accepted yet")
    if all(row.service != service.name for service in state.plan.services):
        return Outcome("invalid", detail=f"unknown service {row.service!r}")
    return None
