"""Scheduling of jobs on workers by one elected planner.

Every decision is stored before it takes effect, and orders to workers carry fencing
tokens. May import :mod:`jacinthloom_core.model`; nothing else of the core.
"""
