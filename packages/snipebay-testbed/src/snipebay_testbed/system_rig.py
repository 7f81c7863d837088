"""Control, entry instances, backend servers and callers on fakes."""

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

__all__ = ["EntryHost", "Result", "SystemRig"]

TICK_S = 0.05
ANNOUNCE_S = 0.8
WARM_S = 20.0


@attrs.frozen
class Result:
    """What a caller was told.

    Attributes:
        service: Service of the request.
        key: Idempotency key, or empty.
        outcome: ``ok``, ``replay``, ``not-run``, ``unknown`` or ``ran``.
        latency_s: Time to the answer, without the way to the client.
        at_s: When it was told.
        entry_id: Entry instance that told it.
        crossed: True when another region answered.
    """

    service: str
    key: str
    outcome: str
    latency_s: float
    at_s: float
    entry_id: str
    crossed: bool = False


@attrs.define
class _Call:
    """A try on its way to a backend server."""

    attempt_id: int
    request_id: int
    backend: FakeBackend
    run: FakeRequest | None = None


class EntryHost:
    """One entry instance: a core and whether it runs."""

    def __init__(self, rig, row):
        self.rig = rig
        self.row = row
        self.core = None
        self.frozen = False
        self._held = []
        self._calls = {}
        self._pending = {}
        self._warm = {}
        self._crossed = set()
        self._run = 0

    @property
    def id(self):
        return self.row.entry_id

    def start(self):
        """Start the process anew."""
        self._run += 1
        self.row = attrs.evolve(self.row, incarnation=f"run{self._run}")
        cfg = EntryConfig(self.row, heartbeat_interval_s=self.rig.heartbeat_interval_s)
        run_number = int(self.rig.rng.integers(1 << 40))
        self.core = EntryCore(cfg, tuple(self.rig.control.hosts), run_number)
        self.rig.network.receivers[self.id] = self._receive
        self._tick(self._run)

    def kill(self):
        """Stop the process at once; its connections close."""
        self.core = None
        self.rig.network.receivers.pop(self.id, None)
        for call in self._calls.values():
            if call.run is not None:
                call.backend.cancel(call.run)
        self._calls.clear()
        self._pending.clear()

    def freeze(self):
        """Let the process stand still."""
        self.frozen = True

    def thaw(self):
        """Let the process go on with what has waited for it."""
        self.frozen = False
        held, self._held = self._held, []
        for callback, args in held:
            self.run_or_defer(callback, *args)

    def run_or_defer(self, callback, *args):
        """Run something in the process, now or when it goes on."""
        if self.core is None:
            return
        if self.frozen:
            self._held.append((callback, args))
            return
        self.core.commands.now_s = self.rig.now_s
        callback(*args)
        self._drain()

    def request(self, service, key="", digest="", on_result=None):
        """Send a request as a caller; return its id."""
        request_id = self.rig.next_id()
        self._pending[request_id] = (service, key, self.rig.now_s, on_result)
        self.rig.request_counts[self.row.region, service] += 1
        info = RequestInfo(service, None, key, digest or key)
        self.run_or_defer(
            lambda: self.core.requests.arrive(request_id, info, self.rig.now_s)
        )
        return request_id

    def caller_gone(self, request_id):
        """Let the caller of a request leave."""
        self._pending.pop(request_id, None)
        self.run_or_defer(
            lambda: self.core.requests.caller_gone(request_id, self.rig.now_s)
        )

    def announce(self, row, on_answer):
        """Take in a backend server's announcement."""

        def work():
            try:
                on_answer(self.core.announcements.announce(row, self.rig.now_s))
            except ValueError:
                return

        self.run_or_defer(work)

    # --- process ----------------------------------------------------------

    def _receive(self, sender, body):
        self.run_or_defer(lambda: self.core.receive(sender, body, self.rig.now_s))

    def _tick(self, run):
        if run != self._run or self.core is None:
            return
        if not self.frozen:
            self.core.tick(self.rig.now_s)
            self._drain()
        self.rig.scheduler.after(TICK_S, self._tick, run)

    def _drain(self):
        while self.core is not None and (actions := self.core.pop_actions()):
            for action in actions:
                self._carry_out(action)

    def _carry_out(self, action):
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

    def _complete(self, request_id, outcome, crossed=False):
        """Give the caller its answer."""
        found = self._pending.pop(request_id, None)
        if found is None:
            return
        service, key, start_s, on_result = found
        now_s = self.rig.now_s
        result = Result(service, key, outcome, now_s - start_s, now_s, self.id, crossed)
        self.rig.results.append(result)
        if on_result is not None:
            on_result(result)

    # --- backend servers --------------------------------------------------

    def _dispatch(self, action):
        backend = self.rig.backends[action.backend.backend_id]
        call = _Call(action.attempt_id, action.request_id, backend)
        self._calls[action.attempt_id] = call
        delay_s = self.rig.link_delay_s(self.row.domain, backend.row.domain)
        warm_s = self._warm.get(backend.row.backend_id, float("-inf"))
        # A new connection costs a round trip besides the server's own time.
        is_warm = self.rig.now_s - warm_s < WARM_S
        connect_s = 0.0 if is_warm else self.rig.connect_s + 2 * delay_s
        self.rig.scheduler.after(connect_s, self.run_or_defer, self._write, call)

    def _write(self, call):
        if call.attempt_id not in self._calls:
            return
        core, now_s = self.core, self.rig.now_s
        if not call.backend.is_up:
            del self._calls[call.attempt_id]
            core.requests.failed(call.attempt_id, now_s, "refused")
            return
        if not core.requests.may_write(call.attempt_id, now_s):
            del self._calls[call.attempt_id]
            return
        self._warm[call.backend.row.backend_id] = now_s
        key = self._pending.get(call.request_id, ("", ""))[1]
        row = core.requests.rows.get(call.request_id)
        key = row.info.key if row is not None else key
        call.run = FakeRequest(
            key,
            lambda run: self._later(call, self._ended),
            lambda run: self._later(call, self._shed),
        )
        delay_s = self.rig.link_delay_s(self.row.domain, call.backend.row.domain)
        if call.backend.row.region != self.row.region:
            place = (self.row.region, call.backend.row.service)
            if call.request_id not in self._crossed:
                self._crossed.add(call.request_id)
                self.rig.cross_region_counts[place] += 1
        self.rig.scheduler.after(delay_s, self._arrive, call)

    def _arrive(self, call):
        if call.run.is_cancelled:
            return
        if not call.backend.is_up:
            self._later(call, self._broke)
            return
        call.backend.receive(call.run)

    def _later(self, call, callback):
        delay_s = self.rig.link_delay_s(self.row.domain, call.backend.row.domain)
        self.rig.scheduler.after(delay_s, self.run_or_defer, callback, call)

    def _ended(self, call):
        if self._calls.pop(call.attempt_id, None) is None:
            return
        requests, now_s = self.core.requests, self.rig.now_s
        self._warm[call.backend.row.backend_id] = now_s
        requests.answered(call.attempt_id, now_s)
        requests.finished(call.attempt_id, now_s, status=200, body=b"done")
        crossed = call.backend.row.region != self.row.region
        self._complete(call.request_id, "ok", crossed)

    def _shed(self, call):
        if self._calls.pop(call.attempt_id, None) is not None:
            self.core.requests.shed(call.attempt_id, self.rig.now_s)

    def _broke(self, call):
        if self._calls.pop(call.attempt_id, None) is not None:
            requests, now_s = self.core.requests, self.rig.now_s
            requests.failed(call.attempt_id, now_s, "closed")

    def broken_by(self, backend):
        """Let the connections to a dead backend server break."""
        for call in list(self._calls.values()):
            if call.backend is backend and call.run is not None:
                self._later(call, self._broke)

    def _cancel(self, attempt_id):
        call = self._calls.pop(attempt_id, None)
        if call is None or call.run is None:
            return
        delay_s = self.rig.link_delay_s(self.row.domain, call.backend.row.domain)
        self.rig.scheduler.after(delay_s, call.backend.cancel, call.run)


