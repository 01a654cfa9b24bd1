"""Scheduling on owned workers: takeover, placement, starts, health and completions.

Imports the vocabulary, the members, the policy, the ledger and the context.
"""
