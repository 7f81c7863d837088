"""An instance that finds its control group by seeds and forwards by routes."""

import random
import secrets
import time

import attrs
import structlog
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_control.membership import instance_id_of
from snipebay_control.raft import RaftTiming
from snipebay_control.sessions import LeaseTiming
from snipebay_model import messages
from snipebay_model.view import EntryRow
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Send

from snipebay_node.action_loop import CONTROL_MESSAGES, SIGNED_MESSAGES, ActionLoop
from snipebay_node.change_log import ChangeLog
from snipebay_node.control_client import ControlClient
from snipebay_node.forwarder import Forwarder
from snipebay_node.frames import FrameBus
from snipebay_node.header_names import HeaderNames
from snipebay_node.http_server import HttpServer
from snipebay_node.metrics import NodeMetrics
from snipebay_node.state_collector import StateCollector
from snipebay_node.storage import FOUNDER, Storage, StorageError
from snipebay_node.streams import StreamHub
from snipebay_node.ticker import Ticker

__all__ = ["RoutedNode", "RoutedSettings"]

TICK_S = 0.025
# Pause before a data folder that could not be used is tried again.
STORAGE_RETRY_S = 0.5
# Candidates that are apart by more than a round trip between regions (0.07 s)
# rarely split the votes of five.
RAFT_TIMING = RaftTiming(
    heartbeat_s=0.15, election_min_s=0.7, election_max_s=2.1, leader_lease_s=0.6
)
# Time after the begin of a stop from which requests are refused: callers have
# asked for other instances by then, and what was taken before can still end.
STOP_ADMIT_S = 2.5
# Least status of an answer that tells of a failure.
HTTP_ERRORS = 400

log = structlog.get_logger(__name__)


@attrs.frozen
class RoutedSettings:
    """Settings of one instance, checked.

    Attributes:
        name: Name for people.
        region: Region that it stands in.
        domain: Failure domain that it stands in.
        internal: ``host:port`` for other instances, by which they know it.
        seeds: Internal addresses of control instances to ask first.
        callers: ``host:port`` for callers of routes, empty without the role.
        data: Data folder of a control instance, empty without the role.
        may_bootstrap: True when the whole system starts for the first time.
        stop_timeout_s: Longest graceful stop.
        entry_lease_s: Lease of an entry instance.
        backend_lease_s: Lease of an announcement.
        routed: Function from our row to the settings of the routed core.
        header_names: Header names of callers and backend servers.
    """

    name: str
    region: str
    domain: str
    internal: str
    seeds: tuple
    callers: str = ""
    data: str = ""
    may_bootstrap: bool = False
    stop_timeout_s: float = 30.0
    entry_lease_s: float = 3.0
    backend_lease_s: float = 6.0
    routed: object = RoutedConfig
    header_names: HeaderNames = HeaderNames()


