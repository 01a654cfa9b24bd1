"""Exhaustive search over the orders of a few events around one job.

After each event the planner may be lost with its process: what it has told callers and
workers by then must follow from the records that a successor would load.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.jobs import FINAL_STATES, TaskState
from jacinthloom_core.planner.planner import Planner
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.state import PlannerSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

    from jacinthloom_core.planner.jobs import Job, Task
    from jacinthloom_core.planner.specs import JobSpec

PlannerFactory = Callable[[PlannerSettings], Planner]

OK = 200
UNAVAILABLE = 503
LEASE_S = 6.0
STATUS_S = 120.0
ACTION_S = 0.03
"""Seconds between two actions: after these a pass and a batch are due."""

SHORT_WAIT_S = 0.15
STALL_S = 1.2
"""Seconds after which a batch without an acknowledgement counts as stalled."""

RULES = Rules(
    1,
    {"q": Queue("q", "h", "/q/", "service", 0, 2, 1.5, 0.25)},
    {"t": ClientAccount("t", 1, Resources())},
    {"key": "t"},
)
WORKER = WorkerEntry(
    "w1", "service", "1:1", "z", True, Resources(1000, 1000), frozenset(), "", 5
)
END_KIND_BY_ACTION = {
    "done": events.EndKind.DONE,
    "failed": events.EndKind.FAILED,
    "stopped": events.EndKind.STOPPED,
}
ACTIONS = (
    *("submit", "cancel", "stored", "refused", "wait", "stall", "poll"),
    *END_KIND_BY_ACTION,
)


class ImpossibleError(Exception):
    """Raised for an action for which there is no batch or run."""


class EventOrder:
    """A planner with one worker and a store, to which actions are applied."""

    def __init__(self, spec: JobSpec, make_planner: PlannerFactory) -> None:
        self._spec = spec
        self._make_planner = make_planner
        self._value_by_key: dict[str, bytes] = {}
        self._now = 0.0
        self._planner = self._load(1)
        self._batches: list[effects.Store] = []
        self._running: list[effects.Start] = []
        self._kind_by_call: dict[int, str] = {}
        self._told: set[str] = set()
        self._submissions_refused = 0
        self._ends: list[events.RunEnd] = []
        self._cursor = 0
        for action in ("poll", "wait"):  # the worker is usable, and a pass is due
            self.apply(action)

    def _load(self, term: int) -> Planner:
        planner = self._make_planner(PlannerSettings(term, LEASE_S, STATUS_S))
        planner.load(dict(self._value_by_key), self._now, int(self._now * 1000))
        planner.handle(events.RulesChanged(self._now, RULES))
        planner.handle(events.WorkerListed(self._now, WORKER))
        return planner

    def apply(self, action: str) -> None:
        """Apply an action.

        :raises ImpossibleError: if the action is not possible now
        """
        self._now += ACTION_S
        if action in ("submit", "cancel"):
            self._call(action)
        elif action in ("wait", "stall"):
            self._now += SHORT_WAIT_S if action == "wait" else STALL_S
            wall_ms, until = int(self._now * 1000), self._now + LEASE_S
            self._handle(events.Tick(self._now, wall_ms, until))
            self._handle(events.FlushDue(self._now))
        elif action in ("stored", "refused"):
            self._answer_batch(is_stored=action == "stored")
        elif action == "poll":
            self._poll()
        else:
            self._end_run(END_KIND_BY_ACTION[action])

    def _call(self, kind: str) -> None:
        call = len(self._kind_by_call) + 1
        self._kind_by_call[call] = kind
        if kind == "submit":
            self._handle(events.JobSubmitted(self._now, call, self._spec))
        else:
            self._handle(events.CancelRequested(self._now, call, self._spec.id))

    def _answer_batch(self, is_stored: bool) -> None:
        if not self._batches:
            raise ImpossibleError
        batch = self._batches.pop(0)
        if not is_stored:
            self._handle(events.BatchRefused(self._now, batch.number))
            return
        for record in batch.records:
            if record.value:
                self._value_by_key[record.key] = record.value
            else:
                self._value_by_key.pop(record.key, None)
        self._handle(events.BatchStored(self._now, batch.number))

    def _poll(self) -> None:
        worker = self._planner.state.worker_by_id[WORKER.id]
        running = tuple(
            events.RunProgress(s.task, s.run, "", 50) for s in self._running
        )
        ends = tuple(end for end in self._ends if end.number > self._cursor)
        self._handle(
            events.WorkerPolled(
                self._now,
                WORKER.id,
                self._now - 0.001,
                worker.token,
                WORKER.incarnation,
                int(self._now * 1000),
                running,
                ends,
            )
        )

    def _end_run(self, kind: events.EndKind) -> None:
        if not self._running:
            raise ImpossibleError
        start = self._running.pop()
        number = len(self._ends) + 1
        self._ends.append(events.RunEnd(number, start.task, start.run, kind, ""))
        self._poll()

    def _handle(self, event: events.Event) -> None:
        for effect in self._planner.handle(event):
            if isinstance(effect, effects.Store):
                self._batches.append(effect)
            elif isinstance(effect, effects.Start):
                self._running.append(effect)
            elif isinstance(effect, effects.Reply):
                self._on_reply(effect)
            elif isinstance(effect, effects.PollWorker):
                self._cursor = max(self._cursor, effect.cursor)

    def _on_reply(self, reply: effects.Reply) -> None:
        kind = self._kind_by_call[reply.call]
        if reply.status == OK:
            self._told.add(kind)
        elif kind == "submit" and reply.status == UNAVAILABLE:
            self._submissions_refused += 1

    def find_problems(self) -> Iterator[str]:
        """Compare what callers and the worker were told with what a successor loads."""
        job = self._load(2).state.job_by_id.get(self._spec.id)
        shown = self._planner.find_job_state(self._spec.id) or ""
        outcome = job.outcome.value if job is not None and job.outcome else ""
        if "submit" in self._told and job is None:
            yield "an accepted job is unknown to the successor"
        if "cancel" in self._told and job is not None and not outcome:
            yield "a cancelled job is run by the successor"
        if shown in [state.value for state in FINAL_STATES] and shown != outcome:
            yield f"a job shown as {shown} is not so for the successor"
        submissions = list(self._kind_by_call.values()).count("submit")
        if job is not None and submissions == self._submissions_refused:
            yield "a refused job is known to the successor"
        if job is not None and not outcome:
            yield from self._find_unknown_runs(job)

    def _find_unknown_runs(self, job: Job) -> Iterator[str]:
        task_by_id = {task.id: task for task in job.tasks()}
        if any(task_by_id[start.task].run < start.run for start in self._running):
            yield "a start is unknown to the successor"
        for end in self._ends[: self._cursor]:
            if not _has_taken_note(task_by_id[end.task], end):
                yield "an acknowledged end is unknown to the successor"


def _has_taken_note(task: Task, end: events.RunEnd) -> bool:
    """Whether the record of a task tells of the end of one of its runs."""
    if end.kind is events.EndKind.DONE:
        return task.state is TaskState.DONE or task.step.is_done
    if end.kind is events.EndKind.FAILED and not task.failed_attempts:
        return False
    return not task.worker or task.run > end.run


def search(
    spec: JobSpec, depth: int, make_planner: PlannerFactory = Planner
) -> Iterator[tuple[tuple[str, ...], str]]:
    """Yield the orders of at most ``depth`` actions with what is wrong after them.

    Each begins with the submission of the job. Only the state at its end is checked, as
    the states before are those of shorter orders.
    """
    for length in range(1, depth + 1):
        for later in itertools.product(ACTIONS, repeat=length - 1):
            actions = ("submit", *later)
            order = EventOrder(spec, make_planner)
            try:
                for action in actions:
                    order.apply(action)
            except ImpossibleError:
                continue
            for problem in order.find_problems():
                yield actions, problem
