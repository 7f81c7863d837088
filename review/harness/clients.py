"""Stand-ins of clients, which ask the directory where to connect."""

import asyncio
import itertools
import json
import random
import time

from harness.deployment import ZONES
from harness.http_calls import call, read_response
from harness.operator import HOST

__all__ = ["Directory", "PipelineClient", "PoolClient", "Request"]

MAX_TTL_S = 5.0
REFUSALS = (408, 421, 429, 503)


class Request:
    """One client attempt.

    Attributes:
        id: Its ``Request-Id``.
        method: Method.
        machine: Frontend address that it was sent to.
        sent_s: When its last byte was sent.
        ended_s: When it ended, or None.
        outcome: Status, ``cut`` when its connection ended without an answer, or
            ``given up``.
        is_kept: True if its connection had carried a request before.
    """

    def __init__(self, request_id, method, machine, is_kept):
        self.id = request_id
        self.method = method
        self.machine = machine
        self.is_kept = is_kept
        self.sent_s = None
        self.ended_s = None
        self.outcome = None


class Directory:
    """Answers of the directory, kept for their time to live.

    Args:
        record: :class:`Record` of the run.
        zone: Zone of the client.
        addresses: Addresses that serve the directory, nearest first.
    """

    def __init__(self, record, zone, addresses):
        self.record = record
        self.zone = zone
        self._addresses = addresses
        self._found, self._until_s = [], 0.0

    async def frontends(self):
        """Return the frontend addresses to use now."""
        if time.monotonic() < self._until_s:
            return self._found
        path = f"/v1/resolve?name={HOST}&region={ZONES[self.zone]}&zone={self.zone}"
        for address in self._addresses[:3]:
            answer = await call(address, "GET", path)
            if answer is None or answer.status != 200:
                continue
            document = json.loads(answer.body)
            if document.get("addresses"):
                self._found = document["addresses"]
                ttl_s = min(float(document["ttl_s"]), MAX_TTL_S)
                self._until_s = time.monotonic() + ttl_s
                break
        return self._found


class _Client:
    """Base class of a client with at most one connection.

    Args:
        name: Name, the first part of its request ids.
        record: :class:`Record` of the run.
        directory: Its :class:`Directory`.
        requests: List that gets all requests.
        path: Path of its requests.
        seed: Seed of its random numbers.
        deadline_s: How long it waits for an answer.
    """

    def __init__(self, name, record, directory, requests, path, seed, deadline_s=3.0):
        self.name = name
        self.record = record
        self.directory = directory
        self.requests = requests
        self.path = path
        self.rng = random.Random(f"{seed} {name}")
        self.deadline_s = deadline_s
        self.is_stopped = False
        self._numbers = itertools.count(1)
        self._avoided = {}

    async def connect(self):
        """Return machine, reader and writer of a new connection, None without one."""
        found = await self.directory.frontends()
        now_s = time.monotonic()
        usable = [a for a in found if now_s - self._avoided.get(a, -9.0) > 2.0]
        if not (usable or found):
            return None
        machine = self.rng.choice(usable or found)
        host, _, port = machine.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._avoided[machine] = now_s
            return None
        return machine, reader, writer

    def send(self, writer, machine, method, is_kept, body=b""):
        """Send a request and return it."""
        request = Request(f"{self.name}-{next(self._numbers)}", method, machine, is_kept)
        head = (
            f"{method} {self.path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request.id}\r\n"
            f"Deadline-Ms: {int(self.deadline_s * 1_000)}\r\n"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.requests.append(request)
        writer.write(head.encode() + b"\r\n" + body)
        request.sent_s = self.record.line(
            f"client sends {method} {request.id} to {machine}"
        )
        return request

    def end(self, request, outcome):
        """Record how a request ended."""
        request.outcome = outcome
        request.ended_s = self.record.line(f"client gets {outcome} for {request.id}")


class PoolClient(_Client):
    """Sends one request after the other on a kept connection.

    Args:
        *args: See :class:`_Client`.
        method: Method of the requests.
        gap_s: Mean pause between two requests.
        body: Body of the requests.
        **kwargs: See :class:`_Client`.
    """

    def __init__(self, *args, method="GET", gap_s=0.2, body=b"", **kwargs):
        super().__init__(*args, **kwargs)
        self.method = method
        self.gap_s = gap_s
        self.body = body

    async def run(self):
        """Send requests until the client is stopped."""
        link, is_kept = None, False
        while not self.is_stopped:
            await asyncio.sleep(self.rng.expovariate(1 / self.gap_s))
            if link is not None:
                is_named = link[0] in await self.directory.frontends()
                if not is_named or link[1].at_eof():
                    link[2].close()
                    link = None
            if link is None:
                link, is_kept = await self.connect(), False
                if link is None:
                    continue
            machine, reader, writer = link
            request = self.send(writer, machine, self.method, is_kept, self.body)
            is_kept = True
            try:
                async with asyncio.timeout(self.deadline_s):
                    answer = await read_response(reader)
                outcome = answer.status if answer else "cut"
            except TimeoutError:
                answer, outcome = None, "given up"
            except OSError:
                answer, outcome = None, "cut"
            self.end(request, outcome)
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                writer.close()
                link = None
        if link is not None:
            link[2].close()


class PipelineClient(_Client):
    """Sends further GET requests before the first one has been answered.

    Args:
        *args: See :class:`_Client`.
        gap_s: Mean pause between two requests.
        depth: Largest number of requests without an answer.
        **kwargs: See :class:`_Client`.
    """

    def __init__(self, *args, gap_s=0.25, depth=4, **kwargs):
        super().__init__(*args, **kwargs)
        self.gap_s = gap_s
        self.depth = depth

    async def run(self):
        """Send requests until the client is stopped."""
        while not self.is_stopped:
            link = await self.connect()
            if link is None:
                await asyncio.sleep(0.1)
                continue
            await self._use(*link)

    async def _use(self, machine, reader, writer):
        """Use one connection until it closes or is no longer named."""
        open_requests, state = [], {"closes": False}
        reading = asyncio.create_task(self._read(reader, open_requests, state))
        is_kept = False
        while not reading.done():
            await asyncio.sleep(self.rng.expovariate(1 / self.gap_s))
            is_named = machine in await self.directory.frontends()
            if state["closes"] or self.is_stopped or not is_named:
                break
            if len(open_requests) < self.depth and not reading.done():
                request = self.send(writer, machine, "GET", is_kept)
                open_requests.append(request)
                is_kept = True
        state["is_last"] = True
        if not open_requests:
            reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        for request in open_requests:
            self.end(request, "cut")
        writer.close()

    async def _read(self, reader, open_requests, state):
        """Read the answers in the order of the requests."""
        try:
            while True:
                if state.get("is_last") and not open_requests:
                    return
                answer = await asyncio.wait_for(
                    read_response(reader), self.deadline_s + 1.0
                )
                if answer is None:
                    return
                self.end(open_requests.pop(0), answer.status)
                if answer.headers.get("connection", "").lower() == "close":
                    state["closes"] = True
                    return
        except (OSError, TimeoutError):
            return
