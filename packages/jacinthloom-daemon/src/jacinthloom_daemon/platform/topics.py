"""Names of topics and keys in the platform's log store."""

from __future__ import annotations

OPERATORS = "keyed.op"
"""Written by operators: the configuration, and the availability zones taken out of
service."""

WORKERS = "keyed.servers"
"""Written by workers: their entries, by worker id."""

JOBS = "keyed.jobs"
"""Written by the planner: records of jobs."""

ELECTION = "planner"
"""Written by entry processes: records of the planner election."""

PRODUCER = "planner"
"""Producer name of the planner's appends to the job records."""

CONFIGURATION_KEY = "config"
ZONE_OUT_PREFIX = "evacuate/"
