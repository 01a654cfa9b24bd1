"""Records that a member appends to the election log."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any, cast

import msgpack
from jacinthloom_core.planner.election import Election, ElectionAction, ElectionRecord
from jacinthloom_core.planner.lease_authority import LeaseAuthority
from jacinthloom_daemon.hosted import clock, elections
from jacinthloom_daemon.hosted.elections import ABDICATE_AFTER_S, ElectionFollower
from jacinthloom_daemon.platform.errors import UnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

FAILURE_S = ABDICATE_AFTER_S / 2 + 0.05
"""Seconds until an append fails: a planner abdicates after two."""


class RecordingStore:
    """A store that takes every append, but for some failures.

    :ivar records: records of all appends
    :ivar failures: number of appends that fail first
    :ivar on_append: called with each append
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.failures = 0
        self.on_append: Callable[[], None] = lambda: None

    async def append(self, topic: str, records: list[bytes], **options: Any) -> int:
        self.on_append()
        if self.failures:
            self.failures -= 1
            await asyncio.sleep(FAILURE_S)
            raise UnavailableError("timed out", is_outcome_unknown=True)
        self.records += records
        return len(self.records) - 1


class ElectionFollowerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = RecordingStore()
        self.election = Election("m1", "10.0.0.1:1")
        self.abdications = 0
        self.follower = ElectionFollower(
            cast("Any", self.store),
            self.election,
            lambda term: None,
            self.count_abdication,
        )

    def count_abdication(self) -> None:
        self.abdications += 1

    # Guards against a release that may end any later term of the same member, as the
    # store may carry it out seconds late.
    async def test_release_names_its_term(self) -> None:
        self.election.on_claimed(6, 0.0)
        await self.follower.release()
        record = elections.decode(self.store.records[-1])
        assert record is not None
        self.assertEqual((record.action, record.term), (ElectionAction.RELEASE, 7))

    # Guards against a term that is given up for a failed renewal of the one before it,
    # whose call was in flight as the same member claimed again.
    async def test_failed_renewal_of_an_earlier_term_is_ignored(self) -> None:
        self.election.on_claimed(0, clock.now())
        self.store.failures = 2
        self.store.on_append = lambda: self.claim_again_after(1)
        lease_authority = LeaseAuthority("10.0.0.1:1", None, True, clock.now())
        async with asyncio.timeout(5):
            await self.follower.renew(lease_authority)
        self.assertEqual(self.abdications, 0)
        self.assertTrue(self.election.has_authority(clock.now()))

    def claim_again_after(self, failures: int) -> None:
        """Claim the next term once so many appends are left to fail."""
        if self.store.failures == failures:
            self.election.on_claimed(9, clock.now())

    # Guards against a planner that takes the voters of its own earlier term for those
    # of a later planner, whose leases it would not wait for.
    async def test_renewal_that_was_stored_in_an_earlier_term_is_ignored(self) -> None:
        self.election.on_claimed(0, clock.now())
        later = ElectionRecord(ElectionAction.CLAIM, "m2", "10.0.0.2:1")
        renewal = ElectionRecord(
            ElectionAction.RENEW, "m2", "10.0.0.2:1", 0, ("10.0.0.2:1",), 8
        )
        self.store.on_append = lambda: self.election.on_read(
            [(7, later), (8, renewal)], 9, clock.now()
        )
        lease_authority = LeaseAuthority("10.0.0.1:1", None, True, clock.now())
        async with asyncio.timeout(5):
            await self.follower.renew(lease_authority)
        self.assertEqual(self.election.voters, {"10.0.0.2:1"})

    # Guards against the same for a report that the planner is unreachable.
    async def test_report_names_its_term(self) -> None:
        claim = ElectionRecord(ElectionAction.CLAIM, "m2", "10.0.0.2:1")
        self.election.on_read([(6, claim)], 7, 0.0)
        await self.follower.report_unreachable_planner()
        record = elections.decode(self.store.records[-1])
        assert record is not None
        self.assertEqual(record.term, 7)

    # Guards against releases of builds that did not name the term, which would be
    # ignored during an update.
    def test_record_without_a_term_is_decoded(self) -> None:
        data = msgpack.packb(["release", "m1", "10.0.0.1:1", 1_000])
        record = elections.decode(data)
        assert record is not None
        self.assertEqual((record.action, record.term), (ElectionAction.RELEASE, 0))


if __name__ == "__main__":
    unittest.main()
