"""Rate limits of backend servers that entry instances report to the leader."""

import attrs
from snipebay_model.messages import RateLimitReport

__all__ = ["RateLimitBoard"]

# Ended limits are passed on for this long, until all instances have renewed.
ENDED_RETENTION_S = 30.0
# Relative change of a limit that instances are told of.
MIN_CHANGE = 0.1


@attrs.define
class _Row:
    report: RateLimitReport
    observed_s: float


class RateLimitBoard:
    """Newest report on each limited backend server, in the leader's memory.

    A new leader starts without any, and instances report theirs again.

    Attributes:
        version: Term of the leader and number of the last change.
    """

    def __init__(self):
        self.version = (0, 0)
        self._rows = {}

    def start(self, term):
        """Start the term of a new leader."""
        self.version = (term, 0)
        self._rows.clear()

    def merge(self, reports, backends, now_s):
        """Use the reports that are newer than what is known.

        Args:
            reports: Reports of an entry instance.
            backends: :class:`BackendRow` by id; reports on others are ignored.
            now_s: Current time.
        """
        for report in reports:
            backend = backends.get(report.backend_id)
            if backend is None or backend.born_ms != report.born_ms:
                continue
            observed_s = now_s - report.age_ms / 1_000
            known = self._rows.get(report.backend_id)
            if known is None or observed_s > known.observed_s:
                self._rows[report.backend_id] = _Row(report, observed_s)
                if known is None or _differs(known.report, report):
                    self._bump()

    def expire(self, backends, now_s):
        """Drop limits that ended long ago or whose backend servers are gone."""
        kept = {
            name: row
            for name, row in self._rows.items()
            if name in backends
            and backends[name].born_ms == row.report.born_ms
            and (not row.report.is_ended or now_s < row.observed_s + ENDED_RETENTION_S)
        }
        if len(kept) < len(self._rows):
            self._rows = kept
            self._bump()

    def reports(self, version, now_s):
        """Return all reports, or None for a receiver that has this version."""
        if version == self.version:
            return None
        return tuple(
            attrs.evolve(row.report, age_ms=int((now_s - row.observed_s) * 1_000))
            for row in self._rows.values()
        )

    def _bump(self):
        term, number = self.version
        self.version = (term, number + 1)


def _differs(old, new):
    return (
        old.born_ms != new.born_ms
        or old.is_ended != new.is_ended
        or abs(old.per_s - new.per_s) > MIN_CHANGE * old.per_s
    )
