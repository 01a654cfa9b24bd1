"""Members claim a term only after the planner's authority has ended."""

from __future__ import annotations

import unittest
from dataclasses import replace

from jacinthloom_core.planner.election import (
    ABDICATION_S,
    AUTHORITY_S,
    CLAIM_AFTER_S,
    DEFER_S,
    OLDER_MEMBER_DELAY_S,
    SUSPECT_CLAIM_AFTER_S,
    UNNAMED_TERM_S,
    Election,
    ElectionAction,
    ElectionRecord,
    Term,
)

CLAIM = ElectionRecord(ElectionAction.CLAIM, "m1", "10.0.0.1:1", 1_000)
RENEWAL = ElectionRecord(ElectionAction.RENEW, "m1", "10.0.0.1:1", 1_000)


def make_follower(read_until: float) -> Election:
    """Return a member that read a claim at 0 s, and no record up to ``read_until``."""
    election = Election("m2", "10.0.0.2:1")
    election.on_read([(0, CLAIM)], 1, 0.0)
    now = 0.0
    while now < read_until:
        now = min(now + 0.4, read_until)
        election.on_read([], 1, now)
    return election


def make_renewal(voters: tuple[str, ...], member: str = "m1") -> ElectionRecord:
    """Return a renewal that names voters and the term of the claim at offset 0."""
    return ElectionRecord(ElectionAction.RENEW, member, "10.0.0.1:1", 1_000, voters, 1)


