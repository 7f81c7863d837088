"""Two changes of the configuration in progress at once, the second on top of the first."""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common.deployment import Deployment, call, config, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 200
ROUTES = 350
MAX_GAP_S = 0.01
ORDER_S = 6.0

record = open(pathlib.Path(__file__).with_name("record.txt"), "w")


def note(text):
    print(text, file=record, flush=True)


async def order(deployment, first, document):
    """Send one order, again to the next machine without a clear answer."""
    end = time.monotonic() + ORDER_S
    turn = first
    while time.monotonic() < end:
        address = deployment.controls[turn % len(deployment.controls)]
        status, _, _ = await call(address, "PATCH", "/v1/config", document, 2.0)
        if status == 200 or status in (400, 409, 412, 413, 422):
            return status
        turn += 1
        await asyncio.sleep(0.1)
    return 0


async def read(deployment):
    """Return the configuration in force, read at any machine that knows it."""
    for turn in range(60):
        address = deployment.controls[turn % len(deployment.controls)]
        status, _, body = await call(address, "GET", "/v1/config", timeout_s=3.0)
        if status == 200:
            return json.loads(body)
        await asyncio.sleep(0.2)
    raise TimeoutError("the configuration can't be read")


def named(document, name):
    return next(
        r["spec"] for r in document["resources"]
        if r["resource_type"] == "routes" and r["metadata"]["name"] == name
    )


def change(version, base, name, timeout_s):
    return {
        "version": f"r{version}",
        "base_version": f"r{base}",
        "upsert": {
            "resources": [route(name, f"/{name}/", "alpha", timeout_s=timeout_s)]
        },
        "remove": {},
    }


async def play(deployment):
    routes = [route(f"n{i}", f"/n{i}/", "alpha") for i in range(ROUTES)]
    await deployment.put_first_config(config(1, 0, routes, ["alpha"]))
    await deployment.wait_ready()
    rng = random.Random(6)
    version, lost, both = 1, [], 0
    for number in range(ROUNDS):
        one, two = version + 1, version + 2
        # Values that no earlier version had.
        first = change(one, version, "n1", 2.0 + number / 100)
        second = change(two, one, "n2", 2.0 + number / 100)
        gap_s = rng.uniform(0.0, MAX_GAP_S)
        at = rng.randrange(len(deployment.controls))
        sending = asyncio.create_task(order(deployment, at, first))
        if TROUBLE:
            await asyncio.sleep(gap_s)
        else:
            await sending
        status_two = await order(deployment, at + 1, second)
        status_one = await sending
        found = await read(deployment)
        text = (
            f"round {number}: r{one} on r{version} -> {status_one}, r{two} on r{one} "
            f"{gap_s:.3f} s later -> {status_two}; read r{found['version'][1:]}"
        )
        version = int(found["version"][1:])
        if status_one == 200 and status_two == 200:
            both += 1
            kept = named(found, "n1") == first["upsert"]["resources"][0]["spec"]
            kept_two = named(found, "n2") == second["upsert"]["resources"][0]["spec"]
            text += f"; change of r{one} kept: {kept}, of r{two}: {kept_two}"
            if not (kept and kept_two):
                lost.append((one, two))
        note(text)
    note(f"both acknowledged in {both} rounds; a change was lost in {len(lost)}: {lost}")
    return bool(lost)


async def main():
    deployment = Deployment(cores=3, edges=1)
    try:
        deployment.start()
        broken = await play(deployment)
    finally:
        deployment.stop()
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001
        note(f"could not run: {exc!r}")
        code = 2
    sys.exit(code)
