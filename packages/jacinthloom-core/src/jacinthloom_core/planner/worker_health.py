"""Preferences among workers by their speed and by their recent failures.

Nothing here excludes a worker: the preferences only order those that may run a step.
The state is kept in memory, and a successor relearns it from the runs that it observes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .speed import TYPICAL, SpeedGroups

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Mapping

    from .fleet import Worker
    from .jobs import StepRun

HALF_LIFE_S = 6.0
"""Half-life of the evidence against a worker, in seconds: workers that flap change
between up and down within about that time."""

SILENCE_WEIGHT = 1.5
"""Evidence of a loss of contact. Other workers are preferred from 1 on, so that one
incident counts for about half a half-life."""

RESTART_WEIGHT = 1.5
"""Evidence of a restart, beside that of the silence before it: unlike a worker that was
only out of reach, it has certainly lost its tasks."""

UNSTARTED_WEIGHT = 1.5
"""Evidence of a start that was not answered, or rejected for the worker's health."""

MAX_LOSS_EVIDENCE = 8.0
"""Bound on the evidence of silence, restarts and unstarted tasks: it decays to 1 within
three half-lives."""

BAD_FAILURE_RATE = 0.5
"""Failure rate of the bad workers that failed runs are tested for."""

FAILURE_EVIDENCE_UNIT = 5.0
"""Log likelihood ratio of a bad worker that counts as evidence of 1, about 150 to 1.
With 4.0, twice as many good workers are doubted where 3 in 100 runs fail."""

MAX_FAILURE_RATIO = 16.0
"""Bound on the log likelihood ratio, so that it decays within seconds."""

INITIAL_FAILURE_RATE = 0.03
"""Assumed share of runs that fail by their task's own fault: 1 to 5 in 100 do."""

MIN_FAILURE_RATE = 0.02
"""Lower bound on that share, so that a single failure is never enough evidence."""

MAX_FAILURE_RATE = 0.25
"""Upper bound on that share, well below the rate of bad workers."""

FAILURE_RATE_WEIGHT = 0.005
"""Weight of a new run in the fleet's failure rate, over about two hundred runs."""

LOSS_FORGIVENESS = 0.85
"""Factor on the evidence of losses with each run that the worker completes afterwards:
a run shows little about whether the worker stays up."""

MAX_DOUBT = 3
"""Highest level of doubt; a level stands for twice the evidence of the one below."""

NEGLIGIBLE_EVIDENCE = 0.05
"""Evidence below which a worker is forgotten."""

UPDATE_INTERVAL_S = 0.25
"""Seconds between two updates of the levels of doubt if nothing has failed."""

REGROUP_INTERVAL_S = 2.0
"""Seconds between two assignments of the workers to speed groups: several runs end on
each worker meanwhile."""

TIGHT_SLACK_SHARE = 0.5
"""Slack as a share of the run time below which a step should run on fast workers: a
worker that is slower by 30% uses up more than half of it."""

AMPLE_SLACK_SHARE = 3.0
"""Slack as a share of the run time from which a step may run on slow workers: predicted
run times of gangs are off by more than a factor of two."""


class Urgency(Enum):
    """How the slack of a step compares with its run time."""

    TIGHT = "tight"
    MEDIUM = "medium"
    AMPLE = "ample"


def classify_slack(step: StepRun) -> Urgency:
    """Return the urgency of a step by its slack in the current scheduling pass.

    A step that should have ended by now is late on any worker, and so is not urgent.
    """
    run_s = step.due_s + step.objective_s - step.latest_start_s
    if step.spec.lasting or run_s <= 0:
        return Urgency.MEDIUM
    if step.slack_s >= AMPLE_SLACK_SHARE * run_s:
        return Urgency.AMPLE
    if -run_s < step.slack_s < TIGHT_SLACK_SHARE * run_s:
        return Urgency.TIGHT
    return Urgency.MEDIUM


