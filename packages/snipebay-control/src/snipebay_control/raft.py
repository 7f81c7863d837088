"""Raft consensus algorithm without I/O or a clock of its own.

Follows D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, including
pre-vote (9.6), check-quorum (6.2), leadership transfer (3.10) and
single-server membership changes (4.1).
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

MAX_BATCH_ENTRIES = 256
MAX_BATCH_BYTES = 512 * 1024
MAX_TRACKED_ROUNDS = 256
MEMBERS_TYPE = tuple[tuple[str, bool], ...]


def encode_members(members):
    """Encode a member table for a log entry."""
    return msgspec.msgpack.encode(sorted(members.items()))


def decode_members(data):
    """Decode the member table of a log entry."""
    return dict(msgspec.msgpack.decode(data, type=MEMBERS_TYPE))


@attrs.frozen
class RaftTiming:
    """Raft timing in seconds, the same on all control instances.

    Attributes:
        heartbeat_s: Interval between heartbeats of an idle leader.
        election_min_s: Minimum election timeout. Followers deny votes for this long
            after the last message from a leader.
        election_max_s: Maximum election timeout.
        leader_lease_s: Duration of the leader lease. A leader steps down when no
            quorum has acknowledged it for this long.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    leader_lease_s: float = 0.8


@attrs.define
class Ready:
    """Work for the caller's I/O layer, to be done in the order of the attributes.

    Attributes:
        hard_state: Term and vote to store, or None.
        snapshot: Installed snapshot to store in place of the log, or None.
        entries: Entries to store; they replace the stored log from the index of the
            first one on.
        messages: Pairs of node and message, to send only after the writes above
            are synced.
        committed: Committed entries to apply, in order.
        compacted: Snapshot of the local state that replaces the log up to its
            index, or None.
        confirmed_reads: Read requests whose ReadIndex is confirmed.
        rejected_reads: Read requests that this member can't serve as leader.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list = attrs.Factory(list)
    messages: list = attrs.Factory(list)
    committed: list = attrs.Factory(list)
    compacted: Snapshot | None = None
    confirmed_reads: list = attrs.Factory(list)
    rejected_reads: list = attrs.Factory(list)

    @property
    def needs_sync(self):
        return bool(self.hard_state or self.snapshot or self.entries)

    @property
    def is_empty(self):
        return not any(attrs.astuple(self, recurse=False))


@attrs.define
class _Progress:
    """Replication progress of one member, as tracked by the leader.

    Attributes:
        next_index: Index of the next entry to send.
        tracked_since_s: Time from which the leader has sent to the member.
        match_index: Highest index known to be stored by the member.
        acked_s: Send time of the newest round that the member acknowledged.
        acked_round: Newest round that the member acknowledged.
        reads_workspaces: True if the member can apply plans with workspaces, None
            before its first reply.
    """

    next_index: int
    tracked_since_s: float
    match_index: int = 0
    acked_s: float = float("-inf")
    acked_round: int = 0
    reads_workspaces: bool | None = None


class Raft:
    """One member of the Raft group.

    Args:
        node: Name of this member, ``id#incarnation``.
        stored: Persistent state loaded at start.
        rng: ``numpy.random.Generator`` for election timeouts.
        now_s: Current time.
        timing: Timing shared by all members.
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
        # Treat the start as contact with a leader: the leader that this member
        # followed before a restart may still hold its lease.
        self._leader_contact_s = now_s
        self._election_deadline_s = 0.0
        self._votes = set()
        self._progress = {}
        self._round = 0
        self._round_sent_s = {}
        self._next_round_s = 0.0
        self._broadcast_due = False
        self._pending_reads = []
        self._stable_index = self.log.last_index
        self._applied_index = self.commit_index
        self._ready = Ready()
        self._reload_members()
        self._reset_election_deadline()
        if self._led_current_term(node):
            self._election_deadline_s = now_s

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
    def has_committed_in_term(self):
        """True for a leader that has committed an entry of its current term."""
        return self.is_leader and self.log.term(self.commit_index) == self.term

    def holds_lease(self, now_s):
        """Return True while no other leader can have been elected."""
        return (
            self.has_committed_in_term
            and now_s - self._quorum_acked_s(now_s) < self.timing.leader_lease_s
        )

    def match_index(self, node):
        """Return the highest index that this leader knows a member to store."""
        return self._progress[node].match_index if node in self._progress else 0

    def acked_within(self, node, seconds):
        """Return True if a member acknowledged this leader within that time."""
        if node == self.node:
            return True
        progress = self._progress.get(node)
        return progress is not None and self._now_s - progress.acked_s <= seconds

    def reads_workspaces(self, node):
        """Return True unless a member heard from may be of a build without workspaces.

        A vote counts as heard from, and only later replies tell what the member reads.
        """
        progress = self._progress.get(node)
        if node == self.node or progress is None:
            return True
        if progress.reads_workspaces is None:
            return progress.acked_s == float("-inf")
        return progress.reads_workspaces

    def is_unreachable(self, node, seconds):
        """Return True if a member missed this leader's heartbeats for that time."""
        progress = self._progress.get(node)
        if node == self.node or progress is None:
            return False
        return self._now_s - max(progress.acked_s, progress.tracked_since_s) >= seconds

    def since_leader_contact_s(self, now_s):
        """Return the time since the last contact with a leader, 0 for a leader."""
        return 0.0 if self.is_leader else now_s - self._leader_contact_s

    # --- inputs -----------------------------------------------------------

    def bootstrap(self, members):
        """Install the initial configuration, the same on all initial members."""
        self._install_snapshot(Snapshot(members=tuple(sorted(members.items()))))
        self._reset_election_deadline()

    def tick(self, now_s):
        """Advance the time and handle elections, heartbeats and the leader lease."""
        self._now_s = now_s
        if self.is_leader:
            if now_s - self._quorum_acked_s(now_s) >= self.timing.leader_lease_s:
                self._become_follower(self.term)
            elif self._broadcast_due or now_s >= self._next_round_s:
                self._broadcast()
        elif now_s >= self._election_deadline_s and self.is_voter:
            self._campaign(pre_vote=True)

    def propose(self, data, kind="command"):
        """Append an entry and return its index, or None if this isn't the leader."""
        if not self.is_leader:
            return None
        index = self.log.last_index + 1
        self._append([LogEntry(index, self.term, kind, data)])
        self._broadcast_due = True
        return index

    def propose_members(self, members):
        """Propose a single-server membership change.

        Returns:
            Index of the entry, or None if this isn't a leader with a committed
            entry of its term, or an earlier change is uncommitted.
        """
        pending = self._members_index > self.commit_index
        if pending or not self.has_committed_in_term:
            return None
        return self.propose(encode_members(members), kind="members")

    def request_read(self, request):
        """Start a ReadIndex read.

        The request comes back in ``Ready.confirmed_reads`` once a quorum has
        acknowledged a later round, otherwise in ``Ready.rejected_reads``.
        """
        if not self.has_committed_in_term:
            self._ready.rejected_reads.append(request)
            return
        self._pending_reads.append((self._round + 1, request))
        self._broadcast_due = True

    def transfer_leadership(self):
        """Transfer leadership to the voter with the highest match index."""
        others = [node for node in self.voters if node != self.node]
        if self.is_leader and others:
            target = max(others, key=lambda node: (self.match_index(node), node))
            self._send(target, TimeoutNow(self.term))

    def compact(self, index, data):
        """Compact the log up to an applied index into a snapshot of the local state."""
        term = self.log.term(index)
        members = tuple(sorted(self._members_at(index).items()))
        self.log.compact(Snapshot(index, term, members, data))
        self._ready.compacted = self.log.snapshot

    def step(self, sender, msg):
        """Handle a message from another member."""
        handlers = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotRequest: self._on_snapshot_request,
            TimeoutNow: self._on_timeout_now,
        }
        # Ignore removed members, which would disrupt the group. A message from a
        # leader is always handled, since the local configuration may be outdated.
        from_leader = isinstance(msg, AppendRequest | SnapshotRequest)
        if self.members and sender not in self.members and not from_leader:
            return
        if msg.term > self.term and self._advances_term(msg):
            self._become_follower(msg.term)
        handlers[type(msg)](sender, msg)

    def pop_ready(self):
        """Return the pending work and reset it."""
        if self._broadcast_due and self.is_leader:
            self._broadcast()
        ready, self._ready = self._ready, Ready()
        if self.commit_index > self._applied_index:
            ready.committed = self.log.entries_between(
                self._applied_index + 1, self.commit_index
            )
            self._applied_index = self.commit_index
        return ready

    def mark_synced(self, ready):
        """Mark everything in ``ready`` as synced to stable storage."""
        if ready.snapshot:
            self._stable_index = max(self._stable_index, ready.snapshot.index)
        if ready.entries:
            last = ready.entries[-1]
            if self.log.term(last.index) == last.term:
                self._stable_index = last.index
        if self.is_leader:
            self._advance_commit()

    # --- elections --------------------------------------------------------

    def _campaign(self, *, pre_vote, transfer=False):
        """Start a pre-vote or an election."""
        self._reset_election_deadline()
        if self._led_current_term(self.node):
            # The other voters may still be starting. They needn't wait for the old
            # lease to expire, as it was this member's own, so retry soon.
            self._election_deadline_s = self._now_s + self.timing.heartbeat_s
        self._votes = {self.node}
        self.leader = ""
        if pre_vote:
            self.role = "precandidate"
            term = self.term + 1
        else:
            self.role = "candidate"
            self._set_hard_state(self.term + 1, self.node)
            term = self.term
        request = VoteRequest(
            term, self.log.last_index, self.log.last_term, pre_vote, transfer
        )
        for node in self._other_members(voters_only=True):
            self._send(node, request)
        self._count_votes(pre_vote)

    def _count_votes(self, pre_vote):
        if len(self._votes & set(self.voters)) * 2 <= len(self.voters):
            return
        if pre_vote:
            self._campaign(pre_vote=False)
        else:
            self._become_leader()

    def _on_vote_request(self, sender, msg):
        """Grant a vote unless a leader lease may be valid or the log is outdated."""
        # Evaluated before the term advances, as it refers to the leader of the
        # current term. A member that returns from a partition must not depose a
        # leader that is still in contact.
        allowed = msg.transfer or (
            self._lease_permits_vote(sender) and not self.is_leader
        )
        if msg.term > self.term and not msg.pre and allowed:
            self._become_follower(msg.term)
        vote_available = msg.pre or self.voted_for in ("", sender)
        granted = (
            self.is_voter
            and (msg.term > self.term if msg.pre else msg.term == self.term)
            and allowed
            and vote_available
            and self.log.is_up_to_date(msg.last_index, msg.last_term)
        )
        if granted and not msg.pre:
            self._set_hard_state(self.term, sender)
            self._reset_election_deadline()
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
            self._campaign(pre_vote=False, transfer=True)

    def _advances_term(self, msg):
        """Return True if a higher term in a message is one that a member has entered.

        A pre-vote names a term that nobody has entered yet, and
        ``_on_vote_request`` decides on the term of a vote request.
        """
        if isinstance(msg, VoteReply):
            return not msg.granted
        return not isinstance(msg, VoteRequest)

    def _lease_permits_vote(self, candidate):
        """Return True if no other member than the candidate can hold a leader lease."""
        since_leader_contact_s = self._now_s - self._leader_contact_s
        return (
            since_leader_contact_s >= self.timing.election_min_s
            or self._led_current_term(candidate)
        )

    def _led_current_term(self, node):
        """Return True if a node became leader in the current term, by this log.

        The no-op entry that begins a term names its leader. As the term is the
        current one, this member has followed no later leader. A leader that asks
        for votes no longer leads, so its own lease needn't expire first.
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
            self._reset_election_deadline()
        self.role = "follower"
        self.leader = leader
        self._ready.rejected_reads += [request for _, request in self._pending_reads]
        self._pending_reads.clear()

    def _become_leader(self):
        self.role = "leader"
        self.leader = self.node
        next_index = self.log.last_index + 1
        self._progress = {
            node: _Progress(next_index, self._now_s) for node in self.members
        }
        # The votes count as the first acknowledgements of the quorum.
        for node in self._votes:
            if node in self._progress:
                self._progress[node].acked_s = self._now_s
        self._round_sent_s.clear()
        self.propose(self.node.encode(), kind="noop")

    def _reset_election_deadline(self):
        range_s = self.timing.election_max_s - self.timing.election_min_s
        wait_s = self.timing.election_min_s + range_s * self._rng.random()
        self._election_deadline_s = self._now_s + wait_s

    def _set_hard_state(self, term, voted_for):
        self.term, self.voted_for = term, voted_for
        self._ready.hard_state = HardState(term, voted_for)

    # --- leader -----------------------------------------------------------

    def _broadcast(self):
        """Start a round: send AppendEntries or a snapshot to every other member."""
        self._broadcast_due = False
        self._round += 1
        self._round_sent_s[self._round] = self._now_s
        self._round_sent_s.pop(self._round - MAX_TRACKED_ROUNDS, None)
        self._next_round_s = self._now_s + self.timing.heartbeat_s
        for node in self._other_members():
            self._send_append(node)
        self._confirm_reads()

    def _send_append(self, node):
        """Send the next entries, or the snapshot if the log no longer has them."""
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
        entries = tuple(self._next_batch(progress.next_index))
        message = AppendRequest(
            self.term, prev_index, prev_term, self.commit_index, self._round, entries
        )
        self._send(node, message)
        progress.next_index += len(entries)

    def _next_batch(self, first):
        """Yield entries from an index on, up to the size limits of a message."""
        size = 0
        for entry in self.log.entries_between(first, first + MAX_BATCH_ENTRIES - 1):
            size += len(entry.data)
            if size > MAX_BATCH_BYTES and entry.index > first:
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
        progress.reads_workspaces = msg.reads_workspaces
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
        """Advance the commit index to what a majority of the voters has synced."""
        matches = sorted(self._synced_index(node) for node in self.voters)
        index = matches[(len(matches) - 1) // 2] if matches else 0
        # An entry of an earlier term can be overwritten even if a majority stores
        # it, so only an entry of the current term commits by counting.
        if index > self.commit_index and self.log.term(index) == self.term:
            self.commit_index = index
            self._broadcast_due = True
            if not self.is_voter and self._members_index <= self.commit_index:
                self._become_follower(self.term)

    def _synced_index(self, node):
        if node == self.node:
            return self._stable_index
        return self.match_index(node)

    def _quorum_acked_s(self, now_s):
        """Return the time of the newest round that a majority has acknowledged."""
        times = [
            now_s if node == self.node else self._progress[node].acked_s
            for node in self.voters
        ]
        return sorted(times)[(len(times) - 1) // 2]

    def _confirm_reads(self):
        """Confirm the reads whose round a majority has acknowledged."""
        rounds = sorted(
            self._round if node == self.node else self._progress[node].acked_round
            for node in self.voters
        )
        confirmed = rounds[(len(rounds) - 1) // 2]
        self._ready.confirmed_reads += [
            req for round_id, req in self._pending_reads if round_id <= confirmed
        ]
        self._pending_reads = [row for row in self._pending_reads if row[0] > confirmed]

    # --- follower ---------------------------------------------------------

    def _on_append_request(self, sender, msg):
        if msg.term < self.term:
            self._reply_append(sender, msg, False, 0)
            return
        self._accept_leader(sender, msg.term)
        if msg.prev_index < self.log.snapshot.index:
            # Entries up to the snapshot are committed, so this log contains them.
            if not msg.entries or msg.entries[-1].index <= self.log.snapshot.index:
                self._reply_append(sender, msg, True, self.commit_index)
                return
        elif self.log.term(msg.prev_index) != msg.prev_term:
            hint = min(self.log.last_index, max(msg.prev_index - 1, 0))
            hint = max(min(hint, self._conflict_hint(msg)), self.commit_index)
            self._reply_append(sender, msg, False, hint)
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
        self._reply_append(sender, msg, True, match)

    def _reply_append(self, sender, msg, success, match_index):
        reply = AppendReply(
            self.term, success, match_index, msg.round_id, reads_workspaces=True
        )
        self._send(sender, reply)

    def _conflict_hint(self, msg):
        """Return the index before the conflicting term, to skip it as a whole."""
        index = min(msg.prev_index, self.log.last_index)
        term = self.log.term(index)
        while index > self.commit_index and self.log.term(index) == term:
            index -= 1
        return index if self.log.last_index >= msg.prev_index else self.log.last_index

    def _on_snapshot_request(self, sender, msg):
        if msg.term < self.term:
            self._reply_append(sender, msg, False, 0)
            return
        self._accept_leader(sender, msg.term)
        if msg.index > self.commit_index:
            self._install_snapshot(
                Snapshot(msg.index, msg.last_term, msg.members, msg.data)
            )
        self._reply_append(sender, msg, True, self.commit_index)

    def _install_snapshot(self, snapshot):
        self.log.reset(snapshot)
        self.commit_index = self._applied_index = snapshot.index
        self._stable_index = 0
        self._ready.snapshot = snapshot
        self._ready.entries = []
        self._reload_members()

    def _accept_leader(self, leader, term):
        self._become_follower(term, leader)
        self._leader_contact_s = self._now_s
        self._reset_election_deadline()

    # --- log and configuration --------------------------------------------

    def _append(self, entries):
        """Append entries to the log and to the entries that must be synced."""
        first = entries[0].index
        self._stable_index = min(self._stable_index, first - 1)
        self.log.append(entries)
        kept = [entry for entry in self._ready.entries if entry.index < first]
        self._ready.entries = kept + entries
        truncates = first <= self._members_index
        if truncates or any(entry.kind == "members" for entry in entries):
            self._reload_members()

    def _reload_members(self):
        """Use the newest configuration in the log, committed or not."""
        self.members = self._members_at(self.log.last_index)
        indexes = [e.index for e in self.log.entries if e.kind == "members"]
        self._members_index = indexes[-1] if indexes else self.log.snapshot.index
        if self.is_leader:
            for node in self.members:
                if node not in self._progress:
                    # A new member has acknowledged nothing; it counts as
                    # unreachable only when it misses heartbeats from now on.
                    self._progress[node] = _Progress(
                        self.log.last_index + 1, self._now_s
                    )

    def _members_at(self, index):
        """Return the configuration as of an index."""
        for entry in reversed(self.log.entries_between(self.log.first_index, index)):
            if entry.kind == "members":
                return decode_members(entry.data)
        return dict(self.log.snapshot.members)

    def _other_members(self, *, voters_only=False):
        nodes = self.voters if voters_only else self.members
        return [node for node in nodes if node != self.node]

    def _send(self, node, msg):
        self._ready.messages.append((node, msg))
