"""Data types shared by all packages of the core.

Covers resources, work, configuration, log records, messages between members, events
and effects. Imports no other package of the core.
"""
