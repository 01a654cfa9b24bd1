"""Keep out of the process what it never uses: it would take a fifth of its memory.

Entry processes speak plain TCP inside the platform, so ``asyncio`` does without
:mod:`ssl`, as it can. ``prometheus_client`` only names parts of it, and of the standard
library's HTTP servers and clients, for a server and a push client of its own that are
never started.
"""

from __future__ import annotations

import importlib
import sys
import types

BLOCKED_MODULES = ("ssl", "_hashlib")
"""Modules that load OpenSSL; ``hashlib`` has its own SHA-256 and BLAKE2 besides."""

STUBBED_MODULES = ("ssl", "http.server", "urllib.request", "wsgiref.simple_server")
"""Modules that ``prometheus_client`` names parts of."""


class _StubModule(types.ModuleType):
    """A module in which every public name stands for an empty class."""

    def __getattr__(self, name: str) -> type:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (), {})


def block_unused_imports() -> None:
    """Make later imports find no OpenSSL; call it before any other import."""
    for name in BLOCKED_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]
    importlib.import_module("asyncio")
    for name in STUBBED_MODULES:
        sys.modules[name] = _StubModule(name)
    importlib.import_module("prometheus_client")
    for name in STUBBED_MODULES:
        del sys.modules[name]
    sys.modules["ssl"] = None  # type: ignore[assignment]
