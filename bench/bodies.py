"""Compare two libraries that decode request bodies of the platform.

``python -m bench.bodies`` prints CPU microseconds and peak memory for each body. All
decoders run in one process on the same body.
"""

from __future__ import annotations

import json
import time
import tracemalloc
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import cattrs
import msgspec
from jacinthloom_daemon.platform.schemas import JobBody, decode_job

if TYPE_CHECKING:
    from collections.abc import Callable

BODIES_DECODED = 3_000
"""Bodies decoded by each library."""

BODY = json.dumps(
    {
        "spec": "x" * 300,
        "steps": [
            {"count": 4, "cpu": 500, "memMb": 256, "estRuntimeMs": 900},
            {"count": 20, "cpu": 2000, "memMb": 1024, "after": [0], "gang": True},
        ],
    }
).encode()


@dataclass(frozen=True)
class _Step:
    count: int = 0
    cpu: float = 0
    memMb: float = 0  # noqa: N815
    estRuntimeMs: float = 0  # noqa: N815
    after: list[int] = field(default_factory=list)
    gang: bool = False


@dataclass(frozen=True)
class _Job:
    spec: str
    steps: list[_Step]


def measure(decode: Callable[[], object]) -> tuple[float, float]:
    """Return CPU microseconds and peak KiB of decoding one body."""
    decode()
    began = time.process_time()
    for _ in range(BODIES_DECODED):
        decode()
    took_us = (time.process_time() - began) / BODIES_DECODED * 1e6
    tracemalloc.start()
    decode()
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return took_us, peak / 1024


def main() -> None:
    """Print the measurements of both libraries and their ratio."""
    converter = cattrs.Converter()
    to_core = measure(lambda: decode_job(BODY, "a" * 16, "q", "t", 0))
    typed = measure(lambda: msgspec.json.decode(BODY, type=JobBody))
    plain = measure(lambda: converter.structure(json.loads(BODY), _Job))
    print(f"msgspec, 18 fields a step: {typed[0]:.1f} us, {typed[1]:.1f} KiB")
    print(f"json and cattrs, 6 fields a step: {plain[0]:.1f} us, {plain[1]:.1f} KiB")
    print(f"ratio: {plain[0] / typed[0]:.1f}")
    print(f"msgspec and conversion to the core's types: {to_core[0]:.1f} us")


if __name__ == "__main__":
    main()
