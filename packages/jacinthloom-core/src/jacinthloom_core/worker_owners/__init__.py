"""Scheduling on owned workers: takeover, placement, starts, health and completions.

Imports the model, the members, the policy, the shared log and the context.
"""
