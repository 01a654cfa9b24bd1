"""Simulation of planners, workers and a store, with faults drawn from a seed."""

from __future__ import annotations

import zlib
from collections import Counter, deque
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.election import AUTHORITY_S
from jacinthloom_core.planner.events import StartOutcome
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.planner import TICK_S, Planner
from jacinthloom_core.planner.preemption import CheckpointCosts
from jacinthloom_core.planner.rules import AdvicePolicy, ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.planner.state import PlannerSettings

from .claims import Claims
from .clock import VirtualClock
from .early_cancels import EarlyCancels
from .large_jobs import LargeJobs
from .recuts import HEARTBEAT_INTERVAL_S, Recuts
from .rule_checker import RuleChecker
from .worker import DEADLY_PAYLOAD, LONG_PAYLOAD, GangRegistry, VirtualWorker
from .zone_cuts import ZoneCuts

if TYPE_CHECKING:
    from collections.abc import Callable

    from jacinthloom_core.planner.effects import Effect
    from jacinthloom_core.planner.specs import TaskId

LEASE_S = 6.0
NETWORK_LATENCY_S = 0.004
FAULTS_END_S = 25.0
"""Virtual time up to which jobs arrive and faults occur."""
SCENARIO_END_S = 90.0
MAX_OUTAGE_S = 25.0
MAX_ATTEMPTS = 2
CLIENT_ACCOUNT_LIMIT = 3_000
"""Limit of each client account, in millicores."""
TICKET_VALIDITY_S = 2.0
CHECKPOINT_SHARE = 0.8
"""Share of steps that write checkpoints, where a scenario has preemption."""
SHRINK_GRACE_S = 4.5
"""Seconds after which starts must keep to a capacity that has shrunk."""
ZONES = ("z0", "z1")
MAX_CHANGE_DELAY_S = 0.5
"""Seconds until a planner learns of an evacuation or a draining worker."""
REPLACED_SUFFIX = "'"
"""Added to the name of a worker that takes the place and the address of another."""


@dataclass(slots=True)
class Scenario:
    """Seed, load and fault rates of one simulation.

    :param lost: share of commands to workers whose answer is lost
    :param late: share of commands that are executed 2 to 12 seconds late
    :param withheld: share of starts that a planner withholds for lack of authority
    :param jobs: number of jobs that are submitted
    :param workers: number of workers
    :param faults: number of faults that are injected
    :param shrinks: number of times that the capacity of a worker shrinks for a while
    :param deadly: share of jobs with tasks that crash the workers that start them
    :param deadly_delay_s: seconds from such a start to the crash
    :param timed: share of jobs that run several times, at scheduled times
    :param ends_per_list: ended runs that a worker lists at a time
    :param evacuations: number of times that an availability zone is taken out of
        service for a while
    :param drains: number of times that a worker drains for a while
    :param zone_cuts: number of times that an availability zone is cut off for a while;
        elections then follow the election log
    :param recuts: number of times that the workers of an availability zone restart
        under their ids, and are cut off soon after
    :param recut_kill_share: share of these cases in which the planner is killed as well
    :param store_outages: number of times that the store is down for longer than a lease
    :param min_outage_s: minimum seconds of such an outage
    :param long: share of jobs with tasks that run for up to 24 seconds
    :param past_use_half_life_s: half-life of past usage, in seconds; 0 to disable
    :param checkpoint_costs: what a preemption costs; most steps but gangs write
        checkpoints if it is known
    :param early_cancels: share of jobs that are cancelled before their submission is
        answered, some while the store is slow; the planner is killed right after some
        of the acknowledgements
    :param large_jobs: number of jobs of hundreds of steps
    :param end_s: virtual time by which every accepted job must have ended
    """

    seed: int
    lost: float = 0.03
    late: float = 0.03
    withheld: float = 0.05
    jobs: int = 60
    workers: int = 6
    faults: int = 12
    shrinks: int = 0
    deadly: float = 0.0
    deadly_delay_s: float = 0.01
    timed: float = 0.0
    ends_per_list: int = 500
    evacuations: int = 0
    drains: int = 0
    zone_cuts: int = 0
    recuts: int = 0
    recut_kill_share: float = 0.7
    store_outages: int = 0
    min_outage_s: float = LEASE_S
    long: float = 0.0
    past_use_half_life_s: float = 0.0
    checkpoint_costs: CheckpointCosts = field(default_factory=CheckpointCosts)
    early_cancels: float = 0.0
    large_jobs: int = 0
    end_s: float = SCENARIO_END_S


