"""A step as a scheduling pass considers it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .advice import StepAdvice
    from .fleet import Worker
    from .jobs import StepRun, Task
    from .order import Rank
    from .rules import Queue


@dataclass(frozen=True, slots=True)
class StepContext:
    """A step that is considered in a scheduling pass.

    :param waiting: tasks of the step that may be placed
    :param advice: answers of the advice service, or None if any worker may run the step
    """

    step: StepRun
    queue: Queue
    waiting: list[Task]
    advice: StepAdvice | None
    rank: Rank
    now: float

    def select_ticketed(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which the step may start now."""
        advice = self.advice
        if advice is None:
            return workers
        tickets = advice.ticket_by_worker
        return [
            w for w in workers if w.id in tickets and advice.find_ticket(w, self.now)
        ]

    def select_permitted(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers that the step may run on, with a new ticket if needed."""
        advice = self.advice
        if advice is None:
            return workers
        return [w for w in workers if advice.is_recommended_by_worker.get(w.id, False)]

    def select_possible(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers that the advice service has not refused."""
        advice = self.advice
        if advice is None:
            return workers
        return [worker for worker in workers if advice.may_be_recommended(worker)]
