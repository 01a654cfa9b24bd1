"""Every command on the operations page prints what the page promises."""

from __future__ import annotations

import asyncio
import os
import re
import unittest
from pathlib import Path

from testkit.cluster import OPERATOR_SECRET, Cluster, Shape
from tests.test_thin_path import wait_for_workers

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"
BINARY = ROOT / ".venv" / "bin" / "jacinthloom"

OUTPUT_BY_COMMAND = {
    "config check": (
        "team planning: its limit of 48 processors is below its share of the fleet, "
        "64 processors\\n4 classes and 2 teams, 0 errors, 1 warning\\n"
        "differences from version 0 in force:\\n(.|\\n)*team planning .team added"
    ),
    "config check testkit/demo.toml --json": (
        '"errors": \\[\\](.|\\n)*"team-without-key"(.|\\n)*"limit-below-share"(.|\\n)*'
        '"version": 1,\\s*"differences": \\[\\](.|\\n)*"not_measured": null'
    ),
    "config publish": "accepted: version 1",
    "config show": "class rebuild: batch, within 20 s",
    "config diff": "no difference",
    "config history": "4 classes and 2 teams",
    "key withdraw": "accepted: version 3",
    "zone out": "accepted: version 4",
    "zone in": "accepted: version 5",
    "status": "view ",
    "team show": "team planning|planning: share 2",
    "worker list": "owner e",
    "timeline": "configuration 5",
    "submit": "j-",
    "ask": "r-",
}


def list_commands() -> list[str]:
    blocks = re.findall(r"```console\n(.*?)```", PAGE.read_text(), re.DOTALL)
    lines = "".join(blocks).splitlines()
    return [line.removeprefix("$ jacinthloom ") for line in lines]


class OperationsPageTest(unittest.IsolatedAsyncioTestCase):
    async def run_command(self, cluster: Cluster, command: str, key: str) -> str:
        entries = [cluster.address_by_name[name] for name in cluster.settings_by_entry]
        process = await asyncio.create_subprocess_exec(
            str(BINARY),
            *command.split(),
            cwd=ROOT,
            env=os.environ
            | {
                "JACINTHLOOM_ENTRIES": ",".join(entries),
                "JACINTHLOOM_OPERATOR_KEY": OPERATOR_SECRET,
                "JACINTHLOOM_KEY": key,
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        self.assertEqual(process.returncode, 0, (command, out, err))
        return out.decode()

    async def test_documented_commands_succeed_in_order(self) -> None:
        cluster = Cluster(Shape(entries=3))
        self.addAsyncCleanup(cluster.close)
        await cluster.start()
        await wait_for_workers(cluster)
        key = ""
        commands = list_commands()
        self.assertGreater(len(commands), 12)
        for command in commands:
            with self.subTest(command=command):
                printed = await self.run_command(cluster, command, key)
                if command.startswith("key grant"):
                    key = printed.split()[-1]
                    self.assertIn("accepted: version 2", printed)
                    continue
                words = " ".join(command.split()[:2])
                expected = OUTPUT_BY_COMMAND.get(command)
                expected = expected or OUTPUT_BY_COMMAND.get(words)
                expected = expected or OUTPUT_BY_COMMAND[command.split()[0]]
                self.assertRegex(printed, expected)

    async def test_exit_codes_of_failed_commands(self) -> None:
        process = await asyncio.create_subprocess_exec(
            str(BINARY),
            "status",
            env=os.environ | {"JACINTHLOOM_ENTRIES": "127.0.0.1:1"},
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.assertEqual(await process.wait(), 3)
        process = await asyncio.create_subprocess_exec(
            str(BINARY),
            "config",
            "check",
            "/does/not/exist",
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.assertEqual(await process.wait(), 2)
