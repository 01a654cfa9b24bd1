"""The entry process on the users' platform, with its store, workers and fencing.

May import :mod:`jacinthloom_core.planner`, ``platform`` and :mod:`jacinthloom_wire`.
"""
