"""Streams of members to the planner of this process; tells others who plans."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from . import log, messages
from .streams import CONNECT_TIMEOUT_S, PING_S, SILENCE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.election import Election

    from .planner_host import PlannerHost

LOAD_WAIT_S = 1.0
"""Seconds for which a stream waits until the planner has loaded its records."""

STREAM_ERRORS = (OSError, EOFError, TimeoutError, messages.FrameError)
"""What ends a stream between hosts."""


class PlannerServer:
    """Take streams from members for the planner of this process."""

    def __init__(
        self, election: Election, on_members: Callable[[tuple[str, ...]], None]
    ) -> None:
        self._election = election
        self._on_members = on_members
        self._host: PlannerHost | None = None
        self._has_host = asyncio.Event()
        self._session_by_member: dict[str, _Session] = {}
        self._server: asyncio.Server | None = None
        self._sessions: set[_Session] = set()

    async def start(self, address: str) -> None:
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def set_host(self, host: PlannerHost | None) -> None:
        """Serve a planner, or none: then every stream is closed."""
        self._host = host
        if host is not None:
            self._has_host.set()
        else:
            self._has_host.clear()
            for session in list(self._sessions):
                session.close()

    def send_advice_order(self, member: str, order: messages.AdviceOrder) -> bool:
        """Hand an advice request to a member; return whether it is connected."""
        session = self._session_by_member.get(member)
        if session is None:
            return False
        session.send(order)
        return True

    def count_members(self) -> int:
        """Return how many members are connected."""
        return len(self._session_by_member)

    def broadcast(self, message: messages.AnyMessage) -> None:
        """Send a message to every member that is connected."""
        for session in list(self._sessions):
            session.send(message)

    def _tell_members(self) -> None:
        addresses = sorted(s.address for s in self._session_by_member.values())
        own = self._election.address
        members = messages.Members((own, *addresses), self.find_largest_processors())
        self.broadcast(members)

    def find_largest_processors(self) -> float:
        """Return those of the largest connected host that reaches the store."""
        sessions = self._session_by_member.values()
        return max((s.processors for s in sessions if s.reaches_store), default=0.0)

    def _make_term_told(self) -> messages.TermTold:
        term = self._election.term
        if term is None:
            return messages.TermTold(0, "", "")
        return messages.TermTold(term.number, term.member, term.address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take the first message: a question, or the begin of a member's stream."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                first = await messages.read_message(reader)
            if isinstance(first, messages.AskTerm):
                writer.write(messages.encode(self._make_term_told()))
                await writer.drain()
            elif isinstance(first, messages.Hello):
                host = await self._wait_for_host()
                if host is not None:
                    await self._serve(reader, writer, host, first)
        except STREAM_ERRORS as error:
            log.write("peer_dropped", reason=type(error).__name__)
        finally:
            writer.close()

    async def _wait_for_host(self) -> PlannerHost | None:
        """Return the planner, once it has loaded; None if this member has no term."""
        if self._host is None and self._election.is_planner:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOAD_WAIT_S):
                    await self._has_host.wait()
        return self._host

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        host: PlannerHost,
        hello: messages.Hello,
    ) -> None:
        session = _Session(writer, host, hello)
        self._sessions.add(session)
        self._session_by_member[session.member] = session
        session.send(messages.Hello("", ""))
        host.on_member(session.member, True)
        self._tell_members()
        # Not when members leave: a planner that ends asks all that it knew.
        self._on_members(tuple(s.address for s in self._session_by_member.values()))
        pings = asyncio.create_task(session.ping())
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    message = await messages.read_message(reader)
                if isinstance(message, messages.Ping):
                    session.reaches_store = message.reaches_store
                elif isinstance(message, messages.Advised):
                    host.on_advised(session.member, message)
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
        if self._session_by_member.get(session.member) is session:
            del self._session_by_member[session.member]
            session.host.on_member(session.member, False)
            self._tell_members()


class _Session:
    """The stream of one member."""

    def __init__(
        self, writer: asyncio.StreamWriter, host: PlannerHost, hello: messages.Hello
    ) -> None:
        self._writer = writer
        self._calls: set[asyncio.Task[None]] = set()
        self.host = host
        self.member = hello.member
        self.address = hello.address
        self.processors = hello.processors
        self.reaches_store = True

    def send(self, message: messages.AnyMessage) -> None:
        self._writer.write(messages.encode(message))

    def spawn(self, call: messages.PlannerCall) -> None:
        task = asyncio.create_task(self._answer(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _answer(self, call: messages.PlannerCall) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            self.send(await self.host.call(call))

    async def ping(self) -> None:
        while True:
            await asyncio.sleep(PING_S)
            self.send(messages.Ping())

    def close(self) -> None:
        self._writer.close()
