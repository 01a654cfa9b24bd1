"""Client of the advice service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient

from .errors import InvalidDataError, UnavailableError
from .schemas import decode_advice, format_step

if TYPE_CHECKING:
    from jacinthloom_core.planner.specs import StepId


class AdviceClient:
    """Query the advice service for the workers that may run a step."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def find_eligible_workers(
        self, step: StepId, workers: tuple[str, ...], timeout_s: float
    ) -> tuple[tuple[str, str], ...]:
        """Return worker and ticket for each worker that may run the step.

        :raises UnavailableError: if there was no valid response, or the service is busy
        """
        body = {"step": format_step(step), "workers": workers}
        try:
            response = await self._client.request(
                "POST",
                "/advise",
                msgspec.json.encode(body),
                (("Content-Type", "application/json"),),
                timeout_s,
            )
        except TransportError as error:
            raise UnavailableError(str(error), error.sent) from error
        if response.status != 200:
            raise UnavailableError(
                f"status {response.status}", is_outcome_unknown=False
            )
        try:
            return decode_advice(response.body).to_tickets()
        except InvalidDataError as error:
            raise UnavailableError(str(error), is_outcome_unknown=False) from error

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()
