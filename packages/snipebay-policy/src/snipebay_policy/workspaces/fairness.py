"""Recent use of this instance by each workspace."""

import math

__all__ = ["WorkspaceUse"]

# Time constant of the counts: some times the length of a burst.
WINDOW_S = 10.0
# Workspaces that are counted; beyond them, those with the least use are dropped.
MAX_WORKSPACES = 1_024
# Counts below this are dropped when room is needed.
MIN_COUNT = 0.01


class WorkspaceUse:
    """Decaying counts of the dispatched requests by workspace."""

    def __init__(self):
        self._counts = {}

    def record(self, name, now_s):
        """Count a dispatched request of a workspace."""
        if name not in self._counts and len(self._counts) >= MAX_WORKSPACES:
            self._make_room(now_s)
        self._counts[name] = self.recent(name, now_s) + 1.0, now_s

    def recent(self, name, now_s):
        """Return the recent use of a workspace, 0.0 for None or an unknown one."""
        count, updated_s = self._counts.get(name, (0.0, now_s))
        return count * math.exp(-max(0.0, now_s - updated_s) / WINDOW_S)

    def _make_room(self, now_s):
        """Drop workspaces without recent use, at least an eighth of all."""
        recent = {name: self.recent(name, now_s) for name in self._counts}
        kept = sorted(recent, key=recent.get)[MAX_WORKSPACES // 8 :]
        self._counts = {
            name: (recent[name], now_s) for name in kept if recent[name] >= MIN_COUNT
        }
