"""Exceptions raised by the core package."""

from __future__ import annotations


class CoreError(Exception):
    """Base class of all exceptions that the core raises."""


class UnknownEventError(CoreError):
    """An event's type has no handler in the dispatch table."""
