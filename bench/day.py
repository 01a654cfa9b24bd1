"""Run the trace of a day through a member in virtual time."""

from __future__ import annotations

from functools import partial

from jacinthloom_core import Member
from jacinthloom_core.model.configuration import ClassesAndTeams
from jacinthloom_core.model.settings import MemberSettings
from jacinthloom_core.policy.usage_cap import UsageCapPolicy

from testkit.virtual import Faults, World

from .baselines import ScheduleOutcome, UsageByMinute
from .traces import CLASSES, DAY_S, Arrival, Deployment

TICK_S = 1.0

DRAIN_S = 9 * 3600.0
"""Seconds after the end of the day by which the jobs of the night must end."""


def run_day(
    deployment: Deployment, seed: int, policy: type[UsageCapPolicy] | None = None
) -> ScheduleOutcome:
    """Submit the trace to a single member that owns every worker."""

    def make(settings: MemberSettings) -> Member:
        return Member(settings, policy() if policy else None)

    world = World(
        seed,
        members=1,
        racks=3,
        workers_per_rack=deployment.workers // 3,
        faults=Faults(),
        capacity=deployment.capacity,
        make_member=make,
        tick_s=TICK_S,
        judged=False,
    )
    world.run(20.0)
    process = world.alive[0]
    world.change(process, ClassesAndTeams(CLASSES, deployment.teams))
    world.run(5.0)
    for team in deployment.teams:
        world.grant_key(process, team.name, team.name)
        world.run(5.0)
    recorder = _DayRecorder(world, deployment)
    for item in deployment.arrivals:
        world.at(item.arrived_at - world.now, partial(recorder.submit, item))
    world.at(0.0, recorder.sample)
    world.run(DAY_S - world.now + DRAIN_S)
    return recorder.summarize()


class _DayRecorder:
    """Submits the arrivals of a trace and records starts, usage and ends."""

    def __init__(self, world: World, deployment: Deployment) -> None:
        self._world = world
        self._deployment = deployment
        self._arrival_by_name = {item.name: item for item in deployment.arrivals}
        self._usage = UsageByMinute()
        self._outcome = ScheduleOutcome()
        self._started_keys: set[str] = set()
        self._ended_at: dict[str, float] = {}

    def submit(self, item: Arrival) -> None:
        """Submit one job or request."""
        world = self._world
        spec = world.make_spec(
            item.name,
            item.work_class,
            tasks=item.tasks,
            processors=item.processors,
            run_time_s=item.declared_s,
        )
        world.run_time_s[item.name] = item.run_s
        world.ask(world.alive[0], spec, f"{item.team}.secret")

    def sample(self) -> None:
        """Record new starts and ends, and schedule the next sample a second later."""
        world = self._world
        for worker in world.worker_by_name.values():
            for key, task in worker.task_by_key.items():
                if key not in self._started_keys:
                    self._started_keys.add(key)
                    item = self._arrival_by_name[task.grant.spec.job]
                    wait = max(0.0, task.began - item.arrived_at)
                    name = item.work_class.name
                    self._outcome.waits_by_class.setdefault(name, []).append(wait)
                    self._usage.add(task.began, task.ends, item.processors)
        for job in world.invariants.truth.summary_by_job:
            self._ended_at.setdefault(job, world.now)
        world.at(1.0, self.sample)

    def summarize(self) -> ScheduleOutcome:
        """Count the late jobs and return the outcome."""
        outcome = self._outcome
        outcome.peak_millicores = self._usage.compute_peak()
        for item in self._deployment.arrivals:
            if item.work_class.kind == "batch":
                outcome.batch_jobs += 1
                ended = self._ended_at.get(item.name, float("inf"))
                outcome.late_jobs += int(ended > item.deadline)
        return outcome
