"""Admission of jobs while more work is requested than the fleet can do."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import compress
from operator import attrgetter
from typing import TYPE_CHECKING

from .backlog import FORECAST_ERROR_FACTOR, Work
from .order import LATE_FACTOR
from .retry_after import MAX_RETRY_AFTER_S, MIN_RETRY_AFTER_S

if TYPE_CHECKING:
    from .backlog import Backlog, Forecast
    from .jobs import Job, StepRun
    from .rules import Queue
    from .state import PlannerState

_get_free_processors = attrgetter("free_processors")

MAX_FREE_SHARE = 0.2
"""Share of a service's capacity that may be free when a job is refused. With more, what
pending work waits for is not capacity (gangs that don't fit, advice, limits), and other
jobs go ahead of it. In a trial with a burst of gangs, small jobs were forecast at up to
11 times their objective behind them, and all met it."""

RETURN_EARLY_S = 0.25
"""Seconds by which a caller may return early, as its timer and the network vary."""

RETURN_GRACE_S = 2.0
"""Seconds after which a caller that was told to return counts as gone."""


@dataclass(frozen=True, slots=True)
class PromisedReturn:
    """A refused job whose caller was told when to submit it again.

    :param due: time of the return
    :param work: work of the job
    :param work_s: seconds that the whole fleet needs for it
    :param is_beyond_share: whether it was beyond the share of its client account
    """

    job: str
    client_account: str
    service: str
    priority: int
    due: float
    work: Work
    work_s: float
    is_beyond_share: bool


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a job, with the inputs of the decision.

    :param limit_s: completion time in seconds after which the job earns nothing
    :param is_return: whether the job was refused before, and returned as told
    :param outstanding: returns that its client account has outstanding
    :param retry_after_s: seconds after which the caller should retry
    """

    forecast: Forecast
    limit_s: float
    is_return: bool
    outstanding: int
    retry_after_s: int


@dataclass(slots=True)
class _AccountReturns:
    """Outstanding returns of a client account to one service.

    :param work_by_priority: their work, by the priority of their queue
    """

    count: int = 0
    work_by_priority: dict[int, Work] = field(default_factory=dict)


class ReturnSchedule:
    """Returns that callers of refused jobs were promised, in turn between accounts."""

    def __init__(self) -> None:
        self._return_by_job: dict[str, PromisedReturn] = {}
        self._by_account_by_service: dict[str, dict[str, _AccountReturns]] = {}
        self._work_s_by_service: defaultdict[str, float] = defaultdict(float)
        self._count_by_second: Counter[int] = Counter()
        self._dropped_at = float("-inf")

    def take(self, job: str, now: float) -> PromisedReturn | None:
        """Remove the promise to a job that is submitted again.

        :returns: the promise, or None if there is none, or the job is too early
        """
        self._drop_missed(now)
        promised = self._return_by_job.get(job)
        if promised is None:
            return None
        self._remove(promised)
        return promised if now >= promised.due - RETURN_EARLY_S else None

    def count(self, service: str, account: str) -> int:
        """Return how many returns a client account has outstanding."""
        returns = self._by_account_by_service.get(service, {}).get(account)
        return returns.count if returns else 0

    def sum_work(self, service: str, account: str, priority: int) -> Work:
        """Return the outstanding work of an account up to a priority number."""
        total = Work()
        returns = self._by_account_by_service.get(service, {}).get(account)
        if returns is not None:
            for number, work in returns.work_by_priority.items():
                if number <= priority:
                    total.add(work)
        return total

    def choose_delay_s(
        self, service: str, account: str, excess_s: float, now: float
    ) -> int:
        """Return the whole seconds after which a refused job should return.

        The accounts take turns: the nth return of an account comes after the first n of
        each other account, so an account with fewer of them goes first. Of two adjacent
        seconds, the one with fewer returns is taken.

        :param excess_s: seconds until the forecast admits the job if none returned
            before
        """
        by_account = self._by_account_by_service.get(service, {})
        turn = self.count(service, account) + 1
        total = sum(returns.count for returns in by_account.values())
        ahead = sum(min(returns.count, turn) for returns in by_account.values())
        mean_s = self._work_s_by_service[service] / total if total else 0.0
        wanted_s = math.ceil(excess_s + ahead * mean_s)
        first_s = max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wanted_s))
        other_s = first_s + 1 if first_s < MAX_RETRY_AFTER_S else first_s - 1
        counts = self._count_by_second
        is_other_emptier = counts[int(now + other_s)] < counts[int(now + first_s)]
        return other_s if is_other_emptier else first_s

    def add(self, promised: PromisedReturn) -> None:
        """Record what a caller was told."""
        self._return_by_job[promised.job] = promised
        returns = self._by_account_by_service.setdefault(
            promised.service, {}
        ).setdefault(promised.client_account, _AccountReturns())
        returns.count += 1
        returns.work_by_priority.setdefault(promised.priority, Work()).add(
            promised.work
        )
        self._work_s_by_service[promised.service] += promised.work_s
        self._count_by_second[int(promised.due)] += 1

    def _remove(self, promised: PromisedReturn) -> None:
        del self._return_by_job[promised.job]
        by_account = self._by_account_by_service[promised.service]
        returns = by_account[promised.client_account]
        returns.count -= 1
        returns.work_by_priority[promised.priority].add(promised.work, -1.0)
        if not returns.count:
            del by_account[promised.client_account]
        self._work_s_by_service[promised.service] -= promised.work_s
        self._count_by_second[int(promised.due)] -= 1

    def _drop_missed(self, now: float) -> None:
        """Drop the promises whose callers have not returned, once a second."""
        if now - self._dropped_at < 1.0:
            return
        self._dropped_at = now
        for promised in list(self._return_by_job.values()):
            if now > promised.due + RETURN_GRACE_S:
                self._remove(promised)
        for second in [s for s, n in self._count_by_second.items() if n <= 0]:
            del self._count_by_second[second]


