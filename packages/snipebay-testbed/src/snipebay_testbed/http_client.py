"""HTTP calls of the stand-ins and the load tool, on the node's connections."""

import itertools
import json

import attrs
from snipebay_node.upstream import UpstreamPool, UpstreamRequest

__all__ = ["Answer", "HttpClient"]


@attrs.frozen
class Answer:
    """Answer to a call, or why there is none.

    Attributes:
        status: HTTP status, 0 when no whole answer came.
        headers: Headers by lower-case name, as bytes.
        body: Body, None when larger than what is kept.
        size: Bytes of the body.
        reason: Why there is no answer, or empty.
    """

    status: int
    headers: dict = attrs.Factory(dict)
    body: bytes | None = None
    size: int = 0
    reason: str = ""

    @property
    def document(self):
        """The body as JSON."""
        return json.loads(self.body)


class HttpClient:
    """Makes calls without waiting; each ends in a callback.

    Args:
        hub: Makes connections.
        clock: Function returning the time in seconds.
    """

    def __init__(self, hub, clock):
        self.clock = clock
        self.pool = UpstreamPool(hub, clock, self)
        self._ids = itertools.count(1)
        self._callbacks = {}
        self._deadlines = {}
        self._sizes = {}

    def call(
        self, method, address, target, callback, *, headers=(), body=b"", timeout_s=5.0
    ):
        """Send a request; ``callback`` takes the :class:`Answer`."""
        call_id = next(self._ids)
        self._callbacks[call_id] = callback
        self._deadlines[call_id] = self.clock() + timeout_s
        self._sizes[call_id] = 0
        lines = [(b"host", address.encode()), *headers]
        if body or method in ("PUT", "POST"):
            lines.append((b"content-length", str(len(body)).encode()))
        self.pool.start(UpstreamRequest(call_id, address, method, target, lines, body))
        return call_id

    def cancel(self, call_id):
        """Break a call off without a callback."""
        self._forget(call_id)
        self.pool.cancel(call_id)

    def tick(self, now_s):
        """End calls whose time is over."""
        self.pool.tick(now_s)
        late = [i for i, deadline_s in self._deadlines.items() if deadline_s <= now_s]
        for call_id in late:
            self.pool.cancel(call_id)
            self._end(call_id, Answer(0, reason="timeout"))

    # --- listener of the pool ---------------------------------------------

    def may_write(self, call_id):
        return call_id in self._callbacks

    def on_head(self, call_id, status, headers):
        pass

    def on_data(self, call_id, data):
        if call_id in self._sizes:
            self._sizes[call_id] += len(data)

    def on_end(self, call_id, status, headers, body):
        size = self._sizes.get(call_id, 0)
        self._end(call_id, Answer(status, headers, body, size))

    def on_not_run(self, call_id, status, headers):
        self._end(call_id, Answer(503, {b"snipebay-shed": b"1"}))

    def on_failure(self, call_id, reason):
        self._end(call_id, Answer(0, reason=reason))

    def _end(self, call_id, answer):
        callback = self._forget(call_id)
        if callback is not None:
            callback(answer)

    def _forget(self, call_id):
        self._deadlines.pop(call_id, None)
        self._sizes.pop(call_id, None)
        return self._callbacks.pop(call_id, None)
