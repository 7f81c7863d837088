"""Log lines on state changes, aggregated to limit their rate."""

__all__ = ["ChangeLog"]

# Interval in which further events of one kind are combined into one line.
AGGREGATION_INTERVAL_S = 1.0
# Further subjects of a combined line are only counted.
MAX_LISTED_SUBJECTS = 8
# Events that follow an order of an operator: few, and their order in time matters.
UNFOLDED_EVENTS = frozenset(
    ("failure domain evacuated", "failure domain evacuation ended")
)


class ChangeLog:
    """Logs the first event of a kind immediately and aggregates those that follow.

    Args:
        log: Logger.
    """

    def __init__(self, log):
        self._log = log
        self._next_line_at_s = {}
        self._pending = {}

    def record(self, now_s, event, subject, **fields):
        """Log an event, or add it to the next aggregated line.

        Args:
            now_s: Current time.
            event: Kind of event, from a fixed set.
            subject: What changed.
            **fields: Inputs of the decision; an aggregated line omits them.
        """
        is_folded = event not in UNFOLDED_EVENTS
        if is_folded and now_s < self._next_line_at_s.get(event, 0.0):
            self._pending.setdefault(event, []).append(subject)
            return
        self._next_line_at_s[event] = now_s + AGGREGATION_INTERVAL_S
        self._log.info(event, subject=subject, **fields)

    def tick(self, now_s):
        """Log the aggregated events whose interval has passed."""
        for event in [e for e in self._pending if now_s >= self._next_line_at_s[e]]:
            subjects = self._pending.pop(event)
            self._next_line_at_s[event] = now_s + AGGREGATION_INTERVAL_S
            self._log.info(
                event, count=len(subjects), subjects=subjects[:MAX_LISTED_SUBJECTS]
            )
