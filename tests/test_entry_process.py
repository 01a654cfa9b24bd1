"""Tasks and terms of an entry process."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, cast
from unittest import mock

from jacinthloom_core.planner.election import Term
from jacinthloom_core.planner.rules import Queue, Rules
from jacinthloom_daemon.hosted import process as process_module
from jacinthloom_daemon.hosted.environment import (
    PAST_USE_VARIABLE,
    read_past_use_half_life_s,
)
from jacinthloom_daemon.hosted.planner_runner import PlannerRunner
from jacinthloom_daemon.hosted.planner_server import PlannerServer
from jacinthloom_daemon.hosted.process import EntryProcess
from jacinthloom_daemon.platform import topics
from jacinthloom_daemon.platform.errors import FencedError, SettingsError
from jacinthloom_daemon.platform.log_store import NewestRecords, ReadRecords
from jacinthloom_daemon.platform.node_settings import PATH_VARIABLE, NodeSettings

from .platform_adapter.test_schemas import SETTINGS

NEWER = Rules(7, {"q": Queue("q", "h", "/q/", "pool")})


class SlowStore:
    """A store whose job records can be read only when the test lets them.

    :ivar fence: epoch of the latest producer
    :ivar topics: topic of each append
    """

    def __init__(self) -> None:
        self.fence = 0
        self.loads: list[asyncio.Event] = []
        self.topics: list[str] = []

    async def append(self, topic: str, *args: object, **kwargs: Any) -> int:
        self.topics.append(topic)
        producer = kwargs.get("producer")
        if producer is not None:
            if producer.epoch < self.fence:
                raise FencedError("a later planner has appended")
            self.fence = producer.epoch
        return 0

    async def read_newest(self, topic: str) -> NewestRecords:
        if topic == topics.JOBS:
            load = asyncio.Event()
            self.loads.append(load)
            await load.wait()
        return NewestRecords({}, 0)

    async def read(self, topic: str, start: int, wait_s: float) -> ReadRecords:
        await asyncio.sleep(wait_s)
        return ReadRecords(start, (), start)


class SuspendableMachine:
    """Clocks of a machine that the test suspends and resumes."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self._clock_gettime = time.clock_gettime

    def clock_gettime(self, clock: int) -> float:
        is_counted = clock in (time.CLOCK_BOOTTIME, time.CLOCK_REALTIME)
        return self._clock_gettime(clock) + (self.suspended_s if is_counted else 0.0)


