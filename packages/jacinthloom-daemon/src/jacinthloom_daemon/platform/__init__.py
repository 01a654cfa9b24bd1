"""Adapter to the users' platform: its names, formats and calls as the core's types.

It contains no scheduling logic. May import :mod:`jacinthloom_core.planner` for its
types and :mod:`jacinthloom_wire` for HTTP.
"""
