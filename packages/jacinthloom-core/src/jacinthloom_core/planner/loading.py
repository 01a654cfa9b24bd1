"""Loading of the records that earlier planners stored, in parts.

The load of tens of thousands of steps takes longer than a claim lasts, so the hosting
process goes on with other work, such as the renewal of the claim, between two parts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .jobs import JobState, TaskState
from .records import JobDecoder, RecordError, load_past_use, load_queues
from .run_times import RECORD_KEY as RUN_TIMES_KEY

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .admission import AdmissionPolicy
    from .intake import Intake
    from .jobs import Job, Task
    from .state import PlannerState

MAX_PART_TASKS = 1_000
"""Number of tasks after which a part of the load ends, some 20 ms of work."""


class RecordLoader:
    """Restores the state that earlier planners stored."""

    def __init__(
        self, state: PlannerState, intake: Intake, admission: AdmissionPolicy
    ) -> None:
        self._state = state
        self._intake = intake
        self._admission = admission

    def load(
        self, records: dict[str, bytes], now: float, wall_ms: int
    ) -> Iterator[None]:
        """Restore the state; yields between two parts.

        :param records: newest value of each key
        :param now: monotonic time of the begin, from which leases are counted
        :param wall_ms: Unix time in milliseconds
        """
        state = self._state
        state.now = now
        state.wall_ms = wall_ms
        decoder = JobDecoder(now)
        yield from _yield_parts(decoder.decode(records))
        state.job_by_id = decoder.job_by_id
        queues, unreadable_queues = load_queues(records)
        state.add_queues(queues)
        self._load_run_times(records.get(RUN_TIMES_KEY, b""))
        state.stored_queue_by_name.update(queues)
        yield from _yield_parts(self._open_jobs(now))
        state.note(
            "jobs_loaded",
            jobs=len(state.job_by_id),
            unreadable_records=decoder.unreadable + unreadable_queues,
        )
        self._load_past_use(records, now)
        self._admission.note_forgotten_returns()

    def _open_jobs(self, now: float) -> Iterator[int]:
        """Open the loaded jobs; yields the number of tasks of each."""
        for job in self._state.job_by_id.values():
            self._open_job(job, now)
            tasks = sum(step.count for step in job.spec.steps)
            yield tasks * len(job.occurrences)

    def _open_job(self, job: Job, now: float) -> None:
        state = self._state
        for task in job.tasks():
            if task.worker:
                self._load_placement(task, now)
        if self._has_failed(job):
            state.finish(job, JobState.FAILED, now)
        if job.is_over:
            return
        for task in job.tasks():
            if task.crashes:
                task.lost_at = now
                state.crashed_task_by_id[task.id] = task
        self._intake.open_job(job, now)
        for occurrence in job.occurrences.values():
            state.open_steps(occurrence)
        self._intake.check_finished(job, now)

    def _has_failed(self, job: Job) -> bool:
        """Whether a job fails for a run whose end was stored before its final state.

        The store may have refused the batch of that end: when it is appended again, the
        final state is in the next one.
        """
        return not job.is_over and any(
            task.state is not TaskState.DONE and self._state.has_used_up_attempts(task)
            for task in job.tasks()
        )

    def _load_placement(self, task: Task, now: float) -> None:
        """Assign a task to the worker on which an earlier planner placed it.

        The worker's lists will show whether it runs there.
        """
        state = self._state
        settings = state.settings
        worker = state.get_or_add_worker(task.worker)
        worker.extend_lease(now + settings.predecessor_s, settings.lease_s)
        incarnation = task.incarnation
        state.place(task, worker)
        task.incarnation = incarnation
        task.barred_at = float("-inf")  # the new fencing token bars older orders

    def _load_run_times(self, value: bytes) -> None:
        """Take over the run times that earlier planners have learned.

        Declared run times are far off. A planner without the learned ones would take
        jobs with a short declared time for late, and drop them behind all others.
        """
        if not value:
            return
        try:
            self._state.run_times.load(value)
        except ValueError as error:
            self._state.note("run_times_ignored", reason=str(error))

    def _load_past_use(self, records: dict[str, bytes], now: float) -> None:
        """Restore the past usage; an unreadable record counts as none."""
        state = self._state
        if not state.past_use.is_enabled:
            return
        try:
            stored = load_past_use(records)
        except RecordError as error:
            state.note("past_use_unreadable", reason=str(error))
            return
        if stored is not None:
            age_s = state.past_use.restore(stored, now, state.wall_ms)
            accounts = len(stored.usage_by_client_account)
            state.note("past_use_loaded", accounts=accounts, age_s=round(age_s, 1))


def _yield_parts(tasks_by_record: Iterator[int]) -> Iterator[None]:
    """Yield each time that records with many tasks have been processed."""
    tasks = 0
    for count in tasks_by_record:
        tasks += count + 1
        if tasks >= MAX_PART_TASKS:
            tasks = 0
            yield
