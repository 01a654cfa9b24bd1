"""A course: planners, workers and a store, with faults drawn from a seed."""

from __future__ import annotations

import zlib
from collections import Counter, deque
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.planner import TICK_S, Planner
from jacinthloom_core.planner.rules import AdvicePolicy, ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.planner.state import PlannerSettings

from .clock import VirtualClock
from .rule_checker import RuleChecker
from .worker import Gangs, VirtualWorker

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.effects import Effect

LEASE_S = 6.0
LATENCY_S = 0.004
FAULTS_END_S = 25.0
END_S = 90.0
MAX_ATTEMPTS = 2
TENANT_LIMIT = 3_000
TICKET_S = 2.0


@dataclass(slots=True)
class Scenario:
    """How rough a course is.

    :param lost: share of orders whose answer is lost
    :param late: share of orders that are carried out seconds later
    :param jobs: jobs that are submitted
    """

    seed: int
    lost: float = 0.03
    late: float = 0.03
    jobs: int = 60
    workers: int = 6


class VirtualStore:
    """Keyed records behind a fence; may be down, slow, or lose answers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.value_by_key: dict[str, bytes] = {}
        self.term = 0
        self.is_down = False
        self.refuses = False
        """Whether it says at once that it did nothing, in place of silence."""
        self.slowness = 1.0

    def append(self, term: int, store: effects.Store) -> bool:
        """Append a batch; return whether the term may."""
        if term < self.term:
            return False
        for record in store.records:
            if record.value:
                self.value_by_key[record.key] = record.value
            else:
                self.value_by_key.pop(record.key, None)
        return True


class PlannerProcess:
    """A planner of one term, with its connections."""

    def __init__(self, world: World, term: int, load: bool = True) -> None:
        self._world = world
        self.term = term
        self.is_alive = True
        self.is_frozen = False
        self._missed: deque[Callable[[], None]] = deque()
        settings = PlannerSettings(term, LEASE_S, 120.0)
        self.planner = world.make_planner(settings)
        now = world.clock.now
        world.store.term = term
        records = dict(world.store.value_by_key) if load else {}
        self.planner.load(records, now, int(now * 1000))
        self.handle(events.RulesChanged(now, world.rules))
        self.handle(events.MemberJoined(now, "member"))
        for worker in world.workers.values():
            if worker.is_up:
                self.handle(events.WorkerListed(now, world.make_entry(worker)))
        self._tick()

    def run(self, call: Callable[[], None]) -> None:
        """Run a callback, unless the process is gone; later if it is frozen."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._missed.append(call)
        else:
            call()

    def thaw(self) -> None:
        """Run what was missed."""
        self.is_frozen = False
        while self._missed and not self.is_frozen:
            self._missed.popleft()()

    def _tick(self) -> None:
        now = self._world.clock.now
        self.handle(events.Tick(now, int(now * 1000)))
        if self.is_alive:
            self._world.clock.after(TICK_S, lambda: self.run(self._tick))

    def handle(self, event: events.Event) -> None:
        """Reduce an event and carry out its effects."""
        if not self.is_alive:
            return
        for effect in self.planner.handle(event):
            self._world.carry_out(self, effect)
        due = self.planner.next_due
        if due is not None:
            delay = max(0.001, due - self._world.clock.now)
            self._world.clock.after(delay, lambda: self.run(self._flush))

    def _flush(self) -> None:
        due = self.planner.next_due
        if due is not None and due <= self._world.clock.now:
            self.handle(events.FlushDue(self._world.clock.now))


