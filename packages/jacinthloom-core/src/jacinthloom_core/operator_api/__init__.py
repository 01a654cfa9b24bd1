"""Operators' requests: state reports and configuration changes.

Imports every package of the core except ``planner``.
"""
