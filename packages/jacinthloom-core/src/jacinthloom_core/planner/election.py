"""Election of the planner through conditional appends to one log.

Each record names a member. The newest claim that was not released names the planner;
its offset is the number of its term. A member claims at the end that it has read, so of
several claims one is appended. The planner renews its claim; another member claims only
after it has read without a break, and without a renewal, for longer than the planner
trusts its own last renewal.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLAIM_AFTER_S = 1.1
"""Seconds without a renewal after which a claim may be tried: three renewals, and
what a slow store delays one of them by."""

SUSPECT_CLAIM_AFTER_S = 0.5
"""The same for a planner whose host refuses connections: its process is gone."""

ABDICATION_S = 1.0
"""Seconds for which a planner's word that it can't write lets others claim."""

AUTHORITY_S = 0.9
"""Seconds after a renewal was sent for which the planner counts on it: less than
``CLAIM_AFTER_S`` by more than clocks differ and timers are late."""

YOUNGER_FIRST_S = 0.35
"""Seconds for which members that started before the planner that released leave the
claim to younger ones: in a rolling restart the older ones go next."""

UNREACHABLE_REPORT_TTL_S = 2.0
"""Seconds for which a complaint counts."""

REPORT_UNREACHABLE_AFTER_S = 0.8
"""Seconds without a stream to the planner after which a member complains."""

CLAIM_SUSPENSION_S = 4.0
"""Seconds for which a planner that most members can't reach does not claim again."""

LARGE_SHARE = 0.7
"""Share of the largest known host's processors from which a host counts as large."""

DEFER_S = 0.5
"""Seconds for which a smaller host leaves a claim to the larger ones."""

MIN_TERM_BEFORE_HANDOVER_S = 3.0
"""Seconds for which a planner keeps its term before it hands it to a larger host: a
change in the middle of other trouble would add to it."""

RENEW_S = 0.35
"""Seconds from one renewal to the next, if the store is not slower."""

READ_WAIT_S = 0.4
"""Seconds that a read waits for a record: a little longer than between two renewals."""

READ_GAP_S = 1.4
"""Seconds without an answer after which the reading has a break."""


class ElectionAction(Enum):
    """What a record of the election says."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"
    REPORT_UNREACHABLE = "complain"
    """Its member hears the planner in the log and can't reach it."""


@dataclass(frozen=True, slots=True)
class ElectionRecord:
    """One record of the election.

    :param member: incarnation that wrote it
    :param address: where it takes streams from other members
    :param wall_ms: Unix time of writing, in milliseconds
    """

    action: ElectionAction
    member: str
    address: str
    wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class Term:
    """The time in which one member plans.

    :param number: rises with each term
    """

    number: int
    member: str
    address: str


