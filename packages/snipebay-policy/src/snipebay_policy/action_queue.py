"""Queue of the actions that a core has decided on and its adapter carries out."""

__all__ = ["ActionQueue"]


class ActionQueue:
    """Base class of cores that do no I/O and return actions to an adapter."""

    def __init__(self):
        self._actions = []

    def queue_action(self, action):
        """Append an action to the queue for the adapter."""
        self._actions.append(action)

    def pop_actions(self):
        """Empty the queue and return its actions in order."""
        actions, self._actions = self._actions, []
        return actions