class World:
    """Everything around the planners."""

    def __init__(
        self,
        scenario: Scenario,
        make_planner: Callable[[PlannerSettings], Planner] = Planner,
    ) -> None:
        self.random = Random(scenario.seed)
        self.course = scenario
        self.make_planner = make_planner
        self.clock = VirtualClock()
        self.store = VirtualStore(self.random)
        limits = {f"t{number}": TENANT_LIMIT for number in range(3)}
        self.checker = RuleChecker(limits, MAX_ATTEMPTS)
        self.gangs = Gangs(self.checker)
        self.rules = _make_rules()
        self.workers = {
            f"w{number}": VirtualWorker(
                f"w{number}",
                Resources(1_000, 1_000),
                self.clock,
                self.checker,
                self.gangs,
                self.random,
            )
            for number in range(scenario.workers)
        }
        self._ticket_until: dict[str, float] = {}
        self._cut: dict[str, float] = {}
        self._term = 0
        self._calls = 0
        self._call_by_number: dict[int, tuple[str, str]] = {}
        self._open_tries: Counter[str] = Counter()
        """Submissions of each job that were not refused."""
        self.current: PlannerProcess | None = None
        self.counts: dict[str, int] = {}

    @property
    def has_faults(self) -> bool:
        """Whether faults may still come."""
        return self.clock.now < FAULTS_END_S

    def make_entry(self, worker: VirtualWorker) -> WorkerEntry:
        """Return what a worker says of itself."""
        return WorkerEntry(
            worker.id,
            "service",
            f"{worker.id}:1",
            "z",
            True,
            worker.capacity,
            frozenset({"a", "r1-1"}),
            "r1-1",
            worker.incarnation,
        )

    # The course

    def run(self) -> None:
        """Play the course and check its end."""
        self._elect()
        for _ in range(self.course.jobs):
            self.clock.after(self.random.uniform(0.2, FAULTS_END_S), self._submit)
        for _ in range(12):
            self.clock.after(self.random.uniform(1, FAULTS_END_S), self._disturb)
        self._watch_leases()
        self.clock.run_until(END_S)
        self._check_end()

    def _check_end(self) -> None:
        assert self.current is not None
        for job in self.checker.accepted:
            state = self.current.planner.find_job_state(job)
            self.checker.on_shown(job, state)
            if state not in ("completed", "failed", "cancelled"):
                reasons = self.current.planner.state
                raise AssertionError(
                    f"{job} is {state} at the end: "
                    f"{self.checker.job_by_id[job]} {reasons.job_by_id[job]}"
                )
            if (
                state == "failed"
                and "poison" not in self.checker.job_by_id[job].payload
            ):
                worst = max(
                    count
                    for step, count in self.checker.failures_by_step.items()
                    if step.job == job
                )
                if worst < MAX_ATTEMPTS:
                    raise AssertionError(f"{job} failed after {worst} failures")

    def _watch_leases(self) -> None:
        for worker in self.workers.values():
            if worker.is_up:
                worker.check_lease()
        self.clock.after(0.05, self._watch_leases)

    def _elect(self) -> None:
        self._term += 1
        old = self.current
        if old is not None and old.is_alive and not old.is_frozen:
            self.clock.after(self.random.uniform(0, 2), lambda: _kill(old))
        self.current = PlannerProcess(self, self._term)

    def _submit(self) -> None:
        job = f"{self.random.getrandbits(64):016x}"
        steps = tuple(self._draw_step(number) for number in range(2))
        steps = steps[: self.random.choice((1, 1, 2))]
        payload = "poison" if self.random.random() < 0.1 else "text"
        tenant = f"t{self.random.randrange(3)}"
        queue = self.random.choice(("fast", "slow", "advised"))
        spec = JobSpec(job, queue, tenant, payload, steps, int(self.clock.now * 1000))
        self.checker.job_by_id[job] = spec
        self._try_submit(spec, 6)
        if self.random.random() < 0.15:
            self.clock.after(self.random.uniform(0, 4), lambda: self._cancel(job))

    def _draw_step(self, number: int) -> StepSpec:
        is_gang = self.random.random() < 0.3
        return StepSpec(
            count=self.random.choice((2, 3, 4) if is_gang else (1, 2, 4, 8)),
            size=Resources(self.random.choice((100, 250, 400)), 100),
            estimate_s=self.random.uniform(0.1, 5),
            after=(0,) if number else (),
            gang=is_gang,
            most_per_worker=self.random.choice((0, 0, 2)) if number else 0,
        )

    def _try_submit(self, spec: JobSpec, tries: int) -> None:
        self._open_tries[spec.id] += 1
        self.checker.refused.discard(spec.id)
        self._call("submit", spec.id, lambda c, n: events.JobSubmitted(n, c, spec))
        if tries > 1:
            delay = self.random.uniform(0.3, 1.5)
            self.clock.after(delay, lambda: self._retry(spec, tries - 1))

    def _retry(self, spec: JobSpec, tries: int) -> None:
        if spec.id not in self.checker.accepted or self.random.random() < 0.1:
            self._try_submit(spec, tries)

    def _cancel(self, job: str) -> None:
        if job in self.checker.accepted:
            self.checker.cancelled_at.setdefault(job, self.clock.now)
            self._call("cancel", job, lambda c, n: events.CancelRequested(n, c, job))

    def _call(
        self, kind: str, job: str, make: Callable[[int, float], events.Event]
    ) -> None:
        process = self.current
        if process is None:
            return
        self._calls += 1
        number = self._calls
        self._call_by_number[number] = (kind, job)
        process.run(lambda: process.handle(make(number, self.clock.now)))

    # Faults

    def _disturb(self) -> None:
        name = self.random.choice(
            ("kill", "freeze", "crash", "cut", "reborn", "store", "slow", "grey")
        )
        self.counts[name] = self.counts.get(name, 0) + 1
        process = self.current
        worker = self.random.choice(list(self.workers.values()))
        length = self.random.uniform(0.5, 8)
        if name == "kill" and process is not None:
            process.is_alive = False
            self.clock.after(self.random.uniform(0.1, 3), self._elect)
        elif name == "freeze" and process is not None:
            process.is_frozen = True
            self.clock.after(length, process.thaw)
            self.clock.after(self.random.uniform(0.5, 3), self._elect)
        elif name in ("crash", "reborn") and worker.is_up:
            worker.crash()
            self._tell_unlisted(worker)
            delay = 0.2 if name == "reborn" else length
            self.clock.after(delay, lambda: self._restart(worker))
        elif name == "cut":
            self._cut[worker.id] = self.clock.now + length
        elif name == "store":
            self.store.is_down = True
            self.store.refuses = self.random.random() < 0.5
            self.clock.after(length, self._restore_store)
        elif name == "slow":
            self.store.slowness = 50.0
            self.clock.after(length, self._restore_store)
        elif name == "grey":
            worker.fails_all = True
            self.clock.after(length, lambda: setattr(worker, "fails_all", False))

    def _restore_store(self) -> None:
        self.store.is_down = False
        self.store.slowness = 1.0

    def _restart(self, worker: VirtualWorker) -> None:
        worker.restart()
        process = self.current
        if process is not None:
            event = events.WorkerListed(self.clock.now, self.make_entry(worker))
            process.run(lambda: process.handle(event))

    def _tell_unlisted(self, worker: VirtualWorker) -> None:
        process = self.current
        if process is not None and self.random.random() < 0.5:
            event = events.WorkerUnlisted(self.clock.now, worker.id)
            process.run(lambda: process.handle(event))

    # Effects

    def carry_out(self, process: PlannerProcess, effect: Effect) -> None:
        """Carry out an effect of a planner."""
        if isinstance(effect, effects.Store):
            self._store(process, effect)
        elif isinstance(effect, effects.Reply):
            self._reply(effect)
        elif isinstance(effect, effects.Start):
            self._order(process, effect, self._start)
        elif isinstance(effect, effects.Stop):
            self._order(process, effect, self._stop)
        elif isinstance(effect, effects.PollWorker):
            self._hold(process, effect)
        elif isinstance(effect, effects.AskAdvice):
            self._advise(process, effect)
        elif isinstance(effect, effects.StepDown):
            process.is_alive = False

    def _store(self, process: PlannerProcess, store: effects.Store) -> None:
        delay = LATENCY_S * self.store.slowness * self.random.uniform(1, 2)

        def arrive() -> None:
            if not process.is_alive:
                return
            if self.store.is_down and self.store.refuses:
                refused = events.BatchRefused(self.clock.now, store.number)
                process.run(lambda: process.handle(refused))
                return
            if self.store.is_down:
                self.clock.after(0.1, arrive)
                return
            if not self.store.append(process.term, store):
                process.is_alive = False
                return
            event = events.BatchStored(self.clock.now + delay, store.number)
            self.clock.after(
                delay,
                lambda: process.run(
                    lambda: process.handle(
                        events.BatchStored(self.clock.now, event.number)
                    )
                ),
            )

        self.clock.after(delay, arrive)

    def _reply(self, reply: effects.Reply) -> None:
        kind, job = self._call_by_number[reply.call]
        if kind == "submit" and reply.status == 200:
            self.checker.accepted.add(job)
        if kind == "submit" and reply.status == 503:
            self._open_tries[job] -= 1
            if not self._open_tries[job]:
                self.checker.refused.add(job)
        if kind == "cancel" and reply.status == 200:
            self.checker.cancel_stored_at.setdefault(job, self.clock.now)

    def _order(
        self,
        process: PlannerProcess,
        order: effects.Start | effects.Stop,
        carry_out: Callable[[PlannerProcess, VirtualWorker, object, bool], None],
    ) -> None:
        worker = self.workers[order.worker]
        fate = self.random.random() if self.has_faults else 1.0
        latency = LATENCY_S * self.random.uniform(0.5, 3)
        if self._is_cut(worker) or not worker.is_up:
            self.clock.after(0.8, lambda: carry_out(process, worker, order, False))
        elif fate < self.course.late:
            delay = self.random.uniform(2, 12)
            life = worker.incarnation
            self.clock.after(delay, lambda: self._late(worker, order, life))
            self.clock.after(0.8, lambda: carry_out(process, worker, order, False))
        else:
            answered = fate > self.course.late + self.course.lost

            def arrive() -> None:
                if answered:
                    carry_out(process, worker, order, True)
                else:
                    self._late(worker, order, worker.incarnation)
                    self.clock.after(
                        0.8, lambda: carry_out(process, worker, order, False)
                    )

            self.clock.after(latency, arrive)

    def _late(
        self,
        worker: VirtualWorker,
        order: effects.Start | effects.Stop,
        incarnation: int,
    ) -> None:
        """Carry out an order whose answer is lost, in the incarnation it reached."""
        if not worker.is_up or worker.incarnation != incarnation:
            return
        if isinstance(order, effects.Start):
            if self._has_ticket(order):
                worker.start(order)
        else:
            worker.stop(order)

    def _has_ticket(self, start: effects.Start) -> bool:
        if self.checker.job_by_id[start.task.job].queue != "advised":
            return True
        return self._ticket_until.get(start.ticket, -1.0) > self.clock.now

    def _start(
        self, process: PlannerProcess, worker: VirtualWorker, order: object, sent: bool
    ) -> None:
        assert isinstance(order, effects.Start)
        outcome = StartOutcome.UNKNOWN
        if sent and worker.is_up:
            outcome = StartOutcome.BAD_TICKET
            if self._has_ticket(order):
                outcome = worker.start(order)
        self._later(
            process,
            lambda: events.StartAnswered(
                self.clock.now, worker.id, order.task, order.run, outcome
            ),
        )

    def _stop(
        self, process: PlannerProcess, worker: VirtualWorker, order: object, sent: bool
    ) -> None:
        assert isinstance(order, effects.Stop)
        confirmed = sent and worker.is_up and worker.stop(order)
        self._later(
            process,
            lambda: events.StopAnswered(
                self.clock.now, worker.id, order.task, order.run, confirmed
            ),
        )

    def _hold(self, process: PlannerProcess, hold: effects.PollWorker) -> None:
        worker = self.workers[hold.worker]
        sent_at = self.clock.now
        life = worker.incarnation

        def arrive() -> None:
            listing = None
            is_connected = not self._is_cut(worker) and worker.is_up
            if is_connected and (worker.incarnation == life or not hold.wait_s):
                listing = worker.hold(hold)
                if listing is None:
                    self._later(
                        process,
                        lambda: events.WorkerPollFailed(
                            self.clock.now, worker.id, True
                        ),
                    )
                    return
            if listing is None:
                self._later(
                    process,
                    lambda: events.WorkerPollFailed(self.clock.now, worker.id),
                    0.5,
                )
                return
            running, ends = listing
            answered_life, clock_ms = worker.incarnation, int(worker.clock_ms)
            self._later(
                process,
                lambda: events.WorkerPolled(
                    self.clock.now,
                    worker.id,
                    sent_at,
                    hold.token,
                    answered_life,
                    clock_ms,
                    running,
                    ends,
                ),
            )

        wait = min(hold.wait_s, self.random.uniform(0.01, 0.3))
        self.clock.after(LATENCY_S + wait, arrive)

    def _advise(self, process: PlannerProcess, ask: effects.AskAdvice) -> None:
        good = []
        for worker in ask.workers:
            bad = zlib.crc32(ask.step.job.encode()) % len(self.workers)
            if worker not in (f"w{bad}", f"w{(bad + 1) % len(self.workers)}"):
                ticket = f"{self.random.getrandbits(32):x}"
                self._ticket_until[ticket] = self.clock.now + 0.05 + TICKET_S
                good.append((worker, ticket))
        if self.has_faults and self.random.random() < 0.1:
            make: Callable[[], events.Event] = lambda: events.AdviceFailed(  # noqa: E731
                self.clock.now, ask.member, ask.step
            )
        else:
            make = lambda: events.AdviceGiven(  # noqa: E731
                self.clock.now, ask.member, ask.step, ask.workers, tuple(good)
            )
        self._later(process, make, 0.05)

    def _later(
        self,
        process: PlannerProcess,
        make: Callable[[], events.Event],
        delay: float = LATENCY_S,
    ) -> None:
        self.clock.after(delay, lambda: process.run(lambda: process.handle(make())))

    def _is_cut(self, worker: VirtualWorker) -> bool:
        return self._cut.get(worker.id, -1.0) > self.clock.now


def _kill(process: PlannerProcess) -> None:
    process.is_alive = False


def _make_rules() -> Rules:
    advice = AdvicePolicy(0.05, 0.0, TICKET_S)
    queues = (
        Queue("fast", "h", "/f/", "service", 0, MAX_ATTEMPTS, 1.5, 0.25),
        Queue("slow", "h", "/s/", "service", 2, MAX_ATTEMPTS, 4.0, 3.0),
        Queue(
            "advised", "h", "/a/", "service", 1, MAX_ATTEMPTS, 2.0, 1.0, False, advice
        ),
    )
    limit = Resources(TENANT_LIMIT, 0)
    return Rules(
        1,
        {queue.name: queue for queue in queues},
        {f"t{number}": ClientAccount(f"t{number}", 1.0, limit) for number in range(3)},
        {},
    )
