"""Workers that restart under their ids and are cut off soon after."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from .worker import VirtualWorker
    from .world import World

CONNECT_TIMEOUT_S = 0.3
"""Seconds for which an order waits for a connection to a worker that is down."""

JOBS_PER_RESTART = 8
"""Jobs submitted while workers restart, so that there are starts to go astray."""

POLL_TIMEOUT_S = 1.6
"""Seconds after which a long poll fails: crashed workers reset no connections."""

SHORT_POLL_TIMEOUT_S = 0.5
"""Like ``POLL_TIMEOUT_S``, in scenarios without such workers."""

HEARTBEAT_INTERVAL_S = 1.5
"""Seconds until the entry of a worker shows its new incarnation."""


class Recuts:
    """Crashes workers that return under their ids, and cuts them off afterwards.

    Orders that are sent meanwhile may reach the incarnation that follows the one that
    they are meant for. If the planner is killed between the return and the cut, or soon
    after, its successor has seen nothing of the incarnation before.
    """

    def __init__(
        self,
        world: World,
        seed: int,
        zones: Sequence[str],
        count: int,
        kill_share: float,
    ) -> None:
        """Create a source of restarts.

        :param kill_share: share of them in which the planner is killed
        """
        self._world = world
        self._random = Random(f"recut {seed}")
        self._zones = zones
        self._count = count
        self._kill_share = kill_share

    @property
    def poll_timeout_s(self) -> float:
        """Seconds after which a poll of a silent worker fails."""
        return POLL_TIMEOUT_S if self._count else SHORT_POLL_TIMEOUT_S

    def schedule(self, ends_at: float) -> None:
        """Schedule the restarts.

        :param ends_at: time up to which they begin
        """
        for _ in range(self._count):
            self._world.clock.after(self._random.uniform(1, ends_at), self._begin)

    def draw_connect_s(self) -> float | None:
        """Draw when an order to a worker that is down connects to it, if it does.

        :return: seconds until it tries once more; None if it does not
        """
        if not self._count or self._random.random() < 0.3:
            return None
        return self._random.uniform(0, CONNECT_TIMEOUT_S)

    def _begin(self) -> None:
        world, random = self._world, self._random
        zone = random.choice(self._zones)
        workers = [w for w in world.workers.values() if w.zone == zone and w.is_up]
        down_s = random.uniform(0.05, 1.0)
        for worker in workers:
            worker.crash()
            worker_down_s = down_s + random.uniform(0, 0.5)
            world.clock.after(worker_down_s, partial(self._return, worker))
        for _ in range(JOBS_PER_RESTART):
            world.clock.after(random.uniform(0, down_s + 1.5), world.submit_random_job)
        kill_at_s = down_s + random.uniform(0.3, 2)
        cut_at_s = kill_at_s + random.uniform(-0.3, 1)
        cut_s = random.uniform(8, 16)
        for worker in workers:
            world.clock.after(cut_at_s, partial(world.cut_off, worker, cut_s))
        if random.random() < self._kill_share:
            elect_s = random.uniform(0.1, 1)
            world.clock.after(kill_at_s, lambda: world.replace_planner(elect_s))

    def _return(self, worker: VirtualWorker) -> None:
        worker.restart()
        report = partial(self._world.report_listed, worker)
        self._world.clock.after(self._random.uniform(0, HEARTBEAT_INTERVAL_S), report)
