"""Metrics computed from the state of the cores at each scrape."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

__all__ = ["StateCollector"]

# Targets are shorter; the domains that are near for some target are counted.
MAX_TARGET_S = 60.0


class StateCollector:
    """Collector of gauges for a Prometheus registry.

    Args:
        clock: Function returning the time in seconds.
        entry: Function returning the routed core, or None.
        control: Function returning the control core, or None.
    """

    def __init__(self, clock, entry, control):
        self._clock = clock
        self._entry = entry
        self._control = control

    def describe(self):
        """Return no metrics, so that registration does not read the state."""
        return []

    def collect(self):
        """Yield the metrics."""
        entry, control = self._entry(), self._control()
        if entry is not None:
            yield from self._collect_entry(entry)
        if control is not None:
            yield from self._collect_control(control)

    def _collect_entry(self, entry):
        now_s = self._clock()
        age_s = entry.view_age_s(now_s)
        yield _gauge("view_age_seconds", "Time since control confirmed it.", age_s)
        reach = entry.reach
        yield _gauge("isolated", "1 while it reaches no server.", reach.is_isolated)
        yield _evacuated_gauge("entry", entry.view.evacuated)
        others = len(entry.hop_table.isolated)
        yield _gauge("isolated_instances", "Instances that reach none.", others)
        slots = _service_gauge("slots", "Slots of backend servers in view.", "state")
        backends = _service_gauge("backends", "Backend servers in view.", "state")
        budget = _service_gauge("retry_budget", "Retries that are allowed now.")
        pace = _service_gauge("pace", "Mean time of work, 1 for the usual one.")
        waiting = _service_gauge("waiting_requests", "Requests that wait for room.")
        shares = _service_gauge(
            "region_share", "Share of requests by region.", "region"
        )
        limits = _service_gauge("rate_limit", "Named limits, requests a second.")
        limited = _service_gauge("rate_limited_backends", "Servers with a limit.")
        owned = _service_gauge("rate_limit_owned", "The part granted by this one.")
        permits = CounterMetricFamily(
            "snipebay_permits", "Permits decided here.", labels=("outcome",)
        )
        yield from self._collect_quota(entry.forward.quota, now_s)
        for service, rows in entry.rate_limits_by_service().items():
            limits.add_metric((service,), sum(row.per_s for row in rows))
            limited.add_metric((service,), len(rows))
            own_rows = (row for row in rows if entry.owns(row.backend_id))
            owned.add_metric((service,), sum(row.per_s for row in own_rows))
        news = CounterMetricFamily(
            "snipebay_load_news", "Messages and rows on load.", labels=("outcome",)
        )
        for outcome, count in entry.load_exchange.counts.items():
            news.add_metric((outcome,), count)
        yield news
        near = len(entry.fleet.near_domains.near(MAX_TARGET_S))
        yield _gauge("near_domains", "Domains that share primaries, or 0.", near)
        for outcome, count in entry.forward.queue.permits.counts.items():
            permits.add_metric((outcome,), count)
        for service, counts in entry.fleet.summary(now_s).items():
            for state, count in counts.slots.items():
                slots.add_metric((service, state), count)
            for state, count in counts.members.items():
                backends.add_metric((service, state), count)
            pace.add_metric((service,), counts.pace)
            budget.add_metric((service,), entry.budget(service).credit)
            waiting_count = len(entry.forward.queue.waiting.get(service, ()))
            waiting.add_metric((service,), waiting_count)
            for region, share in entry.shares(service).shares.items():
                shares.add_metric((service, region), share)
        yield from (
            slots,
            backends,
            pace,
            budget,
            waiting,
            shares,
            limits,
            limited,
            owned,
            permits,
        )

    def _collect_quota(self, quota, now_s):
        credit = GaugeMetricFamily(
            "snipebay_credit_held", "Requests allowed now.", labels=("workspace",)
        )
        for label, count in quota.credit_held(now_s).items():
            credit.add_metric((label,), count)
        denials = CounterMetricFamily(
            "snipebay_quota_denials", "Requests without credit.", labels=("reason",)
        )
        for reason, count in quota.denials.items():
            denials.add_metric((reason,), count)
        yield from (credit, denials)

    def _collect_control(self, control):
        raft = control.raft
        yield _gauge("term", "Term of the replicated log.", raft.term)
        yield _gauge("log_commit_index", "Last committed entry.", raft.commit_index)
        voters = len(raft.voters)
        learners = len(raft.members) - voters
        members = GaugeMetricFamily(
            "snipebay_members", "Control instances by role.", labels=("role",)
        )
        members.add_metric(("voter",), voters)
        members.add_metric(("learner",), learners)
        yield members
        state = control.state
        yield _gauge("state_revision", "Revision of the control state.", state.revision)
        yield _evacuated_gauge("control", sorted(state.evacuated))
        rows = len(control.state.backends)
        yield _gauge("known_backends", "Backend servers with a lease.", rows)
        yield CounterMetricFamily(
            "snipebay_ignored_announcements",
            "Announcements of backend servers without effect, at the leader.",
            value=control.telemetry.ignored_announcements,
        )


def _evacuated_gauge(role, domains):
    gauge = GaugeMetricFamily(
        f"snipebay_{role}_evacuated", "1 for an evacuated domain.", labels=("domain",)
    )
    for domain in domains:
        gauge.add_metric((domain,), 1)
    return gauge


def _gauge(name, doc, value):
    return GaugeMetricFamily(f"snipebay_{name}", doc, value=value)


def _service_gauge(name, doc, *labels):
    return GaugeMetricFamily(f"snipebay_{name}", doc, labels=("service", *labels))
