"""The plain baseline: a random backend server of the region, and one retry."""

import attrs

from snipebay_testbed.fake_backend import FakeRequest
from snipebay_testbed.system_rig import EntryHost

__all__ = ["BaselineHost"]

LEASE_S = 3.0


@attrs.define(eq=False)
class _Try:
    """A request of the baseline."""

    request_id: int
    service: str
    key: str
    deadline_s: float
    tries: int = 0
    run: object = None
    backend: object = None
    is_over: bool = False


class BaselineHost(EntryHost):
    """An entry instance without slots, hedges, ejection or queue."""

    def request(self, service, key="", digest="", on_result=None):
        request_id = self.rig.next_id()
        self._pending[request_id] = (service, key, self.rig.now_s, on_result)
        deadline_s = self.rig.now_s + self._deadline_s(service)
        req = _Try(request_id, service, key, deadline_s)
        self.rig.scheduler.after(self._deadline_s(service), self._time_out, req)
        self.run_or_defer(self._choose, req)
        return request_id

    def _deadline_s(self, service):
        if self.core is None or not self.core.is_ready:
            return 1.0
        return self.core.ctx.rules(service).deadline_ms / 1_000

    def _choose(self, req):
        """Send a request to a backend server drawn at random."""
        rows = [
            row
            for row in self.core.ctx.view.backends
            if row.service == req.service
            and row.region == self.row.region
            and row.is_open
        ]
        if not rows or req.tries > 1:
            self._end(req, "not-run")
            return
        req.tries += 1
        row = rows[int(self.rig.rng.integers(len(rows)))]
        req.backend = self.rig.backends[row.backend_id]
        delay_s = self.rig.link_delay_s(self.row.domain, row.domain)
        self.rig.scheduler.after(delay_s, self._arrive_at, req, delay_s)

    def _arrive_at(self, req, delay_s):
        if not req.backend.is_up:
            self.rig.scheduler.after(delay_s, self.run_or_defer, self._choose, req)
            return
        req.run = FakeRequest(
            req.key,
            lambda run: self.rig.scheduler.after(
                delay_s, self.run_or_defer, self._end, req, "ok"
            ),
            lambda run: self.rig.scheduler.after(
                delay_s, self.run_or_defer, self._choose, req
            ),
        )
        req.backend.receive(req.run)

    def _time_out(self, req):
        if not req.is_over:
            if req.run is not None:
                req.backend.cancel(req.run)
            self._end(req, "unknown")

    def _end(self, req, outcome):
        if not req.is_over:
            req.is_over = True
            self._complete(req.request_id, outcome)
