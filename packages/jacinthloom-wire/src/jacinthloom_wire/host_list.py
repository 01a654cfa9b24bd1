"""HTTP client for the platform's list of live and leaving hosts."""

from __future__ import annotations

from jacinthloom_core.model.reports import HostInfo

from .errors import FormatError
from .http_client import HttpClient

READ_TIMEOUT_S = 3.0
"""Timeout for reading the host list, in seconds."""


class HostListClient:
    """Reads the workers in the platform's host list."""

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address)

    async def read(self) -> tuple[HostInfo, ...]:
        """Return the workers that the platform currently lists.

        :raises WireError: if the list can't be read
        """
        response = await self._client.request("GET", "/hosts", timeout=READ_TIMEOUT_S)
        listing = response.parse_json()
        try:
            return tuple(HostInfo(**item) for item in listing["workers"])
        except (KeyError, TypeError) as error:
            raise FormatError(f"unexpected format of the host list: {error}") from error
