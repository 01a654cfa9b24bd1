"""Simulate named loads on the planner in virtual time, and compare ordering policies.

Run as ``python -m bench.planning [LOAD ...]``. Writes ``bench/planning.json`` and a
plot. Injects no faults; ``testkit.planning`` does that.
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.order import (
    LATE_FACTOR,
    LatestStartOrder,
    OrderPolicy,
    Rank,
    compute_due_ms,
)
from jacinthloom_core.planner.paths import estimate_critical_path_s
from jacinthloom_core.planner.planner import TICK_S, Planner
from jacinthloom_core.planner.rules import ClientAccount, Rules
from jacinthloom_core.planner.state import PlannerSettings

from testkit.planning.clock import VirtualClock

from .loads import LOADS, JobKind, Load

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.effects import Effect
    from jacinthloom_core.planner.jobs import StepRun
    from jacinthloom_core.planner.past_use import PastUse
    from jacinthloom_core.planner.rules import Queue
    from jacinthloom_core.planner.run_times import RunTimes
    from jacinthloom_core.planner.specs import TaskId

REPORT = Path(__file__).parent / "planning.json"
PLOT = Path(__file__).parent.parent / "docs" / "plots" / "credit_by_order.png"

APPEND_LATENCY_S = 0.010
"""Seconds that an append takes on the users' bench."""

COMMAND_ROUND_TRIP_S = 0.002
"""Seconds from sending a command to a worker to its answer."""

MEMBER_COUNT = 6
"""Number of members that can request advice."""

LATE_CREDIT_SHARE = 0.2
"""Share of its credit that a late job earns, as in the users' sheets."""

SEEDS = (1, 2, 3)


class FirstComeFirstServedOrder(OrderPolicy):
    """Ranks steps by the time of submission."""

    def __init__(self, run_times: RunTimes, past_use: PastUse) -> None:
        self._run_times = run_times

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the Unix time from which the job is due, in seconds."""
        return (0, 0, compute_due_ms(step.occurrence.job, 0) / 1000)


class EarliestDeadlineOrder(FirstComeFirstServedOrder):
    """Ranks steps by the deadline that follows from the declared run times."""

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the deadline."""
        return (0, 0, compute_deadline_s(step, queue))