class RoutedNode(ActionLoop, BaseComponent):
    """One instance with its roles.

    Args:
        settings: Checked settings.

    Raises:
        OSError: If an address can't be listened on.
    """

    channel = "node"

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.clock = time.monotonic
        self.metrics = NodeMetrics()
        self.changes = ChangeLog(log)
        self.poller = EPoll().register(self)
        self.hub = StreamHub(self.poller).register(self)
        self.servers = []
        self.storage = None
        self.control = None
        self.entry = None
        self.forwarder = None
        self.control_client = ControlClient(settings.seeds, self.clock)
        self._rng = random.Random(secrets.randbits(64))
        self._node_name = settings.internal
        self._stopping_since_s = None
        self._storage_retry_s = 0.0
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
        Ticker(TICK_S, self._on_tick, self.clock).register(self)

    # --- state ------------------------------------------------------------

    @property
    def is_stopping(self):
        return self._stopping_since_s is not None

    def is_ready(self):
        """Return True while callers may be sent here."""
        return not self.is_stopping and self.entry is not None and self.entry.is_ready

    def serve(self, address, app, name):
        """Serve an application over HTTP at an address, under a name for metrics."""

        def note(exchange, status, detail):
            self.metrics.call_answered(name, status)
            if status >= HTTP_ERRORS:
                event = f"{name} call refused"
                subject = f"{exchange.method} {exchange.path}"
                self.changes.record(
                    self.clock(), event, subject, status=status, detail=detail
                )

        self._listen(address, HttpServer(app, self.clock, on_response=note))

    def _listen(self, address, server):
        self.servers.append(server)
        self.hub.listen(address, server.accept)

    def lookup(self, domain, region):
        """Return the addresses of entry instances for a caller, nearest first."""
        self.metrics.lookups.inc()
        return self.entry.lookup(domain, region)

    def reload(self, settings):
        """Take in changed seeds, the only setting that moves in a running process."""
        if settings.seeds != self.settings.seeds:
            self.settings = attrs.evolve(self.settings, seeds=settings.seeds)
            if self.entry is not None:
                self.entry.update_seeds(settings.seeds)
            if self.control is not None:
                self.control.joining.peers = tuple(settings.seeds)
        log.info("settings reread", seeds=list(settings.seeds))

    def begin_stop(self):
        """Leave look-ups, let requests end, then stop."""
        if self.is_stopping:
            return
        self._stopping_since_s = self.clock()
        log.info("stop begins")
        if self.entry is not None:
            self.entry.leave(self.clock())
        if self.control is not None:
            self.control.stop()
        for server in self.servers:
            server.stop()
        self.run_actions()

    # --- messages ---------------------------------------------------------

    def send(self, target, body):
        """Send a message to an instance, known by its internal address."""
        address = instance_id_of(target)
        if address == self.settings.internal:
            self._local.append(body)
            return
        is_signed = isinstance(body, SIGNED_MESSAGES)
        sender = self._node_name if is_signed else self.settings.internal
        self.bus.send(address, sender, body)

    def _own_id(self):
        return self.settings.internal

    def _handle(self, sender, body):
        now_s = self.clock()
        if isinstance(body, CONTROL_MESSAGES):
            if self.control is not None:
                self.control.receive(sender, body, now_s)
        elif isinstance(body, messages.RenewReply):
            if self.entry is not None:
                self.entry.receive(sender, body, now_s)
        else:
            self.control_client.receive(body, now_s)

    def _work_clients(self):
        actions = self.control_client.pop_actions()
        if self.entry is not None:
            actions = actions + self.entry.pop_actions()
        for action in actions:
            if isinstance(action, Send):
                self.send(action.target, action.body)
            else:
                self.forwarder.execute(action)
        return bool(actions)

    # --- time -------------------------------------------------------------

    def _on_tick(self, now_s):
        if self.control is not None:
            self.control.tick(now_s)
            self._note_leader()
        elif self.settings.data and now_s >= self._storage_retry_s:
            self._start_control()
        self.control_client.tick(now_s)
        if self.entry is not None:
            self.entry.tick(now_s)
            self.forwarder.tick(now_s)
            self.metrics.revision.set(self.entry.view.revision)
        for server in self.servers:
            server.tick(now_s)
        self.hub.tick(now_s)
        self.bus.tick(now_s)
        self.run_actions()
        self._log_changes(now_s)
        if self.is_stopping:
            self._go_on_stopping(now_s)

    def _note_leader(self):
        """Tell the clients in this process who leads, and log a change."""
        leader = self.control.leader_id
        self.control_client.lead_by(leader, self.control.controls)
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
        """Log what the cores have come to believe."""
        if self.entry is not None:
            for event, subject, fields in self.entry.pop_events():
                self.changes.record(now_s, event, subject, **fields)
        self.changes.tick(now_s)

    def _go_on_stopping(self, now_s):
        """Stop once all requests have ended, or the time for it is over."""
        elapsed_s = now_s - self._stopping_since_s
        if self.entry is not None and elapsed_s >= STOP_ADMIT_S:
            self.entry.forward.is_closed = True
        idle = self.forwarder is None or self.forwarder.is_idle
        is_over = elapsed_s >= self.settings.stop_timeout_s
        if (idle and elapsed_s >= self._stop_wait_s) or is_over:
            log.info("stopped", whole=idle, seconds=round(elapsed_s, 2))
            self.bus.close()
            if self.storage is not None:
                self.storage.close()
            self.root.stop(0)

    @property
    def _stop_wait_s(self):
        """Time for which callers may still use an answer that names us."""
        return STOP_ADMIT_S + 0.5 if self.entry is not None else 0.2

    @handler("exception", channel="*")
    def _on_exception(self, kind, exc, trace, handler=None, fevent=None):
        log.error("fault in a handler", error=repr(exc), trace="".join(trace))

    # --- start ------------------------------------------------------------

    def _start_control(self):
        settings = self.settings
        # The seeds found the group together, each under the same name whatever
        # its disk, so that any majority of them can begin.
        founds = settings.may_bootstrap and settings.internal in settings.seeds
        try:
            self.storage = Storage(
                settings.data, settings.internal, FOUNDER if founds else ""
            )
        except StorageError as exc:
            self._end_control(exc)
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
            dynamic_membership=True,
            initial_voters=tuple(f"{seed}#{FOUNDER}" for seed in settings.seeds),
        )
        stored = self.storage.load()
        self.control = ControlCore(cfg, stored, self._rng, self.clock())
        log.info("control begins", node=self._node_name, term=stored.hard_state.term)

    def _end_control(self, exc):
        log.error("data folder not usable", error=str(exc))
        if self.storage is not None:
            self.storage.close()
        self.storage = self.control = None
        self._storage_retry_s = self.clock() + STORAGE_RETRY_S

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
        server = HttpServer(self.forwarder, self.clock, lambda: self.entry.limits)
        self._listen(settings.callers, server)
