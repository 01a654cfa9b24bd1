"""Forecast of the completion time of a job that arrives now."""

from __future__ import annotations

import math
from bisect import bisect_left
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .order import (
    BEYOND_SHARE_LEVELS,
    HOPELESS_LEVELS,
    WITHIN_SHARE_LEVELS,
)
from .paths import find_paths

if TYPE_CHECKING:
    from .jobs import Job, Occurrence, StepRun, Task
    from .order import OrderPolicy, Rank
    from .rules import Queue
    from .state import PlannerState

REBUILD_INTERVAL_S = 0.5
"""Minimum seconds for which a summary of the backlog is used. It is rebuilt only for a
submission, so it costs nothing when idle."""

REBUILD_PER_ROW_S = 0.0001
"""Seconds added for each worker and ready step of the last summary. With 3,100 workers
and 4,700 steps a rebuild took 58 ms of processor time on a loaded machine."""

MIN_USABLE_SHARE = 0.5
"""Share of a service's listed processors that must be usable for a forecast. With less,
the planner has not reached its workers yet, or a link is down: the capacity of the next
seconds is not known."""

SETTLE_S = 1.0
"""Seconds for which that share must have been usable. After a failover the list of
workers and their first answers arrive over a fraction of a second."""

FORECAST_ERROR_FACTOR = 1.5
"""Factor by which a forecast may be too pessimistic. With declared run times off by up
to 90%, the predicted sum of 20 steps was at most 1.44 times the actual one in 2,000
draws, before and after the queue's run times were learnt."""

MIN_ROUNDING_S = 1 / 16
"""Least unit in seconds to which expected ends of runs are rounded."""

ROUNDINGS_PER_RUN = 16
"""Units in a run time: the error of one sixteenth is far below that of predictions."""


@dataclass(slots=True)
class Work:
    """Amount of work by resource.

    :param processors: millicore-seconds
    :param memory: MiB-seconds
    """

    processors: float = 0.0
    memory: float = 0.0

    def add(self, other: Work, factor: float = 1.0) -> None:
        """Add a multiple of another amount."""
        self.processors += factor * other.processors
        self.memory += factor * other.memory

    def add_tasks(self, step: StepRun, count: int, run_s: float) -> None:
        """Add tasks of a step.

        :param run_s: run time of each, in seconds
        """
        spec = step.spec
        # Filling tasks use only processor time that others leave idle.
        processors = 0 if spec.fills else spec.size.processors
        self.processors += count * run_s * processors
        self.memory += count * run_s * spec.size.memory


@dataclass(slots=True)
class _Ending:
    """Placed tasks that are expected to end at the same time.

    :param tasks: number of tasks
    :param processors: millicores of all of them
    :param memory: MiB of all of them
    """

    tasks: int = 0
    processors: int = 0
    memory: int = 0

    def add(self, task: Task, count: int) -> None:
        spec = task.step.spec
        self.tasks += count
        if not spec.fills:
            self.processors += count * spec.size.processors
        self.memory += count * spec.size.memory


class PlacedWork:
    """Work of the placed tasks of each queue, kept up to date with each placement.

    Tasks are grouped by their expected end, rounded to a fraction of their run time, so
    that the sum over tens of thousands of tasks visits a few hundred groups.
    """

    def __init__(self) -> None:
        self._ending_by_end_by_queue: dict[str, dict[float, _Ending]] = {}
        self._total_by_queue: dict[str, _Ending] = {}
        """All placed tasks that don't last."""

    def add(self, task: Task, run_s: float, now: float) -> None:
        """Count a task that is placed now.

        :param run_s: predicted run time, in seconds
        """
        task.expected_end = self._round_end(task, run_s, now)
        queue = task.step.occurrence.job.spec.queue
        endings = self._ending_by_end_by_queue.setdefault(queue, {})
        endings.setdefault(task.expected_end, _Ending()).add(task, 1)
        if not task.step.spec.lasting:
            self._total_by_queue.setdefault(queue, _Ending()).add(task, 1)

    def _round_end(self, task: Task, run_s: float, now: float) -> float:
        """Return the expected end; infinite for tasks that last."""
        if task.step.spec.lasting:
            return math.inf
        unit_s = max(MIN_ROUNDING_S, run_s / ROUNDINGS_PER_RUN)
        unit_s = 2.0 ** math.floor(math.log2(unit_s))
        return math.ceil((now + run_s) / unit_s) * unit_s

    def remove(self, task: Task) -> None:
        """Subtract a task that was counted by :meth:`add`."""
        queue = task.step.occurrence.job.spec.queue
        endings = self._ending_by_end_by_queue[queue]
        if not task.step.spec.lasting:
            self._total_by_queue[queue].add(task, -1)
        ending = endings[task.expected_end]
        ending.add(task, -1)
        if not ending.tasks:
            del endings[task.expected_end]

    def sum_remaining(self, queue: str, now: float) -> Work:
        """Return the work that the tasks of a queue which don't last have left.

        Tasks that run longer than predicted count as about to end.
        """
        work = Work()
        for end, ending in self._ending_by_end_by_queue.get(queue, {}).items():
            if now < end < math.inf:
                work.add(Work(ending.processors, ending.memory), end - now)
        return work

    def sum_used(self, queue: str) -> Work:
        """Return the millicores and MiB that tasks which don't last hold."""
        total = self._total_by_queue.get(queue, _Ending())
        return Work(total.processors, total.memory)

    def sum_lasting(self, queue: str) -> Work:
        """Return the millicores and MiB that lasting tasks of a queue hold."""
        ending = self._ending_by_end_by_queue.get(queue, {}).get(math.inf, _Ending())
        return Work(ending.processors, ending.memory)


