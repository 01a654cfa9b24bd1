"""Client for the HTTP API of the entry processes, with failover."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import dataclass
from typing import Any

from jacinthloom_wire.checks import CheckError, Problem
from jacinthloom_wire.errors import TransportError, WireError
from jacinthloom_wire.http_client import HttpClient

REQUEST_TIMEOUT_S = 30.0
"""Timeout of one request to an entry process, in seconds."""

ENTRIES_VARIABLE = "JACINTHLOOM_ENTRIES"
"""Environment variable with the addresses of entry processes or a load balancer."""

KEY_VARIABLE = "JACINTHLOOM_KEY"
"""Environment variable with a team's key."""

OPERATOR_KEY_VARIABLE = "JACINTHLOOM_OPERATOR_KEY"
"""Environment variable with the operators' key."""


MAX_PORT = 65_535


def check_address(text: str) -> str:
    """Return an address of an entry process without surrounding spaces.

    :raises CheckError: if it is not ``host:port``
    """
    host, _, port = text.strip().rpartition(":")
    is_number = port.isascii() and port.isdigit()
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        problem = Problem("address", repr(text), "host:port, such as 10.0.0.1:8400")
        raise CheckError("entries", [problem])
    return text.strip()


class UnreachableError(WireError):
    """No entry process responded."""


class UnknownOutcomeError(WireError):
    """The request may have been sent, but no response was received."""


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """Status and decoded JSON body of an HTTP response."""

    status: int
    body: Any

    @property
    def is_error(self) -> bool:
        """Whether the status is an error (400 or above)."""
        return self.status >= 400


class EntryClient:
    """Sends each request to the entry processes in turn until one responds."""

    def __init__(self, addresses: list[str], key: str) -> None:
        self._addresses = addresses
        self._key = key

    @classmethod
    def from_environment(cls, entries: str | None, for_operator: bool) -> EntryClient:
        """Build a client from the ``--entries`` option or the environment.

        :param entries: comma-separated addresses; if empty, the environment's value
            or ``127.0.0.1:8400`` is used
        :param for_operator: whether to use the operators' key
        :raises CheckError: if an address is not ``host:port``
        """
        listed = entries or os.environ.get(ENTRIES_VARIABLE, "127.0.0.1:8400")
        variable = OPERATOR_KEY_VARIABLE if for_operator else KEY_VARIABLE
        addresses = [check_address(address) for address in listed.split(",")]
        return cls(addresses, os.environ.get(variable, ""))

    @property
    def addresses(self) -> list[str]:
        """Addresses of the entry processes, in the order they are tried."""
        return self._addresses

    def request(
        self, method: str, path: str, body: object = None, retryable: bool = True
    ) -> ApiResponse:
        """Send a request and return the response.

        :param retryable: whether the request may be sent to another entry process
            after one may have received it
        :raises UnreachableError: if no entry process responded
        :raises UnknownOutcomeError: if the request is not retryable and an entry
            process that sent no response may have received it
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
                        f"{error}; the request may have taken effect"
                    ) from error
                reasons.append(str(error))
        raise UnreachableError("no entry process responded: " + "; ".join(reasons))

    async def request_one(
        self, address: str, method: str, path: str, body: object = None
    ) -> ApiResponse:
        """Send a request to one entry process.

        :raises TransportError: if no valid response was received
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
            raise TransportError(f"{address}: response is not JSON", True) from error
