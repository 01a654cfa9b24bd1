"""One entry process on the platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import secrets
import signal
from collections import Counter
from typing import TYPE_CHECKING

from jacinthloom_core.planner.election import MIN_TERM_BEFORE_HANDOVER_S, Election
from jacinthloom_core.planner.lease_authority import LeaseAuthority
from jacinthloom_core.planner.preemption import CheckpointCosts
from jacinthloom_core.planner.state import PlannerSettings
from jacinthloom_wire.http_server import HttpServer, ServerLimits, ServerResponse

from ..metrics import LatencyHistogram
from ..platform.advice_client import AdviceClient
from ..platform.errors import FencedError, UnavailableError
from ..platform.log_store import LogStore
from . import clock, log, messages
from .client_handler import ClientHandler
from .elections import ElectionFollower
from .environment import read_past_use_half_life_s
from .feeds import OperatorFeed
from .garbage import collect_regularly, disable_full_collections
from .metrics import METRICS_PORT, ProcessMetrics
from .planned_stop import PlannedStop
from .planner_client import PlannerClient
from .planner_runner import LEASE_S, PlannerRunner
from .planner_server import PlannerServer
from .work_times import WorkTimes

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

    from jacinthloom_core.planner.effects import RequestAdvice
    from jacinthloom_core.planner.election import Term
    from jacinthloom_core.planner.rules import Rules
    from jacinthloom_wire.http_server import Request

    from ..platform.node_settings import NodeSettings

DRAIN_S = 2.2
"""Seconds for which connections of a stopping process stay open: readiness is checked
every second, and two failed checks take a host out of the rotation."""

IDLE_TIMEOUT_S = 1.0
"""Seconds without a call after which a draining process closes a connection."""

MEMBERS_CONNECTED_AFTER_S = 1.0
"""Seconds from the begin of a term after which members that reach its planner are
connected to it."""

REACHABILITY_INTERVAL_S = 0.5
"""Seconds between two checks whether members reach the planner."""

VOTER_QUERY_INTERVAL_S = 0.5
"""Seconds between two queries of voters that are not connected to the planner."""

TASK_RESTART_INTERVAL_S = 0.2
"""Seconds until a task of the process is restarted after an unexpected error."""

MAX_CONNECTIONS = 2_000
"""Limit of client connections: half of the file descriptors of the smallest hosts."""


class EntryProcess:
    """Serve clients, and run the planner while elected.

    :raises SettingsError: if an environment variable is invalid
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._past_use_half_life_s = read_past_use_half_life_s(os.environ)
        self._member = f"{settings.name}.{secrets.token_hex(3)}"
        self._store = LogStore(settings.store_address)
        self._advice_client = AdviceClient(settings.advice_address or "127.0.0.1:9")
        self._election = Election(
            self._member, settings.peer_address, settings.processors
        )
        self._election_follower = ElectionFollower(
            self._store, self._election, self._on_term, self._on_abdicated
        )
        self._planner_client = PlannerClient(
            self._member,
            self._answer_advice_order,
            self._election,
            settings.peer_address,
            self._on_term,
            self._election_follower.request_claim_check,
        )
        self._planner_server = PlannerServer(
            self._election, self._planner_client.set_peers
        )
        self._ignored_records: Counter[str] = Counter()
        self._operator_feed = OperatorFeed(
            self._store, self._ignored_records, self._on_rules, self._on_zones
        )
        self._planned_stop = PlannedStop(settings.grace_s)
        self._client_handler = ClientHandler(
            self._operator_feed, self._planner_client, self._planned_stop
        )
        self._runner: PlannerRunner | None = None
        self._term_began_at = 0.0
        self._last_planned_term = 0
        self._append_latency = LatencyHistogram(
            "jacinthloom_append_seconds", "Time from a batch to its acknowledgement."
        )
        self._work_times = WorkTimes(
            lambda: self._runner.count_state() if self._runner is not None else {}
        )
        self._metrics = ProcessMetrics(
            self._client_handler.counters,
            (
                self._client_handler.latency,
                self._append_latency,
                self._work_times.histograms,
            ),
            lambda: self._runner.counters if self._runner is not None else {},
            lambda: self._runner is not None,
            self._ignored_records,
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve until SIGTERM, then hand over and return."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._planned_stop.begin)
        loop.add_signal_handler(
            signal.SIGHUP, lambda: log.write("reload", node=settings.name)
        )
        log.write("start", node=settings.name, member=self._member)
        disable_full_collections()
        self._spawn(self._keep_running(self._collect_garbage))
        limits = ServerLimits(max_connections=MAX_CONNECTIONS, max_body_bytes=1_048_576)
        clients = HttpServer(self._client_handler.handle, limits)
        readiness = HttpServer(self._handle_readiness, limits)
        metrics = HttpServer(self._metrics.handle, limits)
        host_ip = settings.peer_address.rpartition(":")[0]
        await metrics.start(f"{host_ip}:{METRICS_PORT}")
        await readiness.start(settings.ready_address)
        await self._planner_server.start(settings.peer_address)
        self._spawn(self._keep_running(self._operator_feed.follow))
        self._spawn(self._keep_running(self._watch_reachability))
        self._spawn(self._keep_running(self._planner_client.query_peers))
        election = self._spawn(self._keep_running(self._election_follower.follow))
        await clients.start(settings.front_address)
        await self._planned_stop.wait()
        log.write("stopping", node=settings.name)
        await self._stop(clients)
        election.cancel()
        await self._close(clients, readiness, metrics)

    async def _collect_garbage(self) -> None:
        await collect_regularly(
            lambda took_s: self._work_times.record("garbage_collection", took_s)
        )

    async def _stop(self, clients: HttpServer) -> None:
        """Hand over, and serve clients until they have left or time is up."""
        stop = self._planned_stop
        self._election_follower.claims_enabled = False
        self._planner_client.begin_stop()
        clients.drain()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(stop.compute_response_time_s()):
                if self._is_last_planner():
                    log.write("no_successor", node=self._settings.name)
                    self._planner_client.expect_no_planner()
                await self._hand_over()
                await asyncio.sleep(DRAIN_S)
                await clients.wait_until_left(IDLE_TIMEOUT_S)

    def _is_last_planner(self) -> bool:
        """Whether this process plans, and no member is known that can take over."""
        runner = self._runner
        if runner is None or not runner.is_ready.is_set():
            return False
        is_settled = clock.now() - self._term_began_at > MEMBERS_CONNECTED_AFTER_S
        return is_settled and not self._planner_server.has_successor

    async def _close(self, clients: HttpServer, *others: HttpServer) -> None:
        """Respond to the calls that are still open, then close all connections."""
        stop = self._planned_stop
        self._planner_client.close()
        unanswered = await clients.close(stop.compute_exit_time_s())
        for server in others:
            await server.close(stop.compute_exit_time_s())
        counters = self._client_handler.stop_counters
        log.write(
            "stop",
            node=self._settings.name,
            refused=counters["refused"],
            unknown=counters["unknown"],
            unanswered=unanswered,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def _keep_running(
        self, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Run a task that lasts as long as the process; restart it if it raises."""
        while True:
            try:
                await work()
            except Exception as error:
                log.write_failure("task_restarted", error, task=work.__qualname__)
            await asyncio.sleep(TASK_RESTART_INTERVAL_S)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.write_failure("task_failed", task.exception())

    async def _hand_over(self) -> None:
        runner = self._runner
        if runner is not None:
            await runner.drain(0.3)
            runner.end("planned stop")
        await self._election_follower.release()

    async def _handle_readiness(self, request: Request) -> ServerResponse:
        is_ready = (
            self._operator_feed.has_rules.is_set()
            and not self._planned_stop.has_begun
            and not self._planner_client.has_lost_planner
        )
        return ServerResponse.from_json(200 if is_ready else 503, {})

    def _on_rules(self, rules: Rules) -> None:
        if self._runner is not None:
            self._runner.on_rules(rules)

    def _on_zones(self, zones: frozenset[str]) -> None:
        log.write("zones_out", zones=sorted(zones))
        if self._runner is not None:
            self._runner.on_zones(zones)

    async def _watch_reachability(self) -> None:
        """Report an unreachable planner; as the planner, step down if others report it.

        The planner also hands over to a much larger host.
        """
        while True:
            await asyncio.sleep(REACHABILITY_INTERVAL_S)
            if self._planner_client.is_isolated:
                await self._election_follower.report_unreachable_planner()
                await asyncio.sleep(REACHABILITY_INTERVAL_S)
                continue
            now = clock.now()
            connected = self._planner_server.count_members()
            if self._runner is None or not self._runner.is_ready.is_set():
                continue
            if self._election.is_unreachable(connected, now):
                log.write("unreachable", connected=connected)
                self._election.suspend_claims(now)
                await self._hand_over()
            elif self._should_hand_over(now):
                log.write("handed_to_larger_host", processors=self._election.processors)
                self._election.suspend_claims(now)
                await self._hand_over()

    def _should_hand_over(self, now: float) -> bool:
        """Whether a much larger host could plan and the term is old enough."""
        self._election.largest_processors = (
            self._planner_server.find_largest_processors()
        )
        is_old = now - self._term_began_at > MIN_TERM_BEFORE_HANDOVER_S
        return self._election.has_larger_alternative and is_old

    # Terms

    def _on_term(self, term: Term | None) -> None:
        if self._runner is not None:
            self._runner.end("another term has begun")
        self._planner_client.set_term(term)
        if term is None or term.member != self._member:
            return
        if term.number <= self._last_planned_term:
            # A second planner of the same term would share the epoch of the first, so
            # the store could not fence either.
            log.write("term_repeated", number=term.number)
            return
        self._last_planned_term = term.number
        if self._planned_stop.has_begun:
            # The claim was in flight when the stop began.
            self._spawn(self._election_follower.release())
            return
        election = self._election
        lease_authority = LeaseAuthority(
            election.address, election.voters, election.is_voter, clock.now()
        )
        log.write(
            "term_begun",
            number=term.number,
            predecessor_s=lease_authority.predecessor_s,
            voters=sorted(election.voters or ()),
        )
        self._spawn(self._election_follower.renew(lease_authority))
        self._spawn(self._run_planner(term, lease_authority))

    def _on_abdicated(self) -> None:
        term = self._election.term
        if term is not None:
            log.write("abdicated", term=term.number)
            self._planner_server.broadcast(messages.Abdicated(term.number))

    async def _run_planner(self, term: Term, lease_authority: LeaseAuthority) -> None:
        settings = PlannerSettings(
            term.number,
            min(LEASE_S, self._settings.longest_lease_s),
            self._settings.status_s,
            self._settings.longest_lease_s,
            lease_authority.predecessor_s,
            CheckpointCosts(
                self._settings.checkpoint_interval_s, self._settings.resume_s
            ),
            past_use_half_life_s=self._past_use_half_life_s,
        )
        runner = PlannerRunner(
            self._store,
            settings,
            self._request_advice,
            self._has_authority,
            lease_authority,
            self._append_latency,
            self._election_follower.renew_now,
            self._ignored_records,
            self._work_times,
        )
        self._runner = runner
        self._term_began_at = clock.now()
        runner.on_rules(self._operator_feed.rules)
        runner.on_zones(self._operator_feed.zones_out)
        await self._operator_feed.has_rules.wait()
        run = asyncio.create_task(runner.run())
        queries = self._spawn(
            self._keep_running(lambda: self._query_silent_voters(lease_authority))
        )
        ready = asyncio.create_task(runner.is_ready.wait())
        try:
            await asyncio.wait({run, ready}, return_when=asyncio.FIRST_COMPLETED)
            if runner.is_ready.is_set():
                runner.on_member(self._member, True)
                self._planner_server.set_runner(runner)
                self._planner_client.set_local_planner(runner)
            await run
        except FencedError:
            log.write("term_lost", term=term.number)
        finally:
            ready.cancel()
            queries.cancel()
            if self._election.term == term:
                self._election_follower.stop_renewing()
            if self._runner is runner:
                self._runner = None
            # The planner of a later term may have begun meanwhile.
            self._planner_client.remove_local_planner(runner)
            self._planner_server.remove_runner(runner)
            runner.close()
            self._planner_client.query_peers_now()

    async def _query_silent_voters(self, lease_authority: LeaseAuthority) -> None:
        """Query voters that restarted while the store is away: they know no planner."""
        while True:
            await asyncio.sleep(VOTER_QUERY_INTERVAL_S)
            voters = lease_authority.list_silent_voters(clock.now())
            await asyncio.gather(
                *(self._query_voter(voter, lease_authority) for voter in voters)
            )

    async def _query_voter(self, voter: str, lease_authority: LeaseAuthority) -> None:
        sent_at = clock.now()
        if await self._planner_client.knows_no_later_planner(voter):
            lease_authority.on_ping_answered(voter, sent_at)

    def _has_authority(self) -> bool:
        return self._election.has_authority(clock.now())

    # Advice

    def _request_advice(self, request: RequestAdvice) -> None:
        order = messages.AdviceOrder(request.step, request.workers, request.timeout_s)
        if request.member == self._member and self._runner is not None:
            self._spawn(self._advise_locally(order, self._runner))
        elif not self._planner_server.send_advice_order(request.member, order):
            log.write("advice_not_sent", member=request.member)

    async def _advise_locally(
        self, order: messages.AdviceOrder, runner: PlannerRunner
    ) -> None:
        runner.on_advised(self._member, await self._answer_advice_order(order))

    async def _answer_advice_order(
        self, order: messages.AdviceOrder
    ) -> messages.Advised:
        good = None
        try:
            good = await self._advice_client.find_eligible_workers(
                order.step, order.workers, order.timeout_s
            )
        except UnavailableError as error:
            log.write("advice_failed", step=list(order.step), reason=str(error))
        return messages.Advised(order.step, order.workers, good)
