"""State reduced from the platform log, and reading and writing of the log.

Imports the model, the members and the policy.
"""
