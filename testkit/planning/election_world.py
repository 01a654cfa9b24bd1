"""Members that elect planners over a failing network, checked in virtual time.

After each load of a planner, earlier planners must not renew leases for longer than it
assumes, as long as it is in office.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Any

from jacinthloom_core.planner.lease_authority import LeaseAuthority

from .clock import VirtualClock
from .election_member import Member, Runner
from .virtual_network import STORE, Network, StreamEnd, VirtualStore, open_stream

if TYPE_CHECKING:
    from collections.abc import Callable

SAMPLE_S = 0.25
"""Seconds between two checks of the state of all members."""

MAX_WITHOUT_PLANNER_S = 12.0
"""Seconds after which a member that reaches the store undisturbed has a planner: the
claim of another one may be suspended or lapse first."""


class ElectionViolationError(AssertionError):
    """The election or the lease authority broke an invariant."""


@dataclass(eq=False)
class Host:
    """A host, whose process ends and starts again.

    :param zone: number of its availability zone
    :param clock_error_s: by how much its time of day is ahead
    """

    address: str
    zone: int
    processors: float
    clock: VirtualClock
    clock_error_s: float = 0.0
    process: Member | None = None
    is_removed: bool = False

    @property
    def wall_ms(self) -> int:
        """Time of day of the host, in milliseconds."""
        return 1_000_000 + int((self.clock.now + self.clock_error_s) * 1000)


@dataclass(frozen=True, slots=True)
class Load:
    """A load of the job records by a planner."""

    member: Member
    runner: Runner
    at: float

    @property
    def is_in_office(self) -> bool:
        """Whether the planner still acts on what it assumed when it loaded."""
        return self.member.is_alive and not self.runner.is_over


class ElectionWorld:
    """Hosts, their processes, the network and the store.

    :param make_authority: creates the lease authority of a planner
    """

    def __init__(
        self,
        seed: int,
        make_authority: Callable[..., LeaseAuthority] = LeaseAuthority,
    ) -> None:
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.network = Network(self.clock, self.random)
        self.store = VirtualStore(self.network)
        self.hosts: list[Host] = []
        self.make_authority = make_authority
        self.trace: list[str] = []
        self.loads: list[Load] = []
        self.planner_host: Host | None = None
        """Host of the planner that loaded last."""
        self.lease_renewals = 0
        self._leases_renewed_at_by_term: dict[int, float] = {}
        self.longest_gap_s_by_term: dict[int, float] = {}
        self._process_numbers = 0
        self._streams_by_process: dict[Member, list[StreamEnd]] = {}
        self._undisturbed_since_by_process: dict[Member, float] = {}
        self._planned_at = 0.0

    def note(self, member: Member | None, *what: Any) -> None:
        """Append a line to the trace."""
        name = member.election.member if member is not None else "-"
        words = " ".join(str(word) for word in what)
        self.trace.append(f"{self.clock.now:8.3f} {name:>7} {words}")

    # Hosts and processes

    def add_host(self, zone: int, processors: float = 1.0) -> Host:
        """Add a host at a new address, and start its process."""
        address = f"h{len(self.hosts)}"
        host = Host(address, zone, processors, self.clock)
        self.hosts.append(host)
        self.start_process(host)
        return host

    def start_process(self, host: Host) -> None:
        """Start the process of a host that has none."""
        if host.is_removed or host.process is not None:
            return
        self._process_numbers += 1
        process = Member(self, host, f"{host.address}.{self._process_numbers}")
        host.process = process
        self.note(process, "started")
        process.start()

    def end_process(self, process: Member, is_silent: bool = False) -> None:
        """End a process.

        :param is_silent: whether its connections are not reset: the host lost power
        """
        if not process.is_alive:
            return
        self.note(process, "powered off" if is_silent else "ended")
        process.end()
        process.host.process = None
        if not is_silent:
            for stream in self._streams_by_process.pop(process, ()):
                stream.close()

    # Streams

    def connect(
        self, client: Member, address: str, answer: Callable[[Any], None]
    ) -> None:
        """Open a stream to the process at an address, if the network permits it."""
        network = self.network
        source = client.host.address
        if network.is_cut(source, address) or network.is_cut(address, source):
            return
        host = next(h for h in self.hosts if h.address == address)
        delay_s = network.draw_delay_s(source, address)
        delay_s += network.draw_delay_s(address, source)

        def accept() -> None:
            server = host.process
            if host.is_removed or not client.is_alive:
                return
            if server is None:
                client.call(lambda: answer(ConnectionRefusedError))
                return
            near, far = open_stream(network, (client, source), (server, address))
            self._streams_by_process.setdefault(client, []).append(near)
            self._streams_by_process.setdefault(server, []).append(far)
            server.call(lambda: server.server.accept(far))
            client.call(lambda: answer(near))

        self.clock.after(delay_s, accept)

    def silence_streams(self, process: Member) -> None:
        """Let all open streams of a process go silent for good."""
        for stream in self._streams_by_process.get(process, ()):
            stream.is_silent = stream.peer.is_silent = True

    # Checks

    def on_loaded(self, member: Member, runner: Runner) -> None:
        """Record that a planner has loaded the job records."""
        self.loads.append(Load(member, runner, self.clock.now))
        self.planner_host = member.host
        self.note(member, "loaded", runner.term.number, runner.authority.predecessor_s)

    def on_leases_renewed(self, member: Member, runner: Runner) -> None:
        """Check a lease renewal, which the planner sends at this moment."""
        number, now = runner.term.number, self.clock.now
        self.lease_renewals += 1
        gap_s = now - self._leases_renewed_at_by_term.get(number, now)
        self._leases_renewed_at_by_term[number] = now
        longest_s = self.longest_gap_s_by_term.get(number, 0.0)
        self.longest_gap_s_by_term[number] = max(longest_s, gap_s)
        for load in self.loads:
            later, assumed_s = (
                load.runner.term.number,
                load.runner.authority.predecessor_s,
            )
            if later <= number or not load.is_in_office:
                continue
            if now > load.at + assumed_s:
                self.note(member, "renews leases in term", number)
                raise ElectionViolationError(
                    f"term {number} renews leases {now - load.at:.3f} s after the load "
                    f"of term {later}, which assumes {assumed_s} s"
                )

    def watch(self) -> None:
        """Check again and again that a member that reaches the store has a planner."""
        now = self.clock.now
        for host in self.hosts:
            process = host.process
            if process is None:
                continue
            if self._is_disturbed(host) or process.is_frozen or process.is_stopping:
                self._undisturbed_since_by_process.pop(process, None)
            else:
                self._undisturbed_since_by_process.setdefault(process, now)
            runner = process.runner
            if (
                runner is not None
                and runner.is_ready
                and process.election.has_authority(process.now)
            ):
                self._planned_at = now
        for process, since in self._undisturbed_since_by_process.items():
            waiting_s = now - max(since, self._planned_at)
            if process.is_alive and waiting_s > MAX_WITHOUT_PLANNER_S:
                raise ElectionViolationError(
                    f"{process.election.member} reaches the store, and there has been "
                    f"no planner for {waiting_s:.2f} s"
                )
        self.clock.after(SAMPLE_S, self.watch)

    def _is_disturbed(self, host: Host) -> bool:
        network, address = self.network, host.address
        faults = network.find_faults(address, STORE)
        return bool(faults or network.find_faults(STORE, address))

    def check_planner(self) -> None:
        """Check that some planner may renew leases."""
        for host in self.hosts:
            process = host.process
            if process is None or process.runner is None or process.is_frozen:
                continue
            runner = process.runner
            if runner.is_ready and process.now < runner.authority.compute_until():
                return
        raise ElectionViolationError("no planner may renew leases")
