"""The state that members reduce from the log, and how they write to it and read it.

Imports the vocabulary, the members and the policy.
"""
