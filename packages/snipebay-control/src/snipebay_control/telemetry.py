"""What a control core tells for logs and metrics."""

import attrs

__all__ = ["Telemetry"]


@attrs.define
class Telemetry:
    """What has happened since it was last taken.

    Attributes:
        commit_times: Seconds from arrival to commit, one for each command.
        changes: Pairs of event and subject.
    """

    commit_times: list = attrs.Factory(list)
    changes: list = attrs.Factory(list)

    def pop_all(self):
        """Return commit times and changes since the last call."""
        taken = self.commit_times, self.changes
        self.commit_times, self.changes = [], []
        return taken
