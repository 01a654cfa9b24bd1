"""Many small tasks end on one worker while the store is down."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import run_case  # noqa: E402
from standins.checks import find_second_runs  # noqa: E402
from standins.deployment import Deployment, Record  # noqa: E402

JOBS = 12
TASKS = 52
CPU = 100
"""Thousandths of a core of one task: 624 tasks fit on a worker of 64 cores."""

END_SPREAD_S = 2.0
OUTAGE_S = 4.5


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case."""
    ends_at = 0.0

    def find_run_time(task: str) -> float:
        """Let the tasks end one after the other, from ``ends_at`` on."""
        number = int(task[:16], 16) * TASKS + int(task.rsplit(".", 1)[1])
        end = ends_at + END_SPREAD_S * number / (JOBS * TASKS)
        return max(1.0, end - time.monotonic())

    deployment = Deployment(record, find_run_time)
    try:
        await deployment.start()
        ends_at = time.monotonic() + 12.0
        jobs = [f"{number:016x}" for number in range(JOBS)]
        step = {"count": TASKS, "cpu": CPU, "memMb": 50, "estRuntimeMs": 9000}
        for job in jobs:
            await deployment.submit(job, [step])
            await asyncio.sleep(0.25)
        await asyncio.sleep(max(0.0, ends_at - 0.3 - time.monotonic()))
        if has_trouble:
            record.write(f"the store answers 503 for {OUTAGE_S} s")
            deployment.store.is_down = True
            await asyncio.sleep(OUTAGE_S)
            deployment.store.is_down = False
            record.write("the store serves again")
        for job in jobs:
            await deployment.wait_for_state(job, "completed", 25.0)
        await asyncio.sleep(2.0)
        return _judge(deployment)
    finally:
        await deployment.stop()


def _judge(deployment: Deployment) -> list[str]:
    record = deployment.record
    for worker in deployment.workers:
        starts = len(worker.runs)
        record.write(
            f"{worker.id}: {starts} starts, {len(worker.lapses)} lapsed leases"
        )
    pairs = find_second_runs(deployment.workers)
    breaches = []
    for earlier, later in pairs:
        text = (
            f"{earlier.task} run {earlier.run} on {earlier.worker} ended {earlier.how}"
            f" at {record.seconds(earlier.ended_at):.3f}, noted at"
            f" {record.seconds(earlier.noted_at):.3f}; run {later.run} on"
            f" {later.worker} began at {record.seconds(later.began_at):.3f}"
        )
        record.write(text)
        breaches.append(text)
    return (
        [f"TWICE: {len(breaches)} tasks, the first: {breaches[0]}"] if breaches else []
    )


if __name__ == "__main__":
    run_case(play, FOLDER)
