"""Run test modules in this process, and say what they gave."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from io import StringIO


@dataclass(frozen=True)
class ModuleResult:
    """What the tests of one group of modules gave."""

    run: int
    skipped: int
    broken: tuple[str, ...]
    output: str


def run_group(names: tuple[str, ...]) -> ModuleResult:
    """Run some modules one after another."""
    suite = unittest.TestLoader().loadTestsFromNames(list(names))
    output = StringIO()
    result = unittest.TextTestRunner(output, verbosity=1).run(suite)
    failures = result.failures + result.errors
    broken = sorted({test.id().partition(" (")[0] for test, _ in failures})
    text = output.getvalue() if broken else ""
    return ModuleResult(result.testsRun, len(result.skipped), tuple(broken), text)
