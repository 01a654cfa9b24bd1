"""A small deployment: stand-ins, and entry processes as the deploy file starts them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from .http import Response, call
from .store import Store
from .worker import RunTime, Worker

ROOT = Path(__file__).resolve().parents[2]
RUN = ("python3", "-m", "jacinthloom_daemon.hosted")
"""The ``run`` line of ``deploy/system.toml``."""

HOST = "desk.example"
PREFIX = "/desk/"
SERVICE = "desk"
KEY = "key-of-the-desk"
PORTS = {"front": 8183, "ready": 8184, "control": 8180, "metrics": 9464, "peer": 7420}
READY_S = 25.0
BUDGET_MS = 3_000
ZONES = ("z1", "z2", "z3")

SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front,control
ip={ip}
zone={zone}
region=r
zones.z1=r
zones.z2=r
zones.z3=r
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
portRange={peer},7435
seeds={seeds}
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
contracts=base,drain,config,cost,recover,sched,tenants,quota,places,platform
tolerate.machines=2
tolerate.zones=1
tolerate.regions=0
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.evacuateMs=5000
bounds.recoveryS=12
bounds.holdMaxMs=10000
bounds.stopGraceMs=900
bounds.gangWaitMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.leaseMs=3000
bounds.fencingRequired=true
orders=invocation
platform.address={store}
platform.form=log
platform.writesPerS=600
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.partitionMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.requestBytes=2097152
platform.keep_s=300
platform.partitionMb=200
platform.ttlMinMs=1000
"""


