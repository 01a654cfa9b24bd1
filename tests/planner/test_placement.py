"""Which workers take the tasks of a step, for loads that care where they run."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.fleet import Worker
from jacinthloom_core.planner.jobs import Job, StepRun
from jacinthloom_core.planner.placement import place_gang, place_tasks
from jacinthloom_core.planner.specs import JobSpec, StepSpec

from .test_takeover import ENTRY

SIZE = Resources(100, 100)
PLAIN = StepSpec(6, SIZE, 5.0)


def make_worker(name: str, rack: str, room: int) -> Worker:
    worker = Worker(name, 1)
    capacity = Resources(100 * room, 100 * room)
    worker.accept(replace(ENTRY, id=name, rack=rack, capacity=capacity))
    return worker


def make_step(spec: StepSpec) -> StepRun:
    job = Job(JobSpec("a" * 16, "q", "t", "", (spec,), 0))
    return job.add_occurrence(0).steps[0]


FLEET = (
    make_worker("a1", "a", 2),
    make_worker("a2", "a", 2),
    make_worker("b1", "b", 3),
    make_worker("b2", "b", 4),
)


class PlacementTest(unittest.TestCase):
    def place(self, spec: StepSpec) -> list[str]:
        step = make_step(spec)
        return [w.id for _, w in place_tasks(step, step.tasks, list(FLEET))]

    def test_batch_work_fills_workers_one_after_another(self) -> None:
        self.assertEqual(self.place(PLAIN), ["a1", "a1", "a2", "a2", "b1", "b1"])

    def test_services_are_spread(self) -> None:
        placed = self.place(replace(PLAIN, count=4, lasting=True))
        self.assertEqual(len(set(placed)), 3)

    def test_tasks_that_talk_run_on_the_rack_with_most_room(self) -> None:
        placed = self.place(replace(PLAIN, same_rack=True))
        self.assertEqual({name[0] for name in placed}, {"b"})

    def test_later_tasks_join_the_rack_of_the_first(self) -> None:
        step = make_step(replace(PLAIN, same_rack=True, count=2))
        step.tasks[0].worker = "a1"
        placed = place_tasks(step, step.tasks[1:], list(FLEET))
        self.assertEqual(placed[0][1].id[0], "a")

    def test_tasks_run_near_their_data_while_there_is_room(self) -> None:
        placed = self.place(replace(PLAIN, data_rack="a"))
        self.assertEqual([name[0] for name in placed], list("aaaabb"))

    def test_no_more_than_allowed_on_one_worker(self) -> None:
        placed = self.place(replace(PLAIN, most_per_worker=1))
        self.assertEqual(sorted(placed), ["a1", "a2", "b1", "b2"])

    def test_task_is_placed_elsewhere_than_it_has_failed(self) -> None:
        step = make_step(replace(PLAIN, count=1))
        step.tasks[0].failed_on = {"a1", "a2"}
        placed = place_tasks(step, step.tasks, list(FLEET))
        self.assertEqual(placed[0][1].id, "b1")
        step.tasks[0].failed_on = {worker.id for worker in FLEET}
        self.assertEqual(len(place_tasks(step, step.tasks, list(FLEET))), 1)

    def test_gang_is_placed_whole_or_not_at_all(self) -> None:
        step = make_step(replace(PLAIN, count=12, gang=True))
        self.assertEqual(place_gang(step, step.tasks, list(FLEET)), [])
        step = make_step(replace(PLAIN, count=11, gang=True))
        self.assertEqual(len(place_gang(step, step.tasks, list(FLEET))), 11)


if __name__ == "__main__":
    unittest.main()
