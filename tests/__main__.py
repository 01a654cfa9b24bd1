"""Run every test; failures listed in KNOWN-RED.txt are printed but do not fail the run.

Modules run in parallel, each in its own process, so that their results do not affect
each other. Modules that start entry processes run one after another, because these
processes share the ports and processors of the machine.
"""

from __future__ import annotations

import multiprocessing
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from .module_runs import run_group

ROOT = Path(__file__).parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"

PROCESS_MODULES = (
    "tests.test_golden",
    "tests.test_hosted_processes",
    "tests.test_operations_page",
    "tests.test_process_faults",
    "tests.test_soak",
    "tests.test_thin_path",
    "tests.test_worker_process_restarts",
)
"""Modules that start entry processes, in the order in which they run."""

RESERVED_PROCESSORS = 2
"""Processors reserved for the entry processes that tests start."""


def load_known_failures() -> set[str]:
    """Return the ids of known failing tests: the first word of each entry."""
    if not KNOWN_FAILURES_PATH.exists():
        return set()
    lines = KNOWN_FAILURES_PATH.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def find_modules() -> list[str]:
    """Return the names of all test modules, sorted by path."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def make_groups(names: list[str]) -> list[tuple[str, ...]]:
    """Group the modules that run in one process; the slowest group comes first."""
    sequential = tuple(name for name in PROCESS_MODULES if name in names)
    others = [(name,) for name in names if name not in sequential]
    return ([sequential] if sequential else []) + others


def main() -> int:
    groups = make_groups(sys.argv[1:] or find_modules())
    workers = max(1, (os.cpu_count() or 1) - RESERVED_PROCESSORS)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        results = list(pool.map(run_group, groups))
    for result in results:
        sys.stderr.write(result.output)
    known = load_known_failures()
    failed = sorted(name for result in results for name in result.failed)
    known_failures = [name for name in failed if name in known]
    new_failures = [name for name in failed if name not in known]
    for name in known_failures:
        print(f"known red: {name}")
    for name in new_failures:
        print(f"failed: {name}")
    run = sum(result.run for result in results)
    skipped = sum(result.skipped for result in results)
    passed = run - len(failed) - skipped
    print(
        f"{passed} passed, {len(new_failures)} failed, "
        f"{skipped + len(known_failures)} skipped"
    )
    return 1 if new_failures or run == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
