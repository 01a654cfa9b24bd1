"""State shared by the components of a member while it applies an event."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .model.effects import Note
from .shared_log.log_state import LogState

if TYPE_CHECKING:
    from .model.effects import Effect
    from .model.settings import MemberSettings


class Context:
    """Clocks, log state, counters and the effects of the current event.

    ``now`` is monotonic time and ``wall`` wall-clock time, both in seconds; ``clock``
    is a Lamport clock.
    """

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
        """Add an effect of the current event."""
        self._effects.append(effect)

    def note(self, kind: str, subject: str, detail: str = "", team: str = "") -> None:
        """Count an occurrence and add it to the timeline."""
        self.counters[kind] += 1
        self._effects.append(Note(kind, subject, detail, team, self.clock))

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects of the current event."""
        effects = self._effects
        self._effects = []
        return effects
