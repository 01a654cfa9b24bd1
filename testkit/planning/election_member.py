"""Simulated members: the real election and lease authority, and copies of the rest.

Each class names the module of the daemon that it mirrors. The messages and the timing
are the daemon's own.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

from jacinthloom_core.planner.election import (
    MIN_TERM_BEFORE_HANDOVER_S,
    READ_WAIT_S,
    RENEW_S,
    REPORT_UNREACHABLE_AFTER_S,
    Election,
    ElectionAction,
    ElectionRecord,
    Term,
)
from jacinthloom_daemon.hosted import messages
from jacinthloom_daemon.hosted.elections import (
    ABDICATE_AFTER_S,
    MIN_READ_WAIT_S,
    REFUSED_ABDICATE_AFTER_S,
    RETRY_INTERVAL_S,
)
from jacinthloom_daemon.hosted.planner_client import (
    PEER_QUERY_INTERVAL_S,
    RECONNECT_INTERVAL_S,
)
from jacinthloom_daemon.hosted.process import (
    DRAIN_S,
    REACHABILITY_INTERVAL_S,
    VOTER_QUERY_INTERVAL_S,
)
from jacinthloom_daemon.hosted.streams import (
    CONNECT_TIMEOUT_S,
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
)
from jacinthloom_daemon.platform.log_store import CALL_TIMEOUT_S, LONG_POLL_MARGIN_S

from .virtual_network import Conflict, Failure, StreamEnd, Truncated
from .virtual_tasks import Future, Task, VirtualProcess

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.lease_authority import LeaseAuthority

    from .election_world import ElectionWorld, Host

LEASE_RENEWAL_S = 0.1
"""Seconds between the lease renewals of a simulated planner."""


class Runner:
    """The planner of one term (``planner_runner.py``): loads, then renews leases."""

    def __init__(self, term: Term, authority: LeaseAuthority) -> None:
        self.term = term
        self.authority = authority
        self.is_ready = False
        self.is_over = False


class Session:
    """The stream of one member at its planner (``planner_server.py``)."""

    def __init__(
        self, stream: StreamEnd, runner: Runner, hello: messages.Hello
    ) -> None:
        self.stream = stream
        self.runner = runner
        self.hello = hello
        self.reaches_store = True
        self._numbers = itertools.count(1)
        self._sent_at_by_ping: dict[int, float] = {}

    @property
    def can_take_over(self) -> bool:
        """Whether the member reaches the store and may succeed the planner."""
        may_succeed = self.runner.authority.may_succeed(self.hello.address)
        return self.reaches_store and may_succeed

    def ping(self, now: float) -> None:
        """Send a numbered ping."""
        number = next(self._numbers)
        self._sent_at_by_ping[number] = now
        self.stream.send(messages.Ping(number=number))

    def on_ping(self, ping: messages.Ping) -> None:
        """Record which ping the member has answered."""
        self.reaches_store = ping.reaches_store
        sent_at = self._sent_at_by_ping.get(ping.number)
        if sent_at is not None:
            self.runner.authority.on_ping_answered(self.hello.address, sent_at)


class Member(VirtualProcess):
    """One entry process (``process.py``)."""

    def __init__(self, world: ElectionWorld, host: Host, name: str) -> None:
        super().__init__(world.clock)
        self.world = world
        self.host = host
        self.election = Election(name, host.address, host.processors)
        self.runner: Runner | None = None
        self.is_stopping = False
        self._last_planned_term = 0
        self._term_began_at = 0.0
        self.follower = Follower(self)
        self.server = Server(self)
        self.client = Client(self)

    def start(self) -> None:
        """Start all tasks of the process."""
        self.spawn(self._watch_reachability())
        self.spawn(self.client.query_peers())
        self.spawn(self.follower.follow())

    async def stop(self) -> None:
        """Stop as on SIGTERM."""
        self.is_stopping = True
        self.follower.claims_enabled = False
        await self._hand_over()
        await self.sleep(DRAIN_S)
        self.world.end_process(self)

    async def _hand_over(self) -> None:
        if self.runner is not None:
            self.runner.is_over = True
        await self.follower.release()

    async def _watch_reachability(self) -> None:
        while True:
            await self.sleep(REACHABILITY_INTERVAL_S)
            if self.client.is_isolated:
                await self.follower.append(
                    ElectionAction.REPORT_UNREACHABLE, is_conditional=False
                )
                await self.sleep(REACHABILITY_INTERVAL_S)
                continue
            if self.runner is None or not self.runner.is_ready:
                continue
            election = self.election
            election.largest_processors = self.server.find_largest_processors()
            is_old = self.now - self._term_began_at > MIN_TERM_BEFORE_HANDOVER_S
            is_deposed = election.is_unreachable(len(self.server.by_member), self.now)
            if is_deposed or (election.has_larger_alternative and is_old):
                election.suspend_claims(self.now)
                await self._hand_over()

    def on_term(self, term: Term | None) -> None:
        """Begin to follow the planner of a term, or to plan."""
        if self.runner is not None:
            self.runner.is_over = True
        self.client.set_term(term)
        if term is None or term.member != self.election.member:
            return
        if term.number <= self._last_planned_term:
            return
        self._last_planned_term = term.number
        if self.is_stopping:
            self.spawn(self.follower.release())
            return
        election = self.election
        authority = self.world.make_authority(
            election.address, election.voters, election.is_voter, self.now
        )
        runner = Runner(term, authority)
        self.world.note(self, "claimed", term.number, sorted(election.voters or ()))
        self.spawn(self.follower.renew(authority))
        self.spawn(self._run_planner(runner))

    def on_abdicated(self) -> None:
        """Tell the members that others may claim."""
        if self.election.term is not None:
            self.world.note(self, "abdicated", self.election.term.number)
            self.server.broadcast(messages.Abdicated(self.election.term.number))

    async def _run_planner(self, runner: Runner) -> None:
        self.runner = runner
        self._term_began_at = self.now
        queries = self.spawn(self._query_silent_voters(runner.authority))
        await self._load(runner)
        if not runner.is_over:
            runner.is_ready = True
            self.world.on_loaded(self, runner)
            self.server.set_runner(runner)
            self.client.set_local_planner(runner)
        while not runner.is_over:
            if self.now < runner.authority.compute_until():
                self.world.on_leases_renewed(self, runner)
            await self.sleep(LEASE_RENEWAL_S)
        self.world.note(self, "ended", runner.term.number)
        queries.cancel()
        if self.election.term == runner.term:
            self.follower.is_renewing = False
        if self.runner is runner:
            self.runner = None
        self.client.remove_local_planner(runner)
        self.server.remove_runner(runner)
        self.client.query_peers_now()

    async def _query_silent_voters(self, authority: LeaseAuthority) -> None:
        while True:
            await self.sleep(VOTER_QUERY_INTERVAL_S)
            for voter in authority.list_silent_voters(self.now):
                self.spawn(self._query_voter(voter, authority))

    async def _query_voter(self, voter: str, authority: LeaseAuthority) -> None:
        sent_at = self.now
        if await self.client.knows_no_later_planner(voter):
            authority.on_ping_answered(voter, sent_at)

    async def _load(self, runner: Runner) -> None:
        store = self.world.store
        while not runner.is_over:
            result = await self.call_store(
                lambda answer: store.load(runner.term.number, answer), CALL_TIMEOUT_S
            )
            if isinstance(result, Conflict):
                runner.is_over = True
            if not isinstance(result, Failure):
                return
            await self.sleep(RETRY_INTERVAL_S)

    async def call_store(
        self,
        operation: Callable[[Callable[[Any], None]], None],
        timeout_s: float,
        is_write: bool = True,
        future: Future | None = None,
    ) -> Any:
        """Call the store; return the answer or a failure."""
        future = future or Future(self)
        address = self.host.address

        def answer(result: Any) -> None:
            self.call(lambda: future.set(result))

        self.world.store.call(address, operation, answer, is_write)
        self.after(timeout_s, lambda: future.set(Failure()))
        return await future


class Follower:
    """Reads the election log, claims and renews (``elections.py``)."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._election = member.election
        self._position = 0
        self._announced_term: Term | None = None
        self._read: Future | None = None
        self.is_renewing = False
        self.claims_enabled = True

    def request_claim_check(self) -> None:
        """Check at once whether to claim."""
        if self._read is not None:
            self._read.set()

    async def follow(self) -> None:
        """Read the log, and claim when there is no planner."""
        while True:
            result = await self._read_or_interrupt()
            if isinstance(result, Truncated):
                self._position = result.first
            elif isinstance(result, Failure):
                await self._member.sleep(RETRY_INTERVAL_S)
            elif result is None:
                await self._claim_if_due()
            else:
                first = result.first
                rows = [(first + n, record) for n, record in enumerate(result.records)]
                end = first + len(rows)
                self._position = max(end, self._position)
                self._election.on_read(
                    rows, end, self._member.now, self._member.host.wall_ms
                )
                self._announce_term()
                has_claimed = await self._claim_if_due()
                if not has_claimed and not self._position:
                    await self._member.sleep(RETRY_INTERVAL_S)

    async def _read_or_interrupt(self) -> Any:
        """Return the response to a read; None if a claim check is requested first."""
        wait_s = self._compute_read_wait_s()
        timeout_s = wait_s + LONG_POLL_MARGIN_S if wait_s else CALL_TIMEOUT_S
        self._read = Future(self._member)
        store, position = self._member.world.store, self._position
        return await self._member.call_store(
            lambda answer: store.read(position, wait_s, answer),
            timeout_s,
            is_write=False,
            future=self._read,
        )

    def _compute_read_wait_s(self) -> float:
        if not self._position:
            return 0.0
        due_s = self._election.compute_claim_wait_s(self._member.now)
        if self._election.is_planner or not self.claims_enabled or due_s <= 0:
            return READ_WAIT_S
        return min(READ_WAIT_S, max(MIN_READ_WAIT_S, due_s))

    async def _claim_if_due(self) -> bool:
        if not self.claims_enabled or not self._election.may_claim(self._member.now):
            return False
        sent_at = self._member.now
        result = await self.append(ElectionAction.CLAIM)
        if isinstance(result, Failure):
            await self._member.sleep(RETRY_INTERVAL_S)
        elif not isinstance(result, Conflict):
            self._election.on_claimed(result, sent_at)
            self._position = max(self._position, result + 1)
            self._announce_term()
        return True

    async def renew(self, authority: LeaseAuthority) -> None:
        """Renew the claim; abdicate after a period of failed renewals."""
        member, election = self._member, self._election
        renewed_at = failed_at = member.now
        failures = 0
        is_outcome_unknown = False
        self.is_renewing = True
        term = election.term
        while self.is_renewing and election.is_planner and election.term == term:
            sent_at = member.now
            voters = authority.choose_voters(sent_at)
            result = await self.append(ElectionAction.RENEW, voters=voters)
            if isinstance(result, Failure | Conflict):
                if election.term != term:
                    return
                failures += 1
                if failures == 1:
                    failed_at = sent_at
                # As in the daemon, a conflict counts as unknown.
                may_have_run = isinstance(result, Conflict) or result.may_have_run
                if not may_have_run:
                    authority.on_renewal_refused()
                is_outcome_unknown = is_outcome_unknown or may_have_run
                if is_outcome_unknown:
                    is_over = member.now - renewed_at > ABDICATE_AFTER_S
                else:
                    is_over = member.now - failed_at > REFUSED_ABDICATE_AFTER_S
                if failures > 1 and is_over:
                    renewed_at = failed_at = member.now
                    election.abdicate()
                    authority.abdicate()
                    member.on_abdicated()
                await member.sleep(RETRY_INTERVAL_S)
                continue
            if election.term != term:
                return
            failures = 0
            is_outcome_unknown = False
            renewed_at = sent_at
            election.on_renewed(result, sent_at, voters)
            authority.on_renewed(sent_at, voters)
            await member.sleep(max(0.0, sent_at + RENEW_S - member.now))

    async def release(self) -> None:
        """Release the claim."""
        if self._election.is_planner:
            self.is_renewing = False
            await self.append(ElectionAction.RELEASE, is_conditional=False)

    async def append(
        self,
        action: ElectionAction,
        is_conditional: bool = True,
        voters: tuple[str, ...] | None = None,
    ) -> Any:
        """Append a record; return its offset or what went wrong."""
        election, store = self._election, self._member.world.store
        wall_ms = self._member.host.wall_ms
        number = election.term.number if election.term is not None else 0
        record = ElectionRecord(
            action, election.member, election.address, wall_ms, voters, number
        )
        expected_end = election.next_offset if is_conditional else None
        return await self._member.call_store(
            lambda answer: store.append(record, expected_end, answer), CALL_TIMEOUT_S
        )

    def _announce_term(self) -> None:
        if self._election.term != self._announced_term:
            self._announced_term = self._election.term
            self._member.on_term(self._announced_term)


