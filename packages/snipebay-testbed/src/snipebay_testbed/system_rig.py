"""Harness that runs a whole deployment in one process, on fakes."""

import collections

import attrs
from snipebay_model.messages import ApplySettings
from snipebay_model.view import BackendRow, EntryRow
from snipebay_policy.context import EntryConfig
from snipebay_policy.entry import EntryCore
from snipebay_policy.work import (
    Cancel,
    Dispatch,
    Problem,
    Relay,
    Replay,
    RequestInfo,
    Send,
)

from snipebay_testbed.control_rig import ControlRig
from snipebay_testbed.fake_backend import FakeBackend, FakeRequest

__all__ = ["EntryHost", "RequestResult", "SystemRig"]

TICK_S = 0.05
ANNOUNCE_INTERVAL_S = 0.8
# Idle time after which a connection to a backend server has to be opened anew.
CONNECTION_IDLE_S = 20.0


@attrs.frozen
class RequestResult:
    """Result of a request as the caller receives it.

    Attributes:
        service: Service of the request.
        key: Idempotency key, or empty.
        outcome: ``ok``, ``replay``, ``not-run``, ``unknown`` or ``ran``.
        latency_s: Time to the response at the entry instance, without the network
            delay to the client.
        at_s: Time of the response.
        entry_id: Entry instance that sent the response.
        is_cross_region: True when a backend server of another region responded.
    """

    service: str
    key: str
    outcome: str
    latency_s: float
    at_s: float
    entry_id: str
    is_cross_region: bool = False


@attrs.define
class _Attempt:
    """An attempt of a request at a backend server.

    Attributes:
        attempt_id: Id of the attempt.
        request_id: Id of the request.
        backend: Backend server that it is sent to.
        sent_request: Request as the backend server receives it, or None until it
            is written to the connection.
    """

    attempt_id: int
    request_id: int
    backend: FakeBackend
    sent_request: FakeRequest | None = None


