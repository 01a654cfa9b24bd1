"""Block imports of unused modules, which would take a fifth of the process's memory.

Entry processes use plain TCP inside the platform, and ``asyncio`` works without
:mod:`ssl`. ``prometheus_client`` refers to names of :mod:`ssl` and of the standard
library's HTTP servers and clients only for its own HTTP server and push client, which
are never started.
"""

from __future__ import annotations

import importlib
import sys
import types

BLOCKED_MODULES = ("ssl", "_hashlib")
"""Modules that load OpenSSL; ``hashlib`` has built-in SHA-256 and BLAKE2 as well."""

STUBBED_MODULES = ("ssl", "http.server", "urllib.request", "wsgiref.simple_server")
"""Modules that ``prometheus_client`` imports names from without using them."""


class _StubModule(types.ModuleType):
    """A stub module in which every public name is an empty class."""

    def __getattr__(self, name: str) -> type:
        if name.startswith("__"):
            raise AttributeError(name)
        return type(name, (), {})


def block_unused_imports() -> None:
    """Prevent later imports from loading OpenSSL; call it before any other import."""
    for name in BLOCKED_MODULES:
        sys.modules[name] = None  # type: ignore[assignment]
    importlib.import_module("asyncio")
    for name in STUBBED_MODULES:
        sys.modules[name] = _StubModule(name)
    importlib.import_module("prometheus_client")
    for name in STUBBED_MODULES:
        del sys.modules[name]
    sys.modules["ssl"] = None  # type: ignore[assignment]
