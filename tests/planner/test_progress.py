"""Runs without progress are restarted, and slow workers are detected by progress."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.run_times import MIN_RUNS
from jacinthloom_core.planner.speed import SLOW_THRESHOLD

from .test_takeover import JOB, Store, answer_poll, make_planner

POLL_INTERVAL_S = 0.5
"""Seconds between two polls of the worker."""


class ProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.planner = make_planner(1, self.store, 0.0)
        self.now = 0.1
        self.ends: list[events.RunEnd] = []
        self.starts: list[tuple[float, int]] = []
        self.running: events.RunProgress | None = None
        answer_poll(self.planner, self.now)

    def start_job(self) -> None:
        self.apply_effects(self.planner.handle(events.JobSubmitted(self.now, 1, JOB)))
        self.now += 0.1
        self.apply_effects(self.planner.handle(events.FlushDue(self.now)))

    def apply_effects(self, emitted: list[effects.Effect]) -> None:
        for number in self.store.append_batches(emitted):
            self.apply_effects(
                self.planner.handle(events.BatchStored(self.now, number))
            )
        for effect in emitted:
            if isinstance(effect, effects.Start):
                self.starts.append((self.now, effect.run))
                self.running = events.RunProgress(effect.task, effect.run, "", 50)
                answer = events.StartAnswered(
                    self.now, "w1", effect.task, effect.run, events.StartOutcome.STARTED
                )
                self.apply_effects(self.planner.handle(answer))
            elif isinstance(effect, effects.Stop) and self.running is not None:
                number = len(self.ends) + 1
                stopped = events.EndKind.STOPPED
                end = events.RunEnd(number, effect.task, effect.run, stopped, "")
                self.ends.append(end)
                self.running = None

    def poll_worker(self) -> None:
        planner: Planner = self.planner
        worker = planner.state.worker_by_id["w1"]
        running = (self.running,) if self.running else ()
        polled = events.WorkerPolled(
            self.now,
            "w1",
            self.now - 0.01,
            worker.token,
            5,
            100,
            running,
            tuple(self.ends),
        )
        self.apply_effects(planner.handle(polled))

    def test_timeout_of_a_run_without_progress_grows_with_each_restart(self) -> None:
        self.apply_effects(self.planner.handle(events.JobSubmitted(self.now, 1, JOB)))
        while self.now < 60.0:
            self.now += POLL_INTERVAL_S
            self.apply_effects(self.planner.handle(events.Tick(self.now, 0)))
            self.apply_effects(self.planner.handle(events.FlushDue(self.now)))
            self.poll_worker()
        intervals_s = [
            after - before
            for (before, _), (after, _) in zip(
                self.starts, self.starts[1:], strict=False
            )
        ]
        # Apart from pauses in quarantine, each run gets at least twice as long.
        self.assertLessEqual(len(self.starts), 6)
        self.assertGreaterEqual(intervals_s[-1], 4 * 2.0)

    def test_slow_worker_is_detected_before_its_run_ends(self) -> None:
        for _ in range(30):
            self.planner.state.worker_speeds.record("w1", "q", 1.0, 1.0, 0.0)
        self.start_job()
        assert self.running is not None
        self.now += 1.5  # 25 % done after 1.5 times the estimate
        self.running = replace(self.running, percent=25)
        self.poll_worker()
        slowness = self.planner.state.worker_speeds.find_slowness("w1", self.now)
        self.assertGreaterEqual(slowness, SLOW_THRESHOLD)

    def test_run_with_a_checkpoint_is_recorded_with_its_run_time(self) -> None:
        self.start_job()
        assert self.running is not None
        self.now += 2.0
        self.running = replace(self.running, percent=60, checkpoint="saved")
        self.poll_worker()
        done = events.EndKind.DONE
        end = events.RunEnd(1, self.running.task, self.running.run, done, "saved")
        self.ends.append(end)
        self.running = None
        self.now += 1.0
        self.poll_worker()
        for _ in range(MIN_RUNS - 1):
            self.planner.state.run_times.record("q", 1.0, 3.0)
        self.assertAlmostEqual(
            self.planner.state.run_times.predict("q", 1.0), 3.0, delta=0.1
        )


if __name__ == "__main__":
    unittest.main()
