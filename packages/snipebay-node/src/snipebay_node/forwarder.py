"""Forwards requests on routes between callers and backend servers."""

import attrs
import structlog
from snipebay_policy.work import Cancel, Dispatch, Problem, Relay

from snipebay_node.header_names import HeaderNames
from snipebay_node.log_sink import RequestLog
from snipebay_node.upstream import (
    MISDIRECTED_REQUEST,
    UpstreamPool,
    UpstreamRequest,
    next_hop_headers,
    strip_hop_headers,
)

__all__ = ["Forwarder"]

# An answer up to this size is relayed once it is whole, so that one that breaks
# off can be asked for again; a longer one is streamed.
HELD_ANSWER_BYTES = 64 * 1024

log = structlog.get_logger(__name__)


@attrs.define
class _Answer:
    """What has come of an attempt's answer."""

    status: int
    headers: list
    held: bytearray = attrs.Factory(bytearray)
    is_told: bool = False


@attrs.define
class _Running:
    """A request on its way through this process."""

    exchange: object
    request_id: str
    arrived_s: float
    relayed: int = 0
    decision: dict = attrs.Factory(dict)

    @property
    def service(self):
        return self.decision.get("service", "")

    @property
    def kind(self):
        return self.decision.get("kind", "")


@attrs.frozen
class _Sent:
    """The request that an attempt is for."""

    request_id: int
    service: str


