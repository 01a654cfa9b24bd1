"""Run test modules in this process and summarize their results."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from io import StringIO


@dataclass(frozen=True)
class GroupResult:
    """Results of the tests of one group of modules.

    :param failed: ids of the tests that failed or raised an error
    :param output: report of the test runner; empty if no test failed
    """

    run: int
    skipped: int
    failed: tuple[str, ...]
    output: str


def run_group(names: tuple[str, ...]) -> GroupResult:
    """Run the named modules one after another."""
    suite = unittest.TestLoader().loadTestsFromNames(list(names))
    output = StringIO()
    result = unittest.TextTestRunner(output, verbosity=1).run(suite)
    failures = result.failures + result.errors
    failed = sorted({test.id().partition(" (")[0] for test, _ in failures})
    text = output.getvalue() if failed else ""
    return GroupResult(result.testsRun, len(result.skipped), tuple(failed), text)
