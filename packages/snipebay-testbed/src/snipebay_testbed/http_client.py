"""HTTP client of the test tools, built on the node's upstream connections."""

import itertools
import json

import attrs
from snipebay_node.upstream import UpstreamPool, UpstreamRequest

__all__ = ["HttpClient", "Response"]


@attrs.frozen
class Response:
    """Response to a call, or the reason why there is none.

    Attributes:
        status: HTTP status, 0 if no complete response was received.
        headers: Header values by lower-case name, as bytes.
        body: Body, None if it was too large to be buffered.
        body_size: Size of the body in bytes.
        reason: Why the call failed, or empty.
    """

    status: int
    headers: dict = attrs.Factory(dict)
    body: bytes | None = None
    body_size: int = 0
    reason: str = ""

    @property
    def document(self):
        """The body, decoded from JSON."""
        return json.loads(self.body)


class HttpClient:
    """Non-blocking HTTP client that reports each response to a callback.

    Args:
        hub: Stream hub that opens connections.
        clock: Function returning the time in seconds.
    """

    def __init__(self, hub, clock):
        self.clock = clock
        self.pool = UpstreamPool(hub, clock, self)
        self._ids = itertools.count(1)
        self._callbacks = {}
        self._deadlines = {}
        self._body_sizes = {}

    def call(
        self, method, address, target, callback, *, headers=(), body=b"", timeout_s=5.0
    ):
        """Send a request and return its call id.

        Args:
            method: HTTP method.
            address: Address of the server.
            target: Request target.
            callback: Function that receives the :class:`Response`.
            headers: Additional headers as pairs of bytes.
            body: Request body.
            timeout_s: Time after which the call fails with reason ``timeout``.
        """
        call_id = next(self._ids)
        self._callbacks[call_id] = callback
        self._deadlines[call_id] = self.clock() + timeout_s
        self._body_sizes[call_id] = 0
        header_pairs = [(b"host", address.encode()), *headers]
        if body or method in ("PUT", "POST"):
            header_pairs.append((b"content-length", str(len(body)).encode()))
        self.pool.start(
            UpstreamRequest(call_id, address, method, target, header_pairs, body)
        )
        return call_id

    def cancel(self, call_id):
        """Abort a call without calling its callback."""
        self._remove(call_id)
        self.pool.cancel(call_id)

    def tick(self, now_s):
        """Fail calls that have timed out."""
        self.pool.tick(now_s)
        expired = [
            i for i, deadline_s in self._deadlines.items() if deadline_s <= now_s
        ]
        for call_id in expired:
            self.pool.cancel(call_id)
            self._finish(call_id, Response(0, reason="timeout"))

    # --- listener of the pool ---------------------------------------------

    def may_write(self, call_id):
        return call_id in self._callbacks

    def on_head(self, call_id, status, headers):
        pass

    def on_data(self, call_id, data):
        if call_id in self._body_sizes:
            self._body_sizes[call_id] += len(data)

    def on_end(self, call_id, status, headers, body):
        body_size = self._body_sizes.get(call_id, 0)
        self._finish(call_id, Response(status, dict(headers), body, body_size))

    def on_not_run(self, call_id, status, headers):
        self._finish(call_id, Response(503, {b"snipebay-shed": b"1"}))

    def on_failure(self, call_id, reason):
        self._finish(call_id, Response(0, reason=reason))

    def _finish(self, call_id, response):
        callback = self._remove(call_id)
        if callback is not None:
            callback(response)

    def _remove(self, call_id):
        self._deadlines.pop(call_id, None)
        self._body_sizes.pop(call_id, None)
        return self._callbacks.pop(call_id, None)
