"""Actions that a core has decided on and its adapter has not carried out yet."""

__all__ = ["ActionQueue"]


class ActionQueue:
    """Base of what decides without I/O and leaves the rest to an adapter."""

    def __init__(self):
        self._actions = []

    def act(self, action):
        """Put an action into the queue for the adapter."""
        self._actions.append(action)

    def pop_actions(self):
        """Return the actions since the last call."""
        actions, self._actions = self._actions, []
        return actions
