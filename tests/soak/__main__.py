"""Run the soak by hand: ``python -m soak [--length S] [--folder DIR] SEED...``."""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from soak.run import play


def main() -> int:
    """Run the seeds one after the other, and return the exit status."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", type=int, nargs="*", help="fresh ones if left out")
    parser.add_argument("--fresh", type=int, default=5, help="how many fresh seeds")
    parser.add_argument("--length", type=float, default=12.0, help="seconds of faults")
    parser.add_argument("--folder", type=Path, default=Path("target/soak"))
    options = parser.parse_args()
    first = int(time.time())
    seeds = options.seeds or range(first, first + options.fresh)
    failed = 0
    for seed in seeds:
        verdict = play(seed, options.length, options.folder / str(seed))
        found = verdict.broken + verdict.exceeded
        failed += bool(found)
        print(
            f"seed {seed}: {'red' if found else 'green'}, {verdict.steps} faults, "
            f"{verdict.answered} of {verdict.requests} requests answered",
            flush=True,
        )
        for line in found[:20]:
            print(f"  {line}", flush=True)
    print(f"{len(seeds) - failed} green, {failed} red", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
