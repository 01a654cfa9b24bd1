"""Errors raised by the clients of the platform's services."""

from __future__ import annotations


class PlatformError(Exception):
    """Base class of all errors of the platform's clients."""


class SettingsError(PlatformError):
    """The settings file is unreadable or invalid."""


class UnavailableError(PlatformError):
    """A service did not confirm a request.

    :param is_outcome_unknown: whether the request may nevertheless have been carried
        out, or may still be
    """

    def __init__(self, message: str, is_outcome_unknown: bool) -> None:
        super().__init__(message)
        self.is_outcome_unknown = is_outcome_unknown


class OtherIncarnationError(UnavailableError):
    """Another incarnation of a worker than the intended one has its address.

    Nothing was sent to it.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, is_outcome_unknown=False)


class FencedError(PlatformError):
    """A writer or planner with a higher epoch or fencing token has taken over."""


class ConflictError(PlatformError):
    """The condition of a conditional append does not hold.

    :param end: offset at which the log ends
    """

    def __init__(self, end: int) -> None:
        super().__init__(f"the log ends at {end}")
        self.end = end


class SequenceError(PlatformError):
    """The sequence number of a batch does not follow the last one.

    :param expected: sequence number that the store expects
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"out of sequence: the store expects batch {expected}")
        self.expected = expected


class TruncatedError(PlatformError):
    """The requested records have been deleted.

    :param first: offset of the first remaining record
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"the log begins at {first}")
        self.first = first


class InvalidDataError(PlatformError):
    """A body or record does not match the platform's format."""
