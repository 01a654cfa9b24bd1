"""Orders for one life of a worker do not reach the next one under the same name."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from jacinthloom_core.planner.effects import PollWorker, Start
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.specs import TaskId
from jacinthloom_daemon.platform import worker_client
from jacinthloom_daemon.platform.errors import UnavailableError
from jacinthloom_daemon.platform.schemas import format_task
from jacinthloom_daemon.platform.worker_client import WorkerClient

from testkit.hosted.proxy import LinkProxy
from testkit.hosted.worker import FIRST_AGE_S, WorkerStandIn

TASK = TaskId("a" * 16, 0, 0, 0)
OTHER_TASK = TaskId("a" * 16, 0, 0, 1)
AGE_MS = int(FIRST_AGE_S * 1000)
"""Clock of the former life when it is first started."""

FAR_MS = 2 * AGE_MS
"""Deadline by the clock of the former life."""


class OrderRecipientsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.worker = WorkerStandIn("w1", run_s=5.0)
        await self.worker.start()
        self.proxy = LinkProxy(self.worker.address)
        self.client = WorkerClient("w1", await self.proxy.start())
        self.former = self.worker.born

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.proxy.close()
        await self.worker.close()

    async def restart(self) -> None:
        await self.worker.crash()
        await self.worker.restart()
        self.worker.born = self.former + 700_000

    async def start(self, incarnation: int, deadline_ms: int) -> StartOutcome:
        start = Start(
            "w1", "", 1, incarnation, TASK, 1, "spec", "", "", deadline_ms=deadline_ms
        )
        return await self.client.start(start)

    def make_poll(self, incarnation: int, cursor: int, deadline_ms: int) -> PollWorker:
        return PollWorker("w1", "", 1, incarnation, cursor, 0.0, deadline_ms)

    # Guards against a run whose lease outlasts what the planner counts, since its start
    # was meant for the former life, and has a deadline by the clock of that life.
    async def test_start_for_a_former_life_is_not_carried_out(self) -> None:
        await self.restart()
        outcome = await self.start(self.former, FAR_MS)
        self.assertEqual(outcome, StartOutcome.OTHER_INCARNATION)
        self.assertEqual(self.worker.started, [])
        self.assertEqual(self.worker.renewals, [])
        outcome = await self.start(self.worker.born, 6_000)
        self.assertEqual(outcome, StartOutcome.STARTED)

    # Guards against the same on connections that were open before the worker crashed,
    # and whose other end has said nothing since.
    async def test_connection_to_a_former_life_does_not_lead_to_the_next(self) -> None:
        self.assertEqual(
            await self.start(self.former, AGE_MS + 6_000), StartOutcome.STARTED
        )
        self.proxy.stall()
        await self.restart()
        outcome = await self.start(self.former, FAR_MS)
        self.assertIn(outcome, (StartOutcome.UNKNOWN, StartOutcome.OTHER_INCARNATION))
        outcome = await self.start(self.former, FAR_MS)
        self.assertEqual(outcome, StartOutcome.OTHER_INCARNATION)
        self.assertEqual(self.worker.renewals[1:], [])

    # Guards against ends that are acknowledged unseen, and against a lease by the clock
    # of a former life.
    async def test_poll_for_a_former_life_only_reads_the_lists_of_the_next(
        self,
    ) -> None:
        await self.restart()
        self.assertEqual(
            await self.start(self.worker.born, 6_000), StartOutcome.STARTED
        )
        self.worker.finish(format_task(TASK))
        renewals = list(self.worker.renewals)
        response = await self.client.hold(self.make_poll(self.former, 9, FAR_MS))
        self.assertEqual(response.incarnation, self.worker.born)
        self.assertEqual(self.worker.renewals, renewals)
        response = await self.client.hold(self.make_poll(0, 0, 0))
        self.assertEqual([end.task for end in response.ends], [TASK])

    async def test_poll_of_a_life_renews_its_lease_and_acknowledges_its_ends(
        self,
    ) -> None:
        self.assertEqual(
            await self.start(self.former, AGE_MS + 1_000), StartOutcome.STARTED
        )
        self.worker.finish(format_task(TASK))
        response = await self.client.hold(
            self.make_poll(self.former, 1, AGE_MS + 6_000)
        )
        self.assertEqual(response.ends, ())
        self.assertEqual(len(self.worker.renewals), 2)

    # Guards against further calls for each order: only new connections cost one.
    async def test_connection_identifies_itself_once(self) -> None:
        for _ in range(3):
            await self.client.hold(self.make_poll(self.former, 0, AGE_MS + 6_000))
        self.assertEqual(self.worker.hold_count, 4)

    # Guards against a second hold on a connection that has answered one for any life.
    @mock.patch.object(worker_client, "START_TIMEOUT_S", 5.0)
    async def test_answered_hold_identifies_its_connection(self) -> None:
        await self.client.hold(self.make_poll(0, 0, 0))
        outcome = await self.start(self.former, AGE_MS + 6_000)
        self.assertEqual(outcome, StartOutcome.STARTED)
        self.assertEqual(self.worker.hold_count, 1)

    # Guards against a start that reaches the life that has answered such a hold, but is
    # meant for another one.
    @mock.patch.object(worker_client, "START_TIMEOUT_S", 5.0)
    async def test_answered_hold_identifies_its_connection_as_another(self) -> None:
        await self.restart()
        await self.client.hold(self.make_poll(0, 0, 0))
        outcome = await self.start(self.former, FAR_MS)
        self.assertEqual(outcome, StartOutcome.OTHER_INCARNATION)
        self.assertEqual(self.worker.started, [])

    # Guards against a start that counts as possibly carried out, but was not sent.
    async def test_start_is_not_sent_to_a_worker_that_does_not_identify_itself(
        self,
    ) -> None:
        self.proxy.stall()
        self.proxy.cut()
        outcome = await self.start(self.former, AGE_MS + 6_000)
        self.assertEqual(outcome, StartOutcome.NOT_SENT)
        with self.assertRaises(UnavailableError) as caught:
            await self.client.hold(self.make_poll(self.former, 0, AGE_MS + 6_000))
        self.assertFalse(caught.exception.is_outcome_unknown)
        self.proxy.heal()


class JoinedPathTest(unittest.IsolatedAsyncioTestCase):
    """A path keeps connections when the process behind it ends, and joins the next."""

    async def asyncSetUp(self) -> None:
        self.worker = WorkerStandIn("w1", run_s=5.0)
        await self.worker.start()
        self.proxy = LinkProxy(self.worker.address, joins_lives=True)
        self.client = WorkerClient("w1", await self.proxy.start())
        self.former = self.worker.born
        order = Start(
            "w1", "", 1, self.former, TASK, 1, "", "", "", FAR_MS, AGE_MS - 1_000
        )
        self.assertEqual(await self.client.start(order), StartOutcome.STARTED)
        await self.worker.crash()
        await self.worker.restart()
        await asyncio.sleep(0.2)
        self.order = replace(order, task=OTHER_TASK)

    async def asyncTearDown(self) -> None:
        self.client.close()
        await self.proxy.close()
        await self.worker.close()

    # Guards against a planner that takes a run of the next life for one of the former
    # life, whose lease it counts: the identification of a connection is void here.
    async def test_answer_of_the_next_life_is_told_by_its_clock(self) -> None:
        outcome = await self.client.start(self.order)
        self.assertEqual(
            self.worker.started[1:], [(format_task(OTHER_TASK), 1)], "not joined"
        )
        self.assertEqual(outcome, StartOutcome.ANSWERED_BY_OTHER)
        lease_ms = self.worker._deadline_ms - self.worker._clock_ms
        self.assertGreater(lease_ms, 9_000)

    # Guards against the same by a refusal: the order may have renewed the lease.
    async def test_refusal_of_the_next_life_is_told_by_its_clock(self) -> None:
        await self.client.start(replace(self.order, run=2))
        outcome = await self.client.start(self.order)
        self.assertEqual([run for _, run in self.worker.started[1:]], [2])
        self.assertEqual(outcome, StartOutcome.ANSWERED_BY_OTHER)

    # Guards against a start that follows a poll which another life than the intended
    # one has answered, on the connection that it has answered on.
    async def test_poll_that_the_next_life_answers_identifies_its_connection(
        self,
    ) -> None:
        poll = PollWorker("w1", "", 1, self.former, 0, 0.0, 0)
        answered = await self.client.hold(poll)
        self.assertEqual(answered.incarnation, self.worker.born)
        outcome = await self.client.start(self.order)
        self.assertEqual(outcome, StartOutcome.OTHER_INCARNATION)
        self.assertEqual(self.worker.started[1:], [])

    # Guards against a life that is taken for another one, as its clock is slow.
    async def test_answer_of_the_intended_life_counts(self) -> None:
        born, clock_ms = self.worker.born, self.worker._clock_ms
        own = replace(self.order, incarnation=born, least_clock_ms=clock_ms)
        client = WorkerClient("w1", self.worker.address)
        self.addCleanup(client.close)
        self.assertEqual(await client.start(own), StartOutcome.STARTED)


if __name__ == "__main__":
    unittest.main()
