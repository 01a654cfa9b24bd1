"""Run an entry process on the platform: ``python3 -m jacinthloom_daemon.hosted``."""

from __future__ import annotations

from .._imports import block_unused_imports

block_unused_imports()

import asyncio  # noqa: E402
import sys  # noqa: E402

from ..platform.errors import SettingsError  # noqa: E402
from ..platform.node_settings import NodeSettings  # noqa: E402
from .log import set_up_logging  # noqa: E402
from .process import EntryProcess  # noqa: E402

EXIT_BAD_SETTINGS = 2
"""Exit code for unreadable or invalid settings."""


def main() -> int:
    """Run an entry process until SIGTERM."""
    set_up_logging()
    try:
        asyncio.run(_run(NodeSettings.from_environment()))
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    return 0


async def _run(settings: NodeSettings) -> None:
    await EntryProcess(settings).run()


if __name__ == "__main__":
    sys.exit(main())
