"""Forwards requests of callers to backend servers by the configured routes."""

import structlog
from snipebay_policy.long_responses import (
    MAX_BUFFERED_RESPONSE_BYTES,
    LongResponse,
    handle_long_response,
)
from snipebay_policy.work import (
    PROMISE_STATUSES,
    Cancel,
    Dispatch,
    Probe,
    Problem,
    Relay,
)

from snipebay_node import response_headers
from snipebay_node.active_requests import ActiveRequest, Attempt, Response
from snipebay_node.caller_headers import read_arrival
from snipebay_node.header_names import HeaderNames
from snipebay_node.hop_headers import relayed_headers, request_headers
from snipebay_node.log_sink import RequestLog
from snipebay_node.response_reports import RoutedReports
from snipebay_node.upstream import (
    MISDIRECTED_REQUEST,
    UpstreamPool,
    UpstreamRequest,
)

__all__ = ["Forwarder"]

# A response up to about this size is read to its end after its caller has left, so that
# a backend server can complete a request that must not be cancelled.
MAX_DISCARDED_RESPONSE_BYTES = 1024 * 1024

log = structlog.get_logger(__name__)


class Forwarder:
    """HTTP application that forwards requests of callers by the configured routes.

    Args:
        core: Routed core.
        hub: Opens connections.
        clock: Function returning the time in seconds.
        metrics: Metrics of the process.
        run_actions: Function that executes the pending actions of the cores.
        header_names: Header names of callers and backend servers.
    """

    def __init__(self, core, hub, clock, metrics, run_actions, header_names=None):
        self.core = core
        self.clock = clock
        self.metrics = metrics
        self.run_actions = run_actions
        self.header_names = header_names or HeaderNames()
        self.pool = UpstreamPool(
            hub, clock, self, self.header_names, core.forward.on_connected
        )
        self._reports = RoutedReports(core.forward, self.header_names, clock)
        self._active = {}
        self._attempts = {}
        self._responses = {}
        self._log = RequestLog(log, metrics.lines_suppressed.inc)
        self._handlers = {
            Dispatch: self._dispatch,
            Probe: self._probe,
            Cancel: self._cancel,
            Relay: self._relay,
            Problem: self._problem,
        }

    @property
    def is_idle(self):
        return not self._active

    def tick(self, now_s):
        self.pool.tick(now_s)

    @property
    def buffered_bytes(self):
        """Bytes of responses that are not relayed yet."""
        return sum(len(row.buffered) for row in self._responses.values())

    # --- from callers -----------------------------------------------------

    def check_head(self, exchange):
        """Set the body size limit of a request."""
        exchange.body_limit = self.core.limits.body_bytes

    def handle(self, exchange):
        """Start to forward a complete request."""
        now_s = self.clock()
        try:
            arrival = read_arrival(exchange, self.header_names)
        except ValueError as exc:
            exchange.problem(400, "not-run", str(exc))
            return
        key = exchange.request_id
        caller_request_id = exchange.header(self.header_names.request_id.decode())
        self._active[key] = ActiveRequest(exchange, caller_request_id, now_s)
        exchange.on_disconnect = lambda: self._on_disconnect(key)
        exchange.on_writable = lambda: self._resume_reading(key)
        self.core.forward.on_request(arrival, now_s)
        self.run_actions()

    def execute(self, action):
        """Execute an action of the core."""
        self._handlers[type(action)](action)

    def _on_disconnect(self, key):
        request = self._active.pop(key, None)
        if request is not None:
            self.pool.set_paused(request.long_attempt_id, False)
            self._record_end(request, "caller gone", reason="caller_gone")
            self.core.forward.on_caller_disconnect(key, self.clock())
            self.run_actions()

    # --- actions ----------------------------------------------------------

    def _dispatch(self, action):
        request = self._active.get(action.request_id)
        if request is None:
            self.core.forward.on_rejection(
                action.attempt_id, "caller left", self.clock()
            )
            return
        exchange = request.exchange
        decision = request.decision = action.reason
        is_hop = action.attempts_before_hop is not None
        self._attempts[action.attempt_id] = Attempt(
            action.request_id, request.service, is_hop
        )
        self.metrics.attempt_started(
            request.service, decision["attempt"], decision["waited_s"]
        )
        remaining_ms = max(1, int((action.deadline_s - self.clock()) * 1_000))
        self.pool.start(
            UpstreamRequest(
                action.attempt_id,
                action.backend.address,
                exchange.method,
                exchange.target,
                request_headers(
                    exchange,
                    action,
                    remaining_ms,
                    self.header_names,
                    hides_credential=bool(self.core.workspaces),
                ),
                exchange.body,
                request.request_id.encode("latin-1"),
                is_hop=is_hop,
            )
        )

    def _probe(self, action):
        on_result = self._on_probe if action.tests_reach else _ignore_result
        self.pool.probe(action.backend.address, on_result)

    def _on_probe(self, is_connected):
        self.core.forward.on_probe(is_connected, self.clock())
        self.run_actions()

    def _cancel(self, action):
        self.pool.cancel(action.attempt_id)
        request_id = self._end_attempt(action.attempt_id, "cancelled")
        self._abort_relayed(
            request_id, action.attempt_id, "the deadline has passed", "deadline"
        )

    def _relay(self, action):
        request = self._active.get(action.request_id)
        response = self._responses.get(action.attempt_id)
        if request is None or response is None:
            return
        request.relayed_attempt_id = action.attempt_id
        headers = relayed_headers(
            response,
            self.header_names,
            from_instance=self._attempts[action.attempt_id].is_hop,
            to_instance=bool(request.exchange.header(self.header_names.hop.decode())),
        )
        request.exchange.start(response.status, headers)
        request.exchange.write(bytes(response.buffered))
        response.buffered.clear()

    def _problem(self, action):
        request = self._active.pop(action.request_id, None)
        if request is None:
            return
        request.decision = {**action.inputs, **request.decision}
        exchange = request.exchange
        if exchange.is_started:
            exchange.abort()
        else:
            exchange.problem(
                action.status,
                action.outcome,
                action.detail,
                action.retry_after_s,
                self._echoed_id(request),
            )
        self._record_end(
            request, action.detail, status=action.status, reason=action.reason
        )

    def _echoed_id(self, request):
        """Return the header by which an instance that sent a request knows its answer.

        Backend servers echo it in their responses as well.
        """
        name, value = self.header_names.request_id, request.request_id
        return [(name, value.encode("latin-1"))] if name and value else []

    # --- from backend servers ---------------------------------------------

    def may_write(self, attempt_id):
        return self.core.forward.may_write(attempt_id, self.clock())

    def on_head(self, attempt_id, status, headers):
        attempt = self._attempts.get(attempt_id)
        is_hop = attempt is not None and attempt.is_hop
        leaving = self._reports.report(attempt_id, status, headers, is_hop=is_hop)
        self._responses[attempt_id] = Response(status, headers, leaving)

    def on_data(self, attempt_id, data):
        response = self._responses.get(attempt_id)
        if response is None:
            return
        attempt = self._attempts.get(attempt_id)
        request = self._active.get(attempt.request_id) if attempt else None
        if request is not None and request.relayed_attempt_id == attempt_id:
            request.exchange.write(data)
            if request.exchange.is_congested:
                self.pool.set_paused(attempt_id, True)
            return
        if request is None:
            self._discard(attempt_id, response, data)
            return
        response.buffered += data
        if len(response.buffered) > MAX_BUFFERED_RESPONSE_BYTES:
            self._on_long_response(attempt_id, request, response)

    def _on_long_response(self, attempt_id, request, response):
        """Relay a long response as it arrives, unless that may cut other requests."""
        exchange = request.exchange
        request.long_attempt_id = attempt_id
        step = handle_long_response(
            len(response.buffered),
            is_due=exchange.is_due,
            has_others=exchange.has_others,
            has_memory=exchange.has_memory,
        )
        if step is LongResponse.STREAM:
            self._report_response(attempt_id, response)
            return
        if step is LongResponse.PAUSE:
            self.pool.set_paused(attempt_id, True)
        self.core.forward.on_arriving(attempt_id, self.clock())

    def _discard(self, attempt_id, response, data):
        """Discard a part of a body whose caller has left.

        The rest of a long one is left unread until the deadline, so that it takes
        neither memory nor processor time.
        """
        response.buffered.clear()
        response.discarded_bytes += len(data)
        if response.discarded_bytes > MAX_DISCARDED_RESPONSE_BYTES:
            self.pool.set_paused(attempt_id, True)

    def on_end(self, attempt_id, status, headers, body):
        response = self._responses.get(attempt_id)
        if response is None:
            return
        self._report_response(attempt_id, response)
        request_id = self._end_attempt(attempt_id, "answered")
        request = self._active.get(request_id)
        if request is not None and request.relayed_attempt_id == attempt_id:
            del self._active[request_id]
            request.exchange.finish()
            self._record_end(request, "answered", status=status, reason="answered")
        self.core.forward.on_response_end(attempt_id, self.clock())
        self.run_actions()

    def on_not_run(self, attempt_id, status, headers):
        attempt = self._attempts.get(attempt_id)
        if attempt is not None:
            self._reports.report(attempt_id, status, headers, is_hop=attempt.is_hop)
        reason = f"the backend server refused it with {status}"
        self._log_failed_attempt(self._end_attempt(attempt_id, "not_run"), reason)
        self.core.forward.on_rejection(
            attempt_id,
            reason,
            self.clock(),
            is_misdirected=status == MISDIRECTED_REQUEST,
            retry_after_s=response_headers.parse_retry_after(
                dict(headers).get(b"retry-after", b"")
            ),
        )
        self.run_actions()

    def on_failure(self, attempt_id, reason):
        request_id = self._end_attempt(attempt_id, "failed")
        self._log_failed_attempt(request_id, reason)
        self._abort_relayed(request_id, attempt_id, reason, "connection")
        self.core.forward.on_failure(attempt_id, reason, self.clock())
        self.run_actions()

    # --- shared -----------------------------------------------------------

    def _report_response(self, attempt_id, response):
        """Inform the core of a response that is complete or too large to buffer.

        The core then decides whether the response is relayed.
        """
        if not response.is_reported:
            response.is_reported = True
            self.core.forward.on_response(attempt_id, response.status, self.clock())
            self.run_actions()

    def _resume_reading(self, key):
        """Read on for a caller that reads again, or whose response is due now."""
        request = self._active.get(key)
        if request is None:
            return
        if request.relayed_attempt_id:
            self.pool.set_paused(request.relayed_attempt_id, False)
        elif response := self._responses.get(request.long_attempt_id):
            self.pool.set_paused(request.long_attempt_id, False)
            self._on_long_response(request.long_attempt_id, request, response)

    def _abort_relayed(self, request_id, attempt_id, outcome, reason):
        """Close the caller's connection if a response ends before it is complete."""
        request = self._active.get(request_id)
        if request is not None and request.relayed_attempt_id == attempt_id:
            del self._active[request_id]
            request.exchange.abort()
            self._record_end(request, outcome, reason=reason)

    def _end_attempt(self, attempt_id, outcome):
        """Discard an ended attempt, count its outcome and return its request's id."""
        self._responses.pop(attempt_id, None)
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self.metrics.attempt_ended(attempt.service, outcome)
        return attempt.request_id

    def _log_failed_attempt(self, request_id, reason):
        """Log a failed attempt with its reason."""
        request = self._active.get(request_id)
        if request is not None:
            self._log.record(
                self.clock(),
                is_notable=True,
                event="attempt failed",
                request=request.request_id,
                reason=reason,
                **request.decision,
            )

    def _record_end(self, request, outcome, *, reason, status=0):
        """Count and log an ended request with the last decision on it."""
        now_s = self.clock()
        elapsed_s = now_s - request.arrived_s
        decision = request.decision
        label = str(status) if status else "cut"
        self.metrics.request_ended(
            request.service, request.kind, label, reason, elapsed_s
        )
        exceeds_target = elapsed_s > decision.get("target_s", elapsed_s)
        is_retried = decision.get("attempt", 1) > 1
        self._log.record(
            now_s,
            is_notable=outcome != "answered"
            or exceeds_target
            or is_retried
            or status in PROMISE_STATUSES,
            request=request.request_id,
            outcome=outcome,
            status=status,
            elapsed_s=round(elapsed_s, 3),
            **{"service": request.service, "kind": request.kind, **decision},
        )


def _ignore_result(is_connected):
    """Take the result of a probe whose time alone counts."""
