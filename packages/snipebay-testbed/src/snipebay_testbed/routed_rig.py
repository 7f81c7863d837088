"""Harness that runs entry instances with a traffic plan in virtual time, on fakes."""

import collections
import itertools

import attrs
from snipebay_control.core import ControlConfig
from snipebay_control.sessions import LeaseTiming
from snipebay_model.messages import ApplyPlan, PutBackend
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow

from snipebay_testbed.control_rig import ControlRig
from snipebay_testbed.limited_backend import LimitedBackend
from snipebay_testbed.routed_host import (
    HOST,
    PREFIX,
    REGION_DELAY_S,
    UNSAFE_PREFIX,
    RoutedHost,
)

__all__ = ["RoutedRig"]

REGIONS = ("a", "b", "c")
DOMAINS_PER_REGION = 2
SERVICE = "s"
DOMAIN_DELAY_S = 0.003
SLOTS = 4
BACKEND_LEASE_S = 1e6


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
