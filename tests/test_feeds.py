"""One record that can't be used does not keep a feed from following the others."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, cast

from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.records import Record
from jacinthloom_core.planner.rules import Rules
from jacinthloom_daemon.hosted.feeds import KeyedFeed, OperatorFeed, WorkerFeed
from jacinthloom_daemon.platform.log_store import (
    NewestRecords,
    ReadRecords,
    encode_keyed,
)

from .platform_adapter.test_schemas import WORKER


class ScriptedStore:
    """A store with the newest records of a topic, and changes to read."""

    def __init__(self, newest: dict[str, bytes]) -> None:
        self.newest = newest
        self.changes: list[bytes] = []
        self.failures: list[Exception] = []

    async def read_newest(self, topic: str) -> NewestRecords:
        if self.failures:
            raise self.failures.pop()
        return NewestRecords(self.newest, 0)

    async def read(self, topic: str, start: int, wait_s: float) -> ReadRecords:
        await asyncio.sleep(0.001)
        records = tuple(self.changes[start:])
        return ReadRecords(start, records, start + len(records))


def make_entry(**fields: object) -> bytes:
    return json.dumps(WORKER | fields).encode()


class FeedsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.ignored: Counter[str] = Counter()
        self.listed: list[str] = []

    def on_listed(self, entry: WorkerEntry) -> None:
        if entry.service == "raises":
            raise ValueError("unexpected")
        self.listed.append(entry.id)

    def make_worker_feed(self, store: ScriptedStore) -> WorkerFeed:
        feed = WorkerFeed(
            cast("Any", store), self.ignored, self.on_listed, lambda worker: None
        )
        feed.read_interval_s = 0.0
        return feed

    async def follow_until(
        self, feed: KeyedFeed, is_done: Callable[[], Awaitable[bool]]
    ) -> None:
        task = asyncio.create_task(feed.follow())
        try:
            async with asyncio.timeout(2):
                while not await is_done():
                    await asyncio.sleep(0.005)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    # Guards against entries of another writer that end the feed of workers.
    async def test_odd_entries_cost_only_themselves(self) -> None:
        odd = {
            "i-0": b"\xff\xfe",
            "i-1": make_entry(address="http://127.0.0.9:8080"),
            "i-2": make_entry(address="10.0.0.9:65536"),
            "i-3": make_entry(address="10.0.0.9"),
            "i-4": make_entry(address="a.example:80"),
            "i-5": make_entry(service="raises"),
        }
        store = ScriptedStore({"a": make_entry()} | odd | {"z": make_entry()})
        store.changes = [
            b"\xff",
            encode_keyed(Record("i-6", make_entry(service="raises"))),
            encode_keyed(Record("last", make_entry())),
        ]

        async def is_done() -> bool:
            return "last" in self.listed

        with self.assertLogs("jacinthloom"):
            await self.follow_until(self.make_worker_feed(store), is_done)
        self.assertEqual(self.listed, ["a", "z", "last"])
        self.assertEqual(self.ignored["keyed.servers"], 8)

    # Guards against a feed that ends for good after an error nobody expected.
    async def test_feed_goes_on_after_an_unexpected_error(self) -> None:
        store = ScriptedStore({"a": make_entry()})
        store.failures = [ValueError("unexpected")]

        async def is_done() -> bool:
            return self.listed == ["a"]

        with self.assertLogs("jacinthloom", "ERROR"):
            await self.follow_until(self.make_worker_feed(store), is_done)

    # Guards against a configuration that is not followed after an odd one.
    async def test_configuration_after_an_odd_one_takes_effect(self) -> None:
        versions: list[int] = []

        def on_rules(rules: Rules) -> None:
            versions.append(rules.version)

        store = ScriptedStore({"config": b"[" * 200_000, "evacuate/z1": b"{}"})
        store.changes = [
            encode_keyed(Record("config", b"\x00")),
            encode_keyed(Record("config", json.dumps({"version": 4}).encode())),
        ]
        feed = OperatorFeed(
            cast("Any", store), self.ignored, on_rules, lambda zones: None
        )

        async def is_done() -> bool:
            return bool(versions)

        with self.assertLogs("jacinthloom"):
            await self.follow_until(feed, is_done)
        self.assertEqual(versions, [4])
        self.assertEqual(feed.zones_out, frozenset({"z1"}))


if __name__ == "__main__":
    unittest.main()
