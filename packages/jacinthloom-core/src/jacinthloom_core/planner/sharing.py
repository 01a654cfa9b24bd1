"""Which tasks may share a worker.

Tasks that fill use what the others leave, and disturb the ones that serve users. They
are kept on different workers.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import StepRun


def may_share(step: StepRun, worker: Worker) -> bool:
    """Whether a step's tasks may run beside what is placed on a worker."""
    spec = step.spec
    if spec.fills:
        return not any(task.step.spec.target_s for task in worker.task_by_id.values())
    if spec.target_s:
        return not any(task.step.spec.fills for task in worker.task_by_id.values())
    return True


def is_left_to_other_kind(step: StepRun, worker: Worker) -> bool:
    """Whether a worker is better left to the other kind.

    Each worker is given to one kind by its name. Tasks that serve users are spread, and
    would otherwise leave no worker to those that fill.
    """
    spec = step.spec
    if not spec.fills and not spec.target_s:
        return False
    is_for_fillers = bool(zlib.crc32(worker.id.encode()) & 1)
    return is_for_fillers != spec.fills
