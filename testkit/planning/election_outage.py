"""Outages of the store for all members, with nothing else disturbed."""

from __future__ import annotations

from random import Random

from .election_schedule import ZONES
from .election_world import ElectionViolationError, ElectionWorld
from .virtual_network import STORE, Fault

WARM_UP_S = 15.0
"""Seconds before the outage: hosts that left during the start are no voters by then."""

AFTERWARDS_S = 8.0
"""Seconds after the outage in which the planner has to go on."""

MAX_OUTAGE_S = 85.0
"""Longest outage, in seconds."""


class OutageSchedule:
    """One outage of the store for all members.

    :param restarts: whether the process of another member is killed in the outage
    :ivar duration_s: duration of the outage, in seconds
    """

    def __init__(self, seed: int, restarts: bool = False) -> None:
        self.world = ElectionWorld(seed)
        self._random = random = Random(f"outage {seed}")
        self._restarts = restarts
        self.duration_s = random.uniform(1.0, MAX_OUTAGE_S)
        self._begins_at = WARM_UP_S + random.random()
        self._kind = random.choice(("refused", "unanswered", "lost", "late"))
        for number in range(random.randint(3, 6)):
            self.world.add_host(number % ZONES)

    def run(self) -> float:
        """Run, and return the longest time for which the planner renewed no leases."""
        world = self.world
        world.clock.run_until(self._begins_at)
        runner = world.loads[-1].runner
        world.longest_gap_s_by_term.clear()
        world.network.faults += self._make_faults()
        if self._restarts:
            world.clock.after(self.duration_s * self._random.random(), self._kill)
        ends_at = self._begins_at + self.duration_s
        world.clock.run_until(ends_at)
        if runner.is_over:
            raise ElectionViolationError("the planner was replaced in the outage")
        world.network.faults.clear()
        world.clock.run_until(ends_at + AFTERWARDS_S)
        world.check_planner()
        return max(world.longest_gap_s_by_term.values())

    def _make_faults(self) -> list[Fault]:
        is_refused, is_late = self._kind == "refused", self._kind == "late"
        answers = Fault(STORE.__eq__, lambda end: True)
        if self._kind == "lost":
            return [answers]
        calls = Fault(lambda end: True, STORE.__eq__, None, is_refused, is_late)
        return [answers, calls]

    def _kill(self) -> None:
        world = self.world
        host = self._random.choice(
            [host for host in world.hosts if host is not world.planner_host]
        )
        assert host.process is not None
        world.end_process(host.process)
        world.clock.after(0.5, lambda: world.start_process(host))
