"""HTTP client for workers, with JSON bodies."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from jacinthloom_core.model.reports import (
    Completion,
    RunningTask,
    StartResult,
    TaskUse,
    WorkerReport,
)
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.model.settings import lease_duration_s

from .errors import FormatError, OtherRecipientError
from .http_client import HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.model.effects import Exchange
    from jacinthloom_core.model.work import Grant

    from .http_client import Response

EXCHANGE_TIMEOUT_S = 3.0
"""Timeout of an exchange, in seconds."""

REPORT_TIMEOUT_S = 1.5
"""Timeout of a report, in seconds."""

COMPLETIONS_WAIT_S = 2.0
"""Seconds that a worker may wait for a completion before it responds with none."""

COMPLETIONS_MARGIN_S = 1.0
"""Seconds that reading completions may take beyond that wait."""


OTHER_INCARNATION_STATUS = 421
"""Status of a worker's refusal of a request that is meant for another incarnation."""


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """A worker's response to an exchange.

    :param results: outcome of each start
    :param uses: resources used by running tasks
    :param missing: renewed attempts that the worker does not run
    """

    results: tuple[StartResult, ...]
    uses: tuple[TaskUse, ...]
    missing: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CompletionsResult:
    """Attempts that ended on a worker after a cursor, and the next cursor."""

    completions: tuple[Completion, ...]
    cursor: int


class WorkerClient:
    """Sends commands to one worker and reads its reports and completions."""

    def __init__(self, address: str) -> None:
        self._commands = HttpClient(address)
        self._completions = HttpClient(address)
        self._reports = HttpClient(address)

    async def exchange(
        self, commands: Exchange, may_send: Callable[[], bool]
    ) -> ExchangeResult:
        """Send all commands of an exchange in one request.

        :param may_send: called immediately before the first byte is written; the
            request is not sent if it returns false
        :raises OtherRecipientError: if another incarnation of the worker refused it
        :raises TransportError: if no complete response was received; ``sent`` says
            whether the request may have been sent
        :raises StatusError: if the response has an error status
        :raises FormatError: if the response has an unexpected format
        """
        body = json.dumps(_encode_exchange(commands)).encode()
        response = await self._commands.request(
            "POST", "/exchange", body, timeout=EXCHANGE_TIMEOUT_S, may_send=may_send
        )
        _check_recipient(response, commands.incarnation)
        data = response.parse_json()
        try:
            return ExchangeResult(
                tuple(StartResult(**item) for item in data["results"]),
                tuple(
                    TaskUse(item["key"], Resources(**item["used"]))
                    for item in data["uses"]
                ),
                tuple(data["missing"]),
            )
        except (KeyError, TypeError) as error:
            raise FormatError(
                f"unexpected format of the worker's response: {error}"
            ) from error

    async def report(self, view: int) -> WorkerReport:
        """Fetch the worker's capacity and running tasks over a new connection.

        :param view: view number that a fencing worker records
        :raises WireError: if there was no valid response
        """
        response = await self._reports.request(
            "GET", f"/report?view={view}", timeout=REPORT_TIMEOUT_S, new_connection=True
        )
        data = response.parse_json()
        try:
            return WorkerReport(
                Resources(**data["capacity"]),
                tuple(_parse_running(item) for item in data["running"]),
                data["fence"],
                data["cursor"],
                _parse_incarnation(data),
            )
        except (KeyError, TypeError) as error:
            raise FormatError(
                f"unexpected format of the worker's response: {error}"
            ) from error

    async def read_completions(
        self, cursor: int, incarnation: str = ""
    ) -> CompletionsResult:
        """Fetch the attempts that ended after a cursor (long poll).

        :param incarnation: incarnation of the worker that the cursor is meant for
        :raises OtherRecipientError: if another incarnation responds
        :raises WireError: if there was no valid response
        """
        path = f"/completions?after={cursor}&wait={COMPLETIONS_WAIT_S}"
        if incarnation:
            path += f"&incarnation={quote(incarnation, safe='')}"
        response = await self._completions.request(
            "GET", path, timeout=COMPLETIONS_WAIT_S + COMPLETIONS_MARGIN_S
        )
        _check_recipient(response, incarnation)
        data = response.parse_json()
        found = _parse_incarnation(data)
        if found != incarnation:
            raise OtherRecipientError(
                f"incarnation {found!r} has taken the place of {incarnation!r}"
            )
        try:
            completions = tuple(_parse_completion(i) for i in data["completions"])
            return CompletionsResult(completions, data["cursor"])
        except (KeyError, TypeError) as error:
            raise FormatError(
                f"unexpected format of the worker's response: {error}"
            ) from error

    def close(self) -> None:
        """Close idle connections."""
        self._commands.close()
        self._completions.close()
        self._reports.close()


def _check_recipient(response: Response, incarnation: str) -> None:
    """Check that a worker did not refuse a request for another incarnation.

    :raises OtherRecipientError: if it did
    """
    if incarnation and response.status == OTHER_INCARNATION_STATUS:
        raise OtherRecipientError(f"refused, as meant for incarnation {incarnation!r}")


def _parse_incarnation(data: Any) -> str:
    """Return the incarnation of a response; empty if the worker has none.

    :raises FormatError: if it is not a text, or the response is not an object
    """
    incarnation = data.get("incarnation", "") if isinstance(data, dict) else None
    if not isinstance(incarnation, str):
        raise FormatError(f"the worker's incarnation is not a text: {incarnation!r}")
    return incarnation


def _encode_exchange(commands: Exchange) -> dict[str, object]:
    body = {
        "view": commands.view,
        "act_before": commands.act_before,
        "starts": [_encode_start(grant) for grant in commands.starts],
        "renewals": commands.renewals,
        "stops": commands.stops,
        "checkpoints": commands.checkpoints,
        "throttles": commands.throttles,
    }
    if commands.incarnation:
        body["incarnation"] = commands.incarnation
    return body


def _encode_start(grant: Grant) -> dict[str, object]:
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


def _parse_running(data: dict[str, Any]) -> RunningTask:
    need = Resources(**data.pop("need"))
    used = Resources(**data.pop("used"))
    return RunningTask(need=need, used=used, **data)


def _parse_completion(data: dict[str, Any]) -> Completion:
    """Build a completion.

    :raises FormatError: if the result is truncated
    """
    used = Resources(**data.pop("used"))
    length = data.pop("length")
    if length != len(data["result"]):
        raise FormatError(
            f"received {len(data['result'])} of {length} characters of a result"
        )
    return Completion(used=used, **data)