class Election:
    """What one member has read of the election, and what it may do."""

    def __init__(self, member: str, address: str, processors: float = 1.0) -> None:
        self.member = member
        self.address = address
        self.processors = processors
        self.largest_processors = 0.0
        """Processors of the largest other host that may plan, as far as is known."""
        self.next_offset = 0
        """Offset behind the last record that was read."""
        self.term: Term | None = None
        self._newest_number = 0
        """Number of the newest term that is known, also once it is released."""
        self._answered_at = float("-inf")
        self._quiet_since = float("inf")
        self._renewed_at = float("-inf")
        self._suspect_term = 0
        self._abdicated_at = float("-inf")
        self._released_at = float("-inf")
        self._stands_down_until = float("-inf")
        self._is_young = True
        """Whether it began to read after the newest claim was written."""
        self._complained_at: dict[str, float] = {}

    @property
    def is_planner(self) -> bool:
        """Whether the newest claim is this member's."""
        return self.term is not None and self.term.member == self.member

    def on_read(
        self,
        records: list[tuple[int, ElectionRecord | None]],
        end: int,
        now: float,
        wall_ms: int = 0,
    ) -> None:
        """Take over what was read.

        :param records: offset and record; None for one that can't be read
        :param end: offset behind the last one
        :param wall_ms: Unix time now; tells a starting member how old records are
        """
        is_first = self._answered_at == float("-inf")
        if now - self._answered_at > READ_GAP_S:
            self._quiet_since = now
        self._answered_at = now
        for offset, record in records:
            if offset >= self.next_offset and record is not None:
                self._reduce(offset, record, now)
                if self.term is not None and record.member == self.term.member:
                    self._quiet_since = now
                if record.action is ElectionAction.CLAIM:
                    self._is_young = is_first
        if is_first and records and records[-1][1] is not None and wall_ms:
            age_s = (wall_ms - records[-1][1].wall_ms) / 1000
            self._quiet_since = now - max(0.0, age_s)
        self.next_offset = max(self.next_offset, end)

    def _reduce(self, offset: int, record: ElectionRecord, now: float) -> None:
        if record.action is ElectionAction.REPORT_UNREACHABLE:
            self._complained_at[record.member] = now
            return
        if record.action is ElectionAction.CLAIM:
            self._complained_at.clear()
            self.term = Term(offset + 1, record.member, record.address)
            self._newest_number = max(self._newest_number, offset + 1)
            self._abdicated_at = float("-inf")
            return
        is_holder = self.term is not None and record.member == self.term.member
        if is_holder and record.action is ElectionAction.RENEW:
            self._abdicated_at = float("-inf")  # it can write again
        if is_holder and record.action is ElectionAction.RELEASE:
            self.term = None
            self._released_at = now

    @property
    def has_larger_alternative(self) -> bool:
        """Whether a much larger host may plan in place of this one."""
        return self.processors < LARGE_SHARE * self.largest_processors

    def may_claim(self, now: float) -> bool:
        """Whether no planner has been heard of for long enough."""
        if self.is_planner or now - self._answered_at > READ_GAP_S:
            return False
        if now < self._stands_down_until:
            return False
        defer_s = DEFER_S if self.has_larger_alternative else 0.0
        if self.term is None:
            wait_s = 0.0 if self._is_young else YOUNGER_FIRST_S
            return now - self._released_at >= wait_s + defer_s
        if defer_s <= now - self._abdicated_at < ABDICATION_S:
            return True
        is_suspect = self.term.number == self._suspect_term
        patience_s = SUSPECT_CLAIM_AFTER_S if is_suspect else CLAIM_AFTER_S
        return now - self._quiet_since >= patience_s + defer_s

    def on_term_learned(self, term: Term) -> bool:
        """Take over a newer term that another member has read; return whether it is.

        A member that can't read the log itself learns so whom to call. It is never told
        of its own term, and not of one that it has seen released: others may be behind.
        """
        if term.member == self.member or term.number <= self._newest_number:
            return False
        self._newest_number = term.number
        self.term = term
        return True

    def on_connection_refused(self, term: int) -> None:
        """Note that the host of a term's planner refuses connections."""
        self._suspect_term = term

    def on_abdicated(self, term: int, now: float) -> None:
        """Note that the planner of a term can't write to the store."""
        if self.term is not None and self.term.number == term:
            self._abdicated_at = now

    def abdicate(self) -> None:
        """Count on this member's renewals no longer, until the next one."""
        self._renewed_at = float("-inf")

    def on_claimed(self, offset: int, sent_at: float) -> None:
        """Note that this member's claim was appended."""
        claim = ElectionRecord(ElectionAction.CLAIM, self.member, self.address)
        self._reduce(offset, claim, sent_at)
        self.next_offset = max(self.next_offset, offset + 1)
        self._renewed_at = sent_at

    def on_renewed(self, offset: int, sent_at: float) -> None:
        """Note that a renewal was appended."""
        self.next_offset = max(self.next_offset, offset + 1)
        self._renewed_at = max(self._renewed_at, sent_at)

    def is_unreachable(self, connected: int, now: float) -> bool:
        """Whether more members complain of this planner than are connected to it."""
        complaints = [
            at
            for at in self._complained_at.values()
            if now - at < UNREACHABLE_REPORT_TTL_S
        ]
        return self.is_planner and len(complaints) > connected

    def suspend_claims(self, now: float) -> None:
        """Leave the next claims to members that others reach."""
        self._stands_down_until = now + CLAIM_SUSPENSION_S

    def sees_renewals(self, now: float) -> bool:
        """Whether the planner of the newest term has been heard of lately."""
        return self.term is not None and now - self._quiet_since < CLAIM_AFTER_S

    def reaches_store(self, now: float) -> bool:
        """Whether the election could be read lately."""
        return now - self._answered_at <= READ_GAP_S

    def has_authority(self, now: float) -> bool:
        """Whether no other member can have claimed yet."""
        return self.is_planner and now - self._renewed_at < AUTHORITY_S
