"""Addresses of the form ``host:port``."""

from __future__ import annotations

import re

from .errors import WireError

MAX_PORT = 65_535

MAX_SHOWN = 80
"""Maximum characters of a malformed address in an error message."""

_HOST = re.compile(r"[A-Za-z0-9._-]{1,253}")
_PORT = re.compile(r"[0-9]{1,5}")


class AddressError(WireError):
    """A text is not an address of the form ``host:port``."""


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of an address.

    :raises AddressError: if the host is not a name or an IPv4 address, or the port is
        not a number from 0 to ``MAX_PORT``
    """
    host, _, port = text.partition(":")
    is_port = _PORT.fullmatch(port) is not None and int(port) <= MAX_PORT
    if not _HOST.fullmatch(host) or not is_port:
        raise AddressError(
            f"{text[:MAX_SHOWN]!r} is not of the form host:port, "
            f"with a port of at most {MAX_PORT}"
        )
    return host, int(port)
