"""Jobs and requests at their homes: acceptance, attempts, grants, gangs, recovery.

Imports the rooms of the worker owners and before.
"""
