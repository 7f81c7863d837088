"""Stand-in of an upstream: runs requests, and registers with the control plane."""

import asyncio
import hashlib
import time

from harness.deployment import HEARTBEAT_S
from harness.http_calls import call, read_head
from harness.links import Link

__all__ = ["Ledger", "Upstream"]

IDLE_TIMEOUT_S = 10.0


class Ledger:
    """What ran, where and when.

    Attributes:
        runs: Rows of time, request id and upstream id, in order.
    """

    def __init__(self, record):
        self.record = record
        self.runs = []

    def ran(self, request_id, upstream_id):
        """Record that an upstream began to work on a request."""
        at_s = self.record.line(f"{upstream_id} runs {request_id}")
        self.runs.append((at_s, request_id, upstream_id))

    def count(self, request_id):
        """Return how often a request has run."""
        return sum(row[1] == request_id for row in self.runs)


class Upstream:
    """One upstream.

    Args:
        ledger: :class:`Ledger` of all upstreams.
        host: Address to listen on.
        upstream_id: Its id.
        service: Its service.
        zone: Its zone.
        controls: Addresses that take heartbeats.
        work_s: Function from a request's path to how long it runs.
        capacity: Requests that run concurrently.
        queue: Requests that may wait.
        has_link: True if its address is that of a :class:`Link`, its ``link``.
    """

    def __init__(
        self, ledger, host, upstream_id, service, zone, controls, work_s,
        capacity=6, queue=18, has_link=False,
    ):  # fmt: skip
        self.ledger = ledger
        self.record = ledger.record
        self.host = host
        self.id = upstream_id
        self.service = service
        self.zone = zone
        self.controls = list(controls)
        self.work_s = work_s
        self.capacity = capacity
        self.queue = queue
        self.has_link = has_link
        self.address = ""
        self.sequence = 0
        self.acked_s = None
        self.link = None
        self._running = self._waiting = 0
        self._slots = asyncio.Semaphore(capacity)
        self._born_ms = time.time_ns() // 1_000_000
        self._server = self._beats = None

    async def start(self):
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self.host, 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"
        if self.has_link:
            self.link = Link(self.host, self.address)
            await self.link.start()
            self.address = self.link.address
        self._beats = asyncio.create_task(self._heartbeats())

    def stop_heartbeats(self):
        """Send no further heartbeats."""
        self._beats.cancel()

    def close(self):
        """Stop listening."""
        self.stop_heartbeats()
        if self.link is not None:
            self.link.close()
        self._server.close()

    def heartbeat(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            "address": self.address,
            "born": self._born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.capacity,
            },
            "status": {
                "state": "ready",
                "sequence": self.sequence,
                "cold_remaining_s": 0,
            },
        }

    async def _heartbeats(self):
        number = 0
        while True:
            address = self.controls[number % len(self.controls)]
            answer = await call(
                address, "PUT", f"/v1/instances/{self.id}", self.heartbeat()
            )
            if answer is not None and 200 <= answer.status < 300:
                self.acked_s = self.record.line(
                    f"{self.id}: heartbeat {self.sequence} acknowledged by {address}"
                )
                await asyncio.sleep(HEARTBEAT_S)
            else:
                number += 1
                await asyncio.sleep(0.1)

    # --- requests ---------------------------------------------------------

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        """Serve one request; return False when the connection is to be closed."""
        try:
            head = await asyncio.wait_for(read_head(reader), IDLE_TIMEOUT_S)
        except TimeoutError:
            return False
        if head is None:
            return False
        first, headers = head
        _, target, _ = first.split(" ")
        digest, size = hashlib.blake2b(digest_size=8), 0
        left = int(headers.get("content-length", 0))
        while left:
            data = await reader.read(min(left, 1 << 16))
            if not data:
                return False
            left -= len(data)
            size += len(data)
            digest.update(data)
        request_id = headers.get("request-id", "")
        if headers.get("target-instance", self.id) != self.id:
            self._respond(writer, 421, request_id, b"", not_run=True)
        elif target == "/health":
            self._respond(writer, 200, request_id, b"")
        elif not request_id:
            self._respond(writer, 400, request_id, b"", not_run=True)
        elif self._running + self._waiting >= self.capacity + self.queue:
            self._respond(writer, 503, request_id, b"", not_run=True)
        else:
            return await self._run(reader, writer, target, headers, request_id)
        await writer.drain()
        return True

    async def _run(self, reader, writer, target, headers, request_id):
        deadline_s = int(headers.get("deadline-ms", 60_000)) / 1_000
        start_s = time.monotonic()
        self._waiting += 1
        try:
            async with asyncio.timeout(deadline_s):
                await self._slots.acquire()
        except TimeoutError:
            self._respond(writer, 503, request_id, b"", not_run=True)
            return True
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.ledger.ran(request_id, self.id)
            left_s = deadline_s - (time.monotonic() - start_s)
            needed_s = self.work_s(target)
            work = asyncio.create_task(asyncio.sleep(min(needed_s, max(0.0, left_s))))
            gone = asyncio.create_task(reader.read(1))
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if gone.done():
                work.cancel()
                self.record.line(f"{self.id} drops {request_id}: connection closed")
                return False
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
        finally:
            self._running -= 1
            self._slots.release()
        status = 200 if needed_s <= left_s else 504
        self._respond(writer, status, request_id, f"{request_id} {self.id}\n".encode())
        await writer.drain()
        return True

    def _respond(self, writer, status, request_id, body, *, not_run=False):
        lines = [
            f"HTTP/1.1 {status} Upstream",
            f"Content-Length: {len(body)}",
            f"Instance-Id: {self.id}",
            f"Server-Load: {self._running},{self._waiting},{self.capacity}",
            f"Keep-Alive: timeout={int(IDLE_TIMEOUT_S)}",
        ]
        if request_id:
            lines.append(f"Request-Id: {request_id}")
        if not_run:
            lines.append("Not-Executed: 1")
        else:
            digest = hashlib.blake2b(body, digest_size=8).hexdigest()
            lines.append(f"Response-Signature: {digest}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
