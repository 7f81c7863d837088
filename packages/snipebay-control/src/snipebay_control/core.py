"""A control instance: the replicated log, the state on it and its leases."""

import attrs
import msgspec
from returns.result import Success
from snipebay_model import messages
from snipebay_model.codec import CodecError, decode_body, encode_body
from snipebay_model.messages import (
    CommandReply,
    CommandRequest,
    Hello,
    Outcome,
    Reap,
    RemoveBackend,
    RemoveEntry,
    Renew,
    RenewReply,
    StatusReply,
    StatusRequest,
)
from snipebay_model.settings import parse_settings

from snipebay_control.admission import admission
from snipebay_control.cluster_status import cluster_status
from snipebay_control.joining import Joining
from snipebay_control.membership import instance_id_of
from snipebay_control.raft import Raft, RaftTiming
from snipebay_control.sessions import LeaseTiming, Sessions
from snipebay_control.state import ControlState
from snipebay_control.telemetry import Telemetry

__all__ = ["RAFT_MESSAGES", "ControlConfig", "ControlCore"]

RAFT_MESSAGES = (
    messages.AppendReply,
    messages.AppendRequest,
    messages.SnapshotRequest,
    messages.TimeoutNow,
    messages.VoteReply,
    messages.VoteRequest,
)
_command_type = tuple[str, bytes]


@attrs.frozen
class ControlConfig:
    """Settings of a control instance.

    Attributes:
        node: Our name, ``id#incarnation``.
        peers: Ids of all control instances, ours included; with ``dynamic_membership``
            only those to ask first.
        dynamic_membership: True when control instances beyond ``peers`` may join.
        unreachable_timeout_s: Silence after which a member counts as lost and is
            taken out of the list, with ``dynamic_membership``; longer than a
            machine takes to restart.
        initial_voters: Nodes that begin the group together when their disks are empty,
            so that any majority of them can; empty once it was begun.
        raft: Times of the replicated log.
        leases: Times of the leases.
        compact_entries: Applied log entries after which a snapshot is taken.
        hello_s: Between two greetings of an instance without members.
        idle_reap_s: Between two clock commands while no key is remembered.
    """

    node: str
    peers: tuple
    raft: RaftTiming = RaftTiming()
    leases: LeaseTiming = LeaseTiming()
    compact_entries: int = 2_000
    hello_s: float = 0.2
    idle_reap_s: float = 60.0
    dynamic_membership: bool = False
    unreachable_timeout_s: float = 15.0
    initial_voters: tuple = ()


