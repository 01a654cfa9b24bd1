"""Simulate hours of load from unequal client accounts, with and without past usage.

Run as ``python -m bench.past_use``. Writes ``bench/past_use.json``: for each account
the time from the submission of a job to its first start, and the share of jobs that end
within their objective.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from statistics import fmean, quantiles
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.planner.state import PlannerSettings

from testkit.planning.clock import VirtualClock

if TYPE_CHECKING:
    from jacinthloom_core.planner.effects import Effect
    from jacinthloom_core.planner.specs import TaskId

REPORT = Path(__file__).parent / "past_use.json"

HALF_LIFE_BY_TRIAL_S = {"without": 0.0, "with": 7200.0}
"""Half-life of past usage by the name of the trial."""

SEEDS = (1, 2, 3)

DURATION_S = 4 * 3600.0
"""Seconds during which jobs arrive."""

DRAIN_S = 1800.0
"""Seconds after that in which the jobs end."""

TICK_S = 1.0
"""Seconds between two ticks: less often than in production, for jobs of a minute."""

APPEND_LATENCY_S = 0.010
COMMAND_ROUND_TRIP_S = 0.002

WORKERS = 8
CAPACITY = Resources(64_000, 256_000)
TASK = Resources(16_000, 32_000)
TASKS_PER_JOB = 4
RUN_S = 60.0
"""Mean run time of a task; a job's tasks occupy one worker for this time."""

QUEUE = Queue("jobs", "h", "/j/", "s", 1, 2, 3.0, 30.0)

WEIGHT = 100.0
"""Weight of every account: so large that no job exceeds its share over seconds."""

SESSION_S = 600.0
SESSION_INTERVAL_S = 3600.0


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """Arrivals of one client account.

    :param jobs_per_s: mean number of jobs per second
    :param session_jobs_per_s: the same during its session of each hour
    :param session_at_s: start of the session within the hour
    """

    name: str
    jobs_per_s: float
    session_jobs_per_s: float
    session_at_s: float

    def rate(self, at: float) -> float:
        """Return the mean number of jobs per second at a time."""
        since_s = (at - self.session_at_s) % SESSION_INTERVAL_S
        return self.session_jobs_per_s if since_s < SESSION_S else self.jobs_per_s


def make_loads(factor: float) -> tuple[AccountLoad, ...]:
    """Return two accounts with constant load, and three with a session each hour.

    :param factor: factor on all rates
    """
    constant = 0.040 * factor
    idle, session = 0.005 * factor, 0.060 * factor
    return (
        AccountLoad("constant-1", constant, constant, 0.0),
        AccountLoad("constant-2", constant, constant, 0.0),
        AccountLoad("sessions-1", idle, session, 600.0),
        AccountLoad("sessions-2", idle, session, 1800.0),
        AccountLoad("sessions-3", idle, session, 3000.0),
    )


LOADS: dict[str, tuple[AccountLoad, ...]] = {
    "full": make_loads(1.0),
    "calm": make_loads(0.6),
}
"""Loads by name: a mean of 0.92 of the capacity with 1.12 in sessions, and 0.6 times
that."""


@dataclass(slots=True)
class _VirtualWorker:
    running: dict[tuple[TaskId, int], float] = field(default_factory=dict)
    ends: list[events.RunEnd] = field(default_factory=list)
    end_count: int = 0
    poll: effects.PollWorker | None = None
    polled_at: float = 0.0


@dataclass(slots=True)
class _JobTimes:
    account: str
    submitted_at: float
    run_s: float
    first_start_at: float = float("inf")
    ended_at: float = float("inf")


