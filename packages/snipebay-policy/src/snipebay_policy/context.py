"""State of one entry instance that its subsystems share."""

import collections

import attrs
from returns.result import Success
from snipebay_model.rules import Rules
from snipebay_model.settings import Settings, parse_settings
from snipebay_model.units import BYTES_PER_MBIT
from snipebay_model.view import View

from snipebay_policy.action_queue import ActionQueue
from snipebay_policy.budget import RetryBudget
from snipebay_policy.health import HealthTable
from snipebay_policy.lease_state import LeaseState
from snipebay_policy.lookup import BlockTable, EntryRanking
from snipebay_policy.shares import LinkMeter, Ramp, ShareMeter
from snipebay_policy.slot_limits import SlotLimits
from snipebay_policy.slots import SlotTable

__all__ = ["EntryConfig", "EntryContext"]


@attrs.frozen
class EntryConfig:
    """Identity and times of an entry instance.

    Attributes:
        row: This instance's row in the view.
        peer_timeout_s: Age of a heartbeat echo from which on a peer counts as
            unresponsive.
        takeover_delay_s: Time after which a partitioned peer has certainly stopped
            using a slot.
        heartbeat_interval_s: Time between two heartbeats to each peer.
        renew_interval_s: Time between two renewals of this instance's lease.
        claim_retry_s: Time without a reply after which a claim is sent again.
    """

    row: object
    peer_timeout_s: float = 0.6
    takeover_delay_s: float = 0.8
    heartbeat_interval_s: float = 0.1
    renew_interval_s: float = 0.5
    claim_retry_s: float = 0.5


class EntryContext(ActionQueue):
    """Shared state of one entry instance, updated with each new view.

    Args:
        cfg: Identity and times.
    """

    def __init__(self, cfg):
        super().__init__()
        self.cfg = cfg
        self.entry_id = cfg.row.entry_id
        self.region = cfg.row.region
        self.view = View()
        self.settings = Settings(regions={})
        self.blocks = BlockTable([])
        self.ranking = EntryRanking(self.view, self.settings)
        self.backends = {}
        self.health = HealthTable()
        self.slots = SlotTable(self.entry_id, self.region, cfg.takeover_delay_s)
        self.slot_limits = SlotLimits(self.slots, self.record_event)
        self.lease_state = LeaseState(self.entry_id, self.region, cfg.peer_timeout_s)
        self.counts = collections.Counter()
        self._events = []
        self.waiting = {}
        # Ids of draining backend servers, with the view revision when they were marked.
        self.leaving = {}
        self.settled_floor = 0
        self._rules = {}
        self._meters = {}
        self._ramps = {}
        self._budgets = {}
        self._links = {}

    # --- view -------------------------------------------------------------

    def apply_view(self, view, now_s):
        """Update all tables to a new view."""
        if view.settings_revision != self.view.settings_revision:
            self._apply_settings(view.settings)
        self.view = view
        self.ranking = EntryRanking(view, self.settings)
        self.backends = {row.backend_id: row for row in view.backends}
        self.health.apply_view(view, self.rules, now_s)
        self.slots.apply_view(view, now_s)
        self.slot_limits.apply_view(view)

    def _apply_settings(self, text):
        result = parse_settings(text)
        # Control has validated the tree. One that this version can't parse must not
        # stop a running instance, so the previous settings stay in force.
        if not isinstance(result, Success):
            self.counts["settings_unreadable"] += 1
            return
        self.settings = result.unwrap()
        self.blocks = BlockTable([(b.network, b.domain) for b in self.settings.blocks])
        self._rules.clear()
        self._budgets.clear()
        self._links.clear()
        for (service, _), meter in self._meters.items():
            meter.cap = self.rules(service).shift_cap

    def rules(self, service):
        """Return the effective rules of a service, or defaults for an unknown one."""
        if service not in self._rules:
            is_known = service in self.settings.services
            self._rules[service] = self.settings.rules(service) if is_known else Rules()
        return self._rules[service]

    def record_event(self, event, subject, **fields):
        """Queue an event for the log, see :meth:`pop_events`."""
        self._events.append((event, subject, fields))

    def pop_events(self):
        """Empty the event queue; return triples of event, subject and fields."""
        events, self._events = self._events, []
        return events

    def may_serve(self, now_s):
        """Return True while this instance may dispatch to backend servers."""
        return self.lease_state.may_serve(self.view, now_s)

    def is_open(self, backend_id):
        """Return True while a backend server accepts new requests."""
        row = self.backends.get(backend_id)
        return row is not None and row.is_open and backend_id not in self.leaving

    def region_of(self, entry_id):
        """Return the region of an entry instance, or None."""
        return next(
            (r.region for r in self.view.entries if r.entry_id == entry_id), None
        )

    def waiting_count(self, service):
        """Return the number of requests of a service that wait for a slot."""
        return len(self.waiting.get(service, ()))

    # --- meters -----------------------------------------------------------

    def meter(self, service):
        """Return the meter of requests shifted out of the local region."""
        key = (service, self.region)
        if key not in self._meters:
            self._meters[key] = ShareMeter(self.rules(service).shift_cap)
        return self._meters[key]

    def shares(self, service, now_s):
        """Return the share to shift to each other region, limited by its ramp."""
        targets = {
            shift.target: shift.share
            for shift in self.settings.shifts
            if (shift.service, shift.source) == (service, self.region)
        }
        per_s = self.rules(service).ramp_per_s
        for region in targets:
            self._ramps.setdefault((service, region), Ramp(per_s))
        shares = {}
        for (ramp_service, region), ramp in self._ramps.items():
            if ramp_service == service:
                ramp.per_s = per_s
                shares[region] = ramp.advance(targets.get(region, 0.0), now_s)
        return shares

    def budget(self, service):
        """Return the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self.rules(service).retry_budget)
        return self._budgets[service]

    def link(self, target):
        """Return the meter of this instance's part of the link limit to a region."""
        limit = self.settings.link(self.region, target).limit_mbit_s * BYTES_PER_MBIT
        instance_count = sum(row.region == self.region for row in self.view.entries)
        part = limit / max(1, instance_count)
        meter = self._links.setdefault(target, LinkMeter(part))
        meter.bytes_per_s = part
        return meter