class LeastLaxityOrder(FirstComeFirstServedOrder):
    """Ranks steps by the latest start that follows from the declared run times.

    Unlike the planner's own policy, it ignores whether a step is late already.
    """

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the latest start that still meets the deadline."""
        return (0, 0, compute_deadline_s(step, queue) - step.spec.estimate_s)


def compute_deadline_s(step: StepRun, queue: Queue) -> float:
    """Return the deadline of a job by its declared run times, in Unix seconds."""
    job = step.occurrence.job
    critical_path_s = estimate_critical_path_s(job, lambda _, declared_s: declared_s)
    due_s = compute_due_ms(job, 0) / 1000
    return due_s + queue.stretch * critical_path_s + queue.target_s


ORDER_POLICIES: dict[str, Callable[[RunTimes, PastUse], OrderPolicy]] = {
    "first_come": FirstComeFirstServedOrder,
    "earliest_deadline": EarliestDeadlineOrder,
    "least_laxity": LeastLaxityOrder,
    "shipped": LatestStartOrder,
}


@dataclass(slots=True)
class _VirtualWorker:
    running: dict[tuple[TaskId, int], float] = field(default_factory=dict)
    ends: list[events.RunEnd] = field(default_factory=list)
    count: int = 0


class Trial:
    """A simulation of one load with one ordering policy and one seed."""

    def __init__(self, load: Load, policy_name: str, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._clock = VirtualClock()
        self._kind_by_queue = {kind.queue.name: kind for kind in load.kinds}
        self._workers = {
            f"w{number}": _VirtualWorker() for number in range(load.workers)
        }
        self._planner = Planner(
            PlannerSettings(1, 6.0, 600.0), ORDER_POLICIES[policy_name]
        )
        self.processor_s = 0.0
        self.start_count = 0
        self.arrival_by_job: dict[str, tuple[JobKind, float]] = {}

    def run(self) -> dict[str, float]:
        """Simulate the load; return the share of credit earned, by queue and in all."""
        load = self._load
        queues = {kind.queue.name: kind.queue for kind in load.kinds}
        client_account = ClientAccount("t", 1, Resources())
        self._handle(events.RulesChanged(0.0, Rules(1, queues, {"t": client_account})))
        for number in range(MEMBER_COUNT):
            self._handle(events.MemberJoined(0.0, f"m{number}"))
        for name in self._workers:
            entry = WorkerEntry(
                name, "s", "1:1", "z", True, load.capacity, frozenset(), "", 1
            )
            self._handle(events.WorkerListed(0.0, entry))
        for kind in load.kinds:
            self._schedule_arrivals(kind)
        self._tick()
        self._clock.run_until(load.duration_s * 3)
        return self._compute_credit_shares()

    def _schedule_arrivals(self, kind: JobKind) -> None:
        at = self._random.expovariate(kind.arrivals_per_s)
        while at < self._load.duration_s:
            job = f"{self._random.getrandbits(64):016x}"
            spec = kind.draw(job, "t", at, self._random)
            self.arrival_by_job[job] = (kind, at)
            call = len(self.arrival_by_job)
            self._clock.after(
                at,
                lambda s=spec, c=call: self._handle(  # type: ignore[misc]
                    events.JobSubmitted(self._clock.now, c, s)
                ),
            )
            at += self._random.expovariate(kind.arrivals_per_s)

    def _tick(self) -> None:
        now = self._clock.now
        self._handle(events.Tick(now, int(now * 1000)))
        self._clock.after(TICK_S, self._tick)

    def _handle(self, event: events.Event) -> None:
        began_s = time.process_time()
        new_effects = self._planner.handle(event)
        self.processor_s += time.process_time() - began_s
        for effect in new_effects:
            self._execute(effect)
        due = self._planner.next_due
        if due is not None:
            delay = max(0.001, due - self._clock.now)
            self._clock.after(delay, self._flush)

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
            self._answer_poll(effect)
        elif isinstance(effect, effects.RequestAdvice):
            self._answer_advice_request(effect)

    def _start(self, start: effects.Start) -> None:
        self.start_count += 1
        worker = self._workers[start.worker]
        kind, _ = self.arrival_by_job[start.task.job]
        key = (start.task, start.run)
        worker.running[key] = self._clock.now
        run_s = kind.draw_run_s(start.task.job)
        self._clock.after(run_s, lambda: self._end_run(worker, key))
        outcome = events.StartOutcome.STARTED
        self._clock.after(
            COMMAND_ROUND_TRIP_S,
            lambda: self._handle(
                events.StartAnswered(
                    self._clock.now, start.worker, start.task, start.run, outcome
                )
            ),
        )

    def _end_run(self, worker: _VirtualWorker, key: tuple[TaskId, int]) -> None:
        if worker.running.pop(key, None) is None:
            return
        worker.count += 1
        done = events.EndKind.DONE
        worker.ends.append(events.RunEnd(worker.count, *key, done, ""))

    def _answer_poll(self, poll: effects.PollWorker) -> None:
        worker = self._workers[poll.worker]
        sent_at = self._clock.now

        def answer() -> None:
            now = self._clock.now
            if not worker.ends and now - sent_at < poll.wait_s:
                self._clock.after(0.01, answer)
                return
            worker.ends = [end for end in worker.ends if end.number > poll.cursor]
            running = tuple(
                events.RunProgress(task, run, "", self._measure_percent(task, began_at))
                for (task, run), began_at in worker.running.items()
            )
            self._handle(
                events.WorkerPolled(
                    now,
                    poll.worker,
                    sent_at,
                    poll.token,
                    1,
                    int(now * 1000),
                    running,
                    tuple(worker.ends),
                )
            )

        self._clock.after(COMMAND_ROUND_TRIP_S, answer)

    def _measure_percent(self, task: TaskId, began_at: float) -> int:
        kind, _ = self.arrival_by_job[task.job]
        fraction = (self._clock.now - began_at) / kind.draw_run_s(task.job)
        return min(99, int(100 * fraction))

    def _answer_advice_request(self, request: effects.RequestAdvice) -> None:
        kind, _ = self.arrival_by_job[request.step.job]
        advice_policy = kind.queue.advice
        assert advice_policy is not None
        recommended = tuple(
            (name, "ticket")
            for name in request.workers
            if Random(f"{request.step.job}{name}").random() < kind.good
        )
        delay = advice_policy.base_s + advice_policy.per_worker_s * len(request.workers)
        self._clock.after(
            delay,
            lambda: self._handle(
                events.AdviceGiven(
                    self._clock.now,
                    request.member,
                    request.step,
                    request.workers,
                    recommended,
                )
            ),
        )

    def _compute_credit_shares(self) -> dict[str, float]:
        """Return the share of the credit that was earned, by queue and over all."""
        earned = dict.fromkeys(self._kind_by_queue, 0.0)
        owed = dict.fromkeys(self._kind_by_queue, 0.0)
        jobs = self._planner.state.job_by_id
        for job_id, (kind, at) in self.arrival_by_job.items():
            name = kind.queue.name
            owed[name] += kind.credit
            job = jobs.get(job_id)
            if job is None or not job.is_final_stored:
                continue
            took_s = job.final_at - at
            objective_s = kind.queue.stretch * kind.draw_run_s(job_id)
            objective_s += kind.queue.target_s
            if took_s <= objective_s:
                earned[name] += kind.credit
            elif took_s <= LATE_FACTOR * objective_s:
                earned[name] += kind.credit * LATE_CREDIT_SHARE
        shares = {name: earned[name] / max(owed[name], 1e-9) for name in earned}
        return {"all": sum(earned.values()) / sum(owed.values()), **shares}


def compare_policies(name: str) -> dict[str, dict[str, float]]:
    """Return the mean credit shares of the seeds for one load, by ordering policy."""
    row_by_policy = {}
    for policy_name in ORDER_POLICIES:
        trials = [Trial(LOADS[name], policy_name, seed) for seed in SEEDS]
        credits = [trial.run() for trial in trials]
        mean = {key: sum(c[key] for c in credits) / len(credits) for key in credits[0]}
        starts = sum(trial.start_count for trial in trials)
        processor_s = sum(trial.processor_s for trial in trials)
        mean["processor_ms_a_start"] = 1000 * processor_s / starts
        row_by_policy[policy_name] = mean
    return row_by_policy


def draw_plot(report: dict[str, dict[str, dict[str, float]]]) -> None:
    """Write a plot of the credit shares by load and ordering policy."""
    from matplotlib import pyplot  # deferred: the import takes a second

    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    width = 0.8 / len(ORDER_POLICIES)
    for number, policy_name in enumerate(ORDER_POLICIES):
        heights = [rows[policy_name]["all"] for rows in report.values()]
        positions = [load + number * width for load in range(len(heights))]
        axes.bar(positions, heights, width, label=policy_name)
    axes.set_xticks([load + 0.3 for load in range(len(report))], list(report))
    axes.set_ylabel("credit earned / owed")
    axes.set_ylim(0, 1)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=90)


def main() -> int:
    """Compare the ordering policies on the named loads, or on all of them."""
    names = sys.argv[1:] or list(LOADS)
    unknown = sorted(set(names) - LOADS.keys())
    if unknown:
        print(f"unknown load: {', '.join(unknown)}; known: {', '.join(LOADS)}")
        return 2
    report = {name: compare_policies(name) for name in names}
    REPORT.write_text(json.dumps(report, indent=1) + "\n")
    draw_plot(report)
    for name, rows in report.items():
        for policy_name, row in rows.items():
            text = "  ".join(f"{key} {value:.3f}" for key, value in row.items())
            print(f"{name:18} {policy_name:18} {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
