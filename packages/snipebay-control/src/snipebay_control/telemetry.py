"""Events and measurements of a control core for logs and metrics."""

import attrs

__all__ = ["Telemetry"]


@attrs.define
class Telemetry:
    """Events and measurements since the last call of :meth:`pop_all`.

    Attributes:
        commit_times: Seconds from arrival to commit of each command.
        changes: Pairs of event and id of the instance or backend server.
    """

    commit_times: list = attrs.Factory(list)
    changes: list = attrs.Factory(list)

    def pop_all(self):
        """Return the commit times and changes, and clear them."""
        popped = self.commit_times, self.changes
        self.commit_times, self.changes = [], []
        return popped