class Forwarder:
    """Application of the HTTP server for callers of routes.

    Args:
        core: Routed core.
        hub: Makes connections.
        clock: Function returning the time in seconds.
        metrics: Metrics of the process.
        run_actions: Function that carries out the actions of the cores.
        header_names: Header names of callers and backend servers.
    """

    def __init__(self, core, hub, clock, metrics, run_actions, header_names=None):
        self.core = core
        self.clock = clock
        self.metrics = metrics
        self.run_actions = run_actions
        self.header_names = header_names or HeaderNames()
        self.pool = UpstreamPool(hub, clock, self, self.header_names)
        self._running = {}
        self._sent = {}
        self._answers = {}
        self._log = RequestLog(log, metrics.lines_suppressed.inc)
        self._handlers = {
            Dispatch: self._dispatch,
            Cancel: self._cancel,
            Relay: self._relay,
            Problem: self._problem,
        }

    @property
    def is_idle(self):
        return not self._running

    def tick(self, now_s):
        self.pool.tick(now_s)

    # --- from callers -----------------------------------------------------

    def check_head(self, exchange):
        """Set the body limit of a request."""
        exchange.body_limit = self.core.limits.body_bytes

    def handle(self, exchange):
        """Take in a whole request."""
        now_s = self.clock()
        left = exchange.header(self.header_names.deadline_ms.decode())
        if left and not left.isdigit():
            name = self.header_names.deadline_ms.decode()
            exchange.problem(400, "not-run", f"{name}: {left!r} is not a whole number")
            return
        key = exchange.request_id
        name = exchange.header(self.header_names.request_id.decode())
        self._running[key] = _Running(exchange, name, now_s)
        exchange.on_disconnect = lambda: self._caller_gone(key)
        exchange.stream.on_drained = lambda: self._resume(key)
        timeout_s = int(left) / 1_000 if left else None
        host = exchange.header("host")
        self.core.forward.arrive(
            key, host, exchange.path, timeout_s, now_s, self._affinity(exchange)
        )
        self.run_actions()

    def _affinity(self, exchange):
        """Return what names the object that a request concerns, or nothing."""
        for part in exchange.header("cookie").split(";"):
            name, _, value = part.strip().partition("=")
            if name and name == self.header_names.affinity:
                return value
        return ""

    def execute(self, action):
        """Do what the core decided."""
        self._handlers[type(action)](action)

    def _caller_gone(self, key):
        running = self._running.pop(key, None)
        if running is not None:
            self._note(running, "caller gone", reason="caller_gone")
            self.core.forward.caller_gone(key, self.clock())
            self.run_actions()

    # --- actions ----------------------------------------------------------

    def _dispatch(self, action):
        running = self._running.get(action.request_id)
        if running is None:
            self.core.forward.not_run(action.attempt_id, "caller left", self.clock())
            return
        exchange = running.exchange
        decision = running.decision = action.reason
        self._sent[action.attempt_id] = _Sent(action.request_id, running.service)
        self.metrics.attempt_started(
            running.service, decision["attempt"], decision["waited_s"]
        )
        left_ms = max(1, int((action.deadline_s - self.clock()) * 1_000))
        self.pool.start(
            UpstreamRequest(
                action.attempt_id,
                action.backend.address,
                exchange.method,
                exchange.target,
                self._headers(exchange, action.backend.backend_id, left_ms),
                bytes(exchange.body),
                running.request_id.encode("latin-1"),
            )
        )

    def _headers(self, exchange, backend_id, left_ms):
        """Return the headers that go to the backend server."""
        header_names = self.header_names
        replaced = (header_names.deadline_ms, header_names.target)
        headers = next_hop_headers(exchange, replaced)
        headers.append((header_names.deadline_ms, str(left_ms).encode()))
        if header_names.target:
            headers.append((header_names.target, backend_id.encode()))
        return headers

    def _cancel(self, action):
        self.pool.cancel(action.attempt_id)
        self._forget_attempt(action.attempt_id, "cancelled")

    def _relay(self, action):
        running = self._running.get(action.request_id)
        answer = self._answers.get(action.attempt_id)
        if running is None or answer is None:
            return
        running.relayed = action.attempt_id
        running.exchange.start(answer.status, strip_hop_headers(answer.headers))
        running.exchange.write(bytes(answer.held))
        answer.held.clear()

    def _problem(self, action):
        running = self._running.pop(action.request_id, None)
        if running is None:
            return
        running.decision = {**action.inputs, **running.decision}
        exchange = running.exchange
        if exchange.is_started:
            exchange.abort()
        else:
            exchange.problem(
                action.status, action.outcome, action.detail, action.retry_after_s
            )
        self._note(running, action.detail, status=action.status, reason=action.reason)

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id):
        return self.core.forward.may_write(attempt_id, self.clock())

    def on_head(self, attempt_id, status, headers):
        self._answers[attempt_id] = _Answer(status, headers)
        self._note_load(attempt_id, dict(headers))

    def on_data(self, attempt_id, data):
        answer = self._answers.get(attempt_id)
        if answer is None:
            return
        sent = self._sent.get(attempt_id)
        running = self._running.get(sent.request_id) if sent else None
        if running is not None and running.relayed == attempt_id:
            running.exchange.write(data)
            if running.exchange.stream.is_congested:
                self.pool.set_paused(attempt_id, True)
            return
        answer.held += data
        if len(answer.held) > HELD_ANSWER_BYTES:
            self._tell(attempt_id, answer)

    def on_end(self, attempt_id, status, headers, body):
        answer = self._answers.get(attempt_id)
        if answer is None:
            return
        self._tell(attempt_id, answer)
        request_id = self._forget_attempt(attempt_id, "answered")
        running = self._running.get(request_id)
        if running is not None and running.relayed == attempt_id:
            del self._running[request_id]
            running.exchange.finish()
            self._note(running, "answered", status=status, reason="answered")
        self.core.forward.finished(attempt_id, self.clock())
        self.run_actions()

    def on_not_run(self, attempt_id, status, headers):
        self._note_load(attempt_id, headers)
        reason = f"the backend server refused it with {status}"
        self._note_attempt(self._forget_attempt(attempt_id, "not_run"), reason)
        self.core.forward.not_run(
            attempt_id,
            reason,
            self.clock(),
            is_misdirected=status == MISDIRECTED_REQUEST,
        )
        self.run_actions()

    def on_failure(self, attempt_id, reason):
        request_id = self._forget_attempt(attempt_id, "failed")
        self._note_attempt(request_id, reason)
        running = self._running.get(request_id)
        if running is not None and running.relayed == attempt_id:
            del self._running[request_id]
            running.exchange.abort()
            self._note(running, reason, reason="connection")
        self.core.forward.failed(attempt_id, reason, self.clock())
        self.run_actions()

    # --- shared -----------------------------------------------------------

    def _tell(self, attempt_id, answer):
        """Let the core decide on an answer that is whole, or too long to hold."""
        if not answer.is_told:
            answer.is_told = True
            self.core.forward.response_received(attempt_id, answer.status, self.clock())
            self.run_actions()

    def _note_load(self, attempt_id, headers):
        """Hand on a backend server's word on its load."""
        parts = headers.get(self.header_names.load, b"").split(b",")
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            running, waiting = int(parts[0]), int(parts[1])
            self.core.forward.load_reported(attempt_id, running, waiting, self.clock())

    def _resume(self, key):
        running = self._running.get(key)
        if running is not None and running.relayed:
            self.pool.set_paused(running.relayed, False)

    def _forget_attempt(self, attempt_id, outcome):
        """Forget an attempt, count how it ended, and return its request."""
        self._answers.pop(attempt_id, None)
        sent = self._sent.pop(attempt_id, None)
        if sent is None:
            return None
        self.metrics.attempt_ended(sent.service, outcome)
        return sent.request_id

    def _note_attempt(self, request_id, reason):
        """Log why an attempt failed."""
        running = self._running.get(request_id)
        if running is not None:
            self._log.record(
                self.clock(),
                is_notable=True,
                event="attempt failed",
                request=running.request_id,
                reason=reason,
                **running.decision,
            )

    def _note(self, running, outcome, *, reason, status=0):
        """Count how a request ended, and log what was decided on it."""
        now_s = self.clock()
        elapsed_s = now_s - running.arrived_s
        decision = running.decision
        label = str(status) if status else "cut"
        self.metrics.request_ended(
            running.service, running.kind, label, reason, elapsed_s
        )
        is_late = elapsed_s > decision.get("target_s", elapsed_s)
        is_repeated = decision.get("attempt", 1) > 1
        self._log.record(
            now_s,
            is_notable=outcome != "answered" or is_late or is_repeated,
            request=running.request_id,
            outcome=outcome,
            status=status,
            elapsed_s=round(elapsed_s, 3),
            **{"service": running.service, "kind": running.kind, **decision},
        )
