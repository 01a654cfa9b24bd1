"""Rules for placing tasks of different kinds on the same worker.

Filling tasks use the processor time that other tasks leave idle, which raises the
latency of serving tasks. The two kinds are therefore placed on different workers.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import StepRun


def may_share(step: StepRun, worker: Worker) -> bool:
    """Whether a step's tasks may run beside the tasks already placed on a worker."""
    spec = step.spec
    if spec.fills:
        return not any(task.step.spec.target_s for task in worker.task_by_id.values())
    if spec.target_s:
        return not any(task.step.spec.fills for task in worker.task_by_id.values())
    return True


def is_assigned_to_other_kind(step: StepRun, worker: Worker) -> bool:
    """Whether a worker should be left to tasks of the other kind if possible.

    A hash of its name assigns each worker to one kind. Otherwise serving tasks, which
    are spread over the workers, would leave no worker to filling tasks.
    """
    spec = step.spec
    if not spec.fills and not spec.target_s:
        return False
    is_for_filling = bool(zlib.crc32(worker.id.encode()) & 1)
    return is_for_filling != spec.fills
