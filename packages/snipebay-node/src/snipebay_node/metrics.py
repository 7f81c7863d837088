"""Prometheus metrics of one process."""

import functools

import prometheus_client

from snipebay_node.body_budget import REJECTION_REASONS

__all__ = ["NodeMetrics"]

# Upper bounds in seconds: disk syncs take milliseconds, requests up to a minute.
FAST_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
SLOW_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 1.5, 2, 3, 5, 10, 30, 60)


class NodeMetrics:
    """Metrics of one process.

    Label values come from fixed sets or from the configured services, so that
    requests cannot create new time series.
    """

    content_type = prometheus_client.CONTENT_TYPE_LATEST

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        make = self._make
        counter, gauge = prometheus_client.Counter, prometheus_client.Gauge
        self._sent = make(counter, "messages_sent", "Messages to instances.", "kind")
        self._sent_bytes = make(
            counter, "message_sent_bytes", "Bytes sent to instances.", "kind"
        )
        self._dropped = make(counter, "messages_dropped", "Messages not taken.", "kind")
        self._undecodable = make(
            counter, "messages_bad", "Messages that could not be read."
        )
        self._requests = make(
            counter,
            "requests",
            "Requests that ended.",
            "service",
            "kind",
            "outcome",
            "reason",
        )
        self._latency = make(
            prometheus_client.Histogram,
            "request_seconds",
            "Time to the whole answer.",
            "service",
            "kind",
            buckets=SLOW_BUCKETS,
        )
        self._wait = make(
            prometheus_client.Histogram,
            "wait_seconds",
            "Time from arrival to the first attempt.",
            "service",
            buckets=FAST_BUCKETS,
        )
        self._attempts = make(
            counter, "attempts", "Attempts that ended.", "service", "outcome"
        )
        self._retries = make(
            counter, "retries", "Attempts after a first one.", "service"
        )
        self._calls = make(
            counter, "calls", "Calls of operators and others.", "api", "status"
        )
        self.lookups = make(counter, "lookups", "Client addresses looked up.")
        self.revision = make(gauge, "view_revision", "View revision in force here.")
        self.leader = make(gauge, "is_leader", "1 while this control instance leads.")
        self.leader_changes = make(
            counter, "leader_changes", "Changes of the leader seen here."
        )
        self.syncs = make(
            prometheus_client.Histogram,
            "log_sync_seconds",
            "Time of a sync of the replicated log.",
            buckets=FAST_BUCKETS,
        )
        self.commits = make(
            prometheus_client.Histogram,
            "log_commit_seconds",
            "Time from a command's arrival at the leader to its commit.",
            buckets=FAST_BUCKETS,
        )
        self.lines_dropped = make(
            counter, "log_lines_dropped", "Log lines that nobody took in time."
        )
        self.lines_suppressed = make(
            counter, "log_lines_held_back", "Lines on requests over the rate."
        )
        self._decisions = make(gauge, "decisions", "Decisions since the start.", "kind")

    def watch_bodies(self, budget):
        """Export the state of a :class:`BodyBudget`."""
        gauge = prometheus_client.Gauge
        held = self._make(gauge, "held_bytes", "Bytes held for callers and others.")
        held.set_function(lambda: budget.held_bytes)
        waiting = self._make(gauge, "bodies_waiting", "Bodies that wait for room.")
        waiting.set_function(lambda: budget.waiting_count)
        rejected = self._make(
            gauge, "bodies_rejected", "Bodies and readers given up.", "reason"
        )
        for reason in REJECTION_REASONS:
            count = functools.partial(budget.rejected.__getitem__, reason)
            rejected.labels(reason).set_function(count)

    def message_sent(self, kind, size):
        self._sent.labels(kind).inc()
        self._sent_bytes.labels(kind).inc(size)

    def message_dropped(self, kind):
        self._dropped.labels(kind).inc()

    def message_undecodable(self):
        self._undecodable.inc()

    def request_ended(self, service, kind, outcome, reason, elapsed_s):
        """Count a request that has ended.

        Args:
            service: Its service, or empty if it was refused before one was selected.
            kind: Kind of its route.
            outcome: HTTP status, or another outcome if no response was completed.
            reason: Reason for the outcome, from a fixed set.
            elapsed_s: Time since arrival.
        """
        self._requests.labels(service, kind, outcome, reason).inc()
        self._latency.labels(service, kind).observe(elapsed_s)

    def attempt_started(self, service, number, waited_s):
        """Count an attempt, and for the first one observe the time in the queue."""
        if number > 1:
            self._retries.labels(service).inc()
        else:
            self._wait.labels(service).observe(waited_s)

    def attempt_ended(self, service, outcome):
        """Count an attempt that has ended, by outcome."""
        self._attempts.labels(service, outcome).inc()

    def call_ended(self, api, status):
        """Count a call to one of this instance's own APIs, by status."""
        self._calls.labels(api, str(status)).inc()

    def set_decisions(self, counts):
        """Export the decision counters of the entry core."""
        for kind, count in counts.items():
            self._decisions.labels(kind).set(count)

    def text(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _make(self, kind, name, doc, *labels, **values):
        name = f"snipebay_{name}"
        return kind(name, doc, labels, registry=self.registry, **values)
