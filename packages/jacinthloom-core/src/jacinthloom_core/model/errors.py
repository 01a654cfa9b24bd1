"""Errors of the core package."""

from __future__ import annotations


class CoreError(Exception):
    """Base of every error that the core raises."""


class UnknownEventError(CoreError):
    """An event has no handler in the dispatch table."""
