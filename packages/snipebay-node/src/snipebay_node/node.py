"""Node of one instance: connects the cores to the network, disk and clock."""

import pathlib
import secrets
import time

import numpy as np
import structlog
from circuits import BaseComponent
from circuits.core.pollers import EPoll
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_model import messages
from snipebay_model.node_names import instance_id_of
from snipebay_model.units import LOOKUP_TTL_S
from snipebay_model.view import EntryRow
from snipebay_policy.context import EntryConfig
from snipebay_policy.entry import EntryCore
from snipebay_policy.work import Send

from snipebay_node.action_loop import (
    CONTROL_MESSAGES,
    CONTROL_PEER_MESSAGES,
    ActionLoop,
)
from snipebay_node.api import Api
from snipebay_node.bus import Bus
from snipebay_node.change_log import ChangeLog
from snipebay_node.http_server import STOP_IDLE_DELAY_S, HttpServer
from snipebay_node.metrics import NodeMetrics
from snipebay_node.metrics_server import MetricsServer
from snipebay_node.proxy import Proxy
from snipebay_node.storage import Storage
from snipebay_node.streams import StreamHub
from snipebay_node.ticker import Ticker
from snipebay_node.tracing import Tracing

__all__ = ["Node"]

TICK_S = 0.05
SOCKET_CLEANUP_INTERVAL_S = 30.0

log = structlog.get_logger(__name__)


