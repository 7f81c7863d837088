"""Replicated log by the Raft algorithm, without I/O or clock.

Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, with
pre-vote (9.6), check-quorum (6.2), leadership transfer (3.10) and changes of
one member at a time (4.1).
"""

import attrs
import msgspec
from snipebay_model.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)

from snipebay_control.raft_log import HardState, RaftLog, Snapshot

__all__ = ["Raft", "RaftTiming", "Ready", "decode_members", "encode_members"]

BATCH_ENTRIES = 256
BATCH_BYTES = 512 * 1024
ROUNDS_KEPT = 256
MEMBERS_TYPE = tuple[tuple[str, bool], ...]


def encode_members(members):
    """Return the bytes of a member list for the log."""
    return msgspec.msgpack.encode(sorted(members.items()))


def decode_members(data):
    """Return the member table from its bytes in the log."""
    return dict(msgspec.msgpack.decode(data, type=MEMBERS_TYPE))


@attrs.frozen
class RaftTiming:
    """Times that all control instances share, in seconds.

    Attributes:
        heartbeat_s: Between two rounds of an idle leader.
        election_min_s: Silence after which another leader may be chosen.
        election_max_s: Longest wait before standing for election.
        leader_lease_s: Silence of the quorum after which a leader steps down.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    leader_lease_s: float = 0.8


@attrs.define
class Ready:
    """Work for the adapter, to be done in the order of the attributes.

    Attributes:
        hard_state: To be stored, or None.
        snapshot: Received snapshot to store instead of the log, or None.
        entries: To be stored from the first one's index on.
        messages: Pairs of node and message, to send once all is synced.
        committed: Entries to apply, in order.
        compacted: Snapshot of our own state that replaces the log up to its
            index, or None.
        reads: Read requests that are confirmed as current.
        reads_lost: Read requests that can't be served here any more.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list = attrs.Factory(list)
    messages: list = attrs.Factory(list)
    committed: list = attrs.Factory(list)
    compacted: Snapshot | None = None
    reads: list = attrs.Factory(list)
    reads_lost: list = attrs.Factory(list)

    @property
    def needs_sync(self):
        return bool(self.hard_state or self.snapshot or self.entries)

    @property
    def is_empty(self):
        return not any(attrs.astuple(self, recurse=False))


@attrs.define
class _Progress:
    """What a leader knows of one member, and since when it asks."""

    next_index: int
    since_s: float
    match_index: int = 0
    acked_s: float = float("-inf")
    acked_round: int = 0


