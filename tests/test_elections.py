"""Records that a member appends to the election log."""

from __future__ import annotations

import unittest
from typing import Any, cast

import msgpack
from jacinthloom_core.planner.election import Election, ElectionAction, ElectionRecord
from jacinthloom_daemon.hosted import elections
from jacinthloom_daemon.hosted.elections import ElectionFollower


class RecordingStore:
    """A store that takes every append.

    :ivar records: records of all appends
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []

    async def append(self, topic: str, records: list[bytes], **options: Any) -> int:
        self.records += records
        return len(self.records) - 1


class ElectionFollowerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = RecordingStore()
        self.election = Election("m1", "10.0.0.1:1")
        self.follower = ElectionFollower(
            cast("Any", self.store), self.election, lambda term: None, lambda: None
        )

    # Guards against a release that may end any later term of the same member, as the
    # store may carry it out seconds late.
    async def test_release_names_its_term(self) -> None:
        self.election.on_claimed(6, 0.0)
        await self.follower.release()
        record = elections.decode(self.store.records[-1])
        assert record is not None
        self.assertEqual((record.action, record.term), (ElectionAction.RELEASE, 7))

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
