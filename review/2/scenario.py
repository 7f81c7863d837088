"""A core machine freezes with the operator's call unread, and wakes again."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.clients import Directory, PoolClient
from harness.deployment import BOUNDS, ZONES, Deployment
from harness.operator import Operator, config
from harness.record import Record
from harness.script import HAS_TROUBLE, run
from harness.upstreams import Ledger, Upstream

ZONE = "norte-sechura"
PATH = f"/v1/evacuations/{ZONE}"
FREEZE_S = 4.0
WATCH_S = 20.0


async def main():
    record = Record(pathlib.Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    operator = Operator(record, deployment.controls)
    ledger, requests = Ledger(record), []
    upstreams = [
        Upstream(
            ledger, f"{deployment.prefix}.{100 + n}", f"i-{n:04x}", "verificador",
            zone, deployment.controls, lambda target: 0.3,
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
        await asyncio.sleep(3.0)
        await operator.order("POST", PATH)
        await asyncio.sleep(5.0)
        # Any core machine may be the one that freezes; the operator happens to call it.
        frozen = deployment.cores[2]
        frozen_s = woken_s = record.now_s()
        if HAS_TROUBLE:
            frozen.signal(signal.SIGSTOP)
        await operator.order("DELETE", PATH, first=frozen.listen["control"])
        await asyncio.sleep(1.0)
        acked_s = await operator.order("POST", PATH)
        await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - record.now_s()))
        if HAS_TROUBLE:
            frozen.signal(signal.SIGCONT)
            woken_s = record.now_s()
        await asyncio.sleep(WATCH_S)
        for client in clients:
            client.is_stopped = True
        await asyncio.gather(*tasks)
    finally:
        deployment.end()
        for upstream in upstreams:
            upstream.close()
    zones = {upstream.id: upstream.zone for upstream in upstreams}
    return judge(record, ledger, requests, zones, acked_s, woken_s)


def judge(record, ledger, requests, zones, acked_s, woken_s):
    """Check the rule: nothing reaches the zone `evacuation_s` after its evacuation.

    Machines count from the moment on at which all are in touch again, when the core
    has been calm for `stability_window_s`, and for as long again.
    """
    from_s = max(
        acked_s + BOUNDS["evacuation_s"], woken_s + 2 * BOUNDS["stability_window_s"]
    )
    late = [row for row in ledger.runs if zones[row[2]] == ZONE and row[0] > from_s]
    for at_s, request_id, upstream_id in late[:5]:
        record.say(
            f"EVAC: {request_id} ran at {upstream_id} in {ZONE}, {at_s - acked_s:.1f} s "
            "after its evacuation was acknowledged"
        )
    served = sum(r.outcome == 200 for r in requests)
    record.say(f"{len(requests)} requests, {served} served, {len(late)} in {ZONE}")
    if served < 0.9 * len(requests):
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run(main)
