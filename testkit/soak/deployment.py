"""The deployment of a soak: entry processes and workers in zones, behind proxies."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from typing import TYPE_CHECKING

from ..hosted.deployment import KEY, PREFIX, SERVICE, Deployment
from ..hosted.network import NetworkStandIn
from ..hosted.worker import GangRegistry, WorkerStandIn
from .observations import PlannedStop
from .workloads import (
    LARGE_KEY,
    LONGEST_RUN_S,
    WORKLOAD_BY_NAME,
    choose_run_s,
    find_gang_size,
    saves_checkpoints,
)

if TYPE_CHECKING:
    from .observations import Observations

ZONES = ("z1", "z2", "z3")
HOST = "desk.example"

STARTED_S = 1.0
"""Seconds for which a process that was started counts as disturbed, beside the time in
which processes get in touch."""


def make_route(
    name: str, prefix: str, priority: int = 0, target_ms: int = 250
) -> dict[str, object]:
    """Return a queue of the configuration.

    :param target_ms: target latency, in milliseconds
    """
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "service": SERVICE,
        "priority": priority,
        "maxAttempts": 2,
        "stretch": 1.5,
        "targetLatencyMs": target_ms,
    }


def make_configuration(
    version: int, routes: frozenset[int], keys: frozenset[int]
) -> dict[str, object]:
    """Return a configuration with the base queues and keys, and optional ones."""
    optional = [make_route(f"route-{n}", f"/route-{n}/") for n in sorted(routes)]
    optional += [
        make_route(work.name, work.prefix, work.priority, work.target_ms)
        for work in WORKLOAD_BY_NAME.values()
    ]
    api_keys = [KEY, *(f"key-{n}" for n in sorted(keys))]
    return {
        "version": version,
        "routes": [make_route("checks", PREFIX), *optional],
        "services": [{"name": SERVICE}],
        "tenants": [
            {"name": "team", "apiKeys": api_keys, "weight": 50},
            {"name": "large", "apiKeys": [LARGE_KEY], "weight": 50},
        ],
    }


class SoakDeployment(Deployment):
    """Entry processes that may be paused, killed and restarted, and workers in zones.

    :ivar incarnation_by_ip: number of starts of the process at each address
    """

    def __init__(
        self,
        processes: int,
        workers: int,
        observations: Observations,
        longest_run_s: float = LONGEST_RUN_S,
    ) -> None:
        gangs = GangRegistry(find_gang_size)
        stand_ins = [
            WorkerStandIn(
                f"i-{number:04}",
                zone=ZONES[number % len(ZONES)],
                labels=("a", f"r{number % len(ZONES)}-{number // 24}"),
                choose_run_s=lambda run: choose_run_s(run, longest_run_s),
                saves_checkpoints=saves_checkpoints,
                gangs=gangs,
            )
            for number in range(workers)
        ]
        self.network = NetworkStandIn()
        super().__init__(processes, stand_ins, has_proxies=True, network=self.network)
        self._observations = observations
        self.incarnation_by_ip: dict[str, int] = {}

    def make_configuration(self) -> dict[str, object]:
        """Return the first configuration."""
        return make_configuration(1, frozenset(), frozenset())

    @property
    def ips(self) -> list[str]:
        """Addresses of all processes, whether they run or not."""
        return list(self.store_proxy_by_ip)

    def list_ips(self, zone: str) -> frozenset[str]:
        """Return the addresses of the processes in an availability zone."""
        return frozenset(ip for ip, its in self.zone_by_ip.items() if its == zone)

    def start_process(self, ip: str, is_planned: bool = False) -> None:
        """Start an entry process.

        :param is_planned: whether the one before it had a planned stop
        """
        is_planned = is_planned or ip not in self.incarnation_by_ip
        self.incarnation_by_ip[ip] = self.incarnation_by_ip.get(ip, 0) + 1
        self._observations.disturb(ip, STARTED_S, is_planned)
        super().start_process(ip)

    def is_running(self, ip: str) -> bool:
        """Whether the process at an address has not ended."""
        return self.process_by_ip[ip].poll() is None

    async def pause(self, ip: str, duration_s: float) -> None:
        """Suspend a process for a while."""
        process = self.process_by_ip[ip]
        self._observations.disturb(ip, duration_s)
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.send_signal(signal.SIGCONT)

    async def restart(self, ip: str, down_s: float, number: signal.Signals) -> None:
        """End a process by a signal, and start it again after a while."""
        process = self.process_by_ip[ip]
        if process.poll() is None:
            process.send_signal(number)
        began_at = time.monotonic()
        await asyncio.to_thread(process.wait)
        ended_at = time.monotonic()
        is_planned = number is signal.SIGTERM
        observations = self._observations
        observations.add_disturbance(ip, began_at, ended_at, is_planned)
        if is_planned:
            observations.stops.append(PlannedStop(ip, began_at, ended_at))
        observations.disturb(ip, down_s, is_planned)
        await asyncio.sleep(down_s)
        if self.process_by_ip[ip] is process:
            self.start_process(ip, is_planned)

    async def signal_later(
        self, ip: str, delay_s: float, number: signal.Signals
    ) -> None:
        """Send a signal to the process that runs now, unless it has ended by then."""
        process = self.process_by_ip[ip]
        await asyncio.sleep(delay_s)
        if process.poll() is None:
            process.send_signal(number)

    async def write_configuration(
        self, version: int, routes: frozenset[int], keys: frozenset[int]
    ) -> None:
        """Write a new version of the configuration, as the operator does."""
        body = json.dumps(make_configuration(version, routes, keys)).encode()
        await self.store.put("keyed.op", "config", body)
