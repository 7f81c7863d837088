"""Whether an entry instance may start work: its lease, or its peers' word.

While control is away nobody can take over slots, and the instances of a region
tell each other so: each beat echoes the receiver's own clock, so a fresh echo
proves that the peer still held the same revision a moment ago.
"""

import attrs

__all__ = ["LeaseState"]


@attrs.define
class _PeerMark:
    """Newest beat of one peer."""

    incarnation: str
    revision: int
    sent_ms: int
    echo_ms: int


@attrs.define
class LeaseState:
    """Lease and peers of one entry instance.

    Attributes:
        entry_id: Our instance id.
        region: Our region.
        fresh_s: Age at which an echo no longer counts.
        lease_until_s: End of the lease, counted from when we asked.
        peers: Newest beat by instance id.
    """

    entry_id: str
    region: str
    fresh_s: float
    lease_until_s: float = float("-inf")
    peers: dict = attrs.Factory(dict)

    def renew(self, sent_ms, lease_ms):
        """Take a lease that runs from when it was asked for."""
        self.lease_until_s = max(self.lease_until_s, (sent_ms + lease_ms) / 1_000)

    def hear(self, beat):
        """Take in a peer's beat."""
        known = self.peers.get(beat.entry_id)
        if known is None or (beat.sent_ms, beat.incarnation) != (
            known.sent_ms,
            known.incarnation,
        ):
            self.peers[beat.entry_id] = _PeerMark(
                beat.incarnation, beat.revision, beat.sent_ms, beat.echo_ms
            )

    def echo_for(self, entry_id):
        """Return the newest clock value that a peer sent us."""
        mark = self.peers.get(entry_id)
        return mark.sent_ms if mark else 0

    def has_lease(self, now_s):
        return now_s < self.lease_until_s

    def is_fresh(self, entry_id, now_s):
        """Return True when a peer lately answered us."""
        mark = self.peers.get(entry_id)
        return mark is not None and now_s - mark.echo_ms / 1_000 < self.fresh_s

    def may_serve(self, view, now_s):
        """Return True while no other instance can have taken over our slots."""
        if self.has_lease(now_s):
            return True
        if view.revision == 0:
            return False
        return all(
            self.is_fresh(row.entry_id, now_s)
            and self.peers[row.entry_id].revision == view.revision
            for row in self.region_peers(view)
        )

    def region_peers(self, view):
        """Return the rows of the other entry instances of our region."""
        return [
            row
            for row in view.entries
            if row.region == self.region and row.entry_id != self.entry_id
        ]
