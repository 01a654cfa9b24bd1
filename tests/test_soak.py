"""Short soaks of real processes behind proxies keep the users' rules."""

from __future__ import annotations

import asyncio
import unittest

from testkit.soak.soak import SoakResult, SoakSettings, run_soak

SECONDS = 15.0
SEEDS = (1, 2)


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        # unittest runs its event loops in debug mode, which slows the stand-ins down.
        asyncio.get_running_loop().set_debug(False)

    async def run_seed(self, settings: SoakSettings) -> SoakResult:
        result = await run_soak(settings)
        self.assertEqual(result.violations, (), str(result))
        self.assertGreater(result.accepted, 0)
        self.assertEqual(result.events["planner_failed"], 0, str(result))
        return result

    # Guards against what overlapping series of faults bring about in real processes,
    # and against a soak whose gangs no longer bring about any preemption.
    async def test_rules_hold_beside_faults_of_all_kinds(self) -> None:
        preempted = resumed = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = await self.run_seed(SoakSettings(seed, 4, 12, SECONDS, 3, 6))
                preempted += result.preempted
                resumed += result.resumed
        self.assertGreater(preempted, 0)
        self.assertGreater(resumed, 0)

    # Guards against a planner that misses what changes while it loads its records.
    async def test_rules_hold_with_changes_at_every_takeover(self) -> None:
        kinds = ("changes_at_takeover", "quiet")
        await self.run_seed(SoakSettings(11, 3, 8, SECONDS, 1, 6, kinds=kinds))

    # Guards against calls that a process has read and does not answer, since it is
    # stopped while they wait (review/9).
    async def test_rules_hold_while_all_processes_are_stopped(self) -> None:
        kinds = ("terminate_all",)
        await self.run_seed(SoakSettings(905, 3, 8, 6.0, 1, 24, kinds=kinds))

    # Guards against tasks that run again after an outage, and a configuration that is
    # skipped since its record was deleted: what the operators of real processes saw.
    async def test_rules_hold_beside_outages_and_deleted_records(self) -> None:
        kinds = ("kill_at_recovery", "truncated")
        await self.run_seed(SoakSettings(604, 4, 12, SECONDS, 2, 10, kinds=kinds))

    # Guards against a planner that, cut off with its zone, renews leases that its
    # successor takes as lapsed: tasks then run twice (zone_cut).
    async def test_rules_hold_when_the_zone_of_the_planner_is_cut_off(self) -> None:
        kinds = ("quiet", "planner_zone_cut")
        await self.run_seed(SoakSettings(700, 6, 24, 5.0, 1, 12, kinds=kinds))

    # Guards against starts and leases that outlive what planners count, since a worker
    # that is back under its id takes orders for its former life (workers_recut).
    async def test_rules_hold_when_workers_return_and_are_cut_off(self) -> None:
        kinds = ("workers_recut",)
        await self.run_seed(
            SoakSettings(812, 4, 12, 4.0, 1, 24, kinds=kinds, longest_run_s=14.0)
        )


if __name__ == "__main__":
    unittest.main()
