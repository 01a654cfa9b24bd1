"""Scheduling logic without I/O: a reducer from events to effects."""

from __future__ import annotations

from .reducer import Member
from .vocabulary.settings import MemberSettings

__all__ = ["Member", "MemberSettings"]
