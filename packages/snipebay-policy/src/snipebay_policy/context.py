"""Tables of one entry instance that its systems work on together."""

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
from snipebay_policy.lookup import BlockTable, EntryRanking
from snipebay_policy.shares import LinkMeter, Ramp, ShareMeter
from snipebay_policy.slots import SlotTable
from snipebay_policy.standing import Standing

__all__ = ["EntryConfig", "EntryContext"]


@attrs.frozen
class EntryConfig:
    """Identity and times of an entry instance.

    Attributes:
        row: Ourselves as others see us.
        peer_fresh_s: Age at which a peer's word no longer counts.
        takeover_s: Time after which a cut-off peer has stopped using a slot.
        beat_s: Between two beats to each peer.
        renew_s: Between two renewals of our lease.
        claim_retry_s: Silence after which a claim is sent again.
    """

    row: object
    peer_fresh_s: float = 0.6
    takeover_s: float = 0.8
    beat_s: float = 0.1
    renew_s: float = 0.5
    claim_retry_s: float = 0.5


class EntryContext(ActionQueue):
    """Tables of one entry instance, brought forward by each new view.

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
        self.slots = SlotTable(self.entry_id, self.region, cfg.takeover_s)
        self.standing = Standing(self.entry_id, self.region, cfg.peer_fresh_s)
        self.counts = collections.Counter()
        self.waiting = {}
        # Backend servers that said they leave, with our revision at that time.
        self.leaving = {}
        self.floor = 0
        self._rules = {}
        self._meters = {}
        self._ramps = {}
        self._budgets = {}
        self._links = {}

    # --- view -------------------------------------------------------------

    def adopt(self, view, now_s):
        """Bring all tables forward to a view."""
        if view.settings_revision != self.view.settings_revision:
            self._adopt_settings(view.settings)
        self.view = view
        self.ranking = EntryRanking(view, self.settings)
        self.backends = {row.backend_id: row for row in view.backends}
        self.health.adopt(view, self.rules, now_s)
        self.slots.adopt(view, now_s)

    def _adopt_settings(self, text):
        result = parse_settings(text)
        # Control has checked the tree; one that this version can't read must
        # not stop an instance that runs, so the one before it stays in force.
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
        """Return the effective rules of a service, defaults for an unknown one."""
        if service not in self._rules:
            known = service in self.settings.services
            self._rules[service] = self.settings.rules(service) if known else Rules()
        return self._rules[service]

    def may_serve(self, now_s):
        """Return True while we may start work on backend servers."""
        return self.standing.may_serve(self.view, now_s)

    def is_open(self, backend_id):
        """Return True while a backend server may be given new work."""
        row = self.backends.get(backend_id)
        return row is not None and row.is_open and backend_id not in self.leaving

    def region_of(self, entry_id):
        """Return the region of an entry instance, or None."""
        return next(
            (r.region for r in self.view.entries if r.entry_id == entry_id), None
        )

    def waiting_count(self, service):
        """Return how many requests of a service wait for a slot."""
        return len(self.waiting.get(service, ()))

    # --- meters -----------------------------------------------------------

    def meter(self, service):
        """Return the meter of requests shifted away from our region."""
        key = (service, self.region)
        if key not in self._meters:
            self._meters[key] = ShareMeter(self.rules(service).shift_cap)
        return self._meters[key]

    def shares(self, service, now_s):
        """Return the ramped share wanted in each other region."""
        wanted = {
            shift.target: shift.share
            for shift in self.settings.shifts
            if (shift.service, shift.source) == (service, self.region)
        }
        per_s = self.rules(service).ramp_per_s
        for region in wanted:
            self._ramps.setdefault((service, region), Ramp(per_s))
        shares = {}
        for (ramp_service, region), ramp in self._ramps.items():
            if ramp_service == service:
                ramp.per_s = per_s
                shares[region] = ramp.move(wanted.get(region, 0.0), now_s)
        return shares

    def budget(self, service):
        """Return the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self.rules(service).retry_budget)
        return self._budgets[service]

    def link(self, target):
        """Return our part of the link limit towards a region."""
        if target not in self._links:
            limit = (
                self.settings.link(self.region, target).limit_mbit_s * BYTES_PER_MBIT
            )
            sharers = sum(row.region == self.region for row in self.view.entries)
            self._links[target] = LinkMeter(limit / max(1, sharers))
        return self._links[target]
