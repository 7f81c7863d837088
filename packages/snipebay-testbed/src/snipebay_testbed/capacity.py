"""Measures how costs grow with size and rewrites the table in docs/CAPACITY.md."""

import itertools
import pathlib
import subprocess
import sys
import tempfile
import time
import tracemalloc

import attrs
import cyclopts
import numpy as np
from snipebay_control.raft import Ready
from snipebay_control.state import ControlState
from snipebay_model.codec import Envelope, decode, encode, encode_body
from snipebay_model.messages import (
    Claim,
    Finish,
    LogEntry,
    PeerBeat,
    PutBackend,
    Renew,
    RenewReply,
)
from snipebay_model.settings import parse_settings
from snipebay_model.view import BackendRow, EntryRow, View, ViewDelta
from snipebay_node.storage import Storage
from snipebay_policy.context import EntryConfig
from snipebay_policy.entry import EntryCore
from snipebay_policy.lookup import BlockTable, EntryRanking
from snipebay_policy.slot_assignment import assign_slots

from snipebay_testbed.control_rig import ControlRig

__all__ = ["ScalingMeasurement", "main"]

CAPACITY_PAGE = pathlib.Path("docs/CAPACITY.md")
TABLE_START_MARK, TABLE_END_MARK = "<!-- measured -->", "<!-- end -->"
INSTANCES, BLOCKS, SITES, DOMAINS, REGIONS = 440, 4_900_000, 110, 18, 8
LOOKUPS_PER_INSTANCE_PER_S = 460_000 / INSTANCES
CHANGES_PER_DAY = 400
app = cyclopts.App(help=__doc__)


@attrs.frozen
class ScalingMeasurement:
    """One quantity measured at several sizes.

    Attributes:
        name: Name of the quantity.
        size_name: What the size counts.
        points: Pairs of size and value.
        unit: Unit of the value.
        target_size: Size at which the value is estimated.
    """

    name: str
    size_name: str
    points: tuple
    unit: str
    target_size: float

    @property
    def line(self):
        """Slope and offset of the least-squares line through the points."""
        sizes, values = zip(*self.points, strict=True)
        slope, offset = np.polyfit(sizes, values, 1)
        return float(slope), float(offset)

    @property
    def at_target(self):
        """Value at the target size, estimated with :attr:`line`."""
        slope, offset = self.line
        return slope * self.target_size + offset


def _cpu_time_s(callback, iterations=1):
    """Return the CPU time of one call, the minimum over three rounds."""
    best = float("inf")
    for _ in range(3):
        start_s = time.process_time()
        for _ in range(iterations):
            callback()
        best = min(best, (time.process_time() - start_s) / iterations)
    return best


def _retained_bytes(factory):
    """Return the memory in bytes that the object returned by a factory retains."""
    tracemalloc.start()
    value = factory()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del value
    return size


def _entry_row(i):
    region = f"region-{i % REGIONS}"
    domain = f"domain-{i % DOMAINS}"
    return EntryRow(
        f"entry-{i:04}",
        "0123456789ab",
        "127.0.0.1:8080",
        "127.0.0.1:8081",
        region,
        domain,
    )


def _backend_row(i):
    region, domain = f"region-{i % REGIONS}", f"domain-{i % DOMAINS}"
    return BackendRow(
        f"backend-{i:05}", f"service-{i % 3}", "127.0.0.1:9000", region, domain, 6
    )


def _block_table(count):
    """Return a lookup table of randomly placed client address blocks."""
    rng = np.random.default_rng(1)
    starts = np.unique(rng.integers(0, 1 << 32, count, dtype=np.uint32))
    site_indexes = rng.integers(0, SITES, len(starts)).astype(np.uint16)
    return BlockTable.from_arrays(
        starts, site_indexes, [f"site-{i}" for i in range(SITES)]
    )


def _view(entries, backends):
    return View(
        1,
        1,
        "",
        tuple(_backend_row(i) for i in range(backends)),
        tuple(_entry_row(i) for i in range(entries)),
    )


