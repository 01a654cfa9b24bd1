"""The shell of a member that has ended."""

from __future__ import annotations

import asyncio
import unittest

from jacinthloom_core.model import events
from jacinthloom_core.model.answers import Refusal
from jacinthloom_core.model.settings import MemberSettings
from jacinthloom_daemon.metrics import Metrics
from jacinthloom_daemon.shell import Shell
from jacinthloom_daemon.timeline import Timeline
from jacinthloom_wire.http_server import ServerLimits
from jacinthloom_wire.settings_file import ProcessSettings

ADDRESS = "127.0.0.1:9"


class EndedShellTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a request that is read while the process exits and never answered,
    # since its member has left and ignores it.
    async def test_request_after_the_end_is_refused(self) -> None:
        settings = ProcessSettings(
            "e1", "z1", ADDRESS, ADDRESS, ADDRESS, ADDRESS, None, 10, ServerLimits()
        )
        member_settings = MemberSettings("e1.1", ADDRESS, "z1", ADDRESS, 10)
        shell = Shell(
            settings, member_settings, Timeline("e1"), Metrics(lambda: shell.member)
        )
        shell._finish(False)
        async with asyncio.timeout(1):
            answer = await shell.call(
                lambda call, now, wall: events.JobQueried(
                    now, wall, call, "key", "j-1", False
                )
            )
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.not_run), ("leaving", True))


if __name__ == "__main__":
    unittest.main()
