"""Server for members' streams to the planner of this process, and for term requests."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

from . import clock, log, messages
from .streams import CONNECT_TIMEOUT_S, PING_INTERVAL_S, SILENCE_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.election import Election

    from .planner_runner import PlannerRunner

REMEMBERED_PINGS = 16
"""Pings for which the time of sending is kept: those of several seconds."""

LOAD_TIMEOUT_S = 1.0
"""Seconds that a new stream waits for the planner to load its records."""

STREAM_ERRORS = (OSError, EOFError, TimeoutError, messages.FrameError)
"""Errors that end a stream."""


class PlannerServer:
    """Accept streams from members for the planner of this process.

    :param on_members: called with the addresses of the connected members
    """

    def __init__(
        self, election: Election, on_members: Callable[[tuple[str, ...]], None]
    ) -> None:
        self._election = election
        self._on_members = on_members
        self._runner: PlannerRunner | None = None
        self._has_runner = asyncio.Event()
        self._session_by_member: dict[str, _Session] = {}
        self._server: asyncio.Server | None = None
        self._sessions: set[_Session] = set()

    async def start(self, address: str) -> None:
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def set_runner(self, runner: PlannerRunner) -> None:
        """Set the planner to serve."""
        self._runner = runner
        self._has_runner.set()

    def remove_runner(self, runner: PlannerRunner) -> None:
        """Close the streams to a planner, and stop serving it if it is the latest."""
        if self._runner is runner:
            self._runner = None
            self._has_runner.clear()
        for session in list(self._sessions):
            if session.runner is runner:
                session.close()

    def send_advice_order(self, member: str, order: messages.AdviceOrder) -> bool:
        """Send an advice request to a member; return whether it is connected."""
        session = self._session_by_member.get(member)
        if session is None:
            return False
        session.send(order)
        return True

    def count_members(self) -> int:
        """Return the number of connected members."""
        return len(self._session_by_member)

    @property
    def has_successor(self) -> bool:
        """Whether a connected member may become the next planner."""
        return any(not s.is_stopping for s in self._session_by_member.values())

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to every connected member."""
        for session in list(self._sessions):
            session.send(message)

    def _broadcast_members(self) -> None:
        addresses = sorted(s.address for s in self._session_by_member.values())
        own = self._election.address
        members = messages.Members((own, *addresses), self.find_largest_processors())
        self.broadcast(members)

    def find_largest_processors(self) -> float:
        """Return the processors of the largest connected host that can take over."""
        sessions = self._session_by_member.values()
        return max((s.processors for s in sessions if s.can_take_over), default=0.0)

    def _build_term_response(self) -> messages.KnownTerm:
        term = self._election.term
        if term is None:
            return messages.KnownTerm(0, "", "")
        return messages.KnownTerm(term.number, term.member, term.address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read the first message: a term request, or the start of a member's stream."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                first = await messages.read_message(reader)
            if isinstance(first, messages.TermRequest):
                writer.write(messages.encode(self._build_term_response()))
                await writer.drain()
            elif isinstance(first, messages.Hello):
                runner = await self._wait_for_runner()
                if runner is not None:
                    await self._handle_stream(reader, writer, runner, first)
        except STREAM_ERRORS as error:
            log.write("peer_dropped", reason=type(error).__name__)
        finally:
            writer.close()

    async def _wait_for_runner(self) -> PlannerRunner | None:
        """Return the planner once it has loaded.

        None if this process is not the planner or loading takes too long.
        """
        if self._runner is None and self._election.is_planner:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOAD_TIMEOUT_S):
                    await self._has_runner.wait()
        return self._runner

    async def _handle_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        runner: PlannerRunner,
        hello: messages.Hello,
    ) -> None:
        session = _Session(writer, runner, hello)
        self._sessions.add(session)
        self._session_by_member[session.member] = session
        session.send(messages.Hello("", ""))
        runner.on_member(session.member, True)
        runner.lease_authority.on_connected(session.address)
        self._broadcast_members()
        # Not updated when members leave: after its term, a planner queries every member
        # that it has known.
        self._on_members(tuple(s.address for s in self._session_by_member.values()))
        pings = asyncio.create_task(session.ping())
        try:
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    message = await messages.read_message(reader)
                if isinstance(message, messages.Ping):
                    session.on_ping(message)
                elif isinstance(message, messages.Advised):
                    runner.on_advised(session.member, message)
                elif isinstance(message, messages.PlannerCall):
                    session.spawn(message)
        except STREAM_ERRORS as error:
            reason = type(error).__name__
            log.write("member_disconnected", member=session.member, reason=reason)
        finally:
            pings.cancel()
            self._remove(session)

    def _remove(self, session: _Session) -> None:
        self._sessions.discard(session)
        session.close()
        if all(s.address != session.address for s in self._sessions):
            session.runner.lease_authority.on_disconnected(session.address, clock.now())
        if self._session_by_member.get(session.member) is session:
            del self._session_by_member[session.member]
            session.runner.on_member(session.member, False)
            self._broadcast_members()


class _Session:
    """The stream of one member."""

    def __init__(
        self, writer: asyncio.StreamWriter, runner: PlannerRunner, hello: messages.Hello
    ) -> None:
        self._writer = writer
        self._calls: set[asyncio.Task[None]] = set()
        self._ping_numbers = itertools.count(1)
        self._sent_at_by_ping: OrderedDict[int, float] = OrderedDict()
        self.runner = runner
        self.member = hello.member
        self.address = hello.address
        self.processors = hello.processors
        self.reaches_store = True
        self.is_stopping = False

    @property
    def can_take_over(self) -> bool:
        if self.is_stopping or not self.reaches_store:
            return False
        return self.runner.lease_authority.may_succeed(self.address)

    def send(self, message: messages.AnyMessage) -> None:
        self._writer.write(messages.encode(message))

    def spawn(self, call: messages.PlannerCall) -> None:
        task = asyncio.create_task(self._answer(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _answer(self, call: messages.PlannerCall) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            self.send(await self.runner.call(call))

    async def ping(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            number = next(self._ping_numbers)
            self._sent_at_by_ping[number] = clock.now()
            if len(self._sent_at_by_ping) > REMEMBERED_PINGS:
                self._sent_at_by_ping.popitem(last=False)
            without_s = self.runner.authority.measure_lost_s()
            self.send(messages.Ping(number=number, without_authority_s=without_s))

    def on_ping(self, ping: messages.Ping) -> None:
        """Record which ping the member has answered: it does not plan."""
        self.reaches_store = ping.reaches_store
        self.is_stopping = ping.is_stopping
        sent_at = self._sent_at_by_ping.get(ping.number)
        if sent_at is not None:
            self.runner.lease_authority.on_ping_answered(self.address, sent_at)

    def close(self) -> None:
        self._writer.close()
