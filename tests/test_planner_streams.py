"""Streams between entry processes on the platform, over loopback in one process."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast

from jacinthloom_core.planner.election import Election, Term
from jacinthloom_core.planner.lease_authority import (
    VOTER_RETENTION_S,
    LeaseAuthority,
)
from jacinthloom_daemon.hosted import clock, messages
from jacinthloom_daemon.hosted.client_handler import ClientHandler
from jacinthloom_daemon.hosted.planned_stop import PlannedStop
from jacinthloom_daemon.hosted.planner_client import PlannerClient
from jacinthloom_daemon.hosted.planner_server import PlannerServer
from jacinthloom_daemon.hosted.streams import open_stream

from testkit.hosted.deployment import PEER_PORT
from testkit.loopback import reserve_loopback_ip


class FakePlanner:
    """A planner that answers every call."""

    def __init__(self, address: str) -> None:
        self.ended = asyncio.Event()
        self.lease_authority = LeaseAuthority(address, None, True, 0.0)
        self.authority = self
        self.without_authority_s = 0.0

    def measure_lost_s(self) -> float:
        return self.without_authority_s

    def on_member(self, member: str, is_connected: bool) -> None:
        """Ignore the member."""

    async def call(self, message: Any) -> messages.Answer:
        return messages.Answer(message.call, 200, state="running")


class Member:
    """The streams of one entry process."""

    def __init__(self, name: str, processors: float = 1.0) -> None:
        self.address = f"{reserve_loopback_ip()}:{PEER_PORT}"
        self.election = Election(name, self.address, processors)
        self.learned_terms: list[Term] = []
        self.claim_check_requested = asyncio.Event()
        self.planner_client = PlannerClient(
            name,
            self.advise,
            self.election,
            self.address,
            self.learned_terms.append,
            self.claim_check_requested.set,
        )
        self.server = PlannerServer(self.election, self.planner_client.set_peers)

    async def advise(self, order: messages.AdviceOrder) -> messages.Advised:
        return messages.Advised(order.step, order.workers, ())

    def set_term(self, term: Term) -> None:
        self.election.term = term
        self.planner_client.set_term(term)


class SlowPlannerClient:
    """A planner client whose calls take 20 ms."""

    async def call(
        self, message: Any, wait_s: float, timeout_s: float
    ) -> messages.Answer:
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(0.02)
        return messages.Answer(0, 200, state="running")


class ClientHandlerTest(unittest.IsolatedAsyncioTestCase):
    async def call_planner(self, budget_s: float) -> messages.Answer:
        planner_client = cast("Any", SlowPlannerClient())
        front = ClientHandler(cast("Any", None), planner_client, PlannedStop(6.0))
        return await front._call_planner(messages.Show(0, "a" * 16), budget_s)

    async def test_call_with_a_short_time_budget_is_answered_in_time(
        self,
    ) -> None:
        self.assertEqual((await self.call_planner(0.2)).status, 200)

    async def test_call_with_a_zero_time_budget_is_refused_with_that_reason(
        self,
    ) -> None:
        answer = await self.call_planner(0.0)
        self.assertEqual(
            (answer.status, answer.reason), (503, "the time budget of the call is zero")
        )


class PlannerStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.members = [Member("m0", 0.5), Member("m1", 2.0), Member("m2", 0.5)]
        for member in self.members:
            await member.server.start(member.address)
        self.term = Term(1, "m0", self.members[0].address)
        self.planner = cast("Any", FakePlanner(self.members[0].address))
        self.tasks: list[asyncio.Task[None]] = []

    async def asyncTearDown(self) -> None:
        for task in self.tasks:
            task.cancel()
        for member in self.members:
            member.planner_client.set_term(None)
            member.server.remove_runner(self.planner)
        await asyncio.sleep(0.1)  # lets the tasks of closed streams end

    async def connect(self) -> None:
        for member in self.members:
            member.set_term(self.term)
        self.members[0].server.set_runner(self.planner)
        async with asyncio.timeout(5):
            while self.members[0].server.count_members() < 2:
                await asyncio.sleep(0.02)

    async def test_planner_without_the_store_learns_of_its_successor(self) -> None:
        await self.connect()
        planner, successor, _ = self.members
        successor.election.term = Term(9, "m1", successor.address)
        planner.server.remove_runner(
            self.planner
        )  # fenced by a worker; the log can't be read
        self.tasks.append(asyncio.create_task(planner.planner_client.query_peers()))
        async with asyncio.timeout(5):
            while not planner.learned_terms:
                await asyncio.sleep(0.02)
        self.assertEqual(planner.learned_terms[0].number, 9)

    async def test_members_check_at_once_whether_to_claim_when_the_planner_abdicates(
        self,
    ) -> None:
        await self.connect()
        planner, member, _ = self.members
        planner.server.broadcast(messages.Abdicated(1))
        async with asyncio.timeout(1):
            await member.claim_check_requested.wait()

    async def test_stream_waits_for_a_planner_that_is_still_loading(self) -> None:
        for member in self.members:
            member.set_term(self.term)
        caller = self.members[1].planner_client
        call = asyncio.create_task(caller.call(messages.Show(0, "a" * 16), 2.0, 2.0))
        await asyncio.sleep(0.3)
        self.members[0].server.set_runner(self.planner)
        began = asyncio.get_running_loop().time()
        answer = await call
        self.assertEqual(answer.state, "running")
        # A reconnect would take 0.15 s more.
        self.assertLess(asyncio.get_running_loop().time() - began, 0.14)

    async def test_members_learn_of_the_largest_host_that_can_take_over(self) -> None:
        await self.connect()
        self.assertEqual(self.members[0].server.find_largest_processors(), 2.0)
        async with asyncio.timeout(5):
            while self.members[2].election.largest_processors != 2.0:
                await asyncio.sleep(0.02)
        self.assertTrue(self.members[2].election.has_larger_alternative)
        self.assertFalse(self.members[1].election.has_larger_alternative)

    def name_voters(self) -> tuple[LeaseAuthority, float]:
        """Let the planner rely on its members alone, from now on."""
        authority = self.planner.lease_authority
        now = clock.now()
        authority.on_renewed(now, tuple(member.address for member in self.members))
        authority.abdicate()
        return authority, now

    async def wait_for_authority(self, authority: LeaseAuthority, since: float) -> None:
        async with asyncio.timeout(5):
            while authority.compute_until() < since:
                await asyncio.sleep(0.02)

    # Guards against work that ends in an outage of the store for all, since the
    # planner does not learn that its members do not plan.
    async def test_members_answer_the_pings_of_a_planner_without_the_store(
        self,
    ) -> None:
        await self.connect()
        authority, now = self.name_voters()
        await self.wait_for_authority(authority, now + 1.0)

    # Guards against two planners that renew leases: a member that plans answers no
    # pings of the planner before it.
    async def test_member_that_plans_answers_no_pings(self) -> None:
        await self.connect()
        authority, now = self.name_voters()
        successor = self.members[1]
        successor.set_term(Term(2, "m1", successor.address))
        await asyncio.sleep(1.7)
        self.assertLess(authority.compute_until(), now + 1.5)

    # Guards against clients that are refused in a zone that is cut off: its planner
    # answers, but may have been replaced.
    async def test_members_of_a_planner_without_authority_have_lost_it(self) -> None:
        await self.connect()
        client = self.members[1].planner_client
        self.planner.without_authority_s = 0.4
        await asyncio.sleep(0.7)
        self.assertFalse(client.has_lost_planner)
        self.planner.without_authority_s = 2.0
        async with asyncio.timeout(5):
            while not client.has_lost_planner:
                await asyncio.sleep(0.02)

    # Guards against work that ends in an outage of the store since a member has
    # restarted, and can't read who the planner is.
    async def test_member_that_knows_no_planner_answers_a_query(self) -> None:
        planner, restarted, successor = self.members
        planner.set_term(self.term)
        client = planner.planner_client
        self.assertTrue(await client.knows_no_later_planner(restarted.address))
        successor.election.term = Term(9, "m2", successor.address)
        self.assertFalse(await client.knows_no_later_planner(successor.address))
        self.assertEqual(planner.learned_terms[0].number, 9)
        self.assertFalse(await client.knows_no_later_planner("127.0.0.1:9"))

    # Guards against a planner that hands over to a host that does not know whose leases
    # are renewed, and would wait two minutes for workers out of reach.
    async def test_host_that_is_no_voter_is_not_handed_over_to(self) -> None:
        await self.connect()
        now = clock.now()
        voters = (self.members[0].address, self.members[2].address)
        self.planner.lease_authority.on_renewed(now, voters)
        self.assertEqual(self.members[0].server.find_largest_processors(), 0.5)

    # Guards against a planner that hands over to a host that is stopping, or lets calls
    # wait for one, since members do not tell that they stop.
    async def test_members_that_stop_are_no_successors(self) -> None:
        await self.connect()
        server = self.members[0].server
        self.members[1].planner_client.begin_stop()
        async with asyncio.timeout(5):
            while server.find_largest_processors() == 2.0:
                await asyncio.sleep(0.02)
        self.assertTrue(server.has_successor)
        self.members[2].planner_client.begin_stop()
        async with asyncio.timeout(5):
            while server.has_successor:
                await asyncio.sleep(0.02)

    # Guards against a dead host that remains a voter for the rest of the term: its
    # newer stream ended first, and the older one had gone silent.
    async def test_host_is_lost_with_the_last_of_its_streams(self) -> None:
        server, authority = self.members[0].server, self.planner.lease_authority
        server.set_runner(self.planner)
        member = self.members[1]
        writers = []
        for _ in range(2):
            reader, writer = await open_stream(self.members[0].address)
            writer.write(messages.encode(messages.Hello("m1", member.address)))
            self.assertIsInstance(await messages.read_message(reader), messages.Hello)
            writers.append(writer)
        later = clock.now() + VOTER_RETENTION_S + 1.0
        for writer in reversed(writers):
            self.assertIn(member.address, authority.choose_voters(later))
            writer.close()
            await asyncio.sleep(0.2)
        self.assertNotIn(member.address, authority.choose_voters(later))


if __name__ == "__main__":
    unittest.main()
