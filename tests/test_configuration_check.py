"""Findings on a configuration, one test a kind, and differences between versions."""

from __future__ import annotations

import unittest
from pathlib import Path

from jacinthloom_core.model.configuration import (
    ClassesAndTeams,
    Configuration,
    KeyHash,
    Team,
    TeamKey,
    WorkClass,
)
from jacinthloom_core.model.resources import UNLIMITED, Resources
from jacinthloom_core.policy.configuration_check import (
    CHECK_BY_NAME,
    CheckInput,
    Finding,
    FleetWorker,
    find_findings,
)
from jacinthloom_core.policy.configuration_difference import Effect, find_differences
from jacinthloom_wire.configuration_file import load_configuration

DEMO = Path(__file__).parent.parent / "testkit" / "demo.toml"
DEFAULT_NEED = Resources(100, slots=1)
LOOKUP = WorkClass("lookup", "request", 5.0)
REBUILD = WorkClass("rebuild", "batch", None, 27_000)
PLANNING = Team("planning", 2.0)
SHOP = Team("shop", 1.0)
WORKERS = tuple(
    FleetWorker(zone, True, Resources(8000, 16_384, 1, 32)) for zone in ("a", "b", "c")
)
"""A fleet of 24 processors, 49,152 MiB and 3 accelerators."""


def limit(
    processors: int = UNLIMITED, memory: int = UNLIMITED, accelerators: int = UNLIMITED
) -> Resources:
    return Resources(processors, memory, accelerators, UNLIMITED)


def configure(
    classes: tuple[WorkClass, ...] = (LOOKUP, REBUILD),
    teams: tuple[Team, ...] = (PLANNING, SHOP),
    teams_by_key: dict[str, str] | None = None,
    zones_out: tuple[str, ...] = (),
) -> Configuration:
    if teams_by_key is None:
        teams_by_key = {f"k-{team.name}": team.name for team in teams}
    keys = {
        key: TeamKey(team, KeyHash(key, "", "")) for key, team in teams_by_key.items()
    }
    return Configuration(
        3,
        {item.name: item for item in classes},
        {item.name: item for item in teams},
        keys,
        zones_out,
    )


def check(
    classes: tuple[WorkClass, ...] = (LOOKUP, REBUILD),
    teams: tuple[Team, ...] = (PLANNING, SHOP),
    current: Configuration | None = None,
    workers: tuple[FleetWorker, ...] = (),
) -> list[Finding]:
    change = ClassesAndTeams(classes, teams)
    return list(
        find_findings(CheckInput.from_change(change, current, workers, DEFAULT_NEED))
    )


