"""Runs that report no progress, by a worker's fault or by their nature."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.run_times import MIN_RUNS
from jacinthloom_core.planner.speed import SLOW_THRESHOLD

from .test_takeover import JOB, Store, answer_hold, make_planner

LIST_S = 0.5
"""Seconds between two lists of a worker."""


class ProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        self.now = 0.1
        self.ends: list[events.RunEnd] = []
        self.runs: list[tuple[float, int]] = []
        self.running: events.RunProgress | None = None
        answer_hold(self.planner, self.now)

    def start_job(self) -> None:
        self.carry_out(self.planner.handle(events.JobSubmitted(self.now, 1, JOB)))
        self.now += 0.1
        self.carry_out(self.planner.handle(events.FlushDue(self.now)))

    def carry_out(self, found: list[effects.Effect]) -> None:
        for number in self.store.take(found):
            self.carry_out(self.planner.handle(events.BatchStored(self.now, number)))
        for effect in found:
            if isinstance(effect, effects.Start):
                self.runs.append((self.now, effect.run))
                self.running = events.RunProgress(effect.task, effect.run, "", 50)
                answer = events.StartAnswered(
                    self.now, "w1", effect.task, effect.run, events.StartOutcome.STARTED
                )
                self.carry_out(self.planner.handle(answer))
            elif isinstance(effect, effects.Stop) and self.running is not None:
                number = len(self.ends) + 1
                stopped = events.EndKind.STOPPED
                row = events.RunEnd(number, effect.task, effect.run, stopped, "")
                self.ends.append(row)
                self.running = None

    def list_runs(self) -> None:
        planner: Planner = self.planner
        worker = planner.state.worker_by_id["w1"]
        running = (self.running,) if self.running else ()
        listing = events.WorkerPolled(
            self.now,
            "w1",
            self.now - 0.01,
            worker.token,
            5,
            100,
            running,
            tuple(self.ends),
        )
        self.carry_out(planner.handle(listing))

    def test_run_that_never_shows_progress_gets_ever_more_time(self) -> None:
        self.carry_out(self.planner.handle(events.JobSubmitted(self.now, 1, JOB)))
        while self.now < 60.0:
            self.now += LIST_S
            self.carry_out(self.planner.handle(events.Tick(self.now, 0)))
            self.carry_out(self.planner.handle(events.FlushDue(self.now)))
            self.list_runs()
        lengths = [
            after - before
            for (before, _), (after, _) in zip(self.runs, self.runs[1:], strict=False)
        ]
        # Pauses of quarantine aside, each run is left at least twice as long.
        self.assertLessEqual(len(self.runs), 6)
        self.assertGreaterEqual(lengths[-1], 4 * 2.0)

    def test_slow_worker_is_known_before_its_run_ends(self) -> None:
        for _ in range(30):
            self.planner.state.worker_speeds.record("w1", "q", 1.0, 1.0, 0.0)
        self.start_job()
        assert self.running is not None
        self.now += 1.5  # a quarter done after 1.5 times its estimate
        self.running = replace(self.running, percent=25)
        self.list_runs()
        slowness = self.planner.state.worker_speeds.find_slowness("w1", self.now)
        self.assertGreaterEqual(slowness, SLOW_THRESHOLD)

    def test_run_that_saves_its_progress_tells_how_long_it_took(self) -> None:
        self.start_job()
        assert self.running is not None
        self.now += 2.0
        self.running = replace(self.running, percent=60, checkpoint="saved")
        self.list_runs()
        done = events.EndKind.DONE
        row = events.RunEnd(1, self.running.task, self.running.run, done, "saved")
        self.ends.append(row)
        self.running = None
        self.now += 1.0
        self.list_runs()
        for _ in range(MIN_RUNS - 1):
            self.planner.state.run_times.record("q", 1.0, 3.0)
        self.assertAlmostEqual(
            self.planner.state.run_times.predict("q", 1.0), 3.0, delta=0.1
        )


if __name__ == "__main__":
    unittest.main()
