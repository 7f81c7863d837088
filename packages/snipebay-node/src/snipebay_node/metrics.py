"""Prometheus metrics of one process, and the address that shows them."""

import prometheus_client
from circuits import handler
from circuits.web import Controller, Server

__all__ = ["MetricsServer", "NodeMetrics"]


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

    def text(self):
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


class MetricsServer(Server):
    """Serves ``/metrics``, ``/healthz`` and ``/readyz`` by circuits.web.

    Args:
        address: ``host:port`` to listen on.
        metrics: What to show.
        is_ready: Function returning whether requests can be served.
    """

    def __init__(self, address, metrics, is_ready):
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), channel="web")
        _Root(metrics, is_ready).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Print no banner, which would stand between our lines of JSON."""


class _Root(Controller):
    """Pages of the metrics address."""

    def __init__(self, metrics, is_ready):
        super().__init__()
        self._metrics = metrics
        self._is_ready = is_ready

    def metrics(self):
        self.response.headers["Content-Type"] = prometheus_client.CONTENT_TYPE_LATEST
        return self._metrics.text()

    def healthz(self):
        return "ok\n"

    def readyz(self):
        if self._is_ready():
            return "ready\n"
        self.response.status = 503
        return "not ready\n"
