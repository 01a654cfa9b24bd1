"""Play named loads against the planner in virtual time, and compare orders of work.

Run as ``python -m bench.planning [LOAD ...]``. Writes ``bench/planning.json`` and a
plot; no faults: those are played by ``testkit.planning``.
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
    estimate_critical_path_s,
)
from jacinthloom_core.planner.planner import TICK_S, Planner
from jacinthloom_core.planner.rules import ClientAccount, Rules
from jacinthloom_core.planner.state import PlannerSettings

from testkit.planning.clock import VirtualClock

from .loads import LOADS, Kind, Load

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.effects import Effect
    from jacinthloom_core.planner.jobs import StepRun
    from jacinthloom_core.planner.rules import Queue
    from jacinthloom_core.planner.run_times import RunTimes
    from jacinthloom_core.planner.specs import TaskId

REPORT = Path(__file__).parent / "planning.json"
PLOT = Path(__file__).parent.parent / "docs" / "plots" / "credit_by_order.png"

STORE_S = 0.010
"""Seconds of an append, as measured on the users' bench."""

ORDER_S = 0.002
"""Seconds of an order to a worker there and back."""

MEMBERS = 6
"""Hosts that can ask for advice."""

LATE_CREDIT = 0.2
"""Share of its worth that a late job earns; from the users' sheets."""

SEEDS = (1, 2, 3)


class FirstComeOrder(OrderPolicy):
    """Rank by the time of submission."""

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the time from which the job counts."""
        return (0, 0, compute_due_ms(step.occurrence.job, 0) / 1000)


class EarliestDeadlineOrder(FirstComeOrder):
    """Rank by the end of the objective, as declared."""

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the end of the objective."""
        return (0, 0, compute_deadline_s(step, queue))


class LeastLaxityOrder(FirstComeOrder):
    """Rank by the latest start, as declared, without regard to lateness."""

    def rank(self, step: StepRun, queue: Queue, now_ms: int) -> Rank:
        """Return the latest start."""
        return (0, 0, compute_deadline_s(step, queue) - step.spec.estimate_s)


def compute_deadline_s(step: StepRun, queue: Queue) -> float:
    """Return the end of a job's objective by its declared run times, Unix seconds."""
    job = step.occurrence.job
    chain_s = estimate_critical_path_s(job, lambda _, declared_s: declared_s)
    due_s = compute_due_ms(job, 0) / 1000
    return due_s + queue.stretch * chain_s + queue.target_s


ORDERS: dict[str, Callable[[RunTimes], OrderPolicy]] = {
    "first_come": FirstComeOrder,
    "earliest_deadline": EarliestDeadlineOrder,
    "least_laxity": LeastLaxityOrder,
    "shipped": LatestStartOrder,
}


@dataclass(slots=True)
class _Worker:
    running: dict[tuple[TaskId, int], float] = field(default_factory=dict)
    ends: list[events.RunEnd] = field(default_factory=list)
    count: int = 0


