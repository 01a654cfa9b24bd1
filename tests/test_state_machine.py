"""Hypothesis generates sequences of work and faults; every step is checked."""

from __future__ import annotations

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from testkit.virtual import Faults
from testkit.virtual.schedule import Schedule

GAPS = st.sampled_from((0.1, 0.5, 1.0, 3.0, 11.0))


class Fleet(RuleBasedStateMachine):
    """Members, log and workers, with work, changes and faults in any order."""

    @initialize(seed=st.integers(0, 1 << 16), members=st.integers(4, 7))
    def begin(self, seed: int, members: int) -> None:
        self.schedule = Schedule(seed, members, Faults.make_severe())

    @rule(gap=GAPS)
    def wait(self, gap: float) -> None:
        self.schedule.world.run(gap)

    @rule()
    def ask(self) -> None:
        self.schedule.ask()

    @rule()
    def ask_once(self) -> None:
        self.schedule.ask_once()

    @rule()
    def submit(self) -> None:
        self.schedule.submit()

    @rule()
    def cancel(self) -> None:
        self.schedule.cancel()

    @rule()
    def change_limit(self) -> None:
        self.schedule.change_limit()

    @rule()
    def race_operators(self) -> None:
        self.schedule.race_operators()

    @rule()
    def take_zone_out(self) -> None:
        self.schedule.take_zone_out()

    @rule()
    def bring_zones_in(self) -> None:
        self.schedule.bring_zones_in()

    @rule()
    def withdraw_key(self) -> None:
        self.schedule.withdraw_key()

    @rule(gap=GAPS)
    def kill(self, gap: float) -> None:
        self.schedule.kill()
        self.schedule.world.run(gap)

    @rule()
    def stop(self) -> None:
        self.schedule.stop()

    @rule(gap=GAPS)
    def pause(self, gap: float) -> None:
        self.schedule.pause()
        self.schedule.world.run(gap)

    @rule(gap=GAPS)
    def cut(self, gap: float) -> None:
        self.schedule.cut()
        self.schedule.world.run(gap)

    @rule(gap=GAPS)
    def blind(self, gap: float) -> None:
        self.schedule.blind()
        self.schedule.world.run(gap)

    @rule(gap=GAPS)
    def stop_log(self, gap: float) -> None:
        self.schedule.stop_log()
        self.schedule.world.run(gap)

    @rule()
    def lose_worker(self) -> None:
        self.schedule.lose_worker()

    @rule()
    def spoil_worker(self) -> None:
        self.schedule.spoil_worker()

    @rule()
    def drain_worker(self) -> None:
        self.schedule.drain_worker()

    def teardown(self) -> None:
        if hasattr(self, "schedule"):
            self.schedule.settle()


FleetTest = Fleet.TestCase
FleetTest.__module__, FleetTest.__qualname__ = __name__, "FleetTest"
FleetTest.settings = settings(
    max_examples=25,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),
    suppress_health_check=list(HealthCheck),
)


class FoundSequenceTest(unittest.TestCase):
    # Guards against an attempt of a request that starts late, while a later attempt of
    # it runs on another worker.
    def test_late_attempt_does_not_start_beside_a_later_one(self) -> None:
        fleet = Fleet()
        fleet.begin(seed=34724, members=7)
        fleet.ask_once()
        fleet.ask()
        fleet.blind(gap=1.0)
        fleet.bring_zones_in()
        fleet.drain_worker()
        fleet.spoil_worker()
        fleet.change_limit()
        fleet.stop_log(gap=3.0)
        fleet.stop_log(gap=1.0)
        fleet.ask()
        fleet.change_limit()
        fleet.cut(gap=0.1)
        fleet.spoil_worker()
        fleet.spoil_worker()
        fleet.ask_once()
        fleet.race_operators()
        fleet.stop_log(gap=1.0)
        fleet.ask_once()
        fleet.blind(gap=11.0)
        fleet.drain_worker()
        fleet.take_zone_out()
        fleet.cut(gap=0.5)
        fleet.submit()
        fleet.ask()
        fleet.wait(gap=11.0)


if __name__ == "__main__":
    unittest.main()