@dataclass(frozen=True, slots=True)
class Forecast:
    """Forecast for a job that arrives now.

    :param placed_s: seconds that the fleet needs for the placed tasks
    :param ahead_s: seconds that it needs for the pending work ahead of the job
    :param path_s: length of the job's critical path, or seconds that the whole fleet
        needs for the job if that is more
    :param work_s: seconds that the whole fleet needs for the job
    :param objective_s: seconds that the objective allows
    :param free_share: share of the capacity that no task holds; of processors or of
        memory, whichever has less
    :param is_on_time_ahead: whether ``ahead_s`` counts only what precedes the job while
        it is within its objective
    """

    placed_s: float
    ahead_s: float
    path_s: float
    work_s: float
    objective_s: float
    free_share: float
    is_on_time_ahead: bool

    @property
    def completion_s(self) -> float:
        """Seconds until the job completes."""
        return self.placed_s + self.ahead_s + self.path_s


class _RankedWork:
    """Cumulative sums of work, in scheduling order."""

    def __init__(self, rows: list[tuple[Rank, Work]]) -> None:
        rows.sort(key=lambda row: row[0])
        self._ranks = [rank for rank, _ in rows]
        self._sums = [Work()]
        for _, work in rows:
            total = Work()
            total.add(self._sums[-1])
            total.add(work)
            self._sums.append(total)

    def sum_ahead(self, rank: Rank) -> Work:
        """Return the work of lower rank."""
        return self._sums[bisect_left(self._ranks, rank)]


@dataclass(slots=True)
class _ServiceBacklog:
    """Summary of the work of a pool of workers.

    :param capacity: millicores and MiB of the listed workers in service, without what
        lasting tasks hold
    :param usable_processors: millicores of the workers that may be given tasks
    :param listed_processors: millicores of the listed workers in service
    :param placed: work that the placed tasks have left
    :param on_time_rows: pending work with its rank
    :param late_rows: pending work with the rank that it has beside late jobs
    :param by_rank: pending work in scheduling order
    :param by_late_rank: pending work in the order of a job that is late
    """

    capacity: Work = field(default_factory=Work)
    usable_processors: int = 0
    listed_processors: int = 0
    placed: Work = field(default_factory=Work)
    on_time_rows: list[tuple[Rank, Work]] = field(default_factory=list)
    late_rows: list[tuple[Rank, Work]] = field(default_factory=list)
    by_rank: _RankedWork = field(default_factory=lambda: _RankedWork([]))
    by_late_rank: _RankedWork = field(default_factory=lambda: _RankedWork([]))

    def to_seconds(self, work: Work) -> float:
        """Return the seconds that the whole capacity needs for some work."""
        capacity = self.capacity
        seconds = 0.0
        if capacity.processors > 0:
            seconds = work.processors / capacity.processors
        if capacity.memory > 0:
            seconds = max(seconds, work.memory / capacity.memory)
        return seconds


