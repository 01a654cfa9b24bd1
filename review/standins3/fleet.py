"""A small deployment for the cases of the third review.

It starts the entry processes with the command of the deploy file, each at a loopback
address of its own. The platform's store and the workers are the project's stand-ins.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient

from testkit.hosted.log_store import LogStoreStandIn
from testkit.loopback import reserve_loopback_ip

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from jacinthloom_wire.http_client import Response

    from testkit.hosted.worker import WorkerStandIn

    from .slow_link import SlowLink

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-team"
HOST = "jobs.example"
PREFIX = "/q/"
SERVICE = "pool"
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8183, 8184, 8180, 7420

STORE_LATENCY_S = 0.004

START_TIMEOUT_S = 20.0

HELD, BROKEN, NOT_RUN = 10, 11, 12
"""Exit codes of a case; `run.sh` turns them into 0, 1 and 2, and all others into 2."""

SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front,control
ip={ip}
zone={zone}
region=r
zones.{zone}=r
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
portRange={peer},{last_peer}
seeds={ip}:{control}
bootstrap=true
countsAsLoss=false
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
beatIntervalMs=1500
bounds.contactMs=3000
bounds.ackMs=4000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.evacuateMs=5000
bounds.holdMaxMs=10000
bounds.stopGraceMs=900
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=1.5
bounds.checkpointS=1
bounds.restoreMs=600
bounds.leaseMs=3000
orders=invocation
platform.address={store}
platform.form=log
platform.writesPerS=600
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.keep_s=300
"""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line, to the record and to standard output."""
        line = f"{self.measure_s(time.monotonic()):8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()

    def measure_s(self, at: float) -> float:
        """Return the seconds from the start of the case to a monotonic time."""
        return at - self._began_at


class Fleet:
    """Entry processes, workers and the store.

    :param link: the way of the processes to the store; None if they reach it directly
    """

    def __init__(
        self,
        record: Record,
        processes: int,
        workers: list[WorkerStandIn],
        store: LogStoreStandIn | None = None,
        max_attempts: int = 2,
        link: SlowLink | None = None,
    ) -> None:
        self.record = record
        self.store = store or LogStoreStandIn()
        self.store.latency_s = STORE_LATENCY_S
        self.workers = workers
        self._max_attempts = max_attempts
        self._link = link
        self._folder = tempfile.TemporaryDirectory()
        self.ips = [reserve_loopback_ip() for _ in range(processes)]
        self._store_address = ""
        self.process_by_ip: dict[str, subprocess.Popen[bytes]] = {}

    async def start(self) -> None:
        """Start everything and wait until all processes are ready."""
        self._store_address = await self.store.start()
        if self._link is not None:
            self._store_address = await self._link.start(self._store_address)
        await self.store.put("keyed.op", "config", self._encode_configuration())
        for worker in self.workers:
            await worker.start()
            await self.list_worker(worker)
        for ip in self.ips:
            self.start_process(ip)
        async with asyncio.timeout(START_TIMEOUT_S):
            for ip in self.ips:
                while not await self._is_ready(ip):
                    await asyncio.sleep(0.1)
            await self.find_planner()

    def _encode_configuration(self) -> bytes:
        route = {
            "name": "queue-1",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": SERVICE,
            "priority": 0,
            "maxAttempts": self._max_attempts,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
        }
        tenant = {"name": "team", "apiKeys": [KEY], "weight": 100}
        configuration = {
            "version": 3,
            "routes": [route],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "tenants": [tenant],
            "limits": {"maxBodyBytes": 262144},
        }
        return json.dumps(configuration).encode()

    async def list_worker(self, worker: WorkerStandIn) -> None:
        """Write the entry of a worker, as it does itself."""
        await self.store.put("keyed.servers", worker.id, worker.describe(SERVICE))

    async def unlist_worker(self, worker: WorkerStandIn) -> None:
        """Remove the entry of a worker, as the platform does after its silence."""
        await self.store.put("keyed.servers", worker.id, b"")

    def start_process(self, ip: str) -> None:
        """Start an entry process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = Path(self._folder.name) / f"{ip}.conf"
        settings.write_text(
            SETTINGS.format(
                name=f"front-{ip}",
                ip=ip,
                zone="z",
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                peer=PEER_PORT,
                last_peer=PEER_PORT + 15,
                store=self._store_address,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= role["env"]
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["JACINTHLOOM_NODE_FILE"] = str(settings)
        with self._log(ip).open("ab") as output:
            self.process_by_ip[ip] = subprocess.Popen(
                [sys.executable, *role["run"].split()[1:]],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def _log(self, ip: str) -> Path:
        return Path(self._folder.name) / f"{ip}.log"

    def kill(self, ip: str) -> None:
        """Kill the process at an address with SIGKILL."""
        self.process_by_ip[ip].send_signal(signal.SIGKILL)
        self.process_by_ip[ip].wait()

    def read_log(self, ip: str) -> list[dict[str, Any]]:
        """Return the log lines of the process at an address."""
        lines = self._log(ip).read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    async def find_planner(self) -> str:
        """Return the address of the process that orders the workers."""
        while True:
            ready = [
                (line["at"], ip)
                for ip in self.ips
                for line in self.read_log(ip)
                if line["event"] == "planner_ready"
            ]
            if ready:
                return max(ready)[1]
            await asyncio.sleep(0.1)

    async def _is_ready(self, ip: str) -> bool:
        client = HttpClient(f"{ip}:{READY_PORT}")
        try:
            return (
                await client.request("GET", "/readiness", timeout=1.0)
            ).status == 200
        except TransportError:
            return False
        finally:
            client.close()

    async def call(
        self,
        ip: str,
        method: str,
        job: str,
        body: object = None,
        timeout_s: float = 3.0,
    ) -> Response | None:
        """Call an entry process as a client does; None if there was no answer."""
        client = HttpClient(f"{ip}:{FRONT_PORT}", host_name=HOST)
        headers = (
            ("Authorization", f"Token {KEY}"),
            ("Content-Type", "application/json"),
            ("X-Jacinthloom-Time-Budget-Ms", str(int(timeout_s * 1000))),
        )
        data = b"" if body is None else json.dumps(body).encode()
        self.record.write(f"client -> {ip}: {method} {job} {data.decode()[:160]}")
        try:
            response = await client.request(
                method, PREFIX + job, data, headers, timeout=timeout_s
            )
        except TransportError as error:
            self.record.write(f"client <- {ip}: {method} {job}: no answer ({error})")
            return None
        finally:
            client.close()
        text = response.body.decode()
        self.record.write(f"client <- {ip}: {method} {job}: {response.status} {text}")
        return response

    async def get_state(self, ip: str, job: str) -> str:
        """Return the state of a job, or the status if there is none."""
        response = await self.call(ip, "GET", job)
        if response is None:
            return "no answer"
        if response.status != 200:
            return str(response.status)
        return str(json.loads(response.body)["state"])

    def write_runs(self, job: str) -> None:
        """Write all runs of a job to the record."""
        runs = [r for w in self.workers for r in w.runs if r.task.startswith(job)]
        for run in sorted(runs, key=lambda run: run.began_at):
            began_s = self.record.measure_s(run.began_at)
            end = "still there"
            if run.kind:
                end = f"{run.kind} at {self.record.measure_s(run.ended_at):.3f} s"
            self.record.write(
                f"ran {run.task} run {run.run} on {run.worker.id} "
                f"from {began_s:.3f} s: {end}"
            )

    async def close(self) -> None:
        """End all processes that were started, and close the stand-ins."""
        for process in self.process_by_ip.values():
            if process.poll() is None:
                process.kill()
                await asyncio.to_thread(process.wait)
        keep = os.environ.get("KEEP_LOGS", "")
        if keep:
            for ip in self.ips:
                (Path(keep) / f"{ip}.log").write_bytes(self._log(ip).read_bytes())
        for worker in self.workers:
            await worker.close()
        if self._link is not None:
            await self._link.close()
        await self.store.close()
        self._folder.cleanup()


def execute(
    run_case: Callable[[Record], Coroutine[Any, Any, int]], folder: Path
) -> int:
    """Run a case, and return its exit code; it ends its processes on SIGTERM, too."""
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_run_until_terminated(run_case(record)))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN


async def _run_until_terminated(case: Coroutine[Any, Any, int]) -> int:
    task = asyncio.create_task(case)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def is_troubled() -> bool:
    """Whether the disruption takes place: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"
