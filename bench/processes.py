"""Measure memory and speed of an entry process and of the previous commit's one."""

from __future__ import annotations

import asyncio
import os
import subprocess
import tempfile
import time
from pathlib import Path

from jacinthloom_core.model.configuration import (
    Change,
    ClassesAndTeams,
    KeyGrant,
    KeyHash,
    Team,
    WorkClass,
)
from jacinthloom_core.shared_log import codec
from jacinthloom_wire.http_client import HttpClient

from testkit.cluster import Cluster, Shape

from .result import Result

MAX_IDLE_MEMORY_MIB = 32.0
LOAD_DURATION_S = 4.0
CONCURRENT_CLIENTS = 16
ROOT = Path(__file__).parent.parent


async def measure_processes() -> list[Result]:
    """Measure this commit and then the previous one, if it can be checked out."""
    memory, rate, cpu = await _measure_process("")
    with tempfile.TemporaryDirectory() as folder:
        previous = _check_out_previous(Path(folder) / "previous")
        old_memory, old_rate, old_cpu = (
            await _measure_process(previous) if previous else (0.0, 0.0, 0.0)
        )
        if previous:
            subprocess.run(
                ["git", "worktree", "remove", "--force", f"{folder}/previous"],
                cwd=ROOT,
                check=True,
            )
    name = "previous commit"
    return [
        Result(
            "idle_memory", memory, "MiB", MAX_IDLE_MEMORY_MIB, "lower", name, old_memory
        ),
        Result("requests_per_s", rate, "1/s", None, "higher", name, old_rate),
        Result("cpu_per_request", cpu * 1e3, "ms", None, "lower", name, old_cpu * 1e3),
    ]


def _check_out_previous(folder: Path) -> str:
    """Check out the previous commit; return a search path of its packages.

    The path is empty if the commit can't be checked out.
    """
    completed = subprocess.run(
        ["git", "worktree", "add", "--detach", str(folder), "HEAD~1"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if completed.returncode != 0:
        return ""
    names = ("core", "wire", "daemon", "cli")
    return os.pathsep.join(str(folder / f"packages/jacinthloom-{n}/src") for n in names)


async def _measure_process(search_path: str) -> tuple[float, float, float]:
    """Return idle memory in MiB, requests per second and CPU seconds per request."""
    cluster = Cluster(Shape(entries=1), search_path)
    try:
        await cluster.start()
        classes = (WorkClass("lookup", "request", 5.0),)
        change = ClassesAndTeams(classes, (Team("planning"),))
        await cluster.change("e1", codec.unstructure(change, Change))
        grant = KeyGrant("planning", KeyHash.from_secret("k1", "s", "secret"))
        await cluster.change("e1", codec.unstructure(grant, Change))
        await asyncio.sleep(3.0)
        pid = cluster.process_by_name["e1"].pid
        memory = _read_resident_mib(pid)
        cpu_before = _read_cpu_s(pid)
        answered = await _send_requests(cluster.address_by_name["e1"])
        cpu = _read_cpu_s(pid) - cpu_before
    finally:
        await cluster.close()
    return memory, answered / LOAD_DURATION_S, cpu / max(1, answered)


async def _send_requests(address: str) -> int:
    until = time.monotonic() + LOAD_DURATION_S
    answered = 0

    async def call() -> None:
        nonlocal answered
        client = HttpClient(address)
        headers = (("Authorization", "Bearer k1.secret"),)
        body = b'{"class":"lookup","payload":"{\\"run_s\\":0.001}"}'
        while time.monotonic() < until:
            response = await client.request("POST", "/v1/requests", body, headers)
            answered += int(response.status == 200)

    await asyncio.gather(*[call() for _ in range(CONCURRENT_CLIENTS)])
    return answered


def _read_resident_mib(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _read_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