class Raft:
    """One member of the replicated log.

    Args:
        node: Our name, ``id#incarnation``.
        stored: What the disk held.
        rng: ``numpy.random.Generator`` for election timeouts.
        now_s: Time of the start.
        timing: Times shared by all members.
    """

    def __init__(self, node, stored, rng, now_s, timing=None):
        self.node = node
        self.timing = timing or RaftTiming()
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.log = RaftLog(stored.snapshot, list(stored.entries))
        self.commit_index = self.log.snapshot.index
        self.role = "follower"
        self.leader = ""
        self.members = {}
        self._members_index = 0
        self._rng = rng
        self._now_s = now_s
        # A leader that we followed before a restart may still hold its lease.
        self._heard_s = now_s
        self._deadline_s = 0.0
        self._votes = set()
        self._progress = {}
        self._round = 0
        self._round_sent_s = {}
        self._next_round_s = 0.0
        self._broadcast_due = False
        self._reads = []
        self._stable_index = self.log.last_index
        self._applied = self.commit_index
        self._ready = Ready()
        self._load_members()
        self._reset_deadline()
        if self._led_last(node):
            self._deadline_s = now_s

    # --- state ------------------------------------------------------------

    @property
    def is_leader(self):
        return self.role == "leader"

    @property
    def is_voter(self):
        return self.members.get(self.node, False)

    @property
    def voters(self):
        return [node for node, voter in self.members.items() if voter]

    @property
    def leads_current_term(self):
        """True for a leader whose own term has a committed entry."""
        return self.is_leader and self.log.term(self.commit_index) == self.term

    def holds_lease(self, now_s):
        """Return True while no other leader can have been chosen."""
        return (
            self.leads_current_term
            and now_s - self._quorum_acked_s(now_s) < self.timing.leader_lease_s
        )

    def match_index(self, node):
        """Return the last index that a leader knows to be stored at a member."""
        return self._progress[node].match_index if node in self._progress else 0

    def heard_within(self, node, seconds):
        """Return True when a leader had a member's answer within that time."""
        if node == self.node:
            return True
        progress = self._progress.get(node)
        return progress is not None and self._now_s - progress.acked_s <= seconds

    def is_silent(self, node, seconds):
        """Return True when a leader has asked a member for so long in vain."""
        progress = self._progress.get(node)
        if node == self.node or progress is None:
            return False
        return self._now_s - max(progress.acked_s, progress.since_s) >= seconds

    def silence_s(self, now_s):
        """Return how long no leader has been heard, 0 for a leader."""
        return 0.0 if self.is_leader else now_s - self._heard_s

    # --- inputs -----------------------------------------------------------

    def bootstrap(self, members):
        """Start with a first member list that all first members agree on."""
        self._install(Snapshot(members=tuple(sorted(members.items()))))
        self._reset_deadline()

    def tick(self, now_s):
        """Move the clock and do what has become due."""
        self._now_s = now_s
        if self.is_leader:
            if now_s - self._quorum_acked_s(now_s) >= self.timing.leader_lease_s:
                self._become_follower(self.term)
            elif self._broadcast_due or now_s >= self._next_round_s:
                self._broadcast()
        elif now_s >= self._deadline_s and self.is_voter:
            self._campaign(pre=True)

    def propose(self, data, kind="command"):
        """Append an entry as leader; return its index, or None elsewhere."""
        if not self.is_leader:
            return None
        index = self.log.last_index + 1
        self._append([LogEntry(index, self.term, kind, data)])
        self._broadcast_due = True
        return index

    def propose_members(self, members):
        """Change one member; return the index, or None while that can't be done."""
        pending = self._members_index > self.commit_index
        if pending or not self.leads_current_term:
            return None
        return self.propose(encode_members(members), kind="members")

    def request_read(self, request):
        """Ask for ``request`` to come back in ``Ready.reads`` once it is current."""
        if not self.leads_current_term:
            self._ready.reads_lost.append(request)
            return
        self._reads.append((self._round + 1, request))
        self._broadcast_due = True

    def transfer(self):
        """Hand leadership to the voter that is furthest on."""
        others = [node for node in self.voters if node != self.node]
        if self.is_leader and others:
            target = max(others, key=lambda node: (self.match_index(node), node))
            self._send(target, TimeoutNow(self.term))

    def compact(self, index, data):
        """Replace the log up to an applied index by our own state."""
        term = self.log.term(index)
        members = tuple(sorted(self._members_at(index).items()))
        self.log.compact(Snapshot(index, term, members, data))
        self._ready.compacted = self.log.snapshot

    def step(self, sender, msg):
        """Take in a message from another member."""
        handlers = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotRequest: self._on_snapshot_request,
            TimeoutNow: self._on_timeout_now,
        }
        # A member removed from the list must not disturb the rest, yet we may
        # be the one that lacks the newest list, so leaders are always heard.
        from_leader = isinstance(msg, AppendRequest | SnapshotRequest)
        if self.members and sender not in self.members and not from_leader:
            return
        if msg.term > self.term and self._adopts_term(msg):
            self._become_follower(msg.term)
        handlers[type(msg)](sender, msg)

    def pop_ready(self):
        """Return the work gathered since the last call."""
        if self._broadcast_due and self.is_leader:
            self._broadcast()
        ready, self._ready = self._ready, Ready()
        if self.commit_index > self._applied:
            ready.committed = self.log.between(self._applied + 1, self.commit_index)
            self._applied = self.commit_index
        return ready

    def synced(self, ready):
        """Take note that everything in ``ready`` is synced."""
        if ready.snapshot:
            self._stable_index = max(self._stable_index, ready.snapshot.index)
        if ready.entries:
            last = ready.entries[-1]
            if self.log.term(last.index) == last.term:
                self._stable_index = last.index
        if self.is_leader:
            self._advance_commit()

    # --- elections --------------------------------------------------------

    def _campaign(self, *, pre, transfer=False):
        """Ask the voters for their votes, or whether they would give them."""
        self._reset_deadline()
        if self._led_last(self.node):
            # The others may be starting too; they need not wait for our lease.
            self._deadline_s = self._now_s + self.timing.heartbeat_s
        self._votes = {self.node}
        self.leader = ""
        if pre:
            self.role = "precandidate"
            term = self.term + 1
        else:
            self.role = "candidate"
            self._set_hard_state(self.term + 1, self.node)
            term = self.term
        request = VoteRequest(
            term, self.log.last_index, self.log.last_term, pre, transfer
        )
        for node in self._others(voters_only=True):
            self._send(node, request)
        self._count_votes(pre)

    def _count_votes(self, pre):
        if len(self._votes & set(self.voters)) * 2 <= len(self.voters):
            return
        if pre:
            self._campaign(pre=False)
        else:
            self._become_leader()

    def _on_vote_request(self, sender, msg):
        """Grant a vote unless a leader was heard lately or the log is older."""
        # Asked before the term moves on, since it is the leader of ours that counts.
        # A cut-off member that comes back must not depose a leader that is heard.
        allowed = msg.transfer or (self._lets_elect(sender) and not self.is_leader)
        if msg.term > self.term and not msg.pre and allowed:
            self._become_follower(msg.term)
        free = msg.pre or self.voted_for in ("", sender)
        granted = (
            self.is_voter
            and (msg.term > self.term if msg.pre else msg.term == self.term)
            and allowed
            and free
            and self.log.is_up_to_date(msg.last_index, msg.last_term)
        )
        if granted and not msg.pre:
            self._set_hard_state(self.term, sender)
            self._reset_deadline()
        term = msg.term if granted else self.term
        self._send(sender, VoteReply(term, granted, msg.pre))

    def _on_vote_reply(self, sender, msg):
        expected = "precandidate" if msg.pre else "candidate"
        term = self.term + 1 if msg.pre else self.term
        if self.role == expected and msg.granted and msg.term == term:
            self._votes.add(sender)
            self._count_votes(msg.pre)

    def _on_timeout_now(self, sender, msg):
        if msg.term == self.term and self.is_voter and sender == self.leader:
            self._campaign(pre=False, transfer=True)

    def _adopts_term(self, msg):
        """Return True when a higher term in a message is real."""
        if isinstance(msg, VoteReply):
            return not msg.granted
        return not isinstance(msg, VoteRequest)

    def _lets_elect(self, candidate):
        """Return True when no other leader than a candidate can hold a lease."""
        silence_s = self._now_s - self._heard_s
        return silence_s >= self.timing.election_min_s or self._led_last(candidate)

    def _led_last(self, node):
        """Return True for the leader of our term, which has begun it by an entry.

        One that asks for votes leads no more, so its own lease binds nobody, and
        we have followed no later one.
        """
        for entry in reversed(self.log.entries):
            if entry.term != self.term:
                return False
            if entry.kind == "noop":
                return entry.data == node.encode()
        return False

    def _become_follower(self, term, leader=""):
        if term > self.term:
            self._set_hard_state(term, "")
        if self.role != "follower":
            self._reset_deadline()
        self.role = "follower"
        self.leader = leader
        self._ready.reads_lost += [request for _, request in self._reads]
        self._reads.clear()

    def _become_leader(self):
        self.role = "leader"
        self.leader = self.node
        next_index = self.log.last_index + 1
        self._progress = {
            node: _Progress(next_index, self._now_s) for node in self.members
        }
        # The election itself is the first sign of life of the quorum.
        for node in self._votes:
            if node in self._progress:
                self._progress[node].acked_s = self._now_s
        self._round_sent_s.clear()
        self.propose(self.node.encode(), kind="noop")

    def _reset_deadline(self):
        spread = self.timing.election_max_s - self.timing.election_min_s
        wait_s = self.timing.election_min_s + spread * self._rng.random()
        self._deadline_s = self._now_s + wait_s

    def _set_hard_state(self, term, voted_for):
        self.term, self.voted_for = term, voted_for
        self._ready.hard_state = HardState(term, voted_for)

    # --- leader -----------------------------------------------------------

    def _broadcast(self):
        """Send a round to every member."""
        self._broadcast_due = False
        self._round += 1
        self._round_sent_s[self._round] = self._now_s
        self._round_sent_s.pop(self._round - ROUNDS_KEPT, None)
        self._next_round_s = self._now_s + self.timing.heartbeat_s
        for node in self._others():
            self._send_append(node)
        self._confirm_reads()

    def _send_append(self, node):
        """Send a member its next entries, or our snapshot when it is too far back."""
        progress = self._progress[node]
        prev_index = progress.next_index - 1
        prev_term = self.log.term(prev_index)
        if prev_term is None:
            snapshot = self.log.snapshot
            message = SnapshotRequest(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.members,
                self._round,
                snapshot.data,
            )
            self._send(node, message)
            progress.next_index = snapshot.index + 1
            return
        entries = tuple(self._batch(progress.next_index))
        message = AppendRequest(
            self.term, prev_index, prev_term, self.commit_index, self._round, entries
        )
        self._send(node, message)
        progress.next_index += len(entries)

    def _batch(self, first):
        """Yield entries from an index on, within the limits of a message."""
        size = 0
        for entry in self.log.between(first, first + BATCH_ENTRIES - 1):
            size += len(entry.data)
            if size > BATCH_BYTES and entry.index > first:
                return
            yield entry

    def _on_append_reply(self, sender, msg):
        progress = self._progress.get(sender)
        if not self.is_leader or msg.term != self.term or progress is None:
            return
        sent_s = self._round_sent_s.get(msg.round_id)
        if sent_s is not None:
            progress.acked_s = max(progress.acked_s, sent_s)
            progress.acked_round = max(progress.acked_round, msg.round_id)
            self._confirm_reads()
        if not msg.success:
            hint = min(msg.match_index, progress.next_index - 1)
            progress.next_index = max(hint, progress.match_index) + 1
            self._send_append(sender)
            return
        progress.match_index = max(progress.match_index, msg.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        self._advance_commit()
        if progress.next_index <= self.log.last_index:
            self._send_append(sender)

    def _advance_commit(self):
        """Commit what a majority of the voters has synced."""
        matches = sorted(self._match(node) for node in self.voters)
        index = matches[(len(matches) - 1) // 2] if matches else 0
        # Only an entry of the own term proves that no other log can win.
        if index > self.commit_index and self.log.term(index) == self.term:
            self.commit_index = index
            self._broadcast_due = True
            if not self.is_voter and self._members_index <= self.commit_index:
                self._become_follower(self.term)

    def _match(self, node):
        if node == self.node:
            return self._stable_index
        return self.match_index(node)

    def _quorum_acked_s(self, now_s):
        """Return since when a majority is known to have heard us."""
        times = [
            now_s if node == self.node else self._progress[node].acked_s
            for node in self.voters
        ]
        return sorted(times)[(len(times) - 1) // 2]

    def _confirm_reads(self):
        """Release reads whose round a majority has acknowledged."""
        rounds = sorted(
            self._round if node == self.node else self._progress[node].acked_round
            for node in self.voters
        )
        confirmed = rounds[(len(rounds) - 1) // 2]
        self._ready.reads += [
            req for round_id, req in self._reads if round_id <= confirmed
        ]
        self._reads = [row for row in self._reads if row[0] > confirmed]

    # --- follower ---------------------------------------------------------

    def _on_append_request(self, sender, msg):
        if msg.term < self.term:
            self._send(sender, AppendReply(self.term, False, 0, msg.round_id))
            return
        self._follow(sender, msg.term)
        if msg.prev_index < self.log.snapshot.index:
            # Everything up to our snapshot is committed and so already here.
            reply = AppendReply(self.term, True, self.commit_index, msg.round_id)
            if not msg.entries or msg.entries[-1].index <= self.log.snapshot.index:
                self._send(sender, reply)
                return
        elif self.log.term(msg.prev_index) != msg.prev_term:
            hint = min(self.log.last_index, max(msg.prev_index - 1, 0))
            hint = max(min(hint, self._conflict_start(msg)), self.commit_index)
            self._send(sender, AppendReply(self.term, False, hint, msg.round_id))
            return
        new = [
            entry
            for entry in msg.entries
            if entry.index > self.log.snapshot.index
            and self.log.term(entry.index) != entry.term
        ]
        if new:
            self._append([e for e in msg.entries if e.index >= new[0].index])
        match = msg.entries[-1].index if msg.entries else msg.prev_index
        self.commit_index = max(self.commit_index, min(msg.commit, match))
        self._send(sender, AppendReply(self.term, True, match, msg.round_id))

    def _conflict_start(self, msg):
        """Return the index before the term that differs, to go back quickly."""
        index = min(msg.prev_index, self.log.last_index)
        term = self.log.term(index)
        while index > self.commit_index and self.log.term(index) == term:
            index -= 1
        return index if self.log.last_index >= msg.prev_index else self.log.last_index

    def _on_snapshot_request(self, sender, msg):
        if msg.term < self.term:
            self._send(sender, AppendReply(self.term, False, 0, msg.round_id))
            return
        self._follow(sender, msg.term)
        if msg.index > self.commit_index:
            self._install(Snapshot(msg.index, msg.last_term, msg.members, msg.data))
        self._send(
            sender, AppendReply(self.term, True, self.commit_index, msg.round_id)
        )

    def _install(self, snapshot):
        self.log.reset(snapshot)
        self.commit_index = self._applied = snapshot.index
        self._stable_index = 0
        self._ready.snapshot = snapshot
        self._ready.entries = []
        self._load_members()

    def _follow(self, leader, term):
        self._become_follower(term, leader)
        self._heard_s = self._now_s
        self._reset_deadline()

    # --- shared -----------------------------------------------------------

    def _append(self, entries):
        """Put entries into the log and the work to be synced."""
        first = entries[0].index
        self._stable_index = min(self._stable_index, first - 1)
        self.log.append(entries)
        kept = [entry for entry in self._ready.entries if entry.index < first]
        self._ready.entries = kept + entries
        cut = first <= self._members_index
        if cut or any(entry.kind == "members" for entry in entries):
            self._load_members()

    def _load_members(self):
        """Take the newest member list, committed or not."""
        self.members = self._members_at(self.log.last_index)
        lists = [e.index for e in self.log.entries if e.kind == "members"]
        self._members_index = lists[-1] if lists else self.log.snapshot.index
        if self.is_leader:
            for node in self.members:
                if node not in self._progress:
                    # A new member starts with no sign of life of its own.
                    self._progress[node] = _Progress(
                        self.log.last_index + 1, self._now_s
                    )

    def _members_at(self, index):
        """Return the member table in force at an index."""
        for entry in reversed(self.log.between(self.log.first_index, index)):
            if entry.kind == "members":
                return decode_members(entry.data)
        return dict(self.log.snapshot.members)

    def _others(self, *, voters_only=False):
        nodes = self.voters if voters_only else self.members
        return [node for node in nodes if node != self.node]

    def _send(self, node, msg):
        self._ready.messages.append((node, msg))
