"""Invariants of the whole fleet, checked against the workers and the log."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from jacinthloom_core.model.answers import Refusal
from jacinthloom_core.model.configuration import Configuration
from jacinthloom_core.model.resources import NO_RESOURCES, Resources
from jacinthloom_core.shared_log.log_state import LogState

if TYPE_CHECKING:
    from jacinthloom_core.model.answers import Answer
    from jacinthloom_core.model.records import LogEntry
    from jacinthloom_core.model.work import Grant

    from .platform import VirtualWorker
    from .process import VirtualProcess
    from .world import World

CHANGE_EFFECTIVE_S = 5.0
"""Seconds after which every process must apply an accepted change."""

LIMIT_ENFORCEMENT_S = 160.0
"""Seconds within which a team's usage must fall to a lowered limit.

Covers the longest lease and the time of a takeover: with an owner partitioned, nobody
has the authority to stop work on its workers. Nothing starts meanwhile.
"""


class InvariantError(AssertionError):
    """An invariant of the fleet was violated."""


class Invariants:
    """Tracks starts, answers and log entries, and raises on a violated invariant."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._reference_state = LogState()
        self._zone_out_since: dict[str, float] = {}
        self._key_withdrawn_since: dict[str, float] = {}
        self._seen_key_ids: set[str] = set()
        self._configurations: list[tuple[float, Configuration]] = []
        self._leaving_since: dict[str, float] = {}
        self._start_count_by_idempotency_key: Counter[tuple[str, str]] = Counter()
        self._started_requests: set[str] = set()
        self._requests_reported_not_run: set[str] = set()
        self._version_by_process: dict[str, int] = {}
        self.starts = 0

    @property
    def truth(self) -> LogState:
        """State after every entry that was appended to the log."""
        return self._reference_state

    def on_append(self, entry: LogEntry) -> None:
        """Apply an appended entry and record when configuration changes took effect."""
        for _ in self._reference_state.apply(entry):
            pass
        now = self._world.now
        configuration = self._reference_state.configuration
        zones = set(configuration.zones_out)
        for zone in zones - self._zone_out_since.keys():
            self._zone_out_since[zone] = now
        for zone in self._zone_out_since.keys() - zones:
            del self._zone_out_since[zone]
        for key_id in self._seen_key_ids - configuration.keys_by_id.keys():
            self._key_withdrawn_since.setdefault(key_id, now)
        self._seen_key_ids |= configuration.keys_by_id.keys()
        if not self._configurations or self._configurations[-1][1] != configuration:
            self._configurations.append((now, configuration))

    def on_leaving(self, worker: str) -> None:
        """Record when the host list first shows a worker as leaving."""
        self._leaving_since.setdefault(worker, self._world.now)

    def on_start(self, worker: VirtualWorker, grant: Grant) -> None:
        """Check a start that a worker is about to execute."""
        self.starts += 1
        self._check_placement(worker, grant)
        self._check_configuration(worker, grant)
        self._check_limit_at_start(grant)
        self._check_idempotency(grant)

    def _check_placement(self, worker: VirtualWorker, grant: Grant) -> None:
        total = worker.committed_resources + grant.spec.need
        if grant.key not in worker.task_by_key and not total.fits_in(worker.capacity):
            self._fail(f"{worker.info.name} is committed beyond its capacity")
        job, index = grant.spec.job, grant.index
        for other in self._world.worker_by_name.values():
            for key, task in other.task_by_key.items():
                is_same_task = task.grant.spec.job == job and task.grant.index == index
                if is_same_task and (key, other) != (grant.key, worker):
                    self._fail(f"{grant.key} starts while {key} runs elsewhere")

    def _check_configuration(self, worker: VirtualWorker, grant: Grant) -> None:
        now = self._world.now
        since = self._zone_out_since.get(worker.info.zone, now)
        if now > since + CHANGE_EFFECTIVE_S:
            self._fail(f"{grant.key} starts in {worker.info.zone}, out since {since}")
        since = self._key_withdrawn_since.get(grant.spec.key_id, now)
        if now > since + CHANGE_EFFECTIVE_S:
            self._fail(f"{grant.key} starts for an API key withdrawn at {since}")
        since = self._leaving_since.get(worker.info.name, now)
        if now > since + CHANGE_EFFECTIVE_S:
            self._fail(f"{grant.key} starts on leaving worker {worker.info.name}")

    def _check_limit_at_start(self, grant: Grant) -> None:
        """Check a start against the limits in force during the last seconds."""
        team = grant.spec.team
        amount = grant.spec.need
        for worker in self._world.worker_by_name.values():
            for task in worker.task_by_key.values():
                if task.grant.spec.team == team and task.grant.key != grant.key:
                    amount = amount + task.grant.spec.need
        limits = self._list_limits(team, CHANGE_EFFECTIVE_S)
        if limits and not any(amount.fits_in(limit) for limit in limits):
            self._fail(f"{grant.key} starts above the limit of team {team}")

    def _check_idempotency(self, grant: Grant) -> None:
        spec = grant.spec
        if spec.job in self._requests_reported_not_run:
            self._fail(
                f"{spec.job} starts after its caller was told that it did not run"
            )
        self._started_requests.add(spec.job)
        if spec.idempotency_key:
            key = (spec.team, spec.idempotency_key)
            self._start_count_by_idempotency_key[key] += 1
            if self._start_count_by_idempotency_key[key] > 1:
                self._fail(f"idempotency key {key} was started twice")

    def on_answer(self, request: str, answer: Answer) -> None:
        """Check the answer that a caller gets."""
        if isinstance(answer, Refusal) and answer.not_run:
            if request in self._started_requests:
                self._fail(f"{request} ran, but its caller is told that it did not run")
            self._requests_reported_not_run.add(request)

    def check(self) -> None:
        """Check the current state of workers and processes."""
        self._check_limits()
        self._check_owners()
        self._check_versions()

    def _check_limits(self) -> None:
        used: dict[str, Resources] = {}
        for worker in self._world.worker_by_name.values():
            for task in worker.task_by_key.values():
                team = task.grant.spec.team
                used[team] = used.get(team, NO_RESOURCES) + task.grant.spec.need
        for team, amount in used.items():
            limits = self._list_limits(team, LIMIT_ENFORCEMENT_S)
            if limits and not any(amount.fits_in(limit) for limit in limits):
                self._fail(f"team {team} uses {amount}, above its limit {limits[-1]}")

    def _list_limits(self, team: str, seconds: float) -> list[Resources]:
        """Return the limits of a team in force during the last seconds.

        Empty if the team was unlimited at any time in between.
        """
        found = []
        since = self._world.now - seconds
        for index, (_, configuration) in enumerate(self._configurations):
            until = (
                self._configurations[index + 1][0]
                if index + 1 < len(self._configurations)
                else float("inf")
            )
            if until < since:
                continue
            known = configuration.teams_by_name.get(team)
            if known is None or known.limit is None:
                return []
            found.append(known.limit)
        return found

    def _check_owners(self) -> None:
        owner_by_worker: dict[str, str] = {}
        for process in self._world.processes:
            if not process.is_alive:
                continue
            member = process.member
            local_time = process.monotonic_time(self._world.now)
            if local_time >= member.membership.compute_authority_until():
                continue
            for name, worker in member.owned_workers.worker_by_name.items():
                if worker.phase != "open":
                    continue
                if name in owner_by_worker:
                    self._fail(
                        f"{name} has two owners: {owner_by_worker[name]}, {process.id}"
                    )
                owner_by_worker[name] = process.id

    def _check_versions(self) -> None:
        for process in self._world.processes:
            version = process.member.context.state.configuration.version
            known = self._version_by_process.get(process.id, 0)
            if version < known:
                self._fail(f"{process.id} went back to configuration version {version}")
            self._version_by_process[process.id] = version
            self._check_replicated_state(process)

    def _check_replicated_state(self, process: VirtualProcess) -> None:
        """Check that a process that applied the whole log has the reference state."""
        state = process.member.context.state
        reference = self._reference_state
        if state.offset != reference.offset:
            return
        allotments = state.allotments.allotments_by_team
        if (
            allotments != reference.allotments.allotments_by_team
            or state.view != reference.view
        ):
            self._fail(f"{process.id} differs from the state of the log")

    def _fail(self, message: str) -> None:
        raise InvariantError(f"at {self._world.now:.3f} s: {message}")