class Backlog:
    """Forecasts completion times from placed and pending work.

    Both are summed by predicted run time over the capacity of the job's service. What
    the forecast leaves out (limits of client accounts, labels, fragmentation, later
    arrivals) would only delay the job. Pending jobs that earn nothing any more don't
    count, since the scheduler leaves them behind the others.
    """

    def __init__(self, state: PlannerState, order: OrderPolicy) -> None:
        self._state = state
        self._order = order
        self._built_at = 0.0
        self._rebuild_due = float("-inf")
        self._backlog_by_service: dict[str, _ServiceBacklog] = {}
        self._known_since_by_service: dict[str, float] = {}

    def forecast(
        self, job: Job, queue: Queue, returns: Work, now: float
    ) -> Forecast | None:
        """Return the forecast for a job that arrives now.

        :param job: job with its first occurrence, which is not scheduled yet
        :param returns: work of refused jobs that is ahead of this job
        :returns: the forecast, or None if the capacity of the service is not known, or
            the job has no objective
        """
        self._rebuild_if_old(now)
        backlog = self._backlog_by_service.get(queue.service)
        known_since = self._known_since_by_service.get(queue.service)
        if backlog is None or known_since is None or now - known_since < SETTLE_S:
            return None
        occurrence = job.occurrences[0]
        _, priority, start_s = self._order.rank(
            occurrence.steps[0], queue, self._state.wall_ms
        )
        levels = BEYOND_SHARE_LEVELS if job.is_beyond_share else WITHIN_SHARE_LEVELS
        objective_s = occurrence.steps[0].objective_s
        if objective_s <= 0:
            return None
        own_s = backlog.to_seconds(self._sum_waiting(occurrence))
        predict, wall_ms = self._state.run_times.predict, self._state.wall_ms
        path_s = find_paths(job, predict, wall_ms).critical_s
        passed_s = now - self._built_at
        free_share = 1.0 - backlog.to_seconds(self._sum_used(queue.service))

        def build(by_rank: _RankedWork, level: int, is_on_time: bool) -> Forecast:
            ahead = Work()
            ahead.add(by_rank.sum_ahead((level, priority, start_s)))
            ahead.add(returns)
            placed_s = max(0.0, backlog.to_seconds(backlog.placed) - passed_s)
            return Forecast(
                placed_s,
                backlog.to_seconds(ahead),
                max(path_s, own_s),
                own_s,
                objective_s,
                free_share,
                is_on_time,
            )

        on_time = build(backlog.by_rank, levels[0], True)
        if on_time.completion_s <= FORECAST_ERROR_FACTOR * objective_s:
            return on_time
        return build(backlog.by_late_rank, int(job.is_beyond_share), False)

    def measure(self, job: Job) -> Work:
        """Return the work of a job that has not started."""
        return self._sum_waiting(job.occurrences[0])

    def _sum_used(self, service: str) -> Work:
        used = Work()
        for queue in self._state.queue_by_name.values():
            if queue.service == service:
                used.add(self._state.placed_work.sum_used(queue.name))
        return used

    def _rebuild_if_old(self, now: float) -> None:
        if now < self._rebuild_due:
            return
        state = self._state
        rows = len(state.worker_by_id) + len(state.ready_by_id)
        self._rebuild_due = now + REBUILD_INTERVAL_S + REBUILD_PER_ROW_S * rows
        self._built_at = now
        self._backlog_by_service = {}
        self._sum_capacity(now)
        for queue in state.queue_by_name.values():
            backlog = self._backlog_by_service.get(queue.service)
            if backlog is not None:
                placed_work = state.placed_work
                backlog.placed.add(placed_work.sum_remaining(queue.name, now))
                backlog.capacity.add(placed_work.sum_lasting(queue.name), -1.0)
        self._sum_pending()
        for backlog in self._backlog_by_service.values():
            backlog.by_rank = _RankedWork(backlog.on_time_rows)
            backlog.by_late_rank = _RankedWork(backlog.late_rows)

    def _sum_capacity(self, now: float) -> None:
        """Sum the capacity of each service, and note since when it is known."""
        state = self._state
        for worker in state.worker_by_id.values():
            entry = worker.entry
            if entry is None or not state.is_in_service(worker):
                continue
            backlog = self._backlog_by_service.setdefault(
                entry.service, _ServiceBacklog()
            )
            backlog.capacity.processors += entry.capacity.processors
            backlog.capacity.memory += entry.capacity.memory
            backlog.listed_processors += entry.capacity.processors
            if worker.is_usable(now):
                backlog.usable_processors += entry.capacity.processors
        known = {
            service
            for service, backlog in self._backlog_by_service.items()
            if backlog.usable_processors > 0
            and backlog.usable_processors
            >= MIN_USABLE_SHARE * backlog.listed_processors
        }
        since = self._known_since_by_service
        self._known_since_by_service = {
            service: since.get(service, now) for service in known
        }

    def _sum_pending(self) -> None:
        """Sum the waiting tasks of every open occurrence, also of its later steps."""
        state = self._state
        seen: set[int] = set()
        for step in state.ready_by_id.values():
            occurrence = step.occurrence
            if id(occurrence) in seen:
                continue
            seen.add(id(occurrence))
            queue = state.queue_by_name.get(occurrence.job.spec.queue)
            backlog = queue and self._backlog_by_service.get(queue.service)
            if queue is None or not backlog:
                continue
            rank = self._order.rank(step, queue, state.wall_ms)
            if rank[0] in HOPELESS_LEVELS:
                continue
            work = self._sum_waiting(occurrence)
            backlog.on_time_rows.append((rank, work))
            group = int(rank[0] in BEYOND_SHARE_LEVELS)
            backlog.late_rows.append(((group, rank[1], rank[2]), work))

    def _sum_waiting(self, occurrence: Occurrence) -> Work:
        work = Work()
        predict = self._state.run_times.predict
        queue = occurrence.job.spec.queue
        for step in occurrence.steps:
            if step.is_done or step.spec.lasting:
                continue
            # A task that is done counts twice until its resources are free.
            waiting = step.spec.count - step.done - step.placed
            if waiting > 0:
                work.add_tasks(step, waiting, predict(queue, step.spec.estimate_s))
        return work
