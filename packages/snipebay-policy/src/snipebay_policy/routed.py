"""Entry instance that forwards requests by the routes of the traffic plan."""

import math

import attrs
from snipebay_model import messages
from snipebay_model.codec import CodecError
from snipebay_model.messages import Renew
from snipebay_model.node_names import instance_id_of
from snipebay_model.packed_delta import unpack_delta
from snipebay_model.plan import RequestLimits
from snipebay_model.view import View

from snipebay_policy.action_queue import ActionQueue
from snipebay_policy.balancing.load_exchange import LoadExchange
from snipebay_policy.commands import CommandSystem
from snipebay_policy.entry_lookup import EntryLookup
from snipebay_policy.fleet import Fleet
from snipebay_policy.forward import ForwardSystem
from snipebay_policy.forward_rows import ForwardRules
from snipebay_policy.hop_table import HopTable
from snipebay_policy.rate_limits import RateLimitTable
from snipebay_policy.reach import ReachMonitor
from snipebay_policy.region_shares import kept_utilization
from snipebay_policy.renewal_pacing import renewal_interval_s
from snipebay_policy.routes import RouteTable
from snipebay_policy.service_tables import ServiceTables
from snipebay_policy.view_changes import view_changes
from snipebay_policy.work import Probe, Send
from snipebay_policy.workspaces.fairness import WorkspaceUse
from snipebay_policy.workspaces.keys import WorkspaceTable
from snipebay_policy.workspaces.lease import ConfigLease

__all__ = ["RoutedConfig", "RoutedCore"]

# Time constant of the moving averages of needed slots, which instances report.
NEEDS_WINDOW_S = 2.0
# Smallest change of a region's share that is logged.
LOGGED_SHARE_CHANGE = 0.1
# A changed rate limit is reported this long before the next renewal is due.
URGENT_RENEW_S = 0.4
# Control instances that are asked at once before the first lease, so that whichever is
# elected has been asked and can answer at once.
STARTUP_TARGETS = 5
DEFAULT_LIMITS = RequestLimits()


@attrs.frozen
class RoutedConfig:
    """Identity, times and limits of an entry instance.

    Attributes:
        row: :class:`EntryRow` of this instance in the view.
        renew_interval_s: Shortest interval between two renewals of the lease.
        startup_renew_interval_s: The same before the first lease is granted. While
            no leader is known then, several control instances are asked at once.
        share_update_interval_s: Interval between two updates of the region shares.
        max_shift_per_s: Largest share of requests that changes region per second.
        max_spill_share: Share of requests that may leave the region assigned to
            them.
        forward: Rules of forwarding.
        revoke_s: Time within which a revoked key ceases to be served, also at an
            instance that is cut off from control; None for no such limit.
    """

    row: object
    renew_interval_s: float = 0.5
    startup_renew_interval_s: float = 0.2
    share_update_interval_s: float = 0.2
    max_shift_per_s: float = 0.05
    max_spill_share: float = 0.05
    forward: ForwardRules = ForwardRules()
    revoke_s: float | None = None


