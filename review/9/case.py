"""The only worker that may run a service crashes a few times, and then stays up."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from pathlib import Path

from standins2.fleet import Fleet

FOLDER = Path(__file__).resolve().parent
JOB = "0b00000000000001"
STEP = {
    "count": 1,
    "cpu": 2000,
    "memMb": 2048,
    "estRuntimeMs": 1000,
    "longRunning": True,
    "constraints": "b",
}

WORKERS = {f"i-a{number}": ["a", f"r1-{number}"] for number in range(9)} | {
    "i-b0": ["b", "r2-0"]
}

CRASHES = 4

DOWN_S = 2.0
"""Seconds for which the worker is down after each crash."""

UP_S = 3.0
"""Seconds of work after which it crashes again."""

OBSERVED_S = 30.0
"""Seconds that follow the last crash."""


async def crash_repeatedly(fleet: Fleet) -> None:
    """Let the worker with the label crash whenever it has worked for a while."""
    worker = fleet.workers[-1]
    for _ in range(CRASHES):
        if not await fleet.wait_until(lambda: bool(fleet.find_hosts(JOB)), 20):
            break
        await asyncio.sleep(UP_S)
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await fleet.restart_worker(worker)
    fleet.write("the worker stays up from now on")


async def play(fleet: Fleet, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    await fleet.start(WORKERS)
    await fleet.submit(JOB, "serve", STEP)
    if not await fleet.wait_until(lambda: bool(fleet.find_hosts(JOB)), 15):
        raise RuntimeError("the task was never started")
    if has_trouble:
        await crash_repeatedly(fleet)
    await asyncio.sleep(OBSERVED_S)
    state = await fleet.read_state(JOB)
    is_at_work = bool(fleet.find_hosts(JOB))
    fleet.write(
        f"the job is shown as {state!r}; its task is {'' if is_at_work else 'not '}"
        "running; no run of it has ended as failed"
    )
    return is_at_work and state not in ("failed", "cancelled")


async def main() -> int:
    """Play the case; return the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = Fleet(FOLDER, 3)
    try:
        async with asyncio.timeout(105):
            held = await play(fleet, has_trouble)
    except Exception:
        fleet.write(traceback.format_exc())
        return 2
    else:
        fleet.write("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    finally:
        await fleet.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
