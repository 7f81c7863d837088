"""Runs the test modules in parallel processes and prints the total counts."""

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

KNOWN_FAILURES_FILE = "KNOWN-RED.txt"
# They bring processes to the limits of their memory, so they run after all others.
SERIAL_MODULES = ("test_crowds",)
app = cyclopts.App(help=__doc__)


@attrs.frozen
class ModuleResult:
    """Result of one test module.

    Attributes:
        path: Path of the module.
        ran: Number of tests run; 1 when the module failed to load.
        failures: Pairs of test id and report.
        seconds: Wall-clock time; 0 when the module failed to load.
    """

    path: str
    ran: int
    failures: tuple
    seconds: float


class _Result(unittest.TextTestResult):
    """Test result that counts a test with several failed subtests once."""

    @property
    def reports_by_id(self):
        """First report of each failed test, by test id."""
        rows = [*self.failures, *self.errors]
        rows += [(test, "unexpected success") for test in self.unexpectedSuccesses]
        reports = {}
        for test, report in rows:
            test = getattr(test, "test_case", test)
            reports.setdefault(test.id(), report)
        return reports


def run_module(path):
    """Load and run one test module and return its result."""
    start_s = time.monotonic()
    # Tests inject errors, whose log lines would hide the result.
    critical_only = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=critical_only)
    name = pathlib.Path(path).stem
    spec = importlib.util.spec_from_file_location(name, path)
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    try:
        spec.loader.exec_module(module)
        suite = unittest.defaultTestLoader.loadTestsFromModule(module)
    except Exception as exc:
        return ModuleResult(path, 1, ((f"{name}.load", repr(exc)),), 0.0)
    with open(os.devnull, "w") as null_stream:
        runner = unittest.TextTestRunner(null_stream, resultclass=_Result)
        result = runner.run(suite)
    failures = tuple(result.reports_by_id.items())
    seconds = time.monotonic() - start_s
    return ModuleResult(path, result.testsRun, failures, seconds)


def read_known_failures(path):
    """Return the ids of tests that are known to fail.

    Each entry starts with the test id. Empty lines, comments and indented
    continuation lines are skipped. A missing file lists no tests.
    """
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
        jobs: Number of modules run in parallel.
        root: Root directory of the repository.
    """
    paths = sorted(
        str(path)
        for folder in ("packages/*", "platform")
        for path in root.glob(f"{folder}/tests/test_*.py")
        if pattern in str(path)
    )
    known_failures = read_known_failures(root / KNOWN_FAILURES_FILE)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        shared = [p for p in paths if pathlib.Path(p).stem not in SERIAL_MODULES]
        results = list(pool.map(run_module, shared))
        results += [
            pool.submit(run_module, p).result() for p in paths if p not in shared
        ]
    for result in results:
        print(f"{result.ran:4} tests {result.seconds:7.1f} s  {result.path}")
    failures = [failure for result in results for failure in result.failures]
    for test_id, report in failures:
        label = "known to fail" if test_id in known_failures else "FAILED"
        print(f"\n{label}: {test_id}\n{report}")
    unexpected = [test_id for test_id, _ in failures if test_id not in known_failures]
    expected = [test_id for test_id, _ in failures if test_id in known_failures]
    for test_id in expected:
        print(f"known to fail, passed over: {test_id}")
    test_count = sum(result.ran for result in results)
    passed = test_count - len(failures)
    if expected:
        print(f"{len(expected)} known to fail")
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not passed else 0


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
