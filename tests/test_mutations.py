"""Each broken copy of a rule is caught, and the shipped rules pass the same course."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from dataclasses import dataclass, replace
from unittest import mock

from jacinthloom_core import Member, MemberSettings
from jacinthloom_core.model.configuration import ZoneOut
from jacinthloom_core.model.messages import AllotmentAsked
from jacinthloom_core.model.records import TeamAmount, ViewProposed
from jacinthloom_core.model.resources import Resources
from jacinthloom_core.shared_log import log_applier

from testkit.virtual import Faults, InvariantError, World
from testkit.virtual.mutations import MUTATION_BY_NAME, make_mutant
from testkit.virtual.schedule import LOOKUP, REBUILD, Schedule

Maker = Callable[[MemberSettings], Member]


@dataclass(frozen=True)
class Course:
    """A random course that catches a broken rule."""

    seed: int
    members: int = 5
    harsh: bool = False
    steps: int = 40


SEEDS_TRIED = 30
"""Courses tried for each rule, until one catches it."""

COURSE_BY_RULE = {
    "no_takeover_wait": Course(0),
    "views_skipped": Course(1, 7, True, 50),
    "release_forgets_wait": Course(0),
    "votes_not_counted": Course(9),
    "reconcile_not_read_back": Course(4, 7, True, 50),
    "handed_over_not_counted": Course(9),
    "any_view_granted": Course(0, 7, True, 50),
    "not_run_when_unknown": Course(2),
    "started_before_read_back": Course(0),
    "repeats_applied": Course(10, 7, True, 50),
    "retried_when_unknown": Course(1, 7, True, 50),
}
"""Seeds that catch a rule; the shipped rules pass all of them."""


def run_course(course: Course, make: Maker) -> None:
    schedule = Schedule(course.seed, course.members, Faults.make_severe(), make)
    schedule.run(course.steps, harsh=course.harsh)


def let_only_newcomer_read(members: int, make: Maker) -> None:
    """Let a newcomer into a view that nobody else gets to read."""
    world = World(3, members, racks=12, workers_per_rack=1, make_member=make)
    world.run(30.0)
    newcomer = world.add_process()
    while not _is_proposed(world, newcomer.id):
        world.run(0.002)
    for process in world.processes[:-1]:
        process.reads_log = False
    world.run(30.0)


def _is_proposed(world: World, member: str) -> bool:
    last = world.log.entries[-1].batch.records[-1]
    proposed = last.members if isinstance(last, ViewProposed) else ()
    return any(info.member == member for info in proposed)


def let_voter_miss_new_view(make: Maker) -> None:
    """Replace five silent members by five newcomers; one voter stays behind."""
    world = World(3, 7, racks=24, workers_per_rack=1, make_member=make)
    world.run(30.0)
    voter = world.alive[1]
    silent = world.alive[2:]
    names = [process.name for process in silent]
    world.cut(names)
    for process in silent:
        process.reads_log = False
    newcomers = [world.add_process() for _ in range(5)]
    world.cut(names)
    while not _is_proposed(world, newcomers[0].id):
        world.run(0.002)
    voter.reads_log = False
    for name in names:
        world.join(name, voter.name)
    world.run(40.0)


def let_answers_come_late(make: Maker) -> None:
    """Freeze an owner after it asked for assurances; let it go on blind."""
    world = World(3, 3, racks=12, workers_per_rack=1, make_member=make)
    world.run(30.0)
    frozen = next(p for p in world.alive if p.member.owned_workers.worker_by_name)
    asked = frozen.member.membership._next_status
    while frozen.member.membership._next_status == asked:
        world.run(0.001)
    world.pause(frozen)
    frozen.reads_log = False
    world.run(40.0)
    world.resume(frozen)
    world.run(1.0)


def keep_one_from_reading(make: Maker) -> None:
    """Take zones out while one member gets nothing new, from log or peers."""
    with mock.patch.object(log_applier, "ENTRIES_KEPT", 1):
        world = Schedule(3, 3, None, make).world
        blind, other = world.alive[:2]
        blind.reads_log = False
        for zone in ("zone-0", "zone-1", "zone-2"):
            world.change(other, ZoneOut(zone))
            world.run(1.0)
        for number in range(20):
            spec = world.make_spec(f"r-late-{number}", LOOKUP, processors=100)
            world.ask(blind, spec)
            world.run(1.0)


def lose_worker_with_work(make: Maker) -> None:
    """Cut a worker off while a task runs on it, for less than its lease."""
    schedule = Schedule(3, 3, None, make)
    world = schedule.world
    spec = world.make_spec("j-long", REBUILD, run_time_s=25.0)
    world.ask(schedule.choose(), spec)
    busy = [w for w in world.worker_by_name.values() if w.task_by_key]
    while not busy:
        world.run(0.1)
        busy = [w for w in world.worker_by_name.values() if w.task_by_key]
    busy[0].down = True
    world.run(20.0)


def give_allotment_away(make: Maker) -> None:
    """Ask a member for most of its allotment, and look at what it may still use."""
    world = Schedule(3, 2, None, make).world
    parts = world.invariants.truth.allotments.allotments_by_team["planning"]
    donor = next(p for p in world.alive if parts[p.id].processors >= 4000)
    asker = next(p for p in world.alive if p is not donor)
    wanted = Resources(4000, 0, 0, 1)
    message = AllotmentAsked((TeamAmount("planning", wanted),))
    donor.member.quotas.on_allotment_asked(asker.id, message)
    if donor.member.quotas.allows("planning", wanted):
        raise InvariantError("a donor may use what it is giving away")


SCENARIO_BY_RULE: dict[str, Callable[[Maker], None]] = {
    "voter_counts_itself": lambda make: let_only_newcomer_read(1, make),
    "voter_assures_again": let_voter_miss_new_view,
    "age_from_answer": let_answers_come_late,
    "not_fresh": keep_one_from_reading,
    "transfer_not_withheld": give_allotment_away,
    "lease_not_awaited": lose_worker_with_work,
}


class MutationsTest(unittest.TestCase):
    def test_every_broken_rule_has_a_test(self) -> None:
        tested = COURSE_BY_RULE.keys() | SCENARIO_BY_RULE.keys()
        self.assertEqual(tested, MUTATION_BY_NAME.keys())

    def test_courses_catch_broken_rules(self) -> None:
        for rule, course in COURSE_BY_RULE.items():
            with self.subTest(rule=rule):
                self.assertTrue(self.is_caught(rule, course))

    def is_caught(self, rule: str, course: Course) -> bool:
        """Return whether the course or one of those after it catches a rule.

        What a seed does changes with every change of policy.
        """
        for seed in range(course.seed, course.seed + SEEDS_TRIED):
            try:
                run_course(replace(course, seed=seed), make_mutant(rule))
            except InvariantError as error:
                if "not at rest" not in str(error):
                    return True
        return False

    def test_shipped_rules_pass_the_same_courses(self) -> None:
        for course in set(COURSE_BY_RULE.values()):
            with self.subTest(course=course):
                run_course(course, Member)

    def test_scenarios_catch_broken_rules(self) -> None:
        for rule, scenario in SCENARIO_BY_RULE.items():
            with self.subTest(rule=rule), self.assertRaises(InvariantError):
                scenario(make_mutant(rule))

    def test_shipped_rules_pass_the_scenarios(self) -> None:
        for rule, scenario in SCENARIO_BY_RULE.items():
            with self.subTest(rule=rule):
                scenario(Member)