# --- measurements ---------------------------------------------------------


def measure_lookup():
    """Yield measurements of the lookup."""
    sizes = (100_000, 1_000_000, BLOCKS)
    tables = {size: _block_table(size) for size in sizes}
    client_addresses = itertools.cycle(
        f"{i * 37 % 224}.{i % 251}.9.1" for i in range(997)
    )
    yield ScalingMeasurement(
        "block table, memory",
        "blocks",
        tuple((s, tables[s].nbytes / 1e6) for s in sizes),
        "MB",
        BLOCKS,
    )
    yield ScalingMeasurement(
        "block table, one search",
        "blocks",
        tuple(
            (
                s,
                1e6
                * _cpu_time_s(
                    lambda t=tables[s]: t.domain(next(client_addresses)), 5_000
                ),
            )
            for s in sizes
        ),
        "µs",
        BLOCKS,
    )
    settings = parse_settings(
        "regions: {a: {domains: [x]}}\nservices: {s: }\n"
    ).unwrap()
    points = []
    for size in (12, 110, INSTANCES):
        view = _view(size, 0)
        ranking = EntryRanking(view, settings)
        cost = _cpu_time_s(lambda r=ranking: r.best("x", next(client_addresses)), 500)
        points.append((size, 1e6 * cost))
    yield ScalingMeasurement(
        "look-up, ranking", "entry instances", tuple(points), "µs", INSTANCES
    )


def measure_view():
    """Yield measurements of the view at an entry instance."""
    sizes = (12, 110, INSTANCES)
    points = [
        (n, len(encode(Envelope("c", _full_view_reply(_view(n, n))))) / 1e3)
        for n in sizes
    ]
    yield ScalingMeasurement(
        "whole view, message", "entries = backends", tuple(points), "kB", INSTANCES
    )
    points = [(n, _retained_bytes(lambda n=n: _view(n, n)) / 1e6) for n in sizes]
    yield ScalingMeasurement(
        "whole view, memory", "entries = backends", tuple(points), "MB", INSTANCES
    )
    points = [
        (n, 1e3 * _cpu_time_s(lambda n=n: assign_slots(_view(n, n), "region-0")))
        for n in sizes
    ]
    yield ScalingMeasurement(
        "dealing a region's slots",
        "entries = backends",
        tuple(points),
        "ms",
        INSTANCES,
    )


def _full_view_reply(view):
    delta = ViewDelta(0, 1, True, "", 1, view.backends, (), view.entries)
    return RenewReply("c1", True, 0, 3_000, 1, 1, delta)


def measure_control():
    """Yield measurements of the leader's work."""
    points, sizes = [], (12, 110, INSTANCES)
    for count in sizes:
        rig = ControlRig(1, 5)
        core = rig.elect().core
        for i in range(count):
            core.state._put_entry(attrs.make_class("P", ["row"])(_entry_row(i)))
        now_s = rig.scheduler.now_s
        frames = [
            encode(Envelope(row.entry_id, Renew(row, 1, core.state.revision, 1)))
            for row in core.state.entries.values()
        ]

        def renew_all(core=core, frames=frames, now_s=now_s):
            for frame in frames:
                envelope = decode(frame)
                core.receive(envelope.sender, envelope.body, now_s)
            for _, body in core.pop_messages():
                encode(Envelope("c1", body))

        points.append((count, 1e3 * _cpu_time_s(renew_all)))
    yield ScalingMeasurement(
        "leader, one renewal of all",
        "entry instances",
        tuple(points),
        "ms",
        INSTANCES,
    )
    points = []
    for count in (1_000, 10_000, 40_000):
        points.append(
            (count, _retained_bytes(lambda n=count: _state_with_claims(n)) / 1e6)
        )
    yield ScalingMeasurement(
        "idempotency keys, memory", "keys", tuple(points), "MB", 40_000
    )
    points = [
        (n, 1e3 * _cpu_time_s(_state_with_claims(n).dump))
        for n in (1_000, 10_000, 40_000)
    ]
    yield ScalingMeasurement("snapshot, encoding", "keys", tuple(points), "ms", 40_000)


