"""Core of a control instance: Raft, the replicated state and the leases."""

import msgspec
from returns.result import Success
from snipebay_model import messages
from snipebay_model.codec import CodecError, decode_body, encode_body
from snipebay_model.messages import (
    WITHDRAWN,
    CommandReply,
    CommandRequest,
    CreditRequest,
    Hello,
    Outcome,
    Reap,
    RemoveBackend,
    RemoveEntry,
    Renew,
    StatusReply,
    StatusRequest,
)
from snipebay_model.node_names import instance_id_of
from snipebay_model.settings import parse_settings

from snipebay_control.admission import admission
from snipebay_control.cluster_status import cluster_status
from snipebay_control.config import ControlConfig
from snipebay_control.credit_board import CreditBoard
from snipebay_control.delayed_commands import DelayedCommands
from snipebay_control.entry_replies import EntryReplies
from snipebay_control.joining import JoinProtocol
from snipebay_control.raft import Raft
from snipebay_control.rate_limit_board import RateLimitBoard
from snipebay_control.sessions import Sessions
from snipebay_control.state import ControlState
from snipebay_control.telemetry import Telemetry
from snipebay_control.update_pacing import UpdatePacer
from snipebay_control.waiting_renewals import WaitingRenewals
from snipebay_control.workspace_readers import workspace_refusal

__all__ = ["RAFT_MESSAGES", "ControlConfig", "ControlCore"]

RAFT_MESSAGES = (
    messages.AppendReply,
    messages.AppendRequest,
    messages.SnapshotRequest,
    messages.TimeoutNow,
    messages.VoteReply,
    messages.VoteRequest,
)
COMMAND_TYPE = tuple[str, bytes]
# Interval between two counts of the affinity keys, which change slowly.
KEY_COUNT_INTERVAL_S = 0.5


