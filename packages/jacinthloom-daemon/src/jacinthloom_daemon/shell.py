"""The imperative shell of one member: turns I/O into events and effects into I/O."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from typing import TYPE_CHECKING

from jacinthloom_core import Member
from jacinthloom_core.model import events
from jacinthloom_core.model.answers import Refusal
from jacinthloom_core.model.effects import (
    AppendBatch,
    AskReport,
    Exchange,
    Exit,
    Note,
    Rejoin,
    Reply,
    SendPacket,
    UnwatchWorker,
    WatchWorker,
)
from jacinthloom_wire.errors import OtherRecipientError, TransportError, WireError
from jacinthloom_wire.host_list import HostListClient
from jacinthloom_wire.log_client import LogClient
from jacinthloom_wire.peer_stream import PeerServer, PeerStream
from jacinthloom_wire.worker_client import WorkerClient

from .logs import STATE_CHANGE_KINDS

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from jacinthloom_core.model.answers import Answer
    from jacinthloom_core.model.effects import Effect
    from jacinthloom_core.model.messages import Packet
    from jacinthloom_core.model.settings import MemberSettings
    from jacinthloom_wire.settings_file import ProcessSettings

    from .metrics import Metrics
    from .timeline import Timeline

_log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.1
"""Seconds between two ticks."""

LOG_LONG_POLL_S = 1.0
"""Longest time that a read waits for new log entries, in seconds."""

LOG_RETRY_INTERVAL_S = 0.3
"""Seconds until a failed read of the log is retried."""

HOST_LIST_INTERVAL_S = 1.0
"""Seconds between two reads of the host list."""

WATCH_RETRY_INTERVAL_S = 0.2
"""Seconds until a failed read of a worker's completions is retried."""

MAX_WATCH_FAILURES = 3
"""Consecutive failures after which a worker counts as unreachable."""

PLANNED_STOP_TIMEOUT_S = 30.0
"""Longest time that a planned stop may take, in seconds."""


