"""Coordination of jobs and requests.

The coordinator of a job or request, called its home in stored and sent data, is the
member that decides which attempts at its tasks exist. Covers admission, grants, gangs,
retries and recovery. Imports every package of the core except ``operator_api`` and
``planner``.
"""
