"""Leases of entry instances and backend servers, kept in the leader's memory."""

import attrs
from snipebay_model.key_sketch import estimate_count, join_sketches
from snipebay_model.messages import Renew

__all__ = ["LeaseTiming", "Sessions"]

# Share of the entry instances that must have reported before their keys are counted: a
# new leader would otherwise announce a few, and keys would move.
MIN_REPORTED_SHARE = 0.8


@attrs.frozen
class LeaseTiming:
    """Durations of leases and of the intervals around them, in seconds.

    Attributes:
        entry_lease_s: Lease of an entry instance, counted from when it sent the
            request.
        completion_grace_s: Time after the lease in which an entry instance may
            complete the work that it started.
        clock_interval_s: Interval between commands that advance the cluster time.
        backend_lease_s: Default lease of a backend server.
        needs_live_peer: True if an entry instance may be removed only while a
            live instance of its region can notify it, since it may hold slots.
    """

    entry_lease_s: float = 3.0
    completion_grace_s: float = 2.0
    clock_interval_s: float = 1.0
    backend_lease_s: float = 3.0
    needs_live_peer: bool = True


@attrs.define
class Sessions:
    """Leases that the leader granted, and the last reports of entry instances.

    A new leader starts with full leases for everyone, since it can't know which
    leases the previous leader granted.

    Attributes:
        timing: Durations.
        backend_lease_s: Lease of backend servers by service, where set.
        entry_expires_s: End of lease and grace time by entry instance.
        backend_expires_s: End of the lease by backend server.
        reports: Last ``Renew`` message by entry instance.
    """

    timing: LeaseTiming
    backend_lease_s: dict = attrs.Factory(dict)
    entry_expires_s: dict = attrs.Factory(dict)
    backend_expires_s: dict = attrs.Factory(dict)
    reports: dict = attrs.Factory(dict)

    def start(self, state, now_s):
        """Grant full leases to all at the start of a leadership."""
        self.reports.clear()
        self.entry_expires_s = {
            entry_id: self._entry_expiry_s(now_s) for entry_id in state.entries
        }
        self.backend_expires_s = {
            backend_id: self._backend_expiry_s(row.service, now_s)
            for backend_id, row in state.backends.items()
        }

    def renew(self, msg: Renew, state, now_s):
        """Renew the leases of an entry instance and the backend servers it has seen."""
        entry_id = msg.row.entry_id
        self.grant_entry(entry_id, now_s)
        self.reports[entry_id] = msg
        for backend_id in msg.backends_seen:
            if backend_id in state.backends:
                self.renew_backend(
                    backend_id, state.backends[backend_id].service, now_s
                )

    def grant_entry(self, entry_id, now_s):
        """Grant an entry instance a full lease, regardless of an earlier one."""
        self.entry_expires_s[entry_id] = self._entry_expiry_s(now_s)

    def renew_backend(self, backend_id, service, now_s):
        """Renew a backend server's lease."""
        self.backend_expires_s[backend_id] = self._backend_expiry_s(service, now_s)

    def expired_entries(self, state, now_s):
        """Return rows of entry instances with an expired lease that may be removed.

        Instances of a region that are partitioned together keep serving on each
        other's heartbeats. So, with ``needs_live_peer``, an instance is removed
        only if its view contains a live one of its region: that one's heartbeats
        then carry a newer revision, on which the removed instance stops.
        """
        rows = [row for _, row in sorted(state.entries.items())]
        live_ids = {i for i in state.entries if self.is_live(i, now_s)}
        live = [row for row in rows if row.entry_id in live_ids]
        return [
            row
            for row in rows
            if row.entry_id not in live_ids
            and (not self.timing.needs_live_peer or self._has_live_peer(row, live))
        ]

    def is_live(self, entry_id, now_s):
        """Return True until an entry instance's lease and grace time have expired."""
        expires_s = self.entry_expires_s.setdefault(
            entry_id, self._entry_expiry_s(now_s)
        )
        return now_s < expires_s

    def without_workspaces(self, state, now_s):
        """Return the ids of live entry instances that may not read workspaces.

        One that has not reported to this leader yet counts as such.
        """
        reports = {
            entry_id: self._report(row)
            for entry_id, row in sorted(state.entries.items())
            if self.is_live(entry_id, now_s)
        }
        return [i for i, msg in reports.items() if not (msg and msg.reads_workspaces)]

    def expired_backends(self, state, now_s):
        """Return rows of backend servers with an expired lease."""
        return [
            row
            for backend_id, row in sorted(state.backends.items())
            if self.backend_expires_s.setdefault(
                backend_id, self._backend_expiry_s(row.service, now_s)
            )
            <= now_s
        ]

    def in_force(self, state):
        """Return the newest revision that all entry instances have applied."""
        reports = [self._report(row) for row in state.entries.values()]
        if not reports:
            return state.revision
        return min(msg.applied if msg else 0 for msg in reports)

    def demand(self, state):
        """Return rows of service, region and the number of slots that requests need."""
        totals = {}
        for row in state.entries.values():
            msg = self._report(row)
            for service, count in (msg.needs if msg else {}).items():
                key = (service, row.region)
                totals[key] = totals.get(key, 0.0) + count
        return tuple((*key, totals[key]) for key in sorted(totals))

    def key_counts(self, state):
        """Return rows of service, region and the number of affinity keys sent there."""
        reports = [self._report(row) for row in state.entries.values()]
        known = [msg for msg in reports if msg is not None]
        if len(known) < MIN_REPORTED_SHARE * len(reports):
            return ()
        sketches = {}
        for msg in known:
            for service, region, data in msg.key_sketches:
                sketches.setdefault((service, region), []).append(data)
        return tuple(
            (*key, estimate_count(join_sketches(rows)))
            for key, rows in sorted(sketches.items())
        )

    def isolated(self, state):
        """Return the ids of entry instances that reach no backend server."""
        reports = ((row.entry_id, self._report(row)) for row in state.entries.values())
        return tuple(sorted(name for name, msg in reports if msg and msg.is_isolated))

    def settled(self, state, region):
        """Return the newest revision that all entry instances of a region settled.

        An entry instance has settled a revision when all its running requests
        fit into the slots that the revision assigns to it.
        """
        reports = [
            self._report(row) for row in state.entries.values() if row.region == region
        ]
        if not reports:
            return state.revision
        return min(msg.settled if msg else 0 for msg in reports)

    def drained(self, state, now_s):
        """Return leaving backend servers that no entry instance uses any more.

        Live entry instances count, and all those of the backend server's region.
        """
        return tuple(
            row.backend_id
            for _, row in sorted(state.backends.items())
            if not row.is_open
            and all(
                self._has_drained(entry, row)
                for entry in state.entries.values()
                if entry.region == row.region or self.is_live(entry.entry_id, now_s)
            )
        )

    def _has_drained(self, entry, backend):
        """Return True if an entry instance has no work left on a backend server."""
        msg = self._report(entry)
        return (
            msg is not None
            and msg.applied >= backend.since_revision
            and backend.backend_id not in msg.busy_leaving
        )

    def _has_live_peer(self, row, live):
        """Return True if an instance's view contains a live one of its region."""
        return any(
            other.region == row.region and self._view_contains(row, other)
            for other in live
        )

    def _view_contains(self, row, other):
        """Return True if an entry instance's view contains another one."""
        msg = self._report(row)
        return other.since_revision <= (msg.applied if msg else row.since_revision)

    def _report(self, row):
        """Return the report of the current incarnation, or None."""
        msg = self.reports.get(row.entry_id)
        if msg is None or msg.row.incarnation != row.incarnation:
            return None
        return msg

    def _entry_expiry_s(self, now_s):
        return now_s + self.timing.entry_lease_s + self.timing.completion_grace_s

    def _backend_expiry_s(self, service, now_s):
        return now_s + self.backend_lease_s.get(service, self.timing.backend_lease_s)
