"""A stand-in for the network between processes, which can be cut between any places.

Processes that are started by :mod:`testkit.hosted.launcher` connect to it. Each
connection begins with a line, ``SOURCE TARGET``, and one byte in response.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field

from .relay_server import RelayServer, has_ended, read_chunk, reset

CONNECT_TIMEOUT_S = 2.0

OPENED = b"1"
REFUSED = b"0"


class CutMode(enum.Enum):
    """What becomes of connections over a cut link."""

    SILENT = "silent"
    """Bytes are held back until the link heals, and new connections hang."""

    REFUSED = "refused"
    """Open connections are reset, and new ones refused."""

    RESET = "reset"
    """Connections are reset, new ones as soon as they are open."""


@dataclass(eq=False, slots=True)
class Cut:
    """A cut between two groups of places.

    :param is_one_way: whether only what the first group sends to the second is lost
    """

    sources: frozenset[str]
    targets: frozenset[str]
    mode: CutMode = CutMode.SILENT
    is_one_way: bool = False
    healed: asyncio.Event = field(default_factory=asyncio.Event)

    def blocks(self, sender: str, receiver: str) -> bool:
        """Whether nothing gets from one place to another."""
        is_back = sender in self.targets and receiver in self.sources
        return (sender in self.sources and receiver in self.targets) or (
            is_back and not self.is_one_way
        )


@dataclass(eq=False, slots=True)
class _Connection:
    source: str
    target: str
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]

    def reset(self) -> None:
        for writer in self.writers:
            reset(writer)


class NetworkStandIn:
    """Forward connections, each from a known place to a known place.

    :ivar place_by_address: name of the place at an address; the place of any other
        address is its host
    """

    def __init__(self) -> None:
        self.place_by_address: dict[str, str] = {}
        self._cuts: list[Cut] = []
        self._connections: set[_Connection] = set()
        self._server = RelayServer(self._handle)

    async def start(self) -> str:
        """Listen at a free port and return the address."""
        return await self._server.start()

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        for connection in list(self._connections):
            connection.reset()
        await self._server.close()

    def cut(self, cut: Cut) -> None:
        """Cut all links between two groups of places, until :meth:`heal`."""
        self._cuts.append(cut)
        if cut.mode is CutMode.SILENT:
            return
        for connection in list(self._connections):
            if self._find_cut(connection.source, connection.target) is not None:
                connection.reset()

    def heal(self, cut: Cut) -> None:
        """End a cut: forward what it held back, and go on."""
        self._cuts.remove(cut)
        cut.healed.set()

    def _find_place(self, address: str) -> str:
        return self.place_by_address.get(address, address.rpartition(":")[0])

    def _find_cut(self, source: str, target: str) -> Cut | None:
        """Return the cut that keeps a connection from being opened."""
        found = [
            cut
            for cut in self._cuts
            if cut.blocks(source, target) or cut.blocks(target, source)
        ]
        not_silent = [cut for cut in found if cut.mode is not CutMode.SILENT]
        return next(iter(not_silent + found), None)

    async def _wait_for_way(self, sender: str, receiver: str) -> None:
        """Wait until bytes get from one place to another."""
        while blocking := [cut for cut in self._cuts if cut.blocks(sender, receiver)]:
            await blocking[0].healed.wait()

    async def _handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            source, address = (await reader.readline()).decode().split()
            await self._forward(source, address, reader, writer)
        except* (OSError, TimeoutError, EOFError, ValueError):
            pass

    async def _forward(
        self,
        source: str,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target = self._find_place(address)
        while (cut := self._find_cut(source, target)) is not None:
            if cut.mode is not CutMode.SILENT:
                writer.write(REFUSED if cut.mode is CutMode.REFUSED else OPENED)
                if cut.mode is CutMode.RESET:
                    reset(writer)
                return
            await cut.healed.wait()
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                remote = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            writer.write(REFUSED)
            return
        connection = _Connection(source, target, (writer, remote[1]))
        self._connections.add(connection)
        try:
            writer.write(OPENED)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(connection, reader, remote, True))
                group.create_task(
                    self._pump(connection, remote[0], (reader, writer), False)
                )
        finally:
            self._connections.discard(connection)
            remote[1].transport.abort()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        receiver: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        is_request: bool,
    ) -> None:
        places = (connection.source, connection.target)
        way = places if is_request else places[::-1]
        while True:
            data = await read_chunk(reader)
            await self._wait_for_way(*way)
            if reader.exception() or (data and has_ended(receiver[0])):
                connection.reset()
            if not data or has_ended(receiver[0]):
                raise EOFError
            receiver[1].write(data)
            await receiver[1].drain()
