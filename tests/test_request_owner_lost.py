"""A request whose owner dies or falls silent is answered by another owner."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from jacinthloom_core.model.answers import RequestAnswer

from testkit.virtual.schedule import LOOKUP, Schedule

if TYPE_CHECKING:
    from testkit.virtual.process import VirtualProcess

ANSWER_WITHIN_S = LOOKUP.within_s or 0.0


class RequestOwnerLostTest(unittest.TestCase):
    """Requests are sent to one member while all other members own workers."""

    def setUp(self) -> None:
        self.world = Schedule(1, 4).world
        self.entry = self.world.alive[0]

    def find_owner(self, request: str) -> VirtualProcess:
        """Return the process that a request was offered to."""
        coordinator = self.entry.member.request_coordinator
        owner = coordinator.open_by_id[request].owner
        return next(p for p in self.world.alive if p.id == owner)

    def ask_other_owner(self, **fields: object) -> tuple[str, VirtualProcess]:
        """Send requests until one is offered to a member other than the entry."""
        for number in range(40):
            name = f"r-{number}"
            spec = self.world.make_spec(name, LOOKUP, processors=200, **fields)  # type: ignore[arg-type]
            self.world.ask(self.entry, spec)
            if name in self.entry.member.request_coordinator.open_by_id:
                owner = self.find_owner(name)
                if owner is not self.entry:
                    return name, owner
        raise AssertionError("every request was offered to the entry itself")

    def test_lookup_is_answered_in_time_though_its_owner_is_killed(self) -> None:
        name, owner = self.ask_other_owner(run_time_s=0.05)
        self.world.kill(owner)
        sent_at = self.world.now
        self.world.run(ANSWER_WITHIN_S)
        answer = self.world.answer_by_request.get(name)
        assert isinstance(answer, RequestAnswer), answer
        self.assertEqual(answer.outcome, "answered")
        self.assertLess(self.world.answered_at[name] - sent_at, ANSWER_WITHIN_S)

    def test_lookup_is_answered_in_time_though_its_owner_freezes(self) -> None:
        name, owner = self.ask_other_owner(run_time_s=0.05)
        self.world.pause(owner)
        self.world.run(ANSWER_WITHIN_S)
        answer = self.world.answer_by_request.get(name)
        assert isinstance(answer, RequestAnswer), answer
        self.assertEqual(answer.outcome, "answered")

    def test_request_that_may_have_run_is_not_run_again(self) -> None:
        name, owner = "", self.entry
        for number in range(40):
            name = f"r-once-{number}"
            spec = self.world.make_spec(
                name,
                LOOKUP,
                processors=200,
                run_time_s=30.0,
                idempotent=False,
                idempotency_key=name,
            )
            self.world.ask(self.entry, spec)
            self.world.run(0.6)
            owner = self.find_owner(name)
            if owner is not self.entry:
                break
        self.assertIsNot(owner, self.entry)
        self.world.kill(owner)
        self.world.run(30.0)
        answer = self.world.answer_by_request.get(name)
        assert isinstance(answer, RequestAnswer), answer
        self.assertEqual(answer.outcome, "unknown")
