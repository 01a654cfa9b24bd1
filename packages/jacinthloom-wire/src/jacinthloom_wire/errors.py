"""Errors of the wire package."""

from __future__ import annotations


class WireError(Exception):
    """Base class of all errors raised by the wire package."""


class TransportError(WireError):
    """No complete response was received.

    :param sent: whether any byte of the request may have been sent
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class OtherRecipientError(TransportError):
    """Another process than the intended one is at the other end.

    It was sent nothing, or refused what it was sent.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, False)


class StatusError(WireError):
    """The response has an error status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(f"status {status}: {message}")
        self.status = status


class FormatError(WireError):
    """The response does not have the expected format."""