class ControlCore(EntryReplies):
    """Control instance without I/O: takes messages and time, returns work and messages.

    The I/O layer calls :meth:`receive` and :meth:`tick`, then repeats
    three steps until no work is left: call :meth:`pop_ready`, sync what it returns,
    call :meth:`complete_ready`. Then it sends the result of :meth:`pop_messages`.

    Args:
        cfg: Settings.
        stored: Persistent state loaded at start.
        rng: ``numpy.random.Generator`` for election timeouts.
        now_s: Current time.

    Attributes:
        applied_index: Log index of the newest entry in the state.
    """

    def __init__(self, cfg, stored, rng, now_s):
        self.cfg = cfg
        self.raft = Raft(cfg.node, stored, rng, now_s, cfg.raft)
        self.state = ControlState.from_dump(stored.snapshot.data)
        self.sessions = Sessions(cfg.leases)
        self._now_s = now_s
        self._leader_since_s = 0.0
        self._base_clock_ms = 0
        self._leadership_term = 0
        self._outbox = []
        self.telemetry = Telemetry()
        self.rate_limits = RateLimitBoard()
        self.credits = CreditBoard(cfg.quota)
        self._pending_replies = {}
        self._proposed_commands = set()
        self.joining = JoinProtocol(cfg, self.raft)
        self._pacer = UpdatePacer()
        self._waiting_renewals = WaitingRenewals()
        self._pushed_settled = {}
        self._settled_by_region = {}
        self._drained = ()
        self._demand = ()
        self._isolated = ()
        self._key_counts = ()
        self._next_key_count_s = 0.0
        self._lease_settings_revision = 0
        self._next_clock_s = self._next_announcement_s = 0.0
        self.applied_index = self.raft.commit_index
        self._delayed = DelayedCommands(self.applied_index, self.state)
        self._applied_bytes = 0
        if not self.raft.members and cfg.node in cfg.initial_voters:
            self.raft.bootstrap(dict.fromkeys(cfg.initial_voters, True))

    # --- inputs -----------------------------------------------------------

    def receive(self, sender, body, now_s):
        """Handle a message.

        Args:
            sender: Node name of a control instance or id of an entry instance.
            body: The message.
            now_s: Current time.
        """
        self._now_s = now_s
        if isinstance(body, RAFT_MESSAGES):
            if self.cfg.dynamic_membership or instance_id_of(sender) in self.cfg.peers:
                self.raft.step(sender, body)
        elif isinstance(body, Hello):
            self._outbox += self.joining.receive_hello(sender, body)
        elif isinstance(body, Renew):
            self._on_renew(sender, body)
        elif isinstance(body, CreditRequest):
            self._on_credit_request(sender, body)
        elif isinstance(body, CommandRequest):
            self._on_command(sender, body)
        elif isinstance(body, StatusRequest):
            self.raft.request_read((sender, body))

    def tick(self, now_s):
        """Advance the time and run the periodic work of a member or leader."""
        self._now_s = now_s
        self.raft.tick(now_s)
        self._outbox += self.joining.tick(now_s)
        if not self.raft.has_committed_in_term:
            return
        if self._leadership_term != self.raft.term:
            self._begin_leadership()
        # Computed once per tick. Settled revisions and drained backend servers
        # only grow, so values that are up to a tick old are safe.
        self._settled_by_region = {}
        self._drained = self.sessions.drained(self.state, now_s)
        self._demand = self.sessions.demand(self.state)
        self._isolated = self.sessions.isolated(self.state)
        if now_s >= self._next_key_count_s:
            self._next_key_count_s = now_s + KEY_COUNT_INTERVAL_S
            self._key_counts = self.sessions.key_counts(self.state)
        self.rate_limits.expire(self.state.backends, self._now_s)
        plan = self.state.plan
        workspaces = plan.workspaces if plan else ()
        self.credits.tick(workspaces, now_s, self.state.entries)
        self._update_backend_leases()
        self._remove_expired()
        self._advance_clock()
        self.joining.change_members()
        self._push_updates()
        if self._may_serve:
            self._announce_leadership()
            for sender, msg in self._waiting_renewals.pop(now_s):
                self._on_renew(sender, msg)

    def pop_ready(self):
        """Return the pending work, see :class:`snipebay_control.raft.Ready`."""
        return self.raft.pop_ready()

    def complete_ready(self, ready):
        """Apply committed entries of synced work and reply to pending requests."""
        self.raft.mark_synced(ready)
        self._outbox += ready.messages
        if ready.snapshot is not None and ready.snapshot.index:
            self.state = ControlState.from_dump(ready.snapshot.data)
            self.applied_index = ready.snapshot.index
            self._delayed = DelayedCommands(self.applied_index, self.state)
            self._applied_bytes = 0
        for entry in ready.committed:
            self._apply(entry)
        for request in ready.confirmed_reads:
            self._reply_status(*request)
        for sender, request in ready.rejected_reads:
            outcome = Outcome("not-leader", detail="not the leader, or no quorum")
            reply = StatusReply(request.request_id, outcome, self.leader_id)
            self._outbox.append((sender, reply))
        is_long = len(self.raft.log.entries) > 2 * self.cfg.compact_entries
        is_long |= self._applied_bytes > self.cfg.compact_bytes
        if is_long and self.applied_index > self.raft.log.snapshot.index:
            self.raft.compact(self.applied_index, self.state.dump())
            self._applied_bytes = 0

    def pop_messages(self):
        """Return pairs of receiver and message to send, and clear them."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def stop(self):
        """Transfer leadership before a planned stop."""
        self.raft.transfer_leadership()

    @property
    def leader_id(self):
        """Instance id of the leader, or an empty string if unknown."""
        return instance_id_of(self.raft.leader)

    @property
    def controls(self):
        """Sorted ids of the control instances in the configuration."""
        return tuple(sorted({instance_id_of(node) for node in self.raft.members}))

    @property
    def _may_serve(self):
        """True for a leader with initialized leases and a valid leader lease."""
        return self._leadership_term == self.raft.term and self.raft.holds_lease(
            self._now_s
        )

    # --- leadership -------------------------------------------------------

    def _begin_leadership(self):
        self._leadership_term = self.raft.term
        self._leader_since_s = self._now_s
        self._base_clock_ms = self.state.now_ms
        self._pending_replies.clear()
        self._proposed_commands.clear()
        self._delayed.start_term()
        self.joining.joining_members.clear()
        self._pacer = UpdatePacer()
        self._pushed_settled.clear()
        self._settled_by_region = {}
        self._drained = ()
        self._key_counts = ()
        self._next_clock_s = self._next_announcement_s = 0.0
        self.rate_limits.start(self.raft.term)
        self.credits.start(self._now_s)
        self.sessions.start(self.state, self._now_s)

    def _update_backend_leases(self):
        """Read the backend server leases from the settings if these changed."""
        if self._lease_settings_revision == self.state.settings_revision:
            return
        self._lease_settings_revision = self.state.settings_revision
        result = parse_settings(self.state.settings)
        if isinstance(result, Success):
            settings = result.unwrap()
            self.sessions.backend_lease_s = {
                name: settings.rules(name).backend_lease_s for name in settings.services
            }

    def _remove_expired(self):
        """Remove entry instances and backend servers whose leases have expired."""
        reason = "lease ran out"
        expired = [
            (row.entry_id, RemoveEntry(row.entry_id, row.incarnation, reason))
            for row in self.sessions.expired_entries(self.state, self._now_s)
        ]
        # A leaving backend server doesn't return, so delayed announcements from before
        # it left must not register it again.
        expired += [
            (
                row.backend_id,
                RemoveBackend(row.backend_id, WITHDRAWN if row.leaving else reason),
            )
            for row in self.sessions.expired_backends(self.state, self._now_s)
            if not self._delayed.has_pending_announcement(row.backend_id)
        ]
        for name, cmd in expired:
            if self._propose_once(cmd):
                self._pacer.forget(name)
                self.telemetry.changes.append((reason, name))

    def _advance_clock(self):
        if self._now_s < self._next_clock_s:
            return
        busy = bool(self.state.claims.rows)
        wait_s = (
            self.cfg.leases.clock_interval_s if busy else self.cfg.idle_clock_interval_s
        )
        self._next_clock_s = self._now_s + wait_s
        elapsed_ms = int((self._now_s - self._leader_since_s) * 1_000)
        self._propose(Reap(self._base_clock_ms + elapsed_ms))

    # --- requests ---------------------------------------------------------

    def _on_command(self, sender, msg):
        cmd, outcome = self._decode_command(msg)
        if outcome is None:
            outcome = self._immediate_outcome(cmd, msg.base_index)
        fields = {"base": msg.base_index, "sender": sender}
        if outcome is None:
            index = self._propose_encoded(msg.kind, msg.data)
            self._delayed.record_proposed(cmd, index)
            self.telemetry.record_order("order proposed", cmd, index, **fields)
            pending_reply = (self.raft.term, sender, msg.request_id, self._now_s)
            self._pending_replies[index] = pending_reply
            return
        if outcome.code == "outdated":
            index = self.raft.log.last_index
            self.telemetry.record_order("order refused", cmd, index, **fields)
        reply = CommandReply(msg.request_id, outcome, self.leader_id)
        self._outbox.append((sender, reply))

    def _decode_command(self, msg):
        """Return the command and None, or None and why it is not considered."""
        if not self._may_serve:
            detail = "not the leader, or no quorum"
            return None, Outcome("not-leader", detail=detail)
        try:
            return decode_body(msg.kind, msg.data), None
        except CodecError as exc:
            return None, Outcome("invalid", detail=str(exc))

    def _immediate_outcome(self, cmd, base_index):
        """Return the outcome of a command that is not proposed, or None."""
        if outcome := self._delayed.refusal(cmd, base_index):
            if outcome.code == "superseded":
                self.telemetry.record_ignored(cmd.row, outcome.detail)
            else:
                event = "delayed command refused"
                self.telemetry.changes.append((event, outcome.detail))
            return outcome
        outcome = admission(
            self.state, cmd, requires_known_service=self.cfg.dynamic_membership
        )
        if isinstance(cmd, messages.PutBackend) and outcome and outcome.code == "ok":
            self._grant_backend(cmd.row)
        return outcome or workspace_refusal(
            cmd, self.raft, self.state, self.sessions, self._now_s
        )

    def _propose(self, cmd):
        return self._propose_encoded(*encode_body(cmd))

    def _propose_encoded(self, kind, data):
        return self.raft.propose(msgspec.msgpack.encode((kind, data)))

    def _propose_once(self, cmd):
        """Propose a command unless it is pending; return True if it was proposed."""
        kind, data = encode_body(cmd)
        if (kind, data) in self._proposed_commands:
            return False
        self._proposed_commands.add((kind, data))
        self._propose_encoded(kind, data)
        return True

    # --- applying ---------------------------------------------------------

    def _apply(self, entry):
        self.applied_index = entry.index
        self._applied_bytes += len(entry.data)
        outcome = Outcome("ok", self.state.revision)
        if entry.kind == "command":
            kind, data = msgspec.msgpack.decode(entry.data, type=COMMAND_TYPE)
            cmd = decode_body(kind, data)
            outcome = self.state.execute(cmd)
            self._delayed.record_applied(cmd, entry.index)
            fields = {"term": entry.term, "revision": outcome.revision}
            self.telemetry.record_order("order applied", cmd, entry.index, **fields)
            self._proposed_commands.discard((kind, data))
            if isinstance(cmd, messages.PutBackend) and self.raft.is_leader:
                self._on_announcement(cmd.row, outcome)
        not_waiting = (0, "", 0, 0.0)
        term, sender, request_id, received_s = self._pending_replies.pop(
            entry.index, not_waiting
        )
        if sender and term == entry.term:
            self.telemetry.commit_times.append(self._now_s - received_s)
            reply = CommandReply(request_id, outcome, self.leader_id)
            self._outbox.append((sender, reply))

    def _on_announcement(self, row, outcome):
        """Renew the lease of an announced backend server, unless it was ignored."""
        if outcome.code == "ok":
            self._grant_backend(row)
        else:
            self.telemetry.record_ignored(row, outcome.detail)

    def _grant_backend(self, row):
        self.sessions.renew_backend(row.backend_id, row.service, self._now_s)

    def _reply_status(self, sender, request):
        encode_result = {
            "status": lambda: msgspec.json.encode(self.status()),
            "plan": lambda: msgspec.msgpack.encode(self.state.read_plan()),
            "settings": lambda: msgspec.json.encode(list(self.state.changes)[-1:]),
            "history": lambda: msgspec.json.encode(list(self.state.changes)),
        }.get(request.what)
        if encode_result is None:
            outcome, data = Outcome("invalid", detail=f"no {request.what!r}"), b""
        else:
            outcome = Outcome("ok", self.state.revision)
            data = encode_result()
        reply = StatusReply(request.request_id, outcome, self.leader_id, data)
        self._outbox.append((sender, reply))

    def status(self):
        """Return the cluster status as known by this leader."""
        return cluster_status(self.raft, self.state, self.sessions, self._now_s)
