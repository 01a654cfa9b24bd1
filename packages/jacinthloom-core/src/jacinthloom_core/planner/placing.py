"""One pass over the steps that are ready: tickets, room, limits, records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .effects import Start
from .jobs import TaskState
from .order import LatestStartOrder
from .placement import place_gang, place_tasks
from .sharing import may_share

if TYPE_CHECKING:
    from .advice import StepAdvice
    from .books import Books
    from .fleet import Worker
    from .jobs import StepRun, Task
    from .order import OrderPolicy, Rank
    from .rules import Queue
    from .specs import StepId

URGENT_PRIORITY = 0
"""Priority of queues whose steps may use room that is kept for a gang."""


HOPELESS = 2
"""Lateness from which a step earns nothing: no room is kept for it."""


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

    def may_be_good(self, worker: Worker) -> bool:
        """Whether a worker is not known to be refused."""
        return self.advice is None or self.advice.may_be_good(worker)

    def select_ticketed(self, workers: list[Worker]) -> list[Worker]:
        """Return the workers on which the step may start now."""
        advice = self.advice
        if advice is None:
            return workers
        return [w for w in workers if advice.find_ticket(w, self.now)]


class Placing:
    """Places waiting tasks on workers, in the order of their ranks."""

    def __init__(self, books: Books, order: OrderPolicy | None = None) -> None:
        self._books = books
        self._order = order or LatestStartOrder()
        self._kept: set[str] = set()
        self.reason_by_step: dict[StepId, str] = {}
        """Why each step that waits was not placed in the last pass."""

    def run(self, now: float) -> None:
        """Place what can be placed, and ask for the advice that is missing."""
        books = self._books
        self._kept = set()
        self.reason_by_step = {}
        usable = [w for w in books.worker_by_id.values() if self._is_usable(w, now)]
        for worker in usable:
            worker.slowness = books.speeds.find_slowness(worker.id, now)
        for rank, step, queue in self._sort_ready():
            waiting = step.waiting()
            if waiting:
                advice = books.desk.find(step.id) if queue.advice else None
                self._serve(_Turn(step, queue, waiting, advice, rank, now), usable)

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

    def _serve(self, turn: _Turn, usable: list[Worker]) -> None:
        step, spec = turn.step, turn.step.spec
        fitting = [
            worker
            for worker in usable
            if worker.entry is not None
            and worker.entry.service == turn.queue.service
            and (not spec.label or spec.label in worker.entry.labels)
            and may_share(step, worker)
        ]
        if turn.advice is not None and not turn.advice.is_good_by_worker:
            self.reason_by_step[step.id] = (
                f"no advice yet on {len(fitting)} workers of {len(usable)}"
            )
            self._ask(turn, fitting)
            return
        good = [worker for worker in fitting if turn.may_be_good(worker)]
        if turn.queue.priority > URGENT_PRIORITY:
            good = [worker for worker in good if worker.id not in self._kept]
        tenant = step.occurrence.job.spec.tenant
        allowed = self._books.count_allowed(tenant, spec.size)
        if spec.gang:
            self._serve_gang(turn, good, allowed)
        elif not allowed:
            self.reason_by_step[step.id] = "its client account is at its limit"
        else:
            self._serve_tasks(turn, good, turn.waiting[:allowed])

    def _serve_tasks(
        self, turn: _Turn, good: list[Worker], waiting: list[Task]
    ) -> None:
        step = turn.step
        placed = place_tasks(step, waiting, turn.select_ticketed(good))
        for task, worker in placed:
            self._commit(task, worker, task.run + 1)
        if turn.advice is None or len(placed) == len(waiting):
            return
        left = [task for task in waiting if not task.worker]
        wanted = place_tasks(step, left, good)
        self.reason_by_step[step.id] = (
            f"{len(wanted)} of {len(left)} tasks have room without a ticket"
        )
        if wanted:
            self._ask(turn, [worker for _, worker in wanted])

    def _serve_gang(self, turn: _Turn, good: list[Worker], allowed: int) -> None:
        step, waiting = turn.step, turn.waiting
        if len(waiting) < step.spec.count or allowed < step.spec.count:
            self.reason_by_step[step.id] = (
                f"gang: {len(waiting)} of {step.spec.count} are free to start,"
                f" {allowed} allowed"
            )
            return
        placed = place_gang(step, waiting, turn.select_ticketed(good))
        if placed:
            step.run = max(step.run, *(task.run for task in waiting)) + 1
            checkpoint = next((t.checkpoint for t in waiting if t.checkpoint), "")
            for task, worker in placed:
                task.checkpoint = checkpoint
                self._commit(task, worker, step.run)
            return
        self.reason_by_step[step.id] = "there is no room for the whole gang"
        wanted = place_gang(step, waiting, good)
        if wanted:
            self._ask(turn, [worker for _, worker in wanted])
        elif not self._kept and turn.rank[0] < HOPELESS:
            self._keep_room(step, good)

    def _keep_room(self, step: StepRun, good: list[Worker]) -> None:
        """Keep the workers that will soonest have room for a gang."""
        missing = step.spec.count
        size = step.spec.size
        for worker in sorted(good, key=lambda w: -w.count_room(size)):
            if missing <= 0 or worker.entry is None:
                return
            self._kept.add(worker.id)
            whole = worker.entry.capacity.processors // max(1, size.processors)
            missing -= max(1, whole)

    def _ask(self, turn: _Turn, workers: list[Worker]) -> None:
        """Ask which of some workers may run the step, unless that is under way."""
        advice, policy = turn.advice, turn.queue.advice
        if advice is None or policy is None or not workers:
            return
        if advice.is_asking or turn.now < advice.retry_at:
            return
        names = tuple(dict.fromkeys(worker.id for worker in workers))
        self._books.desk.ask(turn.step.id, names, policy, turn.rank)

    def _commit(self, task: Task, worker: Worker, run: int) -> None:
        """Record a placement; the order leaves once the record is stored."""
        books = self._books
        books.place(task, worker)
        task.run = run
        task.state = TaskState.PLACED
        books.change(task.step.occurrence)
        books.ledger.pending.starts.append((task, run))

    # After the record is stored

    def start_stored(self, starts: list[tuple[Task, int]], now: float) -> None:
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
        if not self._is_usable(worker, now) or worker.life != task.life:
            return "worker is no longer usable"
        if self._needs_ticket(task) and not self._find_ticket(task, worker, now):
            return "ticket has expired"
        return ""

    def _needs_ticket(self, task: Task) -> bool:
        name = task.step.occurrence.job.spec.queue
        queue = self._books.queue_by_name.get(name)
        return queue is not None and queue.advice is not None

    def _find_ticket(self, task: Task, worker: Worker, now: float) -> str:
        advice = self._books.desk.find(task.step.id)
        ticket = advice.ticket_by_worker.get(worker.id)
        if ticket is None or ticket.life != worker.life or ticket.valid_until < now:
            return ""
        return ticket.text

    def _start(self, task: Task, now: float) -> None:
        task.step.occurrence.job.has_started = True
        task.state = TaskState.STARTING
        task.placed_at = now
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