class EntryHost:
    """One entry instance: a core and the state of its process.

    Args:
        rig: Harness that it belongs to.
        row: Row that it announces to control.

    Attributes:
        core: Core of the running process, or None while it is stopped.
        frozen: True while the process is suspended.
    """

    def __init__(self, rig, row):
        self.rig = rig
        self.row = row
        self.core = None
        self.frozen = False
        self._deferred = []
        self._attempts = {}
        self._pending = {}
        self._last_used_s = {}
        self._cross_region_ids = set()
        self._start_count = 0

    @property
    def id(self):
        return self.row.entry_id

    def start(self):
        """Start the process, with a new incarnation."""
        self._start_count += 1
        self.row = attrs.evolve(self.row, incarnation=f"run{self._start_count}")
        cfg = EntryConfig(self.row, heartbeat_interval_s=self.rig.heartbeat_interval_s)
        run_number = int(self.rig.rng.integers(1 << 40))
        self.core = EntryCore(cfg, tuple(self.rig.control.hosts), run_number)
        self.rig.network.receivers[self.id] = self._receive
        self._tick(self._start_count)

    def kill(self):
        """Stop the process at once; its connections are closed."""
        self.core = None
        self.rig.network.receivers.pop(self.id, None)
        for attempt in self._attempts.values():
            if attempt.sent_request is not None:
                attempt.backend.cancel(attempt.sent_request)
        self._attempts.clear()
        self._pending.clear()

    def freeze(self):
        """Suspend the process; events for it are held back."""
        self.frozen = True

    def thaw(self):
        """Resume the process and run the events held back."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for callback, args in deferred:
            self.run_or_defer(callback, *args)

    def run_or_defer(self, callback, *args):
        """Run a callback in the process, after ``thaw`` if it is suspended.

        A stopped process drops the callback.
        """
        if self.core is None:
            return
        if self.frozen:
            self._deferred.append((callback, args))
            return
        self.core.commands.now_s = self.rig.now_s
        callback(*args)
        self._run_actions()

    def request(self, service, key="", digest="", on_result=None):
        """Send a request as a caller and return its id.

        Args:
            service: Service to request.
            key: Idempotency key, or empty.
            digest: Digest of the request body; by default the key.
            on_result: Callback that takes the :class:`RequestResult`, or None.
        """
        request_id = self.rig.next_id()
        self._pending[request_id] = (service, key, self.rig.now_s, on_result)
        self.rig.request_counts[self.row.region, service] += 1
        info = RequestInfo(service, None, key, digest or key)
        self.run_or_defer(
            lambda: self.core.requests.on_request(request_id, info, self.rig.now_s)
        )
        return request_id

    def disconnect_caller(self, request_id):
        """Close the connection of a request's caller."""
        self._pending.pop(request_id, None)
        self.run_or_defer(
            lambda: self.core.requests.on_caller_disconnect(request_id, self.rig.now_s)
        )

    def announce(self, row, on_reply):
        """Receive a backend server's announcement.

        Args:
            row: Row that the backend server announces.
            on_reply: Callback that takes the reply; not called when the row is invalid.
        """

        def handle():
            try:
                on_reply(self.core.announcements.announce(row, self.rig.now_s))
            except ValueError:
                return

        self.run_or_defer(handle)

    # --- process ----------------------------------------------------------

    def _receive(self, sender, body):
        self.run_or_defer(lambda: self.core.receive(sender, body, self.rig.now_s))

    def _tick(self, start_number):
        """Tick the core until the process stops or starts again."""
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
                self._cancel(action.attempt_id)
            case Relay():
                pass
            case Problem():
                self._complete(action.request_id, action.outcome)
            case Replay():
                self._complete(action.request_id, "replay")

    def _complete(self, request_id, outcome, is_cross_region=False):
        """Record the result of a request and report it to the caller."""
        pending = self._pending.pop(request_id, None)
        if pending is None:
            return
        service, key, start_s, on_result = pending
        now_s = self.rig.now_s
        result = RequestResult(
            service, key, outcome, now_s - start_s, now_s, self.id, is_cross_region
        )
        self.rig.results.append(result)
        if on_result is not None:
            on_result(result)

    # --- backend servers --------------------------------------------------

    def _dispatch(self, action):
        backend = self.rig.backends[action.backend.backend_id]
        attempt = _Attempt(action.attempt_id, action.request_id, backend)
        self._attempts[action.attempt_id] = attempt
        delay_s = self.rig.link_delay_s(self.row.domain, backend.row.domain)
        last_used_s = self._last_used_s.get(backend.row.backend_id, float("-inf"))
        # Opening a connection takes a round trip besides the server's own time.
        is_reusable = self.rig.now_s - last_used_s < CONNECTION_IDLE_S
        connect_s = 0.0 if is_reusable else self.rig.connect_s + 2 * delay_s
        self.rig.scheduler.after(connect_s, self.run_or_defer, self._write, attempt)

    def _write(self, attempt):
        """Write the request to the connection, if it may still be sent."""
        if attempt.attempt_id not in self._attempts:
            return
        core, now_s = self.core, self.rig.now_s
        if not attempt.backend.is_up:
            del self._attempts[attempt.attempt_id]
            core.requests.on_failure(attempt.attempt_id, now_s, "refused")
            return
        if not core.requests.may_write(attempt.attempt_id, now_s):
            del self._attempts[attempt.attempt_id]
            return
        self._last_used_s[attempt.backend.row.backend_id] = now_s
        key = self._pending.get(attempt.request_id, ("", ""))[1]
        row = core.requests.rows.get(attempt.request_id)
        key = row.info.key if row is not None else key
        attempt.sent_request = FakeRequest(
            key,
            lambda request: self._after_link_delay(attempt, self._on_response),
            lambda request: self._after_link_delay(attempt, self._on_shed),
        )
        delay_s = self.rig.link_delay_s(self.row.domain, attempt.backend.row.domain)
        if attempt.backend.row.region != self.row.region:
            source = (self.row.region, attempt.backend.row.service)
            if attempt.request_id not in self._cross_region_ids:
                self._cross_region_ids.add(attempt.request_id)
                self.rig.cross_region_counts[source] += 1
        self.rig.scheduler.after(delay_s, self._arrive, attempt)

    def _arrive(self, attempt):
        """Deliver the request to the backend server, unless it was cancelled."""
        if attempt.sent_request.is_cancelled:
            return
        if not attempt.backend.is_up:
            self._after_link_delay(attempt, self._on_connection_lost)
            return
        attempt.backend.receive(attempt.sent_request)

    def _after_link_delay(self, attempt, callback):
        delay_s = self.rig.link_delay_s(self.row.domain, attempt.backend.row.domain)
        self.rig.scheduler.after(delay_s, self.run_or_defer, callback, attempt)

    def _on_response(self, attempt):
        if self._attempts.pop(attempt.attempt_id, None) is None:
            return
        requests, now_s = self.core.requests, self.rig.now_s
        self._last_used_s[attempt.backend.row.backend_id] = now_s
        limit_per_s = attempt.backend.limit_per_s
        requests.on_rate_limit(attempt.attempt_id, limit_per_s, now_s)
        requests.on_response(attempt.attempt_id, now_s)
        requests.on_response_end(attempt.attempt_id, now_s, status=200, body=b"done")
        is_cross_region = attempt.backend.row.region != self.row.region
        self._complete(attempt.request_id, "ok", is_cross_region)

    def _on_shed(self, attempt):
        if self._attempts.pop(attempt.attempt_id, None) is not None:
            self.core.requests.on_rejection(attempt.attempt_id, self.rig.now_s)

    def _on_connection_lost(self, attempt):
        if self._attempts.pop(attempt.attempt_id, None) is not None:
            requests, now_s = self.core.requests, self.rig.now_s
            requests.on_failure(attempt.attempt_id, now_s, "closed")

    def on_backend_killed(self, backend):
        """Fail the attempts sent to a backend server that was killed."""
        for attempt in list(self._attempts.values()):
            if attempt.backend is backend and attempt.sent_request is not None:
                self._after_link_delay(attempt, self._on_connection_lost)

    def _cancel(self, attempt_id):
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None or attempt.sent_request is None:
            return
        delay_s = self.rig.link_delay_s(self.row.domain, attempt.backend.row.domain)
        self.rig.scheduler.after(delay_s, attempt.backend.cancel, attempt.sent_request)