class Trial:
    """A simulation of one load, with one half-life and one seed."""

    def __init__(
        self, loads: tuple[AccountLoad, ...], half_life_s: float, seed: int
    ) -> None:
        self._loads = loads
        self._random = Random(seed)
        self._clock = VirtualClock()
        self._workers = {f"w{number}": _VirtualWorker() for number in range(WORKERS)}
        settings = PlannerSettings(1, 6.0, 120.0, past_use_half_life_s=half_life_s)
        self._planner = Planner(settings)
        self._times_by_job: dict[str, _JobTimes] = {}

    def run(self) -> dict[str, dict[str, float]]:
        """Simulate the load; return the measurements by account."""
        accounts = {
            load.name: ClientAccount(load.name, WEIGHT, Resources())
            for load in self._loads
        }
        self._handle(events.RulesChanged(0.0, Rules(1, {QUEUE.name: QUEUE}, accounts)))
        for name in self._workers:
            entry = WorkerEntry(
                name, "s", "1:1", "z", True, CAPACITY, frozenset(), "", 1
            )
            self._handle(events.WorkerListed(0.0, entry))
        for load in self._loads:
            self._schedule_arrivals(load)
        self._tick()
        self._clock.run_until(DURATION_S + DRAIN_S)
        return {load.name: self._measure(load.name) for load in self._loads}

    def _schedule_arrivals(self, load: AccountLoad) -> None:
        at = 0.0
        fastest = max(load.jobs_per_s, load.session_jobs_per_s)
        while True:
            at += self._random.expovariate(fastest)
            if at >= DURATION_S:
                return
            if self._random.random() < load.rate(at) / fastest:
                self._schedule_job(load.name, at)

    def _schedule_job(self, account: str, at: float) -> None:
        job = f"{self._random.getrandbits(64):016x}"
        run_s = RUN_S * self._random.uniform(0.6, 1.4)
        declared_s = run_s * self._random.uniform(0.8, 1.2)
        step = StepSpec(TASKS_PER_JOB, TASK, declared_s)
        spec = JobSpec(job, QUEUE.name, account, "text", (step,), int(at * 1000))
        self._times_by_job[job] = _JobTimes(account, at, run_s)
        call = len(self._times_by_job)
        self._clock.after(
            at, lambda: self._handle(events.JobSubmitted(self._clock.now, call, spec))
        )

    def _tick(self) -> None:
        now = self._clock.now
        self._handle(events.Tick(now, int(now * 1000)))
        self._clock.after(TICK_S, self._tick)

    def _handle(self, event: events.Event) -> None:
        for effect in self._planner.handle(event):
            self._execute(effect)
        due = self._planner.next_due
        if due is not None:
            self._clock.after(max(0.001, due - self._clock.now), self._flush)

    def _flush(self) -> None:
        due = self._planner.next_due
        if due is not None and due <= self._clock.now:
            self._handle(events.FlushDue(self._clock.now))

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, effects.Store):
            number = effect.number
            self._clock.after(
                APPEND_LATENCY_S,
                lambda: self._handle(events.BatchStored(self._clock.now, number)),
            )
        elif isinstance(effect, effects.Start):
            self._start(effect)
        elif isinstance(effect, effects.PollWorker):
            self._accept_poll(effect)
        elif isinstance(effect, effects.Note) and effect.kind == "job_ended":
            self._times_by_job[effect.fields["job"]].ended_at = self._clock.now

    def _start(self, start: effects.Start) -> None:
        now = self._clock.now
        times = self._times_by_job[start.task.job]
        times.first_start_at = min(times.first_start_at, now)
        worker = self._workers[start.worker]
        key = (start.task, start.run)
        worker.running[key] = now
        self._clock.after(times.run_s, lambda: self._end_run(start.worker, key))
        outcome = events.StartOutcome.STARTED
        self._clock.after(
            COMMAND_ROUND_TRIP_S,
            lambda: self._handle(
                events.StartAnswered(
                    self._clock.now, start.worker, start.task, start.run, outcome
                )
            ),
        )

    def _end_run(self, worker_id: str, key: tuple[TaskId, int]) -> None:
        worker = self._workers[worker_id]
        if worker.running.pop(key, None) is None:
            return
        worker.end_count += 1
        done = events.EndKind.DONE
        worker.ends.append(events.RunEnd(worker.end_count, *key, done, ""))
        if worker.poll is not None:
            self._answer_poll(worker_id, worker.poll)

    def _accept_poll(self, poll: effects.PollWorker) -> None:
        worker = self._workers[poll.worker]
        worker.poll, worker.polled_at = poll, self._clock.now
        worker.ends = [end for end in worker.ends if end.number > poll.cursor]
        delay_s = COMMAND_ROUND_TRIP_S if worker.ends else poll.wait_s
        self._clock.after(
            max(COMMAND_ROUND_TRIP_S, delay_s),
            lambda: self._answer_poll(poll.worker, poll),
        )

    def _answer_poll(self, worker_id: str, poll: effects.PollWorker) -> None:
        worker = self._workers[worker_id]
        if worker.poll is not poll:
            return
        worker.poll = None
        now = self._clock.now
        running = tuple(
            events.RunProgress(task, run, "", self._measure_percent(task, began_at))
            for (task, run), began_at in worker.running.items()
        )
        ends = tuple(worker.ends)
        self._handle(
            events.WorkerPolled(
                now,
                worker_id,
                worker.polled_at,
                poll.token,
                1,
                int(now * 1000),
                running,
                ends,
            )
        )

    def _measure_percent(self, task: TaskId, began_at: float) -> int:
        run_s = self._times_by_job[task.job].run_s
        return min(99, int(100 * (self._clock.now - began_at) / run_s))

    def _measure(self, account: str) -> dict[str, float]:
        waits: list[float] = []
        on_time = 0
        for times in self._times_by_job.values():
            if times.account != account:
                continue
            waits.append(times.first_start_at - times.submitted_at)
            took_s = times.ended_at - times.submitted_at
            on_time += took_s <= QUEUE.stretch * times.run_s + QUEUE.target_s
        return {
            "jobs": len(waits),
            "mean_wait_s": fmean(waits),
            "p90_wait_s": quantiles(waits, n=10)[-1],
            "longest_wait_s": max(waits),
            "on_time": on_time / len(waits),
        }


def measure(loads: tuple[AccountLoad, ...]) -> dict[str, dict[str, dict[str, float]]]:
    """Return the means of the seeds, by trial and account."""
    report: dict[str, dict[str, dict[str, float]]] = {}
    for name, half_life_s in HALF_LIFE_BY_TRIAL_S.items():
        trials = [Trial(loads, half_life_s, seed).run() for seed in SEEDS]
        report[name] = {
            account: {
                key: round(fmean(trial[account][key] for trial in trials), 3)
                for key in row
            }
            for account, row in trials[0].items()
        }
    return report


def main() -> int:
    """Simulate every load, and write the report."""
    report = {name: measure(loads) for name, loads in LOADS.items()}
    REPORT.write_text(json.dumps(report, indent=1) + "\n")
    for load, row_by_account_by_trial in report.items():
        for trial, row_by_account in row_by_account_by_trial.items():
            for account, row in row_by_account.items():
                text = "  ".join(f"{key} {value:g}" for key, value in row.items())
                print(f"{load:5} {trial:8} {account:11} {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
