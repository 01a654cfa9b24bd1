"""Simulation of planners in virtual time, with faults of the store and workers."""
