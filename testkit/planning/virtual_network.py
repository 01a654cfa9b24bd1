"""Links between simulated processes and a log store, which fail in one way or both."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from .virtual_tasks import Future

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from jacinthloom_core.planner.election import ElectionRecord

    from .clock import VirtualClock
    from .virtual_tasks import VirtualProcess

STORE = "store"
"""Name of the store as an end of links."""

RETRANSMISSION_S = 0.2
"""Seconds between attempts to send what a cut holds up."""

RECORD_RETENTION_S = 20.0
"""Seconds for which the store keeps records."""


class Fault:
    """A disturbance of the links from some ends to others.

    :param sources: addresses of the sending ends
    :param targets: addresses of the receiving ends
    :param delay_s: longest delay that it adds; None if nothing gets through
    :param is_refused: whether calls to the store fail at once, without effect
    :param is_late: whether appends that time out may be carried out much later
    """

    def __init__(
        self,
        sources: Callable[[str], bool],
        targets: Callable[[str], bool],
        delay_s: float | None = None,
        is_refused: bool = False,
        is_late: bool = False,
    ) -> None:
        self._sources = sources
        self._targets = targets
        self.delay_s = delay_s
        self.is_refused = is_refused
        self.is_late = is_late

    def affects(self, source: str, target: str) -> bool:
        """Whether a link is disturbed."""
        return self._sources(source) and self._targets(target)


class Network:
    """All links, and the faults that disturb them at present."""

    def __init__(self, clock: VirtualClock, random: Random) -> None:
        self.clock = clock
        self.random = random
        self.faults: list[Fault] = []

    def find_faults(self, source: str, target: str) -> list[Fault]:
        """Return the faults that disturb a link."""
        return [fault for fault in self.faults if fault.affects(source, target)]

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets through a link."""
        return any(f.delay_s is None for f in self.find_faults(source, target))

    def draw_delay_s(self, source: str, target: str) -> float:
        """Return the delay of one message."""
        delays = [fault.delay_s or 0.0 for fault in self.find_faults(source, target)]
        return 0.002 + self.random.random() * (0.002 + max(delays, default=0.0))


class StreamEnd:
    """One end of a stream between two processes.

    :ivar peer: the other end
    """

    def __init__(self, network: Network, process: VirtualProcess, address: str) -> None:
        self._network = network
        self.process = process
        self.address = address
        self.peer: StreamEnd
        self.is_closed = False
        self.is_silent = False
        """Whether what is sent on this stream is lost for good, without a reset."""
        self._inbox: deque[Any] = deque()
        self._reader: Future | None = None
        self._outbox: deque[Any] = deque()
        self._is_pumping = False
        self._arrives_at = 0.0

    def send(self, message: Any) -> None:
        """Send a message; None closes the stream after all earlier ones."""
        if self.is_closed:
            return
        self._outbox.append(message)
        if not self._is_pumping:
            self._pump()

    def _pump(self) -> None:
        """Send what the link lets through; TCP holds up the rest, in order."""
        clock = self._network.clock
        self._is_pumping = False
        if self.is_silent or not self._outbox:
            return
        if self._network.is_cut(self.address, self.peer.address):
            self._is_pumping = True
            clock.after(RETRANSMISSION_S, self._pump)
            return
        while self._outbox:
            message = self._outbox.popleft()
            delay_s = self._network.draw_delay_s(self.address, self.peer.address)
            self._arrives_at = max(self._arrives_at, clock.now + delay_s)
            delivery = partial(self.peer.receive, message)
            clock.after(self._arrives_at - clock.now, delivery)

    def receive(self, message: Any) -> None:
        """Accept a message; an end that is gone resets the stream."""
        if self.is_closed or not self.process.is_alive:
            if message is not None and not self.peer.is_closed:
                self._is_pumping = False
                self._outbox = deque([None])
                self._pump()
            return
        self.process.call(lambda: self._accept(message))

    def _accept(self, message: Any) -> None:
        self._inbox.append(message)
        if self._reader is not None:
            self._reader.set()

    async def read(self, timeout_s: float) -> Any:
        """Return the next message; None if the stream ends or is silent too long."""
        if not self._inbox and not self.is_closed:
            self._reader = Future(self.process)
            self.process.after(timeout_s, self._reader.set)
            await self._reader
        return self._inbox.popleft() if self._inbox and not self.is_closed else None

    def close(self) -> None:
        """Close the stream."""
        self.send(None)
        self.is_closed = True
        if self._reader is not None:
            self._reader.set()


