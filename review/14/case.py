"""Jobs of many steps, after which no planner keeps its term."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from review.standins3.fleet import (
    BROKEN,
    HELD,
    NOT_RUN,
    Fleet,
    Record,
    execute,
    is_troubled,
)
from testkit.hosted.worker import WorkerStandIn

LARGE_JOBS = [f"{number:016x}" for number in range(0x100, 0x100 + 7)]
STEPS = 700
"""Steps of one task each; without the disruption, one step of as many tasks."""

SMALL_JOBS = [f"{number:016x}" for number in range(0x10, 0x18)]
RUN_S = 2.0
ATTEMPTS = 5
FINISH_S = 14.0
WATCHED_S = 6.0

IDLE_S = 3.0
"""Seconds for which accepted jobs may have nothing running on idle workers."""


class Worker(WorkerStandIn):
    """A worker with a usual capacity."""

    def __init__(self, name: str) -> None:
        super().__init__(name, run_s=RUN_S)
        self.capacity = {"cpu": 32000, "memMb": 65536, "gpu": 0}


async def submit(fleet: Fleet, job: str, steps: list[dict[str, object]]) -> bool:
    """Submit a job, again at another process if need be; return if it is accepted."""
    for attempt in range(ATTEMPTS):
        ip = fleet.ips[attempt % len(fleet.ips)]
        response = await fleet.call(ip, "POST", job, {"spec": "work", "steps": steps})
        if response is not None and response.status == 200:
            return True
        if response is not None and response.status < 500:
            return False
        await asyncio.sleep(0.5)
    return False


async def run_case(record: Record) -> int:
    """Run the case and return the exit code."""
    fleet = Fleet(record, 3, [Worker(f"i-{n}") for n in range(8)])
    try:
        await fleet.start()
        task: dict[str, object] = {"cpu": 8000, "memMb": 512, "estRuntimeMs": 2000}
        large = [task | {"count": 1} for _ in range(STEPS)]
        if not is_troubled():
            large = [task | {"count": STEPS}]
        began_at = time.monotonic()
        accepted = []
        for job in LARGE_JOBS:
            if time.monotonic() - began_at < 35.0 and await submit(fleet, job, large):
                accepted.append(job)
        for job in SMALL_JOBS:
            small = [task | {"count": 2}]
            if time.monotonic() - began_at < 45.0 and await submit(fleet, job, small):
                accepted.append(job)
        record.write(f"the traffic ends; {len(accepted)} jobs are accepted")
        if not accepted:
            return NOT_RUN
        await asyncio.sleep(FINISH_S)
        longest_s, idle_since = 0.0, time.monotonic()
        until = time.monotonic() + WATCHED_S
        while time.monotonic() < until:
            runs = sum(not r.kind for w in fleet.workers for r in w.runs)
            if runs:
                idle_since = time.monotonic()
            longest_s = max(longest_s, time.monotonic() - idle_since)
            await asyncio.sleep(0.05)
        states = [await fleet.get_state(fleet.ips[0], job) for job in accepted[-3:]]
        for job in SMALL_JOBS:
            fleet.write_runs(job)
        done = sum(r.kind == "done" for w in fleet.workers for r in w.runs)
        lapsed = sum(r.kind == "lapsed" for w in fleet.workers for r in w.runs)
        lines = [line for ip in fleet.ips for line in fleet.read_log(ip)]
        terms = sum(line["event"] == "term_begun" for line in lines)
        total = STEPS * len(LARGE_JOBS)
        record.write(
            f"{done} tasks done, {lapsed} lapsed; {terms} terms; states {states}; all "
            f"workers idle for {longest_s:.1f} s of the last {WATCHED_S:.0f} s"
        )
        if longest_s > IDLE_S and done < total:
            record.write("LOST is broken: accepted jobs have nothing running")
            return BROKEN
        return HELD
    finally:
        await fleet.close()


if __name__ == "__main__":
    sys.exit(execute(run_case, Path(__file__).parent))
