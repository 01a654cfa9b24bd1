"""Settings of one member, and the timing constants that all members share."""

from __future__ import annotations

from dataclasses import dataclass

STATUS_INTERVAL_S = 1.0
"""Seconds between two status messages to each peer."""

SUSPICION_TIMEOUT_S = 3.0
"""Seconds without a word after which a peer is suspected."""

AUTHORITY_TTL_S = 9.0
"""Seconds that an assurance counts, from the moment it was asked for."""

DRIFT = 0.02
"""Largest relative error of a clock that the design allows for."""

MAX_CLOCK_RATE_RATIO = (1 + DRIFT) / (1 - DRIFT)
"""Most by which one clock can run faster than another."""

MAX_WALL_CLOCK_SKEW_S = 0.1
"""Most seconds between the wall clocks of two hosts."""

TAKEOVER_WAIT_S = AUTHORITY_TTL_S * MAX_CLOCK_RATE_RATIO + MAX_WALL_CLOCK_SKEW_S
"""Seconds a new owner waits for the old owner's authority to lapse."""

CONFIGURATION_TTL_S = 3.5
"""Seconds that a member's configuration counts as current."""

REQUEST_LEASE_S = 10.0
"""Task lease of a request."""

BATCH_LEASE_S = 30.0
"""Task lease of batch and gang work."""

SERVICE_LEASE_S = 120.0
"""Task lease of a long-running service."""

LONGEST_LEASE_S = SERVICE_LEASE_S
"""The longest lease that any task can hold."""

LOG_BATCH_INTERVAL_S = 0.1
"""Least time between two appends of one member."""

START_VALIDITY_S = 1.0
"""Seconds after which a worker must not act on a start that reaches it late."""


def lease_duration_s(kind: str) -> float:
    """Return the task lease for a kind of work."""
    if kind == "request":
        return REQUEST_LEASE_S
    if kind == "service":
        return SERVICE_LEASE_S
    return BATCH_LEASE_S


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What one entry process knows of itself.

    :param member: id, unique to this start of the process
    :param address: ``host:port`` of its peer stream
    :param zone: its availability zone
    :param http_address: ``host:port`` where callers reach it
    :param queue_bound: most requests and pending tasks of one team
    """

    member: str
    address: str
    zone: str
    http_address: str = ""
    queue_bound: int = 10_000
