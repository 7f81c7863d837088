"""The operators' command line."""

import contextlib
import getpass
import io
import itertools
import json
import os
import pathlib
import sys
import time
import uuid
from typing import Annotated

import attrs
import cyclopts
import msgspec
from cyclopts import Parameter
from returns.result import Success
from ruamel.yaml import YAML
from snipebay_model.settings import parse_settings

from snipebay_cli.client import ApiError, OperatorClient
from snipebay_cli.explain import explain_request
from snipebay_cli.render import (
    diff_lines,
    render_backends,
    render_explain,
    render_status,
    render_table,
)

__all__ = ["main"]

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_MISSING = 4
EXIT_UNREACHABLE = 5
EXIT_REFUSED = 6
EXIT_CODES = {
    "invalid": EXIT_FINDINGS,
    "conflict": EXIT_CONFLICT,
    "missing": EXIT_MISSING,
    "unreachable": EXIT_UNREACHABLE,
}
WATCH_S = 1.0
HELP = """Steers traffic through a tree of settings.

Every command reads the addresses of instances from ``--instances`` or
``SNIPEBAY_INSTANCES`` (``host:port``, separated by commas), tries them in
order, and takes ``--json``. The operator token comes from ``SNIPEBAY_TOKEN``.

Exit codes: 0 done, 1 findings in the settings, 2 wrong usage, 3 conflict with
another change, 4 no such thing, 5 no instance answered, 6 refused.
"""

app = cyclopts.App(name="snipebay", help=HELP)
app.register_install_completion_command()


@Parameter(name="*")
@attrs.frozen
class Common:
    """Options of every command.

    Attributes:
        instances: Addresses of entry instances, separated by commas.
        json: Print JSON.
    """

    instances: str = os.environ.get("SNIPEBAY_INSTANCES", "127.0.0.1:8080")
    json: Annotated[bool, Parameter(negative=())] = False

    @property
    def client(self):
        addresses = tuple(self.instances.split(","))
        return OperatorClient(addresses, os.environ.get("SNIPEBAY_TOKEN", ""))


COMMON = Common()


@app.command
def check(file: pathlib.Path, *, common: Common = COMMON):
    """Check a settings tree without sending it anywhere.

    Args:
        file: Settings tree in YAML.
        common: Options of every command.
    """
    result = _read_tree(file)
    if isinstance(result, Success):
        _print(common, {"findings": []}, f"{file}: good")
        return EXIT_OK
    rows = result.failure().rows
    _print(
        common,
        {"findings": [attrs.asdict(row) for row in rows]},
        "\n".join(map(str, rows)),
    )
    return EXIT_FINDINGS


@app.command
def apply(
    file: pathlib.Path,
    *,
    base: int | None = None,
    change_id: str = "",
    note: str = "",
    dry_run: Annotated[bool, Parameter(negative=())] = False,
    wait: bool = True,
    common: Common = COMMON,
):
    """Put a settings tree in force, and wait until it is everywhere.

    Send the same change id again when an answer was lost: it is applied once.

    Args:
        file: Settings tree in YAML.
        base: Settings revision that the tree was made from; by default the
            current one, which overwrites what others did since you read it.
        change_id: Id of the change, made up when not given.
        note: Why.
        dry_run: Only check and show the difference.
        wait: Wait until the change is in force everywhere.
        common: Options of every command.
    """
    if isinstance(_read_tree(file), Success):
        return _apply_text(
            common, file.read_text(), base, change_id, note, dry_run, wait
        )
    return check(file, common=common)


@app.command
def get(path: str = "", *, common: Common = COMMON):
    """Show the settings in force, or the part at a path such as ``services.x``.

    Args:
        path: Place in the tree.
        common: Options of every command.
    """
    result = common.client.current()
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    change = result.unwrap()
    if not path and not common.json:
        print(f"# settings revision {change.revision}\n{change.text}", end="")
        return EXIT_OK
    part = YAML(typ="safe").load(change.text)
    for key in path.split(".") if path else ():
        if not isinstance(part, dict) or key not in part:
            return _fail(common, _missing(f"no {path!r} in the settings"))
        part = part[key]
    document = {"revision": change.revision, "value": part}
    _print(common, document, json.dumps(part, indent=2))
    return EXIT_OK


