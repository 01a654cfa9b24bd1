"""The users' platform: its names, formats and calls, turned into the project's types.

Nothing here decides. May import :mod:`jacinthloom_core.planner` for its types and
:mod:`jacinthloom_wire` for HTTP.
"""
