"""Carries out what the entry core decides for proxied requests."""

import hashlib

import attrs
from snipebay_policy.work import (
    Cancel,
    Dispatch,
    Problem,
    Relay,
    Replay,
    RequestInfo,
)

from snipebay_node.logs import end_span, trace_id
from snipebay_node.upstream import (
    UpstreamPool,
    UpstreamRequest,
    next_hop_headers,
    strip_hop_headers,
)

__all__ = ["Proxy"]

PREFIX = "/svc/"
TIMEOUT_HEADER = "Snipebay-Timeout-Ms"
KEY_HEADER = "Idempotency-Key"
VIA = (b"via", b"1.1 snipebay")


@attrs.define
class _Running:
    """A request on its way through this process."""

    exchange: object
    service: str
    arrived_s: float
    attempts: dict = attrs.Factory(dict)
    head: tuple = ()
    relayed: int = 0


class Proxy:
    """Proxies requests between callers and backend servers.

    Args:
        core: Entry core.
        hub: Makes connections.
        clock: Function returning the time in seconds.
        metrics: Metrics of the process.
        tracing: Spans of the process.
        run_actions: Function that carries out the actions of the cores.
    """

    def __init__(self, core, hub, clock, metrics, tracing, run_actions):
        self.core = core
        self.clock = clock
        self.metrics = metrics
        self.tracing = tracing
        self.run_actions = run_actions
        self.pool = UpstreamPool(hub, clock, self)
        self._running = {}
        self._request_of = {}
        self._spans = {}
        self._handlers = {
            Dispatch: self._dispatch,
            Cancel: self._cancel,
            Relay: self._relay,
            Replay: self._replay,
            Problem: self._problem,
        }

    # --- from callers -----------------------------------------------------

    def body_limit(self, exchange):
        """Return the greatest body that a request's service takes."""
        return self.core.ctx.rules(_split(exchange.path)[0]).body_limit_bytes

    def handle(self, exchange):
        """Take in a whole request."""
        service, _ = _split(exchange.path)
        now_s = self.clock()
        exchange.span = self.tracing.start(
            "entry",
            exchange.header("traceparent"),
            service=service,
            method=exchange.method,
        )
        timeout = exchange.header(TIMEOUT_HEADER)
        if timeout and not timeout.isdigit():
            exchange.problem(400, "not-run", f"{TIMEOUT_HEADER}: {timeout!r}")
            return
        info = RequestInfo(
            service,
            int(timeout) / 1_000 if timeout else None,
            exchange.header(KEY_HEADER),
            _digest(exchange),
        )
        self._running[exchange.request_id] = _Running(exchange, service, now_s)
        exchange.on_disconnect = lambda: self._caller_gone(exchange.request_id)
        exchange.stream.on_drained = lambda: self._pause(exchange.request_id, False)
        self.core.commands.now_s = now_s
        self.core.requests.arrive(exchange.request_id, info, now_s)
        self.run_actions()

    @property
    def is_idle(self):
        return not self._running

    def tick(self, now_s):
        self.pool.tick(now_s)

    def execute(self, action):
        """Do what the core decided."""
        self._handlers[type(action)](action)

    def _caller_gone(self, request_id):
        if self._running.pop(request_id, None) is not None:
            self.core.requests.caller_gone(request_id, self.clock())
            self.run_actions()

    # --- actions ----------------------------------------------------------

    def _dispatch(self, action):
        running = self._running.get(action.request_id)
        if running is None:
            self.core.requests.failed(action.attempt_id, self.clock(), "caller left")
            return
        exchange = running.exchange
        span = (
            self.tracing.start(
                "attempt",
                parent=exchange.span,
                backend=action.backend.backend_id,
                attempt=action.attempt_id,
            )
            if exchange.span is not None
            else None
        )
        self._spans[action.attempt_id] = span
        self._request_of[action.attempt_id] = action.request_id
        left_ms = max(1, int((action.deadline_s - self.clock()) * 1_000))
        self.pool.start(
            UpstreamRequest(
                action.attempt_id,
                action.backend.address,
                exchange.method,
                _split(exchange.target)[1],
                self._headers(exchange, span, left_ms),
                bytes(exchange.body),
            )
        )

    def _headers(self, exchange, span, left_ms):
        """Return the headers that go to the backend server."""
        replaced = (b"snipebay-timeout-ms",)
        traced = self.tracing.headers(span)
        if traced:
            replaced += (b"traceparent", b"tracestate")
        headers = next_hop_headers(exchange, replaced)
        headers.append((b"snipebay-timeout-ms", str(left_ms).encode()))
        return [*headers, *traced, VIA]

    def _cancel(self, action):
        self.pool.cancel(action.attempt_id)
        self._end_attempt(action.attempt_id, "cancelled")

    def _relay(self, action):
        running = self._running.get(action.request_id)
        if running is None:
            return
        running.relayed = action.attempt_id
        status, headers = running.attempts[action.attempt_id]
        kept = [(n, v) for n, v in strip_hop_headers(headers) if n != b"server"]
        running.exchange.start(status, [*kept, VIA])

    def _replay(self, action):
        running = self._running.pop(action.request_id, None)
        if running is not None:
            running.exchange.respond(
                action.status,
                action.answer,
                action.content_type or "application/octet-stream",
                [("Snipebay-Replayed", "true")],
            )
            self._count(running, "replayed")

    def _problem(self, action):
        running = self._running.pop(action.request_id, None)
        if running is None:
            return
        exchange = running.exchange
        if exchange.is_started:
            exchange.abort()
        else:
            extra = {"trace": trace_id(exchange.span)} if exchange.span else {}
            exchange.problem(
                action.status,
                action.outcome,
                action.detail,
                action.retry_after_s,
                **extra,
            )
        self._count(running, action.outcome)

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id):
        return self.core.requests.may_write(attempt_id, self.clock())

    def on_head(self, attempt_id, status, headers):
        running = self._running.get(self._request_of.get(attempt_id))
        if running is not None:
            running.attempts[attempt_id] = (status, headers)
        self.core.requests.answered(attempt_id, self.clock())
        self.run_actions()

    def on_data(self, attempt_id, data):
        running = self._running.get(self._request_of.get(attempt_id))
        if running is not None and running.relayed == attempt_id:
            running.exchange.write(data)
            if running.exchange.stream.is_congested:
                self.pool.set_paused(attempt_id, True)

    def on_end(self, attempt_id, status, headers, body):
        request_id = self._end_attempt(attempt_id, str(status))
        running = self._running.get(request_id)
        content_type = headers.get(b"content-type", b"").decode("latin-1")
        if running is not None and running.relayed == attempt_id:
            del self._running[request_id]
            running.exchange.finish()
            self._count(running, "answered")
        self.core.requests.finished(
            attempt_id,
            self.clock(),
            status=status,
            content_type=content_type,
            body=body,
        )
        self.run_actions()

    def on_not_run(self, attempt_id, status, headers):
        self._end_attempt(attempt_id, "shed")
        self.core.requests.shed(attempt_id, self.clock())
        self.run_actions()

    def on_failure(self, attempt_id, reason):
        request_id = self._end_attempt(attempt_id, reason)
        running = self._running.get(request_id)
        if running is not None and running.relayed == attempt_id:
            del self._running[request_id]
            running.exchange.abort()
            self._count(running, "cut")
        self.core.requests.failed(attempt_id, self.clock(), reason)
        self.run_actions()

    # --- shared -----------------------------------------------------------

    def _pause(self, request_id, paused):
        running = self._running.get(request_id)
        if running is not None and running.relayed:
            self.pool.set_paused(running.relayed, paused)

    def _end_attempt(self, attempt_id, result):
        """Forget a try and return its request."""
        end_span(self._spans.pop(attempt_id, None), result=result)
        return self._request_of.pop(attempt_id, None)

    def _count(self, running, outcome):
        elapsed_s = self.clock() - running.arrived_s
        service = running.service
        if service not in self.core.ctx.settings.services:
            # Any text may stand in a path, and each label is kept for ever.
            service = "unknown"
        self.metrics.request_ended(service, "", outcome, "", elapsed_s)
        end_span(running.exchange.span, outcome=outcome)


def _split(target):
    """Return the service and the backend server's target in a caller's target."""
    service, slash, rest = target.removeprefix(PREFIX).partition("/")
    service, mark, query = service.partition("?")
    return service, f"/{rest}" if slash else f"/{mark}{query}"


def _digest(exchange):
    """Return a digest of what a request asks for."""
    parts = (exchange.method.encode(), exchange.target.encode(), bytes(exchange.body))
    state = hashlib.blake2b(digest_size=16)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()
