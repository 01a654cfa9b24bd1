"""A small fleet of real processes: platform stand-ins and entry processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from jacinthloom_core.model.configuration import KeyHash
from jacinthloom_wire.errors import WireError
from jacinthloom_wire.http_client import HttpClient

from .loopback import reserve_loopback_ip

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OPERATOR_SECRET = "operators-only"
"""Secret of the operator key in tests and in the demo."""

START_TIMEOUT_S = 15.0

POLL_INTERVAL_S = 0.05

HTTP_PORT = 8080
"""Port for callers of each entry process, which has an address of its own."""

PEER_PORT = 8081
"""Port for the peers of each entry process."""


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a fleet and capacity of its workers.

    :param entries: number of entry processes
    :param zones: availability zones, each with the same number of racks
    :param processors: whole processors of each worker
    :param fences: whether workers reject exchanges of an older view
    """

    entries: int = 3
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    racks_per_zone: int = 2
    workers_per_rack: int = 2
    processors: int = 8
    memory_mib: int = 16_384
    accelerators: int = 1
    slots: int = 32
    fences: bool = False


class Cluster:
    """Starts processes, sends them HTTP requests, and stops them by process id."""

    def __init__(self, shape: Shape | None = None, search_path: str = "") -> None:
        """Create a cluster; nothing starts yet.

        :param search_path: value of PYTHONPATH for the entry processes
        """
        self.shape = shape or Shape()
        self._search_path = search_path
        self.folder = Path(tempfile.mkdtemp(prefix="jacinthloom-"))
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}
        self.address_by_name: dict[str, str] = {}
        self.workers: list[dict[str, Any]] = []
        self.settings_by_entry: dict[str, Path] = {}

    async def start(self) -> None:
        """Start the stand-ins and all entry processes, and wait for a complete view."""
        await self._start_standin("log", [])
        self._add_workers()
        await self._start_standin("workers", self.workers)
        base = self.address_by_name["workers"]
        hosts = [
            {
                "name": worker["name"],
                "address": f"{base}/{worker['name'].replace('/', '-')}",
                "zone": worker["zone"],
                "state": "live",
            }
            for worker in self.workers
        ]
        await self._start_standin("hosts", hosts)
        for number in range(1, self.shape.entries + 1):
            await self.start_entry(f"e{number}")
        await self.wait_for(self._has_full_view, "a view of all entry processes")

    def _add_workers(self) -> None:
        shape = self.shape
        for zone in shape.zones:
            for rack in range(shape.racks_per_zone):
                for number in range(shape.workers_per_rack):
                    self.workers.append(
                        {
                            "name": f"{zone}-r{rack}/w{number}",
                            "zone": zone,
                            "fences": shape.fences,
                            "capacity": {
                                "processors": shape.processors * 1000,
                                "memory": shape.memory_mib,
                                "accelerators": shape.accelerators,
                                "slots": shape.slots,
                            },
                        }
                    )

    async def _start_standin(
        self, role: str, plan: list[dict[str, Any]], address: str = "127.0.0.1:0"
    ) -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "testkit.standins",
            role,
            "--plan",
            json.dumps(plan),
            "--address",
            address,
            stdout=asyncio.subprocess.PIPE,
        )
        self.process_by_name[role] = process
        assert process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await process.stdout.readline()
        self.address_by_name[role] = line.decode().strip()

    async def restart_workers(self) -> None:
        """Kill the worker stand-ins and start new ones at the same address."""
        await self.kill("workers")
        address = self.address_by_name["workers"]
        await self._start_standin("workers", self.workers, address)

    async def start_entry(self, name: str) -> None:
        """Start an entry process, or restart one with its earlier settings."""
        if name not in self.settings_by_entry:
            self.settings_by_entry[name] = self._write_settings(name)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.process_by_name[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "jacinthloom_daemon",
                "--settings",
                str(self.settings_by_entry[name]),
                stderr=log,
                env=os.environ | {"PYTHONPATH": self._search_path},
            )

    def _write_settings(self, name: str) -> Path:
        number = int(name.lstrip("e"))
        zone = self.shape.zones[(number - 1) % len(self.shape.zones)]
        ip = reserve_loopback_ip()
        self.address_by_name[name] = f"{ip}:{HTTP_PORT}"
        key = KeyHash.from_secret("operator", name, OPERATOR_SECRET)
        path = self.folder / f"{name}.toml"
        path.write_text(
            f'name = "{name}"\nzone = "{zone}"\n'
            f'http_address = "{self.address_by_name[name]}"\n'
            f'peer_address = "{ip}:{PEER_PORT}"\n'
            f'log_address = "{self.address_by_name["log"]}"\n'
            f'host_list_address = "{self.address_by_name["hosts"]}"\n'
            f'[operator_key]\nsalt = "{key.salt}"\ndigest = "{key.digest}"\n'
        )
        return path

    async def _has_full_view(self) -> bool:
        for name in self.settings_by_entry:
            status = await self.status(name)
            if len(status["members"]) != len(self.settings_by_entry):
                return False
            if status["authority_s"] <= 0:
                return False
        return True

    async def wait_for(
        self,
        condition: Callable[[], Awaitable[bool]],
        description: str,
        timeout: float = 60.0,
    ) -> float:
        """Wait until a condition holds.

        :param description: names the condition in the error
        :return: seconds until it held
        :raises AssertionError: if it does not hold within the timeout
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < timeout:
            self._check_processes()
            try:
                if await condition():
                    return time.monotonic() - started_at
            except WireError:
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"timed out after {timeout:.0f} s waiting for {description}"
        )

    def _check_processes(self) -> None:
        for name, process in self.process_by_name.items():
            if process.returncode not in (None, 0, -signal.SIGKILL):
                log = (self.folder / f"{name}.log").read_text()[-2000:]
                raise AssertionError(f"process {name} exited unexpectedly: {log}")

    async def http(
        self,
        name: str,
        method: str,
        path: str,
        body: object = None,
        key: str = "",
        timeout: float = 20.0,
    ) -> tuple[int, Any]:
        """Send a request to a process; return the status and the JSON body."""
        client = HttpClient(self.address_by_name[name])
        headers = (("Authorization", f"Bearer {key}"),) if key else ()
        data = b"" if body is None else json.dumps(body).encode()
        response = await client.request(method, path, data, headers, timeout)
        client.close()
        return response.status, json.loads(response.body) if response.body else None

    async def operate(
        self, name: str, method: str, path: str, body: object = None
    ) -> tuple[int, Any]:
        """Send a request with the operator key to an entry process."""
        return await self.http(
            name, method, f"/v1/operator/{path}", body, OPERATOR_SECRET
        )

    async def status(self, name: str) -> Any:
        """Return the status that an entry process reports."""
        return (await self.operate(name, "GET", "status"))[1]

    async def change(self, name: str, change: list[Any]) -> Any:
        """Publish a configuration change on the current version."""
        _, current = await self.operate(name, "GET", "configuration")
        body = {
            "change_id": f"c{time.time_ns()}",
            "base_version": current["configuration"]["version"],
            "author": "test",
            "change": change,
        }
        return (await self.operate(name, "POST", "changes", body))[1]

    async def switch_log(self, **switches: object) -> None:
        """Set fault switches of the log stand-in."""
        await self.http("log", "POST", "/switch", switches)

    async def switch_worker(self, worker: str, **switches: object) -> None:
        """Set fault switches of a worker stand-in."""
        path = f"/{worker.replace('/', '-')}/switch"
        await self.http("workers", "POST", path, switches)

    async def worker_history(self) -> dict[str, Any]:
        """Return the started and running tasks of each worker, by its name."""
        history = {}
        for worker in self.workers:
            path = f"/{worker['name'].replace('/', '-')}/started"
            history[worker["name"]] = (await self.http("workers", "GET", path))[1]
        return history

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this cluster."""
        os.kill(self.process_by_name[name].pid, signal_number)

    async def kill(self, name: str) -> None:
        """Kill a process; the settings of an entry process are kept for a restart."""
        self.signal(name, signal.SIGKILL)
        await self.process_by_name[name].wait()

    async def close(self) -> None:
        """Kill every process and wait for its exit."""
        for process in self.process_by_name.values():
            if process.returncode is None:
                process.kill()
        for process in self.process_by_name.values():
            await process.wait()
