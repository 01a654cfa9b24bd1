"""Membership views and what follows from them."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.records import MemberInfo

VOTES_DIVISOR = 3
"""Members a vote is needed from: one in this many, and at least one."""


@dataclass(frozen=True, slots=True)
class View:
    """A numbered set of members, as read from the log."""

    number: int
    members_by_id: dict[str, MemberInfo] = field(default_factory=dict)

    @property
    def votes_needed(self) -> int:
        """Votes that replace this view."""
        return max(1, len(self.members_by_id) // VOTES_DIVISOR)

    @property
    def assurances_needed(self) -> int:
        """Assurances that give authority; any voters meet them in one member."""
        return len(self.members_by_id) - self.votes_needed + 1

    def choose_member(self, key: str) -> str:
        """Return the member with the highest rendezvous hash for a key."""
        return max(
            self.members_by_id, key=lambda member: rendezvous_weight(key, member)
        )


def rendezvous_weight(key: str, member: str) -> bytes:
    """Return the weight of a member for a key."""
    return hashlib.blake2b(f"{key}|{member}".encode(), digest_size=8).digest()
