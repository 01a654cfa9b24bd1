"""The longest stretch of work of a planner, by the shape of the jobs.

``python -m bench.job_shapes`` runs one planner in this process, without a network. Its
store acknowledges at once. It exits with 1 if a stretch is longer than the target.
"""

from __future__ import annotations

import gc
import sys
import time
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner import effects, events
from jacinthloom_core.planner.fleet import WorkerEntry
from jacinthloom_core.planner.planner import TICK_S, Planner
from jacinthloom_core.planner.rules import ClientAccount, Queue, Rules
from jacinthloom_core.planner.specs import JobSpec, StepSpec
from jacinthloom_core.planner.state import PlannerSettings
from jacinthloom_daemon.hosted.garbage import collect_recent, disable_full_collections

if TYPE_CHECKING:
    from collections.abc import Iterator

TARGET_S = 0.2
"""Longest stretch of work that is allowed, in seconds: a fifth of a claim."""

SIZE = Resources(8_000, 512)
CAPACITY = Resources(32_000, 65_536)
FLEETS = (8, 176, 1_000)
RULES = Rules(
    1,
    {"q": Queue("q", "h", "/q/", "service", 0, 2, 1.5, 0.25)},
    {"t": ClientAccount("t", 1, Resources())},
)


@dataclass(frozen=True, slots=True)
class Shape:
    """Jobs that are alike.

    :param occurrences: how many times each runs, all due at once; 0 for once
    """

    name: str
    jobs: int
    steps: tuple[StepSpec, ...]
    occurrences: int = 0


def make_shapes() -> tuple[Shape, ...]:
    """Return the shapes to measure."""
    one = StepSpec(1, SIZE, 2.0)
    sizes = (Resources(4_000 + 20 * n, 512) for n in range(700))
    chain = (one, *(StepSpec(1, SIZE, 2.0, after=(n,)) for n in range(699)))
    dense = tuple(StepSpec(1, SIZE, 2.0, after=tuple(range(n))) for n in range(300))
    gang = StepSpec(3, SIZE, 2.0, gang=True)
    return (
        Shape("7 jobs of 700 steps", 7, (one,) * 700),
        Shape("7 jobs of 700 sizes", 7, tuple(StepSpec(1, s, 2.0) for s in sizes)),
        Shape("7 chains of 700 steps", 7, chain),
        Shape("7 jobs, each step after all before", 7, dense),
        Shape("7 jobs of 300 gangs", 7, (gang,) * 300),
        Shape("700 jobs of a step", 700, (one,)),
        Shape("20 jobs of 2,000 steps", 20, (one,) * 2_000),
        Shape("200 occurrences of 100 steps", 1, (one,) * 100, 200),
    )


@dataclass(slots=True)
class Measurement:
    """A planner whose stretches of work are measured."""

    workers: int
    now: float = 0.0
    term: int = 0
    calls: int = 0
    stored_bytes: int = 0
    value_by_key: dict[str, bytes] = field(default_factory=dict)
    longest_by_kind: dict[str, float] = field(default_factory=dict)
    planner: Planner = field(init=False)

    def __post_init__(self) -> None:
        self.begin_term()

    @contextmanager
    def _measure(self, kind: str) -> Iterator[None]:
        began = time.perf_counter()
        yield
        took_s = time.perf_counter() - began
        longest_s = self.longest_by_kind.get(kind, 0.0)
        self.longest_by_kind[kind] = max(longest_s, took_s)

    def begin_term(self) -> None:
        """Let a successor load the records."""
        self.term += 1
        self.planner = Planner(PlannerSettings(self.term, 6.0, 120.0))
        wall_ms = int(self.now * 1000)
        parts = self.planner.load_in_parts(self.value_by_key, self.now, wall_ms)
        is_loaded = False
        while not is_loaded:
            with self._measure("load"):
                is_loaded = next(parts, True) is True
        self._handle(events.RulesChanged(self.now, RULES))
        for number in range(self.workers):
            self._add_worker(f"w{number}", f"z{number % 3}")

    def _add_worker(self, name: str, zone: str) -> None:
        now = self.now
        entry = WorkerEntry(
            name, "service", "1:1", zone, True, CAPACITY, frozenset(), "", 5
        )
        self._handle(events.WorkerListed(now, entry))
        token, clock_ms = self.planner.state.worker_by_id[name].token, int(now * 1000)
        self._handle(
            events.WorkerPolled(now, name, now - 0.01, token, 5, clock_ms, (), ())
        )

    def _handle(self, event: events.Event) -> None:
        with self._measure(type(event).__name__):
            emitted = self.planner.handle(event)
        for effect in emitted:
            if isinstance(effect, effects.Store):
                self._store(effect)

    def _store(self, batch: effects.Store) -> None:
        for record in batch.records:
            self.stored_bytes += len(record.value)
            self.value_by_key[record.key] = record.value
            if not record.value:
                del self.value_by_key[record.key]
        self._handle(events.BatchStored(self.now, batch.number))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        for _ in range(int(seconds / TICK_S)):
            self.now += TICK_S
            wall_ms, until = int(self.now * 1000), self.now + 5.0
            self._handle(events.Tick(self.now, wall_ms, until))
            self._handle(events.FlushDue(self.now))

    def submit(self, shape: Shape) -> None:
        """Submit one job of a shape."""
        self.calls += 1
        received_ms = int(self.now * 1000)
        spec = JobSpec(f"{self.calls:016x}", "q", "t", "text", shape.steps, received_ms)
        if shape.occurrences:
            times = (received_ms, 1, shape.occurrences)
            spec = JobSpec(spec.id, "q", "t", "text", shape.steps, received_ms, *times)
        self._handle(events.JobSubmitted(self.now, self.calls, spec))

    def cancel_first(self) -> None:
        """Cancel the job that was submitted first."""
        self._handle(events.CancelRequested(self.now, 0, f"{1:016x}"))


def measure(shape: Shape, workers: int) -> Measurement:
    """Submit jobs, cancel one, and let a successor load the others."""
    measurement = Measurement(workers)
    for _ in range(shape.jobs):
        measurement.submit(shape)
        measurement.run(TICK_S)
    measurement.run(2.0)
    measurement.cancel_first()
    measurement.run(0.1)
    measurement.now += 1.0
    measurement.begin_term()
    measurement.run(1.2)
    return measurement


def main() -> int:
    """Measure all shapes on all fleets."""
    disable_full_collections()
    is_met = True
    sys.stdout.write("| jobs | workers | longest ms | kind | stored MB |\n|---|---|")
    sys.stdout.write("---|---|---|\n")
    for shape in make_shapes():
        for workers in FLEETS:
            measurement = measure(shape, workers)
            longest = measurement.longest_by_kind
            kind = max(longest, key=longest.__getitem__)
            is_met = is_met and longest[kind] <= TARGET_S
            sys.stdout.write(
                f"| {shape.name} | {workers:,} | {longest[kind] * 1000:.0f} | {kind} |"
                f" {measurement.stored_bytes / 1e6:.1f} |\n"
            )
            measurement.planner.clear()
            gc.unfreeze()
            collect_recent()
    return 0 if is_met else 1


if __name__ == "__main__":
    sys.exit(main())
