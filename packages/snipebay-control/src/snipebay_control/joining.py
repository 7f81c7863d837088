"""Membership of the control group: bootstrap, discovery, joining and removal."""

from snipebay_model.messages import Hello
from snipebay_model.node_names import instance_id_of

from snipebay_control.membership import next_members

__all__ = ["JoinProtocol"]


class JoinProtocol:
    """Exchanges ``Hello`` messages to bootstrap the control group or to join it.

    Args:
        cfg: Settings of the control instance.
        raft: Its Raft member.

    Attributes:
        peers: Ids of the control instances to contact.
        joining_members: Nodes that asked to join, by instance id.
    """

    def __init__(self, cfg, raft):
        self.peers = tuple(cfg.peers)
        self.joining_members = {}
        self._cfg = cfg
        self._raft = raft
        self._own_id = instance_id_of(cfg.node)
        self._discovered_ids = set()
        self._peer_hellos = {}
        self._next_hello_s = 0.0

    def tick(self, now_s):
        """Return the ``Hello`` messages to send, and bootstrap a group of one.

        Instances without members send them, and so does a member that has missed
        the heartbeats of a leader, as it may have been removed from the group.
        """
        members = self._raft.members
        if now_s < self._next_hello_s or (
            members and not self._missed_heartbeats(now_s)
        ):
            return []
        self._next_hello_s = now_s + self._cfg.hello_interval_s
        if not self._cfg.dynamic_membership and len(self.peers) == 1:
            self._raft.bootstrap({self._cfg.node: True})
        known = {*self._discovered_ids, *map(instance_id_of, members)}
        targets = dict.fromkeys((*self.peers, *sorted(known)))
        return [(target, Hello(True)) for target in targets if target != self._own_id]

    def receive_hello(self, sender, msg):
        """Handle a ``Hello`` request or reply, and return the replies to send."""
        if self._cfg.dynamic_membership:
            return self._on_discovery_hello(sender, msg)
        if instance_id_of(sender) in self.peers:
            return self._on_peer_hello(sender, msg)
        return []

    def change_members(self):
        """Propose the next membership change, if this is the leader and one is due."""
        raft, cfg = self._raft, self._cfg
        members = next_members(
            raft.members,
            self.joining_members.values(),
            raft.match_index,
            raft.log.last_index,
            lambda node: raft.acked_within(node, cfg.raft.election_max_s),
            lambda node: (
                cfg.dynamic_membership
                and raft.is_unreachable(node, cfg.unreachable_timeout_s)
            ),
            len(cfg.initial_voters),
        )
        if members is None:
            return
        # A removed member must not be added again by its old request to join.
        removed = set(raft.members) - set(members)
        self.joining_members = {
            i: n for i, n in self.joining_members.items() if n not in removed
        }
        raft.propose_members(members)

    def _missed_heartbeats(self, now_s):
        """Return True if a member has long received no heartbeat of a leader."""
        timeout_s = 2 * self._cfg.raft.election_max_s
        return (
            self._cfg.dynamic_membership
            and self._raft.since_leader_contact_s(now_s) >= timeout_s
        )

    def _on_discovery_hello(self, sender, msg):
        """Register a request to join, or collect further ids to contact."""
        if not msg.fresh:
            self._discovered_ids.update(instance_id_of(node) for node, _ in msg.members)
        if not msg.fresh or not self._raft.members:
            return []
        self.joining_members[instance_id_of(sender)] = sender
        return [(sender, Hello(False, tuple(sorted(self._raft.members.items()))))]

    def _on_peer_hello(self, sender, msg):
        """Bootstrap once all peers have sent a ``fresh`` Hello, or rejoin the group."""
        replies = []
        if msg.fresh:
            self.joining_members[instance_id_of(sender)] = sender
            if self._raft.members:
                members = tuple(sorted(self._raft.members.items()))
                replies.append((sender, Hello(False, members)))
        if self._raft.members:
            return replies
        self._peer_hellos[instance_id_of(sender)] = (sender, msg.fresh)
        if dict(msg.members).get(self._cfg.node):
            # The group was bootstrapped with this incarnation as a voter, so the
            # initial configuration holds for its empty disk.
            self._raft.bootstrap(dict(msg.members))
            return replies
        others = [self._peer_hellos.get(p) for p in self.peers if p != self._own_id]
        if all(hello is not None and hello[1] for hello in others):
            nodes = [self._cfg.node, *(hello[0] for hello in others)]
            self._raft.bootstrap(dict.fromkeys(nodes, True))
        return replies
