"""Requests to any entry process that answers."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import dataclass
from typing import Any

from jacinthloom_wire.errors import TransportError, WireError
from jacinthloom_wire.http_client import HttpClient

REQUEST_TIMEOUT_S = 30.0
"""Seconds for one request to an entry process."""

ENTRIES_VARIABLE = "JACINTHLOOM_ENTRIES"
"""Environment variable with the addresses of entry processes or their balancer."""

KEY_VARIABLE = "JACINTHLOOM_KEY"
"""Environment variable with a team's key."""

OPERATOR_KEY_VARIABLE = "JACINTHLOOM_OPERATOR_KEY"
"""Environment variable with the operators' key."""


class UnreachableError(WireError):
    """No entry process could be asked."""


class UnknownOutcomeError(WireError):
    """The request was sent, and no answer came."""


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """Status and JSON body of an answer."""

    status: int
    body: Any

    @property
    def is_error(self) -> bool:
        """Whether the request was refused."""
        return self.status >= 400


class EntryClient:
    """Ask entry processes one after another until one answers."""

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = addresses
        self._key = key

    @classmethod
    def from_environment(cls, entries: str | None, for_operator: bool) -> EntryClient:
        """Build a client from an option or the environment.

        :param entries: addresses separated by commas
        """
        listed = entries or os.environ.get(ENTRIES_VARIABLE, "127.0.0.1:8400")
        variable = OPERATOR_KEY_VARIABLE if for_operator else KEY_VARIABLE
        return cls(listed.split(","), os.environ.get(variable, ""))

    @property
    def addresses(self) -> list[str]:
        """Addresses that are asked, in this order."""
        return self._addresses

    def request(
        self, method: str, path: str, body: object = None, retryable: bool = True
    ) -> ApiResponse:
        """Send a request and return the answer.

        :param retryable: whether it may be sent to another entry process after it
            may have reached one
        :raises UnreachableError: if no entry process could be asked
        :raises UnknownOutcomeError: if it may have been acted on without an answer
        """
        return asyncio.run(self._request(method, path, body, retryable))

    async def _request(
        self, method: str, path: str, body: object, retryable: bool
    ) -> ApiResponse:
        reasons = []
        for address in self._addresses:
            try:
                return await self.request_one(address, method, path, body)
            except TransportError as error:
                if error.sent and not retryable:
                    raise UnknownOutcomeError(
                        f"{error}; whether it was acted on is unknown"
                    ) from error
                reasons.append(str(error))
        raise UnreachableError("no entry process answers: " + "; ".join(reasons))

    async def request_one(
        self, address: str, method: str, path: str, body: object = None
    ) -> ApiResponse:
        """Send a request to one entry process.

        :raises TransportError: if no answer came
        """
        data = b"" if body is None else json.dumps(body).encode()
        headers = (("Authorization", f"Bearer {self._key}"),) if self._key else ()
        client = HttpClient(address)
        try:
            response = await client.request(
                method, path, data, headers, REQUEST_TIMEOUT_S
            )
        finally:
            client.close()
        try:
            return ApiResponse(response.status, json.loads(response.body))
        except ValueError as error:
            raise TransportError(f"{address} sent no JSON", True) from error
