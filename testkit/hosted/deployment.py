"""A small deployment: stand-ins for store and workers, and real entry processes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient, Response

from ..loopback import reserve_loopback_ip
from . import launcher
from .log_store import LogStoreStandIn
from .network import NetworkStandIn
from .proxy import LinkProxy
from .worker import CHECKPOINT_S, RESTORE_S, WorkerStandIn

SERVICE = "pool"
KEY = "key-of-team"

FRONT_PORT = 8183
READY_PORT = 8184
PEER_PORT = 7420

STORE = "store"
"""Place of the store in the network."""

START_TIMEOUT_S = 20.0
"""Seconds within which processes are ready and one of them has become the planner."""

PAST_USE_HALF_LIFE_S = 7200
"""Half-life of past usage in seconds, as in ``deploy/system.toml``."""

POLL_INTERVAL_S = 0.1
PREFIX = "/checks/"

SETTINGS = """\
node={name}
zone={zone}
ip={ip}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
portRange={peer},{peer}
platform.address={store}
bounds.holdMaxMs=10000
bounds.graceS=3
bounds.checkpointS={checkpoint_s}
bounds.restoreMs={restore_ms:.0f}
"""


def make_configuration(hosts: list[str]) -> dict[str, object]:
    """Return a configuration with one queue for each host name."""
    routes = [
        {
            "name": f"checks-{host}",
            "host": host,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": 2,
            "stretch": 1.5,
            "targetLatencyMs": 250,
        }
        for host in hosts
    ]
    tenants = [{"name": "team", "apiKeys": [KEY], "weight": 1}]
    return {"version": 3, "routes": routes, "tenants": tenants}


class Deployment:
    """Start, call, kill and stop entry processes, each at its own loopback address.

    :param has_proxies: whether each process reaches the store, and all processes reach
        each worker, through a proxy
    :param network: the network that the processes' connections go through, in which
        ``STORE`` and the workers' ids are places; none if they connect directly
    :ivar zone_by_ip: availability zone of the process at each address
    :ivar packages: folder of the packages that the processes run; empty for those that
        are installed
    """

    def __init__(
        self,
        processes: int = 2,
        workers: int | list[WorkerStandIn] = 2,
        has_proxies: bool = False,
        network: NetworkStandIn | None = None,
    ) -> None:
        self.store = LogStoreStandIn()
        if isinstance(workers, int):
            workers = [WorkerStandIn(f"i-{number}") for number in range(workers)]
        self.workers = workers
        self.packages = ""
        self._has_proxies = has_proxies
        self._network = network
        self._network_address = ""
        self.zone_by_ip: dict[str, str] = {}
        self.store_proxy_by_ip: dict[str, LinkProxy] = {}
        self.proxy_by_worker: dict[str, LinkProxy] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._ips = [reserve_loopback_ip() for _ in range(processes)]
        self.process_by_ip: dict[str, subprocess.Popen[bytes]] = {}
        self._settings_by_ip: dict[str, Path] = {}

    async def start(self) -> None:
        """Start everything and wait until each process is ready."""
        store = await self.store.start()
        if self._network is not None:
            self._network_address = await self._network.start()
        configuration = json.dumps(self.make_configuration()).encode()
        await self.store.put("keyed.op", "config", configuration)
        for worker in self.workers:
            await self.add_worker(worker)
        for number, ip in enumerate(self._ips):
            if self._has_proxies:
                proxy = self.store_proxy_by_ip[ip] = LinkProxy(store)
                address = await proxy.start()
            else:
                address = store
            self._place(address, STORE)
            zone = self.workers[number % len(self.workers)].zone
            self.zone_by_ip[ip] = zone
            text = SETTINGS.format(
                name=f"e{number}",
                zone=zone,
                ip=ip,
                front=FRONT_PORT,
                ready=READY_PORT,
                peer=PEER_PORT,
                store=address,
                checkpoint_s=CHECKPOINT_S,
                restore_ms=1000 * RESTORE_S,
            )
            path = Path(self._folder.name) / f"{ip}.conf"
            path.write_text(text)
            self._settings_by_ip[ip] = path
            self.start_process(ip)
        for ip in self._ips:
            await self._wait_until_ready(f"{ip}:{READY_PORT}")

    def make_configuration(self) -> dict[str, object]:
        """Return the first configuration."""
        return make_configuration(self._ips)

    async def add_worker(self, worker: WorkerStandIn) -> None:
        """Start a worker and list it."""
        await worker.start()
        if self._has_proxies:
            proxy = self.proxy_by_worker[worker.id] = LinkProxy(worker.address)
            worker.listed_address = await proxy.start()
        self._place(worker.listed_address, worker.id)
        await self.list_worker(worker)

    def _place(self, address: str, place: str) -> None:
        if self._network is not None:
            self._network.place_by_address[address] = place

    async def list_worker(self, worker: WorkerStandIn) -> None:
        """Write the entry of a worker, as it does itself."""
        await self.store.put("keyed.servers", worker.id, worker.describe(SERVICE))

    def start_process(self, ip: str) -> None:
        """Start an entry process."""
        log = Path(self._folder.name) / f"{ip}.log"
        environment = os.environ | {
            "JACINTHLOOM_NODE_FILE": str(self._settings_by_ip[ip]),
            "JACINTHLOOM_PAST_USE_HALF_LIFE_S": str(PAST_USE_HALF_LIFE_S),
        }
        if self.packages:
            environment["PYTHONPATH"] = self.packages
        program = launcher.PROGRAM
        if self._network is not None:
            environment[launcher.NETWORK_VARIABLE] = f"{self._network_address},{ip}"
            program = launcher.__name__
        with log.open("ab") as output:
            self.process_by_ip[ip] = subprocess.Popen(
                [sys.executable, "-m", program],
                env=environment,
                stdout=output,
                stderr=output,
            )

    async def _wait_until_ready(self, address: str) -> None:
        client = HttpClient(address)
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    response = await client.request("GET", "/readiness", timeout=1.0)
                    if response.status == 200:
                        return
                except TransportError:
                    pass
                await asyncio.sleep(POLL_INTERVAL_S)

    @property
    def log_folder(self) -> Path:
        """Folder with the logs of the processes."""
        return Path(self._folder.name)

    def read_log(self, ip: str) -> list[dict[str, Any]]:
        """Return the log lines of the process at an address."""
        lines = (Path(self._folder.name) / f"{ip}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def find_planner(self) -> str:
        """Return the address of the process that became the planner last.

        Wait for one if there has been none yet.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not (at_by_ip := self._find_planner_times()):
                await asyncio.sleep(POLL_INTERVAL_S)
        return max(at_by_ip, key=lambda ip: at_by_ip[ip])

    def _find_planner_times(self) -> dict[str, float]:
        return {
            ip: line["at"]
            for ip in self._ips
            for line in self.read_log(ip)
            if line["event"] == "planner_ready"
        }

    async def call(
        self, ip: str, method: str, job: str, body: object = None
    ) -> Response:
        """Call an entry process as a client does."""
        client = HttpClient(f"{ip}:{FRONT_PORT}")
        headers = (("Authorization", f"Token {KEY}"),)
        data = b"" if body is None else json.dumps(body).encode()
        try:
            return await client.request(
                method, PREFIX + job, data, headers, timeout=4.0
            )
        finally:
            client.close()

    def kill(self, ip: str) -> None:
        """Kill the process at an address with SIGKILL."""
        self.process_by_ip[ip].send_signal(signal.SIGKILL)
        self.process_by_ip[ip].wait()

    async def close(self) -> None:
        """Stop everything and delete the files."""
        for process in self.process_by_ip.values():
            if process.poll() is None:
                process.kill()
                await asyncio.to_thread(process.wait)
        for proxy in (*self.store_proxy_by_ip.values(), *self.proxy_by_worker.values()):
            await proxy.close()
        if self._network is not None:
            await self._network.close()
        for worker in self.workers:
            await worker.close()
        await self.store.close()
        self._folder.cleanup()
