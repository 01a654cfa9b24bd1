"""A cancel that is acknowledged before it is stored, and a planner killed after it."""

from __future__ import annotations

import asyncio
import sys
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
from review.standins3.slow_link import SlowLink
from testkit.hosted.worker import WorkerStandIn

JOB = "5c0e7a21d94b36f8"
STEPS = 5
RUN_S = 3.0
SLOW_CALL_S = 0.24
"""Seconds that a call to the slow store takes: 60 times the usual 4 ms."""

SLOW_S = 4.5
FIRST_CANCEL_S = 0.1
"""Seconds after the submission at which the client, without an answer, cancels."""

BUDGET_S = 0.4
"""Seconds for which the client waits for the answer to its first cancel."""

CANCEL_S = 3.0
"""Seconds after a cancel's acknowledgement from which no task may start."""

CONTACT_S = 3.0
"""Seconds after a disruption from which machines are in touch."""


class Worker(WorkerStandIn):
    """A worker with a usual capacity."""

    def __init__(self, name: str) -> None:
        super().__init__(name, run_s=RUN_S)
        self.capacity = {"cpu": 32000, "memMb": 65536, "gpu": 0}


async def run_case(record: Record) -> int:
    """Run the case and return the exit code."""
    loop = asyncio.get_running_loop()
    link = SlowLink()
    fleet = Fleet(record, 3, [Worker(f"i-{n}") for n in range(4)], link=link)
    try:
        await fleet.start()
        await asyncio.sleep(3.0)
        planner = await fleet.find_planner()
        entry = next(ip for ip in fleet.ips if ip != planner)
        if is_troubled():
            link.delay_s = SLOW_CALL_S
            record.write(f"the store is slow: {SLOW_CALL_S * 1000:.0f} ms a call")
        slow_until = loop.time() + SLOW_S
        await asyncio.sleep(1.0)
        step = {"cpu": 1000, "memMb": 256, "count": 2, "estRuntimeMs": 3000}
        steps = [step | ({"after": [n - 1]} if n else {}) for n in range(STEPS)]
        body = {"spec": "work", "steps": steps}
        submission = asyncio.create_task(fleet.call(entry, "POST", JOB, body))
        await asyncio.sleep(FIRST_CANCEL_S)
        response = await fleet.call(entry, "DELETE", JOB, timeout_s=BUDGET_S)
        if response is None or response.status in (502, 504):
            response = await fleet.call(entry, "DELETE", JOB)
        acknowledged_at = loop.time()
        if response is None or response.status not in (200, 410):
            return NOT_RUN
        if is_troubled():
            record.write(f"kill -9 of the process that has acknowledged, {planner}")
            fleet.kill(planner)
            await asyncio.sleep(0.5)
            fleet.start_process(planner)
            record.write(f"{planner} starts again")
        await submission
        await asyncio.sleep(max(0.0, slow_until - loop.time()))
        if is_troubled():
            link.delay_s = 0.0
            record.write("the store is fast again")
        calm_at = loop.time()
        for _ in range(8):
            await asyncio.sleep(2.0)
            await fleet.get_state(entry, JOB)
        fleet.write_runs(JOB)
        judged_from = max(acknowledged_at + CANCEL_S, calm_at + CONTACT_S)
        late = [r for w in fleet.workers for r in w.runs if r.began_at > judged_from]
        record.write(
            f"cancel acknowledged at {record.measure_s(acknowledged_at):.3f} s; "
            f"machines in touch from {record.measure_s(calm_at + CONTACT_S):.3f} s; "
            f"{len(late)} tasks started after both bounds"
        )
        if late:
            record.write("UNASKED is broken: tasks of a cancelled job are started")
            return BROKEN
        return HELD
    finally:
        await fleet.close()


if __name__ == "__main__":
    sys.exit(execute(run_case, Path(__file__).parent))
