"""An entry instance that forwards by the traffic plan."""

import math

import attrs
from snipebay_model import messages
from snipebay_model.messages import Renew
from snipebay_model.plan import RequestLimits, RoutedService
from snipebay_model.view import View

from snipebay_policy.action_queue import ActionQueue
from snipebay_policy.budget import RetryBudget
from snipebay_policy.commands import CommandSystem
from snipebay_policy.fleet import Fleet
from snipebay_policy.forward import ForwardSystem
from snipebay_policy.forward_rows import ForwardRules
from snipebay_policy.objects import ObjectTable
from snipebay_policy.region_shares import RegionShares
from snipebay_policy.routes import RouteTable
from snipebay_policy.service_times import ServiceTimes
from snipebay_policy.shares import ShareMeter
from snipebay_policy.view_changes import view_changes
from snipebay_policy.work import Send

__all__ = ["RoutedConfig", "RoutedCore"]

# Time constant of the averages by which instances report their needs.
NEEDS_WINDOW_S = 2.0
# Part of a service's requests whose move between regions is worth a log line.
NOTED_SHIFT = 0.1
DEFAULT_LIMITS = RequestLimits()


@attrs.frozen
class RoutedConfig:
    """Identity, times and limits of an entry instance.

    Attributes:
        row: Ourselves as others see us.
        renew_s: Between two renewals of our lease.
        first_renew_s: The same until a traffic plan is in force here.
        shares_s: Between two updates of the shares by region.
        shift_per_s: Greatest part of the requests that changes region in a second.
        spill_share: Share of requests that may leave the region chosen for them.
        forward: Rules of forwarding.
    """

    row: object
    renew_s: float = 0.5
    first_renew_s: float = 0.15
    shares_s: float = 0.2
    shift_per_s: float = 0.05
    spill_share: float = 0.05
    forward: ForwardRules = ForwardRules()


