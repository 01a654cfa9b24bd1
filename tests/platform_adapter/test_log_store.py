"""The client of the store reads what it can, whatever others have written."""

from __future__ import annotations

import base64
import json
import struct
import unittest

from jacinthloom_daemon.platform.errors import TruncatedError, UnavailableError
from jacinthloom_daemon.platform.log_store import LogStore
from jacinthloom_wire.http_server import HttpServer, Request, ServerResponse


class LogStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.pages: list[tuple[int, bytes]] = []
        self.queries: list[dict[str, str]] = []
        self.server = HttpServer(self.respond)
        self.store = LogStore(await self.server.start("127.0.0.1:0"))

    async def asyncTearDown(self) -> None:
        self.store.close()
        await self.server.close(0.1)

    async def respond(self, request: Request) -> ServerResponse:
        self.queries.append(request.query)
        status, body = self.pages.pop(0)
        return ServerResponse(status, body, "application/json")

    def add_page(self, *items: dict[str, object], more: bool = False) -> None:
        body = {"items": list(items), "hasMore": more, "end": 9}
        self.pages.append((200, json.dumps(body).encode()))

    # Guards against one value that keeps all newest records from being read, and ends
    # the feed that reads them.
    async def test_value_that_cannot_be_read_costs_its_record(self) -> None:
        value = base64.b64encode(b"text").decode()
        self.add_page(
            {"key": "a", "value": value},
            {"key": "b", "value": "not base64!"},
            {"key": "c", "value": "YQ"},
            more=True,
        )
        self.add_page({"key": "d", "value": value})
        newest = await self.store.read_newest("keyed.servers")
        self.assertEqual(newest.value_by_key, {"a": b"text", "d": b"text"})
        self.assertEqual(self.queries[1]["after"], "c")

    # Guards against a response that raises something else than what callers expect.
    async def test_unreadable_responses_count_as_unanswered(self) -> None:
        for body in (b"", b"[", b"\xff", b'{"end":1,"items":' + b"[" * 100_000):
            self.pages.append((200, body))
            with self.assertRaises(UnavailableError):
                await self.store.read_newest("keyed.servers")
            self.pages.append((200, body))
            with self.assertRaises(UnavailableError) as caught:
                await self.store.append("keyed.jobs", [b"x"])
            self.assertTrue(caught.exception.is_outcome_unknown)

    # Guards against a change that is taken for read, and never read again, since the
    # response that carried it was cut short.
    async def test_record_that_is_cut_short_is_read_again(self) -> None:
        def encode(*records: bytes) -> bytes:
            return b"".join(struct.pack(">I", len(data)) + data for data in records)

        head = struct.pack(">QQ", 9, 0)
        whole = head + encode(b"first", b"second")
        for cut in range(1, 4 + len(b"second")):
            self.pages.append((200, whole[:-cut]))
            read = await self.store.read("keyed.op", 7)
            self.assertEqual((read.records, read.next_offset), ((b"first",), 8))
        for cut in range(1, 4 + len(b"first")):
            self.pages.append((200, (head + encode(b"first"))[:-cut]))
            with self.assertRaises(UnavailableError):
                await self.store.read("keyed.op", 7)
        self.pages.append((200, whole))
        self.assertEqual((await self.store.read("keyed.op", 7)).next_offset, 9)

    # Guards against a change that is skipped, since it was written and deleted while a
    # read waited for it: a process would go by the configuration before it.
    async def test_record_that_is_deleted_during_a_read_is_missed_visibly(self) -> None:
        later = struct.pack(">I", 5) + b"later"
        for records in (b"", later):
            self.pages.append((200, struct.pack(">QQ", 9, 8) + records))
            with self.assertRaises(TruncatedError) as caught:
                await self.store.read("keyed.op", 7)
            self.assertEqual(caught.exception.first, 8)

    # Guards against an append that counts as certainly not stored though an
    # intermediary answered in place of the store.
    async def test_outcome_of_an_append_is_known_only_from_the_store(self) -> None:
        for status, is_unknown in ((503, False), (429, False), (507, False)):
            self.pages.append((status, b"{}"))
            with self.assertRaises(UnavailableError) as caught:
                await self.store.append("keyed.jobs", [b"x"])
            self.assertEqual(caught.exception.is_outcome_unknown, is_unknown)
        for status in (500, 502, 504):
            self.pages.append((status, b"{}"))
            with self.assertRaises(UnavailableError) as caught:
                await self.store.append("keyed.jobs", [b"x"])
            self.assertTrue(caught.exception.is_outcome_unknown)


if __name__ == "__main__":
    unittest.main()
