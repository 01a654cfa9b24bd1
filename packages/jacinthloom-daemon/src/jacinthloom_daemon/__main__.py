"""Command line of ``jacinthloomd``."""

from __future__ import annotations

from ._imports import block_unused_imports

block_unused_imports()

import argparse  # noqa: E402
import asyncio  # noqa: E402
import sys  # noqa: E402
from pathlib import Path  # noqa: E402

from jacinthloom_wire.checks import CheckError  # noqa: E402
from jacinthloom_wire.settings_file import ProcessSettings  # noqa: E402

from .daemon import Daemon  # noqa: E402
from .logs import set_up_logging  # noqa: E402

EXIT_BAD_SETTINGS = 2
"""Exit code for invalid settings."""


def main() -> int:
    """Run an entry process until it is stopped by a signal."""
    parser = argparse.ArgumentParser(
        prog="jacinthloomd", description="Run one jacinthloom entry process."
    )
    parser.add_argument("--settings", type=Path, required=True, help="TOML settings")
    parser.add_argument(
        "--log-level", default="info", choices=["debug", "info", "warning", "error"]
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    arguments = parser.parse_args()
    try:
        settings = ProcessSettings.from_file(arguments.settings)
    except CheckError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        return 0
    set_up_logging(arguments.log_level)
    asyncio.run(Daemon(settings).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
