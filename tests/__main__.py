"""Run every test; pass over the failures that KNOWN-RED.txt names, and print them.

Modules run in parallel, each in a process of its own, so the verdict of one does not
depend on another. Modules that start entry processes run one after another: their
processes share the ports and the processors of the machine.
"""

from __future__ import annotations

import multiprocessing
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from .module_runs import run_group

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

PROCESS_MODULES = (
    "tests.test_golden",
    "tests.test_hosted_processes",
    "tests.test_operations_page",
    "tests.test_process_faults",
    "tests.test_thin_path",
)
"""Modules that start entry processes, in the order in which they run."""

SPARE_PROCESSORS = 2
"""Processors that are left to the entry processes of the tests."""


def load_known_red() -> set[str]:
    """Return the ids of tests with a known fault: the first word of each entry."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.split()[0] for line in lines if line.startswith("tests.")}


def find_modules() -> list[str]:
    """Return the names of all test modules."""
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def make_groups(names: list[str]) -> list[tuple[str, ...]]:
    """Return the modules that run together; the longest group comes first."""
    together = tuple(name for name in PROCESS_MODULES if name in names)
    others = [(name,) for name in names if name not in together]
    return ([together] if together else []) + others


def main() -> int:
    groups = make_groups(sys.argv[1:] or find_modules())
    workers = max(1, (os.cpu_count() or 1) - SPARE_PROCESSORS)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        results = list(pool.map(run_group, groups))
    for result in results:
        sys.stderr.write(result.output)
    known = load_known_red()
    broken = sorted(name for result in results for name in result.broken)
    red = [name for name in broken if name in known]
    new = [name for name in broken if name not in known]
    for name in red:
        print(f"known red: {name}")
    for name in new:
        print(f"failed: {name}")
    run = sum(result.run for result in results)
    skipped = sum(result.skipped for result in results)
    passed = run - len(broken) - skipped
    print(f"{passed} passed, {len(new)} failed, {skipped + len(red)} skipped")
    return 1 if new or run == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
