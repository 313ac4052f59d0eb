"""Run the soak test by hand: ``python -m soak [--length S] [--folder DIR] SEED...``."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from soak.run import run_seed


def main() -> int:
    """Run the seeds one after the other, and return the exit status."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument(
        "seeds", type=int, nargs="*", help="seeds to run (default: new ones)"
    )
    parser.add_argument(
        "--fresh", type=int, default=5, help="number of new seeds if none are given"
    )
    parser.add_argument(
        "--length",
        type=float,
        default=12.0,
        help="seconds in which faults are injected",
    )
    parser.add_argument("--folder", type=Path, default=Path("target/soak"))
    options = parser.parse_args()
    first = int(time.time())
    seeds = options.seeds or range(first, first + options.fresh)
    failed_count = 0
    for seed in seeds:
        result = run_seed(seed, options.length, options.folder / str(seed))
        failures = result.violations + result.exceeded_bounds
        failed_count += bool(failures)
        print(
            f"seed {seed}: {'failed' if failures else 'passed'}, "
            f"{result.fault_count} faults, "
            f"{result.answered_count} of {result.request_count} requests answered",
            flush=True,
        )
        for line in failures[:20]:
            print(f"  {line}", flush=True)
    print(f"{len(seeds) - failed_count} passed, {failed_count} failed", flush=True)
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
