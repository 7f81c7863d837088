"""Child process of :mod:`test_landed_build`, run with the sources of either build.

Its arguments are a command and files; it writes the result to standard output.
"""

import pathlib
import sys

import attrs
import msgspec
import numpy as np
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_control.raft_log import PersistentState, Snapshot
from snipebay_control.state import ControlState
from snipebay_model import messages
from snipebay_model.codec import CodecError, Envelope, decode, encode, encode_body
from snipebay_model.plan import Plan, Route, RoutedService
from snipebay_model.view import BackendRow, EntryRow, View
from snipebay_policy.routed import RoutedConfig, RoutedCore

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


def start_core(snapshot=b""):
    """Return the core of a group of one that leads, with the state of a snapshot."""
    node, rng = "c1#a", np.random.default_rng(1)
    stored = PersistentState()
    if snapshot:
        members = ((node, True),)
        stored = PersistentState(snapshot=Snapshot(20, 1, members, snapshot))
    core = ControlCore(ControlConfig(node, ("c1",)), stored, rng, 0.0)
    if not snapshot:
        core.raft.bootstrap({node: True})
    for tick in range(60):
        work(core, 0.05 * tick)
    return core


def work(core, now_s):
    """Run the work of a control core that is due."""
    core.tick(now_s)
    while not (ready := core.pop_ready()).is_empty:
        core.complete_ready(ready)


def run_group():
    """Return the core of a group of one that has applied the commands."""
    core = start_core()
    for number, cmd in enumerate(commands()):
        request = messages.CommandRequest(number, *encode_body(cmd))
        core.receive("client", request, 3.0 + number * 0.05)
        work(core, 3.0 + number * 0.05)
    return core


def plan_command(with_workspaces=False):
    """Return the command for a plan of two routes."""
    split = (("s", 1.0),)
    routes = tuple(
        Route(f"r{n}", "a.example", f"/{n}/", True, 2.0, 0.5, 1, split)
        for n in range(2)
    )
    plan = Plan(1, routes, (RoutedService("s"),), source=b"{}")
    if not with_workspaces:
        return messages.ApplyPlan("d1", 0, plan)
    from snipebay_model.workspace import Workspace

    workspaces = (Workspace("w", (b"digest",)),)
    plan = attrs.evolve(plan, version=2, workspaces=workspaces)
    return messages.ApplyWorkspacePlan("d2", 1, plan)


def plan_state(with_workspaces):
    """Return a state in which a plan, or then one with workspaces, is in force."""
    state = ControlState()
    for flag in (False, True)[: 1 + with_workspaces]:
        state.apply(*encode_body(plan_command(flag)))
    return state


def describe_plan(plan):
    """Print what a plan holds, as far as both builds know it."""
    if plan is None:
        print("no plan")
        return
    workspaces = len(getattr(plan, "workspaces", ()))
    print(f"version {plan.version} routes {len(plan.routes)} workspaces {workspaces}")


def write_plan(name):
    """Return a plan as a snapshot, as a command or in a reply to an older build."""
    with_workspaces = "workspace-" in name
    if name.startswith("dump"):
        return plan_state(with_workspaces).dump()
    if name.endswith("command"):
        body = messages.CommandRequest(3, *encode_body(plan_command(with_workspaces)))
    else:
        state = plan_state(with_workspaces)
        # The change as it goes to an instance that has the plan before it, if any.
        delta = state.delta(int(with_workspaces), reads_plan_patches=True)
        body = messages.RenewReply("c1", True, delta=delta)
    return encode(Envelope("e-1", body))


def read_plan(name, raw):
    """Print the plan that results from what a build has written."""
    if name == "load-plan":
        describe_plan(ControlState.from_dump(raw).plan)
        return
    body = decode(raw).body
    if name == "view":
        old = View(1, plan=plan_command().plan) if body.delta.base else View()
        describe_plan(old.apply(body.delta).plan)
        return
    state = plan_state(False) if b"ApplyWorkspacePlan" in raw else ControlState()
    try:
        state.apply(body.kind, body.data)
    except CodecError as exc:
        print(exc)
    else:
        describe_plan(state.plan)


def make_entry(controls=("c2", "c3", "c4", "c5", "c1")):
    """Return the core of an entry instance."""
    row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
    return RoutedCore(RoutedConfig(row), controls)


def next_renewal(entry, now_s):
    """Return the next renewal that an entry instance sends."""
    entry.tick(now_s)
    return next(
        action
        for action in entry.pop_actions()
        if isinstance(getattr(action, "body", None), messages.Renew)
    )


def make_statements():
    """Return what an entry and a control instance send about themselves."""
    renew = next_renewal(make_entry(), 1.0).body
    raft = ControlCore(
        ControlConfig("c1#a", ("c1",)),
        PersistentState(),
        np.random.default_rng(1),
        0.0,
    ).raft
    raft.bootstrap({"c1#a": True, "c2#a": True})
    raft.step("c2#a", messages.AppendRequest(1, 0, 0, 0, 1))
    ((_, reply),) = raft.pop_ready().messages
    frames = [encode(Envelope("x", body)) for body in (renew, reply)]
    return msgspec.msgpack.encode(frames)


def read_statements(raw):
    """Print what both say about workspaces, None if this build has no such field."""
    bodies = [decode(frame).body for frame in msgspec.msgpack.decode(raw)]
    print(*(getattr(body, "reads_workspaces", None) for body in bodies))


