"""The leading process is killed while an early occurrence of a job still waits."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import run_case  # noqa: E402
from standins.deployment import Deployment, Record  # noqa: E402

FILLER = "00000000000000f1"
JOB = "00000000000000a1"
CPU = 64_000
"""Thousandths of a core: all of a worker."""

WORKERS = 4
OCCURRENCES = 3
PERIOD_S = 4.0
FIRST_DUE_S = 2.0
FIRST_FREE_S = 7.0
"""Seconds after which one worker is free: occurrence 1 has just become due."""

ALL_FREE_S = 18.0
RUN_S = 6.0
KILL_S = 9.0


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case."""
    began_at = 0.0

    def find_run_time(task: str) -> float:
        if task.startswith(JOB):
            return RUN_S
        is_first = task.endswith(".0")
        end = began_at + (FIRST_FREE_S if is_first else ALL_FREE_S)
        return max(0.5, end - time.monotonic())

    deployment = Deployment(record, find_run_time, WORKERS)
    try:
        await deployment.start()
        began_at = time.monotonic()
        filler = {"count": WORKERS, "cpu": CPU, "memMb": 100, "estRuntimeMs": 15_000}
        await deployment.submit(FILLER, [filler])
        step = {"count": 1, "cpu": CPU, "memMb": 100, "estRuntimeMs": 2000}
        await deployment.submit(
            JOB,
            [step],
            startAtMs=int((time.time() + FIRST_DUE_S) * 1000),
            periodMs=int(PERIOD_S * 1000),
            repeatCount=OCCURRENCES,
        )
        await asyncio.sleep(max(0.0, began_at + KILL_S - time.monotonic()))
        if has_trouble:
            deployment.kill(deployment.find_leader())
        state = await deployment.wait_for_state(JOB, "completed", 60.0)
        await asyncio.sleep(5.0)
        return _judge(deployment, state)
    finally:
        await deployment.stop()


def _judge(deployment: Deployment, state: str) -> list[str]:
    record = deployment.record
    done = set()
    for worker in deployment.workers:
        for run in worker.runs:
            record.write(
                f"{run.task} run {run.run} on {run.worker}:"
                f" {record.seconds(run.began_at):.3f} to"
                f" {record.seconds(run.ended_at):.3f}, {run.how or 'still runs'}"
            )
            if run.how == "done":
                done.add(run.task)
    if state != "completed":
        return [f"LOST: the accepted job {JOB} is never completed: {state}"]
    tasks = [f"{JOB}.{occurrence}.0.0" for occurrence in range(OCCURRENCES)]
    missing = [task for task in tasks if task not in done]
    return (
        [f"MIXED: {JOB} is shown as completed, but never ran {missing}"]
        if missing
        else []
    )


if __name__ == "__main__":
    run_case(play, FOLDER)
