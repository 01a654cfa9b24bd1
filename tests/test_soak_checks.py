"""The checks of a soak find broken rules, and its stand-ins keep work and gangs."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from typing import Any

from jacinthloom_wire.http_client import HttpClient

from testkit.hosted.worker import CHECKPOINT_S, GangRegistry, Run, WorkerStandIn
from testkit.soak.checks import find_violations
from testkit.soak.observations import (
    Observations,
    PlannedStop,
    UnansweredCall,
)
from testkit.soak.workloads import BATCHES, GANGS, find_gang_size, saves_checkpoints

ENDS_AT = 9.0


class ChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observations = Observations()
        self.worker = WorkerStandIn("w1")
        self.job = GANGS.make_job(random.Random(1), "key")
        self.job.accepted_at = 1.0
        self.job.states.append((ENDS_AT + 1, "", "completed"))
        self.observations.job_by_id[self.job.id] = self.job

    def add_runs(self, began_at: float, ended_at: float) -> None:
        for task in self.job.list_tasks():
            run = Run(task, 1, self.worker, self.job.body["spec"], began_at)
            run.kind, run.ended_at = "done", ended_at
            self.worker.runs.append(run)

    def find_rules(self) -> set[str]:
        found = find_violations(self.observations, [self.worker])
        return {violation.partition(":")[0] for violation in found}

    # Guards against starts beyond the capacity of a worker that nobody reports.
    def test_start_beyond_capacity_is_found(self) -> None:
        self.add_runs(2.0, ENDS_AT)
        self.assertEqual(self.find_rules(), {"CAPACITY"})

    # Guards against false reports of starts that follow the end of another run.
    def test_capacity_that_becomes_free_may_be_used(self) -> None:
        self.add_runs(2.0, ENDS_AT)
        for number, run in enumerate(self.worker.runs):
            run.began_at, run.ended_at = 2.0 + number, 3.0 + number
        self.assertEqual(self.find_rules(), set())

    # Guards against a job that was refused for a shortage and runs nevertheless.
    def test_start_of_refused_job_is_found(self) -> None:
        self.worker.capacity = {"cpu": 90_000, "memMb": 9_000, "gpu": 0}
        self.add_runs(2.0, ENDS_AT)
        self.job.accepted_at, self.job.refused_attempts = 0.0, 2
        self.assertEqual(self.find_rules(), {"REFUSED"})

    # Guards against preempted tasks that are forgotten.
    def test_preempted_task_that_is_never_done_is_found(self) -> None:
        self.worker.capacity = {"cpu": 90_000, "memMb": 9_000, "gpu": 0}
        self.add_runs(2.0, ENDS_AT)
        stopped = self.worker.runs[0]
        stopped.kind = "stopped"
        self.observations.preempted.append(stopped.task)
        self.assertEqual(self.find_rules(), {"PREEMPTED", "MIXED"})


class StopChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observations = Observations()
        self.observations.stops.append(PlannedStop("ip1", 10.0, 12.2))
        self.observations.add_disturbance("ip1", 10.0, 12.2, is_planned=True)

    def find_losses(self, ip: str, sent_at: float, ended_at: float) -> list[str]:
        call = UnansweredCall(ip, "GET", "/checks/1", sent_at, ended_at)
        self.observations.unanswered_calls = [call]
        return find_violations(self.observations, [])

    # Guards against a soak that passes while stopped processes cut off calls.
    def test_call_without_an_answer_from_a_stopped_process_is_found(self) -> None:
        (loss,) = self.find_losses("ip1", 11.0, 12.2)
        self.assertTrue(loss.startswith("LOST: GET /checks/1 at ip1"), loss)

    def test_calls_that_were_hardly_read_or_given_up_are_not_counted(self) -> None:
        self.assertEqual(self.find_losses("ip1", 12.1, 12.2), [])
        self.assertEqual(self.find_losses("ip1", 8.1, 12.2), [])
        self.assertEqual(self.find_losses("ip2", 11.0, 12.2), [])

    # Guards against losses that are reported since the soak itself did not run.
    def test_time_in_which_the_soak_stood_still_does_not_count(self) -> None:
        self.observations.stalls.add(11.0, 11.9)
        self.assertEqual(self.find_losses("ip1", 11.0, 12.05), [])
        self.assertEqual(len(self.find_losses("ip1", 11.0, 12.2)), 1)

    def test_stop_beside_a_fault_of_the_process_is_not_counted(self) -> None:
        self.observations.add_disturbance("ip1", 7.0, 9.0, is_planned=False)
        self.assertEqual(self.find_losses("ip1", 11.0, 12.2), [])


class WorkloadWorkerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        gangs = GangRegistry(find_gang_size)
        self.workers = [
            WorkerStandIn(
                f"w{number}",
                run_s=30.0,
                saves_checkpoints=saves_checkpoints,
                gangs=gangs,
            )
            for number in range(2)
        ]
        for worker in self.workers:
            await worker.start()

    async def asyncTearDown(self) -> None:
        for worker in self.workers:
            await worker.close()

    async def call(self, worker: WorkerStandIn, path: str, **fields: Any) -> Any:
        client = HttpClient(worker.address)
        body = {"fencingToken": 1, "deadlineMs": 90_000, **fields}
        headers = (("X-Jacinthloom-Expect-Instance", worker.id),)
        response = await client.request(
            "POST", path, json.dumps(body).encode(), headers, 2.0
        )
        client.close()
        return json.loads(response.body)

    async def start(
        self, worker: WorkerStandIn, task: str, payload: str, run: int = 1, **rest: str
    ) -> Run:
        await self.call(worker, "/run-start", task=task, run=run, spec=payload, **rest)
        return worker.runs[-1]

    # Guards against stand-ins that lose the work of preempted runs, or repeat none.
    async def test_stopped_run_resumes_from_its_checkpoint(self) -> None:
        worker = self.workers[0]
        payload = f"{BATCHES.name} 1 x"
        stopped = await self.start(worker, "j.0.0.0", payload)
        await asyncio.sleep(1.2 * CHECKPOINT_S)
        await self.call(worker, "/run-stop", task="j.0.0.0", run=1)
        await asyncio.sleep(0.15)
        answer = await self.call(worker, "/hold", ackCursor=0)
        self.assertEqual(answer["endedRuns"][0][3:], ["stopped", stopped.checkpoint])
        saved_s = float(stopped.checkpoint)
        self.assertGreaterEqual(saved_s, CHECKPOINT_S)
        self.assertLessEqual(saved_s, stopped.ended_at - stopped.began_at)
        resumed = await self.start(
            worker, "j.0.0.0", payload, run=2, checkpoint=stopped.checkpoint
        )
        self.assertEqual(resumed.resumed_s, saved_s)

    # Guards against gangs of which a part works on or is done without the others.
    async def test_gang_begins_and_breaks_as_a_whole(self) -> None:
        payload = f"{GANGS.name} 2 x"
        first = await self.start(self.workers[0], "j.0.0.0", payload)
        self.assertEqual(first.work_began_at, 0.0)
        second = await self.start(self.workers[1], "j.0.0.1", payload)
        self.assertGreater(first.work_began_at, 0.0)
        await self.workers[0].crash()
        self.assertEqual((first.kind, second.kind), ("lost", "broken"))


if __name__ == "__main__":
    unittest.main()