class CannotRunError(Exception):
    """The case could not be run; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        print(f"{self.seconds():8.3f}  {text}", file=self._file, flush=True)

    def seconds(self, at: float | None = None) -> float:
        """Return the seconds from the start to a monotonic time, or to now."""
        return (time.monotonic() if at is None else at) - self._began_at


class Deployment:
    """Entry processes, a store and workers, all at loopback addresses."""

    def __init__(
        self,
        record: Record,
        run_time: RunTime,
        workers: int = 4,
        saves: bool = False,
    ) -> None:
        self.record = record
        self.store = Store()
        self.workers = [
            Worker(
                f"i-{random.randrange(16**10):010x}",
                SERVICE,
                run_time,
                ZONES[number % len(ZONES)],
                ("a", f"r{number % len(ZONES) + 1}-1"),
                saves=saves,
            )
            for number in range(workers)
        ]
        self.fronts: list[str] = []
        self.version = 0
        self.process_by_front: dict[str, subprocess.Popen[bytes]] = {}
        self._folder = tempfile.TemporaryDirectory()
        self._settings_by_front: dict[str, Path] = {}

    async def start(self, processes: int = 3, upper_limit_cpu: int = 0) -> None:
        """Start everything, and wait until every process is ready.

        :raises CannotRunError: if they are not ready in time
        """
        deps = ROOT / "target" / "deps"
        if not (deps / "jacinthloom_daemon").is_dir():
            raise CannotRunError(
                "target/deps is missing: run the build of the deploy file"
            )
        address = await self.store.start()
        for worker in self.workers:
            await worker.start()
        await self.configure(upper_limit_cpu)
        for worker in self.workers:
            await self.list_worker(worker)
        ips = [_find_free_ip() for _ in range(processes)]
        seeds = ",".join(f"{ip}:{PORTS['control']}" for ip in ips)
        for number, ip in enumerate(ips):
            front = f"{ip}:{PORTS['front']}"
            path = Path(self._folder.name) / f"node-{number}.conf"
            zone = ZONES[number % len(ZONES)]
            name = f"front-{zone}-{number + 1}"
            text = SETTINGS.format(
                name=name, ip=ip, zone=zone, seeds=seeds, store=address, **PORTS
            )
            path.write_text(text)
            self._settings_by_front[front] = path
            self.fronts.append(front)
            self.start_process(front)
        await self.wait_for(self._are_all_ready, READY_S, "every process is ready")
        await asyncio.sleep(1.0)
        self.record.write(
            f"{processes} processes are ready, {len(self.workers)} workers"
        )

    async def configure(self, upper_limit_cpu: int = 0) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        route = {
            "name": "r-desk",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": BUDGET_MS,
            "targetLatencyMs": 250,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 4,
            "stretch": 1.5,
            "authExempt": False,
        }
        limit = {"cpu": upper_limit_cpu, "memMb": 0, "gpu": 0}
        tenant = {"name": "t-desk", "apiKeys": [KEY], "weight": 50, "upperLimit": limit}
        service = {"name": SERVICE, "healthPath": "/health", "admissionCheck": False}
        configuration = {
            "version": self.version,
            "routes": [route],
            "tenants": [tenant],
            "services": [service],
            "limits": {"maxBodyBytes": 262_144},
        }
        value = json.dumps(configuration).encode()
        await self.store.put("keyed.op", "config", value)

    async def list_worker(self, worker: Worker, state: str = "ready") -> None:
        """Write the entry of a worker, as it does itself."""
        await self.store.put("keyed.servers", worker.id, worker.describe(state))

    async def _are_all_ready(self) -> bool:
        for front in self.fronts:
            ready = f"{front.rpartition(':')[0]}:{PORTS['ready']}"
            try:
                if (
                    await call(ready, "GET", "/readiness", timeout_s=1.0)
                ).status != 200:
                    return False
            except (OSError, TimeoutError):
                return False
        return True

    async def wait_for(
        self, check: Callable[[], Awaitable[bool]], timeout_s: float, what: str
    ) -> None:
        """Wait until a check passes.

        :raises CannotRunError: if it does not in time
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"not in {timeout_s:g} s: {what}")

    def start_process(self, front: str) -> None:
        """Start the entry process of one machine."""
        names = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in names if name in os.environ}
        variables["JACINTHLOOM_NODE_FILE"] = str(self._settings_by_front[front])
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self._find_log(front).open("ab") as output:
            self.process_by_front[front] = subprocess.Popen(
                RUN, cwd=ROOT, env=variables, stdout=output, stderr=output
            )

    def _find_log(self, front: str) -> Path:
        return self._settings_by_front[front].with_suffix(".log")

    def read_log(self, front: str, event: str = "") -> list[dict[str, object]]:
        """Return what a process has logged, or only the lines of one event."""
        lines = self._find_log(front).read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row for row in rows if not event or row["event"] == event]

    def find_leader(self) -> str:
        """Return the front address of the process that leads.

        It is the machine that has last written to the store under a condition, as
        ``node_kill`` with ``how = "leader"`` names it.

        :raises CannotRunError: if no process leads
        """
        at_by_front: dict[str, float] = {}
        for front, process in self.process_by_front.items():
            if process.poll() is None:
                for row in self.read_log(front, "planner_ready"):
                    at_by_front[front] = float(str(row["at"]))
        if not at_by_front:
            raise CannotRunError("no process leads")
        return max(at_by_front, key=lambda front: at_by_front[front])

    def kill(self, front: str) -> None:
        """Kill the process of one machine."""
        self.record.write(f"SIGKILL to the process at {front}")
        self.process_by_front[front].send_signal(signal.SIGKILL)
        self.process_by_front[front].wait()

    async def call(self, front: str, method: str, job: str, body: object = None) -> str:
        """Call a process as a client does; return status and body, or what failed."""
        headers = {
            "Host": HOST,
            "Authorization": f"Token {KEY}",
            "Content-Type": "application/json",
            "X-Jacinthloom-Time-Budget-Ms": str(BUDGET_MS),
        }
        data = b"" if body is None else json.dumps(body).encode()
        try:
            response: Response = await call(
                front, method, PREFIX + job, headers, data, BUDGET_MS / 1000
            )
        except (OSError, TimeoutError) as error:
            return f"no answer ({type(error).__name__})"
        return f"{response.status} {response.body.decode()}"

    async def submit(
        self, job: str, steps: list[dict[str, object]], **more: object
    ) -> bool:
        """Hand a job in, and again after failures; return whether it was accepted."""
        body = {"spec": f"text of {job}", "steps": steps, **more}
        for attempt in range(5):
            alive = [f for f, p in self.process_by_front.items() if p.poll() is None]
            front = alive[attempt % len(alive)]
            answer = await self.call(front, "POST", job, body)
            self.record.write(f"POST {job} at {front}: {answer}")
            if answer.startswith("200"):
                return True
            if answer.startswith("4") and not answer.startswith("429"):
                return False
            await asyncio.sleep(0.5)
        return False

    async def show(self, job: str) -> str:
        """Ask for the state of a job at each process that lives until one answers."""
        answer = "no process lives"
        for front, process in list(self.process_by_front.items()):
            if process.poll() is not None:
                continue
            answer = await self.call(front, "GET", job)
            if answer.startswith("200"):
                return str(json.loads(answer.split(" ", 1)[1])["state"])
        return answer

    async def wait_for_state(self, job: str, state: str, timeout_s: float) -> str:
        """Ask until a job has a state, or the time is over; return the last answer."""
        until = time.monotonic() + timeout_s
        while True:
            answer = await self.show(job)
            if answer == state or time.monotonic() > until:
                self.record.write(f"GET {job}: {answer}")
                return answer
            await asyncio.sleep(0.25)

    async def stop(self) -> None:
        """End all processes that were started, and all stand-ins."""
        for process in self.process_by_front.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        self._folder.cleanup()


def _find_free_ip() -> str:
    """Return a loopback address at which the ports of an entry process are free."""
    for _ in range(100):
        parts = (random.randint(1, 254) for _ in range(3))
        ip = "127." + ".".join(map(str, parts))
        sockets = []
        try:
            for port in PORTS.values():
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((ip, port))
            return ip
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRunError("no free loopback address")
