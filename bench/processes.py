"""Memory and speed of a real entry process, against the previous commit."""

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

MEMORY_BOUND_MIB = 32.0
LOAD_S = 4.0
CALLERS = 16
ROOT = Path(__file__).parent.parent


async def measure_processes() -> list[Result]:
    """Measure this commit and the one before it, one after the other."""
    memory, rate, cpu = await _measure("")
    with tempfile.TemporaryDirectory() as folder:
        earlier = _check_out_previous(Path(folder) / "previous")
        old_memory, old_rate, old_cpu = (
            await _measure(earlier) if earlier else (0.0, 0.0, 0.0)
        )
        if earlier:
            subprocess.run(
                ["git", "worktree", "remove", "--force", f"{folder}/previous"],
                cwd=ROOT,
                check=True,
            )
    name = "previous commit"
    return [
        Result(
            "idle_memory", memory, "MiB", MEMORY_BOUND_MIB, "lower", name, old_memory
        ),
        Result("requests_per_s", rate, "1/s", None, "higher", name, old_rate),
        Result("cpu_per_request", cpu * 1e3, "ms", None, "lower", name, old_cpu * 1e3),
    ]


def _check_out_previous(folder: Path) -> str:
    """Return a search path with the previous commit's packages."""
    done = subprocess.run(
        ["git", "worktree", "add", "--detach", str(folder), "HEAD~1"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if done.returncode != 0:
        return ""
    names = ("core", "wire", "daemon", "cli")
    return os.pathsep.join(str(folder / f"packages/jacinthloom-{n}/src") for n in names)


async def _measure(search_path: str) -> tuple[float, float, float]:
    """Return idle MiB, requests a second, and CPU seconds a request."""
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
        memory = _read_memory(pid)
        cpu_before = _read_cpu(pid)
        answered = await _load(cluster.address_by_name["e1"])
        cpu = _read_cpu(pid) - cpu_before
    finally:
        await cluster.close()
    return memory, answered / LOAD_S, cpu / max(1, answered)


async def _load(address: str) -> int:
    until = time.monotonic() + LOAD_S
    answered = 0

    async def call() -> None:
        nonlocal answered
        client = HttpClient(address)
        headers = (("Authorization", "Bearer k1.secret"),)
        body = b'{"class":"lookup","payload":"{\\"run_s\\":0.001}"}'
        while time.monotonic() < until:
            response = await client.request("POST", "/v1/requests", body, headers)
            answered += int(response.status == 200)

    await asyncio.gather(*[call() for _ in range(CALLERS)])
    return answered


def _read_memory(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def _read_cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")
