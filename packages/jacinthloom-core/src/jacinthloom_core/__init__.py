"""Pure scheduling decisions: one reducer over events, with effects as data."""

from __future__ import annotations

from .model.settings import MemberSettings
from .reducer import Member

__all__ = ["Member", "MemberSettings"]