def make_credit_messages():
    """Return the messages on quotas and loads, with what this build can say in them."""
    row = EntryRow("e0", "x", "10.0.0.1:80", "e0", "a", "a-1")
    bodies = [messages.Renew(row, 5, 1, 1), messages.RenewReply("c1", True)]
    if hasattr(messages, "CreditRequest"):
        report = messages.CreditReport("w", 3, 2, 1.5, 2.0, held=1)
        part = messages.CreditPart("w", 1.5, 2.0)
        bodies = [
            attrs.evolve(bodies[0], credit_reports=(report,), reports_all_credit=True),
            attrs.evolve(bodies[1], credit_parts=(part,)),
            messages.CreditRequest(1, "w", 2, 1, 1, 1),
            messages.CreditReply(1, "w", 2, spare=1),
            messages.LoadNews((messages.LoadRow("i-1", 5, 3, 120, 40),)),
        ]
    frames = [encode(Envelope("x", body)) for body in bodies]
    return msgspec.msgpack.encode(frames)


def read_credit_messages(raw):
    """Print the kinds of the messages, with what this build knows of quotas in them."""
    found = []
    for frame in msgspec.msgpack.decode(raw):
        try:
            body = decode(frame).body
        except CodecError as exc:
            found.append(str(exc))
            continue
        rows = getattr(body, "credit_reports", getattr(body, "credit_parts", ()))
        found.append(f"{type(body).__name__} {len(rows)}")
    print(", ".join(found))


def withdrawal():
    """Return a withdrawal, with all that this build can say in it."""
    names = {field.name for field in attrs.fields(messages.RemoveBackend)}
    values = {"born_ms": 5} if "born_ms" in names else {}
    return messages.RemoveBackend("i-1", messages.WITHDRAWN, **values)


def apply_withdrawal(raw):
    """Print the state after a withdrawal that was sent as a command."""
    state = ControlState()
    for cmd in commands()[1:3]:
        state.apply(*encode_body(cmd))
    request = decode(raw).body
    state.apply(request.kind, request.data)
    print(request.base_index, end=" ")
    describe(state)


def withdraw_late(snapshot):
    """Print the outcome of a withdrawal older than the registrations in a snapshot."""
    core = start_core(snapshot)
    cmd = attrs.evolve(withdrawal(), backend_id="i-2")
    if hasattr(cmd, "born_ms"):
        cmd = attrs.evolve(cmd, born_ms=4)
    request = messages.CommandRequest(3, *encode_body(cmd), base_index=0)
    core.receive("client", request, 3.0)
    work(core, 3.0)
    (reply,) = (body for to, body in core.pop_messages() if to == "client")
    print(reply.outcome.code, sorted(core.state.backends))


def leader_messages(name):
    """Return what a leader sends, unasked or as a reply, to an entry instance."""
    entry = make_entry()
    core = start_core()
    if name == "reply":
        renewal = next_renewal(entry, 1.0).body
        # The reply to the second one has changes for the instance, which is known then.
        for now_s in (3.0, 3.25):
            core.receive(entry.row.entry_id, renewal, now_s)
            work(core, now_s)
    else:
        core.state.apply(*encode_body(messages.PutEntry(entry.row)))
    work(core, 3.5)
    bodies = [body for to, body in core.pop_messages() if to == entry.row.entry_id]
    frames = [encode(Envelope("c1#a", body)) for body in bodies]
    return msgspec.msgpack.encode(frames)


def follow_leader(raw):
    """Print whom an entry instance asks before and after the messages of a leader."""
    entry = make_entry()
    print(next_renewal(entry, 1.0).target, end=" ")
    for frame in msgspec.msgpack.decode(raw):
        envelope = decode(frame)
        entry.receive(envelope.sender, envelope.body, 1.1)
    print(next_renewal(entry, 2.0).target)


def incarnations():
    """Return encoded commands about incarnations that follow each other or are late."""
    rng = np.random.default_rng(1)
    rows = [
        BackendRow("i-1", "s", "10.0.0.1:80", "a", "a-1", 4, born_ms=born, sequence=n)
        for born, n in rng.integers(1, 6, size=(200, 2)).tolist()
    ]
    log = [
        messages.PutBackend(row) if rng.random() < 0.7 else withdrawal() for row in rows
    ]
    return msgspec.msgpack.encode([encode_body(cmd) for cmd in log])


def replay(raw):
    """Print the outcome codes and the state of a log."""
    state = ControlState()
    codes = [state.apply(*row).code for row in msgspec.msgpack.decode(raw)]
    print(codes, state.revision, state.backends, state.registry.tombstones)


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
    elif name == "withdrawal":
        request = messages.CommandRequest(3, *encode_body(withdrawal()), base_index=7)
        sys.stdout.buffer.write(encode(Envelope("e-1", request)))
    elif name == "withdraw":
        apply_withdrawal(raw[0])
    elif name == "withdraw-late":
        withdraw_late(raw[0])
    elif name in ("announcement", "reply"):
        sys.stdout.buffer.write(leader_messages(name))
    elif name == "follow":
        follow_leader(raw[0])
    elif name == "log":
        sys.stdout.buffer.write(incarnations())
    elif name == "replay":
        replay(raw[0])
    elif name in ("load-plan", "apply", "view"):
        read_plan(name, raw[0])
    elif name == "statements":
        sys.stdout.buffer.write(make_statements())
    elif name == "read-statements":
        read_statements(raw[0])
    elif name == "credits":
        sys.stdout.buffer.write(make_credit_messages())
    elif name == "read-credits":
        read_credit_messages(raw[0])
    elif "plan" in name:
        sys.stdout.buffer.write(write_plan(name))
    else:
        raise ValueError(f"no command {name!r}")


if __name__ == "__main__":
    main(*sys.argv[1:])
