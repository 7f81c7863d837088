"""Decides whether an entry instance may start work, by lease or peer heartbeats.

While control is unreachable, no instance can take over slots. The instances of a
region confirm this to each other: each heartbeat echoes the receiver's own clock,
so a recent echo proves that the peer held the same view revision at that time.
"""

import attrs

__all__ = ["LeaseState"]


@attrs.define
class _PeerHeartbeat:
    """Last heartbeat received from one peer."""

    incarnation: str
    revision: int
    sent_ms: int
    echo_ms: int


@attrs.define
class LeaseState:
    """Lease and peer heartbeats of one entry instance.

    Attributes:
        entry_id: Id of this instance.
        region: Region of this instance.
        peer_timeout_s: Age from which on an echo no longer counts.
        lease_until_s: End of the lease, which runs from when it was requested.
        peers: Last heartbeat received, by instance id.
    """

    entry_id: str
    region: str
    peer_timeout_s: float
    lease_until_s: float = float("-inf")
    peers: dict = attrs.Factory(dict)

    def renew(self, sent_ms, lease_ms):
        """Extend the lease, which runs from when the renewal was sent."""
        self.lease_until_s = max(self.lease_until_s, (sent_ms + lease_ms) / 1_000)

    def record_heartbeat(self, heartbeat):
        """Store a peer's heartbeat unless a newer one has arrived before it."""
        known = self.peers.get(heartbeat.entry_id)
        is_same_run = known is not None and known.incarnation == heartbeat.incarnation
        if is_same_run and heartbeat.sent_ms <= known.sent_ms:
            return
        self.peers[heartbeat.entry_id] = _PeerHeartbeat(
            heartbeat.incarnation,
            heartbeat.revision,
            heartbeat.sent_ms,
            heartbeat.echo_ms,
        )

    def echo_for(self, entry_id):
        """Return the clock value in a peer's last heartbeat, to echo it back."""
        heartbeat = self.peers.get(entry_id)
        return heartbeat.sent_ms if heartbeat else 0

    def has_lease(self, now_s):
        return now_s < self.lease_until_s

    def is_peer_responsive(self, entry_id, now_s):
        """Return True when a peer has recently echoed this instance's clock."""
        heartbeat = self.peers.get(entry_id)
        return (
            heartbeat is not None
            and now_s - heartbeat.echo_ms / 1_000 < self.peer_timeout_s
        )

    def may_serve(self, view, now_s):
        """Return True while no other instance can have taken over the local slots."""
        if self.has_lease(now_s):
            return True
        if view.revision == 0:
            return False
        return all(
            self.is_peer_responsive(row.entry_id, now_s)
            and self.peers[row.entry_id].revision == view.revision
            for row in self.region_peers(view)
        )

    def region_peers(self, view):
        """Return the rows of the other entry instances of the local region."""
        return [
            row
            for row in view.entries
            if row.region == self.region and row.entry_id != self.entry_id
        ]