class ElectionTest(unittest.TestCase):
    def test_member_claims_only_after_missing_renewals(self) -> None:
        election = make_follower(CLAIM_AFTER_S - 0.1)
        self.assertFalse(election.may_claim(CLAIM_AFTER_S - 0.1))
        election.on_read([], 1, CLAIM_AFTER_S)
        self.assertTrue(election.may_claim(CLAIM_AFTER_S))

    def test_renewal_postpones_the_claim(self) -> None:
        election = make_follower(1.2)
        election.on_read([(1, RENEWAL)], 2, 1.3)
        election.on_read([], 2, 1.3 + CLAIM_AFTER_S - 0.1)
        self.assertFalse(election.may_claim(1.3 + CLAIM_AFTER_S - 0.1))

    def test_gap_in_reading_does_not_count_as_missing_renewals(self) -> None:
        election = make_follower(0.4)
        election.on_read([], 1, 9.0)
        self.assertFalse(election.may_claim(9.0))

    def test_authority_ends_before_another_member_may_claim(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_read([], 0, 0.0)
        planner.on_claimed(0, 0.0)
        self.assertTrue(planner.has_authority(AUTHORITY_S - 0.01))
        self.assertFalse(planner.has_authority(AUTHORITY_S))
        self.assertLess(AUTHORITY_S, CLAIM_AFTER_S * 0.96)

    def test_planner_that_refuses_connections_is_replaced_sooner(self) -> None:
        election = make_follower(SUSPECT_CLAIM_AFTER_S)
        self.assertFalse(election.may_claim(SUSPECT_CLAIM_AFTER_S))
        election.on_connection_refused(1)
        self.assertTrue(election.may_claim(SUSPECT_CLAIM_AFTER_S))

    def test_restarted_host_of_the_planner_claims_at_once(self) -> None:
        restarted = Election("m1b", "10.0.0.1:1")
        restarted.on_read([(0, CLAIM), (1, RENEWAL)], 2, 0.0, 1_100)
        self.assertTrue(restarted.may_claim(0.0))
        other = Election("m2", "10.0.0.2:1")
        other.on_read([(0, CLAIM), (1, RENEWAL)], 2, 0.0, 1_100)
        self.assertFalse(other.may_claim(0.0))

    def test_restarted_small_host_leaves_the_claim_to_larger_ones(self) -> None:
        restarted = Election("m1b", "10.0.0.1:1", 0.5)
        restarted.largest_processors = 2.0
        restarted.on_read([(0, CLAIM), (1, RENEWAL)], 2, 0.0, 1_000)
        self.assertFalse(restarted.may_claim(0.0))

    def test_wait_for_a_claim_shrinks_with_the_silence_of_the_planner(self) -> None:
        election = make_follower(0.4)
        wait_s = CLAIM_AFTER_S - 0.4
        self.assertAlmostEqual(election.compute_claim_wait_s(0.4), wait_s)
        election.on_connection_refused(1)
        wait_s = SUSPECT_CLAIM_AFTER_S - 0.4
        self.assertAlmostEqual(election.compute_claim_wait_s(0.4), wait_s)

    def test_planner_that_abdicates_lets_others_claim(self) -> None:
        election = make_follower(0.4)
        election.on_abdicated(1, 0.4)
        self.assertTrue(election.may_claim(0.5))
        planner = Election("m1", "10.0.0.1:1")
        planner.on_claimed(0, 0.0)
        planner.abdicate()
        self.assertFalse(planner.has_authority(0.1))

    # Guards against a deferred claim that each abdication postpones, and against reads
    # that each of them interrupts.
    def test_repeated_abdication_is_told_once_in_a_while(self) -> None:
        election = make_follower(0.4)
        self.assertTrue(election.on_abdicated(1, 0.4))
        self.assertFalse(election.on_abdicated(1, 0.6))
        self.assertTrue(election.on_abdicated(1, 0.5 + ABDICATION_S))
        self.assertFalse(election.on_abdicated(7, 9.0))

    def test_abdication_of_another_term_is_ignored(self) -> None:
        election = make_follower(0.4)
        election.on_abdicated(7, 0.4)
        self.assertFalse(election.may_claim(0.5))

    # Guards against hosts without a planner in a rolling update: the claim was deleted,
    # and a planner of an earlier build names its term in no renewal.
    def test_member_replaces_a_planner_that_never_names_its_term(self) -> None:
        election = Election("m2", "10.0.0.2:1")
        now = 0.0
        for offset in range(50, 65):
            election.on_read([(offset, RENEWAL)], offset + 1, now)
            self.assertEqual(
                election.may_claim(now), now >= UNNAMED_TERM_S + DEFER_S, now
            )
            now += 0.3

    def test_small_host_defers_its_claim_to_larger_ones(self) -> None:
        small, large = make_follower(1.2), make_follower(1.2)
        small.processors, large.processors = 0.5, 2.0
        small.largest_processors = large.largest_processors = 2.0
        self.assertTrue(large.may_claim(CLAIM_AFTER_S))
        self.assertFalse(small.may_claim(CLAIM_AFTER_S))
        now = CLAIM_AFTER_S + DEFER_S
        small.on_read([], 1, now)
        self.assertTrue(small.may_claim(now))

    # Guards against planners that hand over in a ring: the large host is no voter, and
    # small voters claimed at the same time as it.
    def test_small_host_that_is_no_voter_defers_its_claim_longest(self) -> None:
        voters = replace(RENEWAL, voters=("10.0.0.9:1",), term=1)
        waits = []
        for address in ("10.0.0.9:1", "10.0.0.2:1"):
            for processors in (2.0, 0.5):
                election = Election("m2", address, processors)
                election.largest_processors = 2.0
                election.on_read([(0, CLAIM), (1, voters)], 2, 0.0)
                waits.append(election.compute_claim_wait_s(0.0) - CLAIM_AFTER_S)
        for wait, expected in zip(
            waits, (0.0, DEFER_S, DEFER_S, 2 * DEFER_S), strict=True
        ):
            self.assertAlmostEqual(wait, expected)

    def test_host_of_similar_size_does_not_defer_its_claim(self) -> None:
        election = make_follower(1.2)
        election.processors, election.largest_processors = 1.0, 1.1
        self.assertTrue(election.may_claim(CLAIM_AFTER_S))

    def test_member_ignores_its_own_term(self) -> None:
        election = make_follower(0.4)
        self.assertFalse(election.on_term_learned(Term(9, "m2", "10.0.0.2:1")))
        self.assertTrue(election.on_term_learned(Term(9, "m3", "10.0.0.3:1")))

    def test_member_ignores_a_term_that_it_has_seen_released(self) -> None:
        election = make_follower(0.4)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1", 1_000)
        election.on_read([(1, release)], 2, 0.5)
        self.assertFalse(election.on_term_learned(Term(1, "m1", "10.0.0.1:1")))
        self.assertIsNone(election.term)

    def test_renewal_revokes_an_abdication(self) -> None:
        election = make_follower(0.4)
        election.on_abdicated(1, 0.4)
        self.assertTrue(election.may_claim(0.5))
        election.on_read([(1, RENEWAL)], 2, 0.6)
        self.assertFalse(election.may_claim(0.7))

    def test_abdication_expires(self) -> None:
        # The store was down for every member, so no other would do better as planner.
        election = make_follower(0.4)
        election.on_abdicated(1, 0.4)
        election.on_read([], 1, 9.0)
        self.assertFalse(election.may_claim(9.0))

    def test_starting_member_claims_after_all_members_were_lost(self) -> None:
        election = Election("m2", "10.0.0.2:1")
        wall_ms = 1_001 + int(CLAIM_AFTER_S * 1000)
        election.on_read([(0, CLAIM)], 1, 50.0, wall_ms)
        self.assertTrue(election.may_claim(50.0))

    def test_any_member_may_claim_after_a_release(self) -> None:
        election = make_follower(0.2)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1")
        election.on_read([(1, release)], 2, 0.3)
        self.assertTrue(election.may_claim(0.3))

    # Guards against two planners at a time after the release of an earlier term, which
    # the store carried out late, ended a later term of the same member.
    def test_late_release_of_an_earlier_term_is_ignored(self) -> None:
        election = make_follower(0.2)
        election.on_read([(1, CLAIM)], 2, 0.3)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1", term=1)
        election.on_read([(2, release)], 3, 0.4)
        self.assertFalse(election.may_claim(0.4))
        self.assertIsNotNone(election.term)
        election.on_read([(3, replace(release, term=2))], 4, 0.5)
        self.assertIsNone(election.term)
        election.on_read([], 4, 0.5 + OLDER_MEMBER_DELAY_S)
        self.assertTrue(election.may_claim(0.5 + OLDER_MEMBER_DELAY_S))

    def test_unreachable_report_does_not_count_as_a_renewal(self) -> None:
        report = ElectionRecord(ElectionAction.REPORT_UNREACHABLE, "m3", "10.0.0.3:1")
        election = make_follower(0.2)
        for number in range(4):
            now = 0.6 + 0.4 * number
            election.on_read([(1 + number, report)], 2 + number, now)
        self.assertTrue(election.may_claim(0.6 + 0.4 * 3))

    def test_dead_planner_is_not_reported_as_unreachable(self) -> None:
        election = make_follower(0.2)
        self.assertFalse(election.is_alive_without(0.0, 1.0))

    def test_planner_that_renews_after_it_was_lost_is_reported(self) -> None:
        election = make_follower(0.2)
        election.on_read([(1, RENEWAL)], 2, 0.4)
        self.assertFalse(election.is_alive_without(0.0, 0.9))
        election.on_read([(2, RENEWAL)], 3, 0.75)
        self.assertTrue(election.is_alive_without(0.0, 0.9))

    def test_planner_that_refuses_connections_is_not_reported(self) -> None:
        election = make_follower(0.2)
        election.on_read([(1, RENEWAL)], 2, 0.75)
        election.on_connection_refused(1)
        self.assertFalse(election.is_alive_without(0.0, 0.9))

    def test_planner_unreachable_by_most_members_suspends_its_claims(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_read([], 0, 0.0)
        planner.on_claimed(0, 0.0)
        report = ElectionRecord(ElectionAction.REPORT_UNREACHABLE, "m3", "10.0.0.3:1")
        planner.on_read([(1, report)], 2, 0.5)
        self.assertFalse(planner.is_unreachable(1, 0.6))
        self.assertTrue(planner.is_unreachable(0, 0.6))
        planner.suspend_claims(0.6)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1")
        planner.on_read([(2, release)], 3, 0.7)
        self.assertFalse(planner.may_claim(1.2))

    # Guards against a new planner that hands over at once, since a report about the one
    # before it is stored after its claim, when no member has connected yet.
    def test_late_report_about_an_earlier_planner_is_ignored(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_read([(0, replace(CLAIM, member="m2"))], 1, 0.0)
        planner.on_claimed(1, 0.4)
        action = ElectionAction.REPORT_UNREACHABLE
        report = ElectionRecord(action, "m3", "10.0.0.3:1", term=1)
        planner.on_read([(2, report)], 3, 0.5)
        self.assertFalse(planner.is_unreachable(0, 0.6))
        planner.on_read([(3, replace(report, term=2))], 4, 0.7)
        self.assertTrue(planner.is_unreachable(0, 0.8))

    def test_older_members_defer_the_claim_to_younger_ones(self) -> None:
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

    def test_newest_claim_names_the_planner(self) -> None:
        election = make_follower(0.2)
        other = ElectionRecord(ElectionAction.CLAIM, "m3", "10.0.0.3:1")
        election.on_read([(1, other)], 2, 0.3)
        assert election.term is not None
        self.assertEqual((election.term.member, election.term.number), ("m3", 2))


class VoterTest(unittest.TestCase):
    own, other = "10.0.0.2:1", "10.0.0.3:1"

    def test_every_member_is_a_voter_without_a_list(self) -> None:
        self.assertTrue(make_follower(0.4).is_voter)

    def test_newest_list_tells_who_is_a_voter(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal((self.own,)))], 2, 0.5)
        self.assertTrue(election.is_voter)
        election.on_read([(2, make_renewal((self.other,)))], 3, 0.6)
        self.assertFalse(election.is_voter)

    def test_renewal_without_a_list_changes_nothing(self) -> None:
        election = make_follower(0.4)
        rows = [(1, make_renewal((self.other,))), (2, RENEWAL)]
        election.on_read(rows, 3, 0.5)
        self.assertFalse(election.is_voter)

    # Guards against a successor that forgets the voters of its predecessor, which may
    # still rely on them.
    def test_claim_leaves_the_voters(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal((self.other,)))], 2, 0.5)
        election.on_read([(2, CLAIM)], 3, 0.6)
        self.assertFalse(election.is_voter)
        election.on_claimed(3, 0.7)
        self.assertEqual(election.voters, {self.other})

    def test_planner_knows_the_voters_that_it_has_named(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_claimed(0, 0.0)
        planner.on_renewed(1, 0.1, (self.own,))
        self.assertEqual(planner.voters, {self.own})
        planner.on_renewed(2, 0.4)
        self.assertEqual(planner.voters, {self.own})

    # Guards against a member that was dropped from the list, and claims as a voter
    # while the earlier planner, which does without it, goes on.
    def test_list_is_read_though_a_later_term_was_told(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal((self.own,)))], 2, 0.5)
        election.on_term_learned(Term(4, "m3", self.other))
        election.on_read([(2, make_renewal((self.other,)))], 3, 9.0)
        self.assertFalse(election.is_voter)
        assert election.term is not None
        self.assertEqual(election.term.number, 4)

    def test_member_that_is_no_voter_defers_its_claim(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal((self.other,)))], 2, 0.4)
        wait_s = CLAIM_AFTER_S + DEFER_S
        self.assertAlmostEqual(election.compute_claim_wait_s(0.4), wait_s)
        election.on_read([], 2, 0.4 + CLAIM_AFTER_S)
        self.assertFalse(election.may_claim(0.4 + CLAIM_AFTER_S))
        election.on_read([], 2, 0.5 + wait_s)
        self.assertTrue(election.may_claim(0.5 + wait_s))