class ControlCore:
    """Pure control instance: messages and time in, work and messages out.

    The adapter calls :meth:`receive` and :meth:`tick`, then repeats
    :meth:`pop_ready`, syncs what it holds, and :meth:`complete_ready` until there is
    no more work, then sends :meth:`pop_messages`.

    Args:
        cfg: Settings.
        stored: What the disk held.
        rng: ``numpy.random.Generator`` for election timeouts.
        now_s: Time of the start.
    """

    def __init__(self, cfg, stored, rng, now_s):
        self.cfg = cfg
        self.raft = Raft(cfg.node, stored, rng, now_s, cfg.raft)
        self.state = ControlState.from_dump(stored.snapshot.data)
        self.sessions = Sessions(cfg.leases)
        self._now_s = now_s
        self._led_since_s = 0.0
        self._led_base_ms = 0
        self._led_term = 0
        self._outbox = []
        self.telemetry = Telemetry()
        self._waiting = {}
        self._pending = set()
        self.joining = Joining(cfg, self.raft)
        self._pushed = {}
        self._pushed_floors = {}
        self._floors = {}
        self._drained = ()
        self._demand = ()
        self._checked_settings = 0
        self._next_reap_s = 0.0
        self._applied = self.raft.commit_index
        if not self.raft.members and cfg.node in cfg.initial_voters:
            self.raft.bootstrap(dict.fromkeys(cfg.initial_voters, True))

    # --- inputs -----------------------------------------------------------

    def receive(self, sender, body, now_s):
        """Take in a message.

        Args:
            sender: Node name of a control instance or id of an entry instance.
            body: The message.
            now_s: Time.
        """
        self._now_s = now_s
        if isinstance(body, RAFT_MESSAGES):
            if self.cfg.dynamic_membership or instance_id_of(sender) in self.cfg.peers:
                self.raft.step(sender, body)
        elif isinstance(body, Hello):
            self._outbox += self.joining.hear(sender, body)
        elif isinstance(body, Renew):
            self._on_renew(sender, body)
        elif isinstance(body, CommandRequest):
            self._on_command(sender, body)
        elif isinstance(body, StatusRequest):
            self.raft.request_read((sender, body))

    def tick(self, now_s):
        """Run all systems over the tables at a time."""
        self._now_s = now_s
        self.raft.tick(now_s)
        self._outbox += self.joining.greet(now_s)
        if not self.raft.leads_current_term:
            return
        if self._led_term != self.raft.term:
            self._begin_leadership()
        # Worked out once a tick: both only grow, so a little late is safe.
        self._floors = {}
        self._drained = self.sessions.drained(self.state, now_s)
        self._demand = self.sessions.demand(self.state)
        self._read_leases()
        self._expire()
        self._move_clock()
        self.joining.change_members()
        self._push()

    def pop_ready(self):
        """Return work to sync, see :class:`snipebay_control.raft.Ready`."""
        return self.raft.pop_ready()

    def complete_ready(self, ready):
        """Apply work that is now synced, and answer whoever waits for it."""
        self.raft.synced(ready)
        self._outbox += ready.messages
        if ready.snapshot is not None and ready.snapshot.index:
            self.state = ControlState.from_dump(ready.snapshot.data)
            self._applied = ready.snapshot.index
        for entry in ready.committed:
            self._apply(entry)
        for request in ready.reads:
            self._answer_status(*request)
        for sender, request in ready.reads_lost:
            outcome = Outcome("not-leader", detail="not the leader, or no quorum")
            reply = StatusReply(request.request_id, outcome, self.leader_id)
            self._outbox.append((sender, reply))
        if len(self.raft.log.entries) > 2 * self.cfg.compact_entries:
            self.raft.compact(self._applied, self.state.dump())

    def pop_messages(self):
        """Return pairs of receiver and message to send."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def stop(self):
        """Hand leadership over before a planned stop."""
        self.raft.transfer()

    @property
    def leader_id(self):
        """Instance id of the leader as far as known, or an empty string."""
        return instance_id_of(self.raft.leader)

    @property
    def controls(self):
        """Ids of the control instances known here, in order."""
        return tuple(sorted({instance_id_of(node) for node in self.raft.members}))

    @property
    def _serves(self):
        """True while this leader has taken over and can't have been replaced."""
        return self._led_term == self.raft.term and self.raft.holds_lease(self._now_s)

    # --- leadership -------------------------------------------------------

    def _begin_leadership(self):
        self._led_term = self.raft.term
        self._led_since_s = self._now_s
        self._led_base_ms = self.state.now_ms
        self._waiting.clear()
        self._pending.clear()
        self.joining.newcomers.clear()
        self._pushed.clear()
        self._pushed_floors.clear()
        self._floors = {}
        self._drained = ()
        self._next_reap_s = 0.0
        self.sessions.start(self.state, self._now_s)

    def _read_leases(self):
        """Take the leases of backend servers from the settings in force."""
        if self._checked_settings == self.state.settings_revision:
            return
        self._checked_settings = self.state.settings_revision
        result = parse_settings(self.state.settings)
        if isinstance(result, Success):
            settings = result.unwrap()
            self.sessions.backend_lease_s = {
                name: settings.rules(name).backend_lease_s for name in settings.services
            }

    def _expire(self):
        """Remove instances and backend servers whose leases are over."""
        why = "lease ran out"
        found = [
            (row.entry_id, RemoveEntry(row.entry_id, row.incarnation, why))
            for row in self.sessions.lapsed_entries(self.state, self._now_s)
        ]
        found += [
            (row.backend_id, RemoveBackend(row.backend_id, why))
            for row in self.sessions.lapsed_backends(self.state, self._now_s)
        ]
        for name, cmd in found:
            if self._propose_once(cmd):
                self.telemetry.changes.append((why, name))

    def _move_clock(self):
        if self._now_s < self._next_reap_s:
            return
        busy = bool(self.state.claims.rows)
        wait_s = self.cfg.leases.reap_s if busy else self.cfg.idle_reap_s
        self._next_reap_s = self._now_s + wait_s
        elapsed_ms = int((self._now_s - self._led_since_s) * 1_000)
        self._propose(Reap(self._led_base_ms + elapsed_ms))

    def _push(self):
        """Send entry instances what changed, without waiting to be asked."""
        for entry_id, report in self.sessions.reports.items():
            row = self.state.entries.get(entry_id)
            if row is None:
                continue
            base = max(report.applied, self._pushed.get(entry_id, 0))
            floor = self._settled(row.region)
            has_news = base < self.state.revision
            if has_news or floor > self._pushed_floors.get(entry_id, 0):
                self._pushed[entry_id] = self.state.revision
                reply = self._reply(row.region, base, granted=False)
                self._outbox.append((entry_id, reply))
            self._pushed_floors[entry_id] = floor

    # --- requests ---------------------------------------------------------

    def _on_renew(self, sender, msg):
        if not self._serves:
            reply = RenewReply(self.leader_id, granted=False, controls=self.controls)
            self._outbox.append((sender, reply))
            return
        row = self.state.entries.get(msg.row.entry_id)
        known = row is not None and row.incarnation == msg.row.incarnation
        if known:
            self.sessions.renew(msg, self.state, self._now_s)
            self._pushed[msg.row.entry_id] = self.state.revision
        refused = self._second_instance(row, msg.row)
        if not refused:
            self._put_entry(row, msg.row)
        reply = self._reply(
            msg.row.region, msg.applied, granted=known, sent_ms=msg.sent_ms
        )
        self._outbox.append((sender, attrs.evolve(reply, refused=refused)))

    def _second_instance(self, old, row):
        """Return why an instance may not take an id, or an empty string."""
        moved = old is not None and old.address != row.address
        if moved and self.sessions.is_live(old.entry_id, self._now_s):
            return f"instance id {row.entry_id!r} is in use at {old.address}"
        return ""

    def _put_entry(self, old, row):
        since = old.since_revision if old else 0
        if old != attrs.evolve(row, since_revision=since):
            self.sessions.grant_entry(row.entry_id, self._now_s)
            self._propose_once(messages.PutEntry(row))

    def _reply(self, region, base, *, granted, sent_ms=0):
        return RenewReply(
            leader=self.leader_id,
            granted=granted,
            sent_ms=sent_ms,
            lease_ms=int(self.cfg.leases.entry_lease_s * 1_000),
            settled_floor=self._settled(region),
            quorum_revision=self.state.revision,
            delta=self.state.delta(base),
            drained=self._drained,
            controls=self.controls,
            demand=self._demand,
        )

    def _settled(self, region):
        """Return a region's settled revision as of this tick."""
        if region not in self._floors:
            self._floors[region] = self.sessions.settled(self.state, region)
        return self._floors[region]

    def _on_command(self, sender, msg):
        outcome = self._refusal(msg)
        if outcome is None:
            index = self._propose_encoded(msg.kind, msg.data)
            waits = (self.raft.term, sender, msg.request_id, self._now_s)
            self._waiting[index] = waits
            return
        reply = CommandReply(msg.request_id, outcome, self.leader_id)
        self._outbox.append((sender, reply))

    def _refusal(self, msg):
        """Return why a command can't be proposed, or None when it can."""
        if not self._serves:
            return Outcome("not-leader", detail="not the leader, or no quorum")
        try:
            cmd = decode_body(msg.kind, msg.data)
        except CodecError as exc:
            return Outcome("invalid", detail=str(exc))
        outcome = admission(
            self.state, cmd, requires_known_service=self.cfg.dynamic_membership
        )
        if isinstance(cmd, messages.PutBackend) and outcome and outcome.code == "ok":
            self._grant_backend(cmd.row)
        return outcome

    def _propose(self, cmd):
        return self._propose_encoded(*encode_body(cmd))

    def _propose_encoded(self, kind, data):
        return self.raft.propose(msgspec.msgpack.encode((kind, data)))

    def _propose_once(self, cmd):
        """Propose a command unless the same one is on its way; return if it was."""
        kind, data = encode_body(cmd)
        if (kind, data) in self._pending:
            return False
        self._pending.add((kind, data))
        self._propose_encoded(kind, data)
        return True

    # --- applying ---------------------------------------------------------

    def _apply(self, entry):
        self._applied = entry.index
        outcome = Outcome("ok", self.state.revision)
        if entry.kind == "command":
            kind, data = msgspec.msgpack.decode(entry.data, type=_command_type)
            outcome = self.state.apply(kind, data)
            self._pending.discard((kind, data))
            if kind == "PutBackend" and self.raft.is_leader:
                self._grant_backend(decode_body(kind, data).row)
        none = (0, "", 0, 0.0)
        term, sender, request_id, since_s = self._waiting.pop(entry.index, none)
        if sender and term == entry.term:
            self.telemetry.commit_times.append(self._now_s - since_s)
            reply = CommandReply(request_id, outcome, self.leader_id)
            self._outbox.append((sender, reply))

    def _grant_backend(self, row):
        self.sessions.touch_backend(row.backend_id, row.service, self._now_s)

    def _answer_status(self, sender, request):
        answer = {
            "status": lambda: msgspec.json.encode(self.status()),
            "plan": lambda: msgspec.msgpack.encode(self.state.read_plan()),
            "settings": lambda: msgspec.json.encode(list(self.state.changes)[-1:]),
            "history": lambda: msgspec.json.encode(list(self.state.changes)),
        }.get(request.what)
        if answer is None:
            outcome, data = Outcome("invalid", detail=f"no {request.what!r}"), b""
        else:
            outcome = Outcome("ok", self.state.revision)
            data = answer()
        reply = StatusReply(request.request_id, outcome, self.leader_id, data)
        self._outbox.append((sender, reply))

    def status(self):
        """Return the state of the system as this leader knows it."""
        return cluster_status(self.raft, self.state, self.sessions, self._now_s)