class Server:
    """Serves the members' streams to a planner (``planner_server.py``)."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._runner: Runner | None = None
        self._sessions: list[Session] = []
        self.by_member: dict[str, Session] = {}

    def set_runner(self, runner: Runner) -> None:
        """Set the planner to serve."""
        self._runner = runner

    def remove_runner(self, runner: Runner) -> None:
        """Close the streams to a planner."""
        if self._runner is runner:
            self._runner = None
        for session in list(self._sessions):
            if session.runner is runner:
                session.stream.close()

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every connected member."""
        for session in list(self._sessions):
            session.stream.send(message)

    def find_largest_processors(self) -> float:
        """Return the processors of the largest connected host with store access."""
        sessions = self.by_member.values()
        return max((s.hello.processors for s in sessions if s.can_take_over), default=0)

    def accept(self, stream: StreamEnd) -> None:
        """Accept a stream."""
        self._member.spawn(self._handle(stream))

    async def _handle(self, stream: StreamEnd) -> None:
        first = await stream.read(CONNECT_TIMEOUT_S)
        runner = self._runner
        if isinstance(first, messages.TermRequest):
            term = self._member.election.term or Term(0, "", "")
            stream.send(messages.KnownTerm(term.number, term.member, term.address))
        if not isinstance(first, messages.Hello) or runner is None:
            stream.close()
            return
        session = Session(stream, runner, first)
        self._sessions.append(session)
        self.by_member[first.member] = session
        stream.send(messages.Hello("", ""))
        runner.authority.on_connected(first.address)
        self._broadcast_members()
        self._member.client.peers = tuple(
            s.hello.address for s in self.by_member.values()
        )
        pings = self._member.spawn(self._ping(session))
        while (message := await stream.read(SILENCE_TIMEOUT_S)) is not None:
            if isinstance(message, messages.Ping):
                session.on_ping(message)
        pings.cancel()
        self._remove(session)

    async def _ping(self, session: Session) -> None:
        while True:
            await self._member.sleep(PING_INTERVAL_S)
            session.ping(self._member.now)

    def _remove(self, session: Session) -> None:
        self._sessions.remove(session)
        session.stream.close()
        hello = session.hello
        if all(s.hello.address != hello.address for s in self._sessions):
            session.runner.authority.on_disconnected(hello.address, self._member.now)
        if self.by_member.get(hello.member) is session:
            del self.by_member[hello.member]
            self._broadcast_members()

    def _broadcast_members(self) -> None:
        addresses = [s.hello.address for s in self.by_member.values()]
        own = self._member.host.address
        largest = self.find_largest_processors()
        self.broadcast(messages.Members((own, *sorted(addresses)), largest))


