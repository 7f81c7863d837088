"""Log lines on what a process believes, with repeats folded into counts."""

__all__ = ["ChangeLog"]

# Time in which further changes of one kind are folded into one line.
FOLD_S = 1.0
# Names that a folded line gives; of the others only the number.
NAMED_MOST = 8


class ChangeLog:
    """Writes the first change of a kind at once, and folds those that follow.

    Args:
        log: Logger.
    """

    def __init__(self, log):
        self._log = log
        self._until_s = {}
        self._folded = {}

    def record(self, now_s, event, subject, **fields):
        """Take in a change.

        Args:
            now_s: Time.
            event: Kind of change, from a fixed set.
            subject: What changed.
            **fields: What decided it.
        """
        if now_s < self._until_s.get(event, 0.0):
            self._folded.setdefault(event, []).append(subject)
            return
        self._until_s[event] = now_s + FOLD_S
        self._log.info(event, subject=subject, **fields)

    def tick(self, now_s):
        """Write the folded changes whose time is over."""
        for event in [e for e in self._folded if now_s >= self._until_s[e]]:
            subjects = self._folded.pop(event)
            self._until_s[event] = now_s + FOLD_S
            self._log.info(event, count=len(subjects), subjects=subjects[:NAMED_MOST])
