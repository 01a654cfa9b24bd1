"""Planners in virtual time, with a store, workers and advice that fail."""
