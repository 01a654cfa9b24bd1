"""Scheduling policy: usage cap, run-time estimates, fair shares and team limits.

Imports the packages ``model`` and ``members``.
"""
