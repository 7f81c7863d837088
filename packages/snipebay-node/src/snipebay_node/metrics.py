"""Prometheus metrics of one process."""

import prometheus_client

__all__ = ["NodeMetrics"]


class NodeMetrics:
    """Counters and histograms of one process."""

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
        make = {"registry": self.registry}
        self._sent = prometheus_client.Counter(
            "snipebay_messages_sent", "Messages sent to instances.", ["kind"], **make
        )
        self._sent_bytes = prometheus_client.Counter(
            "snipebay_message_sent_bytes", "Bytes sent to instances.", ["kind"], **make
        )
        self._lost = prometheus_client.Counter(
            "snipebay_messages_dropped", "Messages not taken.", ["kind"], **make
        )
        self._bad = prometheus_client.Counter(
            "snipebay_messages_bad", "Messages that could not be read.", **make
        )
        self.requests = prometheus_client.Counter(
            "snipebay_requests", "Requests by outcome.", ["service", "outcome"], **make
        )
        self.latency = prometheus_client.Histogram(
            "snipebay_request_seconds", "Time to the whole answer.", ["service"], **make
        )
        self.lookups = prometheus_client.Counter(
            "snipebay_lookups", "Client addresses looked up.", **make
        )
        self.revision = prometheus_client.Gauge(
            "snipebay_view_revision", "View revision in force here.", **make
        )
        self.leader = prometheus_client.Gauge(
            "snipebay_is_leader", "1 while this control instance leads.", **make
        )
        self.syncs = prometheus_client.Counter(
            "snipebay_log_syncs", "Syncs of the replicated log.", **make
        )
        self._decisions = prometheus_client.Gauge(
            "snipebay_decisions", "Decisions since the start.", ["kind"], **make
        )

    def sent(self, kind, size):
        self._sent.labels(kind).inc()
        self._sent_bytes.labels(kind).inc(size)

    def lost(self, kind):
        self._lost.labels(kind).inc()

    def bad(self):
        self._bad.inc()

    def set_decisions(self, counts):
        """Show the counts that the decisions keep."""
        for kind, count in counts.items():
            self._decisions.labels(kind).set(count)

    content_type = prometheus_client.CONTENT_TYPE_LATEST

    def text(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
