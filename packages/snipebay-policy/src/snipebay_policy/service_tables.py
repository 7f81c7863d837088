"""State of an entry instance by service: shares, affinity keys, times and budgets."""

from snipebay_model.key_sketch import KeySketch
from snipebay_model.plan import RoutedService

from snipebay_policy.affinity import AffinityTable
from snipebay_policy.budget import RetryBudget
from snipebay_policy.region_shares import RegionShares
from snipebay_policy.service_times import ServiceTimes
from snipebay_policy.shares import ShareMeter

__all__ = ["ServiceTables"]

# Affinity keys are counted for this long after their last request, and up to twice as
# long.
KEY_RETENTION_S = 10.0


class ServiceTables:
    """Base class of an entry instance for routed requests.

    A subclass must have the attributes ``row``, ``region``, ``fleet``, ``view`` and
    ``table``.

    Args:
        cfg: :class:`RoutedConfig`.
    """

    def __init__(self, cfg):
        super().__init__()
        self.cfg = cfg
        self._shares = {}
        self._spill_meters = {}
        self._key_sketches = {}
        self._key_counts = {}
        self._times = {}
        self._budgets = {}

    def shares(self, service):
        """Return the :class:`RegionShares` of a service."""
        if service not in self._shares:
            self._shares[service] = RegionShares(
                self.region, self.cfg.max_shift_per_s, self.row.entry_id
            )
        return self._shares[service]

    def region_for(self, service, key, allowed):
        """Return the region that a request should run in, or None.

        Args:
            service: Service of the request.
            key: Affinity key, or empty.
            allowed: Regions to choose from, empty for all.
        """
        shares = self.shares(service)
        if not key:
            return shares.next_region(allowed)
        table = self.fleet.affinity.setdefault(service, AffinityTable())
        table.record(key)
        return shares.region_at(table.position(key), allowed)

    def record_key(self, service, region, key, now_s):
        """Count an affinity key whose requests go to a region."""
        sketch = self._key_sketches.get((service, region))
        if sketch is None:
            sketch = self._key_sketches[service, region] = KeySketch(KEY_RETENTION_S)
        sketch.record(key, now_s)
        self.fleet.record_key(service, region, key, now_s)

    def key_count(self, service, region):
        """Return the number of affinity keys that all instances send to a region."""
        own_count = len(self.fleet.affinity.get(service, ()))
        return max(own_count, self._key_counts.get((service, region), 0))

    def spill_meter(self, service):
        """Return the meter of requests that leave the region assigned to them."""
        if service not in self._spill_meters:
            self._spill_meters[service] = ShareMeter(self.cfg.max_spill_share)
        return self._spill_meters[service]

    def times(self, service):
        """Return the :class:`ServiceTimes` of a service."""
        if service not in self._times:
            self._times[service] = ServiceTimes()
        return self._times[service]

    def budget(self, service):
        """Return this instance's part of the retry budget of a service."""
        if service not in self._budgets:
            cfg = self.cfg.forward
            # All instances together start with half of the slack, however many.
            credit = cfg.retry_slack / (2 * max(1, len(self.view.entries)))
            self._budgets[service] = RetryBudget(
                cfg.retry_ratio, self._max_retry_credit(), credit
            )
        return self._budgets[service]

    def update_budgets(self):
        """Adapt the retry budgets to the number of instances in the view."""
        for budget in self._budgets.values():
            budget.max_credit = self._max_retry_credit()

    def _max_retry_credit(self):
        """Return this instance's part of the retries allowed beyond the ratio."""
        slack = self.cfg.forward.retry_slack
        return max(1.0, slack / max(1, len(self.view.entries)))

    def service(self, name):
        """Return a service of the plan, with defaults for an unknown one."""
        found = self.table.services.get(name) if self.table else None
        return found or RoutedService(name)

    def count_request(self, service):
        """Count a request for the retry budget and the spill meter."""
        self.budget(service).deposit()
        self.spill_meter(service).count_request({})

    def read_key_sketches(self, now_s):
        """Return rows of service, region and the bits of the keys met lately."""
        rows = ((*key, s.read(now_s)) for key, s in sorted(self._key_sketches.items()))
        return tuple(row for row in rows if row[-1])

    def apply_key_counts(self, rows):
        """Replace the numbers of keys that all instances send to each region."""
        self._key_counts = {(service, region): n for service, region, n in rows}
