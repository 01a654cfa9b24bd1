"""Follow the election in the store, claim, and renew."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgpack
from jacinthloom_core.planner.election import (
    READ_WAIT_S,
    RENEW_S,
    Act,
    Election,
    ElectionRecord,
)

from ..platform import topics
from ..platform.errors import ConflictError, PlatformError, TruncatedError
from . import log

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.election import Term

    from ..platform.log_store import LogStore

RETRY_S = 0.1
"""Seconds until a call that failed is repeated."""


class ElectionFollower:
    """Keep one member's knowledge of the election, and its claim."""

    def __init__(
        self,
        store: LogStore,
        election: Election,
        on_term: Callable[[Term | None], None],
    ) -> None:
        self._store = store
        self._election = election
        self._on_term = on_term
        self._told: Term | None = None
        self._position = 0
        self.may_stand = True
        """Whether this member may claim."""

    async def follow(self) -> None:
        """Read the election until cancelled; claim when there is no planner."""
        while True:
            try:
                await self._step()
            except TruncatedError as error:
                self._position = error.first
            except PlatformError as error:
                log.write("election_read_failed", reason=str(error))
                await asyncio.sleep(RETRY_S)

    async def _step(self) -> None:
        read = await self._store.read(
            topics.ELECTION, self._position, READ_WAIT_S if self._position else 0.0
        )
        rows = [
            (read.first + number, decode(data))
            for number, data in enumerate(read.records)
        ]
        self._position = max(read.next, self._position)
        self._election.on_read(rows, read.next, time.monotonic())
        self._tell()
        if self.may_stand and self._election.may_claim(time.monotonic()):
            await self._claim()
        elif not self._position:
            await asyncio.sleep(RETRY_S)

    async def _claim(self) -> None:
        sent_at = time.monotonic()
        try:
            offset = await self._append(Act.CLAIM)
        except ConflictError:
            return
        self._election.on_claimed(offset, sent_at)
        self._position = max(self._position, offset + 1)
        self._tell()

    async def renew(self) -> None:
        """Renew this member's claim for as long as it is the newest."""
        while self._election.is_planner:
            sent_at = time.monotonic()
            try:
                offset = await self._append(Act.RENEW)
                self._election.on_renewed(offset, sent_at)
                await asyncio.sleep(RENEW_S)
            except PlatformError as error:
                log.write("renewal_failed", reason=str(error))
                await asyncio.sleep(RETRY_S)

    async def release(self) -> None:
        """Give the claim up, so that another member need not wait."""
        self.may_stand = False
        if not self._election.is_planner:
            return
        try:
            await self._append(Act.RELEASE)
        except PlatformError as error:
            log.write("release_failed", reason=str(error))

    async def _append(self, act: Act) -> int:
        election = self._election
        record = encode(ElectionRecord(act, election.member, election.address))
        return await self._store.append(topics.ELECTION, [record], at=election.end)

    def _tell(self) -> None:
        term = self._election.term
        if term != self._told:
            self._told = term
            if term is None:
                log.write("no_planner")
            else:
                log.write("term", number=term.number, member=term.member)
            self._on_term(term)


def encode(record: ElectionRecord) -> bytes:
    """Return a record as it stands in the log."""
    return bytes(msgpack.packb([record.act.value, record.member, record.address]))


def decode(data: bytes) -> ElectionRecord | None:
    """Return a record of the log, or None if it can't be read."""
    try:
        act, member, address = msgpack.unpackb(data)
        return ElectionRecord(Act(act), str(member), str(address))
    except (ValueError, TypeError) as error:
        log.write("election_record_ignored", reason=str(error))
        return None