class MissedRecordsTest(unittest.TestCase):
    # Guards against a claim as a voter by a member that missed who the voters are.
    def test_gap_in_the_log_makes_the_voters_unknown(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal(("10.0.0.2:1",)))], 2, 0.5)
        election.on_read([(7, RENEWAL)], 8, 30.0)
        self.assertIsNone(election.voters)
        self.assertFalse(election.is_voter)

    def test_gap_without_records_makes_the_voters_unknown(self) -> None:
        election = make_follower(0.4)
        election.on_read([], 9, 30.0)
        self.assertFalse(election.is_voter)

    def test_outage_without_new_records_is_no_gap(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal(("10.0.0.2:1",)))], 2, 0.5)
        election.on_read([], 2, 30.0)
        self.assertTrue(election.is_voter)

    def test_records_that_are_read_again_are_no_gap(self) -> None:
        election = make_follower(0.4)
        election.on_read([(1, make_renewal(("10.0.0.2:1",)))], 2, 0.5)
        election.on_read([(0, CLAIM)], 1, 0.6)
        self.assertTrue(election.is_voter)

    def test_list_after_a_gap_tells_the_voters_again(self) -> None:
        election = make_follower(0.4)
        election.on_read([], 9, 30.0)
        election.on_read([(9, make_renewal(("10.0.0.2:1",)))], 10, 30.1)
        self.assertTrue(election.is_voter)

    # Guards against a planner whose renewals succeed although another has claimed.
    def test_planner_that_missed_records_is_none_any_more(self) -> None:
        planner = Election("m1", "10.0.0.1:1")
        planner.on_read([], 0, 0.0)
        planner.on_claimed(0, 0.0)
        planner.on_read([], 9, 30.0)
        self.assertFalse(planner.is_planner)
        self.assertFalse(planner.has_authority(0.1))

    # Guards against a host that takes the term from a planner whose claim was deleted.
    def test_member_that_starts_without_the_claim_waits_for_silence(self) -> None:
        election = Election("m9", "10.0.0.9:1")
        election.on_read([(50, RENEWAL)], 51, 0.0, 1_100)
        self.assertFalse(election.may_claim(0.0))
        election.on_read([(51, RENEWAL)], 52, 0.4)
        election.on_read([], 52, 0.3 + CLAIM_AFTER_S)
        self.assertFalse(election.may_claim(0.3 + CLAIM_AFTER_S))
        now = 0.5 + CLAIM_AFTER_S + DEFER_S
        election.on_read([], 52, now)
        self.assertTrue(election.may_claim(now))

    def test_member_that_starts_without_the_claim_learns_the_term(self) -> None:
        election = Election("m9", "10.0.0.9:1")
        election.on_read([(50, RENEWAL)], 51, 0.0, 1_100)
        self.assertIsNone(election.term)
        election.on_read([(51, make_renewal(("10.0.0.9:1",)))], 52, 0.4)
        self.assertEqual(election.term, Term(1, "m1", "10.0.0.1:1"))
        self.assertTrue(election.is_voter)

    def test_release_after_a_gap_lets_members_claim(self) -> None:
        election = Election("m9", "10.0.0.9:1")
        election.on_read([(50, RENEWAL)], 51, 0.0, 1_100)
        release = ElectionRecord(ElectionAction.RELEASE, "m1", "10.0.0.1:1")
        election.on_read([(51, release)], 52, 0.4)
        election.on_read([], 52, 0.5 + DEFER_S)
        self.assertTrue(election.may_claim(0.5 + DEFER_S))


if __name__ == "__main__":
    unittest.main()
