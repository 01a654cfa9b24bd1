"""Record the events and effects of a session and compare them with a golden file.

``python -m tests.golden --update`` rewrites the file and prints the difference.
"""

from __future__ import annotations

import difflib
import re
import sys
from pathlib import Path

from jacinthloom_core.model.configuration import ClassesAndTeams, Team, ZoneOut
from jacinthloom_core.model.effects import SendPacket
from jacinthloom_core.model.events import (
    HostsListed,
    LogRead,
    PacketReceived,
    Ticked,
)
from jacinthloom_core.model.messages import Assurance, AssuranceAsked

from testkit.virtual import World
from testkit.virtual.schedule import CHECK, CLASSES, LOOKUP, REBUILD

SESSION_PATH = Path(__file__).parent / "golden" / "session.txt"


def record_session() -> str:
    """Run requests, batch jobs, a cancellation, a change and a crash of an owner."""
    world = World(7, members=3, racks=3, workers_per_rack=1)
    lines: list[str] = []
    world.record = lambda name, event, effects: lines.extend(
        _format_step(world.now, name, event, effects)
    )
    world.run(8.0)
    first = world.alive[0]
    world.change(first, ClassesAndTeams(CLASSES, (Team("planning"),)))
    world.run(1.5)
    world.grant_key(first, "planning")
    world.run(1.5)
    for number in range(2):
        spec = world.make_spec(f"r-{number}", LOOKUP, processors=200)
        world.ask(world.alive[number], spec)
    spec = world.make_spec("j-batch", REBUILD, tasks=3, run_time_s=1.0)
    world.ask(world.alive[1], spec)
    spec = world.make_spec("j-gang", CHECK, tasks=2, run_time_s=1.0)
    world.ask(world.alive[2], spec)
    spec = world.make_spec("j-cancelled", REBUILD, tasks=2, run_time_s=20.0)
    world.ask(world.alive[0], spec)
    world.run(1.0)
    world.cancel(world.alive[1], "j-cancelled")
    world.change(first, ZoneOut("zone-1"))
    world.run(5.0)
    owners = [p for p in world.alive if p.member.owned_workers.worker_by_name]
    world.kill(owners[0])
    world.run(16.0)
    spec = world.make_spec("r-last", LOOKUP, processors=200)
    world.ask(world.alive[0], spec)
    world.run(2.0)
    return "\n".join(lines) + "\n"


def _format_step(
    now: float, name: str, event: object, effects: list[object]
) -> list[str]:
    shown = [effect for effect in effects if not _is_routine_effect(effect)]
    if _is_routine_event(event) and not shown:
        return []
    lines = [f"{now:9.4f} {name} {_format_short(event)}"]
    lines += [f"              -> {_format_short(effect)}" for effect in shown]
    return lines


def _is_routine_event(event: object) -> bool:
    if isinstance(event, LogRead):
        return not event.entries
    if isinstance(event, PacketReceived):
        return isinstance(event.packet.message, Assurance | AssuranceAsked)
    return isinstance(event, Ticked | HostsListed)


def _is_routine_effect(effect: object) -> bool:
    if isinstance(effect, SendPacket):
        return isinstance(effect.packet.message, Assurance | AssuranceAsked)
    return False


def _format_short(value: object) -> str:
    text = re.sub(r"now=[\d.]+, wall=[\d.]+,? ?", "", repr(value))
    return re.sub(r"(\d+\.\d{3})\d+", r"\1", text)


def main() -> int:
    new = record_session()
    old = SESSION_PATH.read_text() if SESSION_PATH.exists() else ""
    difference = difflib.unified_diff(
        old.splitlines(), new.splitlines(), "recorded", "now", lineterm="", n=1
    )
    for line in difference:
        print(line[:200])
    if "--update" in sys.argv:
        SESSION_PATH.parent.mkdir(exist_ok=True)
        SESSION_PATH.write_text(new)
        return 0
    return int(old != new)


if __name__ == "__main__":
    sys.exit(main())
