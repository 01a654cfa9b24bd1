"""What the parts of a member share while an event is reduced."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .model.effects import Note
from .shared_log.log_state import LogState

if TYPE_CHECKING:
    from .model.effects import Effect
    from .model.settings import MemberSettings


class Context:
    """Clock, log state, counters and the effects gathered so far."""

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.member = settings.member
        self.now = 0.0
        self.wall = 0.0
        self.clock = 0
        self.state = LogState()
        self.counters: Counter[str] = Counter()
        self.leaving = False
        self._effects: list[Effect] = []

    def emit(self, effect: Effect) -> None:
        """Add an effect of the event at hand."""
        self._effects.append(effect)

    def note(self, kind: str, subject: str, detail: str = "", team: str = "") -> None:
        """Count something that happened and put it on the time line."""
        self.counters[kind] += 1
        self._effects.append(Note(kind, subject, detail, team, self.clock))

    def take_effects(self) -> list[Effect]:
        """Return the effects of the event at hand and forget them."""
        effects = self._effects
        self._effects = []
        return effects
