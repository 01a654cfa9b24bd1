"""Settings of one member, and timing constants shared by all members."""

from __future__ import annotations

from dataclasses import dataclass

STATUS_INTERVAL_S = 1.0
"""Seconds between two status messages to each peer."""

SUSPICION_TIMEOUT_S = 3.0
"""Seconds of silence after which a peer is suspected to have failed."""

AUTHORITY_TTL_S = 9.0
"""Seconds that an assurance is valid, counted from its request."""

MAX_CLOCK_DRIFT = 0.02
"""Largest relative rate error of a clock that the design tolerates."""

MAX_CLOCK_RATE_RATIO = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
"""Largest ratio between the rates of two clocks."""

MAX_WALL_CLOCK_SKEW_S = 0.1
"""Largest difference between the wall clocks of two hosts, in seconds."""

TAKEOVER_WAIT_S = AUTHORITY_TTL_S * MAX_CLOCK_RATE_RATIO + MAX_WALL_CLOCK_SKEW_S
"""Seconds that a new owner waits until the old owner's authority has expired."""

CONFIGURATION_TTL_S = 3.5
"""Seconds for which a member's configuration is considered current."""

REQUEST_LEASE_S = 10.0
"""Duration of the task lease of a request."""

BATCH_LEASE_S = 30.0
"""Duration of the task lease of batch and gang work."""

SERVICE_LEASE_S = 120.0
"""Duration of the task lease of a long-running service."""

LONGEST_LEASE_S = SERVICE_LEASE_S
"""Longest duration of any task lease."""

LOG_BATCH_INTERVAL_S = 0.1
"""Minimum seconds between two appends of one member."""

START_VALIDITY_S = 1.0
"""Seconds after which a worker must ignore a start that arrives late."""


def lease_duration_s(kind: str) -> float:
    """Return the duration of the task lease for a kind of work, in seconds."""
    if kind == "request":
        return REQUEST_LEASE_S
    if kind == "service":
        return SERVICE_LEASE_S
    return BATCH_LEASE_S


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of one entry process.

    :param member: id, unique to this incarnation of the process
    :param address: ``host:port`` of its peer stream
    :param zone: its availability zone
    :param http_address: ``host:port`` of its HTTP endpoint for callers
    :param queue_bound: maximum number of requests and pending tasks per team
    """

    member: str
    address: str
    zone: str
    http_address: str = ""
    queue_bound: int = 10_000