class Node(ActionLoop, BaseComponent):
    """Runs the control and entry roles of one instance.

    Args:
        settings: Instance settings.

    Raises:
        StorageError: If the data folder can't be used.
        OSError: If an address can't be listened on.
    """

    channel = "node"

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.clock = time.monotonic
        self.metrics = NodeMetrics()
        self.changes = ChangeLog(log)
        self.storage = None
        self.control = None
        self._peers = {peer.id: peer.internal for peer in settings.peers}
        self._joining_addresses = {}
        self._node_name = settings.id
        self._shutdown_started_s = None
        self._last_refusal = ""
        self._next_cleanup_s = 0.0
        seed = secrets.randbits(64)
        tracing_rng = np.random.default_rng(seed)
        if settings.is_control:
            self._start_control(np.random.default_rng(seed + 1))
        self.entry = EntryCore(
            EntryConfig(self._row()), sorted(self._peers), secrets.randbits(40)
        )
        self.poller = EPoll().register(self)
        self.hub = StreamHub(self.poller).register(self)
        self.tracing = Tracing(
            settings.trace_file, settings.id, settings.trace_share, tracing_rng
        )
        self.proxy = Proxy(
            self.entry,
            self.hub,
            self.clock,
            self.metrics,
            self.tracing,
            self.run_actions,
        )
        self.api = Api(self, _read_token(settings.operator_token_file))
        self.http = HttpServer(self.api, self.clock)
        self.bus = Bus(
            self.poller, settings.internal, self._on_message, self.metrics
        ).register(self)
        if settings.is_entry:
            self.hub.listen(settings.http, self.http.accept)
        MetricsServer(settings.metrics, self.metrics, self.is_ready).register(self)
        Ticker(TICK_S, self._on_tick, self.clock).register(self)

    # --- state ------------------------------------------------------------

    def is_ready(self):
        """Return True while all roles of this instance can serve."""
        if self._shutdown_started_s is not None:
            return False
        if self.settings.is_control and self.control is None:
            return False
        now_s = self.clock()
        return not self.settings.is_entry or (
            self.entry.is_ready and self.entry.ctx.may_serve(now_s)
        )

    def reload(self, settings):
        """Apply changed settings, as far as they can change at run time."""
        self._peers = {peer.id: peer.internal for peer in settings.peers}
        self.entry.commands.controls = tuple(sorted(self._peers))
        self.settings = settings
        log.info("settings reloaded")

    def begin_stop(self):
        """Start a graceful shutdown.

        The instance withdraws from lookups, completes its requests and stops.
        """
        if self._shutdown_started_s is not None:
            return
        self._shutdown_started_s = self.clock()
        log.info("graceful shutdown started")
        if self.settings.is_entry and self.entry.is_ready:
            self.entry.leave(self.clock())
        if self.control is not None:
            self.control.stop()
        self.run_actions()

    # --- messages ---------------------------------------------------------

    def send(self, target, body):
        """Send a message to an instance, given its id or node name.

        A node name is an instance id, ``#`` and the incarnation of the data folder.
        """
        instance_id = instance_id_of(target)
        if instance_id == self.settings.id:
            self._local_messages.append(body)
            return
        address = self._peers.get(instance_id) or self._entry_address(instance_id)
        if address:
            self.bus.send(address, self._sender_name(body), body)

    def _sender_name(self, body):
        """Return the sender of a message: the node name or the instance id."""
        uses_node_name = isinstance(body, CONTROL_PEER_MESSAGES)
        return self._node_name if uses_node_name else self.settings.id

    def _own_id(self):
        return self.settings.id

    def _handle(self, sender, body):
        now_s = self.clock()
        if isinstance(body, CONTROL_MESSAGES):
            if self.control is not None:
                if isinstance(body, messages.Renew):
                    self._joining_addresses[body.row.entry_id] = body.row.internal
                self.control.receive(sender, body, now_s)
        elif isinstance(body, messages.StatusReply):
            self.api.on_status(body)
        else:
            self.entry.receive(sender, body, now_s)
            if isinstance(body, messages.RenewReply):
                self._log_refusal(body.refused)

    def _close_unused_sockets(self):
        """Close the sockets to instances that have left the system."""
        rows = self.entry.ctx.view.entries
        in_use = {row.internal for row in rows} | set(self._peers.values())
        if self.control is not None:
            in_use |= {row.internal for row in self.control.state.entries.values()}
            in_use |= set(self._joining_addresses.values())
            self._joining_addresses.clear()
        self.bus.close_except(in_use)

    def _log_refusal(self, refused):
        if refused != self._last_refusal and refused:
            log.error("control group refused this instance", reason=refused)
        self._last_refusal = refused

    def _run_client_actions(self):
        actions = self.entry.pop_actions()
        for action in actions:
            if isinstance(action, Send):
                self.send(action.target, action.body)
            else:
                self.proxy.execute(action)
        return bool(actions)

    def _disable_control(self, exc):
        log.critical("control role stopped by a storage failure", error=str(exc))
        self.control = None

    def _entry_address(self, instance_id):
        for row in self.entry.ctx.view.entries:
            if row.entry_id == instance_id:
                return row.internal
        if self.control is not None:
            row = self.control.state.entries.get(instance_id)
            return (
                row.internal
                if row is not None
                else self._joining_addresses.get(instance_id)
            )
        return None

    # --- time -------------------------------------------------------------

    def _on_tick(self, now_s):
        if self.control is not None:
            self.control.tick(now_s)
            self.metrics.leader.set(self.control.raft.is_leader)
        if self.settings.is_entry:
            self.entry.tick(now_s)
            self.api.tick(now_s)
            self.proxy.tick(now_s)
            self.http.tick(now_s)
            self.hub.tick(now_s)
            self.metrics.revision.set(self.entry.ctx.view.revision)
            self.metrics.set_decisions(self.entry.ctx.counts)
            for event, subject, fields in self.entry.ctx.pop_events():
                self.changes.record(now_s, event, subject, **fields)
        self.run_actions()
        self.changes.tick(now_s)
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + SOCKET_CLEANUP_INTERVAL_S
            self._close_unused_sockets()
        if self._shutdown_started_s is not None:
            self._continue_shutdown(now_s)

    def _continue_shutdown(self, now_s):
        """Stop once the shutdown is complete or has timed out.

        It is complete when lookups that returned this instance have expired and all
        requests have ended.
        """
        elapsed_s = now_s - self._shutdown_started_s
        lookups_expired = elapsed_s >= self.lookup_expiry_s
        if lookups_expired:
            # A request accepted later might outlast the stop.
            self.hub.stop_listening()
            self.http.stop()
        # Idle connections of callers are closed a moment after the stop of the server.
        delay_s = STOP_IDLE_DELAY_S if self.lookup_expiry_s else 0.0
        are_closed = elapsed_s >= self.lookup_expiry_s + delay_s
        is_complete = are_closed and self.proxy.is_idle and self.entry.is_idle
        if is_complete or elapsed_s >= self.settings.stop_timeout_s:
            log.info("stopped", whole=is_complete, seconds=round(elapsed_s, 2))
            self.proxy.pool.close()
            self.bus.close()
            self.tracing.close()
            if self.storage is not None:
                self.storage.close()
            self.root.stop(0)

    @property
    def lookup_expiry_s(self):
        """Time for which callers may still use lookups that returned this instance."""
        if not (self.settings.is_entry and self.entry.is_ready):
            return 0.0
        return min(LOOKUP_TTL_S + 1.0, self.settings.stop_timeout_s / 2)

    # --- start ------------------------------------------------------------

    def _start_control(self, rng):
        self.storage = Storage(self.settings.data, self.settings.id)
        self._node_name = f"{self.settings.id}#{self.storage.incarnation}"
        cfg = ControlConfig(self._node_name, tuple(sorted(self._peers)))
        self.control = ControlCore(cfg, self.storage.load(), rng, self.clock())

    def _row(self):
        return EntryRow(
            self.settings.id,
            secrets.token_hex(6),
            self.settings.http,
            self.settings.internal,
            self.settings.region,
            self.settings.domain,
        )


def _read_token(path):
    """Return the operator token in a file, or an empty string without a path."""
    return pathlib.Path(path).read_text().strip() if path else ""
