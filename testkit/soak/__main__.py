"""Run soaks by hand: ``python -m testkit.soak --seeds 1-50 --processes 6``."""

from __future__ import annotations

import argparse
import asyncio
import sys

from .soak import SoakSettings, run_soak
from .workloads import LONGEST_RUN_S


def main() -> int:
    """Run the seeds one after the other; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m testkit.soak")
    parser.add_argument("--seeds", default="1", help="a number, or a range as 1-50")
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--workers", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--series", type=int, default=3)
    parser.add_argument("--clients", type=int, default=12)
    parser.add_argument("--kinds", default="", help="kinds of faults, with commas")
    parser.add_argument("--packages", default="", help="folder of another build")
    parser.add_argument("--longest-run", type=float, default=LONGEST_RUN_S)
    parser.add_argument("--logs", help="folder for the logs of the processes")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    broken = 0
    for seed in range(int(first), int(last or first) + 1):
        settings = SoakSettings(
            seed,
            arguments.processes,
            arguments.workers,
            arguments.seconds,
            arguments.series,
            arguments.clients,
            arguments.packages,
            tuple(kind for kind in arguments.kinds.split(",") if kind),
            arguments.longest_run,
        )
        result = asyncio.run(run_soak(settings, arguments.logs))
        broken += bool(result.violations)
        print(f"seed {seed}: {result}", flush=True)
        for violation in result.violations:
            print(f"  {violation}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
