"""Series of faults, drawn from a seed, which overlap."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from functools import partial
from typing import TYPE_CHECKING

from ..hosted.deployment import STORE as STORE_PLACE
from ..hosted.network import Cut, CutMode
from .observations import STORE, Evacuation, Outage

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator
    from random import Random

    from ..hosted.worker import WorkerStandIn
    from .deployment import SoakDeployment
    from .observations import Observations
    from .traffic import Operator

LOST_AFTER_S = 4.5
"""Seconds of silence after which the entry of a worker is removed."""

CANCEL_WAIT_S = 5.0
"""Seconds for which a fault waits until a cancel is acknowledged."""

LONGEST_SERIES = 4

LONGEST_DELAYED_S = 15.0
"""Seconds for which a worker counts as disturbed once its orders are to be delayed."""

SIGNAL_AGAIN_SHARE = 0.4
"""Share of the processes that get another signal while they are stopped."""

MAX_STORE_OFFSET_S = 2.0
"""Seconds by which a zone loses the store earlier or later than the other zones."""


class FaultInjector:
    """Injects faults until it is cancelled.

    :ivar counts: number of faults of each kind
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        observations: Observations,
        random: Random,
        operator: Operator,
        kinds: tuple[str, ...] = (),
    ) -> None:
        """Create an injector.

        :param kinds: names of the faults to draw from; all of them if empty
        """
        self._deployment = deployment
        self._observations = observations
        self._random = random
        self._operator = operator
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self.counts: dict[str, int] = {}
        self._fault_by_name: dict[str, Callable[[], Awaitable[None]]] = {
            "pause": self._pause,
            "pause_planner": self._pause_planner,
            "kill": self._kill,
            "kill_planner": self._kill_planner,
            "terminate": self._terminate,
            "terminate_all": self._terminate_all,
            "herd_kill": self._herd_kill,
            "store_down": self._take_store_down,
            "kill_at_recovery": self._kill_at_recovery,
            "kill_at_cancel": self._kill_at_cancel,
            "store_slow": self._slow_store,
            "store_silent": self._silence_store,
            "store_reset": self._reset_store,
            "half_answers": self._cut_answers,
            "lost_answers": self._drop_answers,
            "truncated": self._truncate_topics,
            "zone_cut": self._cut_zone,
            "planner_zone_cut": self._cut_zone_of_planner,
            "long_outage": self._take_store_away,
            "link_cut": self._cut_link,
            "link_stalled": self._stall_link,
            "all_stalled": self._stall_all,
            "worker_crash": self._crash_worker,
            "worker_cut": self._cut_worker,
            "workers_recut": self._recut_workers,
            "workers_recut_no_kill": partial(self._recut_workers, 0.0),
            "worker_stalled": self._stall_worker,
            "workers_mute": self._mute_workers,
            "worker_late": self._delay_orders,
            "drain": self._drain_worker,
            "evacuation": self._evacuate,
            "changes_at_takeover": self._change_at_takeover,
            "quiet": self._wait,
        }
        self._kinds = kinds or tuple(self._fault_by_name)

    async def run(self, until: float, series: int) -> None:
        """Inject series of faults, some of them at the same time.

        :param until: monotonic time at which the last fault has begun
        :param series: number of series that go on at a time
        """
        async with asyncio.TaskGroup() as group:
            for _ in range(series):
                group.create_task(self._run_series(until))
        await asyncio.gather(*self._tasks)

    async def _run_series(self, until: float) -> None:
        random = self._random
        while time.monotonic() < until:
            name = random.choice(self._kinds)
            for _ in range(random.randint(1, LONGEST_SERIES)):
                if time.monotonic() >= until:
                    return
                self.counts[name] = self.counts.get(name, 0) + 1
                await self._fault_by_name[name]()
                await asyncio.sleep(random.uniform(0.0, 1.0))
            await asyncio.sleep(random.uniform(0.2, 4.0))

    def _later(self, work: Awaitable[None]) -> None:
        async def run() -> None:
            await work

        task = asyncio.create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @contextlib.contextmanager
    def _reserve(self, name: str) -> Iterator[bool]:
        """Reserve a process or worker, unless another fault has it."""
        is_free = name not in self._busy
        self._busy.add(name)
        try:
            yield is_free
        finally:
            if is_free:
                self._busy.discard(name)

    def _choose_ip(self) -> str:
        return self._random.choice(self._deployment.ips)

    async def _find_planner(self) -> str:
        return await self._deployment.find_planner()

    # Processes

    async def _pause(self, ip: str = "") -> None:
        ip = ip or self._choose_ip()
        duration_s = self._random.uniform(0.2, 5.0)
        with self._reserve(ip) as is_free:
            if is_free:
                await self._deployment.pause(ip, duration_s)

    async def _pause_planner(self) -> None:
        await self._pause(await self._find_planner())

    async def _restart(self, ip: str, number: signal.Signals) -> None:
        down_s = self._random.uniform(0.1, 2.0)
        with self._reserve(ip) as is_free:
            if is_free:
                await self._deployment.restart(ip, down_s, number)

    async def _kill(self) -> None:
        await self._restart(self._choose_ip(), signal.SIGKILL)

    async def _kill_planner(self) -> None:
        await self._restart(await self._find_planner(), signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(self._choose_ip(), signal.SIGTERM)

    async def _terminate_all(self) -> None:
        """Stop all processes, at once or in turn; some get further signals."""
        random = self._random
        gap_s = random.choice((0.0, random.uniform(0.0, 2.0)))
        ips = self._deployment.ips
        async with asyncio.TaskGroup() as group:
            for ip in random.sample(ips, len(ips)):
                group.create_task(self._stop(ip))
                await asyncio.sleep(gap_s)

    async def _stop(self, ip: str) -> None:
        """Stop a process with SIGTERM, and perhaps signal it again meanwhile."""
        random = self._random
        with self._reserve(ip) as is_free:
            if not is_free:
                return
            if random.random() < SIGNAL_AGAIN_SHARE:
                number = random.choice((signal.SIGTERM, signal.SIGHUP))
                delay_s = random.uniform(0.0, 2.0)
                self._later(self._deployment.signal_later(ip, delay_s, number))
            down_s = random.uniform(0.1, 2.0)
            await self._deployment.restart(ip, down_s, signal.SIGTERM)

    async def _herd_kill(self) -> None:
        ips = [ip for ip in self._deployment.ips if self._random.random() < 0.6]
        await asyncio.gather(*(self._restart(ip, signal.SIGKILL) for ip in ips))

    # Availability zones

    async def _cut_zone(self, zone: str = "") -> None:
        """Cut a zone off from the store and the others; clients reach all processes."""
        random = self._random
        zone = zone or random.choice(tuple(self._deployment.zone_by_ip.values()))
        duration_s = random.uniform(3.0, 25.0)
        mode = random.choice(tuple(CutMode))
        offset_s = random.choice((0.0, random.uniform(-1.0, 1.0) * MAX_STORE_OFFSET_S))
        with self._reserve(f"cut {zone}") as is_free:
            if not is_free:
                return
            deployment = self._deployment
            ips = deployment.list_ips(zone)
            others = frozenset(deployment.ips) - ips
            workers = {worker.id: worker for worker in deployment.workers}
            inside = frozenset(w.id for w in workers.values() if w.zone == zone)
            for ip in ips:
                self._observations.disturb(ip, duration_s + abs(offset_s))
            for worker in workers:
                self._observations.harm(worker, duration_s + abs(offset_s))
            cut = Cut(ips, others | (frozenset(workers) - inside), mode)
            cut_of_workers = Cut(others, inside, mode)
            cut_of_store = Cut(ips, frozenset({STORE_PLACE}), mode)
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._cut_links(max(0.0, offset_s), duration_s, cut_of_store)
                )
                group.create_task(
                    self._cut_links(
                        max(0.0, -offset_s), duration_s, cut, cut_of_workers
                    )
                )
                if random.random() < 0.5:
                    lost = [workers[name] for name in sorted(inside)]
                    group.create_task(self._unlist_workers(lost, duration_s))

    async def _cut_links(self, delay_s: float, duration_s: float, *cuts: Cut) -> None:
        await asyncio.sleep(delay_s)
        for cut in cuts:
            self._deployment.network.cut(cut)
        await asyncio.sleep(duration_s)
        for cut in cuts:
            self._deployment.network.heal(cut)

    async def _unlist_workers(
        self, workers: list[WorkerStandIn], duration_s: float
    ) -> None:
        """Remove the entries of workers that can't reach the store, until they can."""
        if duration_s < LOST_AFTER_S:
            return
        await asyncio.sleep(LOST_AFTER_S)
        for worker in workers:
            await self._deployment.store.put("keyed.servers", worker.id, b"")
        back_s = self._random.uniform(0.0, 2.0)
        await asyncio.sleep(duration_s - LOST_AFTER_S + back_s)
        for worker in workers:
            if worker.is_up:
                await self._deployment.list_worker(worker)

    async def _cut_zone_of_planner(self) -> None:
        await self._cut_zone(self._deployment.zone_by_ip[await self._find_planner()])

    # The store, and the links to it

    async def _take_store_away(self) -> None:
        """Take the store away from all processes for longer than a lease."""
        duration_s = self._random.uniform(8.0, 20.0)
        mode = self._random.choice((None, *CutMode))
        began_at = time.monotonic()
        outage = Outage(began_at, began_at + duration_s)
        self._observations.outages.append(outage)
        scope = (STORE, outage.began_at, outage.ended_at)
        self._observations.disturbances.append(scope)
        if mode is None:
            self._deployment.store.is_down = True
            await asyncio.sleep(duration_s)
            self._deployment.store.is_down = False
            return
        ips = frozenset(self._deployment.ips)
        cut = Cut(ips, frozenset({STORE_PLACE}), mode)
        await self._cut_links(0.0, duration_s, cut)

    async def _disturb_store(
        self, attribute: str, value: object, usual: object
    ) -> None:
        duration_s = self._random.uniform(0.5, 6.0)
        self._observations.disturb(STORE, duration_s)
        setattr(self._deployment.store, attribute, value)
        await asyncio.sleep(duration_s)
        setattr(self._deployment.store, attribute, usual)

    async def _take_store_down(self) -> None:
        await self._disturb_store("is_down", True, False)

    async def _kill_at_recovery(self) -> None:
        """Kill the planner between the first appends after an outage."""
        await self._take_store_down()
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        await self._kill_planner()

    async def _kill_at_cancel(self) -> None:
        """Kill or stop the planner right after a cancel, while the store is slow."""
        planner, store = await self._find_planner(), self._deployment.store
        acknowledged = self._observations.cancel_acknowledged
        self._observations.disturb(STORE, CANCEL_WAIT_S)
        store.latency_s = self._random.uniform(0.1, 0.25)
        acknowledged.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CANCEL_WAIT_S):
                await acknowledged.wait()
        await asyncio.sleep(self._random.choice((0.0, self._random.uniform(0.0, 0.3))))
        number = self._random.choice((signal.SIGKILL, signal.SIGTERM))
        await self._restart(planner, number)
        store.latency_s = 0.0
        self._observations.disturb(STORE, 0.0)

    async def _slow_store(self) -> None:
        await self._disturb_store("latency_s", self._random.uniform(0.05, 0.25), 0.0)

    async def _silence_store(self) -> None:
        duration_s = self._random.uniform(0.3, 5.0)
        self._observations.disturb(STORE, duration_s)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.cut()
        await asyncio.sleep(duration_s)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.heal()

    async def _reset_store(self) -> None:
        self._observations.disturb(STORE, 0.0)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.reset()

    async def _cut_answers(self) -> None:
        """Answer every process with half an answer, then refuse calls for a while."""
        duration_s = self._random.uniform(0.0, 0.5)
        self._observations.disturb(STORE, duration_s)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.answers_to_cut = self._random.randint(1, 4)
        await asyncio.sleep(duration_s)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.answers_to_cut = 0
        if self._random.random() < 0.6:
            await self._take_store_down()

    async def _drop_answers(self) -> None:
        duration_s = self._random.uniform(0.5, 2.0)
        self._observations.disturb(STORE, duration_s)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.answers_to_drop = self._random.randint(1, 3)
        await asyncio.sleep(duration_s)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.answers_to_drop = 0

    async def _truncate_topics(self) -> None:
        for topic in ("keyed.op", "keyed.servers"):
            await self._deployment.store.truncate(topic)

    async def _cut_link(self) -> None:
        ip = self._choose_ip()
        proxy = self._deployment.store_proxy_by_ip[ip]
        duration_s = self._random.uniform(0.5, 6.0)
        self._observations.disturb(ip, duration_s)
        proxy.cut()
        await asyncio.sleep(duration_s)
        proxy.heal()

    async def _stall_link(self) -> None:
        ip = self._choose_ip()
        self._observations.disturb(ip, 0.0)
        self._deployment.store_proxy_by_ip[ip].stall()

    async def _stall_all(self) -> None:
        """Let all open connections fall silent, to the store and to workers."""
        self._observations.disturb(STORE, 0.0)
        for proxy in self._deployment.store_proxy_by_ip.values():
            proxy.stall()
        for proxy in self._deployment.proxy_by_worker.values():
            proxy.stall()

    # Workers

    def _choose_worker(self) -> WorkerStandIn:
        return self._random.choice(self._deployment.workers)

    async def _crash_worker(self) -> None:
        worker = self._choose_worker()
        with self._reserve(worker.id) as is_free:
            if not is_free or not worker.is_up:
                return
            await worker.crash()
            down_s = self._random.uniform(0.3, 7.0)
            self._observations.harm(worker.id, down_s)
            await asyncio.sleep(min(down_s, LOST_AFTER_S))
            if down_s > LOST_AFTER_S:
                await self._deployment.store.put("keyed.servers", worker.id, b"")
                await asyncio.sleep(down_s - LOST_AFTER_S)
            await worker.restart()
            await asyncio.sleep(self._random.uniform(0.0, 1.5))
            await self._deployment.list_worker(worker)

    async def _cut_worker(self) -> None:
        worker = self._choose_worker().id
        proxy = self._deployment.proxy_by_worker[worker]
        duration_s = self._random.uniform(0.3, 9.0)
        self._observations.harm(worker, duration_s)
        proxy.cut()
        await asyncio.sleep(duration_s)
        proxy.heal()

    async def _recut_workers(self, kill_share: float = 0.7) -> None:
        """Restart the workers of a zone under their ids, and cut them off soon after.

        They crash silently. If the planner is killed before the cut, its successor has
        seen nothing of their former lives.

        :param kill_share: share of the cases in which it is killed
        """
        random = self._random
        zone = self._choose_worker().zone
        down_s = random.uniform(0.05, 0.4)
        kill_at_s = random.uniform(0.5, 1.8)
        cut_at_s = max(0.0, kill_at_s + random.uniform(-0.2, 0.8))
        cut_s = random.uniform(8.0, 14.0)
        async with contextlib.AsyncExitStack() as stack:
            workers = [
                worker
                for worker in self._deployment.workers
                if worker.zone == zone
                and stack.enter_context(self._reserve(worker.id))
                and worker.is_up
            ]
            proxies = [self._deployment.proxy_by_worker[w.id] for w in workers]
            for worker, proxy in zip(workers, proxies, strict=True):
                self._observations.harm(worker.id, down_s + cut_at_s + cut_s)
                proxy.stall()
                await worker.crash()
            await asyncio.sleep(down_s)
            for worker in workers:
                await worker.restart()
                self._later(self._list_later(worker, random.uniform(0.0, 1.5)))
            if random.random() < kill_share:
                self._later(self._kill_planner_later(kill_at_s))
            await asyncio.sleep(cut_at_s)
            for proxy in proxies:
                proxy.cut()
            await asyncio.sleep(cut_s)
            for proxy in proxies:
                proxy.heal()

    async def _list_later(self, worker: WorkerStandIn, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._deployment.list_worker(worker)

    async def _kill_planner_later(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        await self._kill_planner()

    async def _mute_workers(self) -> None:
        """Let some workers drop all calls for a while, and run on."""
        for worker in self._deployment.workers:
            if self._random.random() < 0.3:
                duration_s = self._random.uniform(0.3, 3.0)
                self._observations.harm(worker.id, duration_s)
                worker.mute_until = time.monotonic() + duration_s

    async def _stall_worker(self) -> None:
        worker = self._choose_worker().id
        self._observations.harm(worker, 0.0)
        self._deployment.proxy_by_worker[worker].stall()

    async def _delay_orders(self) -> None:
        worker = self._choose_worker()
        worker.delay_s = self._random.uniform(1.0, 8.0)
        worker.orders_to_delay = self._random.randint(1, 6)
        self._observations.harm(worker.id, LONGEST_DELAYED_S)

    async def _drain_worker(self) -> None:
        worker = self._choose_worker()
        with self._reserve(worker.id) as is_free:
            if not is_free or not worker.is_up:
                return
            worker.state = "draining"
            await self._deployment.list_worker(worker)
            await asyncio.sleep(self._random.uniform(2.0, 6.0))
            worker.state = "ready"
            await self._deployment.list_worker(worker)

    # The operator

    async def _change_at_takeover(self) -> None:
        """Change rules and zones while a new planner loads from a slow store."""
        store = self._deployment.store
        duration_s = self._random.uniform(2.0, 4.0)
        self._observations.disturb(STORE, duration_s)
        store.latency_s = self._random.uniform(0.05, 0.2)
        self._later(self._kill_planner())
        ends_at = time.monotonic() + duration_s
        while time.monotonic() < ends_at:
            await asyncio.sleep(self._random.uniform(0.1, 0.4))
            await self._operator.write()
            if self._random.random() < 0.3:
                await self._evacuate()
        store.latency_s = 0.0

    async def _wait(self) -> None:
        await asyncio.sleep(self._random.uniform(1.0, 6.0))

    async def _evacuate(self) -> None:
        zone = self._choose_worker().zone
        with self._reserve(zone) as is_free:
            if is_free:
                self._later(self._evacuate_for(zone, self._random.uniform(2.0, 9.0)))

    async def _evacuate_for(self, zone: str, duration_s: float) -> None:
        store = self._deployment.store
        with self._reserve(f"evacuated {zone}") as is_free:
            if not is_free:
                return
            await store.put("keyed.op", f"evacuate/{zone}", b"{}")
            began_at = time.monotonic()
            await asyncio.sleep(duration_s)
            ended_at = time.monotonic()
            await store.put("keyed.op", f"evacuate/{zone}", b"")
            evacuation = Evacuation(zone, began_at, ended_at)
            self._observations.evacuations.append(evacuation)
