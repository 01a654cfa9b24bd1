"""The queue of a team is bounded, for requests and for the tasks of jobs."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core import Member, MemberSettings
from jacinthloom_core.model.answers import JobAnswer, Refusal

from testkit.virtual import World
from testkit.virtual.schedule import LOOKUP, REBUILD, Schedule


def make_member_with_short_queue(settings: MemberSettings) -> Member:
    return Member(replace(settings, queue_bound=3))


class QueueBoundTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world: World = Schedule(1, 1, None, make_member_with_short_queue).world
        self.process = self.world.alive[0]

    def ask(self, name: str, **fields: object) -> object:
        work_class = LOOKUP if name.startswith("r-") else REBUILD
        spec = self.world.make_spec(name, work_class, **fields)  # type: ignore[arg-type]
        self.world.ask(self.process, spec)
        self.world.run(0.6)
        return self.world.answer_by_request.get(name)

    def test_request_above_queue_bound_is_refused(self) -> None:
        for number in range(3):
            self.assertIsNone(self.ask(f"r-{number}", run_time_s=3.0))
        answer = self.ask("r-3", run_time_s=3.0)
        assert isinstance(answer, Refusal)
        self.assertEqual((answer.code, answer.not_run), ("team_queue_full", True))

    def test_job_above_queue_bound_is_refused(self) -> None:
        self.assertIsInstance(self.ask("j-1", tasks=4, run_time_s=60.0), JobAnswer)
        answer = self.ask("j-2", tasks=1, run_time_s=60.0)
        assert isinstance(answer, Refusal)
        self.assertEqual(answer.code, "team_queue_full")
