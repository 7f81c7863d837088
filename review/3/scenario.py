"""A heartbeat that a cut has held up arrives after its upstream has left."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.clients import Directory, PoolClient
from harness.deployment import BOUNDS, HEARTBEAT_S, ZONES, Deployment
from harness.http_calls import call
from harness.links import Link
from harness.operator import Operator, config
from harness.record import Record
from harness.script import HAS_TROUBLE, run
from harness.upstreams import Ledger, Upstream

CUT_S = 5.5
# What TCP holds up in a cut is sent again after 0.2 s, then after twice as long each
# time: at 6.2 s, which is the first time after the cut has healed.
ARRIVES_S = 6.2
SERVES_ON_S = 12.0


async def main():
    record = Record(pathlib.Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    operator = Operator(record, deployment.controls)
    ledger, requests = Ledger(record), []
    upstreams = [
        Upstream(
            ledger, f"{deployment.prefix}.{100 + n}", f"i-{n:04x}", "verificador",
            zone, deployment.controls, lambda target: 0.3, has_link=n == 0,
        )
        for n, zone in enumerate([*ZONES] * 2)
    ]  # fmt: skip
    try:
        routes = [("check", "/check/", "idempotent", "verificador", 2.0, 2)]
        await deployment.start(config(routes, ["verificador"]), operator)
        for upstream in upstreams:
            await upstream.start()
        await asyncio.sleep(3.0)
        clients = [
            PoolClient(
                f"c{n}", record,
                Directory(record, list(ZONES)[n % 6], deployment.directories),
                requests, "/check/box", 1,
            )
            for n in range(24)
        ]  # fmt: skip
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(6.0)
        left_s, healed_s = await leave(record, deployment, upstreams[0])
        await asyncio.sleep(SERVES_ON_S)
        for client in clients:
            client.is_stopped = True
        await asyncio.gather(*tasks)
    finally:
        deployment.end()
        for upstream in upstreams:
            upstream.close()
    return judge(record, ledger, requests, upstreams[0].id, left_s, healed_s)


async def leave(record, deployment, upstream):
    """Cut an upstream off, heal the cut, and let it leave.

    Returns:
        When its leaving was acknowledged, and when the cut healed.
    """
    first, second = deployment.controls[:2]
    path = f"/v1/instances/{upstream.id}"
    if not HAS_TROUBLE:
        upstream.stop_heartbeats()
        healed_s = record.now_s()
        return await say_leaving(record, upstream.id, second, path), healed_s
    # The next heartbeat is due just after the cut begins. Its connection to the core
    # machine is open by then.
    acked_s = upstream.acked_s
    while upstream.acked_s == acked_s:
        await asyncio.sleep(0.01)
    await asyncio.sleep(HEARTBEAT_S - 0.1)
    upstream.stop_heartbeats()
    to_control = Link(upstream.host, first)
    await to_control.start()
    host, _, port = to_control.address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    await asyncio.sleep(0.1)
    cut_s = record.line(f"{upstream.id} is cut off from all machines")
    to_control.cut()
    upstream.link.cut()
    body = json.dumps(upstream.heartbeat()).encode()
    head = f"PUT {path} HTTP/1.1\r\nHost: {first}\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    record.line(f"{upstream.id} sends heartbeat {upstream.sequence} to {first}")
    await asyncio.sleep(1.0)
    writer.close()
    record.line(f"{upstream.id} has no answer and closes; no machine takes its calls")
    await asyncio.sleep(cut_s + CUT_S - record.now_s())
    upstream.link.heal()
    healed_s = record.line(f"the cut of {upstream.id} heals")
    left_s = await say_leaving(record, upstream.id, second, path)
    await asyncio.sleep(max(0.0, cut_s + ARRIVES_S - record.now_s()))
    to_control.heal()
    record.line(f"heartbeat {upstream.sequence} reaches {first}")
    await asyncio.sleep(0.5)
    to_control.close()
    return left_s, healed_s


async def say_leaving(record, upstream_id, address, path):
    """Send the DELETE until it is acknowledged, and return that time."""
    while True:
        answer = await call(address, "DELETE", path)
        if answer is not None and answer.status == 200:
            return record.line(f"control acknowledged that {upstream_id} is gone")
        await asyncio.sleep(0.1)


def judge(record, ledger, requests, upstream_id, left_s, healed_s):
    """Check the rule: nothing reaches it `drain_s` after it was acknowledged as gone.

    Requests count from `stability_window_s` after the cut on.
    """
    from_s = max(left_s + BOUNDS["drain_s"], healed_s + BOUNDS["stability_window_s"])
    late = [row for row in ledger.runs if row[2] == upstream_id and row[0] > from_s]
    for at_s, request_id, _ in late[:5]:
        record.say(
            f"DRAIN: {request_id} ran at {upstream_id} {at_s - left_s:.1f} s after its "
            "leaving was acknowledged"
        )
    served = sum(r.outcome == 200 for r in requests)
    record.say(f"{len(requests)} requests, {served} served, {len(late)} at {upstream_id}")
    if served < 0.9 * len(requests):
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run(main)
