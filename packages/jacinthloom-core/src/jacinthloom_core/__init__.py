"""Pure scheduling decisions: one reducer over events, with effects as data."""

from __future__ import annotations

from .reducer import Member
from .vocabulary.settings import MemberSettings

__all__ = ["Member", "MemberSettings"]
