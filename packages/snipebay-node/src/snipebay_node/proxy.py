"""Proxies requests of callers to backend servers as the entry core decides."""

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

from snipebay_node.hop_headers import next_hop_headers, strip_hop_headers
from snipebay_node.response_reports import ResponseReports
from snipebay_node.tracing import end_span, trace_id
from snipebay_node.upstream import (
    UpstreamPool,
    UpstreamRequest,
)

__all__ = ["Proxy"]

PREFIX = "/svc/"
TIMEOUT_HEADER = "Snipebay-Timeout-Ms"
KEY_HEADER = "Idempotency-Key"
VIA = (b"via", b"1.1 snipebay")


@attrs.define
class _ActiveRequest:
    """A request in progress.

    Attributes:
        exchange: The HTTP exchange with the caller.
        service: Name of the service in the request's path.
        arrived_s: Time of arrival.
        response_heads: Status and headers of the responses, by attempt id.
        head: Unused.
        relayed_attempt_id: Id of the attempt whose response is relayed, or 0.
    """

    exchange: object
    service: str
    arrived_s: float
    response_heads: dict = attrs.Factory(dict)
    head: tuple = ()
    relayed_attempt_id: int = 0


class Proxy:
    """Proxies requests between callers and backend servers.

    Args:
        core: Entry core.
        hub: Opens connections.
        clock: Function returning the time in seconds.
        metrics: Metrics of the process.
        tracing: Creates the trace spans.
        run_actions: Function that executes the pending actions of the cores.
    """

    def __init__(self, core, hub, clock, metrics, tracing, run_actions):
        self.core = core
        self.clock = clock
        self.metrics = metrics
        self.tracing = tracing
        self.run_actions = run_actions
        self.pool = UpstreamPool(hub, clock, self)
        self._reports = ResponseReports(core.requests, self.pool.header_names, clock)
        self._active = {}
        self._request_ids = {}
        self._attempt_spans = {}
        self._handlers = {
            Dispatch: self._dispatch,
            Cancel: self._cancel,
            Relay: self._relay,
            Replay: self._replay,
            Problem: self._problem,
        }

    # --- from callers -----------------------------------------------------

    def body_limit(self, exchange):
        """Return the maximum body size of a request's service in bytes."""
        return self.core.ctx.rules(_split(exchange.path)[0]).body_limit_bytes

    def handle(self, exchange):
        """Start to proxy a complete request."""
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
            max(0.0, int(timeout) / 1_000 - exchange.waited_s) if timeout else None,
            exchange.header(KEY_HEADER),
            _digest(exchange),
        )
        self._active[exchange.request_id] = _ActiveRequest(exchange, service, now_s)
        exchange.on_disconnect = lambda: self._on_disconnect(exchange.request_id)
        exchange.on_writable = lambda: self._set_paused(exchange.request_id, False)
        self.core.commands.now_s = now_s
        self.core.requests.on_request(exchange.request_id, info, now_s)
        self.run_actions()

    @property
    def is_idle(self):
        return not self._active

    def tick(self, now_s):
        self.pool.tick(now_s)

    def execute(self, action):
        """Execute an action of the core."""
        self._handlers[type(action)](action)

    def _on_disconnect(self, request_id):
        if self._active.pop(request_id, None) is not None:
            self.core.requests.on_caller_disconnect(request_id, self.clock())
            self.run_actions()

    # --- actions ----------------------------------------------------------

    def _dispatch(self, action):
        request = self._active.get(action.request_id)
        if request is None:
            self.core.requests.on_failure(
                action.attempt_id, self.clock(), "caller left"
            )
            return
        exchange = request.exchange
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
        self._attempt_spans[action.attempt_id] = span
        self._request_ids[action.attempt_id] = action.request_id
        remaining_ms = max(1, int((action.deadline_s - self.clock()) * 1_000))
        self.pool.start(
            UpstreamRequest(
                action.attempt_id,
                action.backend.address,
                exchange.method,
                _split(exchange.target)[1],
                self._headers(exchange, span, remaining_ms),
                exchange.body,
            )
        )

    def _headers(self, exchange, span, remaining_ms):
        """Return the headers that go to the backend server."""
        replaced = (b"snipebay-timeout-ms",)
        traced = self.tracing.headers(span)
        if traced:
            replaced += (b"traceparent", b"tracestate")
        headers = next_hop_headers(exchange, replaced)
        headers.append((b"snipebay-timeout-ms", str(remaining_ms).encode()))
        return [*headers, *traced, VIA]

    def _cancel(self, action):
        self.pool.cancel(action.attempt_id)
        self._end_attempt(action.attempt_id, "cancelled")

    def _relay(self, action):
        request = self._active.get(action.request_id)
        if request is None:
            return
        request.relayed_attempt_id = action.attempt_id
        status, headers = request.response_heads[action.attempt_id]
        replaced = (b"server", self.pool.header_names.outcome)
        forwarded = [h for h in strip_hop_headers(headers) if h[0] not in replaced]
        request.exchange.start(status, [*forwarded, VIA])

    def _replay(self, action):
        request = self._active.pop(action.request_id, None)
        if request is not None:
            request.exchange.respond(
                action.status,
                action.answer,
                action.content_type or "application/octet-stream",
                [("Snipebay-Replayed", "true")],
            )
            self._record_end(request, "replayed")

    def _problem(self, action):
        request = self._active.pop(action.request_id, None)
        if request is None:
            return
        exchange = request.exchange
        if exchange.is_started:
            exchange.break_off(action.detail)
        else:
            extra = {"trace": trace_id(exchange.span)} if exchange.span else {}
            exchange.problem(
                action.status,
                action.outcome,
                action.detail,
                action.retry_after_s,
                **extra,
            )
        self._record_end(request, action.outcome)

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id):
        return self.core.requests.may_write(attempt_id, self.clock())

    def on_head(self, attempt_id, status, headers):
        request = self._active.get(self._request_ids.get(attempt_id))
        if request is not None:
            request.response_heads[attempt_id] = (status, headers)
        self._reports.report(attempt_id, status, headers)
        self.core.requests.on_response(attempt_id, self.clock())
        self.run_actions()

    def on_data(self, attempt_id, data):
        request = self._active.get(self._request_ids.get(attempt_id))
        if request is not None and request.relayed_attempt_id == attempt_id:
            request.exchange.write(data)
            if request.exchange.is_congested:
                self.pool.set_paused(attempt_id, True)

    def on_end(self, attempt_id, status, headers, body):
        request_id = self._end_attempt(attempt_id, str(status))
        request = self._active.get(request_id)
        content_type = dict(headers).get(b"content-type", b"").decode("latin-1")
        if request is not None and request.relayed_attempt_id == attempt_id:
            del self._active[request_id]
            request.exchange.finish()
            self._record_end(request, "answered")
        self.core.requests.on_response_end(
            attempt_id,
            self.clock(),
            status=status,
            content_type=content_type,
            body=body,
        )
        self.run_actions()

    def on_not_run(self, attempt_id, status, headers):
        self._end_attempt(attempt_id, "shed")
        self._reports.report(attempt_id, status, headers)
        self.core.requests.on_rejection(attempt_id, self.clock())
        self.run_actions()

    def on_failure(self, attempt_id, reason):
        request_id = self._end_attempt(attempt_id, reason)
        request = self._active.get(request_id)
        if request is not None and request.relayed_attempt_id == attempt_id:
            del self._active[request_id]
            request.exchange.break_off(reason)
            self._record_end(request, "cut")
        self.core.requests.on_failure(attempt_id, self.clock(), reason)
        self.run_actions()

    # --- shared -----------------------------------------------------------

    def _set_paused(self, request_id, paused):
        request = self._active.get(request_id)
        if request is not None and request.relayed_attempt_id:
            self.pool.set_paused(request.relayed_attempt_id, paused)

    def _end_attempt(self, attempt_id, result):
        """Discard an ended attempt, end its span and return its request's id."""
        end_span(self._attempt_spans.pop(attempt_id, None), result=result)
        return self._request_ids.pop(attempt_id, None)

    def _record_end(self, request, outcome):
        elapsed_s = self.clock() - request.arrived_s
        service = request.service
        if service not in self.core.ctx.settings.services:
            # The caller chooses the path. Each new label value would create a time
            # series, and these are never removed.
            service = "unknown"
        self.metrics.request_ended(service, "", outcome, "", elapsed_s)
        end_span(request.exchange.span, outcome=outcome)


def _split(target):
    """Split a caller's target into the service and the target for backend servers."""
    service, slash, rest = target.removeprefix(PREFIX).partition("/")
    service, mark, query = service.partition("?")
    return service, f"/{rest}" if slash else f"/{mark}{query}"


def _digest(exchange):
    """Return a digest of a request's method, target and body."""
    parts = (exchange.method.encode(), exchange.target.encode(), bytes(exchange.body))
    state = hashlib.blake2b(digest_size=16)
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()
