"""Leases that a leader keeps in memory, and what their holders reported."""

import attrs
from snipebay_model.messages import Renew

__all__ = ["LeaseTiming", "Sessions"]


@attrs.frozen
class LeaseTiming:
    """Leases of the system's own instances, in seconds.

    Attributes:
        entry_lease_s: Lease of an entry instance, from when it asked.
        completion_grace_s: Further time in which work that it started may end.
        reap_s: Between two commands that move the cluster's clock.
        backend_lease_s: Lease of a backend server whose service sets none.
        needs_live_peer: True when an entry instance may be removed only while
            another one of its region can tell it so, since it may hold slots.
    """

    entry_lease_s: float = 3.0
    completion_grace_s: float = 2.0
    reap_s: float = 1.0
    backend_lease_s: float = 3.0
    needs_live_peer: bool = True


@attrs.define
class Sessions:
    """What the current leader knows of entry instances and backend servers.

    A new leader starts with full leases for everyone, since it can't know what
    the leader before it had granted.
    """

    timing: LeaseTiming
    backend_lease_s: dict = attrs.Factory(dict)
    entry_until_s: dict = attrs.Factory(dict)
    backend_expires_s: dict = attrs.Factory(dict)
    reports: dict = attrs.Factory(dict)

    def start(self, state, now_s):
        """Begin a leadership."""
        self.reports.clear()
        self.entry_until_s = {
            entry_id: self._entry_end(now_s) for entry_id in state.entries
        }
        self.backend_expires_s = {
            backend_id: self._backend_end(row.service, now_s)
            for backend_id, row in state.backends.items()
        }

    def renew(self, msg: Renew, state, now_s):
        """Take note of an entry instance's report."""
        entry_id = msg.row.entry_id
        self.grant_entry(entry_id, now_s)
        self.reports[entry_id] = msg
        for backend_id in msg.backends_seen:
            if backend_id in state.backends:
                self.touch_backend(
                    backend_id, state.backends[backend_id].service, now_s
                )

    def grant_entry(self, entry_id, now_s):
        """Start a lease for an entry instance that joins, whatever it had before."""
        self.entry_until_s[entry_id] = self._entry_end(now_s)

    def touch_backend(self, backend_id, service, now_s):
        """Extend a backend server's lease."""
        self.backend_expires_s[backend_id] = self._backend_end(service, now_s)

    def lapsed_entries(self, state, now_s):
        """Return rows of entry instances to remove, their leases being over.

        Instances of one region that are cut off together go on serving it, on
        each other's word. So a row is removed only when an instance of its
        region that it knows of is alive: by that one's beats it learns to stop.
        """
        rows = [row for _, row in sorted(state.entries.items())]
        live = [row for row in rows if self.is_live(row.entry_id, now_s)]
        return [
            row
            for row in rows
            if row not in live
            and (not self.timing.needs_live_peer or self._has_witness(row, live))
        ]

    def is_live(self, entry_id, now_s):
        """Return True while an entry instance's lease and settling time last."""
        end_s = self.entry_until_s.setdefault(entry_id, self._entry_end(now_s))
        return now_s < end_s

    def lapsed_backends(self, state, now_s):
        """Return rows of backend servers whose lease is over."""
        return [
            row
            for backend_id, row in sorted(state.backends.items())
            if self.backend_expires_s.setdefault(
                backend_id, self._backend_end(row.service, now_s)
            )
            <= now_s
        ]

    def in_force(self, state):
        """Return the revision that every entry instance has in force."""
        reports = [self._report(row) for row in state.entries.values()]
        if not reports:
            return state.revision
        return min(msg.applied if msg else 0 for msg in reports)

    def demand(self, state):
        """Return rows of service, region and the slots that its requests need."""
        totals = {}
        for row in state.entries.values():
            msg = self._report(row)
            for service, count in (msg.needs if msg else {}).items():
                key = (service, row.region)
                totals[key] = totals.get(key, 0.0) + count
        return tuple((*key, totals[key]) for key in sorted(totals))

    def settled(self, state, region):
        """Return the revision that every entry instance of a region has settled."""
        reports = [
            self._report(row) for row in state.entries.values() if row.region == region
        ]
        if not reports:
            return state.revision
        return min(msg.settled if msg else 0 for msg in reports)

    def drained(self, state, now_s):
        """Return backend servers that leave and have no work left anywhere."""
        return tuple(
            row.backend_id
            for _, row in sorted(state.backends.items())
            if not row.is_open
            and all(
                self._has_left(entry, row)
                for entry in state.entries.values()
                if entry.region == row.region or self.is_live(entry.entry_id, now_s)
            )
        )

    def _has_left(self, entry, backend):
        """Return True when an entry instance is done with a backend server."""
        msg = self._report(entry)
        return (
            msg is not None
            and msg.applied >= backend.since_revision
            and backend.backend_id not in msg.busy_leaving
        )

    def _has_witness(self, row, live):
        """Return True when a live instance can tell another one to stop."""
        return any(
            other.region == row.region and self._knows(row, other) for other in live
        )

    def _knows(self, row, other):
        """Return True when an entry instance's view holds another one."""
        msg = self._report(row)
        return other.since_revision <= (msg.applied if msg else row.since_revision)

    def _report(self, row):
        """Return the report of the incarnation in the table, or None."""
        msg = self.reports.get(row.entry_id)
        if msg is None or msg.row.incarnation != row.incarnation:
            return None
        return msg

    def _entry_end(self, now_s):
        return now_s + self.timing.entry_lease_s + self.timing.completion_grace_s

    def _backend_end(self, service, now_s):
        return now_s + self.backend_lease_s.get(service, self.timing.backend_lease_s)