class VirtualStore:
    """Records by key, fenced by term; may be down, slow, or lose answers."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self.value_by_key: dict[str, bytes] = {}
        self.term = 0
        self.is_down = False
        self.refuses_batches = False
        """Whether it refuses batches while it is down, instead of staying silent."""
        self.latency_factor = 1.0

    def append(self, term: int, store: effects.Store) -> bool:
        """Append a batch; return False if a later term has begun."""
        if term < self.term:
            return False
        for record in store.records:
            if record.value:
                self.value_by_key[record.key] = record.value
            else:
                self.value_by_key.pop(record.key, None)
        return True


class PlannerProcess:
    """The process of a planner in one term."""

    def __init__(self, world: World, term: int, host: str, load: bool = True) -> None:
        self._world = world
        self.term = term
        self.claim = world.claims.begin(host)
        self.is_alive = True
        self.is_frozen = False
        self.has_authority = True
        """Whether it may send starts; lost if another was elected during a freeze."""
        self._deferred: deque[Callable[[], None]] = deque()
        settings = PlannerSettings(
            term,
            LEASE_S,
            120.0,
            predecessor_s=self.claim.lease_authority.predecessor_s,
            checkpoint_costs=world.scenario.checkpoint_costs,
            past_use_half_life_s=world.scenario.past_use_half_life_s,
        )
        self.planner = world.make_planner(settings)
        now = world.clock.now
        world.store.term = term
        records = dict(world.store.value_by_key) if load else {}
        self.planner.load(records, now, int(now * 1000))
        self.handle(events.RulesChanged(now, world.rules))
        self.handle(events.ZonesChanged(now, frozenset(world.zones_out)))
        self.handle(events.MemberJoined(now, "member"))
        for worker in world.workers.values():
            if worker.is_up:
                self.handle(events.WorkerListed(now, world.make_entry(worker)))
        self._tick()

    def run(self, callback: Callable[[], None]) -> None:
        """Run a callback while the process is alive, deferred while it is frozen."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred.append(callback)
        else:
            callback()

    def unfreeze(self) -> None:
        """Resume, and run the deferred callbacks."""
        self.is_frozen = False
        self.has_authority = self.term == self._world.store.term
        while self._deferred and not self.is_frozen:
            self._deferred.popleft()()

    def _tick(self) -> None:
        now = self._world.clock.now
        self._world.claims.on_tick(self)
        until = self.claim.lease_authority.compute_until()
        self.handle(events.Tick(now, int(now * 1000), until))
        if self.is_alive:
            self._world.clock.after(TICK_S, lambda: self.run(self._tick))

    def handle(self, event: events.Event) -> None:
        """Reduce an event and execute its effects."""
        if not self.is_alive:
            return
        for effect in self.planner.handle(event):
            self._world.execute(self, effect)
        due = self.planner.next_due
        if due is not None:
            delay = max(0.001, due - self._world.clock.now)
            self._world.clock.after(delay, lambda: self.run(self._flush))

    def _flush(self) -> None:
        due = self.planner.next_due
        if due is not None and due <= self._world.clock.now:
            self.handle(events.FlushDue(self._world.clock.now))


