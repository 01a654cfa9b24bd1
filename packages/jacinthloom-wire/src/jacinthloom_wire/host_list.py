"""The platform's list of live and leaving hosts, over HTTP."""

from __future__ import annotations

from jacinthloom_core.model.reports import HostInfo

from .errors import FormatError
from .http_client import HttpClient

TIMEOUT_S = 3.0
"""Seconds for a read of the list."""


class HostListClient:
    """Read the workers in the host list."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def read(self) -> tuple[HostInfo, ...]:
        """Return the workers that the platform lists now.

        :raises WireError: if the list can't be had
        """
        response = await self._client.request("GET", "/hosts", timeout=TIMEOUT_S)
        plain = response.parse_json()
        try:
            return tuple(HostInfo(**item) for item in plain["workers"])
        except (KeyError, TypeError) as error:
            raise FormatError(f"the list has another form: {error}") from error
