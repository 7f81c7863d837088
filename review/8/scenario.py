"""An upstream that leaves while it can't reach control, and says so in its answers."""

import asyncio
import itertools
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.deployment import (  # noqa: E402
    FRONTEND,
    Deployment,
    config,
    read_response,
    route,
)
from common.upstreams import RunLog, Upstream, body_for  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.5
# Without an acknowledgement the upstream ends this long after it began to leave.
END_S = 5.0
UPSTREAMS = 5
WORK_S = 0.4

record = open(pathlib.Path(__file__).with_name("record.txt"), "w")
START = time.monotonic()


def note(text):
    print(f"{time.monotonic() - START:7.2f} {text}", file=record, flush=True)


async def answer(upstream, request, writer):
    """Answer like any upstream, and say in each answer if this one is leaving."""
    await asyncio.sleep(WORK_S)
    body = body_for(request.ident, 400)
    head = upstream.head(200, len(body), request.ident)
    if upstream.state == "draining":
        head = head[:-2] + b"Server-Leaving: 1\r\n\r\n"
    writer.write(head + body)
    await writer.drain()
    return True


async def silent(reader, writer):
    """Stand in for a partition: take what is sent and never answer."""
    while await reader.read(65536):
        pass
    writer.close()


async def client(deployment, number, rows, first_leaving, end):
    """Send orders, one after the other, on kept connections."""
    edge = deployment.edges[number % len(deployment.edges)]
    reader = writer = None
    for n in itertools.count():
        if time.monotonic() >= end:
            break
        ident = f"{edge.name}.{number}.{n}"
        row = rows[ident] = {"edge": edge.name, "sent": time.monotonic(), "got": None}
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(edge.ip, FRONTEND)
            writer.write(
                f"POST /orders/x HTTP/1.1\r\nHost: shop.example\r\n"
                f"Request-Id: {ident}\r\nDeadline-Ms: 2500\r\n"
                f"Content-Length: 5\r\n\r\norder".encode()
            )
            async with asyncio.timeout(4):
                status, headers, _ = await read_response(reader)
            row["got"] = status
            if "server-leaving" in headers:
                first_leaving.setdefault(edge.name, time.monotonic())
            if headers.get("connection") == "close":
                writer.close()
                writer = None
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as exc:
            row["got"] = type(exc).__name__
            if writer is not None:
                writer.close()
            writer = None
        await asyncio.sleep(0.05)
    if writer is not None:
        writer.close()


async def play(deployment):
    routes = [route("orders", "/orders/", "orders", idempotent=False)]
    await deployment.put_first_config(config(1, 0, routes, ["orders"]))
    log, upstreams = RunLog(), []
    for number in range(UPSTREAMS):
        zone = ["north-1", "mid-1", "south-1"][number % 3]
        ip = f"{deployment.prefix}.{60 + number}"
        upstream = Upstream(
            f"i-{number}", "orders", ip, zone, deployment.controls, log, slots=4
        )
        upstream.on_request = answer
        await upstream.start()
        upstreams.append(upstream)
    hole = await asyncio.start_server(silent, f"{deployment.prefix}.90", 0)
    hole_address = f"{deployment.prefix}.90:{hole.sockets[0].getsockname()[1]}"
    await deployment.wait_ready()
    # Until all machines have been in touch for stability_window_s.
    await asyncio.sleep(6)
    rows, first_leaving = {}, {}
    end = time.monotonic() + 14
    clients = [
        asyncio.create_task(client(deployment, n, rows, first_leaving, end))
        for n in range(12)
    ]
    await asyncio.sleep(3)
    leaver = upstreams[0]
    if TROUBLE:
        note(f"{leaver.ident} is partitioned from the core, not from the edge machines")
        leaver.controls = [hole_address]
        leaver._turn = itertools.cycle([hole_address])
        leaver._endpoint = hole_address
    leaver.state = "draining"
    note(f"{leaver.ident} is draining")
    is_acked = await leaver.beat()
    note(f"{leaver.ident}: draining acknowledged: {is_acked}")
    await asyncio.sleep(END_S - 1.0 if TROUBLE else DRAIN_S + 0.5)
    running = leaver.running
    ended = time.monotonic()
    await leaver.stop()
    note(f"{leaver.ident} ends with {running} requests at work")
    await asyncio.gather(*clients)
    for upstream in upstreams[1:]:
        await upstream.stop()
    hole.close()
    late, cut = [], []
    for ident, row in rows.items():
        ran = [(where, at) for where, at, _ in log.runs.get(ident, [])]
        if not any(where == leaver.ident for where, _ in ran):
            continue
        since = row["sent"] - first_leaving.get(row["edge"], row["sent"])
        if since > DRAIN_S:
            late.append(ident)
            note(
                f"{ident}: sent {since:.2f} s after {row['edge']} passed on an answer "
                f"with Server-Leaving, ran at {leaver.ident}, got {row['got']}"
            )
        if ran[-1][1] < ended and row["got"] != 200:
            cut.append(ident)
    note(f"first answers with Server-Leaving passed on by {sorted(first_leaving)}")
    note(f"requests later than drain_s at the leaving upstream: {len(late)}")
    note(f"orders that ran there and got no answer of it: {len(cut)} {cut}")
    return bool(late)


async def main():
    deployment = Deployment(cores=3, edges=2)
    try:
        deployment.start()
        return 1 if await play(deployment) else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001
        note(f"could not run: {exc!r}")
        code = 2
    sys.exit(code)