class SystemRig:
    """A whole deployment on fakes.

    Args:
        deployment: Places and services.
        seed: Seed of all chance.
        controls: Number of control instances.
        settings: Settings tree, by default the deployment's.
        sigma: Spread of run times.
        host_class: Class of the entry instances.
        heartbeat_interval_s: Between two beats of an entry instance.
        **network: Further arguments of the fake network.
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
        self.network.delay_s = self._message_s
        self.connect_s = deployment.connect_ms / 1_000
        self.heartbeat_interval_s = heartbeat_interval_s
        self.results = []
        self.request_counts = collections.Counter()
        self.cross_region_counts = collections.Counter()
        self._region = dict(deployment.domains)
        self._place = {
            f"c{i + 1}": deployment.domains[2 * i % len(deployment.domains)][0]
            for i in range(controls)
        }
        self._ids = 0
        self.backends = {}
        self.entries = {}
        self.settings = settings or deployment.settings()
        self.change_number = 0
        for i in range(deployment.entries):
            domain, region = deployment.domains[i % len(deployment.domains)]
            entry_id = f"e{i + 1:02}"
            address = f"127.0.0.1:{21_000 + 3 * i}"
            row = EntryRow(entry_id, "", address, address, region, domain)
            self._place[entry_id] = domain
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
        self._ids += 1
        return self._ids

    def start(self):
        """Start everything and run until all slots are in use."""
        self.control.elect()
        outcome = self.change(self.settings)
        assert outcome.code == "ok", outcome
        for host in self.entries.values():
            host.start()
        self.scheduler.run_for(2.0)
        for backend in self.backends.values():
            self._announce(backend)
        # Long enough for the slots of the last newcomers to settle.
        self.scheduler.run_for(6.0)
        return self

    def change(self, text, base=None):
        """Apply a settings tree and return the outcome."""
        self.change_number += 1
        leader = self.control.leader or self.control.elect()
        if base is None:
            base = leader.core.state.settings_revision
        cmd = ApplySettings(f"change-{self.change_number}", base, "operator", text)
        return self.control.call(cmd)

    def link_delay_s(self, source, target):
        """Return a one-way delay between two failure domains, with jitter."""
        if source == target:
            base_ms = 0.25
        elif self._region.get(source) == self._region.get(target):
            base_ms = self.deployment.domain_ms
        else:
            base_ms = self.deployment.region_ms
        return base_ms / 1_000 * (1 + 0.2 * self.rng.random())

    def kill_backend(self, backend_id):
        """Let a backend server die and its connections break."""
        backend = self.backends[backend_id]
        backend.kill()
        for host in self.entries.values():
            host.broken_by(backend)

    def kill_region(self, region):
        """Let all backend servers of a region die."""
        for backend in self.backends.values():
            if backend.row.region == region:
                self.kill_backend(backend.row.backend_id)

    def entries_of(self, region):
        """Return the hosts of a region's running entry instances."""
        return [h for h in self.entries.values() if h.row.region == region and h.core]

    def runs(self):
        """Return how often each key was run, over all backend servers."""
        total = collections.Counter()
        for backend in self.backends.values():
            total.update(backend.runs)
        return total

    def over_slots(self):
        """Return how many requests met a backend server with no slot free."""
        return sum(backend.over_slots for backend in self.backends.values())

    def region_load(self, region, service):
        """Return requests now at the backend servers of a region."""
        return sum(
            backend.load
            for backend in self.backends.values()
            if (backend.row.region, backend.row.service) == (region, service)
        )

    def region_slots(self, region, service):
        """Return the slots of a service in a region."""
        return sum(
            backend.row.slots
            for backend in self.backends.values()
            if (backend.row.region, backend.row.service) == (region, service)
        )

    def offer_poisson_load(self, service, per_s, seconds, hosts=None, *, keyed=False):
        """Let requests arrive at random at entry instances over a time."""
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
        """Let a backend server announce itself at one entry after the other."""
        if backend.is_up and backend.state != "gone":
            hosts = list(self.entries.values())
            host = hosts[int(self.rng.integers(len(hosts)))]
            row = attrs.evolve(backend.row, leaving=backend.leaving)
            host.announce(row, backend.take_answer)
        pause_s = 0.1 if backend.state in ("draining", "joining") else ANNOUNCE_S
        self.scheduler.after(pause_s, self._announce, backend)

    def _message_s(self, source, target):
        domain = self.deployment.domains[0][0]
        places = self._place.get(source, domain), self._place.get(target, domain)
        return self.link_delay_s(*places)
