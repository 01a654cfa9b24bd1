"""Workers over HTTP with JSON."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from jacinthloom_core.model.reports import (
    Completion,
    RunningTask,
    StartResult,
    TaskUse,
    WorkerReport,
)
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.model.settings import lease_duration_s

from .errors import FormatError
from .http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.model.effects import Exchange
    from jacinthloom_core.model.work import Grant

EXCHANGE_TIMEOUT_S = 3.0
"""Seconds for an exchange."""

REPORT_TIMEOUT_S = 1.5
"""Seconds for a report."""

COMPLETIONS_WAIT_S = 2.0
"""Seconds that a worker may hold back an empty answer about completions."""

COMPLETIONS_MARGIN_S = 1.0
"""Seconds that such an answer may take beyond that."""


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """A worker's answer to an exchange."""

    results: tuple[StartResult, ...]
    uses: tuple[TaskUse, ...]
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CompletionsResult:
    """What ended on a worker since a cursor."""

    completions: tuple[Completion, ...]
    cursor: int


class WorkerClient:
    """Send commands to one worker and read what it tells."""

    def __init__(self, address: str) -> None:
        self._commands = HttpClient(address)
        self._watch = HttpClient(address)
        self._reports = HttpClient(address)

    async def exchange(
        self, commands: Exchange, may_send: Callable[[], bool]
    ) -> ExchangeResult:
        """Send commands in one message.

        :param may_send: asked immediately before the first byte is written
        :raises TransportError: if no answer came; it says whether it may be sent
        :raises FormatError: if the worker answered something else
        """
        body = json.dumps(_describe_exchange(commands)).encode()
        response = await self._commands.request(
            "POST", "/exchange", body, timeout=EXCHANGE_TIMEOUT_S, may_send=may_send
        )
        plain = response.parse_json()
        try:
            return ExchangeResult(
                tuple(StartResult(**item) for item in plain["results"]),
                tuple(
                    TaskUse(item["key"], Resources(**item["used"]))
                    for item in plain["uses"]
                ),
                tuple(plain["missing"]),
            )
        except (KeyError, TypeError) as error:
            raise FormatError(f"the worker sent something else: {error}") from error

    async def report(self, view: int) -> WorkerReport:
        """Ask what the worker is and runs, over a new connection.

        :param view: view number that a fencing worker takes note of
        :raises WireError: if it did not answer as agreed
        """
        response = await self._reports.request(
            "GET", f"/report?view={view}", timeout=REPORT_TIMEOUT_S, fresh=True
        )
        plain = response.parse_json()
        try:
            return WorkerReport(
                Resources(**plain["capacity"]),
                tuple(_parse_running(item) for item in plain["running"]),
                plain["fence"],
                plain["cursor"],
            )
        except (KeyError, TypeError) as error:
            raise FormatError(f"the worker sent something else: {error}") from error

    async def read_completions(self, cursor: int) -> CompletionsResult:
        """Wait for attempts that ended after a cursor.

        :raises WireError: if the worker did not answer as agreed
        """
        response = await self._watch.request(
            "GET",
            f"/completions?after={cursor}&wait={COMPLETIONS_WAIT_S}",
            timeout=COMPLETIONS_WAIT_S + COMPLETIONS_MARGIN_S,
        )
        plain = response.parse_json()
        try:
            completions = tuple(_parse_completion(i) for i in plain["completions"])
            return CompletionsResult(completions, plain["cursor"])
        except (KeyError, TypeError) as error:
            raise FormatError(f"the worker sent something else: {error}") from error

    def close(self) -> None:
        """Drop all connections."""
        self._commands.close()
        self._watch.close()
        self._reports.close()


def _describe_exchange(commands: Exchange) -> dict[str, object]:
    return {
        "view": commands.view,
        "act_before": commands.act_before,
        "starts": [_describe_start(grant) for grant in commands.starts],
        "renewals": commands.renewals,
        "stops": commands.stops,
        "checkpoints": commands.checkpoints,
        "throttles": commands.throttles,
    }


def _describe_start(grant: Grant) -> dict[str, object]:
    spec = grant.spec
    return {
        "key": grant.key,
        "team": spec.team,
        "work_class": spec.work_class,
        "kind": spec.kind,
        "home": grant.home,
        "need": asdict(spec.need),
        "lease_s": lease_duration_s(spec.kind),
        "run_time_s": spec.run_time_s,
        "payload": spec.payload,
        "checkpoint": grant.checkpoint,
    }


def _parse_running(plain: dict[str, Any]) -> RunningTask:
    need = Resources(**plain.pop("need"))
    used = Resources(**plain.pop("used"))
    return RunningTask(need=need, used=used, **plain)


def _parse_completion(plain: dict[str, Any]) -> Completion:
    """Build a completion, refusing an answer that is not whole."""
    used = Resources(**plain.pop("used"))
    length = plain.pop("length")
    if length != len(plain["result"]):
        raise FormatError(f"{len(plain['result'])} of {length} characters came")
    return Completion(used=used, **plain)
