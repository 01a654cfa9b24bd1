"""Stand-in for the platform's host list."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from jacinthloom_wire.http_server import ServerResponse

if TYPE_CHECKING:
    from jacinthloom_wire.http_server import Request


class HostList:
    """Serves the workers and their states; a state change shows after a lag.

    :param lag_s: seconds until a change shows
    """

    def __init__(self, workers: list[dict[str, str]], lag_s: float = 0.5) -> None:
        self._worker_by_name = {item["name"]: item for item in workers}
        self._lag_s = lag_s

    async def handle(self, request: Request) -> ServerResponse:
        """Handle a request."""
        if request.path == "/state":
            asyncio.create_task(self._change(json.loads(request.body)))
            return ServerResponse.from_json(200, {})
        workers = list(self._worker_by_name.values())
        return ServerResponse.from_json(200, {"workers": workers})

    async def _change(self, values: dict[str, Any]) -> None:
        await asyncio.sleep(self._lag_s)
        name = values["name"]
        if values["state"] == "gone":
            self._worker_by_name.pop(name, None)
        else:
            self._worker_by_name[name] = self._worker_by_name[name] | {
                "state": values["state"]
            }
