"""Coordination of jobs and requests by their homes.

The home of a job or request is the member that decides which attempts at its tasks
exist. Covers admission, grants, gangs, retries and recovery. Imports every package of
the core except ``operator_desk`` and ``planner``.
"""
