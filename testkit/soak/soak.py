"""One soak: traffic and faults on a deployment, then checks."""

from __future__ import annotations

import asyncio
import shutil
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from .checks import find_violations
from .deployment import STARTED_S, SoakDeployment
from .faults import FaultInjector
from .observations import CONTACT_S, Observations
from .traffic import OPTIONAL_KEYS, OPTIONAL_ROUTES, Client, Operator
from .workloads import BATCHES, GANGS, LARGE_KEY, LONGEST_RUN_S, SURGES

if TYPE_CHECKING:
    from collections.abc import Callable

FINISH_S = 14.0
"""Seconds after the end of traffic and faults by which every accepted job has ended, if
no run takes longer than ``LONGEST_RUN_S``."""

CALM_S = CONTACT_S + STARTED_S + 0.2
"""Seconds after which processes that were just started are in touch, and the last
configuration is in force."""

PROBE_PAUSE_S = 0.25
JOB_PAUSE_S = 0.6
ASK_PAUSE_S = 0.5

RUN_TIMES_KEY = "learned.run_times"

SHORTAGE_AT_SHARE = 0.25
"""Share of the traffic's time after which more work is requested than can be done."""

SHORTAGE_S = 4.0
"""Seconds for which it is."""


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
    :param has_workloads: whether there are gangs beside tasks with checkpoints, and a
        shortage of workers for a few seconds
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
    has_workloads: bool = True

    @property
    def finish_s(self) -> float:
        """Seconds by which every accepted job has ended; each run may start again."""
        return FINISH_S + 2 * (self.longest_run_s - LONGEST_RUN_S)


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a soak has shown.

    :param preempted: number of runs that were preempted
    :param resumed: number of runs that began from a checkpoint
    :param refused_for_shortage: number of jobs that were refused for a shortage at
        least once
    :param past_use_loaded: number of times that a planner loaded the past usage
    :param run_times_loaded: number of times that one loaded the learned run times
    """

    violations: tuple[str, ...]
    faults: dict[str, int]
    jobs: int
    accepted: int
    runs: int
    probes: int
    events: Counter[str]
    preempted: int
    resumed: int
    refused_for_shortage: int
    past_use_loaded: int
    run_times_loaded: int

    def __str__(self) -> str:
        rules = Counter(v.partition(":")[0] for v in self.violations)
        return (
            f"{dict(rules) or 'held'}; {self.jobs} jobs, {self.accepted} accepted,"
            f" {self.runs} runs, {self.probes} probes,"
            f" {sum(self.faults.values())} faults of {len(self.faults)} kinds;"
            f" {self.preempted} runs preempted, {self.resumed} resumed,"
            f" {self.refused_for_shortage} jobs refused for shortage,"
            f" usage.past loaded {self.past_use_loaded} times,"
            f" {RUN_TIMES_KEY} {self.run_times_loaded} times;"
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
    "run_times_ignored",
    "past_use_unreadable",
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

    monitor = asyncio.create_task(observations.stalls.run())
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
            if settings.has_workloads:
                group.create_task(_send_workloads(settings, make_client, until))
            for ip in deployment.ips:
                group.create_task(make_client().keep_probing(ip, until, PROBE_PAUSE_S))
        await _restore(deployment)
        prober = make_client()
        await _probe_all(deployment, prober)
        await operator.write()
        await _probe_all(deployment, prober)
        await _wait_for_jobs(observations, prober, settings.finish_s)
        lines = [line for ip in deployment.ips for line in deployment.read_log(ip)]
    finally:
        monitor.cancel()
        if logs:  # also those of a deployment that did not start
            folder = Path(logs) / f"seed-{settings.seed}"
            shutil.copytree(deployment.log_folder, folder, dirs_exist_ok=True)
        for client in clients:
            client.close()
        await deployment.close()
    jobs = observations.job_by_id.values()
    events = Counter(str(line["event"]) for line in lines)
    observations.preempted = [
        ".".join(map(str, line["task"]))
        for line in lines
        if line["event"] == "preempted"
    ]
    runs = [run for worker in deployment.workers for run in worker.runs]
    served = deployment.store.served_by_key[RUN_TIMES_KEY]
    return SoakResult(
        tuple(find_violations(observations, deployment.workers)),
        injector.counts,
        len(jobs),
        sum(bool(job.accepted_at) for job in jobs),
        len(runs),
        len(observations.probes),
        Counter({name: events[name] for name in WATCHED_EVENTS if events[name]}),
        len(observations.preempted),
        sum(bool(run.resumed_s) for run in runs),
        len({line["job"] for line in lines if line.get("reason") == "shortage"}),
        events["past_use_loaded"],
        served - events["run_times_ignored"],
    )


async def _send_workloads(
    settings: SoakSettings, make_client: Callable[[], Client], until: float
) -> None:
    """Send gangs beside batches, and for a few seconds more than workers can take."""
    shortage_at = until - settings.seconds * (1 - SHORTAGE_AT_SHARE)
    ends_at = min(until, shortage_at + SHORTAGE_S)
    gangs_s, batches_s, surges_s = (
        workload.compute_pause_s(settings.workers)
        for workload in (GANGS, BATCHES, SURGES)
    )
    async with asyncio.TaskGroup() as group:
        group.create_task(make_client().send(GANGS, until, gangs_s))
        group.create_task(make_client().send(BATCHES, until, batches_s))
        await asyncio.sleep(shortage_at - time.monotonic())
        group.create_task(make_client().send(BATCHES, ends_at, batches_s))
        surge = make_client().send(SURGES, ends_at, surges_s, LARGE_KEY)
        group.create_task(surge)


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
