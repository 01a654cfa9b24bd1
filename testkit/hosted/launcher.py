"""Run an entry process whose connections go through a network stand-in.

The environment variable ``NETWORK_VARIABLE`` names the address of the stand-in and the
address of the process.
"""

from __future__ import annotations

import asyncio
import os
import runpy
import socket
from typing import Any

from .network import OPENED, REFUSED

NETWORK_VARIABLE = "TESTKIT_NETWORK"
PROGRAM = "jacinthloom_daemon.hosted"


class NetworkEventLoop(asyncio.SelectorEventLoop):
    """An event loop that opens its connections through a network stand-in."""

    async def create_connection(
        self,
        protocol_factory: Any,
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> Any:
        """Connect to an address through the stand-in."""
        if host is not None:
            options["sock"] = await self._open(f"{host}:{port}")
        return await super().create_connection(protocol_factory, **options)

    async def _open(self, target: str) -> socket.socket:
        network, source = os.environ[NETWORK_VARIABLE].split(",")
        host, _, port = network.rpartition(":")
        opened = socket.socket()
        opened.setblocking(False)
        try:
            await self.sock_connect(opened, (host, int(port)))
            await self.sock_sendall(opened, f"{source} {target}\n".encode())
            response = await self.sock_recv(opened, 1)
        except BaseException:
            opened.close()
            raise
        if response == OPENED:
            return opened
        opened.close()
        if response == REFUSED:
            raise ConnectionRefusedError(f"{target} refuses connections")
        raise ConnectionResetError(f"{target} has reset the connection")


class _NetworkPolicy(asyncio.DefaultEventLoopPolicy):
    _loop_factory = NetworkEventLoop


def main() -> None:
    """Run the program of entry processes."""
    asyncio.set_event_loop_policy(_NetworkPolicy())
    runpy.run_module(PROGRAM, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
