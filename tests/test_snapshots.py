"""A new member starts from a snapshot after the log was trimmed."""

from __future__ import annotations

import unittest
from functools import partial
from unittest import mock

from jacinthloom_core.shared_log import codec, snapshots
from jacinthloom_core.shared_log.log_state import LogState
from jacinthloom_core.shared_log.state_snapshot import (
    StateSnapshot,
    load_snapshot,
    make_snapshot,
)

from testkit.virtual import Faults, World
from testkit.virtual.schedule import Schedule


def is_log_applied_equally(world: World) -> bool:
    """Return whether all processes have applied the log up to the same offset."""
    return len({p.member.context.state.offset for p in world.alive}) == 1


class SnapshotTest(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(snapshots, "SNAPSHOT_ENTRIES", 30)
        patch.start()
        self.addCleanup(patch.stop)
        patch = mock.patch.object(snapshots, "CHUNK_BYTES", 700)
        patch.start()
        self.addCleanup(patch.stop)

    def test_snapshot_holds_the_whole_state(self) -> None:
        schedule = Schedule(1, 4, Faults.make_severe())
        schedule.run(20)
        state = schedule.world.invariants.truth
        data = codec.encode(make_snapshot(state), StateSnapshot)
        loaded = LogState()
        load_snapshot(loaded, codec.decode(data, StateSnapshot))
        self.assertEqual(codec.encode(make_snapshot(loaded), StateSnapshot), data)

    def test_newcomers_start_from_snapshot_and_tail(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                schedule = Schedule(seed, 4)
                world = schedule.world
                for _ in range(25):
                    schedule.submit()
                    schedule.ask_once()
                    world.run(2.0)
                offset = world.invariants.truth.snapshot_offset
                self.assertGreater(offset, 0)
                world.log.trim(offset)
                for process in list(world.alive[:2]):
                    world.kill(process)
                    world.add_process(process.name)
                    world.run(20.0)
                schedule.submit()
                schedule.settle()
                self.assertTrue(
                    world.run_until(partial(is_log_applied_equally, world), 30.0)
                )
                loaded = [n for _, _, n in world.notes if n.kind == "snapshot_loaded"]
                self.assertGreaterEqual(len(loaded), 2)
