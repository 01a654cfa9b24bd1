"""Names of topics and keys in the platform's store."""

from __future__ import annotations

OPERATORS = "keyed.op"
"""What operators write: the configuration, and zones taken out."""

WORKERS = "keyed.servers"
"""Entries that workers write, by id."""

JOBS = "keyed.jobs"
"""The project's records of jobs."""

ELECTION = "planner"
"""The project's claims and renewals."""

PRODUCER = "planner"
"""Name under which planners append to their records."""

CONFIGURATION_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
