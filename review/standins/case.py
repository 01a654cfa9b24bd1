"""Runs one case, and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .deployment import CannotRunError, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 115.0

Case = Callable[[Record, bool], Awaitable[list[str]]]
"""Plays the case with or without the disruption; returns how the rule was broken."""


def run_case(case: Case, folder: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if not run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"with the disruption: {'yes' if has_trouble else 'no'}")
    try:
        breaches = asyncio.run(_limit(case, record, has_trouble))
    except CannotRunError as error:
        record.write(f"the case could not run: {error}")
        print(f"not run: {error}")
        sys.exit(NOT_RUN)
    except asyncio.CancelledError:
        record.write("the case could not run: it was told to end")
        sys.exit(NOT_RUN)
    except Exception:
        record.write("the case could not run:\n" + traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.write(f"BROKEN: {breach}")
        print(f"broken: {breach}")
    if not breaches:
        record.write("the rule held")
        print("held")
    sys.exit(BROKEN if breaches else HELD)


async def _limit(case: Case, record: Record, has_trouble: bool) -> list[str]:
    """Play a case; a signal cancels it, so that it ends the processes it started."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            return await case(record, has_trouble)
    except TimeoutError as error:
        raise CannotRunError("the case took too long") from error
