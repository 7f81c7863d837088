"""Harness that runs entry instances with a traffic plan in virtual time, on fakes."""

import collections
import itertools

import attrs
from snipebay_control.core import ControlConfig
from snipebay_control.sessions import LeaseTiming
from snipebay_model.messages import ApplyPlan, PutBackend
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow
from snipebay_policy.arrivals import Arrival
from snipebay_policy.forward_rows import ForwardRules
from snipebay_policy.routed import RoutedConfig, RoutedCore
from snipebay_policy.work import Cancel, Dispatch, Probe, Problem, Relay, Send

from snipebay_testbed.control_rig import ControlRig
from snipebay_testbed.limited_backend import LimitedBackend

__all__ = ["RoutedHost", "RoutedRig"]

TICK_S = 0.05
REGIONS = ("a", "b", "c")
DOMAINS_PER_REGION = 2
REGION_DELAY_S = 0.035
DOMAIN_DELAY_S = 0.003
HOST, PREFIX, UNSAFE_PREFIX, SERVICE = "a.example", "/a/", "/u/", "s"
CONNECT_TIMEOUT_S = 0.4
SLOTS = 4
BACKEND_LEASE_S = 1e6


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


class RoutedRig:
    """A deployment of control and entry instances with one service.

    Args:
        entries: Number of entry instances, over three regions of two domains.
        backends: Number of backend servers, spread likewise.
        seed: Random seed.
        revoke_s: Time for the revocation of a key, None if it is not bounded.
        controls: Number of control instances.

    Attributes:
        runs: How often each request was started by a backend server, by its id at
            the first instance.
    """

    def __init__(self, entries, backends, seed, revoke_s=None, controls=3):
        self.revoke_s = revoke_s
        ids = tuple(f"c{number + 1}" for number in range(controls))
        leases = LeaseTiming(
            completion_grace_s=0.0,
            backend_lease_s=BACKEND_LEASE_S,
            needs_live_peer=False,
        )
        cfg = ControlConfig("", ids, leases=leases)
        self.control = ControlRig(seed, controls, cfg=cfg)
        self.scheduler = self.control.scheduler
        self.network = self.control.network
        self.rng = self.control.rng
        self.ids = itertools.count(1)
        self.runs = collections.Counter()
        self._domains = {}
        self.entries = [
            RoutedHost(self, self._entry_row(number)) for number in range(entries)
        ]
        rows = [self._backend_row(number) for number in range(backends)]
        self.backends = {row.backend_id: LimitedBackend(row, self) for row in rows}
        self.network.delay_s = lambda a, b: self.delay_s(
            self._domains.get(a, "a-0"), self._domains.get(b, "a-0")
        )

    @property
    def now_s(self):
        return self.scheduler.now_s

    def host(self, entry_id):
        """Return the host of an entry instance."""
        return next(host for host in self.entries if host.id == entry_id)

    def start(self):
        """Start the deployment, wait until all instances have the plan, return self."""
        self.control.elect()
        route = Route("r", HOST, PREFIX, True, 2.0, 0.8, 1, ((SERVICE, 1.0),), 2)
        unsafe = attrs.evolve(route, name="u", prefix=UNSAFE_PREFIX, idempotent=False)
        plan = Plan(
            1, (route, unsafe), (RoutedService(SERVICE, max_connections=4_000),)
        )
        assert self.control.call(ApplyPlan("d", 0, plan)).code == "ok"
        for backend in self.backends.values():
            self.control.call(PutBackend(backend.row))
        for host in self.entries:
            host.start()
        self.scheduler.run_for(3.0)
        assert all(host.core.is_ready for host in self.entries)
        return self

    def offer_load(self, per_s, seconds, hosts=None, unsafe_share=0.0):
        """Schedule requests with Poisson arrivals at random entry instances."""
        end_s = self.now_s + seconds
        hosts = hosts or self.entries

        def arrive():
            if self.now_s >= end_s:
                return
            host = hosts[int(self.rng.integers(len(hosts)))]
            host.request(idempotent=self.rng.random() >= unsafe_share)
            self.scheduler.after(float(self.rng.exponential(1 / per_s)), arrive)

        self.scheduler.after(float(self.rng.exponential(1 / per_s)), arrive)

    def name_limits(self, per_s, share=1.0):
        """Let a share of the backend servers name a limit, None for none."""
        count = round(share * len(self.backends))
        named = list(itertools.islice(self.backends.values(), count))
        for backend in named:
            backend.limit_per_s = per_s
        return named

    def count_refusals(self, from_s=0.0):
        """Return the number of refusals by reason."""
        return collections.Counter(
            problem.reason
            for host in self.entries
            for at_s, problem in host.refusals
            if at_s >= from_s
        )

    def delay_s(self, source, target):
        """Return the one-way delay between two failure domains."""
        if source == target:
            return DOMAIN_DELAY_S / 10
        return DOMAIN_DELAY_S if source[0] == target[0] else REGION_DELAY_S

    def _entry_row(self, number):
        domain = self._domain(number)
        self._domains[f"e{number}"] = domain
        address = f"10.0.0.{number}:80"
        return EntryRow(f"e{number}", "", address, f"e{number}", domain[0], domain)

    def _backend_row(self, number):
        domain = self._domain(number)
        address = f"10.0.1.{number}:80"
        return BackendRow(
            f"i{number}", SERVICE, address, domain[0], domain, SLOTS, born_ms=1
        )

    def _domain(self, number):
        region = REGIONS[number % len(REGIONS)]
        return f"{region}-{number // len(REGIONS) % DOMAINS_PER_REGION}"