@app.command
def explain(service: str, logs: tuple[str, ...] = (), *, common: Common = COMMON):
    """Explain where requests of a service go, or what became of one request.

    Args:
        service: Name of the service; with logs, id of the request.
        logs: Log files of instances to look the request up in, /dev/stdin for
            standard input.
        common: Options of every command.
    """
    if logs:
        return _explain_request(common, service, logs)
    result = common.client.current()
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    tree = parse_settings(result.unwrap().text).unwrap()
    if service not in tree.services:
        return _fail(common, _missing(f"unknown service {service!r}"))
    routing = common.client.explain(service).value_or(None)
    rules = {k: attrs.asdict(v) for k, v in tree.explain(service).items()}
    _print(
        common,
        {"rules": rules, "routing": routing},
        render_explain(service, tree, routing),
    )
    return EXIT_OK


@app.command
def history(*, common: Common = COMMON):
    """Show the accepted changes.

    Args:
        common: Options of every command.
    """
    result = common.client.history()
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    changes = result.unwrap()
    table = render_table(
        ["REVISION", "CHANGE", "AUTHOR", "NOTE"],
        [(c.revision, c.change_id, c.author, c.note) for c in changes],
    )
    _print(common, msgspec.to_builtins(changes), table)
    return EXIT_OK


@app.command
def status(*, common: Common = COMMON):
    """Show instances, leader, and the oldest revision in force anywhere.

    Args:
        common: Options of every command.
    """
    return _show_status(common, render_status)


@app.command
def backends(*, common: Common = COMMON):
    """Show the backend servers.

    Args:
        common: Options of every command.
    """
    return _show_status(common, render_backends)


@app.command
def drain(backend: str, *, wait: bool = True, common: Common = COMMON):
    """Give a backend server no new work, and wait until it has none left.

    Args:
        backend: Its id.
        wait: Wait until it is drained.
        common: Options of every command.
    """
    result = common.client.hold(backend, True, uuid.uuid4().hex)
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    if wait:
        _wait(common, lambda s: backend in s.drained)
    _print(common, result.unwrap(), f"{backend}: {'drained' if wait else 'draining'}")
    return EXIT_OK


@app.command
def undrain(backend: str, *, common: Common = COMMON):
    """Give a drained backend server work again.

    Args:
        backend: Its id.
        common: Options of every command.
    """
    result = common.client.hold(backend, False, uuid.uuid4().hex)
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    _print(common, result.unwrap(), f"{backend}: serving")
    return EXIT_OK


@app.command
def forget(entry: str, *, common: Common = COMMON):
    """Remove an entry instance that will not come back.

    Its slots go to the others of its region, so make sure that it is off.

    Args:
        entry: Its id.
        common: Options of every command.
    """
    found = common.client.status()
    if not isinstance(found, Success):
        return _fail(common, found.failure())
    rows = [e.row for e in found.unwrap().entries if e.row.entry_id == entry]
    if not rows:
        return _fail(common, _missing(f"no entry instance {entry!r}"))
    result = common.client.forget(entry, rows[0].incarnation)
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    _print(common, result.unwrap(), f"{entry}: forgotten")
    return EXIT_OK


@app.command
def shift(
    service: str,
    source: str,
    target: str,
    share: float,
    *,
    note: str = "",
    common: Common = COMMON,
):
    """Move a share of a service's traffic to another region, 0 to move it back.

    Args:
        service: Name of the service.
        source: Region that gives traffic away.
        target: Region that takes it.
        share: Share from 0 to the service's ``shift_cap``.
        note: Why.
        common: Options of every command.
    """
    result = common.client.current()
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    current = result.unwrap()
    text = _with_shift(current.text, service, source, target, share)
    return _apply_text(common, text, current.revision, "", note, False, True)


