"""Jobs of many steps cost an amount of work that is linear in their number.

The planner renews its claim between two pieces of work, so no piece may take long.
"""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import events
from jacinthloom_core.planner.jobs import Job
from jacinthloom_core.planner.paths import estimate_remaining_paths_s
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.run_times import RunTimes
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import Store, answer_poll, make_planner, store_batches

STEP = StepSpec(1, Resources(100, 100), 1.0)
STEPS = 300
WIDE = JobSpec("a" * 16, "q", "t", "text", (STEP,) * STEPS, 0)
CHAIN = replace(
    WIDE,
    steps=(STEP, *(replace(STEP, after=(n,)) for n in range(STEPS - 1))),
)


def submit(planner: Planner, store: Store, spec: JobSpec) -> None:
    emitted = planner.handle(events.JobSubmitted(0.2, 1, spec))
    store_batches(planner, store, emitted, 0.3)


def make_planner_with(spec: JobSpec) -> Planner:
    store = Store()
    planner = make_planner(1, store, 0.0)
    answer_poll(planner, 0.1)
    submit(planner, store, spec)
    return planner


class PathsTest(unittest.TestCase):
    def predict(self, queue: str, declared_s: float) -> float:
        self.predictions += 1
        return declared_s

    def setUp(self) -> None:
        self.predictions = 0

    def estimate(self, *steps: StepSpec) -> tuple[float, ...]:
        return estimate_remaining_paths_s(Job(replace(WIDE, steps=steps)), self.predict)

    def test_paths_follow_the_longest_of_the_later_steps(self) -> None:
        first, short = replace(STEP, estimate_s=2.0), replace(STEP, after=(0,))
        long = replace(short, estimate_s=5.0)
        last = replace(STEP, after=(1, 2))
        alone = replace(STEP, estimate_s=4.0)
        lengths = self.estimate(first, short, long, last, alone)
        self.assertEqual(lengths, (8.0, 2.0, 6.0, 1.0, 4.0))

    def test_each_declared_run_time_is_predicted_once(self) -> None:
        self.assertEqual(self.estimate(*CHAIN.steps)[0], float(STEPS))
        self.assertEqual(self.predictions, 1)


class ManyStepsTest(unittest.TestCase):
    # Guards against a pass that works out the paths of a whole job for each of its
    # steps, and so takes longer than a planner's claim lasts (review/14).
    def test_pass_predicts_run_times_a_few_times_for_each_step(self) -> None:
        for name, spec in (("wide", WIDE), ("chain", CHAIN)):
            planner = make_planner_with(spec)
            predict = RunTimes.predict
            with (
                self.subTest(job=name),
                mock.patch.object(RunTimes, "predict", autospec=True) as predicted,
            ):
                predicted.side_effect = predict
                planner.handle(events.Tick(2.0, 2_000))
                self.assertGreater(predicted.call_count, 0)
                self.assertLessEqual(predicted.call_count, 3 * STEPS)


if __name__ == "__main__":
    unittest.main()