class RoutedCore(ActionQueue):
    """Pure entry instance for routed requests.

    The adapter hands in what happens, then carries out :meth:`take_actions`.

    Args:
        cfg: Identity, times and limits.
        controls: Ids of the control instances to ask first.
    """

    def __init__(self, cfg, controls):
        super().__init__()
        self.cfg = cfg
        self.row = cfg.row
        self.region = cfg.row.region
        self.view = View()
        self.table = None
        self.fleet = Fleet(cfg.row.entry_id, cfg.row.region, cfg.row.domain)
        self.commands = CommandSystem(self, controls)
        self.forward = ForwardSystem(self, cfg.forward)
        self._seeds = tuple(controls)
        self._demand = {}
        self._shares = {}
        self._meters = {}
        self._times = {}
        self._budgets = {}
        self._needs = {}
        self._notes = []
        self._noted_shares = {}
        self._next_renew_s = 0.0
        self._next_shares_s = 0.0
        self._answered_s = 0.0
        self._sampled_s = 0.0

    # --- state ------------------------------------------------------------

    @property
    def is_ready(self):
        """True once a traffic plan is in force here."""
        return self.table is not None

    @property
    def limits(self):
        """Limits on requests in force."""
        return self.view.plan.limits if self.view.plan else DEFAULT_LIMITS

    @property
    def is_idle(self):
        return not self.forward.rows

    def note(self, event, subject, **fields):
        """Tell whoever runs us of a change in what we believe."""
        self._notes.append((event, subject, fields))

    def take_notes(self):
        """Return triples of event, subject and fields since the last call."""
        notes, self._notes = self._notes, []
        return notes

    def view_age_s(self, now_s):
        """Return how long ago control last confirmed the view."""
        return now_s - self._answered_s

    # --- inputs -----------------------------------------------------------

    def receive(self, sender, body, now_s):
        """Take in a message from a control instance."""
        self.commands.now_s = now_s
        if isinstance(body, messages.RenewReply):
            self._on_renew_reply(body, now_s)
        elif isinstance(body, messages.CommandReply):
            self.commands.on_reply(body, now_s)

    def tick(self, now_s):
        """Run all systems over the tables at a time."""
        self.commands.tick(now_s)
        self.forward.tick(now_s)
        if now_s >= self._next_shares_s:
            self._next_shares_s = now_s + self.cfg.shares_s
            self._sample_needs(now_s)
            for objects in self.fleet.objects.values():
                objects.settle(now_s)
            self._move_shares(now_s)
        if now_s >= self._next_renew_s:
            self._renew(now_s)

    def leave(self, now_s):
        """Ask to be left out of look-ups before a planned stop."""
        self.row = attrs.evolve(self.row, leaving=True)
        self._renew(now_s)

    def lookup(self, domain, region):
        """Return the addresses of entry instances for a caller, nearest first.

        Args:
            domain: Failure domain of the caller.
            region: Region of the caller.
        """
        rows = [row for row in self.view.entries if not row.leaving]
        near = [row for row in rows if row.domain == domain]
        mid = [row for row in rows if row.region == region]
        # One alone would leave its callers with nothing when it fails.
        found = near if len(near) > 1 else mid or rows
        return [row.address for row in found]

    def learn_controls(self, controls):
        """Take in further control instances to ask."""
        self._seeds = tuple(controls)
        known = (*self.commands.controls, *controls)
        self.commands.controls = tuple(dict.fromkeys(known))

    # --- tables for the systems -------------------------------------------

    def shares(self, service):
        """Return the shares by region of a service."""
        if service not in self._shares:
            self._shares[service] = RegionShares(self.region, self.cfg.shift_per_s)
        return self._shares[service]

    def region_for(self, service, key, allowed):
        """Return the region that a request should run in, or None.

        Args:
            service: Service of the request.
            key: Names the object that it concerns, or empty.
            allowed: Regions to choose from, empty for all.
        """
        shares = self.shares(service)
        if not key:
            return shares.next(allowed)
        objects = self.fleet.objects.setdefault(service, ObjectTable())
        objects.note(key)
        return shares.region_at(objects.position(key), allowed)

    def spill(self, service):
        """Return the meter of requests that left the region chosen for them."""
        if service not in self._meters:
            self._meters[service] = ShareMeter(self.cfg.spill_share)
        return self._meters[service]

    def times(self, service):
        """Return how long the backend servers of a service take."""
        if service not in self._times:
            self._times[service] = ServiceTimes()
        return self._times[service]

    def budget(self, service):
        """Return our part of the retry budget of a service."""
        if service not in self._budgets:
            ratio = self.cfg.forward.retry_ratio
            self._budgets[service] = RetryBudget(ratio, self._retry_credit())
        return self._budgets[service]

    def _retry_credit(self):
        """Return our part of the retries that are allowed beyond the ratio."""
        slack = self.cfg.forward.retry_slack
        return max(1.0, slack / max(1, len(self.view.entries)))

    def service(self, name):
        """Return a service of the plan, with defaults for an unknown one."""
        found = self.table.services.get(name) if self.table else None
        return found or RoutedService(name)

    def arrived(self, service):
        """Count a request."""
        self.budget(service).earn()
        self.spill(service).arrive({})

    # --- control ----------------------------------------------------------

    def _renew(self, now_s):
        wait_s = self.cfg.renew_s if self.is_ready else self.cfg.first_renew_s
        self._next_renew_s = now_s + wait_s
        if now_s - self._answered_s > 2 * self.cfg.renew_s:
            self.commands.clear_leader()
        self._report(self.commands.target(), now_s)

    def _report(self, target, now_s):
        """Tell a control instance where we stand."""
        report = Renew(
            self.row,
            int(now_s * 1_000),
            self.view.revision,
            self.view.revision,
            load_reports={s: len(w) for s, w in self.forward.waiting.items() if w},
            needs=dict(self._needs),
        )
        self.act(Send(target, report))

    def _sample_needs(self, now_s):
        """Average the requests that run or wait, which is what they need of slots."""
        elapsed_s = now_s - self._sampled_s
        self._sampled_s = now_s
        part = 1 - math.exp(-elapsed_s / NEEDS_WINDOW_S)
        found = self.forward.open_by_service()
        for service in sorted({*self._needs, *found}):
            old = self._needs.get(service, 0.0)
            self._needs[service] = old + part * (found[service] - old)

    def _on_renew_reply(self, msg, now_s):
        if msg.controls:
            self.commands.controls = tuple(dict.fromkeys((*msg.controls, *self._seeds)))
        if msg.leader:
            self.commands.leader = msg.leader
        if msg.quorum_revision == 0:
            if msg.leader:
                # It may not be one of those that we ask in turn.
                self._report(msg.leader, now_s)
            return
        self._answered_s = now_s
        self._demand = {}
        for service, region, slots in msg.demand:
            self._demand.setdefault(service, {})[region] = slots
        if msg.delta is not None and msg.delta.base <= self.view.revision:
            self._adopt(msg.delta, now_s)

    def _adopt(self, delta, now_s):
        view = self.view.apply(delta)
        if view is self.view:
            return
        if view.plan is not self.view.plan and view.plan is not None:
            self.table = RouteTable(view.plan, self.table)
        for event, subject, fields in view_changes(self.view, view):
            self.note(event, subject, **fields)
        self.view = view
        for budget in self._budgets.values():
            budget.most = self._retry_credit()
        self.fleet.adopt(view, now_s)
        self._move_shares(now_s)
        # Tell at once, since operators see by it what is in force.
        self._renew(now_s)

    def _move_shares(self, now_s):
        services = self.table.services if self.table else ()
        for service in services:
            capacity = self.fleet.capacity(service, now_s)
            shares = self.shares(service)
            shares.move(capacity, self._demand.get(service, {}), now_s)
            self._note_shares(service, shares.shares)

    def _note_shares(self, service, shares):
        """Tell when the shares by region have moved far since they were last told."""
        old = self._noted_shares.get(service, {})
        moved = max(
            (abs(shares.get(r, 0.0) - old.get(r, 0.0)) for r in {*old, *shares}),
            default=0.0,
        )
        if moved >= NOTED_SHIFT:
            self._noted_shares[service] = dict(shares)
            rounded = {r: round(share, 2) for r, share in sorted(shares.items())}
            self.note("region shares moved", service, shares=rounded)