class SystemRig:
    """A deployment of control and entry instances, backend servers and callers.

    Args:
        deployment: Regions, failure domains and services.
        seed: Random seed of the run.
        controls: Number of control instances.
        settings: Settings tree as YAML, by default the deployment's.
        sigma: Standard deviation of the logarithm of the service times.
        host_class: Class of the entry instances.
        heartbeat_interval_s: Time between two heartbeats of an entry instance.
        **network: Further arguments of the fake network.

    Attributes:
        connect_s: Time that a backend server takes to accept a connection.
        results: Results of all requests, in order.
        request_counts: Requests by region of the entry instance and service.
        cross_region_counts: Requests sent to another region, by region of the
            entry instance and service.
        backends: Backend servers by id.
        entries: Entry instances by id.
        change_number: Number of settings changes so far.
    """

    def __init__(
        self,
        deployment,
        seed,
        *,
        controls=3,
        settings=None,
        sigma=0.3,
        host_class=EntryHost,
        heartbeat_interval_s=0.1,
        **network,
    ):
        self.deployment = deployment
        self.control = ControlRig(seed, controls, **network)
        self.rng = self.control.rng
        self.scheduler = self.control.scheduler
        self.network = self.control.network
        self.network.delay_s = self._message_delay_s
        self.connect_s = deployment.connect_ms / 1_000
        self.heartbeat_interval_s = heartbeat_interval_s
        self.results = []
        self.request_counts = collections.Counter()
        self.cross_region_counts = collections.Counter()
        self._region = dict(deployment.domains)
        self._domain = {
            f"c{i + 1}": deployment.domains[2 * i % len(deployment.domains)][0]
            for i in range(controls)
        }
        self._last_id = 0
        self.backends = {}
        self.entries = {}
        self.settings = settings or deployment.settings()
        self.change_number = 0
        for i in range(deployment.entries):
            domain, region = deployment.domains[i % len(deployment.domains)]
            entry_id = f"e{i + 1:02}"
            address = f"127.0.0.1:{21_000 + 3 * i}"
            row = EntryRow(entry_id, "", address, address, region, domain)
            self._domain[entry_id] = domain
            self.entries[entry_id] = host_class(self, row)
        for spec in deployment.backends(30_000):
            row = BackendRow(
                spec.backend_id,
                spec.service,
                spec.address,
                spec.region,
                spec.domain,
                spec.slots,
            )
            self.backends[spec.backend_id] = FakeBackend(
                row, self.scheduler, self.rng, spec.service_ms / 1_000, sigma
            )

    @property
    def now_s(self):
        return self.scheduler.now_s

    def next_id(self):
        """Return an id for a request, unique in this run."""
        self._last_id += 1
        return self._last_id

    def start(self):
        """Start the deployment, run until all slots are usable, and return self."""
        self.control.elect()
        outcome = self.change(self.settings)
        assert outcome.code == "ok", outcome
        for host in self.entries.values():
            host.start()
        self.scheduler.run_for(2.0)
        for backend in self.backends.values():
            self._announce(backend)
        # Long enough for the slots assigned to the last joining instances to settle.
        self.scheduler.run_for(6.0)
        return self

    def change(self, text, base=None):
        """Apply a settings tree and return the outcome.

        Args:
            text: Settings tree as YAML.
            base: Revision that the change is based on, by default the current one.
        """
        self.change_number += 1
        leader = self.control.leader or self.control.elect()
        if base is None:
            base = leader.core.state.settings_revision
        cmd = ApplySettings(f"change-{self.change_number}", base, "operator", text)
        return self.control.call(cmd)

    def link_delay_s(self, source, target):
        """Return a one-way delay between two failure domains, with random jitter."""
        if source == target:
            base_ms = 0.25
        elif self._region.get(source) == self._region.get(target):
            base_ms = self.deployment.domain_ms
        else:
            base_ms = self.deployment.region_ms
        return base_ms / 1_000 * (1 + 0.2 * self.rng.random())

    def kill_backend(self, backend_id):
        """Kill a backend server and close its connections."""
        backend = self.backends[backend_id]
        backend.kill()
        for host in self.entries.values():
            host.on_backend_killed(backend)

    def kill_region(self, region):
        """Kill all backend servers of a region."""
        for backend in self.backends.values():
            if backend.row.region == region:
                self.kill_backend(backend.row.backend_id)

    def running_entries(self, region):
        """Return the hosts of a region's running entry instances."""
        return [h for h in self.entries.values() if h.row.region == region and h.core]

    def run_counts(self):
        """Return how often each key was run, over all backend servers."""
        total = collections.Counter()
        for backend in self.backends.values():
            total.update(backend.run_counts)
        return total

    def over_slots(self):
        """Return how many requests arrived at a backend server without a free slot."""
        return sum(backend.over_slots for backend in self.backends.values())

    def region_load(self, region, service):
        """Return the number of requests now at a service's servers in a region."""
        return sum(
            backend.load
            for backend in self.backends.values()
            if (backend.row.region, backend.row.service) == (region, service)
        )

    def region_slots(self, region, service):
        """Return the number of slots of a service in a region."""
        return sum(
            backend.row.slots
            for backend in self.backends.values()
            if (backend.row.region, backend.row.service) == (region, service)
        )

    def offer_poisson_load(self, service, per_s, seconds, hosts=None, *, keyed=False):
        """Schedule requests with Poisson arrivals at random entry instances.

        Args:
            service: Service to request.
            per_s: Mean number of requests a second.
            seconds: Duration.
            hosts: Entry instances to choose from, by default all.
            keyed: Give each request an idempotency key of its own.
        """
        end_s = self.now_s + seconds
        hosts = hosts or list(self.entries.values())

        def arrive():
            if self.now_s >= end_s:
                return
            host = hosts[int(self.rng.integers(len(hosts)))]
            host.request(service, f"k{self.next_id()}" if keyed else "")
            self.scheduler.after(float(self.rng.exponential(1 / per_s)), arrive)

        self.scheduler.after(float(self.rng.exponential(1 / per_s)), arrive)

    def _announce(self, backend):
        """Announce a backend server at a random entry instance, periodically."""
        if backend.is_up and backend.state != "gone":
            hosts = list(self.entries.values())
            host = hosts[int(self.rng.integers(len(hosts)))]
            row = attrs.evolve(backend.row, leaving=backend.leaving)
            host.announce(row, backend.on_announced)
        interval_s = (
            0.1 if backend.state in ("draining", "joining") else ANNOUNCE_INTERVAL_S
        )
        self.scheduler.after(interval_s, self._announce, backend)

    def _message_delay_s(self, source, target):
        """Return the delay of a message; clients are in the first failure domain."""
        domain = self.deployment.domains[0][0]
        domains = self._domain.get(source, domain), self._domain.get(target, domain)
        return self.link_delay_s(*domains)
