"""Options, exit codes, input and output that commands share."""

import json
import os
import sys
from typing import Annotated

import attrs
from cyclopts import Parameter
from snipebay_model.settings import parse_settings

from snipebay_cli.client import OperatorClient

__all__ = [
    "COMMON",
    "EXIT_FINDINGS",
    "EXIT_MISSING",
    "EXIT_OK",
    "EXIT_TIMEOUT",
    "EXIT_USAGE",
    "Common",
    "fail",
    "print_result",
    "read_tree",
]

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_MISSING = 4
EXIT_UNREACHABLE = 5
EXIT_REFUSED = 6
EXIT_TIMEOUT = 7
EXIT_CODES = {
    "invalid": EXIT_FINDINGS,
    "conflict": EXIT_CONFLICT,
    "missing": EXIT_MISSING,
    "unreachable": EXIT_UNREACHABLE,
    "timeout": EXIT_TIMEOUT,
}


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


def print_result(common, document, text):
    """Print a result as text, or as JSON if that was requested."""
    print(json.dumps(document) if common.json else text)


def fail(common, error):
    """Print an error and return its exit code."""
    if common.json:
        print(json.dumps(attrs.asdict(error)))
    else:
        print(f"{error.code}: {error.detail}", file=sys.stderr)
    return EXIT_CODES.get(error.code, EXIT_REFUSED)


def read_tree(file):
    """Return the result of parsing a settings file; exit when it can't be read."""
    try:
        return parse_settings(file.read_text(), str(file))
    except (OSError, UnicodeDecodeError) as exc:
        print(f"{file}: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
