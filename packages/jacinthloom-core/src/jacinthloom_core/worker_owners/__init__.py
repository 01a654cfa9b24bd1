"""Workers at their owners: takeover, placement, starts, health, and what ends.

Imports the rooms of the ledger and before.
"""
