"""Child process of :mod:`test_landed_build`, run with the sources of either build.

Its arguments are a command and files; it writes the result to standard output.
"""

import pathlib
import sys

import attrs
import numpy as np
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_control.raft_log import PersistentState
from snipebay_control.state import ControlState
from snipebay_model import messages
from snipebay_model.codec import Envelope, decode, encode, encode_body
from snipebay_model.view import BackendRow

FIELDS = {field.name for field in attrs.fields(messages.CommandRequest)}


def commands():
    """Return commands that change each table of the state that may differ."""
    row = BackendRow("i-1", "s", "10.0.0.1:80", "a", "a-1", 4, born_ms=5, sequence=1)
    other = BackendRow("i-2", "s", "10.0.0.2:80", "a", "a-1", 4, born_ms=5, sequence=1)
    return [
        messages.Evacuate("a-1", True),
        messages.PutBackend(row),
        messages.PutBackend(other),
        messages.RemoveBackend("i-1", messages.WITHDRAWN),
        messages.RemoveBackend("i-3", messages.WITHDRAWN),
        messages.Evacuate("a-2", True),
    ]


def run_group():
    """Return the core of a group of one that has applied the commands."""
    cfg = ControlConfig("c1#a", ("c1",))
    core = ControlCore(cfg, PersistentState(), np.random.default_rng(1), 0.0)
    core.raft.bootstrap({"c1#a": True})

    def work(now_s):
        core.tick(now_s)
        while not (ready := core.pop_ready()).is_empty:
            core.complete_ready(ready)

    for tick in range(100):
        work(0.05 * tick)
    for number, cmd in enumerate(commands()):
        request = messages.CommandRequest(number, *encode_body(cmd))
        core.receive("client", request, 5.0 + number * 0.05)
        work(5.0 + number * 0.05)
    return core


def describe(state):
    """Print what a state holds, as far as both builds know it."""
    print(
        sorted(state.evacuated),
        sorted(state.backends),
        sorted(state.registry.tombstones),
    )


def main(name, *paths):
    raw = [pathlib.Path(path).read_bytes() for path in paths]
    if name == "dump":
        sys.stdout.buffer.write(run_group().state.dump())
    elif name == "load":
        describe(ControlState.from_dump(raw[0]))
    elif name == "request":
        cmd = messages.Evacuate("a-1", True)
        values = {"base_index": 7} if "base_index" in FIELDS else {}
        request = messages.CommandRequest(3, *encode_body(cmd), **values)
        sys.stdout.buffer.write(encode(Envelope("e-1", request)))
    elif name == "read":
        request = decode(raw[0]).body
        print(request.request_id, request.kind, getattr(request, "base_index", None))
    else:
        raise ValueError(f"no command {name!r}")


if __name__ == "__main__":
    main(*sys.argv[1:])
