"""Run the planner for one term: effects become calls, and responses become events."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.planner import TICK_S, Planner
from jacinthloom_core.planner.rules import Rules
from jacinthloom_core.planner.state import PlannerSettings

from ..platform import topics
from ..platform.errors import (
    FencedError,
    PlatformError,
    UnavailableError,
)
from ..platform.log_store import Producer
from ..platform.worker_client import WorkerClient
from . import clock, log, messages
from .authority_watch import AuthorityWatch
from .batch_appender import RETRY_INTERVAL_S, AppendOutcome, BatchAppender
from .feeds import WorkerFeed

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Coroutine
    from typing import Any

    from jacinthloom_core.planner.effects import Effect
    from jacinthloom_core.planner.events import Event
    from jacinthloom_core.planner.fleet import WorkerEntry
    from jacinthloom_core.planner.lease_authority import LeaseAuthority

    from ..metrics import LatencyHistogram
    from ..platform.log_store import LogStore
    from .work_times import WorkTimes

LEASE_S = 6.0
"""Duration of a worker's lease, in seconds, for which its runs continue without the
planner: longer than an election and loading the records."""

MAX_COUNT_AGE_S = 1.0
"""Seconds without authority over leases after which this planner no longer counts the
waiting jobs: counts may be two seconds old, and a successor soon accepts jobs."""

REPLACED_RETRY_AFTER_S = 1
"""Seconds after which to retry a call that only a successor can answer."""


class PlannerRunner:
    """The planner of one term, and its connections.

    :param request_advice: requests advice from a member
    :param has_authority: whether the last renewal of the claim is recent enough
    :param lease_authority: until when leases may be renewed
    :param on_refused: called when the store has rejected a batch
    :param ignored_records: counts, by topic, the records that could not be used
    :param work_times: records how long the planner works at one stretch
    """

    def __init__(
        self,
        store: LogStore,
        settings: PlannerSettings,
        request_advice: Callable[[effects.RequestAdvice], None],
        has_authority: Callable[[], bool],
        lease_authority: LeaseAuthority,
        append_latency: LatencyHistogram,
        on_refused: Callable[[], None],
        ignored_records: Counter[str],
        work_times: WorkTimes,
    ) -> None:
        self._work_times = work_times
        self._ignored_records = ignored_records
        self._on_refused = on_refused
        self._store = store
        self._planner = Planner(settings)
        self._term = settings.term
        self._rules = Rules()
        self._zones_out: frozenset[str] = frozenset()
        self._request_advice = request_advice
        self._has_authority = has_authority
        self.lease_authority = lease_authority
        self.authority = AuthorityWatch(lease_authority, settings.term, self.counters)
        self._calls = itertools.count(1)
        self._future_by_call: dict[int, asyncio.Future[effects.Reply]] = {}
        self._client_by_worker: dict[str, WorkerClient] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._flush_timer: asyncio.TimerHandle | None = None
        self.is_ready = asyncio.Event()
        self.ended = asyncio.Event()
        self._appender = BatchAppender(
            store, settings.term, append_latency, self.ended.is_set, self.end
        )
        self._handler_by_type: dict[type[Effect], Callable[..., None]] = {
            effects.Store: lambda e: self._spawn(self._append(e)),
            effects.Reply: self._resolve_call,
            effects.Start: lambda e: self._spawn(self._start(e)),
            effects.Stop: lambda e: self._spawn(self._stop(e)),
            effects.PollWorker: lambda e: self._spawn(self._poll_worker(e)),
            effects.Throttle: lambda e: self._spawn(self._throttle(e)),
            effects.RequestAdvice: self._request_advice,
            effects.StepDown: lambda e: self.end(e.reason),
            effects.Note: lambda e: log.write(e.kind, **e.fields),
        }

    @property
    def counters(self) -> Counter[str]:
        """Number of decisions, by kind."""
        return self._planner.state.counters

    def count_state(self) -> dict[str, int]:
        """Return the sizes on which the planner's work depends."""
        state = self._planner.state
        return {
            "jobs": len(state.job_by_id),
            "ready_steps": len(state.ready_by_id),
            "workers": len(state.worker_by_id),
        }

    async def run(self) -> None:
        """Load the stored jobs, then plan until the term ends.

        :raises FencedError: if the planner of a later term has taken over
        """
        records = await self._read_records()
        if not await self._load(records):
            return
        now = clock.now()
        self.handle(events.RulesChanged(now, self._rules))
        self.handle(events.ZonesChanged(now, self._zones_out))
        feed = WorkerFeed(
            self._store, self._ignored_records, self._on_listed, self._on_unlisted
        )
        self._spawn(feed.follow())
        self.is_ready.set()
        log.write("planner_ready", term=self._term, records=len(records))
        while not self.ended.is_set():
            self.authority.note()
            until = self.lease_authority.compute_until()
            self.handle(events.Tick(clock.now(), _wall_ms(), until))
            await asyncio.sleep(TICK_S)

    async def _load(self, records: dict[str, bytes]) -> bool:
        """Restore the planner's state, in parts between which other tasks run.

        :returns: whether the term goes on
        """
        parts = self._planner.load_in_parts(records, clock.now(), _wall_ms())
        while not self.ended.is_set():
            with self._work_times.measure("load"):
                is_loaded = next(parts, True) is True
            if is_loaded:
                return True
            await asyncio.sleep(0)
        return False

    async def _read_records(self) -> dict[str, bytes]:
        """Fence the planners of earlier terms, then read the job records."""
        while not self.ended.is_set():
            try:
                fence = Producer(topics.PRODUCER, self._term, 0)
                await self._store.append(topics.JOBS, (), producer=fence)
                newest = await self._store.read_newest(topics.JOBS)
                return newest.value_by_key
            except UnavailableError as error:
                log.write("load_failed", term=self._term, reason=str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)
        return {}

    def end(self, reason: str) -> None:
        """Stop planning."""
        if self.ended.is_set():
            return
        log.write("planner_ended", term=self._term, reason=reason)
        self.authority.log("leases_at_end")
        self.ended.set()

    def close(self) -> None:
        """Stop planning; cancel all tasks and calls and close all connections."""
        self.ended.set()
        for task in self._tasks:
            task.cancel()
        for client in self._client_by_worker.values():
            client.close()
        for future in self._future_by_call.values():
            future.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._planner.clear()

    async def drain(self, timeout_s: float) -> None:
        """Wait until the batch in flight is stored and its calls are answered.

        Used by a planned stop.
        """
        deadline = clock.now() + timeout_s
        while self._future_by_call and clock.now() < deadline:
            await asyncio.sleep(RETRY_INTERVAL_S / 5)

    # Events

    def handle(self, event: Event) -> None:
        """Apply an event to the planner and execute the resulting effects."""
        if self.ended.is_set():
            return
        try:
            with self._work_times.measure(type(event).__name__):
                for effect in self._planner.handle(event):
                    self._handler_by_type[type(effect)](effect)
        except Exception as error:
            log.write_failure("planner_failed", error)
            self.end("the planner raised an exception")
            return
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        due = self._planner.next_due
        if due is None or self._flush_timer is not None:
            return
        loop = asyncio.get_running_loop()
        delay = max(0.0, due - clock.now())
        self._flush_timer = loop.call_later(delay, self._on_flush_due)

    def _on_flush_due(self) -> None:
        self._flush_timer = None
        self.handle(events.FlushDue(clock.now()))

    def on_rules(self, rules: Rules) -> None:
        """Apply a configuration, at the latest when the records are loaded."""
        self._rules = rules
        if self.is_ready.is_set():
            self.handle(events.RulesChanged(clock.now(), rules))

    def on_zones(self, zones: frozenset[str]) -> None:
        """Set the zones that are out of service, at the latest after the load."""
        self._zones_out = zones
        if self.is_ready.is_set():
            self.handle(events.ZonesChanged(clock.now(), zones))

    def on_member(self, member: str, is_connected: bool) -> None:
        """Add or remove a member that can query the advice service."""
        now = clock.now()
        if is_connected:
            self.handle(events.MemberJoined(now, member))
        else:
            self.handle(events.MemberLeft(now, member))

    def on_advised(self, member: str, answer: messages.Advised) -> None:
        """Apply a response of the advice service."""
        now = clock.now()
        if answer.good is None:
            self.handle(events.AdviceFailed(now, member, answer.step))
            return
        self.handle(
            events.AdviceGiven(now, member, answer.step, answer.workers, answer.good)
        )

    def _on_listed(self, entry: WorkerEntry) -> None:
        self.handle(events.WorkerListed(clock.now(), entry))

    def _on_unlisted(self, worker: str) -> None:
        self.handle(events.WorkerUnlisted(clock.now(), worker))

    # Calls

    async def call(self, message: messages.PlannerCall) -> messages.Answer:
        """Handle a call of a member and return the response."""
        is_query = isinstance(message, messages.Show | messages.Count)
        if is_query and self.ended.is_set():
            return _refuse_as_replaced(message)
        if isinstance(message, messages.Show):
            return self._show(message)
        if isinstance(message, messages.Count):
            return self._count(message)
        call = next(self._calls)
        future: asyncio.Future[effects.Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._future_by_call[call] = future
        now = clock.now()
        if isinstance(message, messages.Submit):
            self.handle(events.JobSubmitted(now, call, message.job))
        else:
            self.handle(events.CancelRequested(now, call, message.job))
        try:
            reply = await future
        finally:
            self._future_by_call.pop(call, None)
        if reply.status == 410 and not self._has_authority():
            return _refuse_as_replaced(message)
        return messages.Answer(
            message.call, reply.status, reply.reason, reply.retry_after_s
        )

    def _count(self, message: messages.Count) -> messages.Answer:
        if self.authority.measure_lost_s() > MAX_COUNT_AGE_S:
            return _refuse_as_replaced(message)
        waiting = self._planner.count_waiting(message.queue)
        return messages.Answer(message.call, 200, waiting=waiting)

    def _show(self, message: messages.Show) -> messages.Answer:
        state = self._planner.find_job_state(message.job)
        if state is not None:
            return messages.Answer(message.call, 200, state=state)
        if self._has_authority():
            return messages.Answer(message.call, 410)
        return _refuse_as_replaced(message)

    def _resolve_call(self, reply: effects.Reply) -> None:
        future = self._future_by_call.get(reply.call)
        if future is not None and not future.done():
            future.set_result(reply)

    # Effects

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        """End the term if a call raised: the planner would wait for its event."""
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            log.write_failure("planner_failed", error)
            self.end("a call raised an exception")

    async def _append(self, store: effects.Store) -> None:
        outcome = await self._appender.append(store.records)
        if outcome is AppendOutcome.STORED:
            self.handle(events.BatchStored(clock.now(), store.number))
        elif outcome is AppendOutcome.REFUSED:
            self._on_refused()
            self.handle(events.BatchRefused(clock.now(), store.number))

    def _find_client(self, worker: str, address: str) -> WorkerClient:
        client = self._client_by_worker.get(worker)
        if client is None or client.address != address:
            if client is not None:
                client.close()
            client = self._client_by_worker[worker] = WorkerClient(worker, address)
        return client

    def _on_call_failed(self, worker: str, error: Exception) -> None:
        """Log an unexpected error of a call, which concerns only its worker."""
        self._planner.state.counters["worker_call_failed"] += 1
        log.write_failure("worker_call_failed", error, worker=worker)

    async def _start(self, start: effects.Start) -> None:
        outcome = events.StartOutcome.WITHHELD
        try:
            client = self._find_client(start.worker, start.address)
            if self._has_authority():
                outcome = await client.start(start)
        except Exception as error:
            self._on_call_failed(start.worker, error)
            outcome = events.StartOutcome.UNKNOWN
        self.handle(
            events.StartAnswered(
                clock.now(), start.worker, start.task, start.run, outcome
            )
        )

    async def _stop(self, stop: effects.Stop) -> None:
        is_confirmed = False
        try:
            client = self._find_client(stop.worker, stop.address)
            is_confirmed = await client.stop(stop)
        except Exception as error:
            self._on_call_failed(stop.worker, error)
        self.handle(
            events.StopAnswered(
                clock.now(), stop.worker, stop.task, stop.run, is_confirmed
            )
        )

    async def _throttle(self, throttle: effects.Throttle) -> None:
        is_confirmed = False
        try:
            client = self._find_client(throttle.worker, throttle.address)
            is_confirmed = await client.pace(throttle)
        except Exception as error:
            self._on_call_failed(throttle.worker, error)
        if not is_confirmed:
            log.write("pace_failed", task=list(throttle.task), on=throttle.worker)

    async def _poll_worker(self, poll: effects.PollWorker) -> None:
        sent_at = clock.now()
        if poll.deadline_ms:
            self.authority.count_renewal()
        try:
            client = self._find_client(poll.worker, poll.address)
            response = await client.hold(poll)
        except FencedError:
            self.handle(events.WorkerPollFailed(clock.now(), poll.worker, fenced=True))
            return
        except Exception as error:
            if not isinstance(error, PlatformError):
                self._on_call_failed(poll.worker, error)
            self.handle(events.WorkerPollFailed(clock.now(), poll.worker))
            return
        self.handle(
            events.WorkerPolled(
                clock.now(),
                poll.worker,
                sent_at,
                poll.token,
                response.incarnation,
                response.clock_ms,
                response.running,
                response.ends,
                response.is_complete,
            )
        )


def _refuse_as_replaced(call: messages.PlannerCall) -> messages.Answer:
    reason = "this planner may have been replaced, and does not know the newest jobs"
    return messages.Answer(call.call, 503, reason, REPLACED_RETRY_AFTER_S)


def _wall_ms() -> int:
    return int(time.time() * 1000)
