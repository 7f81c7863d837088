"""Recognizes delayed orders that a newer order has replaced."""

import attrs

__all__ = ["OrderGuard"]


@attrs.frozen
class _Order:
    """An order about a failure domain in the log."""

    index: int
    evacuated: bool


class OrderGuard:
    """Remembers the newest evacuation order for each failure domain.

    An order has neither version nor sequence. Its base tells how old it may be: the
    log index that the instance which took it had applied when its caller connected.
    A caller that abandons an order before another one is acknowledged has connected
    before that one, so the abandoned order has a base below its index.

    An order that asks for what the newest one has set is not outdated: it may be the
    same order, repeated because its response was lost.

    Args:
        first_index: Index of the state at the start. Which orders it contains is not
            known, so any of them may be as new as this index.
        evacuated: Evacuated failure domains in that state.
    """

    def __init__(self, first_index, evacuated):
        self._at_start = {domain: _Order(first_index, True) for domain in evacuated}
        self._default = _Order(first_index, False)
        self._applied = {}
        self._proposed = {}

    def start_term(self):
        """Forget what was proposed in an earlier term and may never be committed."""
        self._proposed.clear()

    def record_proposed(self, cmd, index):
        """Record an order that this leader has appended to the log."""
        self._proposed[cmd.domain] = _Order(index, cmd.evacuated)

    def record_applied(self, cmd, index):
        """Record an order that was committed and applied."""
        self._applied[cmd.domain] = _Order(index, cmd.evacuated)

    def is_outdated(self, cmd, base_index):
        """Return True if an order would undo one that is newer than its base."""
        known = (
            self._applied.get(cmd.domain),
            self._proposed.get(cmd.domain),
            self._at_start.get(cmd.domain, self._default),
        )
        newest = max(filter(None, known), key=lambda order: order.index)
        return base_index < newest.index and cmd.evacuated != newest.evacuated
