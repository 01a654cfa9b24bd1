"""Cancels that do not wait for the answer to the submission of their job."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .world import World

MAX_DELAY_S = 0.3
"""Maximum seconds from a submission to the first cancel."""

ATTEMPTS = 4
SLOW_SHARE = 0.6
"""Share of the cancels beside which the store is slow."""

SLOW_S = 3.0
KILL_SHARE = 0.3
"""Share of the acknowledgements right after which the planner is killed."""

LONGEST_ELECTION_S = 1.0


class EarlyCancels:
    """Cancels jobs early and asks for their states, as drawn from a seed.

    :param share: share of the jobs that are cancelled
    """

    def __init__(self, world: World, seed: int, share: float) -> None:
        self._world = world
        self._random = Random(f"early cancel {seed}")
        self._share = share
        self._acknowledged: set[str] = set()

    def on_submitted(self, job: str) -> None:
        """Draw whether a job is cancelled early."""
        if not self._share or self._random.random() >= self._share:
            return
        if self._random.random() < SLOW_SHARE:
            self._world.slow_store(SLOW_S)
        delay_s = self._random.uniform(0.0, MAX_DELAY_S)
        self._world.clock.after(delay_s, lambda: self._cancel(job, ATTEMPTS))

    def _cancel(self, job: str, attempts: int) -> None:
        """Cancel a job, again until that is acknowledged, and ask for its state."""
        random, world = self._random, self._world
        world.ask(job)
        if not attempts or job in self._acknowledged:
            return
        world.cancel(job)
        delay_s = random.uniform(0.1, 0.6)
        world.clock.after(delay_s, lambda: self._cancel(job, attempts - 1))

    def on_acknowledged(self, job: str) -> None:
        """Ask for the state of a job, and kill the planner in some cases."""
        if not self._share or job in self._acknowledged:
            return
        self._acknowledged.add(job)
        world = self._world
        world.clock.after(0.0, lambda: world.ask(job))
        if self._random.random() < KILL_SHARE:
            election_s = self._random.uniform(0.05, LONGEST_ELECTION_S)
            world.clock.after(0.0, lambda: world.replace_planner(election_s))
