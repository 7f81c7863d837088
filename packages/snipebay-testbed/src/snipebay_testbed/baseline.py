"""Baseline routing policy: a random backend server of the region, one retry."""

import attrs

from snipebay_testbed.fake_backend import FakeRequest
from snipebay_testbed.system_rig import EntryHost

__all__ = ["BaselineHost"]

LEASE_S = 3.0


@attrs.define(eq=False)
class _Request:
    """A request under the baseline policy."""

    request_id: int
    service: str
    key: str
    deadline_s: float
    attempt_count: int = 0
    run: object = None
    backend: object = None
    is_finished: bool = False


class BaselineHost(EntryHost):
    """An entry instance without slots, hedging, outlier ejection or a queue."""

    def request(self, service, key="", digest="", on_result=None):
        request_id = self.rig.next_id()
        self._pending[request_id] = (service, key, self.rig.now_s, on_result)
        deadline_s = self.rig.now_s + self._deadline_s(service)
        req = _Request(request_id, service, key, deadline_s)
        self.rig.scheduler.after(self._deadline_s(service), self._on_deadline, req)
        self.run_or_defer(self._send_to_random_backend, req)
        return request_id

    def _deadline_s(self, service):
        if self.core is None or not self.core.is_ready:
            return 1.0
        return self.core.ctx.rules(service).deadline_ms / 1_000

    def _send_to_random_backend(self, req):
        """Send a request to a random available backend server of the region."""
        rows = [
            row
            for row in self.core.ctx.view.backends
            if row.service == req.service
            and row.region == self.row.region
            and row.is_open
        ]
        if not rows or req.attempt_count > 1:
            self._finish(req, "not-run")
            return
        req.attempt_count += 1
        row = rows[int(self.rig.rng.integers(len(rows)))]
        req.backend = self.rig.backends[row.backend_id]
        delay_s = self.rig.link_delay_s(self.row.domain, row.domain)
        self.rig.scheduler.after(delay_s, self._deliver, req, delay_s)

    def _deliver(self, req, delay_s):
        if not req.backend.is_up:
            self.rig.scheduler.after(
                delay_s, self.run_or_defer, self._send_to_random_backend, req
            )
            return
        req.run = FakeRequest(
            req.key,
            lambda run: self.rig.scheduler.after(
                delay_s, self.run_or_defer, self._finish, req, "ok"
            ),
            lambda run: self.rig.scheduler.after(
                delay_s, self.run_or_defer, self._send_to_random_backend, req
            ),
        )
        req.backend.receive(req.run)

    def _on_deadline(self, req):
        if not req.is_finished:
            if req.run is not None:
                req.backend.cancel(req.run)
            self._finish(req, "unknown")

    def _finish(self, req, outcome):
        if not req.is_finished:
            req.is_finished = True
            self._complete(req.request_id, outcome)