class Trial:
    """One load, played with one order of work and one seed."""

    def __init__(self, load: Load, order: str, seed: int) -> None:
        self._load = load
        self._random = Random(seed)
        self._clock = VirtualClock()
        self._kind_by_queue = {kind.queue.name: kind for kind in load.kinds}
        self._workers = {f"w{number}": _Worker() for number in range(load.workers)}
        self._planner = Planner(PlannerSettings(1, 6.0, 600.0), ORDERS[order])
        self.processor_s = 0.0
        self.starts = 0
        self.received: dict[str, tuple[Kind, float]] = {}

    def run(self) -> dict[str, float]:
        """Play the load to its end; return earned and owed credit by queue."""
        load = self._load
        queues = {kind.queue.name: kind.queue for kind in load.kinds}
        tenant = ClientAccount("t", 1, Resources())
        self._handle(events.RulesChanged(0.0, Rules(1, queues, {"t": tenant})))
        for number in range(MEMBERS):
            self._handle(events.MemberJoined(0.0, f"m{number}"))
        for name in self._workers:
            entry = WorkerEntry(
                name, "s", "1:1", "z", True, load.capacity, frozenset(), "", 1
            )
            self._handle(events.WorkerListed(0.0, entry))
        for kind in load.kinds:
            self._plan_arrivals(kind)
        self._tick()
        self._clock.run_until(load.seconds * 3)
        return self._count_credit()

    def _plan_arrivals(self, kind: Kind) -> None:
        at = self._random.expovariate(kind.per_s)
        while at < self._load.seconds:
            job = f"{self._random.getrandbits(64):016x}"
            spec = kind.draw(job, "t", at, self._random)
            self.received[job] = (kind, at)
            call = len(self.received)
            self._clock.after(
                at,
                lambda s=spec, c=call: self._handle(  # type: ignore[misc]
                    events.JobSubmitted(self._clock.now, c, s)
                ),
            )
            at += self._random.expovariate(kind.per_s)

    def _tick(self) -> None:
        now = self._clock.now
        self._handle(events.Tick(now, int(now * 1000)))
        self._clock.after(TICK_S, self._tick)

    def _handle(self, event: events.Event) -> None:
        began = time.process_time()
        found = self._planner.handle(event)
        self.processor_s += time.process_time() - began
        for effect in found:
            self._carry_out(effect)
        due = self._planner.next_due
        if due is not None:
            delay = max(0.001, due - self._clock.now)
            self._clock.after(delay, self._flush)

    def _flush(self) -> None:
        due = self._planner.next_due
        if due is not None and due <= self._clock.now:
            self._handle(events.FlushDue(self._clock.now))

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, effects.Store):
            number = effect.number
            self._clock.after(
                STORE_S,
                lambda: self._handle(events.BatchStored(self._clock.now, number)),
            )
        elif isinstance(effect, effects.Start):
            self._start(effect)
        elif isinstance(effect, effects.PollWorker):
            self._hold(effect)
        elif isinstance(effect, effects.AskAdvice):
            self._advise(effect)

    def _start(self, start: effects.Start) -> None:
        self.starts += 1
        worker = self._workers[start.worker]
        kind, _ = self.received[start.task.job]
        key = (start.task, start.run)
        worker.running[key] = self._clock.now
        run_s = kind.draw_run_s(start.task.job)
        self._clock.after(run_s, lambda: self._end(worker, key))
        outcome = events.StartOutcome.STARTED
        self._clock.after(
            ORDER_S,
            lambda: self._handle(
                events.StartAnswered(
                    self._clock.now, start.worker, start.task, start.run, outcome
                )
            ),
        )

    def _end(self, worker: _Worker, key: tuple[TaskId, int]) -> None:
        if worker.running.pop(key, None) is None:
            return
        worker.count += 1
        done = events.EndKind.DONE
        worker.ends.append(events.RunEnd(worker.count, *key, done, ""))

    def _hold(self, hold: effects.PollWorker) -> None:
        worker = self._workers[hold.worker]
        sent_at = self._clock.now

        def answer() -> None:
            now = self._clock.now
            if not worker.ends and now - sent_at < hold.wait_s:
                self._clock.after(0.01, answer)
                return
            worker.ends = [row for row in worker.ends if row.number > hold.cursor]
            running = tuple(
                events.RunProgress(task, run, "", self._measure(task, began))
                for (task, run), began in worker.running.items()
            )
            self._handle(
                events.WorkerPolled(
                    now,
                    hold.worker,
                    sent_at,
                    hold.token,
                    1,
                    int(now * 1000),
                    running,
                    tuple(worker.ends),
                )
            )

        self._clock.after(ORDER_S, answer)

    def _measure(self, task: TaskId, began: float) -> int:
        kind, _ = self.received[task.job]
        share = (self._clock.now - began) / kind.draw_run_s(task.job)
        return min(99, int(100 * share))

    def _advise(self, ask: effects.AskAdvice) -> None:
        kind, _ = self.received[ask.step.job]
        policy = kind.queue.advice
        assert policy is not None
        good = tuple(
            (name, "ticket")
            for name in ask.workers
            if Random(f"{ask.step.job}{name}").random() < kind.good
        )
        delay = policy.base_s + policy.per_worker_s * len(ask.workers)
        self._clock.after(
            delay,
            lambda: self._handle(
                events.AdviceGiven(
                    self._clock.now, ask.member, ask.step, ask.workers, good
                )
            ),
        )

    def _count_credit(self) -> dict[str, float]:
        """Return the share of its worth that each queue has earned."""
        earned = dict.fromkeys(self._kind_by_queue, 0.0)
        owed = dict.fromkeys(self._kind_by_queue, 0.0)
        jobs = self._planner.state.job_by_id
        for job_id, (kind, at) in self.received.items():
            name = kind.queue.name
            owed[name] += kind.worth
            job = jobs.get(job_id)
            if job is None or not job.is_final_stored:
                continue
            took_s = job.final_at - at
            objective_s = kind.queue.stretch * kind.draw_run_s(job_id)
            objective_s += kind.queue.target_s
            if took_s <= objective_s:
                earned[name] += kind.worth
            elif took_s <= LATE_FACTOR * objective_s:
                earned[name] += kind.worth * LATE_CREDIT
        shares = {name: earned[name] / max(owed[name], 1e-9) for name in earned}
        return {"all": sum(earned.values()) / sum(owed.values()), **shares}


def compare(name: str) -> dict[str, dict[str, float]]:
    """Return the credit of each order of work on one load, the mean of the seeds."""
    rows = {}
    for order in ORDERS:
        trials = [Trial(LOADS[name], order, seed) for seed in SEEDS]
        credits = [trial.run() for trial in trials]
        mean = {key: sum(c[key] for c in credits) / len(credits) for key in credits[0]}
        starts = sum(trial.starts for trial in trials)
        processor_s = sum(trial.processor_s for trial in trials)
        mean["processor_ms_a_start"] = 1000 * processor_s / starts
        rows[order] = mean
    return rows


def draw(report: dict[str, dict[str, dict[str, float]]]) -> None:
    """Write a plot of the credit by load and order."""
    from matplotlib import pyplot  # only here: it takes a second to import

    figure, axes = pyplot.subplots(figsize=(7, 3.5))
    width = 0.8 / len(ORDERS)
    for number, order in enumerate(ORDERS):
        heights = [rows[order]["all"] for rows in report.values()]
        places = [place + number * width for place in range(len(heights))]
        axes.bar(places, heights, width, label=order)
    axes.set_xticks([place + 0.3 for place in range(len(report))], list(report))
    axes.set_ylabel("credit earned / owed")
    axes.set_ylim(0, 1)
    axes.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(PLOT, dpi=90)


def main() -> int:
    """Compare the orders on the named loads, or on all of them."""
    names = sys.argv[1:] or list(LOADS)
    unknown = sorted(set(names) - LOADS.keys())
    if unknown:
        print(f"no such load: {', '.join(unknown)}; there are {', '.join(LOADS)}")
        return 2
    report = {name: compare(name) for name in names}
    REPORT.write_text(json.dumps(report, indent=1) + "\n")
    draw(report)
    for name, rows in report.items():
        for order, row in rows.items():
            text = "  ".join(f"{key} {value:.3f}" for key, value in row.items())
            print(f"{name:18} {order:18} {text}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
