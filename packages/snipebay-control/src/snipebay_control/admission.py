"""Decides whether a command goes into the log, or is answered at once."""

import attrs
from returns.result import Success
from snipebay_model import messages
from snipebay_model.messages import Outcome
from snipebay_model.plan import validate_plan
from snipebay_model.settings import parse_settings

__all__ = ["admission"]


def admission(state, cmd, *, discovers):
    """Return the outcome of a command that needs no entry, or None.

    Args:
        state: Replicated state of a leader that may serve.
        cmd: The command.
        discovers: True when backend servers must name a service of the plan.
    """
    if not state.accepts(cmd):
        return Outcome("invalid", detail=f"{type(cmd).__name__!r} is not a command")
    if isinstance(cmd, messages.ApplyPlan):
        return _plan(state, cmd)
    if isinstance(cmd, messages.PutBackend):
        return _backend(state, cmd.row, discovers)
    if isinstance(cmd, messages.ApplySettings):
        result = parse_settings(cmd.text)
        if not isinstance(result, Success):
            return Outcome("invalid", detail=str(result.failure()))
    return None


def _plan(state, cmd):
    """Confirm a change that was accepted before, and refuse an invalid one."""
    if state.has_applied(cmd.digest):
        return Outcome("ok", state.revision)
    faults = validate_plan(cmd.plan)
    return Outcome("invalid", detail="; ".join(faults)) if faults else None


def _backend(state, row, discovers):
    """Confirm an announcement that changes nothing, and refuse a stranger."""
    known = state.backends.get(row.backend_id)
    if known is None:
        return _newcomer(state, row) if discovers else None
    if row.sequence < known.sequence:
        return None
    # The time for which it is cold runs down by itself.
    is_cooling = 0 < row.cold_s <= known.cold_s
    same = attrs.evolve(
        row,
        held=known.held,
        since_revision=known.since_revision,
        cold_s=known.cold_s if is_cooling else row.cold_s,
    )
    return Outcome("ok", state.revision) if same == known else None


def _newcomer(state, row):
    """Refuse a backend server that no service of the plan is for."""
    if state.plan is None:
        return Outcome("busy", detail="no traffic plan was accepted yet")
    if all(row.service != service.name for service in state.plan.services):
        return Outcome("invalid", detail=f"unknown service {row.service!r}")
    return None
