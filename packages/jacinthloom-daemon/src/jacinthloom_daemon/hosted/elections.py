"""Take part in the planner election: read its log, claim, renew and release."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import msgpack
from jacinthloom_core.planner.election import (
    READ_WAIT_S,
    RENEW_S,
    Election,
    ElectionAction,
    ElectionRecord,
)

from ..platform import topics
from ..platform.errors import (
    ConflictError,
    PlatformError,
    TruncatedError,
    UnavailableError,
)
from . import clock, log

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from jacinthloom_core.planner.election import Term
    from jacinthloom_core.planner.lease_authority import LeaseAuthority

    from ..platform.log_store import LogStore, ReadRecords

RETRY_INTERVAL_S = 0.15
"""Seconds until a failed call is retried."""

MIN_READ_WAIT_S = 0.02
"""Minimum seconds that a read waits for a record after the first one."""

ABDICATE_AFTER_S = 0.8
"""Seconds since the last renewal after which a planner that can't write abdicates: a
slow store responds within half a second."""

REFUSED_ABDICATE_AFTER_S = 0.14
"""Seconds since the first failure after which it abdicates if the store has certainly
rejected every attempt: long enough for one retry."""


class ElectionFollower:
    """Keep one member's view of the election up to date, and maintain its claim.

    :param on_term: called with each new term, or None if there is no planner
    :param on_abdicated: called when this planner can't renew its claim
    """

    def __init__(
        self,
        store: LogStore,
        election: Election,
        on_term: Callable[[Term | None], None],
        on_abdicated: Callable[[], None],
    ) -> None:
        self._store = store
        self._on_abdicated = on_abdicated
        self._election = election
        self._on_term = on_term
        self._announced_term: Term | None = None
        self._position = 0
        self._is_renewing = False
        self._renewal_requested = asyncio.Event()
        self._claim_check_requested = asyncio.Event()
        self._is_reachable = True
        self.claims_enabled = True
        """Whether this member claims when there is no planner."""

    async def follow(self) -> None:
        """Read the election log until cancelled; claim when there is no planner."""
        while True:
            try:
                await self._step()
            except TruncatedError as error:
                self._position = error.first
            except PlatformError as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _set_reachable(self, is_reachable: bool, reason: str = "") -> None:
        if is_reachable != self._is_reachable:
            kind = "dependency_regained" if is_reachable else "dependency_lost"
            log.write(kind, dependency="store", topic=topics.ELECTION, reason=reason)
        self._is_reachable = is_reachable

    def request_claim_check(self) -> None:
        """Check at once whether to claim: the planner reports that it can't write."""
        self._claim_check_requested.set()

    async def _read_or_interrupt(self) -> ReadRecords | None:
        """Read the next records; return None if a claim check is requested first."""
        wait_s = self._compute_read_wait_s()
        read = asyncio.create_task(
            self._store.read(topics.ELECTION, self._position, wait_s)
        )
        interrupted = asyncio.create_task(self._claim_check_requested.wait())
        try:
            await asyncio.wait({read, interrupted}, return_when=asyncio.FIRST_COMPLETED)
            return read.result() if read.done() else None
        finally:
            self._claim_check_requested.clear()
            read.cancel()
            interrupted.cancel()

    def _compute_read_wait_s(self) -> float:
        """Return how long to wait for records: at most until a claim is due."""
        if not self._position:
            return 0.0
        due_s = self._election.compute_claim_wait_s(clock.now())
        if self._election.is_planner or not self.claims_enabled or due_s <= 0:
            return READ_WAIT_S
        return min(READ_WAIT_S, max(MIN_READ_WAIT_S, due_s))

    async def _step(self) -> None:
        read = await self._read_or_interrupt()
        if read is None:
            if self.claims_enabled and self._election.may_claim(clock.now()):
                await self._claim()
            return
        self._set_reachable(True)
        rows = [
            (read.first_offset + number, decode(data))
            for number, data in enumerate(read.records)
        ]
        self._position = max(read.next_offset, self._position)
        wall_ms = int(time.time() * 1000)
        self._election.on_read(rows, read.next_offset, clock.now(), wall_ms)
        self._announce_term()
        if self.claims_enabled and self._election.may_claim(clock.now()):
            await self._claim()
        elif not self._position:
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _claim(self) -> None:
        sent_at = clock.now()
        try:
            offset = await self._append(ElectionAction.CLAIM)
        except ConflictError:
            return
        self._election.on_claimed(offset, sent_at)
        self._position = max(self._position, offset + 1)
        self._announce_term()

    async def renew(self, lease_authority: LeaseAuthority) -> None:
        """Renew this member's claim of the current term for as long as it holds.

        After a period of failed renewals, abdicate so that other members may claim.

        :param lease_authority: told of each renewal; chooses the voters to name
        """
        renewed_at = failed_at = clock.now()
        failures = 0
        is_outcome_unknown = False
        self._is_renewing = True
        term = self._election.term
        assert term is not None
        while self._is_renewing and self._election.term == term:
            sent_at = clock.now()
            voters = lease_authority.choose_voters(sent_at)
            try:
                offset = await self._append(ElectionAction.RENEW, voters=voters)
            except PlatformError as error:
                if self._election.term != term:
                    return
                if not _may_have_run(error):
                    lease_authority.on_renewal_refused()
                failures += 1
                if failures == 1:
                    failed_at = sent_at
                    log.write("renewal_failed", reason=str(error))
                is_outcome_unknown = is_outcome_unknown or _may_have_run(error)
                now = clock.now()
                if is_outcome_unknown:
                    is_over = now - renewed_at > ABDICATE_AFTER_S
                else:
                    is_over = now - failed_at > REFUSED_ABDICATE_AFTER_S
                if failures > 1 and is_over:
                    renewed_at = failed_at = now
                    self._election.abdicate()
                    lease_authority.abdicate()
                    self._on_abdicated()
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            if self._election.term != term:
                return
            if failures:
                log.write("renewal_recovered", failures=failures)
            failures = 0
            is_outcome_unknown = False
            renewed_at = sent_at
            self._election.on_renewed(offset, sent_at, voters)
            lease_authority.on_renewed(sent_at, voters)
            await self._wait_for_renewal(max(0.0, sent_at + RENEW_S - clock.now()))

    async def _wait_for_renewal(self, seconds: float) -> None:
        """Wait until the next renewal is due or requested."""
        self._renewal_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._renewal_requested.wait()

    def renew_now(self) -> None:
        """Renew at once: the store has rejected another append of this process."""
        self._renewal_requested.set()

    def stop_renewing(self) -> None:
        """Stop renewing; other members may claim once the claim has expired."""
        self._is_renewing = False

    async def release(self) -> None:
        """Release the claim, so that another member can claim without waiting."""
        if not self._election.is_planner:
            return
        self._is_renewing = False
        try:
            await self._append(ElectionAction.RELEASE, is_conditional=False)
        except PlatformError as error:
            log.write("release_failed", reason=str(error))

    async def report_unreachable_planner(self) -> None:
        """Report in the election log that this member can't reach the planner."""
        try:
            await self._append(ElectionAction.REPORT_UNREACHABLE, is_conditional=False)
            log.write("complained", term=self._election.term)
        except PlatformError as error:
            log.write("complaint_failed", reason=str(error))

    async def _append(
        self,
        action: ElectionAction,
        is_conditional: bool = True,
        voters: tuple[str, ...] | None = None,
    ) -> int:
        election = self._election
        wall_ms = int(time.time() * 1000)
        term = election.term.number if election.term is not None else 0
        record = encode(
            ElectionRecord(
                action, election.member, election.address, wall_ms, voters, term
            )
        )
        expected_end = election.next_offset if is_conditional else None
        return await self._store.append(
            topics.ELECTION, [record], expected_end=expected_end
        )

    def _announce_term(self) -> None:
        term = self._election.term
        if term != self._announced_term:
            self._announced_term = term
            if term is None:
                log.write("no_planner")
            else:
                log.write("term", number=term.number, member=term.member)
            self._on_term(term)


def _may_have_run(error: PlatformError) -> bool:
    """Whether a failed append may have been carried out, or may still be."""
    return not isinstance(error, UnavailableError) or error.is_outcome_unknown


def encode(record: ElectionRecord) -> bytes:
    """Encode a record for the log."""
    plain: list[Any] = [
        record.action.value,
        record.member,
        record.address,
        record.wall_ms,
    ]
    is_short = record.action in (ElectionAction.CLAIM, ElectionAction.RENEW)
    if record.voters is not None or (record.term and not is_short):
        plain += [record.voters, record.term]
    return bytes(msgpack.packb(plain))


def decode(data: bytes) -> ElectionRecord | None:
    """Decode a record of the log; return None if it is invalid."""
    try:
        action, member, address, wall_ms, *rest = msgpack.unpackb(data)
        record = ElectionRecord(
            ElectionAction(action), str(member), str(address), int(wall_ms)
        )
        if not rest:
            return record
        voters, term = rest
        if voters is not None:
            voters = tuple(str(voter) for voter in voters)
        return replace(record, voters=voters, term=int(term))
    except (ValueError, TypeError) as error:
        log.write("election_record_ignored", reason=str(error))
        return None
