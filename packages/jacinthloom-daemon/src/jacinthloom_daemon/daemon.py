"""One entry process: its HTTP server, and its successive members."""

from __future__ import annotations

import asyncio
import logging
import secrets
import signal
from typing import TYPE_CHECKING

from jacinthloom_core import MemberSettings
from jacinthloom_wire.http_server import HttpServer

from .api import Api
from .metrics import Metrics
from .shell import Shell
from .timeline import Timeline

if TYPE_CHECKING:
    from jacinthloom_wire.settings_file import ProcessSettings

_log = logging.getLogger(__name__)

INCARNATION_BYTES = 3
"""Random bytes that distinguish the incarnations of a process."""


class Daemon:
    """Run members one after another until a planned stop.

    A member that was removed from the view ends, and the process rejoins as a new one.
    """

    def __init__(self, settings: ProcessSettings) -> None:
        self._settings = settings
        self._timeline = Timeline(settings.name)
        self._metrics = Metrics(lambda: self._shell.member)
        self._shell: Shell
        self._stopping = False

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then perform a planned stop and return."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        self._shell = self._make_shell()
        api = Api(
            lambda: self._shell,
            self._settings.operator_key,
            self._timeline,
            self._metrics,
        )
        server = HttpServer(api.handle, self._settings.limits)
        await server.start(self._settings.http_address)
        _log.info("started", extra={"fields": {"address": self._settings.http_address}})
        while await self._shell.run() and not self._stopping:
            _log.info("joining anew as another member")
            self._shell = self._make_shell()
        await server.close()
        _log.info("stopped")

    def _make_shell(self) -> Shell:
        settings = self._settings
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        member_settings = MemberSettings(
            f"{settings.name}.{incarnation}",
            settings.peer_address,
            settings.zone,
            settings.http_address,
            settings.queue_bound,
        )
        shell = Shell(settings, member_settings, self._timeline, self._metrics)
        self._metrics.get_peer_sent_bytes = lambda: shell.sent_bytes
        return shell

    def _stop(self) -> None:
        if not self._stopping:
            self._stopping = True
            self._shell.stop()
