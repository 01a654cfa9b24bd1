"""Scheduling logic without I/O: a reducer from events to effects."""

from __future__ import annotations

from .model.settings import MemberSettings
from .reducer import Member

__all__ = ["Member", "MemberSettings"]