class World:
    """Simulates the environment of the planners and injects faults."""

    def __init__(
        self,
        scenario: Scenario,
        make_planner: Callable[[PlannerSettings], Planner] = Planner,
    ) -> None:
        self.random = Random(scenario.seed)
        self._authority_random = Random(f"authority {scenario.seed}")
        self._deadly_random = Random(f"deadly {scenario.seed}")
        self._shrink_random = Random(f"shrink {scenario.seed}")
        self._timed_random = Random(f"timed {scenario.seed}")
        self._change_random = Random(f"change {scenario.seed}")
        self._outage_random = Random(f"outage {scenario.seed}")
        self._checkpoint_random = Random(f"checkpoint {scenario.seed}")
        self.early_cancels = EarlyCancels(self, scenario.seed, scenario.early_cancels)
        self._large_jobs = LargeJobs(self, scenario.seed, scenario.large_jobs)
        self.claims = Claims(self, scenario.seed, ZONES)
        self.zone_cuts = ZoneCuts(self, scenario.seed, ZONES, scenario.zone_cuts)
        self.recuts = Recuts(
            self, scenario.seed, ZONES, scenario.recuts, scenario.recut_kill_share
        )
        self.zones_out: set[str] = set()
        self._draining_workers: set[str] = set()
        self.scenario = scenario
        self.make_planner = make_planner
        self.clock = VirtualClock()
        self.store = VirtualStore(self.random)
        limits = {f"t{number}": CLIENT_ACCOUNT_LIMIT for number in range(3)}
        self.checker = RuleChecker(limits, MAX_ATTEMPTS)
        self.gang_registry = GangRegistry(self.checker)
        self.rules = _make_rules()
        self.workers = {
            f"w{number}": self._make_worker(f"w{number}")
            for number in range(scenario.workers)
        }
        self._gone_workers: dict[str, VirtualWorker] = {}
        self._ticket_expires_at: dict[str, float] = {}
        self._partitioned_until: dict[str, float] = {}
        self._term = 0
        self._call_count = 0
        self._call_by_number: dict[int, tuple[str, str]] = {}
        self._unrefused_submissions: Counter[str] = Counter()
        """Number of submissions of each job that were not refused."""
        self.current_process: PlannerProcess | None = None
        self.fault_counts: dict[str, int] = {}

    def _make_worker(self, name: str) -> VirtualWorker:
        return VirtualWorker(
            name,
            Resources(1_000, 1_000),
            self.clock,
            self.checker,
            self.gang_registry,
            self.random,
            self._on_deadly_start,
            self.scenario.ends_per_list,
            _find_zone(name),
        )

    @property
    def has_faults(self) -> bool:
        """Whether faults may still occur."""
        return self.clock.now < FAULTS_END_S

    def make_entry(self, worker: VirtualWorker) -> WorkerEntry:
        """Return the entry under which a worker is listed."""
        return WorkerEntry(
            worker.id,
            "service",
            f"{worker.id.rstrip(REPLACED_SUFFIX)}:1",
            worker.zone,
            worker.id not in self._draining_workers,
            worker.capacity,
            frozenset({"a", "r1-1"}),
            "r1-1",
            worker.incarnation,
        )

    def run(self) -> None:
        """Simulate the scenario and check the final state of every accepted job."""
        self._elect_planner()
        for _ in range(self.scenario.jobs):
            self.clock.after(
                self.random.uniform(0.2, FAULTS_END_S), self.submit_random_job
            )
        for _ in range(self.scenario.faults):
            self.clock.after(self.random.uniform(1, FAULTS_END_S), self._inject_fault)
        for _ in range(self.scenario.shrinks):
            delay_s = self._shrink_random.uniform(1, FAULTS_END_S)
            self.clock.after(delay_s, self._shrink_random_worker)
        for _ in range(self.scenario.evacuations):
            delay_s = self._change_random.uniform(1, FAULTS_END_S)
            self.clock.after(delay_s, self._evacuate_random_zone)
        for _ in range(self.scenario.drains):
            delay_s = self._change_random.uniform(1, FAULTS_END_S)
            self.clock.after(delay_s, self._drain_random_worker)
        for _ in range(self.scenario.store_outages):
            delay_s = self._outage_random.uniform(1, FAULTS_END_S)
            self.clock.after(delay_s, self._begin_outage)
        self._large_jobs.schedule()
        self.recuts.schedule(FAULTS_END_S)
        if self.zone_cuts.is_enabled:
            self.zone_cuts.schedule(FAULTS_END_S)
            self.claims.watch()
        self._enforce_leases()
        self.clock.run_until(self.scenario.end_s)
        self._check_final_states()

    def _check_final_states(self) -> None:
        assert self.current_process is not None
        for job in self.checker.accepted:
            state = self.current_process.planner.find_job_state(job)
            self.checker.check_state(job, state)
            if state not in ("completed", "failed", "cancelled"):
                planner_state = self.current_process.planner.state
                raise AssertionError(
                    f"{job} is {state} at the end of the scenario: "
                    f"{self.checker.job_by_id[job]} {planner_state.job_by_id[job]}"
                )
            payload = self.checker.job_by_id[job].payload
            if payload == DEADLY_PAYLOAD and state == "completed":
                raise AssertionError(f"{job} is completed, but can't be done")
            if state == "failed" and payload in ("text", LONG_PAYLOAD):
                counts = self.checker.max_failures_by_step
                max_failures = max(
                    (count for step, count in counts.items() if step.job == job),
                    default=0,
                )
                is_excused = self.checker.may_be_given_up(job)
                if max_failures < MAX_ATTEMPTS and not is_excused:
                    raise AssertionError(
                        f"{job} failed after {max_failures} of {MAX_ATTEMPTS} failures"
                    )

    def _enforce_leases(self) -> None:
        for worker in self.workers.values():
            if worker.is_up:
                worker.enforce_lease()
        self.clock.after(0.05, self._enforce_leases)

    def _elect_planner(self) -> None:
        previous = self.current_process
        if previous is not None and self.zone_cuts.is_enabled:
            return
        if previous is not None and previous.is_alive and not previous.is_frozen:
            self.clock.after(self.random.uniform(0, 2), lambda: _kill_process(previous))
        self.elect(self.claims.choose_host(ZONES[:1]))

    def elect(self, host: str) -> None:
        """Start the planner of the next term on a host."""
        self._term += 1
        self.current_process = PlannerProcess(self, self._term, host)
        self.claims.add_process(self.current_process)

    def submit_random_job(self) -> None:
        """Submit a job that is drawn at random; some are cancelled later."""
        job = f"{self.random.getrandbits(64):016x}"
        steps = tuple(self._draw_step(number) for number in range(2))
        steps = steps[: self.random.choice((1, 1, 2))]
        payload = "poison" if self.random.random() < 0.1 else "text"
        if self._deadly_random.random() < self.scenario.deadly:
            payload = DEADLY_PAYLOAD
        if payload == "text" and self._outage_random.random() < self.scenario.long:
            payload = LONG_PAYLOAD
        client_account = f"t{self.random.randrange(3)}"
        queue = self.random.choice(("fast", "slow", "advised"))
        spec = JobSpec(
            job, queue, client_account, payload, steps, int(self.clock.now * 1000)
        )
        if self._timed_random.random() < self.scenario.timed:
            spec = self._draw_times(spec)
        self.submit(spec)
        if self.random.random() < 0.15:
            self.clock.after(self.random.uniform(0, 4), lambda: self._cancel(job))

    def submit(self, spec: JobSpec) -> None:
        """Submit a job, again until it is accepted."""
        self.checker.job_by_id[spec.id] = spec
        self._submit(spec, 6)
        self.early_cancels.on_submitted(spec.id)

    def _draw_times(self, spec: JobSpec) -> JobSpec:
        return replace(
            spec,
            first_due_ms=spec.received_ms + self._timed_random.randrange(3_000),
            period_ms=self._timed_random.randrange(200, 4_000),
            occurrences=self._timed_random.choice((2, 3, 4)),
        )

    def _draw_step(self, number: int) -> StepSpec:
        is_gang = self.random.random() < 0.3
        return StepSpec(
            count=self.random.choice((2, 3, 4) if is_gang else (1, 2, 4, 8)),
            size=Resources(self.random.choice((100, 250, 400)), 100),
            estimate_s=self.random.uniform(0.1, 5),
            after=(0,) if number else (),
            gang=is_gang,
            most_per_worker=self.random.choice((0, 0, 2)) if number else 0,
            checkpoints=not is_gang and self._draw_checkpoints(),
        )

    def _draw_checkpoints(self) -> bool:
        if not self.scenario.checkpoint_costs.interval_s:
            return False
        return self._checkpoint_random.random() < CHECKPOINT_SHARE

    def _submit(self, spec: JobSpec, attempts: int) -> None:
        self._unrefused_submissions[spec.id] += 1
        self.checker.refused.discard(spec.id)
        self._call(
            "submit", spec.id, lambda call, now: events.JobSubmitted(now, call, spec)
        )
        if attempts > 1:
            delay = self.random.uniform(0.3, 1.5)
            self.clock.after(delay, lambda: self._retry_submission(spec, attempts - 1))

    def _retry_submission(self, spec: JobSpec, attempts: int) -> None:
        if spec.id not in self.checker.accepted or self.random.random() < 0.1:
            self._submit(spec, attempts)

    def _cancel(self, job: str) -> None:
        if job in self.checker.accepted:
            self.cancel(job)

    def cancel(self, job: str) -> None:
        """Request that a job is cancelled, whether or not it was accepted."""
        self.checker.cancel_requested_at.setdefault(job, self.clock.now)
        self._call(
            "cancel", job, lambda call, now: events.CancelRequested(now, call, job)
        )

    def ask(self, job: str) -> None:
        """Ask the planner for the state of a job, and check it."""
        process = self.current_process
        if process is not None and process.is_alive and not process.is_frozen:
            self.checker.check_state(job, process.planner.find_job_state(job))

    def _call(
        self, kind: str, job: str, make_event: Callable[[int, float], events.Event]
    ) -> None:
        process = self.zone_cuts.choose_called()
        if process is None:
            return
        self._call_count += 1
        number = self._call_count
        self._call_by_number[number] = (kind, job)
        process.run(lambda: process.handle(make_event(number, self.clock.now)))

    def _inject_fault(self) -> None:
        fault = self.random.choice(
            ("kill", "freeze", "crash", "cut", "reborn", "store", "slow", "grey")
        )
        self.fault_counts[fault] = self.fault_counts.get(fault, 0) + 1
        process = self.current_process
        worker = self.random.choice(list(self.workers.values()))
        duration_s = self.random.uniform(0.5, 8)
        if fault == "kill" and process is not None:
            self.replace_planner(self.random.uniform(0.1, 3))
        elif fault == "freeze" and process is not None:
            process.is_frozen = True
            self.clock.after(duration_s, process.unfreeze)
            self.clock.after(self.random.uniform(0.5, 3), self._elect_planner)
        elif fault in ("crash", "reborn") and worker.is_up:
            worker.crash()
            if process is not None and self.random.random() < 0.5:
                self.report_unlisted(worker)
            delay = 0.2 if fault == "reborn" else duration_s
            self.clock.after(delay, lambda: self._restart(worker))
        elif fault == "cut":
            self.cut_off(worker, duration_s)
        elif fault == "store":
            self.store.is_down = True
            self.store.refuses_batches = self.random.random() < 0.5
            self.clock.after(duration_s, self._restore_store)
        elif fault == "slow":
            self.slow_store(duration_s)
        elif fault == "grey":
            worker.fails_all = True
            self.clock.after(duration_s, lambda: setattr(worker, "fails_all", False))

    def slow_store(self, duration_s: float) -> None:
        """Slow the store down for a while."""
        self.store.latency_factor = 50.0
        self.clock.after(duration_s, self._restore_store)

    def replace_planner(self, delay_s: float) -> None:
        """Kill the planner, and elect another one after a delay."""
        if self.current_process is not None:
            self.current_process.is_alive = False
        self.clock.after(delay_s, self._elect_planner)

    def cut_off(self, worker: VirtualWorker, duration_s: float) -> None:
        """Cut a worker off from every planner for a while."""
        self._partitioned_until[worker.id] = self.clock.now + duration_s

    def _shrink_random_worker(self) -> None:
        worker = self._shrink_random.choice(list(self.workers.values()))
        if worker.capacity.processors < 1_000:
            return
        smaller = Resources(self._shrink_random.choice((200, 500)), 1_000)
        self._set_capacity(worker, smaller)
        self.clock.after(
            SHRINK_GRACE_S, lambda: setattr(worker, "binding_capacity", worker.capacity)
        )
        duration_s = self._shrink_random.uniform(6, 15)
        self.clock.after(duration_s, lambda: self._grow(worker))

    def _grow(self, worker: VirtualWorker) -> None:
        self._set_capacity(worker, Resources(1_000, 1_000))
        worker.binding_capacity = worker.capacity

    def _evacuate_random_zone(self) -> None:
        zone = self._change_random.choice(ZONES)
        if self.zones_out:
            return
        self._set_zones_out({zone})
        duration_s = self._change_random.uniform(6, 15)
        self.clock.after(duration_s, lambda: self._set_zones_out(set()))

    def _set_zones_out(self, zones: set[str]) -> None:
        self.zones_out = zones
        self.checker.zone_out_since = dict.fromkeys(zones, self.clock.now)
        delay_s = self._change_random.uniform(0, MAX_CHANGE_DELAY_S)
        self.clock.after(delay_s, self._report_zones)

    def _report_zones(self) -> None:
        process = self.current_process
        if process is not None:
            event = events.ZonesChanged(self.clock.now, frozenset(self.zones_out))
            process.run(lambda: process.handle(event))

    def _drain_random_worker(self) -> None:
        worker = self._change_random.choice(list(self.workers.values()))
        if worker.id in self._draining_workers or not worker.is_up:
            return
        self._draining_workers.add(worker.id)
        self.checker.draining_since[worker.id] = self.clock.now
        delay_s = self._change_random.uniform(0, MAX_CHANGE_DELAY_S)
        self.clock.after(delay_s, lambda: self.report_listed(worker))
        duration_s = self._change_random.uniform(6, 15)
        self.clock.after(duration_s, lambda: self._end_drain(worker))

    def _end_drain(self, worker: VirtualWorker) -> None:
        self._draining_workers.discard(worker.id)
        self.checker.draining_since.pop(worker.id, None)
        self.report_listed(worker)

    def _set_capacity(self, worker: VirtualWorker, capacity: Resources) -> None:
        worker.capacity = capacity
        delay_s = self._shrink_random.uniform(0, HEARTBEAT_INTERVAL_S)
        self.clock.after(delay_s, lambda: self.report_listed(worker))

    def report_listed(self, worker: VirtualWorker) -> None:
        """Show the planner the entry of a worker that is up."""
        process = self.current_process
        if process is not None and worker.is_up and worker.id in self.workers:
            event = events.WorkerListed(self.clock.now, self.make_entry(worker))
            process.run(lambda: process.handle(event))

    def _on_deadly_start(self, worker: VirtualWorker, task: TaskId) -> None:
        delay_s = self.scenario.deadly_delay_s
        incarnation = worker.incarnation
        self.clock.after(
            delay_s, lambda: self._crash_by_task(worker, task, incarnation)
        )

    def _crash_by_task(
        self, worker: VirtualWorker, task: TaskId, incarnation: int
    ) -> None:
        """Crash a worker that still runs a task; half of them return renamed."""
        if worker.incarnation != incarnation or not worker.runs(task):
            return
        self.checker.on_crash(task)
        worker.crash(task)
        down_s = self._deadly_random.uniform(3.0, 3.5)
        if self._deadly_random.random() < 0.5:
            self.clock.after(down_s, lambda: self._restart(worker))
        else:
            self.clock.after(down_s, lambda: self._replace(worker))

    def _replace(self, worker: VirtualWorker) -> None:
        """Start a worker under another name in place of one that is gone."""
        name = worker.id + REPLACED_SUFFIX
        if worker.is_up or name in self.workers:
            return
        del self.workers[worker.id]
        self._gone_workers[worker.id] = worker
        self.workers[name] = self._make_worker(name)
        self.workers[name].incarnation = worker.incarnation
        process = self.current_process
        if process is not None:
            process.run(
                lambda: process.handle(events.WorkerUnlisted(self.clock.now, worker.id))
            )
            entry = self.make_entry(self.workers[name])
            process.run(
                lambda: process.handle(events.WorkerListed(self.clock.now, entry))
            )

    def _find_worker(self, name: str) -> VirtualWorker:
        return self.workers.get(name) or self._gone_workers[name]

    def _begin_outage(self) -> None:
        self.store.is_down = True
        self.store.refuses_batches = self._outage_random.random() < 0.5
        outage_s = self._outage_random.uniform(self.scenario.min_outage_s, MAX_OUTAGE_S)
        self.clock.after(outage_s, self._restore_store)

    def _restore_store(self) -> None:
        self.store.is_down = False
        self.store.latency_factor = 1.0

    def _restart(self, worker: VirtualWorker) -> None:
        worker.restart()
        process = self.current_process
        if process is not None:
            event = events.WorkerListed(self.clock.now, self.make_entry(worker))
            process.run(lambda: process.handle(event))

    def report_unlisted(self, worker: VirtualWorker) -> None:
        """Show the planner that the entry of a worker is gone."""
        process = self.current_process
        if process is not None:
            event = events.WorkerUnlisted(self.clock.now, worker.id)
            process.run(lambda: process.handle(event))

    def execute(self, process: PlannerProcess, effect: Effect) -> None:
        """Execute an effect of a planner."""
        if isinstance(effect, effects.Store):
            self._append_batch(process, effect)
        elif isinstance(effect, effects.Reply):
            self._reply(effect)
        elif isinstance(effect, effects.Start):
            self._send_command(process, effect, self._start)
        elif isinstance(effect, effects.Stop):
            self._send_command(process, effect, self._stop)
        elif isinstance(effect, effects.PollWorker):
            self._poll(process, effect)
        elif isinstance(effect, effects.RequestAdvice):
            self._answer_advice_request(process, effect)
        elif isinstance(effect, effects.StepDown):
            process.is_alive = False

    def _append_batch(self, process: PlannerProcess, batch: effects.Store) -> None:
        delay = (
            NETWORK_LATENCY_S * self.store.latency_factor * self.random.uniform(1, 2)
        )

        def arrive() -> None:
            if not process.is_alive:
                return
            if not self.zone_cuts.reaches_store(process):
                self.clock.after(0.1, arrive)
                return
            if self.store.is_down and self.store.refuses_batches:
                refused = events.BatchRefused(self.clock.now, batch.number)
                process.run(lambda: process.handle(refused))
                return
            if self.store.is_down:
                self.clock.after(0.1, arrive)
                return
            if not self.store.append(process.term, batch):
                process.is_alive = False
                return
            self.clock.after(delay, answer)

        def answer() -> None:
            if self.zone_cuts.reaches_store(process):
                process.run(
                    lambda: process.handle(
                        events.BatchStored(self.clock.now, batch.number)
                    )
                )
            else:
                arrive()  # the answer is lost

        self.clock.after(delay, arrive)

    def _reply(self, reply: effects.Reply) -> None:
        kind, job = self._call_by_number[reply.call]
        if kind == "submit" and reply.status == 200:
            self.checker.accepted.add(job)
        if kind == "submit" and reply.status == 503:
            self._unrefused_submissions[job] -= 1
            if not self._unrefused_submissions[job]:
                self.checker.refused.add(job)
        if kind == "cancel" and reply.status == 200:
            self.checker.cancel_stored_at.setdefault(job, self.clock.now)
            self.early_cancels.on_acknowledged(job)

    def _send_command(
        self,
        process: PlannerProcess,
        command: effects.Start | effects.Stop,
        execute: Callable[[PlannerProcess, VirtualWorker, object, bool], None],
    ) -> None:
        worker = self._find_worker(command.worker)
        if isinstance(command, effects.Start):
            is_withheld = self._draws_withheld_start()
            if is_withheld or not self._may_start(process):
                self._report_withheld(process, command)
                return
        draw = self.random.random() if self.has_faults else 1.0
        latency = NETWORK_LATENCY_S * self.random.uniform(0.5, 3)
        is_cut_off = not self.zone_cuts.reaches_worker(process, worker)
        if is_cut_off and self.zone_cuts.draws_late_order():
            incarnation = worker.incarnation
            self.clock.after(
                self.zone_cuts.draw_lateness(),
                lambda: self._execute_unanswered(worker, command, incarnation, True),
            )
        connect_s = None if worker.is_up else self.recuts.draw_connect_s()
        if connect_s is not None and not is_cut_off:
            self.clock.after(
                connect_s,
                lambda: execute(
                    process, worker, command, not self._is_partitioned(worker)
                ),
            )
        elif is_cut_off or self._is_partitioned(worker) or not worker.is_up:
            self.clock.after(0.8, lambda: execute(process, worker, command, False))
        elif draw < self.scenario.late:
            delay = self.random.uniform(2, 12)
            incarnation = worker.incarnation
            self.clock.after(
                delay,
                lambda: self._execute_unanswered(worker, command, incarnation, True),
            )
            self.clock.after(0.8, lambda: execute(process, worker, command, False))
        else:
            is_answered = draw > self.scenario.late + self.scenario.lost

            def arrive() -> None:
                if is_answered:
                    execute(process, worker, command, True)
                else:
                    self._execute_unanswered(worker, command, worker.incarnation)
                    self.clock.after(
                        0.8, lambda: execute(process, worker, command, False)
                    )

            self.clock.after(latency, arrive)

    def _may_start(self, process: PlannerProcess) -> bool:
        if self.zone_cuts.is_enabled:
            return self.clock.now < process.claim.renewed_at + AUTHORITY_S
        return process.has_authority

    def _draws_withheld_start(self) -> bool:
        if not self.has_faults:
            return False
        return self._authority_random.random() < self.scenario.withheld

    def _report_withheld(self, process: PlannerProcess, start: effects.Start) -> None:
        """Answer a start that the process does not send, for lack of authority."""
        self._handle_later(
            process,
            lambda: events.StartAnswered(
                self.clock.now,
                start.worker,
                start.task,
                start.run,
                StartOutcome.WITHHELD,
            ),
        )

    def _execute_unanswered(
        self,
        worker: VirtualWorker,
        command: effects.Start | effects.Stop,
        incarnation: int,
        is_late: bool = False,
    ) -> None:
        """Execute a command whose answer is lost, if its incarnation still runs."""
        if not worker.is_up or worker.incarnation != incarnation:
            return
        if not _reaches(command, worker):
            return
        if isinstance(command, effects.Start):
            if self._has_valid_ticket(command):
                worker.start(command, is_late)
        else:
            worker.stop(command)

    def _has_valid_ticket(self, start: effects.Start) -> bool:
        if self.checker.job_by_id[start.task.job].queue != "advised":
            return True
        return self._ticket_expires_at.get(start.ticket, -1.0) > self.clock.now

    def _start(
        self,
        process: PlannerProcess,
        worker: VirtualWorker,
        command: object,
        is_delivered: bool,
    ) -> None:
        assert isinstance(command, effects.Start)
        outcome = StartOutcome.UNKNOWN
        if is_delivered and worker.is_up and not _reaches(command, worker):
            outcome = StartOutcome.OTHER_INCARNATION
        elif is_delivered and worker.is_up:
            outcome = StartOutcome.BAD_TICKET
            if self._has_valid_ticket(command):
                outcome = worker.start(command)
        self._handle_later(
            process,
            lambda: events.StartAnswered(
                self.clock.now, worker.id, command.task, command.run, outcome
            ),
        )

    def _stop(
        self,
        process: PlannerProcess,
        worker: VirtualWorker,
        command: object,
        is_delivered: bool,
    ) -> None:
        assert isinstance(command, effects.Stop)
        is_confirmed = is_delivered and worker.is_up and worker.stop(command)
        self._handle_later(
            process,
            lambda: events.StopAnswered(
                self.clock.now, worker.id, command.task, command.run, is_confirmed
            ),
        )

    def _poll(self, process: PlannerProcess, poll: effects.PollWorker) -> None:
        worker = self._find_worker(poll.worker)
        sent_at = self.clock.now
        incarnation = worker.incarnation

        def arrive() -> None:
            response = None
            is_connected = not self._is_partitioned(worker) and worker.is_up
            if not self.zone_cuts.reaches_worker(process, worker):
                is_connected = False
            if is_connected and (worker.incarnation == incarnation or not poll.wait_s):
                sent = poll
                if not _reaches(poll, worker):
                    sent = replace(poll, cursor=0, deadline_ms=0)
                response = worker.poll(sent)
                if response is None:
                    self._handle_later(
                        process,
                        lambda: events.WorkerPollFailed(
                            self.clock.now, worker.id, True
                        ),
                    )
                    return
            if response is None:
                self._handle_later(
                    process,
                    lambda: events.WorkerPollFailed(self.clock.now, worker.id),
                    self.recuts.poll_timeout_s,
                )
                return
            running, ends = response
            is_complete = len(ends) < self.scenario.ends_per_list
            answering_incarnation, clock_ms = worker.incarnation, int(worker.clock_ms)
            self._handle_later(
                process,
                lambda: events.WorkerPolled(
                    self.clock.now,
                    worker.id,
                    sent_at,
                    poll.token,
                    answering_incarnation,
                    clock_ms,
                    running,
                    ends,
                    is_complete,
                ),
            )

        wait_s = min(poll.wait_s, self.random.uniform(0.01, 0.3))
        self.clock.after(NETWORK_LATENCY_S + wait_s, arrive)

    def _answer_advice_request(
        self, process: PlannerProcess, request: effects.RequestAdvice
    ) -> None:
        recommended = []
        for worker in request.workers:
            excluded = zlib.crc32(request.step.job.encode()) % len(self.workers)
            if worker not in (f"w{excluded}", f"w{(excluded + 1) % len(self.workers)}"):
                ticket = f"{self.random.getrandbits(32):x}"
                self._ticket_expires_at[ticket] = (
                    self.clock.now + 0.05 + TICKET_VALIDITY_S
                )
                recommended.append((worker, ticket))
        if self.has_faults and self.random.random() < 0.1:
            make_event: Callable[[], events.Event] = lambda: events.AdviceFailed(  # noqa: E731
                self.clock.now, request.member, request.step
            )
        else:
            make_event = lambda: events.AdviceGiven(  # noqa: E731
                self.clock.now,
                request.member,
                request.step,
                request.workers,
                tuple(recommended),
            )
        self._handle_later(process, make_event, 0.05)

    def _handle_later(
        self,
        process: PlannerProcess,
        make_event: Callable[[], events.Event],
        delay: float = NETWORK_LATENCY_S,
    ) -> None:
        self.clock.after(
            delay, lambda: process.run(lambda: process.handle(make_event()))
        )

    def _is_partitioned(self, worker: VirtualWorker) -> bool:
        return self._partitioned_until.get(worker.id, -1.0) > self.clock.now


