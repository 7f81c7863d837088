"""Checks the invariants under random faults, with more seeds than the tests use."""

import concurrent.futures
import sys

import cyclopts

from snipebay_testbed.invariants import run_seed

__all__ = ["main", "run_seeds"]

app = cyclopts.App(help=__doc__)


def run_seeds(seeds, jobs):
    """Yield the report of each seed, in order of the seeds.

    Args:
        seeds: Random seeds of the runs.
        jobs: Number of runs in parallel.
    """
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        yield from pool.map(run_seed, seeds)


@app.default
def run(*, seeds: int = 1_000, first: int = 0, jobs: int = 6):
    """Run consecutive seeds and print those that violate an invariant.

    Args:
        seeds: Number of seeds.
        first: First seed; with ``--seeds 1`` this repeats a single run.
        jobs: Number of runs in parallel.
    """
    failed_count = 0
    for report in run_seeds(range(first, first + seeds), jobs):
        if seeds == 1 or report.violations:
            print(f"seed {report.seed}: {report.faults}")
            print(f"  outcomes: {dict(report.outcome_counts)}")
        for violation in report.violations:
            print(f"  VIOLATED: {violation}")
        if report.violations:
            failed_count += 1
            print(
                "  repeat: python -m snipebay_testbed.soak --seeds 1 "
                f"--first {report.seed}"
            )
    print(f"{seeds - failed_count} seeds kept all invariants, {failed_count} did not")
    return 1 if failed_count else 0


def main():
    """Run the command-line interface."""
    sys.exit(app())


if __name__ == "__main__":
    main()
