"""Puts the promises through more seeds than the tests do."""

import concurrent.futures
import sys

import cyclopts

from snipebay_testbed.invariants import run_seed

__all__ = ["main", "run_seeds"]

app = cyclopts.App(help=__doc__)


def run_seeds(seeds, jobs):
    """Yield the report of each seed, in order."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_seed, seeds)


@app.default
def run(*, seeds: int = 1_000, first: int = 0, jobs: int = 6):
    """Run seeds one after the other and print those that broke a promise.

    Args:
        seeds: Number of seeds.
        first: First seed; with ``--seeds 1`` this repeats one run.
        jobs: Runs at once.
    """
    broken = 0
    for report in run_seeds(range(first, first + seeds), jobs):
        if seeds == 1 or report.broken:
            print(f"seed {report.seed}: {report.faults}")
            print(f"  told: {dict(report.told)}")
        for line in report.broken:
            print(f"  BROKEN: {line}")
        if report.broken:
            broken += 1
            print(
                "  repeat: python -m snipebay_testbed.soak --seeds 1 "
                f"--first {report.seed}"
            )
    print(f"{seeds - broken} seeds kept all promises, {broken} did not")
    return 1 if broken else 0


def main():
    """Run from the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
