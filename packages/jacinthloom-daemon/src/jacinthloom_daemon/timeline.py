"""The latest events and state changes of this process."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jacinthloom_core.model.effects import Note

MAX_LINES = 4_000
"""Maximum number of lines kept in memory."""


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the timeline.

    :param clock: Lamport clock, for causal order across processes
    :param sequence: number of the line in its process
    :param wall: seconds since the epoch
    """

    clock: int
    process: str
    sequence: int
    wall: float
    kind: str
    subject: str
    detail: str
    team: str


class Timeline:
    """A bounded buffer of the latest lines; older ones are dropped."""

    def __init__(self, process: str) -> None:
        self.process = process
        self._lines: deque[Line] = deque(maxlen=MAX_LINES)
        self._sequence = 0

    def add(self, note: Note, wall: float) -> None:
        """Append a line for a note.

        :param wall: seconds since the epoch
        """
        self._sequence += 1
        self._lines.append(
            Line(
                note.clock,
                self.process,
                self._sequence,
                round(wall, 6),
                note.kind,
                note.subject,
                note.detail,
                note.team,
            )
        )

    def list_after(self, sequence: int) -> list[Line]:
        """Return the lines after a sequence number."""
        return [line for line in self._lines if line.sequence > sequence]
