"""The TOML file from which operators publish classes and teams."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import voluptuous as vol
from jacinthloom_core.model.configuration import ClassesAndTeams, Team, WorkClass
from jacinthloom_core.model.resources import (
    MILLICORES_PER_PROCESSOR,
    UNLIMITED,
    Resources,
)

from . import checks
from .checks import CheckError, Problem

MEBIBYTES_PER_GIBIBYTE = 1024

TARGETS = ("answer_within", "done_within", "done_by", "start_within")
"""Keys that state a class's target."""

TARGETS_BY_KIND = {
    "request": ("answer_within",),
    "batch": ("done_within", "done_by"),
    "gang": ("done_within", "done_by"),
    "service": ("start_within",),
}
"""Targets that each kind of work can have."""

_SCHEMA = vol.Schema(
    {
        vol.Required("class"): [
            {
                vol.Required("name"): checks.name,
                vol.Required("kind"): checks.one_of(*TARGETS_BY_KIND),
                vol.Optional("answer_within"): checks.duration,
                vol.Optional("done_within"): checks.duration,
                vol.Optional("done_by"): checks.time_of_day,
                vol.Optional("start_within"): checks.duration,
                vol.Optional("open"): checks.truth,
            }
        ],
        vol.Required("team"): [
            {
                vol.Required("name"): checks.name,
                vol.Required("share"): checks.number(0.001, 1_000_000),
                vol.Optional("limit"): {
                    vol.Optional("processors"): checks.number(0, 10_000_000),
                    vol.Optional("memory_gib"): checks.number(0, 100_000_000),
                    vol.Optional("accelerators"): checks.whole(0, 1_000_000),
                },
            }
        ],
    }
)


def load_configuration(path: Path) -> ClassesAndTeams:
    """Read and check a configuration file, whole.

    :raises CheckError: with every problem found
    """
    return parse_configuration(_read(path), str(path))


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = Problem("(file)", str(error), "a readable TOML file")
        raise CheckError(str(path), [problem]) from error


def parse_configuration(plain: dict[str, Any], source: str) -> ClassesAndTeams:
    """Check the parsed form of a configuration file.

    :raises CheckError: with every problem found
    """
    checked = checks.check(_SCHEMA, plain, source)
    problems = [
        *_find_target_problems(plain["class"]),
        *_find_repeated(plain["class"], "class"),
        *_find_repeated(plain["team"], "team"),
    ]
    if problems:
        raise CheckError(source, problems)
    return ClassesAndTeams(
        tuple(_build_class(item) for item in checked["class"]),
        tuple(_build_team(item) for item in checked["team"]),
    )


def _find_target_problems(classes: list[dict[str, Any]]) -> list[Problem]:
    problems = []
    for index, item in enumerate(classes):
        given = [key for key in TARGETS if key in item]
        allowed = TARGETS_BY_KIND[item["kind"]]
        if len(given) != 1 or given[0] not in allowed:
            problems.append(
                Problem(
                    f"class[{index}] {item['name']}",
                    ", ".join(given) or "no target",
                    f"for kind {item['kind']}, exactly one of " + ", ".join(allowed),
                )
            )
    return problems


def _find_repeated(items: list[dict[str, Any]], word: str) -> list[Problem]:
    seen: set[str] = set()
    problems = []
    for index, item in enumerate(items):
        if item["name"] in seen:
            key = f"{word}[{index}].name"
            problems.append(Problem(key, item["name"], "a name used only once"))
        seen.add(item["name"])
    return problems


def _build_class(item: dict[str, Any]) -> WorkClass:
    within = item.get("answer_within") or item.get("done_within")
    within = within or item.get("start_within")
    return WorkClass(
        item["name"], item["kind"], within, item.get("done_by"), item.get("open", False)
    )


def _build_team(item: dict[str, Any]) -> Team:
    limit = item.get("limit")
    return Team(item["name"], item["share"], _build_limit(limit) if limit else None)


def _build_limit(limit: dict[str, Any]) -> Resources:
    processors = UNLIMITED
    if "processors" in limit:
        processors = int(limit["processors"] * MILLICORES_PER_PROCESSOR)
    memory = UNLIMITED
    if "memory_gib" in limit:
        memory = int(limit["memory_gib"] * MEBIBYTES_PER_GIBIBYTE)
    return Resources(
        processors, memory, limit.get("accelerators", UNLIMITED), UNLIMITED
    )
