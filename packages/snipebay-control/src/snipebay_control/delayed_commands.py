"""Refuses delayed commands that newer ones of the log have outdated."""

from snipebay_model import messages
from snipebay_model.messages import WITHDRAWN, Outcome

from snipebay_control.order_guard import OrderGuard
from snipebay_control.registration_guard import RegistrationGuard

__all__ = ["DelayedCommands"]


class DelayedCommands:
    """Compares the base of a command with the log.

    The base is the log index that the instance which took the command had applied
    when its caller connected, -1 if that is unknown. All instances record what was
    applied, so that a new leader knows it.

    Args:
        first_index: Log index of the state.
        state: The replicated state at that index.
    """

    def __init__(self, first_index, state):
        self._orders = OrderGuard(first_index, state.evacuated)
        self._registrations = RegistrationGuard(first_index, state.backends.values())
        self._state = state

    def start_term(self):
        """Begin a term as the leader."""
        self._orders.start_term()
        self._registrations.start_term()

    def record_proposed(self, cmd, index):
        """Record a command that this leader has appended to the log."""
        if isinstance(cmd, messages.Evacuate):
            self._orders.record_proposed(cmd, index)
        elif isinstance(cmd, messages.PutBackend):
            self._registrations.record_proposed(cmd.row, index)
        elif _is_withdrawal(cmd):
            self._state.registry.record_withdrawal(cmd.backend_id, index)

    def record_applied(self, cmd, index):
        """Record a command that was applied to the state."""
        if isinstance(cmd, messages.Evacuate):
            self._orders.record_applied(cmd, index)
        elif isinstance(cmd, messages.PutBackend):
            registered = self._state.backends.get(cmd.row.backend_id)
            self._registrations.record_applied(cmd.row, index, registered)
            self._registrations.prune(self._state.backends.keys())
        elif isinstance(cmd, messages.RemoveBackend):
            self._registrations.record_removed(cmd.backend_id)
            if _is_withdrawal(cmd):
                self._state.registry.record_withdrawal(cmd.backend_id, index)

    def has_pending_announcement(self, backend_id):
        """Return True while an announcement of a backend server is not applied yet."""
        return self._registrations.has_pending_announcement(backend_id)

    def refusal(self, cmd, base_index):
        """Return the outcome of an outdated command, None if it may be proposed."""
        if _is_withdrawal(cmd):
            backend_id = cmd.backend_id
            if self._registrations.is_outdated(backend_id, cmd.born_ms, base_index):
                detail = f"{backend_id!r} was registered anew since"
                return Outcome("outdated", detail=detail)
            return None
        if base_index < 0:
            return None
        if isinstance(cmd, messages.Evacuate):
            if self._orders.is_outdated(cmd, base_index):
                detail = f"a newer order about {cmd.domain!r} was given since"
                return Outcome("outdated", detail=detail)
        elif isinstance(cmd, messages.PutBackend):
            return self._announcement_refusal(cmd.row, base_index)
        return None

    def _announcement_refusal(self, row, base_index):
        registry, backend_id = self._state.registry, row.backend_id
        is_known = backend_id in self._state.backends
        if not is_known and registry.is_outdated(backend_id, base_index):
            return Outcome("outdated", detail=f"{backend_id!r} was withdrawn since")
        newest_index = max(
            self._registrations.registered_index(backend_id),
            registry.withdrawal_index(backend_id),
        )
        # The sender is alive and would not be used, so it is not acknowledged.
        if (
            not row.leaving
            and base_index >= newest_index
            and registry.is_superseded(row)
        ):
            detail = f"{backend_id!r} is known with a later start, or has withdrawn"
            return Outcome("superseded", detail=detail)
        return None


def _is_withdrawal(cmd):
    return isinstance(cmd, messages.RemoveBackend) and cmd.reason == WITHDRAWN
