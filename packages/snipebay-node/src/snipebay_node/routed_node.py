"""Node that finds the control group by seed addresses and forwards by routes."""

import random
import secrets

import attrs
import structlog
from circuits import BaseComponent
from circuits.core.pollers import EPoll
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_control.raft import RaftTiming
from snipebay_control.sessions import LeaseTiming
from snipebay_model import messages
from snipebay_model.node_names import instance_id_of
from snipebay_model.view import EntryRow
from snipebay_policy.routed import RoutedCore
from snipebay_policy.work import Send

from snipebay_node.action_loop import (
    CONTROL_MESSAGES,
    CONTROL_PEER_MESSAGES,
    ActionLoop,
)
from snipebay_node.body_budget import BodyBudget, capacity_of
from snipebay_node.boot_clock import boot_time_s
from snipebay_node.change_log import ChangeLog
from snipebay_node.control_client import ControlClient
from snipebay_node.forwarder import Forwarder
from snipebay_node.frames import FrameBus
from snipebay_node.http_server import HttpServer
from snipebay_node.metrics import NodeMetrics
from snipebay_node.socket_limits import choose_connections, socket_limits
from snipebay_node.state_collector import StateCollector
from snipebay_node.stop_schedule import StopSchedule
from snipebay_node.storage import BOOTSTRAP_INCARNATION, Storage, StorageError
from snipebay_node.streams import StreamHub
from snipebay_node.ticker import Ticker

__all__ = ["RoutedNode"]

# Interval of the periodic work while requests wait for a slot, or with the control
# role, and at other times, when only deadlines and renewals are due.
BUSY_TICK_S = 0.025
IDLE_TICK_S = 0.1
# Delay before opening an unusable data folder again.
STORAGE_RETRY_DELAY_S = 0.5
# Election timeouts that differ by more than a round trip between regions (0.07 s)
# rarely cause a split vote among five voters.
RAFT_TIMING = RaftTiming(
    heartbeat_s=0.15, election_min_s=0.7, election_max_s=2.1, leader_lease_s=0.6
)
MIN_ERROR_STATUS = 400
# Idle connections to backend servers that are kept when descriptors are short.
IDLE_BACKEND_SHARE = 1 / 16
ENTRY_MESSAGES = (
    messages.CreditReply,
    messages.LoadNews,
    messages.PermitReply,
    messages.PermitRequest,
    messages.RenewReply,
)

log = structlog.get_logger(__name__)


