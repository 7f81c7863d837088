"""Upstreams that follow the users' protocol, and the faults that its pages name."""

import asyncio
import contextlib
import itertools
import json
import time

from .deployment import call

HEARTBEAT_S = 1.5


def body_for(request_id, size):
    """Return the body of the answer to a request, different for each request."""
    piece = f"{request_id}|".encode()
    return (piece * (size // len(piece) + 1))[:size]


class Upstream:
    """One upstream, which keeps a list of what it ran.

    Attributes:
        on_request: Coroutine function of this upstream, the request and the writer,
            which answers in another way than usual; it returns True if it has answered.
    """

    def __init__(self, ident, service, ip, zone, controls, log, *, slots=4,
                 work_s=0.02, size=400):
        self.ident, self.service, self.ip, self.zone = ident, service, ip, zone
        self.controls, self.log = controls, log
        self.slots, self.work_s, self.size = slots, work_s, size
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.sequence = itertools.count(1)
        self.acked = {}
        self.running = 0
        self.on_request = None
        self._turn = itertools.cycle(controls)
        self._endpoint = next(self._turn)
        self._server = self._beat_task = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0, limit=1 << 20)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"
        self._beat_task = asyncio.create_task(self._beat_loop())

    async def stop(self):
        self._beat_task.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def beat(self):
        """Announce the present state; return True when it is acknowledged."""
        state = self.state
        document = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {
                "state": state,
                "sequence": next(self.sequence),
                "cold_remaining_s": 0,
            },
        }
        path = f"/v1/instances/{self.ident}"
        for _ in range(len(self.controls)):
            status, _, _ = await call(self._endpoint, "PUT", path, document)
            if 200 <= status < 300:
                self.acked.setdefault(state, time.monotonic())
                return True
            self._endpoint = next(self._turn)
        return False

    async def _beat_loop(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        number = 0
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                number += 1
                request = Request(method, target, headers, body, number)
                if not await self._answer(request, writer):
                    return
        except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def _answer(self, request, writer):
        """Answer a request; return False to close the connection."""
        ident = request.headers.get("request-id", "")
        if request.target == "/health":
            status = 200 if self.state == "ready" else 503
            self.write(writer, status, b"", ident)
            return True
        target = request.headers.get("target-instance", self.ident)
        if target != self.ident:
            self.write(writer, 421, b"", ident, not_run=True)
            return True
        if self.running >= 4 * self.slots:
            self.write(writer, 503, b"", ident, not_run=True)
            return True
        self.running += 1
        try:
            self.log.run(self, request)
            if self.on_request is not None:
                answered = await self.on_request(self, request, writer)
                if answered is not None:
                    return answered
            await asyncio.sleep(self.work_s)
            self.write(writer, 200, body_for(ident, self.size), ident)
            await writer.drain()
            return True
        finally:
            self.running -= 1

    def head(self, status, length, ident, *, not_run=False):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {length}"]
        if ident:
            lines.append(f"Request-Id: {ident}")
        if not_run:
            lines.append("Not-Executed: 1")
        else:
            lines.append(f"Response-Signature: {self.ident}.{ident}")
        lines.append(f"Server-Load: {self.running},0,{self.slots}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def write(self, writer, status, body, ident, *, not_run=False):
        writer.write(self.head(status, len(body), ident, not_run=not_run) + body)


class Request:
    def __init__(self, method, target, headers, body, number):
        self.method, self.target, self.headers = method, target, headers
        self.body, self.number = body, number

    @property
    def ident(self):
        return self.headers.get("request-id", "")


class RunLog:
    """What ran, where and when."""

    def __init__(self):
        self.runs = {}

    def run(self, upstream, request):
        self.runs.setdefault(request.ident, []).append(
            (upstream.ident, time.monotonic(), len(request.body))
        )
