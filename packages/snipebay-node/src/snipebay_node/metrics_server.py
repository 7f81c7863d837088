"""HTTP server for the metrics and health checks of one process."""

import prometheus_client
from circuits import handler
from circuits.web import Controller, Server

__all__ = ["MetricsServer"]


class MetricsServer(Server):
    """Serves ``/metrics``, ``/healthz`` and ``/readyz`` with circuits.web.

    Args:
        address: ``host:port`` to listen on.
        metrics: Metrics of the process.
        is_ready: Function returning whether the process can serve requests.
    """

    def __init__(self, address, metrics, is_ready):
        host, _, port = address.rpartition(":")
        super().__init__((host, int(port)), channel="web")
        _Root(metrics, is_ready).register(self)

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Suppress the startup banner, which would break up the JSON log lines."""


class _Root(Controller):
    """Handlers for the paths of the metrics server."""

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
