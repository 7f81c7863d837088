"""An entry instance with a traffic plan in virtual time, on fakes."""

import attrs
from snipebay_policy.arrivals import Arrival
from snipebay_policy.forward_rows import ForwardRules
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Cancel, Dispatch, Probe, Problem, Relay, Send

__all__ = ["HOST", "PREFIX", "REGION_DELAY_S", "UNSAFE_PREFIX", "RoutedHost"]

TICK_S = 0.05
HOST, PREFIX, UNSAFE_PREFIX = "a.example", "/a/", "/u/"
REGION_DELAY_S = 0.035
CONNECT_TIMEOUT_S = 0.4


@attrs.define(eq=False)
class _Attempt:
    """A request on its way to a backend server or another instance.

    Attributes:
        attempt_id: Id of the attempt.
        request_id: Id of the request at the instance that sends it.
        host: That instance.
        backend: Backend server, or the other instance.
        origin: Id of the request at the instance that its caller sent it to.
    """

    attempt_id: int
    request_id: int
    host: object
    backend: object
    origin: int


class RoutedHost:
    """One entry instance: a core and the state of its process.

    Args:
        rig: Harness that it belongs to.
        row: Row that it announces to control.

    Attributes:
        core: Core of the running process, or None while it is stopped.
        frozen: True while the process is suspended.
        refusals: Problems that its callers received.
        answered: Number of requests with a complete response.
        cut: How connections to all backend servers fail: ``hang``, ``refuse``, or
            empty while they are reached.
        tries: Pairs of arrival and whether it was answered, by request id.
        paths: Path by request id.
        hops: Attempts of other instances that go through this one, by request id.
    """

    def __init__(self, rig, row):
        self.rig = rig
        self.row = row
        self.core = None
        self.frozen = False
        self.refusals = []
        self.answered = 0
        self.cut = ""
        self.tries = {}
        self.paths = {}
        self.hops = {}
        self._connected = set()
        self._deferred = []
        self._attempts = {}
        self._start_count = 0

    @property
    def id(self):
        return self.row.entry_id

    def start(self):
        """Start the process, with a new incarnation."""
        self._start_count += 1
        row = attrs.evolve(self.row, incarnation=f"run{self._start_count}")
        rules = ForwardRules(retry_slack=0.0)
        cfg = RoutedConfig(row, forward=rules, revoke_s=self.rig.revoke_s)
        self.core = RoutedCore(cfg, tuple(self.rig.control.hosts))
        self.rig.network.receivers[self.id] = self._receive
        self._tick(self._start_count)

    def kill(self):
        """Stop the process at once."""
        self.core = None
        self.rig.network.receivers.pop(self.id, None)
        for attempt in self._attempts.values():
            attempt.backend.cancel(attempt)
        self._attempts.clear()

    def freeze(self):
        """Suspend the process; events for it are held back."""
        self.frozen = True

    def thaw(self):
        """Resume the process and run the events held back."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for callback, args in deferred:
            self.run(callback, *args)

    def run(self, callback, *args):
        """Run a callback in the process, after ``thaw`` if it is suspended."""
        if self.core is None:
            return
        if self.frozen:
            self._deferred.append((callback, args))
            return
        callback(*args)
        self._run_actions()

    def request(self, timeout_s=2.5, *, idempotent=True, credential=b""):
        """Send a request as a caller, and return its id."""
        request_id = next(self.rig.ids)
        self.tries[request_id] = (self.rig.now_s, False)
        path = self.paths[request_id] = PREFIX if idempotent else UNSAFE_PREFIX
        self.run(
            lambda: self.core.forward.on_request(
                Arrival(request_id, HOST, path, timeout_s, credential=credential),
                self.rig.now_s,
            )
        )
        return request_id

    def respond(self, attempt, backend, *, is_rejected=False):
        """Deliver a backend server's response after the delay of the link."""
        said = (backend.limit_per_s, len(backend.running), len(backend.queue))
        delay_s = self.rig.delay_s(self.row.domain, backend.row.domain)
        callback = self._on_response
        self.rig.scheduler.after(
            delay_s, self.run, callback, attempt, said, is_rejected
        )

    def _receive(self, sender, body):
        self.run(lambda: self.core.receive(sender, body, self.rig.now_s))

    def _tick(self, start_number):
        if start_number != self._start_count or self.core is None:
            return
        if not self.frozen:
            self.core.tick(self.rig.now_s)
            self._run_actions()
        self.rig.scheduler.after(TICK_S, self._tick, start_number)

    def _run_actions(self):
        while self.core is not None and (actions := self.core.pop_actions()):
            for action in actions:
                self._execute(action)

    def _execute(self, action):
        match action:
            case Send():
                self.rig.network.send(self.id, action.target, action.body)
            case Dispatch():
                self._dispatch(action)
            case Cancel():
                attempt = self._attempts.pop(action.attempt_id, None)
                if attempt is not None:
                    # Cancelling closes the connection.
                    self._connected.discard(attempt.backend)
                    attempt.backend.cancel(attempt)
            case Problem():
                self.refusals.append((self.rig.now_s, action))
                self._end_hop(action.request_id, action)
            case Probe():
                backend = self.rig.backends[action.backend.backend_id]
                after_s = (
                    CONNECT_TIMEOUT_S if self.cut == "hang" else 2 * REGION_DELAY_S
                )
                self.rig.scheduler.after(after_s, self.run, self._probe, backend)
            case Relay():
                pass

    def _dispatch(self, action):
        if action.attempts_before_hop is not None:
            self._dispatch_hop(action)
            return
        backend = self.rig.backends[action.backend.backend_id]
        hop = self.hops.get(action.request_id)
        origin = hop.request_id if hop is not None else action.request_id
        attempt = _Attempt(action.attempt_id, action.request_id, self, backend, origin)
        self._attempts[action.attempt_id] = attempt
        is_lost = self.cut and backend not in self._connected
        if is_lost or not backend.is_up:
            after_s = CONNECT_TIMEOUT_S if self.cut == "hang" else 0.0
            self.rig.scheduler.after(after_s, self.run, self._on_failure, attempt)
        elif self.core.forward.may_write(action.attempt_id, self.rig.now_s):
            self._connected.add(backend)
            self._send(attempt)

    def _dispatch_hop(self, action):
        peer = self.rig.host(action.backend.backend_id)
        request_id = action.request_id
        attempt = _Attempt(action.attempt_id, request_id, self, peer, request_id)
        self._attempts[action.attempt_id] = attempt
        self.core.forward.may_write(action.attempt_id, self.rig.now_s)
        delay_s = self.rig.delay_s(self.row.domain, peer.row.domain)
        self.rig.scheduler.after(
            delay_s, peer.run, peer.receive_hop, attempt, action.attempts_before_hop
        )

    def receive_hop(self, attempt, attempts_before_hop):
        """Handle a request that another instance sends through this one."""
        request_id = next(self.rig.ids)
        self.hops[request_id] = attempt
        path = attempt.host.paths[attempt.request_id]
        arrival = Arrival(
            request_id, HOST, path, 2.0, attempts_before_hop=attempts_before_hop
        )
        self.core.forward.on_request(arrival, self.rig.now_s)

    def cancel(self, attempt):
        """Cancel a request that another instance sent through this one."""
        for request_id in [i for i, a in self.hops.items() if a is attempt]:
            del self.hops[request_id]
            self.run(self._disconnect, request_id)

    def _disconnect(self, request_id):
        self.core.forward.on_caller_disconnect(request_id, self.rig.now_s)

    def _end_hop(self, request_id, problem=None):
        """Return the result of a request to the instance that sent it here."""
        attempt = self.hops.pop(request_id, None)
        if attempt is not None:
            origin = attempt.host
            delay_s = self.rig.delay_s(self.row.domain, origin.row.domain)
            callback = origin.on_hop_end
            self.rig.scheduler.after(delay_s, origin.run, callback, attempt, problem)

    def on_hop_end(self, attempt, problem):
        """Handle the result of a request that was sent through an instance."""
        if self._attempts.pop(attempt.attempt_id, None) is None:
            return
        forward, now_s = self.core.forward, self.rig.now_s
        if problem is not None and problem.outcome == "not-run":
            forward.on_rejection(attempt.attempt_id, "refused", now_s)
            return
        status = problem.status if problem else 200
        forward.on_response(attempt.attempt_id, status, now_s)
        forward.on_response_end(attempt.attempt_id, now_s)
        if problem is None:
            self._count_answer(attempt.request_id)

    def _count_answer(self, request_id):
        self.answered += 1
        if request_id in self.tries:
            self.tries[request_id] = (self.tries[request_id][0], True)

    def _probe(self, backend):
        is_connected = not self.cut and backend.is_up
        self.core.forward.on_probe(is_connected, self.rig.now_s)

    def _send(self, attempt):
        """Send a written request, which a cut loses without notice."""
        backend = attempt.backend
        if self.cut != "hang":
            delay_s = self.rig.delay_s(self.row.domain, backend.row.domain)
            self.rig.scheduler.after(delay_s, backend.receive, attempt)

    def _on_failure(self, attempt):
        if self._attempts.pop(attempt.attempt_id, None) is not None:
            now_s = self.rig.now_s
            self.core.forward.on_failure(attempt.attempt_id, "no connection", now_s)

    def cut_off(self, how):
        """Cut this instance from all backend servers; an empty string ends it."""
        self.cut = how
        if how == "refuse":
            self._connected.clear()

    def _on_response(self, attempt, said, is_rejected):
        if self.cut == "hang":
            return
        if self._attempts.pop(attempt.attempt_id, None) is None:
            return
        forward, now_s = self.core.forward, self.rig.now_s
        limit_per_s, running, waiting = said
        forward.on_load_report(attempt.attempt_id, running, waiting, now_s)
        forward.on_rate_limit(attempt.attempt_id, limit_per_s, now_s)
        if is_rejected:
            forward.on_rejection(attempt.attempt_id, "full", now_s)
            return
        forward.on_response(attempt.attempt_id, 200, now_s)
        forward.on_response_end(attempt.attempt_id, now_s)
        if attempt.request_id in self.hops:
            self._end_hop(attempt.request_id)
        else:
            self._count_answer(attempt.request_id)
