"""Jobs of hundreds of steps, which a scenario submits beside the usual ones."""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from jacinthloom_core.model.resources import Resources
from jacinthloom_core.planner.specs import JobSpec, StepSpec

if TYPE_CHECKING:
    from .world import World

MIN_STEPS = 100
MAX_STEPS = 250
MAX_DELAY_S = 15.0
"""Virtual time up to which they are submitted."""


class LargeJobs:
    """Draws jobs of many steps from a seed.

    :param count: number of such jobs
    """

    def __init__(self, world: World, seed: int, count: int) -> None:
        self._world = world
        self._random = Random(f"large job {seed}")
        self._count = count

    def schedule(self) -> None:
        """Submit the jobs at times that are drawn."""
        for _ in range(self._count):
            delay_s = self._random.uniform(0.2, MAX_DELAY_S)
            self._world.clock.after(delay_s, self._submit)

    def _submit(self) -> None:
        self._world.submit(self._draw())

    def _draw(self) -> JobSpec:
        random = self._random
        step = StepSpec(1, Resources(random.choice((50, 100)), 10), 0.5)
        count = random.randint(MIN_STEPS, MAX_STEPS)
        shape = random.choice(("alike", "unlike", "chain", "fan", "timed"))
        steps = [step] * count
        if shape == "unlike":
            sizes = (Resources(random.randint(20, 150), 10) for _ in range(count))
            steps = [replace(step, size=size) for size in sizes]
        elif shape == "chain":
            count //= 10  # each step takes up to 3 s
            steps = [step, *(replace(step, after=(n,)) for n in range(count))]
        elif shape == "fan":
            middle = [replace(step, after=(0,))] * (count - 2)
            last = replace(step, after=tuple(range(count - 1)))
            steps = [step, *middle, last]
        spec = JobSpec(
            f"{random.getrandbits(64):016x}",
            random.choice(("fast", "slow")),
            f"t{random.randrange(3)}",
            "text",
            tuple(steps),
            int(self._world.clock.now * 1000),
        )
        if shape != "timed":
            return spec
        due_ms = spec.received_ms
        return replace(
            spec,
            steps=(step,) * 10,
            first_due_ms=due_ms,
            period_ms=1,
            occurrences=count // 10,
        )
