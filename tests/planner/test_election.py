"""Who may claim when, and whose authority ends before."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner.election import (
    AUTHORITY_S,
    CLAIM_AFTER_S,
    DEFER_S,
    SUSPECT_CLAIM_AFTER_S,
    Election,
    ElectionAction,
    ElectionRecord,
    Term,
)

CLAIM = ElectionRecord(ElectionAction.CLAIM, "m1", "10.0.0.1:1", 1_000)
RENEWAL = ElectionRecord(ElectionAction.RENEW, "m1", "10.0.0.1:1", 1_000)


def follow(reads_until: float) -> Election:
    """Return a member that has read a claim at 0 s, and nothing since."""
    election = Election("m2", "10.0.0.2:1")
    election.on_read([(0, CLAIM)], 1, 0.0)
    now = 0.0
    while now < reads_until:
        now = min(now + 0.4, reads_until)
        election.on_read([], 1, now)
    return election


class ElectionTest(unittest.TestCase):
    def test_claims_only_after_silence(self) -> None:
        election = follow(CLAIM_AFTER_S - 0.1)
        self.assertFalse(election.may_claim(CLAIM_AFTER_S - 0.1))
        election.on_read([], 1, CLAIM_AFTER_S)
        self.assertTrue(election.may_claim(CLAIM_AFTER_S))

    def test_renewal_puts_the_claim_off(self) -> None:
        election = follow(1.2)
        election.on_read([(1, RENEWAL)], 2, 1.3)
        election.on_read([], 2, 1.3 + CLAIM_AFTER_S - 0.1)
        self.assertFalse(election.may_claim(1.3 + CLAIM_AFTER_S - 0.1))

    def test_break_in_reading_is_no_silence(self) -> None:
        election = follow(0.4)
        election.on_read([], 1, 9.0)
        self.assertFalse(election.may_claim(9.0))

    def test_authority_ends_before_another_may_claim(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_read([], 0, 0.0)
        planner.on_claimed(0, 0.0)
        self.assertTrue(planner.has_authority(AUTHORITY_S - 0.01))
        self.assertFalse(planner.has_authority(AUTHORITY_S))
        self.assertLess(AUTHORITY_S, CLAIM_AFTER_S * 0.96)

    def test_planner_whose_process_is_gone_is_replaced_sooner(self) -> None:
        election = follow(SUSPECT_CLAIM_AFTER_S)
        self.assertFalse(election.may_claim(SUSPECT_CLAIM_AFTER_S))
        election.on_connection_refused(1)
        self.assertTrue(election.may_claim(SUSPECT_CLAIM_AFTER_S))

    def test_planner_that_can_not_write_lets_others_claim(self) -> None:
        election = follow(0.4)
        election.on_abdicated(1, 0.4)
        self.assertTrue(election.may_claim(0.5))
        planner = Election("m1", "10.0.0.1:1")
        planner.on_claimed(0, 0.0)
        planner.abdicate()
        self.assertFalse(planner.has_authority(0.1))

    def test_abdication_of_another_term_is_ignored(self) -> None:
        election = follow(0.4)
        election.on_abdicated(7, 0.4)
        self.assertFalse(election.may_claim(0.5))

    def test_small_host_leaves_the_claim_to_larger_ones_for_a_while(self) -> None:
        small, large = follow(1.2), follow(1.2)
        small.processors, large.processors = 0.5, 2.0
        small.largest_processors = large.largest_processors = 2.0
        self.assertTrue(large.may_claim(CLAIM_AFTER_S))
        self.assertFalse(small.may_claim(CLAIM_AFTER_S))
        now = CLAIM_AFTER_S + DEFER_S
        small.on_read([], 1, now)
        self.assertTrue(small.may_claim(now))

    def test_hosts_of_like_size_are_alike(self) -> None:
        election = follow(1.2)
        election.processors, election.largest_processors = 1.0, 1.1
        self.assertTrue(election.may_claim(CLAIM_AFTER_S))

    def test_member_is_not_told_of_its_own_term(self) -> None:
        election = follow(0.4)
        self.assertFalse(election.on_term_learned(Term(9, "m2", "10.0.0.2:1")))
        self.assertTrue(election.on_term_learned(Term(9, "m3", "10.0.0.3:1")))

    def test_member_is_not_told_of_a_term_that_it_has_seen_released(self) -> None:
        election = follow(0.4)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1", 1_000)
        election.on_read([(1, release)], 2, 0.5)
        self.assertFalse(election.on_term_learned(Term(1, "m1", "10.0.0.1:1")))
        self.assertIsNone(election.term)

    def test_renewal_makes_an_abdication_void(self) -> None:
        election = follow(0.4)
        election.on_abdicated(1, 0.4)
        self.assertTrue(election.may_claim(0.5))
        election.on_read([(1, RENEWAL)], 2, 0.6)
        self.assertFalse(election.may_claim(0.7))

    def test_abdication_is_void_after_a_while(self) -> None:
        # The store was down for everyone: the planner is as good as any other.
        election = follow(0.4)
        election.on_abdicated(1, 0.4)
        election.on_read([], 1, 9.0)
        self.assertFalse(election.may_claim(9.0))

    def test_starting_member_claims_after_a_loss_of_all(self) -> None:
        election = Election("m2", "10.0.0.2:1")
        wall_ms = 1_001 + int(CLAIM_AFTER_S * 1000)
        election.on_read([(0, CLAIM)], 1, 50.0, wall_ms)
        self.assertTrue(election.may_claim(50.0))

    def test_release_lets_anyone_claim(self) -> None:
        election = follow(0.2)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1")
        election.on_read([(1, release)], 2, 0.3)
        self.assertTrue(election.may_claim(0.3))

    def test_complaint_is_no_sign_of_the_planner(self) -> None:
        complaint = ElectionRecord(
            ElectionAction.REPORT_UNREACHABLE, "m3", "10.0.0.3:1"
        )
        election = follow(0.2)
        for number in range(4):
            now = 0.6 + 0.4 * number
            election.on_read([(1 + number, complaint)], 2 + number, now)
        self.assertTrue(election.may_claim(0.6 + 0.4 * 3))

    def test_planner_that_most_can_not_reach_stands_down(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_read([], 0, 0.0)
        planner.on_claimed(0, 0.0)
        complaint = ElectionRecord(
            ElectionAction.REPORT_UNREACHABLE, "m3", "10.0.0.3:1"
        )
        planner.on_read([(1, complaint)], 2, 0.5)
        self.assertFalse(planner.is_unreachable(1, 0.6))
        self.assertTrue(planner.is_unreachable(0, 0.6))
        planner.suspend_claims(0.6)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1")
        planner.on_read([(2, release)], 3, 0.7)
        self.assertFalse(planner.may_claim(1.2))

    def test_older_members_leave_the_claim_to_younger_ones(self) -> None:
        older = Election("m2", "10.0.0.2:1")
        older.on_read([], 0, 0.0)
        older.on_read([(0, CLAIM)], 1, 0.1)
        younger = Election("m3", "10.0.0.3:1")
        younger.on_read([(0, CLAIM)], 1, 0.2)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1")
        older.on_read([(1, release)], 2, 0.3)
        younger.on_read([(1, release)], 2, 0.3)
        self.assertTrue(younger.may_claim(0.31))
        self.assertFalse(older.may_claim(0.31))
        older.on_read([], 2, 0.7)
        self.assertTrue(older.may_claim(0.7))

    def test_newest_claim_counts(self) -> None:
        election = follow(0.2)
        other = ElectionRecord(ElectionAction.CLAIM, "m3", "10.0.0.3:1")
        election.on_read([(1, other)], 2, 0.3)
        assert election.term is not None
        self.assertEqual((election.term.member, election.term.number), ("m3", 2))


if __name__ == "__main__":
    unittest.main()