@app.command
def watch(*, common: Common = COMMON):
    """Show the status again and again until interrupted.

    Args:
        common: Options of every command.
    """
    while True:
        status(common=common)
        if not common.json:
            print()
        time.sleep(WATCH_S)


# --- shared ---------------------------------------------------------------


def _explain_request(common, request, logs):
    """Print what became of a request, and return the exit code."""
    try:
        with contextlib.ExitStack() as stack:
            files = [stack.enter_context(open(name)) for name in logs]
            found = explain_request(request, itertools.chain.from_iterable(files))
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    except LookupError as exc:
        print(exc.args[0], file=sys.stderr)
        return EXIT_MISSING
    lines = [json.dumps(row) for row in found.lines]
    if found.skipped:
        lines.append(f"{found.skipped} lines could not be read")
    text = "\n".join([*lines, f"{found.request}: {found.cause}"])
    _print(common, attrs.asdict(found), text)
    return EXIT_OK


def _read_tree(file):
    """Return the checked tree in a file, or exit when it can't be read."""
    try:
        return parse_settings(file.read_text(), str(file))
    except (OSError, UnicodeDecodeError) as exc:
        print(f"{file}: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _apply_text(common, text, base, change_id, note, dry_run, wait):
    """Apply a settings text and return the exit code."""
    found = common.client.settings()
    if not isinstance(found, Success):
        return _fail(common, found.failure())
    old = found.unwrap()
    current = old[0].revision if old else 0
    difference = diff_lines(old[0].text if old else "", text)
    if dry_run:
        _print(common, {"diff": difference, "base": current}, difference or "no change")
        return EXIT_OK
    change_id = change_id or uuid.uuid4().hex
    base = current if base is None else base
    result = common.client.apply(change_id, base, getpass.getuser(), text, note)
    if not isinstance(result, Success):
        if not common.json:
            print(f"change id {change_id}", file=sys.stderr)
        return _fail(common, result.failure())
    outcome = result.unwrap() | {"change_id": change_id}
    line = f"revision {outcome['revision']} accepted"
    if wait:
        start_s = time.monotonic()
        _wait(common, lambda s: s.in_force >= outcome["revision"])
        outcome["in_force_s"] = round(time.monotonic() - start_s, 3)
        line += f", in force everywhere after {outcome['in_force_s']} s"
    _print(common, outcome, f"{difference}\n{line}" if difference else line)
    return EXIT_OK


def _with_shift(text, service, source, target, share):
    """Return a settings text with one shift set or taken out."""
    yaml = YAML()
    # Lines that the operator wrote stay as they are, so that the diff is short.
    yaml.width = 4_096
    yaml.indent(mapping=2, sequence=4, offset=2)
    tree = yaml.load(text)
    shifts = [
        row
        for row in tree.get("shifts") or []
        if (row["service"], row["source"], row["target"]) != (service, source, target)
    ]
    if share:
        shifts.append(
            {"service": service, "source": source, "target": target, "share": share}
        )
    tree["shifts"] = shifts
    stream = io.StringIO()
    yaml.dump(tree, stream)
    return stream.getvalue()


def _wait(common, condition):
    """Wait until the status meets a condition."""
    while True:
        found = common.client.status()
        if isinstance(found, Success) and condition(found.unwrap()):
            return
        time.sleep(0.1)


def _show_status(common, render):
    result = common.client.status()
    if not isinstance(result, Success):
        return _fail(common, result.failure())
    found = result.unwrap()
    _print(common, msgspec.to_builtins(found), render(found))
    return EXIT_OK


def _missing(detail):
    return ApiError("missing", detail)


def _print(common, document, text):
    print(json.dumps(document) if common.json else text)


def _fail(common, error):
    """Print an error and return its exit code."""
    if common.json:
        print(json.dumps(attrs.asdict(error)))
    else:
        print(f"{error.code}: {error.detail}", file=sys.stderr)
    return EXIT_CODES.get(error.code, EXIT_REFUSED)


def main():
    """Run from the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
