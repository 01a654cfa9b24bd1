"""Another writer leaves an entry among those of the workers."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import run_case  # noqa: E402
from standins.deployment import Deployment, Record  # noqa: E402

JOBS = [f"{number:016x}" for number in range(1, 6)]
TASKS = 8
RUN_S = 2.0
FINISH_S = 14.0
"""``bounds.finish_s``."""

FOREIGN_ENTRY = {
    "service": "billing",
    "address": "http://127.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 64_000, "memMb": 131_072, "gpu": 0},
    "labels": ["a", "r1-1"],
    "clockMs": 1,
    "seq": 1,
    "born": 1,
}
"""An entry of a service that the configuration does not name, with a URL as address."""

IDLE_S = 3.0
"""Seconds for which an accepted job may have nothing running, by the rule."""


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case."""
    deployment = Deployment(record, lambda task: RUN_S)
    try:
        await deployment.start()
        first = {"count": TASKS // 2, "cpu": 8000, "memMb": 100, "estRuntimeMs": 2000}
        steps: list[dict[str, object]] = [first, first | {"after": [0]}]
        accepted = [job for job in JOBS if await deployment.submit(job, steps)]
        await asyncio.sleep(0.5)
        if has_trouble:
            value = json.dumps(FOREIGN_ENTRY).encode()
            record.write(f"servers/i-other: {value.decode()}")
            await deployment.store.put("keyed.servers", "i-other", value)
        await asyncio.sleep(FINISH_S)
        return await _judge(deployment, accepted)
    finally:
        await deployment.stop()


async def _judge(deployment: Deployment, accepted: list[str]) -> list[str]:
    record = deployment.record
    lost = []
    runs = [run for worker in deployment.workers for run in worker.runs]
    for job in accepted:
        answer = await deployment.show(job)
        own = [run for run in runs if run.task.startswith(job)]
        done = sum(run.how == "done" for run in own)
        idle_s = time.monotonic() - max((run.ended_at for run in own), default=0.0)
        record.write(
            f"GET {job}: {answer}; {done} of {TASKS} tasks are done,"
            f" and nothing has run for {idle_s:.1f} s"
        )
        if answer != "completed" and idle_s > IDLE_S:
            lost.append(job)
    for front in deployment.fronts:
        rows = deployment.read_log(front, "planner_failed")
        record.write(f"log of {front}: planner_failed {len(rows)} times")
        for row in rows[:1]:
            record.write(str(row["exception"]).splitlines()[-1])
    if not lost:
        return []
    return [f"LOST: {len(lost)} of {len(accepted)} accepted jobs don't go on: {lost}"]


if __name__ == "__main__":
    run_case(play, FOLDER)
