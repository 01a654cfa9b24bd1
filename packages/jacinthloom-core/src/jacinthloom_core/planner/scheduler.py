"""One pass over the steps that are ready: tickets, room, limits, records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .advice_candidates import choose_candidates
from .effects import Start
from .jobs import TaskState
from .placement import place_gang, place_tasks
from .reservations import Reservations
from .sharing import may_share

if TYPE_CHECKING:
    from .advice import StepAdvice
    from .fleet import Worker
    from .jobs import StepRun, Task
    from .order import OrderPolicy, Rank
    from .rules import Queue
    from .specs import StepId
    from .state import PlannerState

MAX_DRAINED_GANGS = 3
"""Gangs for which workers are drained at the same time: each that waits for the last of
its workers leaves room idle on the others."""


@dataclass(frozen=True, slots=True)
class _Turn:
    """One step in one pass.

    :param waiting: its tasks that may be placed
    :param advice: what is known about workers, or None if any may run it
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
        found = advice.ticket_by_worker
        return [w for w in workers if w.id in found and advice.find_ticket(w, self.now)]

    def select_possible(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers that are not known to be refused."""
        advice = self.advice
        if advice is None:
            return workers
        return [worker for worker in workers if advice.may_be_good(worker)]


class Scheduler:
    """Places waiting tasks on workers, in the order of their ranks."""

    def __init__(self, books: PlannerState, order: OrderPolicy) -> None:
        self._books = books
        self._order = order
        self._reservations = Reservations()
        self._drained = 0
        self.reason_by_step: dict[StepId, str] = {}
        """Why each step that waits was not placed in the last pass."""
        self.served = 0
        """Steps that were looked at in the last pass."""

    def run(self, now: float) -> None:
        """Place what can be placed, and ask for the advice that is missing."""
        self.reason_by_step = {}
        self.served = 0
        self._drained = 0
        usable = self._group_usable(now)
        for rank, step, queue in self._sort_ready():
            self._serve(step, queue, rank, usable.get(queue.service, []), now)
        self._reservations.release()

    def _group_usable(self, now: float) -> dict[str, list[Worker]]:
        """Return the workers that may get starts, by their service."""
        usable: dict[str, list[Worker]] = {}
        for worker in self._books.worker_by_id.values():
            if worker.entry is not None and self._is_usable(worker, now):
                worker.slowness = self._books.worker_speeds.find_slowness(
                    worker.id, now
                )
                usable.setdefault(worker.entry.service, []).append(worker)
        return usable

    def _is_usable(self, worker: Worker, now: float) -> bool:
        if not worker.is_usable(now) or worker.entry is None:
            return False
        return worker.entry.zone not in self._books.zones_out

    def _sort_ready(self) -> list[tuple[Rank, StepRun, Queue]]:
        rows = []
        for step in self._books.ready_by_id.values():
            queue = self._books.queue_by_name.get(step.occurrence.job.spec.queue)
            if queue is not None:
                rank = self._order.rank(step, queue, self._books.wall_ms)
                rows.append((rank, step, queue))
        rows.sort(key=lambda row: (row[0], row[1].id))
        return rows

    def _serve(
        self, step: StepRun, queue: Queue, rank: Rank, usable: list[Worker], now: float
    ) -> None:
        waiting = step.waiting()
        if not waiting:
            return
        advice = self._books.advice_requests.find(step.id) if queue.advice else None
        if advice is not None and advice.is_asking and not advice.is_good_by_worker:
            self.reason_by_step[step.id] = "advice on workers is under way"
            return
        spec = step.spec
        allowed = self._books.count_allowed(step.occurrence.job.spec.tenant, spec.size)
        needed = spec.count if spec.gang else 1
        if len(waiting) < needed or allowed < needed:
            self.reason_by_step[step.id] = (
                f"{len(waiting)} tasks are free to start, and the limit of the client"
                f" account allows {allowed} more; {needed} are needed"
            )
            return
        self.served += 1
        turn = _Turn(step, queue, waiting[:allowed], advice, rank, now)
        workers = self._select_fitting(step, usable)
        if advice is not None and not advice.is_good_by_worker:
            self.reason_by_step[step.id] = (
                f"there is no advice yet; {len(workers)} workers may be asked about"
            )
            self._ask(turn, workers, turn.waiting)
        elif spec.gang:
            self._serve_gang(turn, workers)
        else:
            self._serve_tasks(turn, workers)

    def _select_fitting(self, step: StepRun, usable: list[Worker]) -> list[Worker]:
        """Return the workers that have the step's label and may share with it."""
        spec = step.spec
        if spec.label:
            usable = [w for w in usable if w.entry and spec.label in w.entry.labels]
        if spec.fills or spec.target_s:
            usable = [worker for worker in usable if may_share(step, worker)]
        return usable

    def _serve_tasks(self, turn: _Turn, workers: list[Worker]) -> None:
        step, waiting = turn.step, turn.waiting
        placed = place_tasks(step, waiting, turn.select_ticketed(workers))
        for task, worker in placed:
            self._record_placement(task, worker, task.run + 1)
        if len(placed) == len(waiting):
            return
        left = [task for task in waiting if not task.worker]
        possible = turn.select_possible(workers) if turn.advice is not None else []
        wanted = place_tasks(step, left, possible)
        self.reason_by_step[step.id] = (
            f"{len(wanted)} of {len(left)} tasks have room without a ticket"
        )
        if wanted:
            self._ask(turn, possible, left)

    def _serve_gang(self, turn: _Turn, workers: list[Worker]) -> None:
        step, waiting = turn.step, turn.waiting
        placed = place_gang(step, waiting, turn.select_ticketed(workers))
        if placed:
            step.run = max(step.run, *(task.run for task in waiting)) + 1
            checkpoint = next((t.checkpoint for t in waiting if t.checkpoint), "")
            for task, worker in placed:
                task.checkpoint = checkpoint
                self._record_placement(task, worker, step.run)
            return
        possible = turn.select_possible(workers)
        wanted = place_gang(step, waiting, possible)
        if wanted:
            self.reason_by_step[step.id] = "the gang has room without tickets"
            for _, worker in wanted:
                self._reservations.reserve(worker, step.spec.size, step.spec.fills)
            self._ask(turn, possible, waiting)
            return
        self.reason_by_step[step.id] = "there is no room for the whole gang"
        if self._drained < MAX_DRAINED_GANGS:
            self._drain(turn, possible)

    def _drain(self, turn: _Turn, possible: list[Worker]) -> None:
        """Leave the workers alone that will soonest have room for a gang."""
        spec, advice = turn.step.spec, turn.advice
        missing = spec.count

        def rank(worker: Worker) -> tuple[bool, int]:
            is_known = advice is None or worker.id in advice.is_good_by_worker
            return (not is_known, -worker.count_room(spec.size, spec.fills))

        drained: list[Worker] = []
        for worker in sorted(possible, key=rank):
            if missing <= 0:
                break
            drained.append(worker)
            missing -= worker.count_room_when_empty(spec.size, spec.fills)
        if missing > 0:
            # Draining all of them would stop others for a gang that can't run.
            self.reason_by_step[turn.step.id] = "too few workers may run the gang"
            return
        self._drained += 1
        for worker in drained:
            self._reservations.reserve_all(worker)
        if any(rank(worker)[0] for worker in drained):
            self._ask(turn, possible, turn.waiting)

    def _ask(self, turn: _Turn, workers: list[Worker], tasks: list[Task]) -> None:
        """Ask which of some workers may run the step, unless that is under way."""
        advice, policy = turn.advice, turn.queue.advice
        if advice is None or policy is None:
            return
        if advice.is_asking or turn.now < advice.retry_at:
            return
        names = choose_candidates(turn.step, workers, len(tasks), advice, turn.now)
        if names:
            self._books.advice_requests.ask(turn.step.id, names, policy, turn.rank)

    def _record_placement(self, task: Task, worker: Worker, run: int) -> None:
        """Record a placement; the order leaves once the record is stored."""
        books = self._books
        books.place(task, worker)
        task.run = run
        task.state = TaskState.PLACED
        books.change(task.step.occurrence)
        books.batches.pending.starts.append((task, run))

    # After the record is stored

    def send_starts(self, starts: list[tuple[Task, int]], now: float) -> None:
        """Order the starts of a stored batch that are still allowed."""
        aborted: set[int] = set()
        for task, run in starts:
            if task.state is not TaskState.PLACED or task.run != run:
                continue
            reason = self._find_obstacle(task, now)
            if not reason and id(task.step) in aborted:
                reason = "another member can't start"
            if reason:
                if task.step.spec.gang:
                    aborted.add(id(task.step))
                self._books.note(
                    "start_dropped", task=list(task.id), run=run, reason=reason
                )
                self._books.requeue(task)
            else:
                self._start(task, now)
        for task, run in starts:
            is_member = id(task.step) in aborted and task.run == run
            if is_member and task.state is TaskState.STARTING:
                self._books.stop(task)

    def _find_obstacle(self, task: Task, now: float) -> str:
        worker = self._books.worker_by_id[task.worker]
        if task.step.occurrence.job.is_over:
            return "job is over"
        if not self._is_usable(worker, now) or worker.incarnation != task.incarnation:
            return "worker is no longer usable"
        if self._needs_ticket(task) and not self._find_ticket(task, worker, now):
            return "ticket has expired"
        return ""

    def _needs_ticket(self, task: Task) -> bool:
        name = task.step.occurrence.job.spec.queue
        queue = self._books.queue_by_name.get(name)
        return queue is not None and queue.advice is not None

    def _find_ticket(self, task: Task, worker: Worker, now: float) -> str:
        advice = self._books.advice_requests.find(task.step.id)
        ticket = advice.ticket_by_worker.get(worker.id)
        if (
            ticket is None
            or ticket.incarnation != worker.incarnation
            or ticket.valid_until < now
        ):
            return ""
        return ticket.text

    def _start(self, task: Task, now: float) -> None:
        task.step.occurrence.job.has_started = True
        task.state = TaskState.STARTING
        task.placed_at = now
        task.is_resumed = bool(task.checkpoint)
        task.is_gauged = False
        task.percent = 0
        task.progress_at = 0.0
        task.confirmed_at = 0.0
        self.order_start(task, now)

    def order_start(self, task: Task, now: float) -> None:
        """Send the order to start a task, or send it again."""
        books = self._books
        worker = books.worker_by_id[task.worker]
        assert worker.entry is not None
        lease_s = books.settings.lease_s
        ticket = (
            self._find_ticket(task, worker, now) if self._needs_ticket(task) else ""
        )
        worker.extend_lease(now, lease_s)
        books.note("task_started", task=list(task.id), run=task.run, on=worker.id)
        books.effects.append(
            Start(
                worker.id,
                worker.entry.address,
                worker.token,
                task.id,
                task.run,
                task.step.occurrence.job.spec.payload,
                task.checkpoint,
                ticket,
                worker.compute_deadline_ms(now, lease_s),
            )
        )
