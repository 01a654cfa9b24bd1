"""Plan jobs of steps on fenced workers, by one elected planner with stored decisions.

May import :mod:`jacinthloom_core.resources`; nothing else of the core.
"""
