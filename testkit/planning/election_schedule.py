"""Schedules of faults for simulated elections, drawn from seeds."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from jacinthloom_core.planner.lease_authority import LeaseAuthority

from .election_world import ElectionWorld, Host
from .virtual_network import STORE, Fault

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from .election_member import Member

ZONES = 3
MAX_HOSTS = 7

WARM_UP_S = 6.0
"""Seconds before the first fault."""

FAULTS_S = 40.0
"""Seconds in which faults begin."""

SETTLE_S = 14.0
"""Seconds without faults at the end."""

LONG_CUT_EVERY = 20
"""One in this many seeds begins with a long cut."""

LONG_CUT_S = 150.0
"""Duration of a cut that outlasts every authority."""


class ElectionSchedule:
    """One simulated election with faults.

    :param only: the fault that is drawn, and only once
    """

    def __init__(
        self,
        seed: int,
        make_authority: Callable[..., LeaseAuthority] = LeaseAuthority,
        only: Callable[[ElectionSchedule], None] | None = None,
    ) -> None:
        self.world = ElectionWorld(seed, make_authority)
        self._random = random = Random(f"schedule {seed}")
        self._is_ending = False
        for number in range(random.randint(3, 5)):
            processors = random.choice((1.0, 1.0, 1.0, 0.5))
            self.world.add_host(number % ZONES, processors)
        self._ends_at = WARM_UP_S + FAULTS_S
        if only is not None:
            self._ends_at += LONG_CUT_S if only is ElectionSchedule.cut_for_long else 0
            self._after(WARM_UP_S + random.random(), partial(only, self))
            return
        draw_at = WARM_UP_S
        if seed % LONG_CUT_EVERY == 0:
            self._ends_at += LONG_CUT_S
            draw_at += LONG_CUT_S
            self._after(WARM_UP_S + random.random(), self.cut_for_long)
        while draw_at < self._ends_at - 2:
            self._after(draw_at, partial(random.choice(FAULTS), self))
            if random.random() < 0.3:
                draw_at += random.uniform(0.0, 1.5)  # two faults in a row
            else:
                draw_at += random.uniform(2.0, 12.0)

    def run(self) -> None:
        """Run the schedule.

        :raises ElectionViolationError: if an invariant fails
        """
        world = self.world
        world.clock.after(SETTLE_S, world.watch)
        world.clock.run_until(self._ends_at)
        self._is_ending = True
        world.note(None, "faults end")
        world.network.faults.clear()
        for host in world.hosts:
            if host.process is not None:
                host.process.thaw()
            world.start_process(host)
        world.clock.run_until(self._ends_at + SETTLE_S)
        world.check_planner()

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        def run() -> None:
            if not self._is_ending:
                action()

        self.world.clock.after(delay_s, run)

    # Targets

    def _draw_duration_s(self) -> float:
        limit_s = self._random.choice((1.0, 2.0, 4.0, 8.0, 15.0, 30.0, 45.0))
        return limit_s * self._random.uniform(0.5, 1.0)

    def _live_hosts(self) -> list[Host]:
        return [host for host in self.world.hosts if not host.is_removed]

    def _draw_hosts(self) -> list[Host]:
        hosts = self._live_hosts()
        if self._random.random() < 0.4:
            zone = self._random.randrange(ZONES)
            return [host for host in hosts if host.zone == zone]
        return self._random.sample(hosts, self._random.randint(1, len(hosts)))

    def _draw_host(self) -> Host:
        planner = self.world.planner_host
        if planner is not None and not planner.is_removed and self._draw(0.5):
            return planner
        return self._random.choice(self._live_hosts())

    def _draw(self, probability: float) -> bool:
        return self._random.random() < probability

    # Links

    def _add(
        self,
        name: str,
        ends: Collection[str],
        others: Callable[[str], bool],
        duration_s: float,
        *,
        delay_s: float | None = None,
        is_refused: bool = False,
        is_late: bool = False,
        directions: str = "",
    ) -> None:
        """Disturb the links between some ends and others, in one direction or both."""
        directions = directions or self._random.choice(("both", "both", "to", "from"))
        network, world = self.world.network, self.world
        near = frozenset(ends)
        faults = []
        if directions != "from":
            faults.append(
                Fault(near.__contains__, others, delay_s, is_refused, is_late)
            )
        if directions != "to":
            faults.append(Fault(others, near.__contains__, delay_s))
        network.faults += faults
        words = f"{name} {directions} {sorted(near)} for {duration_s:.2f} s"
        kind = f"refused={is_refused} late={is_late} delay={delay_s}"
        world.note(None, words, kind)

        def heal() -> None:
            for fault in faults:
                if fault in network.faults:
                    network.faults.remove(fault)
            world.note(None, f"healed: {name}")

        self._after(duration_s, heal)

    def _cut_from_store(
        self, name: str, hosts: Collection[Host], duration_s: float
    ) -> None:
        addresses = [host.address for host in hosts]
        self._add(
            name,
            addresses,
            STORE.__eq__,
            duration_s,
            is_refused=self._draw(0.3),
            is_late=self._draw(0.5),
        )

    def _cut_from_members(
        self, name: str, hosts: Collection[Host], duration_s: float
    ) -> None:
        near = frozenset(host.address for host in hosts)
        self._add(name, near, lambda end: end != STORE and end not in near, duration_s)

    def fail_store(self) -> None:
        """Let the store fail for all."""
        self._cut_from_store("outage", self.world.hosts, self._draw_duration_s())

    def fail_store_unevenly(self) -> None:
        """Let the store fail for all, and return to one host first.

        The messages of that host may be slow, and arrive once the store is back.
        """
        duration_s = self._random.uniform(3.0, 9.0)
        first, *others = self._random.sample(
            self._live_hosts(), len(self._live_hosts())
        )
        self._cut_from_store("outage for one", [first], duration_s)
        others_s = duration_s + self._random.uniform(1.0, 8.0)
        self._cut_from_store("outage for the others", others, others_s)
        if self._draw(0.6):
            self._slow_links_from([first], duration_s + 1.0)

    def cut_store(self) -> None:
        """Cut some hosts off from the store."""
        self._cut_from_store("store cut", self._draw_hosts(), self._draw_duration_s())

    def cut_zone(self) -> None:
        """Cut some hosts off from the others, and perhaps from the store."""
        self._cut(self._draw_hosts())

    def _cut(self, hosts: list[Host]) -> None:
        duration_s = self._draw_duration_s()
        self._cut_from_members("cut", hosts, duration_s)
        if self._draw(0.7):
            self._cut_from_store("with store cut", hosts, duration_s)

    def cut_planner(self) -> None:
        """Cut the planner's side off: its zone, or the planner and some others."""
        planner = self.world.planner_host
        if planner is None:
            return
        if self._draw(0.5):
            hosts = [h for h in self._live_hosts() if h.zone == planner.zone]
        else:
            hosts = list({planner, *self._draw_hosts()})
        self._cut(sorted(hosts, key=lambda host: host.address))

    def cut_two_planners(self) -> None:
        """Cut the planner off, and its successor soon after."""
        self.cut_planner()
        self._after(self._random.uniform(1.0, 6.0), self.cut_planner)
        if self._draw(0.3):
            self._after(self._random.uniform(4.0, 12.0), self.cut_planner)

    def lose_successor(self) -> None:
        """Cut a successor off, which is joined by a new host, then restarts.

        It then reaches the earlier planner again, but neither the store nor that host.
        """
        hosts = self._live_hosts()
        planner = self.world.planner_host
        if planner not in hosts or not 3 <= len(hosts) < MAX_HOSTS:
            return
        successor = self._random.choice([host for host in hosts if host != planner])
        others = [host for host in hosts if host != successor]
        far = [host.address for host in others]
        self._add("store cut", far, STORE.__eq__, 25.0, directions="both")
        restart_s = self._random.uniform(6.0, 9.0)
        own = successor.address
        self._add("successor cut", far, own.__eq__, restart_s, directions="both")

        def join() -> None:
            joined = self.world.add_host(self._random.randrange(ZONES))
            self._add("joined host cut", far, joined.address.__eq__, 25.0)

        def restart() -> None:
            self._cut_from_store("successor's store cut", [successor], 15.0)
            if successor.process is not None:
                self.world.end_process(successor.process)
            self._after(0.5, lambda: self.world.start_process(successor))

        self._after(self._random.uniform(2.5, 4.5), join)
        self._after(restart_s, restart)

    def cut_for_long(self) -> None:
        """Cut all hosts off from the store until after every authority; add others."""
        hosts = self._live_hosts()
        self._cut_from_store("long cut", hosts, LONG_CUT_S)
        self._after(self._random.uniform(0.5, 5.0), self.add_host)
        if self._draw(0.5):
            self._after(self._random.uniform(0.0, 50.0), self.add_host)

    def slow_store(self) -> None:
        """Slow the store down for some hosts."""
        hosts = [host.address for host in self._draw_hosts()]
        self._add(
            "slow store",
            hosts,
            STORE.__eq__,
            self._draw_duration_s(),
            delay_s=self._random.choice((0.3, 0.6, 1.2)),
            is_late=self._draw(0.5),
        )

    def slow_links(self) -> None:
        """Slow the links of some hosts down."""
        self._slow_links_from(self._draw_hosts(), self._draw_duration_s(), "")

    def _slow_links_from(
        self, hosts: Collection[Host], duration_s: float, directions: str = "to"
    ) -> None:
        near = frozenset(host.address for host in hosts)
        self._add(
            "slow links",
            near,
            lambda end: end != STORE,
            duration_s,
            delay_s=self._random.choice((0.3, 1.2, 1.5)),
            directions=directions,
        )

    def silence_streams(self) -> None:
        """Let the open streams of some hosts go silent."""
        for host in self._draw_hosts():
            if host.process is not None:
                self.world.note(host.process, "streams silent")
                self.world.silence_streams(host.process)

    # Processes

    def freeze(self) -> None:
        """Freeze one or two processes, by a suspension or not."""
        is_suspended = self._draw(0.5)
        for host in dict.fromkeys((self._draw_host(), *self._draw_hosts()[:1])):
            process = host.process
            if process is None:
                continue
            duration_s = self._random.choice((0.5, 1.5, 3.0, 8.0))
            kind = "suspended" if is_suspended else "frozen"
            self.world.note(process, kind, f"for {duration_s} s")
            process.freeze(is_suspended)
            self.world.clock.after(duration_s, process.thaw)

    def kill(self) -> None:
        """Kill one process or several, which start again."""
        hosts = [self._draw_host()] if self._draw(0.8) else self._draw_hosts()
        for host in hosts:
            if host.process is not None:
                self.world.end_process(host.process, self._draw(0.2))
                self._restart(host)

    def _restart(self, host: Host) -> None:
        delay_s = self._random.choice((0.2, 0.5, 1.5, 4.0))
        self._after(delay_s, lambda: self.world.start_process(host))

    def replace(self) -> None:
        """Remove a host; another one at a new address replaces it."""
        host = self._draw_host()
        if len(self._live_hosts()) < 3:
            return
        if host.process is not None:
            self.world.end_process(host.process, self._draw(0.5))
        host.is_removed = True
        self._after(self._random.uniform(0.3, 5.0), self.add_host)

    def add_host(self) -> None:
        """Add a host at a new address."""
        if len(self._live_hosts()) < MAX_HOSTS:
            self.world.add_host(self._random.randrange(ZONES))

    def join_and_cut(self) -> None:
        """Add a host, and cut it off from the others while it is listed as a voter.

        The others lose the answers of the store, so they do not learn what was listed.
        """
        others = self._live_hosts()
        if len(others) >= MAX_HOSTS:
            return
        host = self.world.add_host(self._random.randrange(ZONES))
        duration_s = self._draw_duration_s()

        def cut() -> None:
            self._cut_from_members("cut at join", [host], duration_s)
            addresses = [other.address for other in others]
            self._add(
                "answers lost at join",
                addresses,
                STORE.__eq__,
                duration_s,
                directions=self._random.choice(("from", "both")),
            )

        self._after(self._random.uniform(0.0, 0.7), cut)

    def step_clock(self) -> None:
        """Step the time of day of a host."""
        self._draw_host().clock_error_s += self._random.choice((-2.0, 2.0))

    def stop(self) -> None:
        """Stop a process as planned; it starts again, or another host replaces it."""
        host = self._draw_host()
        process = host.process
        if process is None or process.is_stopping:
            return
        self.world.note(process, "stopping")
        process.call(partial(_stop, process))
        self._after(
            self._random.uniform(2.5, 5.0), lambda: self.world.start_process(host)
        )


def _stop(process: Member) -> None:
    process.spawn(process.stop())


FAULTS = (
    ElectionSchedule.fail_store,
    ElectionSchedule.fail_store_unevenly,
    ElectionSchedule.fail_store_unevenly,
    ElectionSchedule.cut_store,
    ElectionSchedule.cut_store,
    ElectionSchedule.cut_zone,
    ElectionSchedule.cut_planner,
    ElectionSchedule.cut_planner,
    ElectionSchedule.cut_two_planners,
    ElectionSchedule.cut_two_planners,
    ElectionSchedule.lose_successor,
    ElectionSchedule.slow_store,
    ElectionSchedule.slow_links,
    ElectionSchedule.freeze,
    ElectionSchedule.kill,
    ElectionSchedule.kill,
    ElectionSchedule.replace,
    ElectionSchedule.add_host,
    ElectionSchedule.join_and_cut,
    ElectionSchedule.join_and_cut,
    ElectionSchedule.step_clock,
    ElectionSchedule.stop,
    ElectionSchedule.silence_streams,
)
"""Faults of which one is drawn at a time; some more often than others."""
