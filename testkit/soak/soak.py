"""One soak: traffic and faults on a deployment, then checks."""

from __future__ import annotations

import asyncio
import shutil
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random

from .checks import find_violations
from .deployment import LONGEST_RUN_S, STARTED_S, SoakDeployment
from .faults import FaultInjector
from .observations import CONTACT_S, Observations
from .traffic import OPTIONAL_KEYS, OPTIONAL_ROUTES, Client, Operator

FINISH_S = 14.0
"""Seconds after the end of traffic and faults by which every accepted job has ended, if
no run takes longer than ``LONGEST_RUN_S``."""

CALM_S = CONTACT_S + STARTED_S + 0.2
"""Seconds after which processes that were just started are in touch, and the last
configuration is in force."""

PROBE_PAUSE_S = 0.25
JOB_PAUSE_S = 0.6
ASK_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Seed and size of a soak.

    :param seconds: duration of traffic and faults
    :param series: series of faults that go on at a time
    :param packages: folder with another build of the packages that the processes run;
        empty for the installed ones
    :param kinds: kinds of faults to draw from; all of them if empty
    :param longest_run_s: duration of the longest runs; an outage can end only runs that
        are longer than a lease
    """

    seed: int
    processes: int = 6
    workers: int = 24
    seconds: float = 30.0
    series: int = 3
    clients: int = 12
    packages: str = ""
    kinds: tuple[str, ...] = ()
    longest_run_s: float = LONGEST_RUN_S

    @property
    def finish_s(self) -> float:
        """Seconds by which every accepted job has ended; each run may start again."""
        return FINISH_S + 2 * (self.longest_run_s - LONGEST_RUN_S)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak has shown."""

    violations: tuple[str, ...]
    faults: dict[str, int]
    jobs: int
    accepted: int
    runs: int
    probes: int
    events: Counter[str]

    def __str__(self) -> str:
        rules = Counter(v.partition(":")[0] for v in self.violations)
        return (
            f"{dict(rules) or 'held'}; {self.jobs} jobs, {self.accepted} accepted,"
            f" {self.runs} runs, {self.probes} probes,"
            f" {sum(self.faults.values())} faults of {len(self.faults)} kinds;"
            f" {dict(self.events)}"
        )


WATCHED_EVENTS = (
    "planner_ready",
    "planner_failed",
    "start",
    "task_failed",
    "task_restarted",
    "feed_failed",
    "worker_call_failed",
    "record_failed",
)
"""Events of the processes' logs that a result counts."""


async def run_soak(settings: SoakSettings, logs: str | None = None) -> SoakResult:
    """Run a soak and check it.

    :param logs: folder to copy the logs of the processes to
    """
    random = Random(settings.seed)
    observations = Observations()
    deployment = SoakDeployment(
        settings.processes, settings.workers, observations, settings.longest_run_s
    )
    deployment.packages = settings.packages
    clients: list[Client] = []

    def make_client() -> Client:
        client = Client(deployment, observations, Random(random.random()))
        clients.append(client)
        return client

    try:
        await deployment.start()
        await deployment.find_planner()
        until = time.monotonic() + settings.seconds
        operator = Operator(deployment, observations, Random(random.random()))
        injector = FaultInjector(
            deployment, observations, Random(random.random()), operator, settings.kinds
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(injector.run(until, settings.series))
            group.create_task(operator.run(until))
            for _ in range(settings.clients):
                group.create_task(make_client().run(until, JOB_PAUSE_S))
            for ip in deployment.ips:
                group.create_task(make_client().keep_probing(ip, until, PROBE_PAUSE_S))
        await _restore(deployment)
        prober = make_client()
        await _probe_all(deployment, prober)
        await operator.write()
        await _probe_all(deployment, prober)
        await _wait_for_jobs(observations, prober, settings.finish_s)
        if logs:
            folder = Path(logs) / f"seed-{settings.seed}"
            shutil.copytree(deployment.log_folder, folder, dirs_exist_ok=True)
        events = Counter(
            str(line["event"])
            for ip in deployment.ips
            for line in deployment.read_log(ip)
            if line["event"] in WATCHED_EVENTS
        )
    finally:
        for client in clients:
            client.close()
        await deployment.close()
    jobs = observations.job_by_id.values()
    return SoakResult(
        tuple(find_violations(observations, deployment.workers)),
        injector.counts,
        len(jobs),
        sum(bool(job.accepted_at) for job in jobs),
        sum(len(worker.runs) for worker in deployment.workers),
        len(observations.probes),
        events,
    )


async def _restore(deployment: SoakDeployment) -> None:
    """Bring back every process and worker."""
    for ip in deployment.ips:
        if not deployment.is_running(ip):
            deployment.start_process(ip)
    for worker in deployment.workers:
        if not worker.is_up:
            await worker.restart()
        await deployment.list_worker(worker)


async def _probe_all(deployment: SoakDeployment, client: Client) -> None:
    """Probe every process once nothing has been disturbed for a while."""
    await asyncio.sleep(CALM_S)
    for ip in deployment.ips:
        for route in range(OPTIONAL_ROUTES):
            await client.probe(ip, route, route % OPTIONAL_KEYS)


async def _wait_for_jobs(
    observations: Observations, client: Client, finish_s: float
) -> None:
    """Ask for the states of accepted jobs until all have ended, or time is up."""
    until = time.monotonic() + finish_s
    open_jobs = [job for job in observations.job_by_id.values() if job.accepted_at]
    while open_jobs and time.monotonic() < until:
        states = [await client.ask(job) for job in open_jobs]
        open_jobs = [
            job
            for job, state in zip(open_jobs, states, strict=True)
            if state not in ("completed", "failed", "cancelled")
        ]
        if open_jobs:
            await asyncio.sleep(ASK_PAUSE_S)
