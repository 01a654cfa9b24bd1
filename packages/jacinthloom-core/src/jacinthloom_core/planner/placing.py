"""One pass over the steps that are ready: tickets, room, limits, records."""

from __future__ import annotations

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
                self._serve(step, queue, waiting, usable, rank, now)

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
        self,
        step: StepRun,
        queue: Queue,
        waiting: list[Task],
        usable: list[Worker],
        rank: Rank,
        now: float,
    ) -> None:
        spec = step.spec
        fitting = [
            worker
            for worker in usable
            if worker.entry is not None
            and worker.entry.service == queue.service
            and (not spec.label or spec.label in worker.entry.labels)
            and may_share(step, worker)
        ]
        advice = self._books.desk.find(step.id) if queue.advice else None
        if advice is not None and not advice.is_good_by_worker:
            self.reason_by_step[step.id] = (
                f"no advice yet on {len(fitting)} workers of {len(usable)}"
            )
            self._ask(step, queue, advice, fitting, rank, now)
            return
        good = [w for w in fitting if advice is None or advice.may_be_good(w)]
        if queue.priority > URGENT_PRIORITY:
            good = [worker for worker in good if worker.id not in self._kept]
        tenant = step.occurrence.job.spec.tenant
        allowed = self._books.count_allowed(tenant, spec.size)
        if spec.gang:
            self._serve_gang(step, queue, waiting, good, advice, allowed, rank, now)
        elif not allowed:
            self.reason_by_step[step.id] = "its client account is at its limit"
        else:
            self._serve_tasks(step, queue, waiting[:allowed], good, advice, rank, now)

    def _serve_tasks(
        self,
        step: StepRun,
        queue: Queue,
        waiting: list[Task],
        good: list[Worker],
        advice: StepAdvice | None,
        rank: Rank,
        now: float,
    ) -> None:
        ticketed = [w for w in good if advice is None or advice.find_ticket(w, now)]
        placed = place_tasks(step, waiting, ticketed)
        for task, worker in placed:
            self._commit(task, worker, max(task.run, 0) + 1)
        if advice is None or len(placed) == len(waiting):
            return
        left = [task for task in waiting if not task.worker]
        wanted = place_tasks(step, left, good)
        self.reason_by_step[step.id] = (
            f"{len(wanted)} of {len(left)} tasks have room without a ticket"
        )
        if wanted:
            names = {worker.id: worker for _, worker in wanted}
            self._ask(step, queue, advice, list(names.values()), rank, now)

    def _serve_gang(
        self,
        step: StepRun,
        queue: Queue,
        waiting: list[Task],
        good: list[Worker],
        advice: StepAdvice | None,
        allowed: int,
        rank: Rank,
        now: float,
    ) -> None:
        self.reason_by_step[step.id] = (
            f"gang: {len(waiting)} of {step.spec.count} are free to start,"
            f" {allowed} allowed"
        )
        if len(waiting) < step.spec.count or allowed < step.spec.count:
            return
        ticketed = [w for w in good if advice is None or advice.find_ticket(w, now)]
        placed = place_gang(step, waiting, ticketed)
        if placed:
            step.run = max(step.run, *(task.run for task in waiting)) + 1
            checkpoint = next((t.checkpoint for t in waiting if t.checkpoint), "")
            for task, worker in placed:
                task.checkpoint = checkpoint
                self._commit(task, worker, step.run)
            del self.reason_by_step[step.id]
            return
        self.reason_by_step[step.id] = "there is no room for the whole gang"
        wanted = place_gang(step, waiting, good)
        if wanted and advice is not None:
            names = {worker.id: worker for _, worker in wanted}
            self._ask(step, queue, advice, list(names.values()), rank, now)
        elif not wanted and not self._kept and rank[0] < 2:
            self._keep_room(step, good)

    def _keep_room(self, step: StepRun, good: list[Worker]) -> None:
        """Keep the workers that will soonest have room for a gang."""
        missing = step.spec.count
        size = step.spec.size
        for worker in sorted(good, key=lambda w: -w.count_room(size)):
            if missing <= 0 or worker.entry is None:
                return
            self._kept.add(worker.id)
            missing -= max(
                1, worker.entry.capacity.processors // max(1, size.processors)
            )

    def _ask(
        self,
        step: StepRun,
        queue: Queue,
        advice: StepAdvice,
        workers: list[Worker],
        rank: Rank,
        now: float,
    ) -> None:
        if advice.is_asking or now < advice.retry_at or not workers:
            return
        assert queue.advice is not None
        urgency = rank[0] * 1e12 + rank[1] * 1e10 + rank[2]
        names = tuple(worker.id for worker in workers)
        self._books.desk.ask(step.id, names, queue.advice, urgency)

    def _commit(self, task: Task, worker: Worker, run: int) -> None:
        """Record a placement; the order leaves once the record is stored."""
        books = self._books
        books.place(task, worker)
        task.run = run
        task.state = TaskState.PLACED
        books.change(task.step.occurrence)
        books.ledger.pending.starts.append((task, run))
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
        occurrence = task.step.occurrence
        occurrence.has_started = True
        occurrence.job.has_started = True
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
