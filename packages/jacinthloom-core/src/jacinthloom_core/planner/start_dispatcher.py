"""Orders to start the tasks whose placement is stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .crashes import discount_start
from .effects import Start
from .jobs import TaskState

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import Task
    from .state import PlannerState

MAX_WITHHELD_S = 1.0
"""Maximum seconds for which a start is withheld: the members of a gang that have
started wait only a few seconds for the others."""


class StartDispatcher:
    """Sends the starts of placed tasks, unless something forbids them meanwhile."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state

    def send_starts(self, starts: list[tuple[Task, int]], now: float) -> None:
        """Start the tasks of a stored batch, except those that may no longer start."""
        aborted: set[int] = set()
        for task, run in starts:
            if task.state is not TaskState.PLACED or task.run != run:
                continue
            reason = self._find_start_obstacle(task, now)
            if not reason and id(task.step) in aborted:
                reason = "another member of the gang can't start"
            if reason:
                if task.step.spec.gang:
                    aborted.add(id(task.step))
                self._state.note(
                    "start_dropped", task=list(task.id), run=run, reason=reason
                )
                discount_start(task)
                self._state.requeue(task)
            else:
                self._start(task, now)
        for task, run in starts:
            is_member = id(task.step) in aborted and task.run == run
            if is_member and task.state is TaskState.STARTING:
                self._state.stop(task)

    def retry_withheld(self, now: float) -> None:
        """Send the starts that were withheld, or place the tasks again."""
        withheld = self._state.withheld_start_by_id
        tasks = list(withheld.values())
        withheld.clear()
        for task in tasks:
            if task.state is not TaskState.STARTING:
                continue
            reason = self._find_start_obstacle(task, now)
            if not reason and now - task.placed_at > MAX_WITHHELD_S:
                reason = "this planner has had no authority for too long"
            if not reason:
                self.send_start(task, now)
                continue
            self._state.note(
                "start_dropped", task=list(task.id), run=task.run, reason=reason
            )
            self._state.requeue(task)
            self._state.abort_gang(task)

    def _find_start_obstacle(self, task: Task, now: float) -> str:
        """Return why a placed task may not start, or an empty string."""
        worker = self._state.worker_by_id[task.worker]
        if task.step.occurrence.job.is_over:
            return "job is over"
        if (
            not self._state.is_usable(worker, now)
            or worker.incarnation != task.incarnation
        ):
            return "worker is no longer usable"
        if worker.is_overcommitted:
            return "capacity of the worker has shrunk"
        if self._needs_ticket(task) and not self._find_ticket(task, worker, now):
            return "ticket has expired"
        return ""

    def _needs_ticket(self, task: Task) -> bool:
        name = task.step.occurrence.job.spec.queue
        queue = self._state.queue_by_name.get(name)
        return queue is not None and queue.advice is not None

    def _find_ticket(self, task: Task, worker: Worker, now: float) -> str:
        advice = self._state.advice_requests.find(task.step.id)
        ticket = advice.ticket_by_worker.get(worker.id)
        if (
            ticket is None
            or ticket.incarnation != worker.incarnation
            or ticket.valid_until < now
        ):
            return ""
        return ticket.text

    def _start(self, task: Task, now: float) -> None:
        task.state = TaskState.STARTING
        task.placed_at = now
        task.is_resumed = bool(task.checkpoint)
        task.is_speed_recorded = False
        task.percent = 0
        task.progress_at = 0.0
        task.confirmed_at = 0.0
        self.send_start(task, now)

    def send_start(self, task: Task, now: float) -> None:
        """Send the order to start a task, for the first time or again."""
        state = self._state
        worker = state.worker_by_id[task.worker]
        assert worker.entry is not None
        lease_s = state.settings.lease_s
        ticket = (
            self._find_ticket(task, worker, now) if self._needs_ticket(task) else ""
        )
        worker.extend_lease(now, lease_s)
        state.note(
            "task_started",
            task=list(task.id),
            run=task.run,
            on=worker.id,
            life=worker.incarnation,
            speed_group=worker.speed_group,
            doubt=worker.doubt,
            slack_s=round(task.step.slack_s, 2),
        )
        state.effects.append(
            Start(
                worker.id,
                worker.entry.address,
                worker.token,
                worker.incarnation,
                task.id,
                task.run,
                task.step.occurrence.job.spec.payload,
                task.checkpoint,
                ticket,
                worker.compute_deadline_ms(now, lease_s),
                worker.compute_least_clock_ms(now),
            )
        )
