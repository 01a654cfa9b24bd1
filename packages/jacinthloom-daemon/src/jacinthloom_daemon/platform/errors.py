"""Errors of the platform's services."""

from __future__ import annotations


class PlatformError(Exception):
    """Base of every error that the platform's clients raise."""


class SettingsError(PlatformError):
    """The settings file can't be used."""


class UnavailableError(PlatformError):
    """The service did not do what it was asked.

    :param is_outcome_unknown: whether it may have done it all the same, or may do
        it later
    """

    def __init__(self, sentence: str, is_outcome_unknown: bool) -> None:
        super().__init__(sentence)
        self.is_outcome_unknown = is_outcome_unknown


class FencedError(PlatformError):
    """A later writer or planner has taken over."""


class ConflictError(PlatformError):
    """The log does not end where the condition says.

    :param end: offset at which it ends
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the log ends at {end}")
        self.end = end


class SequenceError(PlatformError):
    """A batch does not follow the last one.

    :param expected: number that would
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"batch {expected} was expected")
        self.expected = expected


class TruncatedError(PlatformError):
    """The records asked for are deleted.

    :param first: offset of the first one that is left
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"the log begins at {first}")
        self.first = first


class InvalidDataError(PlatformError):
    """A body is not of the agreed shape."""
