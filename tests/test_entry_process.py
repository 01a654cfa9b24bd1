"""Tasks of an entry process that last as long as the process."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any, cast

from jacinthloom_daemon.hosted.process import EntryProcess


class EntryProcessTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a process that goes on serving while a task of it has ended, and so
    # follows neither the configuration nor the election any more.
    async def test_lasting_task_is_restarted_after_an_error(self) -> None:
        starts = 0

        async def fail_once() -> None:
            nonlocal starts
            starts += 1
            if starts == 1:
                raise ValueError("unexpected")
            await asyncio.Event().wait()

        with self.assertLogs("jacinthloom", "ERROR"):
            keep_running = EntryProcess._keep_running(cast("Any", None), fail_once)
            task = asyncio.create_task(keep_running)
            async with asyncio.timeout(2):
                while starts < 2:
                    await asyncio.sleep(0.01)
        task.cancel()


if __name__ == "__main__":
    unittest.main()