class EnvironmentTest(unittest.TestCase):
    def test_half_life_of_past_usage_is_off_unless_set(self) -> None:
        self.assertEqual(read_past_use_half_life_s({}), 0.0)
        for text, expected in (("0", 0.0), ("60", 60.0), ("7200", 7200.0)):
            value = read_past_use_half_life_s({PAST_USE_VARIABLE: text})
            self.assertEqual(value, expected)

    def test_invalid_half_life_is_an_error(self) -> None:
        for text in ("", "2h", "-1", "59.9", "nan", "inf"):
            with self.subTest(text=text), self.assertRaises(SettingsError) as caught:
                read_past_use_half_life_s({PAST_USE_VARIABLE: text})
            self.assertIn(PAST_USE_VARIABLE, str(caught.exception))

    # Guards against a process that starts with a setting that it does not understand,
    # or that ends with a traceback.
    def test_process_ends_with_a_sentence_if_the_half_life_is_invalid(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.conf"
            path.write_text(SETTINGS)
            variables = {PATH_VARIABLE: str(path), PAST_USE_VARIABLE: "2h"}
            process = subprocess.run(
                [sys.executable, "-m", "jacinthloom_daemon.hosted"],
                env=os.environ | variables,
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
        self.assertEqual(process.returncode, 2)
        self.assertEqual(
            process.stderr, "JACINTHLOOM_PAST_USE_HALF_LIFE_S: '2h' is not a number\n"
        )


class EntryProcessTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.process = EntryProcess(NodeSettings.from_text(SETTINGS))
        self.store = SlowStore()
        self.process._store = cast("Any", self.store)
        self.process._election_follower._store = cast("Any", self.store)
        feed = self.process._operator_feed
        feed.rules = Rules(1)
        feed.has_rules.set()

    async def asyncTearDown(self) -> None:
        tasks = list(self.process._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def begin_term(self, number: int) -> None:
        process = self.process
        term = Term(number, process._member, "10.0.0.1:1")
        process._election.term = term
        process._on_term(term)

    async def wait_for_load(self, count: int) -> asyncio.Event:
        async with asyncio.timeout(1):
            while len(self.store.loads) < count:
                await asyncio.sleep(0.005)
        return self.store.loads[count - 1]

    async def wait_until_ready(self) -> PlannerRunner:
        async with asyncio.timeout(1):
            while True:
                planner = self.process._planner_client._local_planner
                if planner is not None:
                    return planner
                await asyncio.sleep(0.005)

    # Guards against a planner that renews leases and starts tasks after its machine was
    # suspended, since a clock did not count the time in which others took over.
    async def test_planner_has_no_authority_after_its_machine_was_suspended(
        self,
    ) -> None:
        machine = SuspendableMachine()
        self.process._election.voters = frozenset({"10.0.0.2:1"})
        with mock.patch("time.clock_gettime", machine.clock_gettime):
            self.begin_term(5)
            (await self.wait_for_load(1)).set()
            planner = await self.wait_until_ready()
            self.assertTrue(self.process._has_authority())
            self.assertTrue(planner.authority.is_held)
            machine.suspended_s = 5.0
            self.assertFalse(self.process._has_authority())
            self.assertFalse(planner.authority.is_held)
            self.assertGreater(planner.authority.measure_lost_s(), 3.0)

    # Guards against a process that goes on serving while a task of it has ended, and so
    # follows neither the configuration nor the election any more.
    async def test_lasting_task_is_restarted_after_an_error(self) -> None:
        starts = 0

        async def fail_once() -> None:
            nonlocal starts
            starts += 1
            if starts == 1:
                raise ValueError("unexpected")
            await asyncio.Event().wait()

        with self.assertLogs("jacinthloom", "ERROR"):
            self.process._spawn(self.process._keep_running(fail_once))
            async with asyncio.timeout(2):
                while starts < 2:
                    await asyncio.sleep(0.01)

    # Guards against a planner that goes by replaced orders of the operator for its
    # whole term, since they were replaced while it loaded its records.
    async def test_changes_while_the_planner_loads_are_in_force(self) -> None:
        self.begin_term(5)
        load = await self.wait_for_load(1)
        self.process._on_rules(NEWER)
        self.process._on_zones(frozenset({"z1"}))
        load.set()
        state = (await self.wait_until_ready())._planner.state
        self.assertEqual(state.rules.version, NEWER.version)
        self.assertEqual(state.zones_out, {"z1"})
        self.process._on_zones(frozenset())
        self.assertEqual(state.zones_out, frozenset())

    # Guards against a process that plans from its stop to its end, and then takes the
    # term with it, as its claim was in flight when it was stopped.
    async def test_stopping_process_releases_a_claim_that_comes_late(self) -> None:
        self.process._planned_stop.begin()
        self.begin_term(5)
        await asyncio.sleep(0.05)
        self.assertIsNone(self.process._runner)
        self.assertEqual(self.store.topics, [topics.ELECTION])

    # Guards against callers that wait for a planner though the last one has just ended.
    async def test_planner_that_is_stopped_without_successors_expects_none(
        self,
    ) -> None:
        self.begin_term(5)
        (await self.wait_for_load(1)).set()
        await self.wait_until_ready()
        self.assertFalse(self.process._is_last_planner())  # members may connect yet
        with mock.patch.object(process_module, "MEMBERS_CONNECTED_AFTER_S", 0.0):
            self.assertTrue(self.process._is_last_planner())
            successor = mock.PropertyMock(return_value=True)
            with mock.patch.object(PlannerServer, "has_successor", successor):
                self.assertFalse(self.process._is_last_planner())

    # Guards against changes that are lost in the moments around the load: before it
    # begins, and for the second of two terms.
    async def test_changes_between_two_terms_are_in_force(self) -> None:
        self.process._operator_feed.has_rules.clear()
        self.begin_term(5)
        await asyncio.sleep(0.01)
        self.process._on_zones(frozenset({"z1"}))
        self.process._operator_feed.zones_out = frozenset({"z1"})
        self.begin_term(6)
        self.process._on_rules(NEWER)
        self.process._operator_feed.rules = NEWER
        self.process._operator_feed.has_rules.set()
        (await self.wait_for_load(1)).set()
        state = (await self.wait_until_ready())._planner.state
        self.assertEqual(state.settings.term, 6)
        self.assertEqual(state.rules.version, NEWER.version)
        self.assertEqual(state.zones_out, {"z1"})

    # Guards against a term whose load ends late and takes the planner of the next term
    # of the same process out of service.
    async def test_late_load_of_an_earlier_term_does_not_end_the_later_one(
        self,
    ) -> None:
        self.begin_term(5)
        late = await self.wait_for_load(1)
        self.begin_term(6)
        (await self.wait_for_load(2)).set()
        planner = await self.wait_until_ready()
        late.set()
        await asyncio.sleep(0.1)
        self.assertIs(self.process._planner_client._local_planner, planner)
        self.assertIs(self.process._planner_server._runner, planner)
        self.assertIs(self.process._runner, planner)
        self.assertFalse(planner.ended.is_set())


if __name__ == "__main__":
    unittest.main()
