"""Client of the planner: over a stream, or by direct calls within one process."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING

import msgspec
from jacinthloom_core.planner.election import REPORT_UNREACHABLE_AFTER_S, Term

from . import clock, log, messages
from .planned_stop import OpenWaits
from .streams import (
    CONNECT_TIMEOUT_S,
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    open_stream,
    request_term,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from jacinthloom_core.planner.election import Election

    from .planner_runner import PlannerRunner

PEER_QUERY_INTERVAL_S = 0.4
"""Seconds without a planner after which other members are queried for a newer term, and
between two such queries."""

RECONNECT_INTERVAL_S = 0.15
"""Seconds between two attempts to connect."""


NOT_READY_AFTER_S = 1.5
"""Seconds without a planner after which a host reports itself not ready: longer than an
election."""


class NoPlannerError(Exception):
    """There is no planner to send the call to; nothing was sent."""


class UnansweredError(Exception):
    """The call was sent but not answered; its outcome is unknown."""


class PlannerClient:
    """Send calls to the planner of the newest term.

    :param on_advice_order: queries the advice service for the planner
    :param on_term_learned: called with a newer term that another member reported
    :param check_claim: called when the planner can't write to the store, or its host
        refuses connections, so that this member may claim sooner
    """

    def __init__(
        self,
        member: str,
        on_advice_order: Callable[[messages.AdviceOrder], Awaitable[messages.Advised]],
        election: Election,
        address: str,
        on_term_learned: Callable[[Term], None],
        check_claim: Callable[[], None],
    ) -> None:
        self._member = member
        self._address = address
        self._on_term_learned = on_term_learned
        self._check_claim = check_claim
        self._peer_query_requested = asyncio.Event()
        self._peers: tuple[str, ...] = ()
        self._term: Term | None = None
        self._election = election
        self._on_advice_order = on_advice_order
        self._call_numbers = itertools.count(1)
        self._future_by_call: dict[int, asyncio.Future[messages.Answer]] = {}
        self._writer: asyncio.StreamWriter | None = None
        self._local_planner: PlannerRunner | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._connected = asyncio.Event()
        self._disconnected_at = clock.now()
        self._open_waits = OpenWaits()
        self._is_stopping = False
        self._expects_planner = True
        self._is_closed = False
        self._newest_ping = messages.Ping()
        """Newest ping of the planner on the current stream."""
        self._advice_tasks: set[asyncio.Task[None]] = set()

    def set_term(self, term: Term | None) -> None:
        """Connect to the planner of a term.

        Only disconnect if there is no term or it is this member's own.
        """
        if term is not None and term == self._term:
            return
        self._term = term
        self._expects_planner = self._expects_planner or term is not None
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        self._disconnect()
        if term is not None and term.member != self._member:
            self._connect_task = asyncio.create_task(self._keep_connected(term))

    def set_peers(self, addresses: tuple[str, ...]) -> None:
        """Set the addresses of members that can be queried for the newest term.

        The planner collects them from the streams that it accepts: if it loses the
        store, they are its only way to learn of its successor.
        """
        self._peers = addresses

    def set_local_planner(self, runner: PlannerRunner) -> None:
        """Set the planner in this process, which is then called directly."""
        self._local_planner = runner
        self._connected.set()

    def remove_local_planner(self, runner: PlannerRunner) -> None:
        """Stop calling a planner of this process, unless a later one replaced it."""
        if self._local_planner is not runner:
            return
        self._local_planner = None
        if self._writer is None:
            self._mark_disconnected()

    def measure_outage_s(self) -> float:
        """Return for how many seconds there has been no connection to a planner."""
        if self._connected.is_set():
            return 0.0
        return clock.now() - self._disconnected_at

    @property
    def has_lost_planner(self) -> bool:
        """Whether the outage is so long that clients should use another host.

        So it is if another member may have replaced the planner long ago.
        """
        without_authority_s = self._newest_ping.without_authority_s
        if self._local_planner is not None:
            without_authority_s = self._local_planner.authority.measure_lost_s()
        outage_s = max(self.measure_outage_s(), without_authority_s)
        return outage_s > NOT_READY_AFTER_S

    @property
    def is_isolated(self) -> bool:
        """Whether the log shows the planner alive but this member can't reach it."""
        now = clock.now()
        return (
            self.measure_outage_s() > REPORT_UNREACHABLE_AFTER_S
            and not self._election.is_planner
            and self._election.is_alive_without(self._disconnected_at, now)
        )

    async def call(
        self, call: messages.PlannerCall, wait_s: float, timeout_s: float
    ) -> messages.Answer:
        """Send a call and return the response.

        :param wait_s: seconds to wait for a planner
        :param timeout_s: seconds to wait for the response
        :raises NoPlannerError: if there was no planner in time; nothing was sent
        :raises UnansweredError: if the call was sent and not answered
        """
        if self._is_closed:
            raise NoPlannerError
        try:
            await self._wait_for_planner(self._shorten_wait(wait_s))
        except TimeoutError as error:
            raise NoPlannerError from error
        if self._local_planner is not None:
            return await self._call_local(self._local_planner, call, timeout_s)
        return await self._call_remote(call, timeout_s)

    def _shorten_wait(self, wait_s: float) -> float:
        """Return for how long to wait for a planner.

        On a stopping host only as long as an election takes: clients that are refused
        here find a planner sooner through another host.
        """
        if not self._expects_planner:
            return 0.0
        if not self._is_stopping:
            return wait_s
        return min(wait_s, max(0.0, NOT_READY_AFTER_S - self.measure_outage_s()))

    async def _wait_for_planner(self, wait_s: float) -> None:
        """Wait until there is a planner to send calls to.

        :raises TimeoutError: if there is none in time
        """
        self._drop_ended_planner()
        if self._connected.is_set():
            return
        async with self._open_waits.limit(wait_s):
            while not self._connected.is_set():
                await self._connected.wait()
                self._drop_ended_planner()

    def _drop_ended_planner(self) -> None:
        """Stop calling a planner of this process that has ended and ignores calls."""
        planner = self._local_planner
        if planner is not None and planner.ended.is_set():
            self.remove_local_planner(planner)

    def begin_stop(self) -> None:
        """Tell the planner that this host stops, and wait less for another planner."""
        self._is_stopping = True
        self._send_ping()

    def expect_no_planner(self) -> None:
        """Do not wait for a planner until another member claims."""
        self._expects_planner = False

    def close(self) -> None:
        """End all calls now, and refuse later ones: the host is about to exit."""
        self._is_closed = True
        self._open_waits.end()

    async def _call_local(
        self, runner: PlannerRunner, call: messages.PlannerCall, timeout_s: float
    ) -> messages.Answer:
        try:
            async with self._open_waits.limit(timeout_s):
                return await runner.call(call)
        except TimeoutError as error:
            raise UnansweredError from error
        except asyncio.CancelledError as error:
            if runner.ended.is_set():
                raise UnansweredError from error
            raise

    async def _call_remote(
        self, call: messages.PlannerCall, timeout_s: float
    ) -> messages.Answer:
        if self._writer is None:
            raise NoPlannerError
        number = next(self._call_numbers)
        future: asyncio.Future[messages.Answer] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_call[number] = future
        self._send(msgspec.structs.replace(call, call=number))
        try:
            async with self._open_waits.limit(timeout_s):
                return await future
        except TimeoutError as error:
            raise UnansweredError from error
        finally:
            self._future_by_call.pop(number, None)

    def _mark_disconnected(self) -> None:
        if self._connected.is_set():
            self._disconnected_at = clock.now()
        self._connected.clear()

    def _send(self, message: messages.AnyMessage) -> None:
        if self._writer is not None:
            self._writer.write(messages.encode(message))

    async def _keep_connected(self, term: Term) -> None:
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await open_stream(term.address)
            except (OSError, TimeoutError) as error:
                is_refused = isinstance(error, ConnectionRefusedError)
                if is_refused and self._election.on_connection_refused(term.number):
                    self._check_claim()
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            log.write("planner_connected", term=term.number, member=term.member)
            reason = "closed"
            try:
                await self._handle_stream(reader, writer)
            except (OSError, EOFError, TimeoutError, messages.FrameError) as error:
                reason = type(error).__name__
            finally:
                writer.close()
                self._disconnect()
            log.write("planner_disconnected", term=term.number, reason=reason)
            await asyncio.sleep(RECONNECT_INTERVAL_S)

    async def _handle_stream(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writer = writer
        self._send(
            messages.Hello(self._member, self._address, self._election.processors)
        )
        if self._is_stopping:
            self._send_ping()
        pings = asyncio.create_task(self._ping())
        try:
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    message = await messages.read_message(reader)
                if isinstance(message, messages.Hello):
                    self._connected.set()
                elif isinstance(message, messages.Ping):
                    self._newest_ping = message
                elif isinstance(message, messages.Answer):
                    self._on_answer(message)
                elif isinstance(message, messages.Members):
                    self.set_peers(message.addresses)
                    self._election.largest_processors = message.largest_processors
                elif isinstance(message, messages.AdviceOrder):
                    self._spawn_advice(message)
                elif isinstance(message, messages.Abdicated):
                    log.write("planner_abdicated", term=message.term)
                    if self._election.on_abdicated(message.term, clock.now()):
                        self._check_claim()
        finally:
            pings.cancel()

    async def _ping(self) -> None:
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            self._send_ping()

    def _send_ping(self) -> None:
        ping = messages.Ping(
            self._election.reaches_store(clock.now()),
            self._newest_ping.number,
            is_stopping=self._is_stopping,
        )
        self._send(ping)

    async def query_peers(self) -> None:
        """Query other members for a newer term while there is no planner.

        The store may be unreachable from this host alone.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PEER_QUERY_INTERVAL_S):
                    await self._peer_query_requested.wait()
            is_urgent = self._peer_query_requested.is_set()
            self._peer_query_requested.clear()
            if self.measure_outage_s() < PEER_QUERY_INTERVAL_S and not is_urgent:
                continue
            for address in self._peers:
                if address != self._address and await self._query_peer(address):
                    break

    def query_peers_now(self) -> None:
        """Query other members at once: a worker has reported a newer term."""
        self._peer_query_requested.set()

    async def _query_peer(self, address: str) -> bool:
        term = await _fetch_term(address)
        return term is not None and self._adopt(term, address)

    async def knows_no_later_planner(self, address: str) -> bool:
        """Query a member, and return whether it answers without naming a newer term."""
        term = await _fetch_term(address)
        return term is not None and not self._adopt(term, address)

    def _adopt(self, term: Term, source: str) -> bool:
        """Adopt a term that another member told; return whether it is newer."""
        if not term.number or not self._election.on_term_learned(term):
            return False
        log.write("term_told", number=term.number, member=term.member, by=source)
        self._on_term_learned(term)
        return True

    def _on_answer(self, answer: messages.Answer) -> None:
        future = self._future_by_call.get(answer.call)
        if future is not None and not future.done():
            future.set_result(answer)

    def _spawn_advice(self, order: messages.AdviceOrder) -> None:
        task = asyncio.create_task(self._advise(order))
        self._advice_tasks.add(task)
        task.add_done_callback(self._advice_tasks.discard)

    async def _advise(self, order: messages.AdviceOrder) -> None:
        self._send(await self._on_advice_order(order))

    def _disconnect(self) -> None:
        self._writer = None
        self._newest_ping = messages.Ping()
        if self._local_planner is None:
            self._mark_disconnected()
        for future in self._future_by_call.values():
            if not future.done():
                future.set_exception(UnansweredError())


async def _fetch_term(address: str) -> Term | None:
    """Return the newest term that a member knows, or None if it does not answer."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            response = await request_term(address)
    except (OSError, EOFError, TimeoutError, messages.FrameError):
        return None
    return Term(response.number, response.member, response.address)
