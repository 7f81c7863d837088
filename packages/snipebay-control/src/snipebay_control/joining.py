"""Who belongs to the control group: greetings, founding, newcomers, the lost."""

from snipebay_model.messages import Hello

from snipebay_control.membership import instance_id_of, next_members

__all__ = ["Joining"]


class Joining:
    """Greets others while we belong to no group, and notes who greets us.

    Args:
        cfg: Settings of the control instance.
        raft: Its replicated log.

    Attributes:
        newcomers: Node that wants to join, by instance id.
    """

    def __init__(self, cfg, raft):
        self.peers = tuple(cfg.peers)
        self.newcomers = {}
        self._cfg = cfg
        self._raft = raft
        self._own_id = instance_id_of(cfg.node)
        self._contacts = set()
        self._hellos = {}
        self._next_s = 0.0

    def greet(self, now_s):
        """Return the greetings to send, and found a group of one.

        A member that no leader has talked to for long may have been taken out
        of the list, and greets as well.
        """
        members = self._raft.members
        if now_s < self._next_s or (members and not self._is_forsaken(now_s)):
            return []
        self._next_s = now_s + self._cfg.hello_s
        if not self._cfg.dynamic_membership and len(self.peers) == 1:
            self._raft.bootstrap({self._cfg.node: True})
        known = {*self._contacts, *map(instance_id_of, members)}
        targets = dict.fromkeys((*self.peers, *sorted(known)))
        return [(target, Hello(True)) for target in targets if target != self._own_id]

    def hear(self, sender, msg):
        """Take in a greeting or its answer, and return the answers to send."""
        if self._cfg.dynamic_membership:
            return self._hear_any(sender, msg)
        if instance_id_of(sender) in self.peers:
            return self._hear_peer(sender, msg)
        return []

    def change_members(self):
        """Propose the next change of the member list as leader, if one is due."""
        raft, cfg = self._raft, self._cfg
        members = next_members(
            raft.members,
            self.newcomers.values(),
            raft.match_index,
            raft.log.last_index,
            lambda node: raft.heard_within(node, cfg.raft.election_max_s),
            lambda node: (
                cfg.dynamic_membership
                and raft.is_silent(node, cfg.unreachable_timeout_s)
            ),
            len(cfg.initial_voters),
        )
        if members is None:
            return
        # One that is taken out must not count as a newcomer any more.
        out = set(raft.members) - set(members)
        self.newcomers = {i: n for i, n in self.newcomers.items() if n not in out}
        raft.propose_members(members)

    def _is_forsaken(self, now_s):
        """Return True for a member that has not heard a leader for long."""
        patience_s = 2 * self._cfg.raft.election_max_s
        return (
            self._cfg.dynamic_membership and self._raft.silence_s(now_s) >= patience_s
        )

    def _hear_any(self, sender, msg):
        """Let a newcomer join, or learn as one whom else to ask."""
        if not msg.fresh:
            self._contacts.update(instance_id_of(node) for node, _ in msg.members)
        if not msg.fresh or not self._raft.members:
            return []
        self.newcomers[instance_id_of(sender)] = sender
        return [(sender, Hello(False, tuple(sorted(self._raft.members.items()))))]

    def _hear_peer(self, sender, msg):
        """Found the group once all peers greet, or join the one that there is."""
        answers = []
        if msg.fresh:
            self.newcomers[instance_id_of(sender)] = sender
            if self._raft.members:
                members = tuple(sorted(self._raft.members.items()))
                answers.append((sender, Hello(False, members)))
        if self._raft.members:
            return answers
        self._hellos[instance_id_of(sender)] = (sender, msg.fresh)
        if dict(msg.members).get(self._cfg.node):
            # Our disk is the one that the first member list was made with.
            self._raft.bootstrap(dict(msg.members))
            return answers
        others = [self._hellos.get(p) for p in self.peers if p != self._own_id]
        if all(hello is not None and hello[1] for hello in others):
            nodes = [self._cfg.node, *(hello[0] for hello in others)]
            self._raft.bootstrap(dict.fromkeys(nodes, True))
        return answers