class FindingTest(unittest.TestCase):
    """Guards against findings that are missed, and against false ones."""

    def assert_found(self, findings: list[Finding], *expected: tuple[str, str]) -> None:
        self.assertEqual([(f.check, f.subject) for f in findings], list(expected))
        for finding in findings:
            severity = CHECK_BY_NAME[finding.check].severity
            self.assertEqual(finding.severity, severity)

    def test_sound_configuration_has_no_finding(self) -> None:
        # Guards against warnings that operators would learn to ignore.
        teams = (Team("planning", 2.0, limit(20_000, accelerators=0)), SHOP)
        self.assert_found(check(teams=teams, current=configure(), workers=WORKERS))

    def test_closed_class_without_any_team_is_an_error(self) -> None:
        # Guards against publishing a class that refuses every caller.
        open_class = WorkClass("board", "service", 30.0, open=True)
        findings = check((LOOKUP, open_class), ())
        self.assert_found(findings, ("class-without-caller", "class lookup"))
        self.assertEqual(findings[0].severity, "error")

    def test_configuration_without_classes_is_an_error(self) -> None:
        # Guards against an empty file that ends all jobs.
        self.assert_found(check(()), ("class-without-caller", "class"))

    def test_limit_that_admits_no_task_is_an_error(self) -> None:
        # Guards against a limit that rounds down to nothing.
        findings = check(teams=(Team("shop", 1.0, limit(0)),))
        self.assert_found(findings, ("empty-limit", "team shop"))
        self.assertEqual(findings[0].severity, "error")
        self.assert_found(check((REBUILD,), (Team("shop", 1.0, limit(1)),)))

    def test_limit_below_the_default_need_of_requests_is_found(self) -> None:
        # Guards against lookups that are refused as too large for their team.
        small = (Team("shop", 1.0, limit(99)),)
        self.assert_found(check(teams=small), ("default-need", "team shop"))
        self.assert_found(check((REBUILD,), small))
        self.assert_found(check(teams=(Team("shop", 1.0, limit(100)),)))

    def test_empty_memory_limit_is_found(self) -> None:
        # Guards against a limit that refuses every task that declares memory.
        findings = check(teams=(Team("shop", 1.0, limit(memory=0)),))
        self.assert_found(findings, ("empty-memory-limit", "team shop"))

    def test_team_in_force_without_key_is_found(self) -> None:
        # Guards against teams that nobody can submit for; a new team can't have a
        # key yet.
        current = configure(teams_by_key={"k": "planning"})
        teams = (PLANNING, SHOP, Team("new"))
        findings = check(teams=teams, current=current)
        self.assert_found(findings, ("team-without-key", "team shop"))

    def test_zone_out_without_workers_is_found(self) -> None:
        # Guards against a misspelt zone, whose workers go on as before.
        current = configure(zones_out=("a", "d"))
        findings = check(current=current, workers=WORKERS)
        self.assert_found(findings, ("zone", "zone d"))
        self.assert_found(check(current=current))

    def test_all_zones_out_is_found(self) -> None:
        # Guards against a fleet on which nothing can start.
        current = configure(zones_out=("a", "b", "c"))
        findings = check(current=current, workers=WORKERS)
        self.assert_found(findings, ("zone", "zone"))

    def test_limit_that_the_fleet_cannot_exceed_is_found(self) -> None:
        # Guards against a limit that does not limit, such as a slip of a digit.
        findings = check(
            teams=(Team("shop", 1.0, limit(240_000, accelerators=0)),), workers=WORKERS
        )
        self.assert_found(findings, ("ineffective-limit", "team shop"))
        self.assertIn("240 processors", findings[0].text)
        self.assertIn("fleet has 24 processors", findings[0].text)

    def test_limit_on_accelerators_that_no_worker_has_is_found(self) -> None:
        # Guards against a limit on a resource that the fleet lacks.
        workers = (FleetWorker("a", True, Resources(8000, 16_384, 0, 32)),)
        teams = (Team("shop", 1.0, limit(accelerators=2)),)
        findings = check(teams=teams, workers=workers)
        self.assert_found(findings, ("ineffective-limit", "team shop"))

    def test_limit_below_the_promised_share_is_found(self) -> None:
        # Guards against a share that its own limit withholds.
        teams = (Team("planning", 2.0, limit(8000)), SHOP)
        findings = check(teams=teams, workers=WORKERS)
        self.assert_found(findings, ("limit-below-share", "team planning"))
        self.assertIn("limit of 8 processors", findings[0].text)
        self.assertIn("16 processors", findings[0].text)

    def test_promise_counts_only_usable_workers(self) -> None:
        # Guards against a promise of capacity in a zone that is out, or of lost
        # workers: 8 processors are left, and two thirds of them are below the limit.
        teams = (Team("planning", 2.0, limit(8000)), SHOP)
        lost = FleetWorker("b", False, Resources(8000, 16_384, 1, 32))
        workers = (WORKERS[0], lost, WORKERS[2])
        current = configure(zones_out=("c",))
        self.assert_found(check(teams=teams, current=current, workers=workers))

    def test_share_too_small_for_any_task_is_found(self) -> None:
        # Guards against a weight that is next to nothing beside the others.
        teams = (Team("planning", 1_000_000.0), Team("shop", 0.001))
        findings = check(teams=teams, workers=WORKERS)
        self.assert_found(findings, ("tiny-share", "team shop"))

    def test_errors_come_before_warnings(self) -> None:
        # Guards against errors that are lost below a list of warnings.
        teams = (Team("planning", 2.0, limit(99)), Team("shop", 1.0, limit(0)))
        severities = [item.severity for item in check(teams=teams)]
        self.assertEqual(severities, ["error", "warning"])

    def test_shipped_example_has_no_finding_by_itself(self) -> None:
        # Guards against an example, or a check, that fails as shipped.
        change = load_configuration(DEMO)
        given = CheckInput.from_change(change, None, (), DEFAULT_NEED)
        self.assertEqual(find_findings(given), ())