class RoutedNode(ActionLoop, BaseComponent):
    """Runs the control and entry roles of one instance.

    Args:
        settings: Validated settings.

    Raises:
        OSError: If an address can't be listened on.
    """

    channel = "node"

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.clock = boot_time_s
        self.metrics = NodeMetrics()
        self.changes = ChangeLog(log)
        self.poller = EPoll().register(self)
        self.budget = BodyBudget(
            capacity_of(settings.memory_mb, is_control=bool(settings.data))
        )
        self.metrics.watch_bodies(self.budget)
        limits = socket_limits(settings.max_fds)
        self.hub = StreamHub(self.poller, self.clock, self.budget, limits)
        self.hub.register(self)
        self.hub.on_crowded = self._close_idle_connections
        self.servers = []
        self.storage = None
        self.control = None
        self.entry = None
        self.forwarder = None
        self.control_client = ControlClient(settings.seeds, self.clock)
        self._rng = random.Random(secrets.randbits(64))
        self._node_name = settings.internal
        self._shutdown_started_s = None
        self._storage_retry_at_s = 0.0
        self._leader = ""
        self._members = {}
        self.bus = FrameBus(
            self.hub, settings.internal, self._on_message, self.metrics, self.clock
        )
        if settings.data:
            self._start_control()
        if settings.callers:
            self._start_entry()
        self.metrics.registry.register(
            StateCollector(self.clock, lambda: self.entry, lambda: self.control)
        )
        self._ticker = Ticker(BUSY_TICK_S, self._on_tick, self.clock).register(self)

    # --- state ------------------------------------------------------------

    @property
    def is_stopping(self):
        return self._shutdown_started_s is not None

    def is_ready(self):
        """Return True while this instance can serve callers."""
        return not self.is_stopping and self.entry is not None and self.entry.is_ready

    def serve(self, address, app, name):
        """Serve an HTTP application.

        Args:
            address: ``host:port`` to listen on.
            app: Application for an :class:`HttpServer`.
            name: Name of the API in metrics and logs.
        """

        def record_response(exchange, status, detail):
            self.metrics.call_ended(name, status)
            if status >= MIN_ERROR_STATUS:
                event = f"{name} call refused"
                subject = f"{exchange.method} {exchange.path}"
                self.changes.record(
                    self.clock(), event, subject, status=status, detail=detail
                )

        server = HttpServer(
            app,
            self.clock,
            on_response=record_response,
            log_index=self._log_index,
            budget=self.budget,
        )
        self._listen(address, server)

    def _log_index(self):
        """Return the log index that the control role has applied, 0 without it."""
        return self.control.applied_index if self.control is not None else 0

    def _close_idle_connections(self):
        """Close connections to free descriptors for others."""
        if self.forwarder is not None:
            self.forwarder.pool.close_oldest_idle(
                int(IDLE_BACKEND_SHARE * self.settings.max_fds)
            )
        connections = [row for server in self.servers for row in server.connections]
        for connection in choose_connections(connections):
            connection.stream.abort()

    def _listen(self, address, server):
        self.servers.append(server)
        self.hub.listen(address, server.accept)

    def lookup(self, domain, region):
        """Return the addresses of entry instances for a caller, nearest first."""
        self.metrics.lookups.inc()
        return self.entry.lookup(domain, region)

    def reload(self, settings):
        """Apply changed seeds, the only setting that can change at run time."""
        if settings.seeds != self.settings.seeds:
            self.settings = attrs.evolve(self.settings, seeds=settings.seeds)
            if self.entry is not None:
                self.entry.update_seeds(settings.seeds)
            if self.control is not None:
                self.control.joining.peers = tuple(settings.seeds)
        log.info("settings reloaded", seeds=list(settings.seeds))

    def begin_stop(self):
        """Start a graceful shutdown.

        The instance withdraws from lookups, completes its requests and stops.
        """
        if self.is_stopping:
            return
        now_s = self._shutdown_started_s = self.clock()
        log.info("graceful shutdown started")
        if self.entry is not None:
            self.entry.leave(now_s)
            self.entry.forward.end_by(now_s + self._stop_schedule.requests_end_s)
        if self.control is not None:
            self.control.stop()
        for server in self.servers:
            server.stop()
        self.run_actions()

    # --- messages ---------------------------------------------------------

    def send(self, target, body):
        """Send a message to an instance, given its id or node name.

        The id is the internal address.
        """
        address = instance_id_of(target)
        if address == self.settings.internal:
            self._local_messages.append(body)
            return
        uses_node_name = isinstance(body, CONTROL_PEER_MESSAGES)
        sender = self._node_name if uses_node_name else self.settings.internal
        self.bus.send(address, sender, body)

    def _own_id(self):
        return self.settings.internal

    def _handle(self, sender, body):
        now_s = self.clock()
        if isinstance(body, CONTROL_MESSAGES):
            if self.control is not None:
                self.control.receive(sender, body, now_s)
        elif isinstance(body, ENTRY_MESSAGES):
            if self.entry is not None:
                self.entry.receive(sender, body, now_s)
        else:
            self.control_client.receive(body, now_s)

    def _run_client_actions(self):
        actions = self.control_client.pop_actions()
        if self.entry is not None:
            actions = actions + self.entry.pop_actions()
        for action in actions:
            if isinstance(action, Send):
                self.send(action.target, action.body)
            else:
                self.forwarder.execute(action)
        return bool(actions)

    def run_actions(self):
        """Execute the pending actions; tick soon for requests that began to wait."""
        super().run_actions()
        if self._ticker.interval_s > BUSY_TICK_S and self._is_busy:
            self._ticker.interval_s = BUSY_TICK_S
            self._ticker.expedite(BUSY_TICK_S)

    # --- time -------------------------------------------------------------

    @property
    def _is_busy(self):
        """True while there is work that the next tick may be able to do."""
        if self.settings.data or self.is_stopping:
            return True
        if self.entry is None or not self.entry.is_ready:
            return True
        forward = self.entry.forward
        return forward.queue.is_waiting or forward.quota.is_waiting

    def _on_tick(self, now_s):
        if self.control is not None:
            if self.hub.accept_waiting():
                for server in self.servers:
                    server.note_all_accepted()
            self.control.tick(now_s)
            self._update_leader()
        elif self.settings.data and now_s >= self._storage_retry_at_s:
            self._start_control()
        self.control_client.tick(now_s)
        if self.entry is not None:
            self.entry.tick(now_s)
            self.forwarder.tick(now_s)
            self.budget.note_unrelayed(self.forwarder.buffered_bytes)
            self.metrics.revision.set(self.entry.view.revision)
        for server in self.servers:
            server.tick(now_s)
        self.hub.tick(now_s)
        self.bus.tick(now_s)
        self.run_actions()
        self._log_changes(now_s)
        if self.is_stopping:
            self._continue_shutdown(now_s)
        self._ticker.interval_s = BUSY_TICK_S if self._is_busy else IDLE_TICK_S

    def _update_leader(self):
        """Pass the leader to the control client, and log changes of the group."""
        leader = self.control.leader_id
        self.control_client.set_leader(leader, self.control.controls)
        self.metrics.leader.set(self.control.raft.is_leader)
        if leader != self._leader:
            log.info("leader changed", leader=leader, term=self.control.raft.term)
            self.metrics.leader_changes.inc()
            self._leader = leader
        members = self.control.raft.members
        if members != self._members:
            log.info("members changed", members=dict(sorted(members.items())))
            self._members = dict(members)

    def _log_changes(self, now_s):
        """Log the state changes that the cores have reported."""
        if self.entry is not None:
            for event, subject, fields in self.entry.pop_events():
                self.changes.record(now_s, event, subject, **fields)
        self.changes.tick(now_s)

    def _continue_shutdown(self, now_s):
        """Stop once all requests have ended or the shutdown has timed out."""
        elapsed_s = now_s - self._shutdown_started_s
        if self.entry is not None and elapsed_s >= self._stop_schedule.accept_s:
            self.entry.forward.is_closed = True
        is_idle = self.forwarder is None or self.forwarder.is_idle
        has_timed_out = elapsed_s >= self.settings.stop_timeout_s
        if (is_idle and elapsed_s >= self._stop_schedule.min_s) or has_timed_out:
            log.info("stopped", whole=is_idle, seconds=round(elapsed_s, 2))
            self.bus.close()
            if self.storage is not None:
                self.storage.close()
            self.root.stop(0)

    @property
    def _stop_schedule(self):
        return StopSchedule(self.settings.stop_timeout_s, self.entry is not None)

    # --- start ------------------------------------------------------------

    def _start_control(self):
        settings = self.settings
        # The seeds are the initial voters. Their data folders share one fixed
        # incarnation, so that each seed knows the node names of the others, and any
        # majority of them can bootstrap the group.
        is_initial_voter = (
            settings.may_bootstrap and settings.internal in settings.seeds
        )
        try:
            self.storage = Storage(
                settings.data,
                settings.internal,
                BOOTSTRAP_INCARNATION if is_initial_voter else "",
            )
        except StorageError as exc:
            self._disable_control(exc)
            return
        self._node_name = f"{settings.internal}#{self.storage.incarnation}"
        cfg = ControlConfig(
            self._node_name,
            tuple(settings.seeds),
            raft=RAFT_TIMING,
            leases=LeaseTiming(
                entry_lease_s=settings.entry_lease_s,
                completion_grace_s=0.0,
                backend_lease_s=settings.backend_lease_s,
                needs_live_peer=False,
            ),
            quota=settings.quota,
            dynamic_membership=True,
            initial_voters=tuple(
                f"{seed}#{BOOTSTRAP_INCARNATION}" for seed in settings.seeds
            ),
        )
        stored = self.storage.load()
        self.control = ControlCore(cfg, stored, self._rng, self.clock())
        log.info(
            "control role started", node=self._node_name, term=stored.hard_state.term
        )

    def _disable_control(self, exc):
        log.error("data folder not usable", error=str(exc))
        if self.storage is not None:
            self.storage.close()
        self.storage = self.control = None
        self._storage_retry_at_s = self.clock() + STORAGE_RETRY_DELAY_S

    def _start_entry(self):
        settings = self.settings
        row = EntryRow(
            settings.internal,
            secrets.token_hex(6),
            settings.callers,
            settings.internal,
            settings.region,
            settings.domain,
        )
        self.entry = RoutedCore(settings.routed(row), settings.seeds)
        self.forwarder = Forwarder(
            self.entry,
            self.hub,
            self.clock,
            self.metrics,
            self.run_actions,
            settings.header_names,
        )
        server = HttpServer(
            self.forwarder,
            self.clock,
            lambda: self.entry.limits,
            budget=self.budget,
            deadline_header=settings.header_names.deadline_ms.decode(),
        )
        self._listen(settings.callers, server)
