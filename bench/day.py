"""A day's trace through the shipped reducer, in virtual time."""

from __future__ import annotations

from functools import partial

from jacinthloom_core import Member
from jacinthloom_core.model.configuration import ClassesAndTeams
from jacinthloom_core.model.settings import MemberSettings
from jacinthloom_core.policy.usage_cap import UsageCapPolicy

from testkit.virtual import Faults, World

from .baselines import Outcome, Usage
from .traces import CLASSES, DAY, Arrival, Deployment

TICK_S = 1.0

SPILL_S = 9 * 3600.0
"""Seconds after the day in which the night's work must end."""


def run_day(
    deployment: Deployment, seed: int, policy: type[UsageCapPolicy] | None = None
) -> Outcome:
    """Feed the trace to one member that owns every worker."""

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
    run = _Day(world, deployment)
    for item in deployment.arrivals:
        world.at(item.at - world.now, partial(run.hand_in, item))
    world.at(0.0, run.sample)
    world.run(DAY - world.now + SPILL_S)
    return run.finish()


class _Day:
    """What happens on the way."""

    def __init__(self, world: World, deployment: Deployment) -> None:
        self._world = world
        self._deployment = deployment
        self._item_by_name = {item.name: item for item in deployment.arrivals}
        self._usage = Usage()
        self._outcome = Outcome()
        self._seen: set[str] = set()
        self._ended_at: dict[str, float] = {}

    def hand_in(self, item: Arrival) -> None:
        """Hand in one job or request."""
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
        """Look at starts and ends, and go on doing so."""
        world = self._world
        for worker in world.worker_by_name.values():
            for key, task in worker.task_by_key.items():
                if key not in self._seen:
                    self._seen.add(key)
                    item = self._item_by_name[task.grant.spec.job]
                    wait = max(0.0, task.began - item.at)
                    name = item.work_class.name
                    self._outcome.waits.setdefault(name, []).append(wait)
                    self._usage.add(task.began, task.ends, item.processors)
        for job in world.invariants.truth.summary_by_job:
            self._ended_at.setdefault(job, world.now)
        world.at(1.0, self.sample)

    def finish(self) -> Outcome:
        """Judge the deadlines."""
        outcome = self._outcome
        outcome.busiest = self._usage.compute_busiest()
        for item in self._deployment.arrivals:
            if item.work_class.kind == "batch":
                outcome.jobs += 1
                ended = self._ended_at.get(item.name, float("inf"))
                outcome.late += int(ended > item.deadline)
        return outcome
