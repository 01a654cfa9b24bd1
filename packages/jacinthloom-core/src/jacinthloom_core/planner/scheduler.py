"""Scheduling passes, which place the tasks of ready steps on workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.resources import Resources
from .advice_candidates import choose_candidates
from .crashes import (
    give_up,
    has_open_loss,
    has_used_up_starts,
    is_blamed,
)
from .isolation import IsolationPolicy
from .jobs import TaskState
from .order import HOPELESS_LEVELS
from .pass_room import PassRoom
from .placement import FreeCapacity, place_gang, place_tasks
from .preemption import Preemption
from .ready_groups import group_ready_steps
from .reservations import BUSY_SHARE, Reservations, ReservationTurns
from .sharing import may_share
from .step_context import StepContext

if TYPE_CHECKING:
    from .fleet import Worker
    from .jobs import StepRun, Task
    from .order import OrderPolicy, Rank
    from .ready_groups import ReadyGroup
    from .rules import Queue
    from .specs import StepId, StepSpec
    from .state import PlannerState

MAX_DRAINED_GANGS = 3
"""Maximum number of gangs for which workers are drained at the same time: a gang that
waits for the last of its workers leaves capacity idle on the others."""


MAX_PASS_WORK = 40_000
"""Maximum work of one pass. One unit takes about a microsecond, and the planner has to
renew its claim between two passes. The first half goes to the steps of lowest rank, the
second to those that this round of passes has not considered yet."""

WORK_PER_STEP = 10
WORK_PER_PLACEMENT = 40
"""Work of a step and of a placement, in looks at one worker."""


def _is_busy(workers: list[Worker]) -> bool:
    """Whether most of any resource of a pool of workers is in use."""
    capacities = [worker.entry.capacity for worker in workers if worker.entry]
    total = Resources(
        sum(capacity.processors for capacity in capacities),
        sum(capacity.memory for capacity in capacities),
        sum(capacity.accelerators for capacity in capacities),
    )
    used = Resources(
        total.processors - sum(worker.free_processors for worker in workers),
        total.memory - sum(worker.free_memory for worker in workers),
        total.accelerators - sum(worker.free_accelerators for worker in workers),
    )
    return used.dominant_share(total) >= BUSY_SHARE


class Scheduler:
    """Places waiting tasks on workers, in the order of the ranks of their steps."""

    def __init__(self, state: PlannerState, order: OrderPolicy) -> None:
        self._state = state
        self._order = order
        self._isolation = IsolationPolicy(state)
        self._preemption = Preemption(state)
        self._reservations = Reservations()
        self._reserved_limits: list[tuple[str, Resources, int]] = []
        self._waiting_suspects: list[tuple[StepRun, list[Worker]]] = []
        """Steps whose suspects were not placed, with the workers that may run them."""
        self._drained_gangs = 0
        self._room = PassRoom()
        self._undrainable_gangs: set[tuple[str, StepSpec]] = set()
        """Kinds of gangs that would not fit on drained workers either."""
        self._finished_steps: set[StepId] = set()
        """Steps that earlier passes of an unfinished round have considered."""
        self._turns = ReservationTurns()
        self._busy_services: set[str] = set()
        """Pools of which most is in use, as the current pass found them."""
        self.reason_by_step: dict[StepId, str] = {}
        """Why steps were not placed, or not entirely, in the last pass."""
        self.considered_steps = 0
        """Number of steps that were considered in the last pass."""
        self.skipped_steps = 0
        """Number of steps that it skipped, as what they need was known to be taken."""

    def run_pass(self, now: float) -> None:
        """Place the tasks that fit, and request the advice that is missing.

        A pass ends early if there is too much to do. It begins with the steps of lowest
        rank, and goes on with those that this round of passes has not considered.
        """
        self.reason_by_step = {}
        self.considered_steps = self.skipped_steps = 0
        self._drained_gangs = 0
        self._room.begin_pass()
        self._undrainable_gangs.clear()
        self._isolation.release_hosts(now)
        self._preemption.begin_pass(now)
        usable = self._group_usable(now)
        self._busy_services = {
            service for service, workers in usable.items() if _is_busy(workers)
        }
        placements = self._state.placements
        for group in group_ready_steps(self._state, self._order):
            workers = usable.get(group.queue.service, [])
            if not self._schedule_group(group, workers, placements, now):
                self._state.needs_pass = True
                break
        else:
            self._finished_steps.clear()
        for step, workers in self._waiting_suspects:
            # Some may have been held for a gang since the step was considered.
            free = [w for w in workers if self._preemption.may_use(step, w)]
            self._isolation.reserve_idle(step, free, now)
        self._waiting_suspects.clear()
        self._reservations.release()
        for client_account, size, count in self._reserved_limits:
            self._state.add_usage(client_account, size, -count)
        self._reserved_limits.clear()

    def _schedule_group(
        self, group: ReadyGroup, usable: list[Worker], placements: int, now: float
    ) -> bool:
        """Schedule steps that are alike.

        :param placements: number of placements at the start of the pass
        :returns: whether the pass may go on
        """
        wall_ms = self._state.wall_ms
        for step in group.steps:
            work = self._measure_work(placements)
            if work >= MAX_PASS_WORK:
                return False
            if work >= MAX_PASS_WORK / 2 and step.id in self._finished_steps:
                continue
            rank = self._order.rank(step, group.queue, wall_ms)
            step.slack_s = step.latest_start_s - wall_ms / 1000
            is_blocked = self._schedule_step(step, group.queue, rank, usable, now)
            self._finished_steps.add(step.id)
            if step.spec.gang and rank[0] not in HOPELESS_LEVELS:
                self._reserve_limit(step, now)
            if is_blocked and not self._state.crashed_task_by_id:
                break
        return True

    def _measure_work(self, placements: int) -> int:
        steps = self.considered_steps + self.skipped_steps
        return (
            self._room.visits
            + WORK_PER_STEP * steps
            + WORK_PER_PLACEMENT * (self._state.placements - placements)
        )

    def _reserve_limit(self, step: StepRun, now: float) -> None:
        """Keep later steps of a client account off the limit that a gang waits for.

        Smaller tasks would otherwise take each part of the limit as soon as it is free.
        """
        spec, account = step.spec, step.occurrence.job.spec.tenant
        if len(step.list_waiting()) < spec.count:
            return
        if self._state.count_allowed_when_idle(account, spec.size) < spec.count:
            return
        is_busy = self._state.uses_share_of_limit(account, BUSY_SHARE)
        if self._turns.may_reserve(f"account {account}", is_busy, now):
            self._state.add_usage(account, spec.size, spec.count)
            self._reserved_limits.append((account, spec.size, spec.count))

    def _group_usable(self, now: float) -> dict[str, list[Worker]]:
        """Return the workers that may be given tasks, by service."""
        usable: dict[str, list[Worker]] = {}
        for worker in self._state.worker_by_id.values():
            if worker.entry is not None and self._state.is_usable(worker, now):
                worker.slowness = self._state.worker_speeds.find_slowness(
                    worker.id, now
                )
                usable.setdefault(worker.entry.service, []).append(worker)
        return usable

    def _schedule_step(
        self, step: StepRun, queue: Queue, rank: Rank, usable: list[Worker], now: float
    ) -> bool:
        """Place the tasks of a step that fit.

        :returns: whether steps that are alike can't start either, in this pass
        """
        waiting = step.list_waiting()
        if not waiting or step.occurrence.job.is_over:
            return False
        advice = self._state.advice_requests.find(step.id) if queue.advice else None
        if (
            advice is not None
            and advice.is_request_pending
            and not advice.is_recommended_by_worker
        ):
            self.reason_by_step[step.id] = "a request for advice is in progress"
            return False
        suspects = self._isolation.find_suspects(step)
        if self._give_up_or_wait(step, suspects, now):
            return False
        if suspects and not step.spec.gang:
            # The other tasks of the step may crash their workers too.
            waiting = [task for task in suspects if task.is_waiting]
            if not waiting:
                self.reason_by_step[step.id] = (
                    "tasks that may have crashed their worker have not settled yet"
                )
                return False
        spec = step.spec
        allowed = self._state.count_allowed(step.occurrence.job.spec.tenant, spec.size)
        needed = spec.count if spec.gang else 1
        if len(waiting) < needed or allowed < needed:
            self.reason_by_step[step.id] = (
                f"{len(waiting)} tasks are waiting, and the limit of the client account"
                f" allows {allowed} more, but {needed} are needed"
            )
            return allowed < needed
        has_advice = advice is None or bool(advice.is_recommended_by_worker)
        # Advice takes time, and is asked for while the step waits for room.
        if has_advice and not suspects and self._is_known_to_be_full(step, queue):
            self.skipped_steps += 1
            return advice is None
        self.considered_steps += 1
        context = StepContext(step, queue, waiting[:allowed], advice, rank, now)
        if advice is None and not suspects and not spec.gang:
            return self._schedule_unadvised(context, usable)
        workers = self._select_fitting(step, usable)
        if advice is not None and not advice.is_recommended_by_worker:
            self.reason_by_step[step.id] = (
                f"no advice received yet; {len(workers)} workers are candidates"
            )
            self._request_advice(context, workers, context.waiting)
        elif spec.gang:
            self._schedule_gang(context, workers, suspects)
        elif suspects:
            self._schedule_isolated(context, workers)
        else:
            self._schedule_advised(context, workers)
        return False

    def _is_known_to_be_full(self, step: StepRun, queue: Queue) -> bool:
        """Whether this pass has found that no worker can take a step like this one."""
        spec = step.spec
        if self._has_workers_of_its_own(step):
            return False
        if not spec.gang:
            is_full = self._room.is_full(queue.service, spec)
            if is_full:
                self.reason_by_step[step.id] = "no worker has room for another task"
            return is_full
        may_drain = (
            self._drained_gangs < MAX_DRAINED_GANGS
            and (queue.service, spec) not in self._undrainable_gangs
        )
        if may_drain or self._preemption.may_make_room(step):
            return False
        is_full = self._room.is_full_for_gang(queue.service, step)
        if is_full:
            self.reason_by_step[step.id] = "not enough free capacity for the whole gang"
        return is_full

    def _give_up_or_wait(self, step: StepRun, suspects: list[Task], now: float) -> bool:
        """Give up a suspect that is to blame, or has no starts left.

        :returns: whether the step starts nothing, for that or while it is not known
        """
        for task in suspects:
            if not task.is_waiting:
                continue
            blamed = is_blamed(self._state, task, now)
            is_used_up = has_used_up_starts(task)
            if blamed or (is_used_up and not has_open_loss(task, now)):
                give_up(self._state, task, now)
                return True
            if blamed is None or is_used_up:
                self.reason_by_step[step.id] = (
                    "it is not known yet why a worker was lost under a task"
                )
                return True
        return False

    def _select_fitting(self, step: StepRun, usable: list[Worker]) -> list[Worker]:
        """Return the workers with the step's label and no tasks that rule it out."""
        spec = step.spec
        if spec.label:
            usable = [w for w in usable if w.entry and spec.label in w.entry.labels]
        if spec.fills or spec.target_s:
            usable = [worker for worker in usable if may_share(step, worker)]
        self._room.visit(usable)
        return [
            w
            for w in usable
            if self._isolation.may_start(step, w) and self._preemption.may_use(step, w)
        ]

    def _schedule_unadvised(self, context: StepContext, usable: list[Worker]) -> bool:
        """Place tasks that any worker may run.

        Steps that are alike share the free capacity, unless other placements intervene.

        :returns: whether steps that are alike can't start either, in this pass
        """
        step, service, room = context.step, context.queue.service, self._room
        spec = step.spec
        is_shared = not (spec.most_per_worker or spec.same_rack)
        is_shared = is_shared and not self._has_workers_of_its_own(step)
        capacity = None
        if is_shared:
            capacity = room.find_capacity(service, step, self._count_reservations())
        if capacity is None:
            capacity = FreeCapacity(step, self._select_fitting(step, usable))
        placed = capacity.place(context.waiting)
        for task, worker in placed:
            self._record_placement(task, worker, task.run + 1)
        if is_shared:
            room.keep_capacity(service, step, capacity, self._count_reservations())
        if len(placed) == len(context.waiting):
            return False
        self.reason_by_step[step.id] = "no worker has room for another task"
        if is_shared:
            room.note_full(service, spec)
        return is_shared

    def _has_workers_of_its_own(self, step: StepRun) -> bool:
        """Whether workers are kept for a step, or for the suspects of its job."""
        job = step.id.job
        return self._preemption.holds_for(step) or self._isolation.reserves_for(job)

    def _count_reservations(self) -> int:
        """Return a number that rises with all that takes capacity from other steps."""
        reserved = self._reservations.total + self._isolation.total
        return self._state.placements + reserved + self._preemption.holds

    def _schedule_advised(self, context: StepContext, workers: list[Worker]) -> None:
        """Place tasks on the workers that the advice service has recommended."""
        step, waiting = context.step, context.waiting
        placed = place_tasks(step, waiting, context.select_ticketed(workers))
        for task, worker in placed:
            self._record_placement(task, worker, task.run + 1)
        if len(placed) == len(waiting):
            return
        left = [task for task in waiting if not task.worker]
        possible = context.select_possible(workers)
        fitting = place_tasks(step, left, possible)
        self.reason_by_step[step.id] = (
            f"{len(fitting)} of {len(left)} tasks fit, but tickets are missing"
        )
        if fitting:
            self._request_advice(context, possible, left)
        elif not self._has_workers_of_its_own(step) and not any(
            w.has_capacity_for(step.spec.size, step.spec.fills) for w in workers
        ):
            self._room.note_full(context.queue.service, step.spec)

    def _schedule_isolated(self, context: StepContext, workers: list[Worker]) -> None:
        """Place suspects on one worker that starts nothing else meanwhile."""
        step, waiting = context.step, context.waiting
        ticketed = context.select_ticketed(workers)
        hosts = self._isolation.select_hosts(step, waiting, ticketed)
        host = self._isolation.choose_host(step, hosts)
        if host is not None:
            for task, worker in place_tasks(step, waiting, [host]):
                self._record_placement(task, worker, task.run + 1)
                self._isolation.isolate(task, worker, context.now)
            return
        self.reason_by_step[step.id] = "no worker is free for tasks under suspicion"
        possible = context.select_possible(workers)
        self._isolation.reserve(step, waiting, possible, context.now)
        self._waiting_suspects.append((step, possible))
        candidates = self._isolation.select_hosts(step, waiting, possible) or possible
        self._request_advice(context, candidates, waiting)

    def _place_gang(
        self, context: StepContext, workers: list[Worker], suspects: list[Task]
    ) -> list[tuple[Task, Worker]]:
        if not suspects:
            return place_gang(context.step, context.waiting, workers)
        return self._isolation.place_gang(
            context.step, context.waiting, suspects, workers
        )

    def _schedule_gang(
        self, context: StepContext, workers: list[Worker], suspects: list[Task]
    ) -> None:
        step, waiting = context.step, context.waiting
        placed = self._place_gang(context, context.select_ticketed(workers), suspects)
        if placed:
            step.run = max(step.run, *(task.run for task in waiting)) + 1
            checkpoint = next((t.checkpoint for t in waiting if t.checkpoint), "")
            for task, worker in placed:
                task.checkpoint = checkpoint
                self._record_placement(task, worker, step.run)
                if task in suspects:
                    self._isolation.isolate(task, worker, context.now)
            return
        possible = context.select_possible(workers)
        if suspects:
            self._isolation.reserve(step, suspects, possible, context.now)
        fitting = place_gang(step, waiting, possible)
        if fitting:
            self.reason_by_step[step.id] = "the gang fits, but tickets are missing"
            if self._may_reserve(context):
                for _, worker in fitting:
                    self._reservations.reserve(worker, step.spec.size, step.spec.fills)
            self._request_advice(context, possible, waiting)
            return
        self.reason_by_step[step.id] = "not enough free capacity for the whole gang"
        is_alike = context.advice is None and not suspects
        if is_alike and not self._has_workers_of_its_own(step):
            self._room.note_full_for_gang(context.queue.service, step)
        if not suspects:
            # Capacity that is reserved for a step ahead is not made part of a hold.
            permitted = [
                worker
                for worker in context.select_permitted(possible)
                if not self._reservations.concern(worker)
            ]
            obstacle = self._preemption.make_room(
                step, context.queue, permitted, context.now
            )
            if not obstacle:
                self.reason_by_step[step.id] = "runs are being stopped to make room"
                return
            self.reason_by_step[step.id] += f"; none is made: {obstacle}"
        if self._drained_gangs < MAX_DRAINED_GANGS:
            self._drain_for_gang(context, possible)

    def _may_reserve(self, context: StepContext) -> bool:
        service = context.queue.service
        is_busy = service in self._busy_services
        return self._turns.may_reserve(f"service {service}", is_busy, context.now)

    def _drain_for_gang(self, context: StepContext, possible: list[Worker]) -> None:
        """Place no more tasks on the workers that can soonest take a gang."""
        spec, advice = context.step.spec, context.advice
        missing = spec.count

        def rank(worker: Worker) -> tuple[bool, int]:
            is_known = advice is None or worker.id in advice.is_recommended_by_worker
            return (not is_known, -worker.count_fitting(spec.size, spec.fills))

        drained: list[Worker] = []
        for worker in sorted(possible, key=rank):
            if missing <= 0:
                break
            if fitting := worker.count_fitting_when_drained(spec.size, spec.fills):
                drained.append(worker)
                missing -= fitting
        if missing > 0:
            # Draining them all would block other steps for a gang that can't run.
            self.reason_by_step[context.step.id] = "too few workers can run the gang"
            if advice is None:
                self._undrainable_gangs.add((context.queue.service, spec))
            return
        self._drained_gangs += 1
        if self._may_reserve(context):
            for worker in drained:
                self._reservations.reserve_all(worker)
        if any(rank(worker)[0] for worker in drained):
            self._request_advice(context, possible, context.waiting)

    def _request_advice(
        self, context: StepContext, workers: list[Worker], tasks: list[Task]
    ) -> None:
        """Request advice on some workers, unless a request is in progress."""
        advice, policy = context.advice, context.queue.advice
        if advice is None or policy is None:
            return
        if advice.is_request_pending or context.now < advice.retry_at:
            return
        names = choose_candidates(
            context.step, workers, len(tasks), advice, context.now
        )
        if names:
            self._state.advice_requests.enqueue(
                context.step.id, names, policy, context.rank
            )

    def _record_placement(self, task: Task, worker: Worker, run: int) -> None:
        """Record a placement; the order is sent once the record is stored."""
        state = self._state
        state.place(task, worker)
        task.run = run
        task.state = TaskState.PLACED
        state.store_occurrence(task.step.occurrence)
        state.batches.pending.starts.append((task, run))
