"""Calls on a host that is stopping: each is answered, and none waits in vain."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any, cast
from unittest import mock

from jacinthloom_core.planner.election import Term
from jacinthloom_daemon.hosted import clock, messages, planner_client
from jacinthloom_daemon.hosted.client_handler import ClientHandler
from jacinthloom_daemon.hosted.planned_stop import PlannedStop
from jacinthloom_daemon.hosted.planner_client import (
    NoPlannerError,
    PlannerClient,
    UnansweredError,
)

from tests.test_planner_streams import FakePlanner, Member

SHOW = messages.Show(0, "a" * 16)
BUDGET_S = 30.0


class SilentPlanner(FakePlanner):
    """A planner that responds to no call."""

    async def call(self, message: Any) -> messages.Answer:
        await asyncio.Event().wait()
        raise AssertionError


class TimeOfStopTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that is killed while it drains, since its grace time is
    # shorter than the drain.
    def test_all_of_a_stop_fits_into_any_grace_time(self) -> None:
        for grace_s in (0.2, 1.0, 3.0, 6.0):
            with self.subTest(grace_s=grace_s):
                began_at = clock.now()
                stop = PlannedStop(grace_s)
                stop.begin()
                self.assertLess(began_at, stop.respond_by)
                self.assertLess(stop.respond_by, stop.exit_at)
                self.assertLess(stop.exit_at, began_at + grace_s)

    # Guards against a process that is killed, since a second SIGTERM gave it more time.
    def test_repeated_signal_does_not_postpone_the_exit(self) -> None:
        stop = PlannedStop(6.0)
        stop.begin()
        exit_at = stop.exit_at
        with mock.patch.object(clock, "now", return_value=clock.now() + 2.0):
            stop.begin()
        self.assertEqual(stop.exit_at, exit_at)

    def test_process_that_is_not_stopping_has_no_limits(self) -> None:
        stop = PlannedStop(6.0)
        self.assertFalse(stop.has_begun)
        self.assertEqual(stop.compute_response_time_s(), float("inf"))


class StoppingHostTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.member = Member("m0")
        self.client: PlannerClient = self.member.planner_client
        self.stop = PlannedStop(6.0)
        self.handler = ClientHandler(cast("Any", None), self.client, self.stop)

    def plan_with(self, planner: FakePlanner) -> None:
        self.client.set_local_planner(cast("Any", planner))

    def begin_call(self, budget_s: float = BUDGET_S) -> asyncio.Task[messages.Answer]:
        return asyncio.create_task(self.handler._call_planner(SHOW, budget_s))

    def begin_stop(self) -> None:
        self.stop.begin()
        self.client.begin_stop()

    async def get_answer(self, call: asyncio.Task[messages.Answer]) -> messages.Answer:
        async with asyncio.timeout(1):
            return await call

    # Guards against a connection that is closed without an answer: the process ended
    # while the call waited for a planner (review/9).
    async def test_call_that_waits_for_a_planner_is_refused_before_the_exit(
        self,
    ) -> None:
        call = self.begin_call()
        await asyncio.sleep(0.01)
        self.begin_stop()
        self.client.close()
        answer = await self.get_answer(call)
        self.assertEqual((answer.status, answer.retry_after_s), (503, 1))
        self.assertIn("this host is stopping", answer.reason)
        self.assertEqual(self.handler.stop_counters, {"refused": 1})

    # Guards against the same for a call that the planner has, with seconds left: it may
    # run, so that the answer must not be taken for a refusal.
    async def test_outcome_of_a_call_that_was_sent_is_unknown_at_the_exit(self) -> None:
        self.plan_with(SilentPlanner(self.member.address))
        call = self.begin_call()
        await asyncio.sleep(0.01)
        self.begin_stop()
        self.client.close()
        answer = await self.get_answer(call)
        self.assertEqual((answer.status, answer.retry_after_s), (504, 0))
        self.assertIn("this host is stopping", answer.reason)
        self.assertEqual(self.handler.stop_counters, {"unknown": 1})

    async def test_call_after_the_last_responses_is_refused_at_once(self) -> None:
        self.plan_with(FakePlanner(self.member.address))
        self.begin_stop()
        self.client.close()
        answer = await self.get_answer(self.begin_call())
        self.assertEqual(answer.status, 503)

    async def test_stopping_host_serves_calls_while_there_is_a_planner(self) -> None:
        self.plan_with(FakePlanner(self.member.address))
        self.begin_stop()
        answer = await self.get_answer(self.begin_call())
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.handler.stop_counters, {})

    # Guards against a call that is refused although the successor of a planner that was
    # stopped could serve it.
    async def test_stopping_host_waits_for_the_successor_of_its_planner(self) -> None:
        planner = SilentPlanner(self.member.address)
        self.plan_with(planner)
        self.begin_stop()
        planner.ended.set()
        call = self.begin_call()
        await asyncio.sleep(0.05)
        self.plan_with(FakePlanner(self.member.address))
        self.assertEqual((await self.get_answer(call)).status, 200)

    # Guards against calls that wait on a host that leaves and has no planner: each
    # waited as long as an election takes, though one had had the time for it.
    async def test_stopping_host_without_a_planner_refuses_at_once(self) -> None:
        self.begin_stop()
        with mock.patch.object(planner_client, "NOT_READY_AFTER_S", 0.5):
            first, second = self.begin_call(), self.begin_call()
            began_at = time.monotonic()
            self.assertEqual((await self.get_answer(first)).status, 503)
            self.assertEqual((await self.get_answer(second)).status, 503)
            waited_s = time.monotonic() - began_at
            began_at = time.monotonic()
            self.assertEqual((await self.get_answer(self.begin_call())).status, 503)
        self.assertLess(time.monotonic() - began_at, 0.2)
        self.assertGreater(waited_s, 0.2)

    async def test_no_call_waits_if_no_planner_is_expected(self) -> None:
        planner = FakePlanner(self.member.address)
        self.plan_with(planner)
        self.client.expect_no_planner()
        self.assertEqual((await self.get_answer(self.begin_call())).status, 200)
        planner.ended.set()
        self.assertEqual((await self.get_answer(self.begin_call())).status, 503)

    async def test_calls_wait_again_once_another_member_has_claimed(self) -> None:
        self.client.expect_no_planner()
        self.client.set_term(Term(7, "m0", self.member.address))
        call = self.begin_call()
        await asyncio.sleep(0.05)
        self.plan_with(FakePlanner(self.member.address))
        self.assertEqual((await self.get_answer(call)).status, 200)


class EndedPlannerTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a call that counts as sent although the planner has ignored it, as
    # it had ended: its caller was told that the outcome is unknown.
    async def test_call_to_a_planner_that_has_ended_was_not_sent(self) -> None:
        client = Member("m0").planner_client
        planner = SilentPlanner("")
        client.set_local_planner(cast("Any", planner))
        with self.assertRaises(UnansweredError):
            await client.call(SHOW, 0.05, 0.05)
        planner.ended.set()
        with self.assertRaises(NoPlannerError):
            await client.call(SHOW, 0.05, 0.05)


if __name__ == "__main__":
    unittest.main()
