"""Runs all tests, a process for each module, and closes with the counts."""

import concurrent.futures
import importlib.util
import logging
import os
import pathlib
import sys
import time
import unittest

import attrs
import cyclopts
import structlog

__all__ = ["main"]

KNOWN_RED = "KNOWN-RED.txt"
app = cyclopts.App(help=__doc__)


@attrs.frozen
class ModuleResult:
    """What the tests of one module led to."""

    path: str
    ran: int
    failures: tuple
    seconds: float


class _Result(unittest.TextTestResult):
    """Counts each failed test once, also when several of its subtests fail."""

    @property
    def failed_ids(self):
        rows = [*self.failures, *self.errors]
        rows += [(test, "unexpected success") for test in self.unexpectedSuccesses]
        found = {}
        for test, report in rows:
            test = getattr(test, "test_case", test)
            found.setdefault(test.id(), report)
        return found


def run_module(path):
    """Return the result of one test module."""
    start_s = time.monotonic()
    # Lines on faults that tests make on purpose would bury the result.
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    name = pathlib.Path(path).stem
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
        suite = unittest.defaultTestLoader.loadTestsFromModule(module)
    except Exception as exc:
        return ModuleResult(path, 1, ((f"{name}.load", repr(exc)),), 0.0)
    with open(os.devnull, "w") as sink:
        runner = unittest.TextTestRunner(sink, resultclass=_Result)
        result = runner.run(suite)
    failures = tuple(result.failed_ids.items())
    seconds = time.monotonic() - start_s
    return ModuleResult(path, result.testsRun, failures, seconds)


def read_known_red(path):
    """Return the test ids listed as known to fail, one at each line's start."""
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {
        line.split()[0].rstrip(":")
        for line in lines
        if line.strip() and not line.startswith(("#", " "))
    }


@app.default
def run(pattern: str = "", *, jobs: int = 4, root: pathlib.Path = pathlib.Path(".")):
    """Run the tests of all packages.

    Args:
        pattern: Run only modules whose path contains this.
        jobs: Modules run at once.
        root: Folder of the workspace.
    """
    paths = sorted(
        str(path)
        for folder in ("packages/*", "platform")
        for path in root.glob(f"{folder}/tests/test_*.py")
        if pattern in str(path)
    )
    known_red = read_known_red(root / KNOWN_RED)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = list(pool.map(run_module, paths))
    for result in results:
        print(f"{result.ran:4} tests {result.seconds:7.1f} s  {result.path}")
    failures = [failure for result in results for failure in result.failures]
    for test_id, report in failures:
        mark = "known to fail" if test_id in known_red else "FAILED"
        print(f"\n{mark}: {test_id}\n{report}")
    new = [test_id for test_id, _ in failures if test_id not in known_red]
    old = [test_id for test_id, _ in failures if test_id in known_red]
    for test_id in old:
        print(f"known to fail, passed over: {test_id}")
    ran = sum(result.ran for result in results)
    passed = ran - len(failures)
    if old:
        print(f"{len(old)} known to fail")
    print(f"{passed} passed, {len(new)} failed")
    return 1 if new or not passed else 0


def main():
    """Run from the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
