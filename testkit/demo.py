"""Demo of a small fleet that loses no work while a zone is out and a process dies."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from .cluster import OPERATOR_SECRET, Cluster

CONFIGURATION = Path(__file__).parent / "demo.toml"

TIME_LIMIT_S = 45.0


class DemoError(Exception):
    """A step of the demo failed."""


class Demo:
    """One run of the demo against a cluster."""

    def __init__(self) -> None:
        self.cluster = Cluster()
        self.key_by_team: dict[str, str] = {}
        self.job_by_name: dict[str, str] = {}
        self.started_at = time.monotonic()

    def print_progress(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        print(f"[{time.monotonic() - self.started_at:5.1f} s] {text}", flush=True)

    async def run_cli(
        self, *arguments: str, key: str = "", exit_codes: Any = (0,)
    ) -> str:
        """Run the command line client and return its standard output.

        :param exit_codes: accepted exit codes
        :raises DemoError: on any other exit code
        """
        entries = ",".join(
            self.cluster.address_by_name[name]
            for name in self.cluster.settings_by_entry
            if self.cluster.process_by_name[name].returncode is None
        )
        environment = os.environ | {
            "JACINTHLOOM_ENTRIES": entries,
            "JACINTHLOOM_KEY": key,
            "JACINTHLOOM_OPERATOR_KEY": OPERATOR_SECRET,
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "jacinthloom_cli",
            *arguments,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        if process.returncode not in exit_codes:
            raise DemoError(
                f"{' '.join(arguments)} exited with code {process.returncode}: {err!r}"
            )
        return out.decode().strip()

    async def run(self) -> None:
        """Run all steps of the demo."""
        await self.cluster.start()
        self.print_progress("three entry processes in three zones share one view")
        await self._configure()
        await self._submit_work()
        await self._take_zone_out()
        await self._kill_entry()
        await self._wait_for_jobs()

    async def _configure(self) -> None:
        self.print_progress(await self.run_cli("config", "publish", str(CONFIGURATION)))
        for team in ("planning", "revenue"):
            printed = await self.run_cli("key", "grant", team)
            self.key_by_team[team] = printed.splitlines()[-1]
        self.print_progress("two teams have API keys")

    async def _submit_work(self) -> None:
        planning = self.key_by_team["planning"]
        revenue = self.key_by_team["revenue"]
        answer = await self.run_cli(
            "ask", "lookup", "--payload", '{"answer": "3 in stock"}', key=revenue
        )
        self.print_progress(f"lookup answered: {answer}")
        self.job_by_name["overnight rebuild"] = await self.run_cli(
            *("submit", "rebuild", "-t", "40", "-p", "1", "-r", "1"), key=planning
        )
        self.job_by_name["tasks that start together"] = await self.run_cli(
            *("submit", "check", "-t", "6", "-p", "2", "-r", "1"), key=planning
        )
        self.job_by_name["service"] = await self.run_cli(
            *("submit", "board", "-t", "3", "-p", "1", "-r", "3600"), key=planning
        )
        for name, job in self.job_by_name.items():
            self.print_progress(f"job accepted: {name}, {job}")
        self.print_progress(
            await self.run_cli(
                "explain", self.job_by_name["overnight rebuild"], key=planning
            )
        )

    async def _take_zone_out(self) -> None:
        self.print_progress(
            f"zone-b taken out: {await self.run_cli('zone', 'out', 'zone-b')}"
        )
        answer = await self.run_cli("ask", "lookup", key=self.key_by_team["revenue"])
        self.print_progress(f"lookup answered with zone-b out: {answer}")
        self.print_progress(
            f"zone-b back in: {await self.run_cli('zone', 'in', 'zone-b')}"
        )

    async def _kill_entry(self) -> None:
        await self.cluster.kill("e3")
        self.print_progress("entry process e3 killed")
        answer = await self.run_cli("ask", "lookup", key=self.key_by_team["revenue"])
        self.print_progress(f"lookup answered after the kill: {answer}")
        job = await self.run_cli(
            *("submit", "rebuild", "-t", "10", "-p", "1", "-r", "0.5"),
            key=self.key_by_team["planning"],
        )
        self.job_by_name["rebuild after the kill"] = job

    async def _wait_for_jobs(self) -> None:
        planning = self.key_by_team["planning"]
        for name, job in self.job_by_name.items():
            if name == "service":
                continue
            printed = await self.run_cli("wait", job, "--json", key=planning)
            status = json.loads(printed)
            if status["state"] != "finished" or status["ended"] != status["tasks"]:
                raise DemoError(f"job {name} did not finish: {status}")
            workers = {text.rpartition(" ")[2] for text in status["results"]}
            self.print_progress(
                f"{name}: {status['ended']} tasks ended on {len(workers)} workers"
            )
        explained = await self.run_cli(
            "explain", self.job_by_name["service"], key=planning
        )
        self.print_progress(f"service: {explained}")
        self.print_progress(
            await self.run_cli("cancel", self.job_by_name["service"], key=planning)
        )
        print(await self.run_cli("status"))
        print(await self.run_cli("timeline", "--last", "15"))


async def main() -> int:
    """Run the demo; return 0 if every step succeeded within the time limit."""
    demo = Demo()
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            await demo.run()
    except (DemoError, AssertionError) as error:
        print(f"demo failed: {error}")
        return 1
    except TimeoutError:
        print(f"demo failed: timed out after {TIME_LIMIT_S:.0f} s")
        return 1
    finally:
        await demo.cluster.close()
    demo.print_progress("all accepted jobs have ended")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
