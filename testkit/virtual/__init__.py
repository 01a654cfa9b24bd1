"""Simulation of core members in virtual time, with fault injection."""

from .faults import Faults
from .invariants import InvariantError
from .world import World

__all__ = ["Faults", "InvariantError", "World"]
