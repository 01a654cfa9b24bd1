"""Clients that keep using their open connections, and an operator."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING, Any

from jacinthloom_wire.errors import TransportError
from jacinthloom_wire.http_client import HttpClient

from ..hosted.deployment import FRONT_PORT, KEY
from .deployment import HOST
from .observations import CALL_TIMEOUT_S, Job, Probe, UnansweredCall, Version

if TYPE_CHECKING:
    from random import Random

    from jacinthloom_wire.http_client import Response

    from .deployment import SoakDeployment
    from .observations import Observations
    from .workloads import Workload

BUDGET_MS = 3_000
MAX_ATTEMPTS = 6

WORKLOAD_ATTEMPTS = 2
"""Submissions of a job of a workload: with few of them some jobs stay refused."""

EARLY_CANCEL_SHARE = 0.06
"""Share of the jobs that are cancelled while their submission waits for an answer."""

LARGE_SHARE = 0.01
"""Share of the jobs that have hundreds of steps."""

MAX_EARLY_CANCEL_DELAY_S = 0.3
MAX_CANCEL_DELAY_S = 2.0

OPTIONAL_ROUTES = 4
OPTIONAL_KEYS = 3
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


class Client:
    """One client, which stays with a process until a call to it fails."""

    def __init__(
        self, deployment: SoakDeployment, observations: Observations, random: Random
    ) -> None:
        self._deployment = deployment
        self._observations = observations
        self._random = random
        self._connection_by_ip: dict[str, HttpClient] = {}
        self._ip = ""

    async def call(
        self,
        ip: str,
        method: str,
        path: str,
        body: object = None,
        key: str = KEY,
        budget_ms: int = BUDGET_MS,
    ) -> Response | None:
        """Call a process; return None if there is no complete answer."""
        client = self._connection_by_ip.get(ip)
        if client is None:
            address = f"{ip}:{FRONT_PORT}"
            client = HttpClient(address, host_name=HOST)
            self._connection_by_ip[ip] = client
        headers = (
            ("Authorization", f"Token {key}"),
            ("X-Jacinthloom-Time-Budget-Ms", str(budget_ms)),
        )
        data = b"" if body is None else json.dumps(body).encode()
        sent_at = time.monotonic()
        try:
            return await client.request(method, path, data, headers, CALL_TIMEOUT_S)
        except TransportError as error:
            if error.sent:
                call = UnansweredCall(ip, method, path, sent_at, time.monotonic())
                self._observations.unanswered_calls.append(call)
            return None

    def choose_ip(self, is_failed: bool = False) -> str:
        """Return the process that this client uses, another one after a failure."""
        if is_failed or not self._ip:
            self._ip = self._random.choice(self._deployment.ips)
        return self._ip

    async def run(self, until: float, pause_s: float) -> None:
        """Submit jobs one after the other, and ask for their states."""
        while time.monotonic() < until:
            job = self._make_job()
            self._observations.job_by_id[job.id] = job
            if self._random.random() < EARLY_CANCEL_SHARE:
                await asyncio.gather(self._submit(job), self._cancel_early(job))
            else:
                await self._submit(job)
            if job.accepted_at and self._random.random() < 0.05:
                await self._repeat(job)
            if job.accepted_at and self._random.random() < 0.08:
                delay_s = self._random.uniform(0.0, MAX_CANCEL_DELAY_S)
                await self._cancel(job, delay_s, BUDGET_MS)
            await asyncio.sleep(self._random.uniform(0, 2 * pause_s))
            await self.ask(job)

    async def send(
        self, workload: Workload, until: float, pause_s: float, key: str = KEY
    ) -> None:
        """Submit jobs of a workload, without waiting for the answers to earlier ones.

        :param key: key of the client account
        """
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < until:
                job = workload.make_job(self._random, key)
                self._observations.job_by_id[job.id] = job
                group.create_task(self._submit(job, WORKLOAD_ATTEMPTS))
                await asyncio.sleep(self._random.uniform(0, 2 * pause_s))

    def _make_job(self) -> Job:
        random = self._random
        name = f"{random.getrandbits(64):016x}"
        if random.random() < LARGE_SHARE:
            return self._make_large_job(name)
        steps: list[dict[str, Any]] = [
            {
                "count": random.choice((1, 2, 3, 6, 12)),
                "cpu": random.choice((300, 500, 1000)),
                "memMb": 100,
                "estRuntimeMs": 1000,
            }
            for _ in range(random.choice((1, 1, 2)))
        ]
        if len(steps) > 1:
            steps[1] |= {"after": [0]}
        body: dict[str, Any] = {"spec": f"text of {name}", "steps": steps}
        if random.random() < 0.15:
            body |= {
                "startAtMs": int((time.time() + random.uniform(0.0, 2.0)) * 1000),
                "periodMs": random.randint(300, 3_000),
                "repeatCount": random.randint(2, 4),
            }
        return Job(name, body, time.monotonic())

    def _make_large_job(self, name: str) -> Job:
        """Return a job of hundreds of steps, or of many occurrences that are due."""
        random = self._random
        step: dict[str, Any] = {
            "count": 1,
            "cpu": 50,
            "memMb": 10,
            "estRuntimeMs": 1000,
        }
        shape = random.choice(("wide", "fan", "timed"))
        steps = [step] * random.randint(100, 300)
        body: dict[str, Any] = {"spec": f"text of {name}", "steps": steps}
        if shape == "fan":
            steps[1:] = [step | {"after": [0]}] * (len(steps) - 1)
        elif shape == "timed":
            body |= {
                "steps": steps[:10],
                "startAtMs": int(time.time() * 1000),
                "periodMs": 1,
                "repeatCount": len(steps) // 10,
            }
        return Job(name, body, time.monotonic())

    async def _submit(self, job: Job, attempts: int = MAX_ATTEMPTS) -> None:
        is_failed = False
        for _ in range(attempts):
            ip = self.choose_ip(is_failed)
            response = await self.call(
                ip, "POST", job.prefix + job.id, job.body, job.key
            )
            if response is not None and response.status == 200:
                job.accepted_at = time.monotonic()
                return
            is_failed = True
            if response is not None and response.status in (429, 503):
                job.refused_attempts += 1
            else:
                job.unknown_attempts += 1
            await asyncio.sleep(self._random.uniform(0.2, 1.0))

    async def _repeat(self, job: Job) -> None:
        await asyncio.sleep(self._random.uniform(0.0, 3.0))
        ip = self._random.choice(self._deployment.ips)
        await self.call(ip, "POST", job.prefix + job.id, job.body, job.key)

    async def _cancel_early(self, job: Job) -> None:
        """Cancel a job, without waiting long for a slow store, and ask for it."""
        delay_s = self._random.uniform(0.0, MAX_EARLY_CANCEL_DELAY_S)
        await self._cancel(job, delay_s, self._random.choice((250, 400, BUDGET_MS)))
        await self.ask(job)

    async def _cancel(self, job: Job, delay_s: float, budget_ms: int) -> None:
        """Cancel a job, again until that is acknowledged.

        A job that was not accepted yet may be unknown, and come later.
        """
        await asyncio.sleep(delay_s)
        for _ in range(MAX_ATTEMPTS):
            job.cancel_sent_at = job.cancel_sent_at or time.monotonic()
            path = job.prefix + job.id
            response = await self.call(
                self.choose_ip(), "DELETE", path, key=job.key, budget_ms=budget_ms
            )
            status = 0 if response is None else response.status
            if status == 200 or (status == 410 and job.accepted_at):
                job.cancelled_at = job.cancelled_at or time.monotonic()
                self._observations.cancel_acknowledged.set()
                return
            self.choose_ip(is_failed=True)
            await asyncio.sleep(min(0.5, budget_ms / 2000))

    async def ask(self, job: Job) -> str:
        """Ask for the state of a job and return it, or an empty string."""
        ip = self.choose_ip()
        response = await self.call(ip, "GET", job.prefix + job.id, key=job.key)
        if response is None or response.status not in (200, 410):
            self.choose_ip(is_failed=True)
            return ""
        state = "410"
        if response.status == 200:
            state = str(json.loads(response.body)["state"])
        job.states.append((time.monotonic(), ip, state))
        return state

    async def probe(self, ip: str, route: int, key: int) -> None:
        """Call a process on an optional route, with an optional key.

        The call asks for the count of the route's jobs, or submits a job.
        """
        incarnation = self._deployment.incarnation_by_ip.get(ip, 0)
        sent_at = time.monotonic()
        path = f"/route-{route}/"
        if self._random.random() < 0.5:
            response = await self.call(ip, "GET", path, key=f"key-{key}")
        else:
            response = await self._probe_with_job(ip, path, f"key-{key}")
        if response is None:
            return
        if incarnation != self._deployment.incarnation_by_ip.get(ip, 0):
            return
        probe = Probe(
            ip, incarnation, route, key, sent_at, time.monotonic(), response.status
        )
        self._observations.probes.append(probe)

    async def _probe_with_job(self, ip: str, path: str, key: str) -> Response | None:
        name = f"{self._random.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 100, "memMb": 10, "estRuntimeMs": 500}
        body = {"spec": f"text of {name}", "steps": [step]}
        job = Job(name, body, time.monotonic())
        self._observations.job_by_id[name] = job
        response = await self.call(ip, "POST", path + name, body, key)
        if response is None or response.status >= 500 and response.status != 503:
            job.unknown_attempts += 1
        elif response.status == 200:
            job.accepted_at = time.monotonic()
        return response

    async def keep_probing(self, ip: str, until: float, pause_s: float) -> None:
        """Probe one process with routes and keys that come and go."""
        while time.monotonic() < until:
            route = self._random.randrange(OPTIONAL_ROUTES)
            await self.probe(ip, route, self._random.randrange(OPTIONAL_KEYS))
            await asyncio.sleep(self._random.uniform(0, 2 * pause_s))

    def close(self) -> None:
        """Close all connections."""
        for client in self._connection_by_ip.values():
            client.close()


class Operator:
    """Writes versions of the configuration."""

    def __init__(
        self, deployment: SoakDeployment, observations: Observations, random: Random
    ) -> None:
        self._deployment = deployment
        self._observations = observations
        self._random = random
        self._lock = asyncio.Lock()
        now = time.monotonic()
        first = Version(1, frozenset(), frozenset(), now, now)
        observations.versions.append(first)

    async def write(self) -> None:
        """Write a version with other routes and keys."""
        random = self._random
        async with self._lock:
            number = self._observations.versions[-1].number + random.randint(1, 5)
            routes = frozenset(
                n for n in range(OPTIONAL_ROUTES) if random.random() < 0.5
            )
            keys = frozenset(n for n in range(OPTIONAL_KEYS) if random.random() < 0.7)
            sent_at = time.monotonic()
            await self._deployment.write_configuration(number, routes, keys)
            version = Version(number, routes, keys, sent_at, time.monotonic())
            self._observations.versions.append(version)

    async def run(self, until: float) -> None:
        """Write versions, now and then in quick succession."""
        while time.monotonic() < until:
            await self.write()
            await asyncio.sleep(self._random.choice((0.05, 0.5, 3.0, 4.0, 6.0)))