def _state_with_claims(count):
    """Return a state with finished idempotency keys and their 200-byte responses."""
    state = ControlState()
    for i in range(count):
        claim = Claim("s", f"key-{i}", "0" * 32, f"e/{i}", "entry", 86_400_000)
        state.apply(*encode_body(claim))
        finish = Finish("s", f"key-{i}", f"e/{i}", 200, "text/plain", b"x" * 200)
        state.apply(*encode_body(finish))
    return state


def measure_heartbeats():
    """Yield measurements of heartbeats between entry instances of one region."""
    points = []
    for peers in (3, 14, INSTANCES // REGIONS):
        rows = [attrs.evolve(_entry_row(i), region="r") for i in range(peers + 1)]
        core = EntryCore(EntryConfig(rows[0]), ("c1",))
        core.ctx.view = View(1, 1, "", (), tuple(rows))
        frames = [
            encode(Envelope(r.entry_id, PeerBeat(r.entry_id, "0123456789ab", 1, 1, 1)))
            for r in rows[1:]
        ]

        def heartbeat_round(core=core, frames=frames):
            for frame in frames:
                envelope = decode(frame)
                core.receive(envelope.sender, envelope.body, 1.0)
            core._send_heartbeats(1.0)
            for action in core.pop_actions():
                encode(Envelope("e", action.body))

        points.append((peers, 1e3 * _cpu_time_s(heartbeat_round, 20)))
    size = len(frames[0])
    yield ScalingMeasurement(
        "beats, one round", "peers in the region", tuple(points), "ms", 55
    )
    yield ScalingMeasurement(
        "beats, bytes a round",
        "peers in the region",
        tuple((n, n * size / 1e3) for n in (3, 14, 55)),
        "kB",
        55,
    )


def measure_storage():
    """Yield a measurement of the log size on disk."""
    points = []
    for count in (100, 1_000, 5_000):
        with tempfile.TemporaryDirectory() as folder:
            storage = Storage(folder, "c1")
            kind, data = encode_body(PutBackend(_backend_row(1)))
            storage.save(
                Ready(entries=[LogEntry(i, 1, kind, data) for i in range(1, count + 1)])
            )
            storage.close()
            points.append((count, pathlib.Path(folder, "log").stat().st_size / 1e3))
    yield ScalingMeasurement("log on disk", "commands", tuple(points), "kB", 4_000)


MEASUREMENTS = (
    measure_lookup,
    measure_view,
    measure_control,
    measure_heartbeats,
    measure_storage,
)


@app.default
def run(*, write: bool = True):
    """Take all measurements and print them as a table.

    Args:
        write: Also write the table to docs/CAPACITY.md.
    """
    measurements = [
        measurement for measure in MEASUREMENTS for measurement in measure()
    ]
    table = _markdown(measurements)
    print(table)
    if write:
        text = CAPACITY_PAGE.read_text()
        head, _, rest = text.partition(TABLE_START_MARK)
        tail = rest.partition(TABLE_END_MARK)[2]
        CAPACITY_PAGE.write_text(
            f"{head}{TABLE_START_MARK}\n{table}\n{TABLE_END_MARK}{tail}"
        )


def _markdown(measurements):
    """Return the measurements as a Markdown table."""
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True
    ).stdout.strip()
    lines = [
        f"Measured by `make capacity` at commit {commit}.",
        "",
        "| what | against | measured (size: value) | slope | at the size |",
        "| --- | --- | --- | --- | --- |",
    ]
    for m in measurements:
        points = ", ".join(f"{size:,}: {value:.3g}" for size, value in m.points)
        lines.append(
            f"| {m.name}, {m.unit} | {m.size_name} | {points} | {m.line[0]:.3g} | "
            f"**{m.at_target:.3g} {m.unit}** at {m.target_size:,.0f} |"
        )
    return "\n".join(lines)


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