def select_gang_workers(
    urgency: Urgency, workers: list[Worker], counts: list[int], needed: int
) -> list[Worker]:
    """Return the most reliable workers of like speed that can take a whole gang.

    A gang is lost with any of its members, and ends with the slowest of them.

    :param counts: number of members that fit on each worker
    :param needed: number of members
    :returns: all workers if fewer can't take the gang
    """
    groups = {worker.speed_group for worker in workers}
    levels = {worker.doubt for worker in workers}
    fitting = [
        (worker, count) for worker, count in zip(workers, counts, strict=True) if count
    ]
    for level in sorted(levels):
        trusted = [row for row in fitting if row[0].doubt <= level]
        if sum(count for _, count in trusted) < needed:
            continue
        for pool_groups in _list_group_sets(sorted(groups), urgency):
            pool = [row for row in trusted if row[0].speed_group in pool_groups]
            if sum(count for _, count in pool) >= needed:
                return [worker for worker, _ in pool]
    return workers


def choose_speed_rank(
    urgency: Urgency, is_short: bool, worker: Worker
) -> tuple[int, int]:
    """Return the ranks of a worker by speed, ahead of and behind how full it is.

    Only steps with little slack, and short ones, take a fast worker that is less full.
    Others would leave no worker with room for a gang.

    :param is_short: whether the step's tasks are short
    """
    group = worker.speed_group
    if urgency is Urgency.AMPLE:
        return 0, -group
    if urgency is Urgency.TIGHT or is_short:
        return group, 0
    return 0, group


def has_speed_groups(workers: list[Worker]) -> bool:
    """Whether the speeds of workers are known to differ."""
    return any(worker.speed_group != TYPICAL for worker in workers)


def has_doubts(workers: list[Worker]) -> bool:
    """Whether any worker has failed lately."""
    return any(worker.doubt for worker in workers)


def _list_group_sets(groups: list[int], urgency: Urgency) -> Iterator[set[int]]:
    """Yield sets of speed groups to try for a gang, in the order of preference."""
    if urgency is Urgency.AMPLE:
        for group in reversed(groups):
            yield {group}
    for end, group in enumerate(groups):
        yield {group}
        yield set(groups[: end + 1])


@dataclass(slots=True)
class _Evidence:
    """Evidence against one worker at the time ``updated_at``.

    :param losses: weighted sum of silences, restarts and unstarted tasks
    :param failures: log likelihood ratio that the worker fails the runs it starts
    :param incident_at: time of the latest incident
    :param cause: latest incident
    """

    updated_at: float
    losses: float = 0.0
    failures: float = 0.0
    incident_at: float = 0.0
    cause: str = ""

    @property
    def total(self) -> float:
        return self.losses + self.failures / FAILURE_EVIDENCE_UNIT

    def decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_S)
        self.losses *= factor
        self.failures *= factor
        self.updated_at = max(self.updated_at, now)


