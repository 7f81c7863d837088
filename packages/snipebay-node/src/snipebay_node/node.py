"""One snipebay instance: the pure cores on sockets, disk and clock."""

import pathlib
import secrets
import time

import numpy as np
import structlog
from circuits import BaseComponent, handler
from circuits.core.pollers import EPoll
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_model import messages
from snipebay_model.units import LOOKUP_TTL_S
from snipebay_model.view import EntryRow
from snipebay_policy.context import EntryConfig
from snipebay_policy.entry import EntryCore
from snipebay_policy.work import Send

from snipebay_node.action_loop import CONTROL_MESSAGES, SIGNED_MESSAGES, ActionLoop
from snipebay_node.api import Api
from snipebay_node.bus import Bus
from snipebay_node.change_log import ChangeLog
from snipebay_node.http_server import HttpServer
from snipebay_node.logs import Tracing
from snipebay_node.metrics import NodeMetrics
from snipebay_node.metrics_server import MetricsServer
from snipebay_node.proxy import Proxy
from snipebay_node.storage import Storage
from snipebay_node.streams import StreamHub
from snipebay_node.ticker import Ticker

__all__ = ["Node"]

TICK_S = 0.05
FORGET_S = 30.0

log = structlog.get_logger(__name__)


class Node(ActionLoop, BaseComponent):
    """One instance with its roles.

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
        self._controls = {peer.id: peer.internal for peer in settings.peers}
        self._newcomers = {}
        self._node_name = settings.id
        self._stopping_since_s = None
        self._warned = ""
        self._next_forget_s = 0.0
        seed = secrets.randbits(64)
        tracing_rng = np.random.default_rng(seed)
        if settings.is_control:
            self._start_control(np.random.default_rng(seed + 1))
        self.entry = EntryCore(
            EntryConfig(self._row()), sorted(self._controls), secrets.randbits(40)
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
        """Return True while this instance can do its work."""
        if self._stopping_since_s is not None:
            return False
        if self.settings.is_control and self.control is None:
            return False
        now_s = self.clock()
        return not self.settings.is_entry or (
            self.entry.is_ready and self.entry.ctx.may_serve(now_s)
        )

    def reload(self, settings):
        """Take in changed instance settings, as far as a running process can."""
        self._controls = {peer.id: peer.internal for peer in settings.peers}
        self.entry.commands.controls = tuple(sorted(self._controls))
        self.settings = settings
        log.info("settings reread")

    def begin_stop(self):
        """Leave look-ups, let requests end, then stop."""
        if self._stopping_since_s is not None:
            return
        self._stopping_since_s = self.clock()
        log.info("stop begins")
        if self.settings.is_entry and self.entry.is_ready:
            self.entry.leave(self.clock())
        if self.control is not None:
            self.control.stop()
        self.run_actions()

    # --- messages ---------------------------------------------------------

    def send(self, target, body):
        """Send a message to an instance by id or node name."""
        instance_id = target.partition("#")[0]
        if instance_id == self.settings.id:
            self._local.append(body)
            return
        address = self._controls.get(instance_id) or self._entry_address(instance_id)
        if address:
            self.bus.send(address, self._sender(body), body)

    def _sender(self, body):
        """Return how we sign a message: control instances by their disk."""
        is_signed = isinstance(body, SIGNED_MESSAGES)
        return self._node_name if is_signed else self.settings.id

    def _own_id(self):
        return self.settings.id

    def _handle(self, sender, body):
        now_s = self.clock()
        if isinstance(body, CONTROL_MESSAGES):
            if self.control is not None:
                if isinstance(body, messages.Renew):
                    self._newcomers[body.row.entry_id] = body.row.internal
                self.control.receive(sender, body, now_s)
        elif isinstance(body, messages.StatusReply):
            self.api.on_status(body)
        else:
            self.entry.receive(sender, body, now_s)
            if isinstance(body, messages.RenewReply):
                self._note_refusal(body.refused)

    def _forget_gone(self):
        """Close sockets to instances that no view names any more."""
        rows = self.entry.ctx.view.entries
        known = {row.internal for row in rows} | set(self._controls.values())
        if self.control is not None:
            known |= {row.internal for row in self.control.state.entries.values()}
            known |= set(self._newcomers.values())
            self._newcomers.clear()
        self.bus.close_except(known)

    def _note_refusal(self, refused):
        if refused != self._warned and refused:
            log.error("this instance may not join", reason=refused)
        self._warned = refused

    def _work_clients(self):
        actions = self.entry.pop_actions()
        for action in actions:
            if isinstance(action, Send):
                self.send(action.target, action.body)
            else:
                self.proxy.execute(action)
        return bool(actions)

    def _end_control(self, exc):
        log.critical("control role ends", error=str(exc))
        self.control = None

    def _entry_address(self, instance_id):
        for row in self.entry.ctx.view.entries:
            if row.entry_id == instance_id:
                return row.internal
        if self.control is not None:
            row = self.control.state.entries.get(instance_id)
            return row.internal if row is not None else self._newcomers.get(instance_id)
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
        self.run_actions()
        self.changes.tick(now_s)
        if now_s >= self._next_forget_s:
            self._next_forget_s = now_s + FORGET_S
            self._forget_gone()
        if self._stopping_since_s is not None:
            self._go_on_stopping(now_s)

    @handler("exception", channel="*")
    def _on_exception(self, kind, exc, trace, handler=None, fevent=None):
        log.error("fault in a handler", error=repr(exc), trace="".join(trace))

    def _go_on_stopping(self, now_s):
        """Stop once look-up answers have run out and all requests have ended."""
        elapsed_s = now_s - self._stopping_since_s
        answers_over = elapsed_s >= self.stop_wait_s
        if answers_over:
            self.http.stop()
        done = answers_over and self.proxy.is_idle and self.entry.is_idle
        if done or elapsed_s >= self.settings.stop_timeout_s:
            log.info("stopped", whole=done, seconds=round(elapsed_s, 2))
            self.hub.stop_listening()
            self.proxy.pool.close()
            self.bus.close()
            self.tracing.close()
            if self.storage is not None:
                self.storage.close()
            self.root.stop(0)

    @property
    def stop_wait_s(self):
        """Time for which look-up answers that name us may still be used."""
        if not (self.settings.is_entry and self.entry.is_ready):
            return 0.0
        return min(LOOKUP_TTL_S + 1.0, self.settings.stop_timeout_s / 2)

    # --- start ------------------------------------------------------------

    def _start_control(self, rng):
        self.storage = Storage(self.settings.data, self.settings.id)
        self._node_name = f"{self.settings.id}#{self.storage.incarnation}"
        cfg = ControlConfig(self._node_name, tuple(sorted(self._controls)))
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
    """Return the operator token in a file, or an empty string for no path."""
    return pathlib.Path(path).read_text().strip() if path else ""