class Shell:
    """Run one member until it exits or has to rejoin."""

    def __init__(
        self,
        settings: ProcessSettings,
        member_settings: MemberSettings,
        timeline: Timeline,
        metrics: Metrics,
    ) -> None:
        self.member = Member(member_settings)
        self._settings = settings
        self._timeline = timeline
        self._metrics = metrics
        self._log = LogClient(settings.log_address)
        self._host_list = HostListClient(settings.host_list_address)
        self._peers = PeerServer(self._on_packet)
        self._stream_by_peer: dict[str, PeerStream] = {}
        self._client_by_worker: dict[str, WorkerClient] = {}
        self._watch_by_worker: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._call_by_id: dict[int, asyncio.Future[Answer]] = {}
        self._last_call = 0
        self._done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._closed_stream_bytes = 0
        self._handlers: dict[type, Callable[..., None]] = {
            AppendBatch: lambda e: self._spawn(self._append(e)),
            SendPacket: self._send_packet,
            Exchange: lambda e: self._spawn(self._exchange(e)),
            AskReport: lambda e: self._spawn(self._request_report(e)),
            WatchWorker: self._watch_worker,
            UnwatchWorker: self._unwatch_worker,
            Reply: self._reply,
            Note: self._record_note,
            Rejoin: lambda _: self._finish(True),
            Exit: lambda _: self._finish(False),
        }

    async def run(self) -> bool:
        """Run until the member ends; return whether the process has to rejoin."""
        await self._peers.start(self._settings.peer_address)
        self._spawn(self._tick())
        self._spawn(self._read_log())
        self._spawn(self._read_host_list())
        try:
            return await self._done
        finally:
            self._close()

    def _close(self) -> None:
        for task in [*self._tasks, *self._watch_by_worker.values()]:
            task.cancel()
        for stream in self._stream_by_peer.values():
            stream.close()
        for client in self._client_by_worker.values():
            client.close()
        self._peers.close()
        refusal = Refusal(
            "no_authority",
            "this entry host was replaced in the view; whether the work ran is unknown",
            not_run=False,
        )
        for call in self._call_by_id.values():
            if not call.done():
                call.set_result(refusal)

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to other members."""
        current = sum(stream.sent_bytes for stream in self._stream_by_peer.values())
        return current + self._closed_stream_bytes

    # Events

    def handle(self, event: events.Event) -> None:
        """Apply an event to the member and execute the resulting effects."""
        if self._done.done():
            return
        began = time.perf_counter()
        for effect in self.member.apply(event):
            self._execute(effect)
        self._metrics.event_latency.record(time.perf_counter() - began)

    def _execute(self, effect: Effect) -> None:
        self._handlers[type(effect)](effect)

    async def call(self, build: Callable[[int, float, float], events.Event]) -> Answer:
        """Apply the event of a call and wait for its answer.

        :param build: builds the event from call id, monotonic and wall-clock time
        """
        if self._done.done():
            return Refusal("leaving", "this entry host has shut down; use another")
        self._last_call += 1
        call = self._last_call
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._call_by_id[call] = answer
        self.handle(build(call, *_read_clocks()))
        try:
            return await answer
        finally:
            del self._call_by_id[call]

    def stop(self) -> None:
        """Begin a planned stop."""
        self.handle(events.StopRequested(*_read_clocks()))
        self._spawn(self._enforce_stop_timeout())

    async def _enforce_stop_timeout(self) -> None:
        await asyncio.sleep(PLANNED_STOP_TIMEOUT_S)
        _log.warning("the planned stop took too long; leaving without a new view")
        self._finish(False)

    def _finish(self, rejoin: bool) -> None:
        if not self._done.done():
            self._done.set_result(rejoin)

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Time, log and hosts

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            self.handle(events.Ticked(*_read_clocks()))
            due = max(due + TICK_INTERVAL_S, loop.time())
            await asyncio.sleep(due - loop.time())
            self._metrics.loop_lag.record(max(0.0, loop.time() - due))

    async def _read_log(self) -> None:
        while True:
            requested_at = time.monotonic()
            offset = self.member.read_offset
            try:
                result = await self._log.read(offset, LOG_LONG_POLL_S)
            except WireError:
                self.member.context.counters["log_read_failed"] += 1
                await asyncio.sleep(LOG_RETRY_INTERVAL_S)
                continue
            read_to = max(offset, result.first_offset) + len(result.entries)
            at_tail = read_to >= result.next_offset
            self.handle(
                events.LogRead(
                    *_read_clocks(),
                    requested_at,
                    result.entries,
                    at_tail,
                    result.first_offset,
                )
            )

    async def _append(self, effect: AppendBatch) -> None:
        succeeded = True
        try:
            await self._log.append(effect.batch)
        except WireError:
            succeeded = False
        sequence = effect.batch.sequence
        self.handle(events.AppendFinished(*_read_clocks(), sequence, succeeded))

    async def _read_host_list(self) -> None:
        while True:
            with contextlib.suppress(WireError):
                hosts = await self._host_list.read()
                self.handle(events.HostsListed(*_read_clocks(), hosts))
            await asyncio.sleep(HOST_LIST_INTERVAL_S)

    # Peers

    def _on_packet(self, packet: Packet) -> None:
        self.handle(events.PacketReceived(*_read_clocks(), packet))

    def _send_packet(self, effect: SendPacket) -> None:
        stream = self._stream_by_peer.get(effect.peer)
        if stream is None:
            self._drop_stale_streams()
            stream = PeerStream(effect.peer, effect.address, self._on_connected)
            self._stream_by_peer[effect.peer] = stream
        stream.send(effect.packet)

    def _drop_stale_streams(self) -> None:
        for peer in list(self._stream_by_peer):
            if self.member.membership.find_member(peer) is None:
                stream = self._stream_by_peer.pop(peer)
                self._closed_stream_bytes += stream.sent_bytes
                stream.close()

    def _on_connected(self, peer: str) -> None:
        self.handle(events.PeerConnected(*_read_clocks(), peer))

    # Workers

    def _find_client(self, worker: str, address: str) -> WorkerClient:
        client = self._client_by_worker.get(worker)
        if client is None:
            client = self._client_by_worker[worker] = WorkerClient(address)
        return client

    async def _exchange(self, effect: Exchange) -> None:
        client = self._find_client(effect.worker, effect.address)

        def may_send() -> bool:
            return time.monotonic() < effect.valid_until

        try:
            result = await client.exchange(effect, may_send)
        except TransportError as error:
            self.handle(
                events.ExchangeFailed(
                    *_read_clocks(), effect.worker, effect.exchange, error.sent
                )
            )
            return
        except WireError:
            self.handle(
                events.ExchangeFailed(
                    *_read_clocks(), effect.worker, effect.exchange, True
                )
            )
            return
        self.handle(
            events.ExchangeAnswered(
                *_read_clocks(),
                effect.worker,
                effect.exchange,
                result.results,
                result.uses,
                result.missing,
            )
        )

    async def _request_report(self, effect: AskReport) -> None:
        client = self._find_client(effect.worker, effect.address)
        requested_at = time.monotonic()
        try:
            report = await client.report(effect.view)
        except WireError:
            self.handle(events.ReportFailed(*_read_clocks(), effect.worker))
            return
        self.handle(
            events.WorkerReported(*_read_clocks(), effect.worker, requested_at, report)
        )

    def _watch_worker(self, effect: WatchWorker) -> None:
        self._unwatch_worker(UnwatchWorker(effect.worker))
        watch = asyncio.create_task(self._follow_completions(effect))
        self._watch_by_worker[effect.worker] = watch

    def _unwatch_worker(self, effect: UnwatchWorker) -> None:
        watch = self._watch_by_worker.pop(effect.worker, None)
        if watch is not None:
            watch.cancel()
        client = self._client_by_worker.get(effect.worker)
        if client is not None:
            client.close()

    async def _follow_completions(self, effect: WatchWorker) -> None:
        client = self._find_client(effect.worker, effect.address)
        cursor = effect.cursor
        failures = 0
        while failures < MAX_WATCH_FAILURES:
            try:
                result = await client.read_completions(cursor, effect.incarnation)
            except OtherRecipientError:
                break
            except WireError:
                failures += 1
                await asyncio.sleep(WATCH_RETRY_INTERVAL_S)
                continue
            failures = 0
            cursor = result.cursor
            self.handle(
                events.CompletionsRead(
                    *_read_clocks(),
                    effect.worker,
                    result.completions,
                    cursor,
                    effect.incarnation,
                )
            )
        self.handle(events.ExchangeFailed(*_read_clocks(), effect.worker, 0, True))

    # Answers and notes

    def _reply(self, effect: Reply) -> None:
        call = self._call_by_id.get(effect.call)
        if call is not None and not call.done():
            call.set_result(effect.answer)

    def _record_note(self, effect: Note) -> None:
        self._timeline.add(effect, time.time())
        if effect.kind in STATE_CHANGE_KINDS:
            fields = {"subject": effect.subject, "detail": effect.detail}
            _log.info(effect.kind, extra={"fields": fields})


def _read_clocks() -> tuple[float, float]:
    return time.monotonic(), time.time()
