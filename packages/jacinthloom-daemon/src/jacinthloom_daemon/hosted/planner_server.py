"""Streams of members to the planner of this process; tells others who plans."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from . import log, messages
from .streams import CONNECT_TIMEOUT_S, PING_S, SILENCE_S

if TYPE_CHECKING:
    from jacinthloom_core.planner.election import Election

    from .planner_host import PlannerHost


class PlannerServer:
    """Take streams from members for the planner of this process."""

    def __init__(self, election: Election) -> None:
        self._election = election
        self._host: PlannerHost | None = None
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
        if host is None:
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
        self.broadcast(messages.Members((own, *addresses)))

    def _make_term_told(self) -> messages.TermTold:
        term = self._election.term
        if term is None:
            return messages.TermTold(0, "", "")
        return messages.TermTold(term.number, term.member, term.address)

    async def _tell_term(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                if isinstance(await messages.read_message(reader), messages.AskTerm):
                    writer.write(messages.encode(self._make_term_told()))
                    await writer.drain()
        except (OSError, EOFError, TimeoutError, messages.FrameError) as error:
            log.write("peer_dropped", reason=type(error).__name__)
        finally:
            writer.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = self._host
        if host is None:
            await self._tell_term(reader, writer)
            return
        session = _Session(writer, host)
        self._sessions.add(session)
        pings = asyncio.create_task(session.ping())
        try:
            while True:
                async with asyncio.timeout(SILENCE_S):
                    message = await messages.read_message(reader)
                if isinstance(message, messages.Hello):
                    self._session_by_member[message.member] = session
                    session.member = message.member
                    session.address = message.address
                    session.send(messages.Hello("", ""))
                    host.on_member(message.member, True)
                    self._tell_members()
                elif isinstance(message, messages.AskTerm):
                    session.send(self._make_term_told())
                elif isinstance(message, messages.Advised):
                    host.on_advised(session.member, message)
                elif isinstance(message, messages.PlannerCall):
                    session.spawn(message)
        except (OSError, EOFError, TimeoutError, messages.FrameError) as error:
            log.write(
                "member_disconnected",
                member=session.member,
                reason=type(error).__name__,
            )
        finally:
            pings.cancel()
            self._sessions.discard(session)
            if self._session_by_member.get(session.member) is session:
                del self._session_by_member[session.member]
                host.on_member(session.member, False)
            session.close()


class _Session:
    """The stream of one member."""

    def __init__(self, writer: asyncio.StreamWriter, host: PlannerHost) -> None:
        self._writer = writer
        self._host = host
        self._calls: set[asyncio.Task[None]] = set()
        self.member = ""
        self.address = ""

    def send(self, message: messages.AnyMessage) -> None:
        self._writer.write(messages.encode(message))

    def spawn(self, call: messages.PlannerCall) -> None:
        task = asyncio.create_task(self._answer(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _answer(self, call: messages.PlannerCall) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            self.send(await self._host.call(call))

    async def ping(self) -> None:
        while True:
            await asyncio.sleep(PING_S)
            self.send(messages.Ping())

    def close(self) -> None:
        self._writer.close()
