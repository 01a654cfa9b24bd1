"""Election of the planner through conditional appends to a log.

Each record names a member. The newest claim that was not released names the planner,
and its offset determines the number of the term. A claim is appended only if the log
still ends where the member has read to, so only one of several concurrent claims
succeeds. The planner renews its claim. Another member claims only after it has read the
log without interruption, and without finding a renewal, for longer than the planner
relies on its own last renewal.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

CLAIM_AFTER_S = 1.1
"""Seconds without a renewal after which a member may claim: three renewal intervals,
and the delay that a slow store adds to one of them."""

SUSPECT_CLAIM_AFTER_S = 0.5
"""Seconds without a renewal after which a member may claim if the planner's host
refuses connections, because its process is gone."""

ABDICATION_S = 1.0
"""Seconds for which others may claim after the planner reported that it can't write."""

AUTHORITY_S = 0.9
"""Seconds after sending a renewal for which the planner relies on it. A member that
claims sooner has read that renewal, and assumes for longer that leases are renewed."""

OLDER_MEMBER_DELAY_S = 0.35
"""Seconds after the release of a claim for which members that started before it was
appended let newer ones claim: in a rolling restart the older ones restart next."""

UNREACHABLE_REPORT_TTL_S = 2.0
"""Seconds for which a report that the planner is unreachable stays valid."""

RENEWED_AFTER_LOSS_S = 0.7
"""Seconds from the loss of a connection after which a renewal shows that the planner is
alive: two renewal intervals, or one and the delay of a slow store."""

REPORT_UNREACHABLE_AFTER_S = 0.8
"""Seconds without a connection to the planner after which a member reports it as
unreachable."""

CLAIM_SUSPENSION_S = 4.0
"""Seconds for which a planner that most members can't reach does not claim again."""

UNNAMED_TERM_S = 3.0
"""Seconds after which a member that has missed the claim claims itself, if no renewal
has named its term: planners of earlier builds name none."""

LARGE_SHARE = 0.7
"""Share of the largest known host's processors from which a host counts as large."""

DEFER_S = 0.5
"""Seconds by which a smaller host delays its claim in favour of larger ones, and a host
that is no voter in favour of voters."""

MIN_TERM_BEFORE_HANDOVER_S = 3.0
"""Minimum seconds that a planner keeps its term before it hands over to a larger host:
changing the planner during another failure would make that worse."""

RENEW_S = 0.35
"""Seconds between renewals, unless the store is slower."""

READ_WAIT_S = 0.4
"""Seconds that a read waits for a record; slightly more than between two renewals."""

READ_GAP_S = 1.4
"""Seconds without a response after which reading counts as interrupted."""


class ElectionAction(Enum):
    """Kind of an election record."""

    CLAIM = "claim"
    RENEW = "renew"
    RELEASE = "release"
    REPORT_UNREACHABLE = "complain"
    """The member sees the planner's renewals in the log, but can't connect to it."""


@dataclass(frozen=True, slots=True)
class ElectionRecord:
    """One record of the election log.

    :param member: name of the member's incarnation that wrote the record
    :param address: address at which the member accepts streams from other members
    :param wall_ms: Unix time of writing, in milliseconds
    :param voters: addresses of the planner's voters, in a renewal that names them
    :param term: number of the term that is released or reported, or renewed if voters
        are named, as the record of the claim may have been deleted; 0 if it is not told
    """

    action: ElectionAction
    member: str
    address: str
    wall_ms: int = 0
    voters: tuple[str, ...] | None = None
    term: int = 0


@dataclass(frozen=True, slots=True)
class Term:
    """Term of one planner.

    :param number: number of the term, which rises with each
    :param member: name of the planner's incarnation
    :param address: address at which the planner accepts streams from members
    """

    number: int
    member: str
    address: str


