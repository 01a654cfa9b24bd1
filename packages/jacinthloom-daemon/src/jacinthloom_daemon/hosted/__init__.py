"""The entry process on a platform whose store, groups of workers and fences it uses.

May import :mod:`jacinthloom_core.planner`, ``platform`` and :mod:`jacinthloom_wire`.
"""