class RoutedCore(ServiceTables, EntryLookup, ActionQueue):
    """Entry instance for routed requests, without I/O.

    The adapter passes in events, then carries out :meth:`pop_actions`.

    Args:
        cfg: Identity, times and limits.
        controls: Ids of the control instances to contact first.

    Attributes:
        view: Newest :class:`View` received.
        table: :class:`RouteTable` of the plan in force, or None.
        workspaces: :class:`WorkspaceTable` of the plan in force.
        config_lease: :class:`ConfigLease` on the keys of the workspaces.
        workspace_use: Recent use of this instance by workspace.
        fleet: Backend servers.
        load_exchange: Reports of backend servers for other instances of the region.
        reach: Whether backend servers are reached from here.
        hop_table: Entry instances to send requests through when they are not.
        rate_limits: Rate limits that backend servers have named.
        commands: Commands to control.
        forward: Requests.
    """

    def __init__(self, cfg, controls):
        super().__init__(cfg)
        self.row = cfg.row
        self.region = cfg.row.region
        self.view = View()
        self.table = None
        self.workspaces = WorkspaceTable()
        self.config_lease = ConfigLease(cfg.revoke_s)
        self.workspace_use = WorkspaceUse()
        self.fleet = Fleet(cfg.row.entry_id, cfg.row.region, cfg.row.domain)
        self.load_exchange = LoadExchange(cfg.row.entry_id, cfg.row.region)
        self.rate_limits = RateLimitTable(self.record_event)
        self.reach = ReachMonitor()
        self.hop_table = HopTable(cfg.row)
        self.commands = CommandSystem(self, controls)
        self.forward = ForwardSystem(self, cfg.forward)
        self._seeds = tuple(controls)
        self._demand = {}
        self._needs = {}
        self._events = []
        self._logged_shares = {}
        self._next_renew_s = 0.0
        self._lease_s = 0.0
        self._next_share_update_s = 0.0
        self._needs_whole_view = False
        self._may_redirect = False
        self._confirmed_s = 0.0
        self._sampled_s = 0.0

    # --- state ------------------------------------------------------------

    @property
    def is_ready(self):
        """True once a traffic plan is in force here."""
        return self.table is not None

    @property
    def limits(self):
        """Limits on requests in the plan in force, or the defaults."""
        return self.view.plan.limits if self.view.plan else DEFAULT_LIMITS

    @property
    def is_idle(self):
        """True while no request is in progress."""
        return not self.forward.rows

    def record_event(self, event, subject, **fields):
        """Queue an event for the log, see :meth:`pop_events`."""
        self._events.append((event, subject, fields))

    def pop_events(self):
        """Empty the event queue; return triples of event, subject and fields."""
        events, self._events = self._events, []
        return events

    def view_age_s(self, now_s):
        """Return the time since control last confirmed the view."""
        return now_s - self._confirmed_s

    # --- inputs -----------------------------------------------------------

    def receive(self, sender, body, now_s):
        """Handle a message from a control instance or another entry instance."""
        self.commands.now_s = now_s
        if isinstance(body, messages.RenewReply):
            self._on_renew_reply(sender, body, now_s)
        elif isinstance(body, messages.CommandReply):
            self.commands.on_reply(body, now_s)
        elif isinstance(body, messages.PermitRequest):
            self.forward.queue.permits.on_request(sender, body, now_s)
        elif isinstance(body, messages.PermitReply):
            self.forward.queue.permits.on_reply(body, now_s)
        elif isinstance(body, messages.CreditReply):
            self.forward.quota.on_reply(body, now_s)
        elif isinstance(body, messages.LoadNews):
            self.load_exchange.receive(body, self.fleet.members, now_s)

    def tick(self, now_s):
        """Run the periodic work that is due."""
        self.commands.tick(now_s)
        self.forward.tick(now_s)
        self._exchange_load(now_s)
        if now_s >= self._next_share_update_s:
            self._next_share_update_s = now_s + self.cfg.share_update_interval_s
            self._sample_needs(now_s)
            self.rate_limits.tick(now_s)
            for table in self.fleet.affinity.values():
                table.refresh(now_s)
            self._update_shares(now_s)
        is_urgent = self.rate_limits.has_changed
        if now_s >= self._next_renew_s - (URGENT_RENEW_S if is_urgent else 0.0):
            self._renew(now_s)

    def leave(self, now_s):
        """Withdraw from lookups before a planned stop."""
        self.row = attrs.evolve(self.row, leaving=True)
        self._renew(now_s)

    def on_reach_changed(self, now_s):
        """Log and report that backend servers are no longer reached, or again."""
        event = (
            "backend servers out of reach"
            if self.reach.is_isolated
            else "backend servers in reach again"
        )
        self.record_event(
            event, self.row.entry_id, isolated=len(self.hop_table.isolated)
        )
        self.fleet.reset_failures(now_s)
        self._renew(now_s)

    def update_seeds(self, controls):
        """Replace the configured control instances; others already known are kept."""
        self._seeds = tuple(controls)
        known = (*self.commands.controls, *controls)
        self.commands.controls = tuple(dict.fromkeys(known))

    # --- limits of backend servers ----------------------------------------

    def owns(self, backend_id):
        """Return True if this instance grants the permits for a backend server."""
        return self.forward.queue.permits.is_owner(backend_id)

    def rate_limits_by_service(self):
        """Return the rate limits in force, by service of the plan."""
        services = self.table.services if self.table else ()
        found = {service: [] for service in services}
        for limit in self.rate_limits:
            if not limit.is_ended:
                service = self.fleet.members[limit.backend_id].row.service
                found.setdefault(service, []).append(limit)
        return found

    # --- control ----------------------------------------------------------

    def _renew(self, now_s):
        interval_s = renewal_interval_s(
            self.cfg.renew_interval_s, self._lease_s, len(self.view.entries)
        )
        is_starting = not self._lease_s
        self._next_renew_s = now_s + (
            self.cfg.startup_renew_interval_s if is_starting else interval_s
        )
        heard_s = max(self._confirmed_s, self.commands.leader_heard_s)
        if now_s - heard_s > 2 * interval_s:
            self.commands.clear_leader()
        self._may_redirect = True
        for target in self.commands.targets(STARTUP_TARGETS if is_starting else 1):
            self._send_renew(target, now_s)

    def _send_renew(self, target, now_s):
        """Send a renewal with this instance's load and needs to a control instance."""
        report = Renew(
            self.row,
            int(now_s * 1_000),
            0 if self._needs_whole_view else self.view.revision,
            self.view.revision,
            load_reports={
                s: len(w) for s, w in self.forward.queue.waiting.items() if w
            },
            needs=dict(self._needs),
            rate_limits=self.rate_limits.news(now_s),
            rate_limits_version=self.rate_limits.version,
            is_isolated=self.reach.is_isolated,
            key_sketches=self.read_key_sketches(now_s),
            reads_plan_patches=True,
            reads_workspaces=True,
            credit_reports=self.forward.quota.reports(target, now_s),
            reports_all_credit=self.forward.quota.reports_all_to(target),
        )
        self.forward.quota.on_reported(report)
        self.config_lease.record_sent(report.sent_ms, now_s)
        self.queue_action(Send(target, report))

    def _sample_needs(self, now_s):
        """Update the moving averages of running and waiting requests.

        The number of requests running or waiting is the number of slots needed.
        """
        elapsed_s = now_s - self._sampled_s
        self._sampled_s = now_s
        weight = 1 - math.exp(-elapsed_s / NEEDS_WINDOW_S)
        found = self.forward.count_by_service()
        for service in sorted({*self._needs, *found}):
            old = self._needs.get(service, 0.0)
            self._needs[service] = old + weight * (found[service] - old)

    def _on_renew_reply(self, sender, msg, now_s):
        if msg.controls:
            self.commands.controls = tuple(dict.fromkeys((*msg.controls, *self._seeds)))
        self.commands.record_leader(msg.leader, sender, now_s)
        if msg.quorum_revision == 0:
            is_sender = instance_id_of(sender) == msg.leader
            if msg.leader and not is_sender and self._may_redirect:
                # The leader may not be among the known control instances. One redirect
                # for each renewal: a leader that lost its quorum names itself.
                self._may_redirect = False
                self._send_renew(msg.leader, now_s)
            return
        self._confirmed_s = now_s
        if msg.granted:
            self._lease_s = msg.lease_ms / 1_000
        self._demand = {}
        for service, region, slots in msg.demand:
            self._demand.setdefault(service, {})[region] = slots
        if msg.key_counts:
            self.apply_key_counts(msg.key_counts)
        delta = self._read_delta(msg)
        if delta is not None and delta.base <= self.view.revision:
            self._apply_delta(delta, now_s, sender)
        if msg.sent_ms and self.view.revision >= msg.quorum_revision:
            self.config_lease.confirm(msg.sent_ms)
        if msg.sent_ms:
            self.forward.quota.on_renewed(msg.sent_ms)
        self.hop_table.update_isolated(msg.isolated)
        # An older revision may have another limit.
        if msg.credit_parts and msg.quorum_revision >= self.view.revision:
            self.forward.quota.apply_parts(msg.credit_parts, msg.sent_ms, now_s)
        version = msg.rate_limits_version
        self.rate_limits.apply_control(msg.rate_limits, version, now_s)

    def _read_delta(self, msg):
        """Return the changes in a reply, or None without readable ones."""
        if not msg.packed_delta:
            return msg.delta
        try:
            return unpack_delta(msg.packed_delta)
        except CodecError as exc:
            self.record_event("view change not readable", "view", error=str(exc))
            return None

    def _apply_delta(self, delta, now_s, source):
        try:
            view = self.view.apply(delta)
        except ValueError as exc:
            self.record_event("view change not applicable", "view", error=str(exc))
            self._needs_whole_view = True
            return
        self._needs_whole_view = False
        if view is self.view:
            return
        is_new_plan = view.plan is not self.view.plan and view.plan is not None
        if is_new_plan:
            self.table = RouteTable(view.plan, self.table, self.row.entry_id)
            self.workspaces = WorkspaceTable(view.plan.workspaces)
        for event, subject, fields in view_changes(self.view, view, source):
            self.record_event(event, subject, **fields)
        self.view = view
        self.update_budgets()
        self.fleet.apply_view(view, now_s)
        self.load_exchange.apply_view(view)
        self.hop_table.apply_view(view)
        self.rate_limits.apply_view(view)
        self.forward.queue.permits.apply_view(view)
        self.forward.quota.apply_view(view, now_s)
        self._update_shares(now_s)
        if is_new_plan:
            # Operators see from the reports what is in force.
            self._renew(now_s)

    def _exchange_load(self, now_s):
        """Send the load news and the probe that are due."""
        found = self.load_exchange.next_message(now_s)
        if found is not None:
            self.queue_action(Send(*found))
        row = self.fleet.near_domains.next_probe(now_s)
        if row is not None:
            self.queue_action(Probe(row, tests_reach=False))

    def _update_shares(self, now_s):
        services = self.table.services if self.table else ()
        self.fleet.apply_rate_limits(self.rate_limits, self.times, now_s)
        for service in services:
            capacity = self.fleet.capacity(service, now_s)
            shares = self.shares(service)
            kept = kept_utilization(self.table.target_s(service))
            shares.update(capacity, self._demand.get(service, {}), now_s, kept)
            self._log_share_change(service, shares.shares)

    def _log_share_change(self, service, shares):
        """Log the region shares when they have changed much since the last event."""
        old = self._logged_shares.get(service, {})
        moved = max(
            (abs(shares.get(r, 0.0) - old.get(r, 0.0)) for r in {*old, *shares}),
            default=0.0,
        )
        if moved >= LOGGED_SHARE_CHANGE:
            self._logged_shares[service] = dict(shares)
            rounded = {r: round(share, 2) for r, share in sorted(shares.items())}
            self.record_event("region shares moved", service, shares=rounded)