def open_stream(
    network: Network,
    client: tuple[VirtualProcess, str],
    server: tuple[VirtualProcess, str],
) -> tuple[StreamEnd, StreamEnd]:
    """Return the two ends of a new stream."""
    near, far = StreamEnd(network, *client), StreamEnd(network, *server)
    near.peer, far.peer = far, near
    return near, far


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed call to the store."""

    may_have_run: bool = True


@dataclass(frozen=True, slots=True)
class Conflict:
    """The log ends elsewhere, or a later planner has written."""


@dataclass(frozen=True, slots=True)
class Truncated:
    """The records from the requested offset on have been deleted."""

    first: int


@dataclass(frozen=True, slots=True)
class Records:
    """Records from an offset on."""

    first: int
    records: tuple[ElectionRecord, ...]


class VirtualStore:
    """A log with conditional appends, and the fence of the planners' job records."""

    def __init__(self, network: Network) -> None:
        self._network = network
        self._clock = network.clock
        self._first = 0
        self._rows: deque[tuple[float, ElectionRecord]] = deque()
        self._waiting: list[Callable[[], None]] = []
        self._newest_epoch = 0

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self._first + len(self._rows)

    def call(
        self,
        address: str,
        operation: Callable[[Callable[[Any], None]], None],
        answer: Callable[[Any], None],
        is_write: bool = True,
    ) -> None:
        """Carry out a call from an address, unless the links prevent that."""
        network, clock = self._network, self._clock
        faults = network.find_faults(address, STORE)
        if any(fault.is_refused for fault in faults):
            clock.after(0.005, lambda: answer(Failure(may_have_run=False)))
            return
        delay_s = network.draw_delay_s(address, STORE)
        is_late = any(f.is_late for f in faults) and network.random.random() < 0.3
        if is_late and is_write:
            delay_s = network.random.uniform(0.5, 9.0)
        elif any(fault.delay_s is None for fault in faults):
            return
        clock.after(
            delay_s, lambda: operation(lambda r: self._answer(address, r, answer))
        )

    def _answer(self, address: str, result: Any, answer: Callable[[Any], None]) -> None:
        if not self._network.is_cut(STORE, address):
            delay_s = self._network.draw_delay_s(STORE, address)
            self._clock.after(delay_s, lambda: answer(result))

    def append(
        self,
        record: ElectionRecord,
        expected_end: int | None,
        answer: Callable[[Any], None],
    ) -> None:
        """Append a record if the log ends as expected."""
        if expected_end is not None and expected_end != self.end:
            answer(Conflict())
            return
        offset = self.end
        self._rows.append((self._clock.now, record))
        answer(offset)
        waiting, self._waiting = self._waiting, []
        for check in waiting:
            check()

    def read(self, start: int, wait_s: float, answer: Callable[[Any], None]) -> None:
        """Read the records from an offset on; wait for one if there is none."""
        until = self._clock.now + wait_s

        def check() -> None:
            nonlocal answer
            self._delete_old()
            is_due = self._clock.now >= until - 1e-9
            if start < self._first:
                result: Any = Truncated(self._first)
            elif start < self.end or is_due:
                rows = list(self._rows)[start - self._first :]
                result = Records(start, tuple(record for _, record in rows))
            else:
                self._waiting.append(check)
                return
            answer(result)
            answer = _ignore

        check()
        if wait_s:
            self._clock.after(wait_s, check)

    def load(self, epoch: int, answer: Callable[[Any], None]) -> None:
        """Fence the planners of earlier terms, and read the job records."""
        if epoch < self._newest_epoch:
            answer(Conflict())
            return
        self._newest_epoch = epoch
        answer(None)

    def _delete_old(self) -> None:
        while self._rows and self._rows[0][0] < self._clock.now - RECORD_RETENTION_S:
            self._rows.popleft()
            self._first += 1


def _ignore(result: Any) -> None:
    """Ignore a result: the call was answered."""
