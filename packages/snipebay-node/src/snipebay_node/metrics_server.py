"""The address that shows the metrics of one process."""

import prometheus_client
from circuits import handler
from circuits.web import Controller, Server

__all__ = ["MetricsServer"]


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
