"""Groups of ready steps that are alike, in scheduling order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .jobs import StepRun
    from .order import OrderPolicy, Rank
    from .rules import Queue
    from .state import PlannerState


@dataclass(slots=True)
class ReadyGroup:
    """Ready steps of one occurrence that differ only in their number.

    :param rank: rank of each of them
    :param steps: the steps, by number
    """

    queue: Queue
    rank: Rank = (0, 0, 0.0)
    steps: list[StepRun] = field(default_factory=list)


def group_ready_steps(state: PlannerState, order: OrderPolicy) -> list[ReadyGroup]:
    """Return the ready steps in scheduling order.

    A job may have thousands of steps that are alike, which are ranked and sorted once.
    """
    group_by_key: dict[tuple[int, int], ReadyGroup] = {}
    queue_by_name = state.queue_by_name
    for step in state.ready_by_id.values():
        occurrence = step.occurrence
        key = (id(occurrence), step.shape)
        group = group_by_key.get(key)
        if group is None:
            queue = queue_by_name.get(occurrence.job.spec.queue)
            if queue is None:
                continue
            group = group_by_key[key] = ReadyGroup(queue)
        group.steps.append(step)
    groups = list(group_by_key.values())
    for group in groups:
        if len(group.steps) > 1:
            group.steps.sort(key=lambda step: step.id.step)
        group.rank = order.rank(group.steps[0], group.queue, state.wall_ms)
    groups.sort(key=lambda group: (group.rank, group.steps[0].id))
    return groups