def _reaches(
    order: effects.Start | effects.Stop | effects.PollWorker, worker: VirtualWorker
) -> bool:
    """Whether an order may be sent to the incarnation that the worker is in.

    Starts, cursors and deadlines are sent only on connections that end at the one that
    they are meant for.
    """
    if isinstance(order, effects.Stop):
        return True
    return order.incarnation in (0, worker.incarnation)


def _find_zone(worker: str) -> str:
    return ZONES[zlib.crc32(worker.rstrip(REPLACED_SUFFIX).encode()) % len(ZONES)]


def _kill_process(process: PlannerProcess) -> None:
    process.is_alive = False


def _make_rules() -> Rules:
    advice = AdvicePolicy(0.05, 0.0, TICKET_VALIDITY_S)
    queues = (
        Queue("fast", "h", "/f/", "service", 0, MAX_ATTEMPTS, 1.5, 0.25),
        Queue("slow", "h", "/s/", "service", 2, MAX_ATTEMPTS, 4.0, 3.0),
        Queue(
            "advised", "h", "/a/", "service", 1, MAX_ATTEMPTS, 2.0, 1.0, False, advice
        ),
    )
    limit = Resources(CLIENT_ACCOUNT_LIMIT, 0)
    return Rules(
        1,
        {queue.name: queue for queue in queues},
        {f"t{number}": ClientAccount(f"t{number}", 1.0, limit) for number in range(3)},
        {},
    )
