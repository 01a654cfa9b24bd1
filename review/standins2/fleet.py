"""A small deployment: the project's entry processes among stand-ins, on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING

from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient, Response

from testkit.hosted.log_store import LogStoreStandIn
from testkit.loopback import reserve_loopback_ip

from .worker import Worker

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TextIO

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "pool"
KEY = "key-1"
BEAT_S = 1.5
"""``beatIntervalMs`` of the small deployments."""

START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 3.0

SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front,control
ip={ip}
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front={ip}:8183
listen.ready={ip}:8184
listen.control={ip}:8180
portRange=7420,7435
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4200
discovery=platform
entry=virtual_ip
beatIntervalMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,quota,places,platform,sharing
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.holdMaxMs=10000
bounds.stopGraceMs=900
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpointS=2
bounds.restoreMs=600
bounds.leaseMs=3000
bounds.paceMs=100
bounds.harmMs=4000
orders=invocation
platform.address={store}
platform.form=log
platform.writesPerS=800
platform.readsPerS=2000
platform.parts=8
platform.recordBytes=262144
platform.requestBytes=2097152
platform.keep_s=300
"""


def make_route(name: str, stretch: float) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "front.example",
        "pathPrefix": f"/{name}/",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 4,
        "stretch": stretch,
        "authExempt": False,
    }


class Fleet:
    """Entry processes, a store and workers; writes what happens to a record.

    :ivar started_at: monotonic time at which the record began
    :ivar ips: addresses of the entry processes
    """

    def __init__(self, folder: Path, processes: int) -> None:
        self.started_at = time.monotonic()
        self.store = LogStoreStandIn()
        self.workers: list[Worker] = []
        self._record: TextIO = (folder / "record.txt").open("w")
        self.ips = [reserve_loopback_ip() for _ in range(processes)]
        self._processes: list[subprocess.Popen[bytes]] = []
        self._beats: list[asyncio.Task[None]] = []
        self._files = tempfile.TemporaryDirectory()

    def write(self, text: str) -> None:
        """Write a line to the record."""
        passed_s = time.monotonic() - self.started_at
        self._record.write(f"{passed_s:8.3f} s  {text}\n")
        self._record.flush()

    async def start(self, label_by_worker: dict[str, list[str]]) -> None:
        """Start everything, and wait until each entry process is ready."""
        address = await self.store.start()
        configuration = {
            "version": 3,
            "routes": [make_route("jobs", 2.2)],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "tenants": [
                {"name": "team", "apiKeys": [KEY], "weight": 10, "upperLimit": {}}
            ],
            "limits": {"maxBodyBytes": 262144},
        }
        await self.store.put("keyed.op", "config", json.dumps(configuration).encode())
        for name, labels in label_by_worker.items():
            worker = Worker(name, labels, self.write)
            self.workers.append(worker)
            await worker.start()
            self._beats.append(asyncio.create_task(self._beat(worker)))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for number, ip in enumerate(self.ips):
            self._start_process(number, ip, address, deploy["roles"]["entry"])
        for ip in self.ips:
            await self._wait_until_ready(ip)
        self.write("all entry processes are ready")

    def _start_process(
        self, number: int, ip: str, store: str, role: dict[str, object]
    ) -> None:
        settings = Path(self._files.name) / f"{number}.conf"
        settings.write_text(SETTINGS.format(name=f"e{number}", ip=ip, store=store))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["JACINTHLOOM_NODE_FILE"] = str(settings)
        environment |= dict(role.get("env", {}))  # type: ignore[call-overload]
        with (Path(self._files.name) / f"{number}.log").open("wb") as log:
            process = subprocess.Popen(
                str(role["run"]).split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)

    def stop_process(self, number: int) -> None:
        """Send SIGTERM to an entry process."""
        self.write(f"e{number} gets SIGTERM")
        self._processes[number].terminate()

    async def _wait_until_ready(self, ip: str) -> None:
        client = HttpClient(f"{ip}:8184")
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    response = await client.request("GET", "/readiness", timeout=1.0)
                    if response.status == 200:
                        return
                except TransportError:
                    pass
                await asyncio.sleep(0.1)

    async def _beat(self, worker: Worker) -> None:
        """Renew a worker's entry while it is up; remove it after three beats."""
        renewed_at = time.monotonic()
        is_listed = False
        while True:
            now = time.monotonic()
            if worker.is_up:
                renewed_at, is_listed = now, True
                await self._list_worker(worker)
            elif is_listed and now - renewed_at >= 3 * BEAT_S:
                is_listed = False
                await self.store.put("keyed.servers", worker.name, b"")
                self.write(f"the entry of {worker.name} is removed")
            await asyncio.sleep(BEAT_S)

    async def _list_worker(self, worker: Worker) -> None:
        entry = worker.describe(SERVICE)
        await self.store.put("keyed.servers", worker.name, entry)

    async def restart_worker(self, worker: Worker) -> None:
        """Start a worker again, which writes its entry at once."""
        await worker.restart()
        await self._list_worker(worker)

    async def call(
        self, method: str, job: str, body: object = None, host: int = 0
    ) -> Response:
        """Call an entry process as a client does, again at the next one on failure."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = (
            ("Authorization", f"Token {KEY}"),
            ("Content-Type", "application/json"),
            ("X-Jacinthloom-Time-Budget-Ms", str(int(CALL_TIMEOUT_S * 1000))),
        )
        last: Exception | None = None
        for attempt in range(6):
            ip = self.ips[(host + attempt) % len(self.ips)]
            client = HttpClient(f"{ip}:8183", host_name="front.example")
            try:
                response = await client.request(
                    method, f"/jobs/{job}", data, headers, CALL_TIMEOUT_S
                )
            except TransportError as error:
                last = error
                continue
            finally:
                client.close()
            text = response.body.decode()
            self.write(f"{method} {job} -> {response.status} {text}")
            if response.status not in (429, 502, 503, 504):
                return response
            await asyncio.sleep(0.5)
        raise RuntimeError(f"no answer to {method} {job}: {last}")

    async def submit(self, job: str, spec: str, step: dict[str, object]) -> None:
        """Hand in a job of one step.

        :raises RuntimeError: if it is not accepted
        """
        self.write(f"handing in {job}: {spec}, {step}")
        response = await self.call("POST", job, {"spec": spec, "steps": [step]})
        if response.status // 100 != 2:
            raise RuntimeError(f"{job} was answered with {response.status}")

    async def read_state(self, job: str) -> str:
        """Return the state of a job, or an empty string if it is not known."""
        response = await self.call("GET", job)
        if response.status != 200:
            return ""
        return str(json.loads(response.body)["state"])

    def find_hosts(self, job: str) -> list[Worker]:
        """Return the workers that run a task of a job."""
        return [
            worker
            for worker in self.workers
            if worker.is_up and any(t.startswith(job) for t in worker.run_by_task)
        ]

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait for a condition; return whether it came true in time."""
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.05)
        return True

    async def close(self) -> None:
        """End all that was started."""
        for beat in self._beats:
            beat.cancel()
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            try:
                await asyncio.to_thread(process.wait, 8)
            except subprocess.TimeoutExpired:
                process.kill()
                await asyncio.to_thread(process.wait)
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        await self.store.close()
        self._files.cleanup()
        self._record.close()