class Client:
    """Connects to the planner of the newest term (``planner_client.py``)."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._election = member.election
        self.peers: tuple[str, ...] = ()
        self._term: Term | None = None
        self._task: Task | None = None
        self._stream: StreamEnd | None = None
        self._local_planner: Runner | None = None
        self._disconnected_at: float | None = member.now
        self._peer_query: Future | None = None
        self._newest_ping = messages.Ping()

    @property
    def is_isolated(self) -> bool:
        """Whether the log shows the planner alive but this member can't reach it."""
        lost_at, now = self._disconnected_at, self._member.now
        return (
            lost_at is not None
            and now - lost_at > REPORT_UNREACHABLE_AFTER_S
            and not self._election.is_planner
            and self._election.is_alive_without(lost_at, now)
        )

    def set_term(self, term: Term | None) -> None:
        """Connect to the planner of a term."""
        if term is not None and term == self._term:
            return
        self._term = term
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._disconnect()
        if term is not None and term.member != self._election.member:
            self._task = self._member.spawn(self._keep_connected(term))

    def set_local_planner(self, runner: Runner) -> None:
        """Set the planner in this process."""
        self._local_planner = runner
        self._disconnected_at = None

    def remove_local_planner(self, runner: Runner) -> None:
        """Stop calling a planner of this process."""
        if self._local_planner is runner:
            self._local_planner = None
            if self._stream is None:
                self._mark_disconnected()

    def _mark_disconnected(self) -> None:
        if self._disconnected_at is None:
            self._disconnected_at = self._member.now

    def _disconnect(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        self._newest_ping = messages.Ping()
        if self._local_planner is None:
            self._mark_disconnected()

    async def _keep_connected(self, term: Term) -> None:
        while True:
            stream = await self._open(term.address)
            if isinstance(stream, StreamEnd):
                await self._handle(stream)
                self._disconnect()
            elif (
                stream is ConnectionRefusedError
                and self._election.on_connection_refused(term.number)
            ):
                self._member.follower.request_claim_check()
            await self._member.sleep(RECONNECT_INTERVAL_S)

    async def _open(self, address: str) -> Any:
        opened = Future(self._member)
        self._member.world.connect(self._member, address, opened.set)
        self._member.after(CONNECT_TIMEOUT_S, opened.set)
        return await opened

    async def _handle(self, stream: StreamEnd) -> None:
        member, election = self._member, self._election
        self._stream = stream
        stream.send(
            messages.Hello(election.member, election.address, election.processors)
        )
        pings = member.spawn(self._ping(stream))
        try:
            while (message := await stream.read(SILENCE_TIMEOUT_S)) is not None:
                if isinstance(message, messages.Hello):
                    self._disconnected_at = None
                elif isinstance(message, messages.Ping):
                    self._newest_ping = message
                elif isinstance(message, messages.Members):
                    self.peers = message.addresses
                    election.largest_processors = message.largest_processors
                elif isinstance(message, messages.Abdicated) and election.on_abdicated(
                    message.term, member.now
                ):
                    member.follower.request_claim_check()
        finally:
            pings.cancel()

    async def _ping(self, stream: StreamEnd) -> None:
        while True:
            await self._member.sleep(PING_INTERVAL_S)
            reaches_store = self._election.reaches_store(self._member.now)
            stream.send(messages.Ping(reaches_store, self._newest_ping.number))

    async def query_peers(self) -> None:
        """Query other members for a newer term while there is no planner."""
        member = self._member
        while True:
            self._peer_query = Future(member)
            member.after(PEER_QUERY_INTERVAL_S, self._peer_query.set)
            is_urgent = bool(await self._peer_query)
            lost_at = self._disconnected_at
            outage_s = 0.0 if lost_at is None else member.now - lost_at
            if outage_s < PEER_QUERY_INTERVAL_S and not is_urgent:
                continue
            for address in self.peers:
                if address != member.host.address and await self._query_peer(address):
                    break

    def query_peers_now(self) -> None:
        """Query other members at once."""
        if self._peer_query is not None:
            self._peer_query.set(True)

    async def _query_peer(self, address: str) -> bool:
        term = await self._fetch_term(address)
        return term is not None and self._adopt(term)

    async def knows_no_later_planner(self, address: str) -> bool:
        """Query a member, and return whether it answers without naming a newer term."""
        term = await self._fetch_term(address)
        return term is not None and not self._adopt(term)

    def _adopt(self, term: Term) -> bool:
        if not term.number or not self._election.on_term_learned(term):
            return False
        self._member.world.note(self._member, "told", term.number)
        self._member.on_term(term)
        return True

    async def _fetch_term(self, address: str) -> Term | None:
        stream = await self._open(address)
        if not isinstance(stream, StreamEnd):
            return None
        stream.send(messages.TermRequest())
        answer = await stream.read(CONNECT_TIMEOUT_S)
        stream.close()
        if not isinstance(answer, messages.KnownTerm):
            return None
        return Term(answer.number, answer.member, answer.address)