class DifferenceTest(unittest.TestCase):
    """Guards against differences that are missed or sorted below lesser ones."""

    def test_every_field_is_compared_and_the_worst_effect_comes_first(self) -> None:
        current = configure(
            (LOOKUP, REBUILD, WorkClass("check", "gang", 60.0, open=True)),
            (
                Team("planning", 2.0, limit(8000, 1024)),
                SHOP,
                Team("old", 1.0),
                Team("wards", 4.0),
            ),
        )
        proposed = configure(
            (
                WorkClass("check", "batch", 90.0),
                REBUILD,
                WorkClass("new", "batch", 9.0),
            ),
            (
                Team("planning", 2.0, limit(4000, 2048)),
                Team("shop", 2.0),
                Team("wards", 3.0),
                Team("fresh", 1.0),
            ),
            {"k-planning": "planning", "k-shop": "shop", "k-wards": "wards"},
        )
        differences = find_differences(current, proposed)
        self.assertEqual(
            [(item.effect, item.subject, item.field) for item in differences],
            [
                (Effect.KEY_WITHDRAWN, "key k-old of team old", ""),
                (Effect.CLASS_REMOVED, "class lookup", ""),
                (Effect.TEAM_REMOVED, "team old", ""),
                (Effect.LIMIT_LOWERED, "team planning", "limit.processors"),
                (Effect.CLASS_CLOSED, "class check", "open"),
                (Effect.KIND_CHANGED, "class check", "kind"),
                (Effect.TARGET_CHANGED, "class check", "target"),
                (Effect.SHARE_LOWERED, "team wards", "share"),
                (Effect.SHARE_RAISED, "team shop", "share"),
                (Effect.LIMIT_RAISED, "team planning", "limit.memory_gib"),
                (Effect.CLASS_ADDED, "class new", ""),
                (Effect.TEAM_ADDED, "team fresh", ""),
            ],
        )
        self.assertIn("limit.processors: 8 processors -> 4", str(differences[3]))

    def test_first_limit_counts_as_lowered_and_a_removed_one_as_raised(self) -> None:
        # Guards against a new limit that is listed below the removal of one.
        limited = configure(teams=(Team("shop", 1.0, limit(8000)),))
        free = configure(teams=(SHOP,))
        (lowered,) = find_differences(free, limited)
        (raised,) = find_differences(limited, free)
        self.assertIs(lowered.effect, Effect.LIMIT_LOWERED)
        self.assertIs(raised.effect, Effect.LIMIT_RAISED)

    def test_new_team_lowers_the_part_of_the_others(self) -> None:
        # Guards against a loss of capacity that no field of the team shows.
        teams = (PLANNING, SHOP, Team("new", 3.0))
        differences = find_differences(configure(), configure(teams=teams))
        self.assertEqual(
            [(item.effect, item.subject) for item in differences],
            [
                (Effect.SHARE_LOWERED, "team planning"),
                (Effect.SHARE_LOWERED, "team shop"),
                (Effect.TEAM_ADDED, "team new"),
            ],
        )

    def test_shares_in_another_scale_are_not_reported_as_lowered(self) -> None:
        # Guards against a false loss by rounding of equal parts.
        old = configure(teams=(Team("x", 0.1), Team("y", 0.2), Team("z", 0.3)))
        new = configure(teams=(Team("z", 3.0), Team("y", 2.0), Team("x", 1.0)))
        effects = {item.effect for item in find_differences(old, new)}
        self.assertEqual(effects, {Effect.SHARE_RESCALED})
        self.assertEqual(find_differences(old, old), ())


if __name__ == "__main__":
    unittest.main()
