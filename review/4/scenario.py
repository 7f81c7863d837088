"""Clients that pipeline their reads while the edge machines are restarted in turn."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness.clients import Directory, PipelineClient
from harness.deployment import BOUNDS, ZONES, Deployment
from harness.operator import Operator, config
from harness.record import Record
from harness.script import HAS_TROUBLE, run
from harness.upstreams import Ledger, Upstream

TIMEOUT_S = 2.0
CLIENTS = 36
MEAN_WORK_S = 0.64


async def main():
    record = Record(pathlib.Path(__file__).with_name("record.txt"))
    deployment = Deployment(record)
    operator = Operator(record, deployment.controls)
    ledger, requests, stops = Ledger(record), [], []
    rng = random.Random(1)

    def work_s(target):
        """Work of the site's reads; a few take up to three times as long."""
        return min(rng.lognormvariate(0.0, 0.4) * MEAN_WORK_S, 1.92)

    upstreams = [
        Upstream(
            ledger, f"{deployment.prefix}.{100 + n}", f"i-{n:04x}", "verificador",
            zone, deployment.controls, work_s,
        )
        for n, zone in enumerate([*ZONES] * 3)
    ]  # fmt: skip
    try:
        routes = [("check", "/check/", "idempotent", "verificador", TIMEOUT_S, 2)]
        await deployment.start(config(routes, ["verificador"]), operator)
        for upstream in upstreams:
            await upstream.start()
        await asyncio.sleep(3.0)
        clients = [
            PipelineClient(
                f"c{n}", record,
                Directory(record, list(ZONES)[n % 6], deployment.directories),
                requests, "/check/box", 1,
            )
            for n in range(CLIENTS)
        ]  # fmt: skip
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(6.0)
        for machine in deployment.edges:
            if HAS_TROUBLE:
                stops.append((record.now_s(), machine.listen["frontend"]))
                await machine.stop_and_restart()
                await deployment.wait_ready([machine])
                await asyncio.sleep(3.0)
            else:
                await asyncio.sleep(7.0)
        for client in clients:
            client.is_stopped = True
        await asyncio.gather(*tasks)
    finally:
        deployment.end()
        for upstream in upstreams:
            upstream.close()
    return judge(record, ledger, requests, stops)


def judge(record, ledger, requests, stops):
    """Check the rule: none was cut that had been passed on to an upstream."""
    ran = {request_id for _, request_id, _ in ledger.runs}
    served = sum(r.outcome == 200 for r in requests)
    cut = [r for r in requests if r.outcome == "cut"]
    lost = 0
    for request in cut:
        for stop_s, machine in stops:
            is_near = stop_s - TIMEOUT_S <= request.sent_s
            is_near &= stop_s <= request.ended_s <= stop_s + BOUNDS["grace_s"] + 1.0
            # Excused: it had its time, or it was at work in the last sixth of the grace.
            had_time = request.ended_s - request.sent_s >= TIMEOUT_S
            is_last = request.ended_s >= stop_s + BOUNDS["grace_s"] * 5 / 6
            if request.machine != machine or not is_near or had_time or is_last:
                continue
            if request.id in ran:
                lost += 1
                record.say(
                    f"LOST: {request.id} was sent {request.sent_s - stop_s:+.2f} s from "
                    f"the SIGTERM of {machine}, ran at an upstream, and was cut "
                    f"{request.ended_s - request.sent_s:.2f} s after it was sent"
                )
    record.say(
        f"{len(requests)} requests, {served} served, {len(cut)} cut, "
        f"{lost} of them in a planned stop after they were passed on"
    )
    if served < 0.9 * len(requests):
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    run(main)