class AdmissionPolicy:
    """Refuses jobs that can't complete while they are of use to their callers.

    A wrong refusal costs a caller everything, and a wrong acceptance little, since late
    jobs rank behind those that can still be of use. So a job is refused only if it
    would be of no use even if the forecast were ``FORECAST_ERROR_FACTOR`` times too
    long.
    """

    def __init__(self, state: PlannerState, backlog: Backlog) -> None:
        self._state = state
        self._backlog = backlog
        self._returns = ReturnSchedule()

    def note_forgotten_returns(self) -> None:
        """Log that the returns that an earlier planner promised are not known."""
        queues = self._state.queue_by_name
        jobs = self._state.job_by_id.values()
        if any(_has_objective(queues.get(job.spec.queue)) for job in jobs):
            within_s = MAX_RETRY_AFTER_S + RETURN_GRACE_S
            self._state.note("returns_forgotten", within_s=within_s)

    def take_return(self, job: str, now: float) -> PromisedReturn | None:
        """Return the promise that a job was given when it was refused, if it is due."""
        return self._returns.take(job, now)

    def check(
        self, job: Job, promised: PromisedReturn | None, now: float
    ) -> Refusal | None:
        """Decide on a job that is neither known nor scheduled.

        :param promised: the promise that it was given when it was refused before
        :returns: the refusal, or None to accept the job
        """
        spec = job.spec
        if now >= self._state.lease_authority_until:
            # Another planner may have accepted the job by an earlier submission.
            return None
        queue = self._state.queue_by_name.get(spec.queue)
        if queue is None or not _has_objective(queue) or spec.is_timed:
            return None
        if not spec.steps or any(step.lasting for step in spec.steps):
            return None
        if not job.occurrences:
            job.add_occurrence(0)
        account, service = spec.tenant, queue.service
        returns = Work()
        if promised is None:
            returns = self._returns.sum_work(service, account, queue.priority)
        forecast = self._backlog.forecast(job, queue, returns, now)
        if forecast is None:
            return None
        limit_s = LATE_FACTOR * forecast.objective_s
        if forecast.path_s > limit_s:
            # It would be as late on an idle fleet, so it is of use to its caller late.
            return None
        if forecast.free_share > MAX_FREE_SHARE:
            return None
        excess_s = forecast.completion_s - FORECAST_ERROR_FACTOR * limit_s
        if excess_s <= 0 or self._may_run(job, queue, forecast, now):
            return None
        retry_s = self._returns.choose_delay_s(service, account, excess_s, now)
        outstanding = self._returns.count(service, account)
        self._returns.add(
            PromisedReturn(
                spec.id,
                account,
                service,
                queue.priority,
                now + retry_s,
                self._backlog.measure(job),
                forecast.work_s,
                job.is_beyond_share,
            )
        )
        return Refusal(forecast, limit_s, promised is not None, outstanding, retry_s)

    def _may_run(self, job: Job, queue: Queue, forecast: Forecast, now: float) -> bool:
        """Whether free workers could run any first step of a job now.

        They could if all its tasks fit, or so many that, unless it is a gang, the rest
        could follow them within the objective. Labels and limits of client accounts
        don't count here: a free worker speaks for the job even if a rule might keep it
        from that worker.
        """
        predict = self._state.run_times.predict
        for step in job.occurrences[0].steps:
            spec = step.spec
            if spec.after:
                continue
            fitting = self._count_fitting(step, queue, now)
            if fitting >= spec.count:
                return True
            if not fitting or spec.gang:
                continue
            later_rounds = math.ceil(spec.count / fitting) - 1
            later_s = later_rounds * predict(queue.name, spec.estimate_s)
            if forecast.path_s + later_s <= forecast.objective_s:
                return True
        return False

    def _count_fitting(self, step: StepRun, queue: Queue, now: float) -> int:
        """Return how many tasks of a step fit on free workers, up to all of them."""
        spec = step.spec
        total = 0
        least_processors = 0 if spec.fills else spec.size.processors
        workers = self._state.worker_by_id.values()
        # Most workers are full then, so they are filtered without a loop in Python.
        has_room = map(least_processors.__le__, map(_get_free_processors, workers))
        for worker in compress(workers, has_room):
            if worker.entry is None or worker.entry.service != queue.service:
                continue
            fitting = worker.count_fitting(spec.size, spec.fills)
            if fitting and self._state.is_usable(worker, now):
                total += fitting
                if total >= spec.count:
                    break
        return total


def _has_objective(queue: Queue | None) -> bool:
    """Whether a queue has an objective: the defaults allow no more than the path."""
    return queue is not None and (queue.target_s > 0 or queue.stretch > 1)