class WorkerHealth:
    """Learns which workers are fast, and which ones have failed lately.

    :param note: writes a line to the log, and counts it by its kind
    """

    def __init__(self, note: Callable[..., None]) -> None:
        self._note = note
        self._evidence_by_worker: dict[str, _Evidence] = {}
        self._speed_groups = SpeedGroups()
        self._next_update_at = float("-inf")
        self._next_regroup_at = float("-inf")
        self.failure_rate = INITIAL_FAILURE_RATE
        """Share of the runs of the fleet that fail."""

    # What is observed

    def record_step(self, step: StepRun) -> None:
        """Record the run times of a step that is done."""
        if step.ratio_by_run:
            queue = step.occurrence.job.spec.queue
            self._speed_groups.record_step(queue, step.ratio_by_run)
            step.ratio_by_run = []

    def record_done(self, worker: str, started_at: float, now: float) -> None:
        """Record a completed run; only runs after the latest incident count for it.

        :param started_at: time at which the worker confirmed the start; 0 if unknown
        """
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate
        evidence = self._evidence_by_worker.get(worker)
        if evidence is None or started_at <= evidence.incident_at:
            return
        evidence.decay(now)
        evidence.losses *= LOSS_FORGIVENESS
        ratio = math.log((1 - BAD_FAILURE_RATE) / (1 - self._bounded_failure_rate))
        evidence.failures = max(0.0, evidence.failures + ratio)

    def record_failed(self, worker: str, now: float) -> None:
        """Record a failed run of a task that has not failed on another worker."""
        ratio = math.log(BAD_FAILURE_RATE / self._bounded_failure_rate)
        self.failure_rate += FAILURE_RATE_WEIGHT * (1 - self.failure_rate)
        evidence = self._add_incident(worker, "run failed", now)
        evidence.failures = min(MAX_FAILURE_RATIO, evidence.failures + ratio)

    def record_silence(self, worker: Worker, now: float) -> None:
        """Record a loss of contact with a worker, unless it is leaving."""
        if not worker.is_leaving(worker.incarnation):
            self._add_loss(worker.id, "silent", SILENCE_WEIGHT, now)

    def record_restart(self, worker: Worker, now: float) -> None:
        """Record that a new incarnation answers, unless the last one was leaving."""
        if not worker.is_leaving(worker.incarnation):
            self._add_loss(worker.id, "restarted", RESTART_WEIGHT, now)

    def record_unstarted(self, worker: str, now: float) -> None:
        """Record a start that was not answered, or rejected for the worker's health."""
        self._add_loss(worker, "start failed", UNSTARTED_WEIGHT, now)

    def _add_loss(self, worker: str, cause: str, weight: float, now: float) -> None:
        evidence = self._add_incident(worker, cause, now)
        evidence.losses = min(MAX_LOSS_EVIDENCE, evidence.losses + weight)

    def _add_incident(self, worker: str, cause: str, now: float) -> _Evidence:
        evidence = self._evidence_by_worker.get(worker)
        if evidence is None:
            evidence = self._evidence_by_worker[worker] = _Evidence(now)
        evidence.decay(now)
        evidence.incident_at = now
        evidence.cause = cause
        self._next_update_at = float("-inf")
        return evidence

    @property
    def _bounded_failure_rate(self) -> float:
        return min(MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, self.failure_rate))

    # What is concluded

    def update(self, worker_by_id: Mapping[str, Worker], now: float) -> None:
        """Set the speed groups and the levels of doubt before a scheduling pass."""
        if now >= self._next_regroup_at:
            self._next_regroup_at = now + REGROUP_INTERVAL_S
            self._regroup(worker_by_id)
        if self._evidence_by_worker and now >= self._next_update_at:
            self._next_update_at = now + UPDATE_INTERVAL_S
            self._update_doubt(worker_by_id, now)

    def _regroup(self, worker_by_id: Mapping[str, Worker]) -> None:
        for change in self._speed_groups.regroup():
            worker = worker_by_id.get(change.worker)
            if worker is None:
                continue
            worker.speed_group = change.group
            self._note(
                "worker_speed_group",
                worker=worker.id,
                group=change.group,
                before=change.before,
                slowness=round(change.slowness, 2),
                error=round(change.error, 3),
                samples=change.samples,
                group_share=round(change.group_share, 2),
            )

    def _update_doubt(self, worker_by_id: Mapping[str, Worker], now: float) -> None:
        total = 0.0
        for evidence in self._evidence_by_worker.values():
            evidence.decay(now)
            total += evidence.total
        # A fault that all workers share, such as one of the network, says nothing about
        # any of them.
        mean = total / max(1, sum(w.is_listed for w in worker_by_id.values()))
        for worker_id, evidence in list(self._evidence_by_worker.items()):
            if evidence.total < NEGLIGIBLE_EVIDENCE:
                del self._evidence_by_worker[worker_id]
            worker = worker_by_id.get(worker_id)
            if worker is None:
                continue
            level = _choose_level(evidence.total - mean)
            before, worker.doubt = worker.doubt, level
            if level > before or (before and not level):
                self._note(
                    "worker_doubt",
                    worker=worker_id,
                    level=level,
                    before=before,
                    losses=round(evidence.losses, 2),
                    failures=round(evidence.failures, 2),
                    fleet_mean=round(mean, 2),
                    failure_rate=round(self.failure_rate, 3),
                    cause=evidence.cause,
                )


def _choose_level(excess: float) -> int:
    if excess < 1:
        return 0
    return min(MAX_DOUBT, 1 + int(math.log2(excess)))