class Election:
    """State of the election as one member has read it."""

    def __init__(self, member: str, address: str, processors: float = 1.0) -> None:
        self.member = member
        self.address = address
        self.processors = processors
        self.largest_processors = 0.0
        """Processors of the largest other host that may plan, as far as known."""
        self.next_offset = 0
        """Offset after the last record that was read."""
        self.term: Term | None = None
        self._newest_number = 0
        """Number of the newest known term, even if it has been released."""
        self._answered_at = float("-inf")
        self._silent_since = float("inf")
        self._renewed_at = float("-inf")
        self._suspect_term = 0
        self._abdicated_at = float("-inf")
        self._released_at = float("-inf")
        self._claims_suspended_until = float("-inf")
        self._started_after_claim = True
        """Whether this member started to read after the newest claim was written."""
        self.voters: frozenset[str] | None = None
        """Addresses in the newest list of voters; None if none was read."""
        self._has_missed_records = False
        """Whether records were deleted unread, and no list of voters was read since."""
        self._is_term_unknown = False
        """Whether a claim may be among those records."""
        self._term_unknown_since = float("-inf")
        self._report_time_by_member: dict[str, float] = {}

    @property
    def is_planner(self) -> bool:
        """Whether this member holds the newest claim."""
        return self.term is not None and self.term.member == self.member

    def on_read(
        self,
        records: list[tuple[int, ElectionRecord | None]],
        end: int,
        now: float,
        wall_ms: int = 0,
    ) -> None:
        """Apply the records that were read.

        :param records: offsets and records; None for a record that can't be decoded
        :param end: offset after the last record
        :param wall_ms: current Unix time in milliseconds, by which a starting member
            computes the age of the records; 0 to skip this
        """
        is_first = self._answered_at == float("-inf")
        if (records[0][0] if records else end) > self.next_offset:
            self._on_records_missed(now)
        if now - self._answered_at > READ_GAP_S:
            self._silent_since = now
        self._answered_at = now
        for offset, record in records:
            if offset >= self.next_offset and record is not None:
                self._apply(offset, record, now)
                if record.action in (ElectionAction.CLAIM, ElectionAction.RENEW):
                    self._silent_since = now
                if record.action is ElectionAction.CLAIM:
                    self._started_after_claim = is_first
        if is_first and records and records[-1][1] is not None and wall_ms:
            age_s = (wall_ms - records[-1][1].wall_ms) / 1000
            self._silent_since = now - max(0.0, age_s)
        self.next_offset = max(self.next_offset, end)

    def _on_records_missed(self, now: float) -> None:
        """Assume that another member may have claimed in records that were deleted."""
        self.voters = None
        self._has_missed_records = True
        self._silent_since = now
        if self.is_planner:
            self.term = None
        self._is_term_unknown = self.term is None
        self._term_unknown_since = now

    def _apply(self, offset: int, record: ElectionRecord, now: float) -> None:
        if record.action is ElectionAction.REPORT_UNREACHABLE:
            if self.term is not None and record.term in (0, self.term.number):
                self._report_time_by_member[record.member] = now
            return
        if record.action is ElectionAction.CLAIM:
            self._report_time_by_member.clear()
            self._adopt(Term(offset + 1, record.member, record.address))
            self._abdicated_at = float("-inf")
            return
        if record.voters is not None:
            self.voters = frozenset(record.voters)
            if record.term > self._newest_number:
                self._adopt(Term(record.term, record.member, record.address))
        is_holder = self.term is not None and record.member == self.term.member
        if is_holder and record.action is ElectionAction.RENEW:
            self._abdicated_at = float("-inf")  # it can write again
        if record.action is ElectionAction.RELEASE and self._is_newest_release(record):
            self.term = None
            self._is_term_unknown = False
            self._released_at = now

    def _is_newest_release(self, release: ElectionRecord) -> bool:
        """Whether a release ends the newest term; it may be stored after a later claim.

        One that does not tell its term ends the newest one of its member.
        """
        term = self.term
        if term is None:
            return self._is_term_unknown
        return term.member == release.member and release.term in (0, term.number)

    def _adopt(self, term: Term) -> None:
        self.term = term
        self._newest_number = max(self._newest_number, term.number)
        self._is_term_unknown = False

    @property
    def has_larger_alternative(self) -> bool:
        """Whether this host has far fewer processors than the largest known one."""
        return self.processors < LARGE_SHARE * self.largest_processors

    def may_claim(self, now: float) -> bool:
        """Whether this member may claim.

        The planner must have been silent for long enough, or have released its claim or
        abdicated.
        """
        if self.is_planner or now - self._answered_at > READ_GAP_S:
            return False
        if now < self._claims_suspended_until:
            return False
        if self.term is None and not self._is_term_unknown:
            wait_s = 0.0 if self._started_after_claim else OLDER_MEMBER_DELAY_S
            return now - self._released_at >= wait_s + self._defer_s
        if self._defer_s <= now - self._abdicated_at < ABDICATION_S:
            return True
        return self.compute_claim_wait_s(now) <= 0

    @property
    def _succeeds_own_process(self) -> bool:
        """Whether the planner was an earlier process at the address of this one.

        That process is gone, or this one could not listen at its address.
        """
        term = self.term
        return (
            term is not None
            and term.member != self.member
            and term.address == self.address
        )

    @property
    def is_voter(self) -> bool:
        """Whether the newest planner, if any, needs this member to renew leases.

        Without any list of voters in the log, its planners do without voters.
        """
        if self.voters is None:
            return not self._has_missed_records
        return self.address in self.voters

    @property
    def _defer_s(self) -> float:
        return DEFER_S * (self.has_larger_alternative + (not self.is_voter))

    def compute_claim_wait_s(self, now: float) -> float:
        """Return how many more seconds of silence allow this member to claim."""
        if self.term is None and not self._is_term_unknown:
            return 0.0
        if self._succeeds_own_process and not self.has_larger_alternative:
            return 0.0
        is_suspect = self.term is not None and self.term.number == self._suspect_term
        timeout_s = SUSPECT_CLAIM_AFTER_S if is_suspect else CLAIM_AFTER_S
        due = self._silent_since + timeout_s
        if self._is_term_unknown:
            due = min(due, self._term_unknown_since + UNNAMED_TERM_S)
        return due + self._defer_s - now

    def on_term_learned(self, term: Term) -> bool:
        """Adopt a term that another member has read, if it is newer.

        In this way, a member that can't read the log learns which planner to call. A
        term of the member itself is ignored, and so is one that it has seen released:
        other members may lag behind.

        :returns: whether the term was adopted
        """
        if term.member == self.member or term.number <= self._newest_number:
            return False
        self._adopt(term)
        return True

    def on_connection_refused(self, term: int) -> bool:
        """Record that the host of a term's planner refuses connections.

        :returns: whether this is the first time in that term
        """
        is_first = self._suspect_term != term
        self._suspect_term = term
        return is_first

    def on_abdicated(self, term: int, now: float) -> bool:
        """Record that the planner of a term can't write to the store.

        Repetitions do not postpone a claim that is deferred.

        :returns: whether this is the first time in a while
        """
        is_newest = self.term is not None and self.term.number == term
        if not is_newest or now - self._abdicated_at < ABDICATION_S:
            return False
        self._abdicated_at = now
        return True

    def abdicate(self) -> None:
        """Give up authority until the next successful renewal."""
        self._renewed_at = float("-inf")

    def on_claimed(self, offset: int, sent_at: float) -> None:
        """Record that this member's claim was appended."""
        claim = ElectionRecord(ElectionAction.CLAIM, self.member, self.address)
        self._apply(offset, claim, sent_at)
        self.next_offset = max(self.next_offset, offset + 1)
        self._renewed_at = sent_at

    def on_renewed(
        self, offset: int, sent_at: float, voters: tuple[str, ...] | None = None
    ) -> None:
        """Record that a renewal was appended.

        :param voters: voters that it names
        """
        self.next_offset = max(self.next_offset, offset + 1)
        self._renewed_at = max(self._renewed_at, sent_at)
        if voters is not None:
            self.voters = frozenset(voters)

    def is_unreachable(self, connected: int, now: float) -> bool:
        """Whether more members report this planner as unreachable than are connected.

        :param connected: number of members that are connected to it
        """
        reports = [
            at
            for at in self._report_time_by_member.values()
            if now - at < UNREACHABLE_REPORT_TTL_S
        ]
        return self.is_planner and len(reports) > connected

    def suspend_claims(self, now: float) -> None:
        """Suspend claims by this member, in favour of members that others can reach."""
        self._claims_suspended_until = now + CLAIM_SUSPENSION_S

    def is_alive_without(self, lost_at: float, now: float) -> bool:
        """Whether the planner goes on renewing although this member lost it.

        A planner whose process is gone is replaced without reports, which would only
        delay the claim: they append to the same log.

        :param lost_at: time at which this member lost its connection to the planner
        """
        if self.term is None or self.term.number == self._suspect_term:
            return False
        has_renewed_since = self._silent_since >= lost_at + RENEWED_AFTER_LOSS_S
        return has_renewed_since and now - self._silent_since < CLAIM_AFTER_S

    def reaches_store(self, now: float) -> bool:
        """Whether the election log could be read recently."""
        return now - self._answered_at <= READ_GAP_S

    def has_authority(self, now: float) -> bool:
        """Whether this member is the planner and relies on its last renewal.

        Another one may have claimed since. The store then refuses further appends.
        """
        return self.is_planner and now - self._renewed_at < AUTHORITY_S
