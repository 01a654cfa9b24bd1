"""Process that stands in for the platform's log, its host list, or its workers."""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
from typing import TYPE_CHECKING

from jacinthloom_wire.http_server import HttpServer, ServerLimits, ServerResponse

from .host_list import HostList
from .log_store import LogStore
from .worker import Worker

if TYPE_CHECKING:
    from jacinthloom_wire.http_server import Request

SILENT_RESPONSE_DELAY_S = 120.0
"""Seconds for which responses are delayed on a silent connection."""

LIMITS = ServerLimits(max_connections=10_000, max_body_bytes=64 * 1024 * 1024)


class WorkerRouter:
    """Routes requests by the worker name in their path."""

    def __init__(self, plan: list[dict[str, object]]) -> None:
        self.worker_by_path: dict[str, Worker] = {}
        self._peers_by_path: dict[str, set[str]] = {}
        self._silent_connections: set[tuple[str, str]] = set()
        for item in plan:
            name = str(item["name"])
            capacity = item["capacity"]
            assert isinstance(capacity, dict)
            worker = Worker(name, capacity, bool(item.get("fences")))
            self.worker_by_path[name.replace("/", "-")] = worker

    async def handle(self, request: Request) -> ServerResponse:
        """Handle a request.

        The path `/WORKER/silence` silences all connections that sent requests to the
        worker so far; connections opened later get responses.
        """
        _, path, *rest = request.path.split("/")
        worker = self.worker_by_path.get(path)
        if worker is None:
            return ServerResponse.from_json(404, {})
        if rest == ["silence"]:
            self._silent_connections |= {
                (path, peer) for peer in self._peers_by_path[path]
            }
            return ServerResponse.from_json(200, {})
        self._peers_by_path.setdefault(path, set()).add(request.peer)
        if (path, request.peer) in self._silent_connections:
            await asyncio.sleep(SILENT_RESPONSE_DELAY_S)
        return await worker.handle("/" + "/".join(rest), request)


async def _serve(arguments: argparse.Namespace) -> None:
    servers = []
    plan = json.loads(arguments.plan) if arguments.plan else []
    if arguments.role == "log":
        servers.append(HttpServer(LogStore().handle, LIMITS))
    elif arguments.role == "hosts":
        servers.append(HttpServer(HostList(plan).handle, LIMITS))
    else:
        workers = WorkerRouter(plan)
        servers.append(HttpServer(workers.handle, LIMITS))
        for worker in workers.worker_by_path.values():
            asyncio.create_task(worker.run())
    for server in servers:
        print(await server.start(arguments.address), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await stop.wait()
    for server in servers:
        await server.close(0.0)


def main() -> None:
    """Serve one role until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument("role", choices=["log", "hosts", "workers"])
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--plan", default="")
    asyncio.run(_serve(parser.parse_args()))


if __name__ == "__main__":
    main()
