"""The planned stop of an entry process, and what is left of its time."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from . import clock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

EXIT_MARGIN_S = 0.8
"""Seconds by which the process exits before the platform kills it."""

MAX_MARGIN_SHARE = 0.25
"""Largest share of the grace time that the margin may take."""

DELIVERY_S = 0.2
"""Seconds before its exit at which the process responds to every open call, so that the
responses are delivered."""


class PlannedStop:
    """The time from SIGTERM until the process exits.

    :param grace_s: seconds from SIGTERM until the platform kills the process
    :ivar respond_by: time by which every call has its response
    :ivar exit_at: time by which the process exits
    """

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._begun = asyncio.Event()
        self.respond_by = float("inf")
        self.exit_at = float("inf")

    @property
    def has_begun(self) -> bool:
        """Whether the process is stopping."""
        return self._begun.is_set()

    def begin(self) -> None:
        """Begin the stop; a repeated SIGTERM does not postpone its end."""
        if self.has_begun:
            return
        margin_s = min(EXIT_MARGIN_S, MAX_MARGIN_SHARE * self._grace_s)
        self.exit_at = clock.now() + self._grace_s - margin_s
        self.respond_by = self.exit_at - min(DELIVERY_S, margin_s)
        self._begun.set()

    async def wait(self) -> None:
        """Wait for SIGTERM."""
        await self._begun.wait()

    def compute_response_time_s(self) -> float:
        """Return for how many seconds calls may still wait for their responses."""
        return max(0.0, self.respond_by - clock.now())

    def compute_exit_time_s(self) -> float:
        """Return the seconds until the process exits."""
        return max(0.0, self.exit_at - clock.now())


class OpenWaits:
    """Waits in progress, which a stop can end all at once."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Limit the time of a wait.

        :raises TimeoutError: if the time is over, or all waits are ended
        """
        async with asyncio.timeout(seconds) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end(self) -> None:
        """End all waits that are in progress."""
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(now)
