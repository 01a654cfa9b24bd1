"""Targets, shares and limits: level, run times, fairness, quotas and allotments.

Imports the vocabulary and the members.
"""
