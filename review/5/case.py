"""A zone is evacuated while the successor of a killed process loads its records."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.case import run_case  # noqa: E402
from standins.deployment import Deployment, Record  # noqa: E402

ZONE = "z1"
WORKERS = 6
SLOW = 45.0
SLOW_S = 4.5
EVACUATE_S = 5.0
"""``bounds.evacuateMs``."""

STRETCH_S = 5.0
"""``bounds.stretchMaxMs``, allowed for in full."""

OBSERVED_S = 20.0
PAUSE_S = 0.5


async def play(record: Record, has_trouble: bool) -> list[str]:
    """Play the case."""
    deployment = Deployment(record, lambda task: 1.0, WORKERS)
    store = deployment.store
    acknowledged_at = 0.0

    async def evacuate() -> None:
        """Ask for the evacuation; the answer of the store acknowledges it."""
        nonlocal acknowledged_at
        if not acknowledged_at:
            await store.put("keyed.op", f"evacuate/{ZONE}", b"{}")
            acknowledged_at = time.monotonic()
            record.write(f"op/evacuate/{ZONE}: acknowledged")

    try:
        await deployment.start()
        traffic = asyncio.create_task(_hand_in(deployment))
        await asyncio.sleep(2.0)
        if has_trouble:
            record.write(f"answers of the store take {SLOW:g} times as long")
            store.slowness = SLOW
            store.on_fenced = evacuate
            await asyncio.sleep(1.0)
            deployment.kill(deployment.find_leader())
            await asyncio.sleep(SLOW_S - 1.0)
            store.slowness = 1.0
            store.on_fenced = None
            record.write("the store is as fast as usual")
        await evacuate()
        await asyncio.sleep(OBSERVED_S)
        traffic.cancel()
        return _judge(deployment, acknowledged_at)
    finally:
        await deployment.stop()


async def _hand_in(deployment: Deployment) -> None:
    """Hand in a job twice a second: together they keep most of the workers busy."""
    step: dict[str, object] = {
        "count": 10,
        "cpu": 16_000,
        "memMb": 100,
        "estRuntimeMs": 1000,
    }
    number = 0
    while True:
        number += 1
        await deployment.submit(f"{number:016x}", [step])
        await asyncio.sleep(PAUSE_S)


def _judge(deployment: Deployment, acknowledged_at: float) -> list[str]:
    record = deployment.record
    until = acknowledged_at + EVACUATE_S + STRETCH_S
    late = []
    for worker in deployment.workers:
        starts = [run for run in worker.runs if run.began_at > until]
        record.write(
            f"{worker.id} in {worker.zone}: {len(worker.runs)} starts, {len(starts)} of"
            f" them later than {EVACUATE_S + STRETCH_S:g} s after the evacuation"
        )
        if worker.zone == ZONE:
            late += starts
    for front in deployment.fronts:
        for event in ("planner_ready", "zones_out"):
            for row in deployment.read_log(front, event):
                fields = {k: v for k, v in row.items() if k not in ("level", "records")}
                record.write(f"log of {front}: {fields}")
    if not late:
        return []
    first = min(late, key=lambda run: run.began_at)
    return [
        f"EVAC: {len(late)} starts in {ZONE}, the first of them {first.task} at"
        f" {record.seconds(first.began_at):.3f}; the evacuation was acknowledged at"
        f" {record.seconds(acknowledged_at):.3f}"
    ]


if __name__ == "__main__":
    run_case(play, FOLDER)
