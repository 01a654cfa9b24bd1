"""Simulated elections keep their invariants under faults drawn from seeds."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner.lease_authority import LeaseAuthority

from testkit.planning.election_mutations import (
    AnswersCountFromArrival,
    AnswersNotNeeded,
    NoCap,
    NoVoterWithShortMargin,
    UnconfirmedListsIgnored,
    VotersNotInherited,
    bind,
)
from testkit.planning.election_outage import OutageSchedule
from testkit.planning.election_schedule import ElectionSchedule
from testkit.planning.election_world import ElectionViolationError, ElectionWorld
from testkit.planning.virtual_network import STORE, Fault

SEEDS = range(60)
"""Seeds of the schedules of faults."""

OUTAGE_SEEDS = range(12)
"""Seeds of the outages of the store for all members."""

MAX_GAP_S = 0.5
"""Longest time without lease renewals in an outage."""

MAX_RESTART_GAP_S = 1.5
"""The same if a member restarts, which takes half a second, and has to be queried."""

FAULT_BY_MUTATION = {
    AnswersNotNeeded: ElectionSchedule.cut_planner,
    UnconfirmedListsIgnored: ElectionSchedule.join_and_cut,
    AnswersCountFromArrival: ElectionSchedule.fail_store_unevenly,
    VotersNotInherited: ElectionSchedule.lose_successor,
    NoCap: ElectionSchedule.cut_for_long,
    NoVoterWithShortMargin: ElectionSchedule.cut_for_long,
}
"""The fault in which each mutant of the lease authority is detected."""

DETECTING_SEEDS = (0, 2, 9)
"""Seeds that are tried first."""

MUTATION_SEEDS = (*DETECTING_SEEDS, *range(100))


def find_detecting_seed(mutation: type[LeaseAuthority]) -> int | None:
    """Return a seed with which a mutant renews leases too long, or None."""
    fault = FAULT_BY_MUTATION[mutation]
    for seed in MUTATION_SEEDS:
        schedule = ElectionSchedule(seed, only=fault)
        schedule.world.make_authority = bind(mutation, schedule.world.clock)
        try:
            schedule.run()
        except ElectionViolationError as error:
            if "renews leases" in str(error):
                return seed
    return None


def cut(
    world: ElectionWorld, some: tuple[str, ...], others: tuple[str, ...]
) -> list[Fault]:
    """Cut all links between some ends and others."""
    faults = [
        Fault(some.__contains__, others.__contains__),
        Fault(others.__contains__, some.__contains__),
    ]
    world.network.faults += faults
    return faults


class ElectionSchedulesTest(unittest.TestCase):
    # Guards against leases that an earlier planner renews after its successor counts
    # them as expired, and against members that find no planner.
    def test_invariants_hold_under_drawn_faults(self) -> None:
        renewals = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                schedule = ElectionSchedule(seed)
                schedule.run()
                renewals += schedule.world.lease_renewals
        self.assertGreater(renewals, 100 * len(SEEDS))

    # Guards against a member that was dropped from the list of voters, and claims as
    # one of them since it was told a later term before it read the list.
    def test_member_told_a_later_term_reads_that_it_was_dropped(self) -> None:
        world = ElectionWorld(1)
        world.add_host(0)
        world.clock.run_until(2.0)
        others = [world.add_host(zone) for zone in (0, 1, 1)]
        world.clock.run_until(6.0)
        cut(world, ("h0", "h1"), ("h2", "h3"))
        without_store = cut(world, ("h2",), (STORE,))
        successor_without_store = cut(world, ("h3",), (STORE,))
        world.clock.run_until(18.0)
        cut(world, ("h0", "h1"), (STORE,))
        for fault in successor_without_store:
            world.network.faults.remove(fault)
        world.clock.run_until(21.0)
        for fault in without_store:
            world.network.faults.remove(fault)
        world.clock.run_until(22.0)
        self.assertIs(world.planner_host, others[2])
        assert others[2].process is not None
        world.end_process(others[2].process)
        world.clock.run_until(30.0)
        self.assertIs(world.planner_host, others[1])

    # Guards against a host that alone reaches the store and never claims, since each
    # abdication of the planner interrupts its reads and postpones its claim.
    def test_joined_host_takes_over_from_a_planner_that_is_refused(self) -> None:
        for processors in (0.5, 1.0):
            with self.subTest(processors=processors):
                world = ElectionWorld(1)
                others = [world.add_host(0), world.add_host(1)]
                world.clock.run_until(6.0)
                refused = frozenset(host.address for host in others)
                world.network.faults.append(
                    Fault(refused.__contains__, STORE.__eq__, is_refused=True)
                )
                world.clock.run_until(6.2)
                joined = world.add_host(2, processors)
                world.clock.run_until(11.0)
                self.assertIs(world.planner_host, joined)

    # Guards against work that ends since the store is away.
    def test_planner_keeps_its_authority_in_an_outage_for_all(self) -> None:
        for seed in OUTAGE_SEEDS:
            with self.subTest(seed=seed):
                self.assertLess(OutageSchedule(seed).run(), MAX_GAP_S)

    # Guards against work that ends since a member restarted while the store is away.
    def test_restarted_member_costs_little_authority_in_an_outage(self) -> None:
        for seed in OUTAGE_SEEDS:
            with self.subTest(seed=seed):
                gap_s = OutageSchedule(seed, restarts=True).run()
                self.assertLess(gap_s, MAX_RESTART_GAP_S)


class ElectionMutationsTest(unittest.TestCase):
    # Guards against schedules that would not notice a missing part of the protocol.
    def test_each_mutation_is_detected(self) -> None:
        for mutation, fault in FAULT_BY_MUTATION.items():
            with self.subTest(mutation=mutation.__name__):
                seed = find_detecting_seed(mutation)
                assert seed is not None
                ElectionSchedule(seed, only=fault).run()


if __name__ == "__main__":
    unittest.main()
