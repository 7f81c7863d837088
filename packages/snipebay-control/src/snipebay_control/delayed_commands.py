"""Refuses delayed commands that newer ones of the log have outdated."""

from snipebay_model import messages
from snipebay_model.messages import WITHDRAWN, Outcome

from snipebay_control.order_guard import OrderGuard

__all__ = ["OUTDATING_KINDS", "DelayedCommands"]

# Commands after which delayed ones about the same subject are outdated.
OUTDATING_KINDS = (messages.Evacuate.__name__, messages.RemoveBackend.__name__)


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
        self._state = state

    def start_term(self):
        """Begin a term as the leader."""
        self._orders.start_term()

    def record_proposed(self, cmd, index):
        """Record a command that this leader has appended to the log."""
        if isinstance(cmd, messages.Evacuate):
            self._orders.record_proposed(cmd, index)
        elif _is_withdrawal(cmd):
            self._state.registry.record_withdrawal(cmd.backend_id, index)

    def record_applied(self, cmd, index):
        """Record a command that was applied to the state."""
        if isinstance(cmd, messages.Evacuate):
            self._orders.record_applied(cmd, index)
        elif _is_withdrawal(cmd):
            self._state.registry.record_withdrawal(cmd.backend_id, index)

    def refusal(self, cmd, base_index):
        """Return the outcome of an outdated command, None if it may be proposed."""
        if base_index < 0:
            return None
        if isinstance(cmd, messages.Evacuate):
            if self._orders.is_outdated(cmd, base_index):
                detail = f"a newer order about {cmd.domain!r} was given since"
                return Outcome("outdated", detail=detail)
        elif isinstance(cmd, messages.PutBackend):
            backend_id = cmd.row.backend_id
            is_known = backend_id in self._state.backends
            if not is_known and self._state.registry.is_outdated(
                backend_id, base_index
            ):
                detail = f"{backend_id!r} was withdrawn since"
                return Outcome("outdated", detail=detail)
        return None


def _is_withdrawal(cmd):
    return isinstance(cmd, messages.RemoveBackend) and cmd.reason == WITHDRAWN
