"""A planner renews leases only while no successor counts them as expired."""

from __future__ import annotations

import unittest

from jacinthloom_core.planner.election import (
    AUTHORITY_S,
    CLAIM_AFTER_S,
    RENEW_S,
)
from jacinthloom_core.planner.lease_authority import (
    ANSWERED_S,
    KNOWN_PREDECESSOR_S,
    LIST_INTERVAL_S,
    MAX_WITHOUT_STORE_S,
    SILENT_AFTER_S,
    UNKNOWN_PREDECESSOR_S,
    VOTER_RETENTION_S,
    LeaseAuthority,
)

OWN, A, B, C = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"


def make_authority(*members: str, renewed_at: float = 0.0) -> LeaseAuthority:
    """Return the authority of a planner that has stored a list of its members."""
    authority = LeaseAuthority(OWN, None, True, 0.0)
    for member in members:
        authority.on_connected(member)
    authority.on_renewed(renewed_at, authority.choose_voters(renewed_at))
    return authority


def make_answered(sent_at: float) -> LeaseAuthority:
    """Return the authority of a planner whose ping two members have answered."""
    authority = make_authority(A, B)
    authority.on_ping_answered(A, sent_at)
    authority.on_ping_answered(B, sent_at)
    return authority


class RenewalTest(unittest.TestCase):
    # Guards against reliance on a claim whose planner has not renewed it, and may have
    # learned of it long after it was stored.
    def test_claim_alone_gives_no_authority(self) -> None:
        authority = LeaseAuthority(OWN, None, True, 5.0)
        self.assertLess(authority.compute_until(), 5.0)

    def test_renewal_counts_from_its_sending(self) -> None:
        authority = LeaseAuthority(OWN, None, True, 0.0)
        authority.on_renewed(7.0, None)
        self.assertAlmostEqual(authority.compute_until(), 7.0 + AUTHORITY_S)

    def test_abdication_ends_authority_until_the_next_renewal(self) -> None:
        authority = make_authority(A)
        authority.abdicate()
        self.assertLess(authority.compute_until(), 0.0)
        authority.on_renewed(2.0, None)
        self.assertAlmostEqual(authority.compute_until(), 2.0 + AUTHORITY_S)

    # Guards against an abdication that ends all work in an outage of the store for all.
    def test_abdication_leaves_the_answers_of_all_voters(self) -> None:
        authority = make_answered(3.0)
        authority.abdicate()
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)


class AnswerTest(unittest.TestCase):
    def test_answers_of_all_voters_count_from_the_ping(self) -> None:
        authority = make_answered(3.0)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    def test_oldest_answer_counts(self) -> None:
        authority = make_answered(3.0)
        authority.on_ping_answered(A, 3.5)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    def test_late_answer_to_an_earlier_ping_takes_nothing_back(self) -> None:
        authority = make_answered(3.0)
        authority.on_ping_answered(A, 2.5)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    # Guards against a planner that goes on while one member may take over.
    def test_authority_ends_without_one_voter(self) -> None:
        authority = make_authority(A, B)
        authority.on_ping_answered(A, 3.0)
        self.assertAlmostEqual(authority.compute_until(), AUTHORITY_S)

    # Guards against dropping a voter that left: it may be the one that takes over.
    def test_voter_that_disconnects_is_still_needed(self) -> None:
        authority = make_answered(3.0)
        authority.on_disconnected(B, 3.2)
        authority.on_ping_answered(A, 9.0)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)
        authority.choose_voters(3.2 + VOTER_RETENTION_S)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    def test_answer_of_a_member_that_is_no_voter_is_not_needed(self) -> None:
        authority = make_answered(3.0)
        authority.on_connected(C)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)
        authority.on_ping_answered(C, 9.0)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    def test_answers_count_only_once_voters_are_stored(self) -> None:
        authority = LeaseAuthority(OWN, None, True, 0.0)
        authority.on_connected(A)
        authority.choose_voters(0.0)
        authority.on_ping_answered(A, 3.0)
        self.assertLess(authority.compute_until(), 0.0)

    # Guards against a new planner that needs no answers before its first list.
    def test_voters_of_the_predecessor_count_until_a_list_is_stored(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A, B}), True, 0.0)
        authority.on_renewed(1.0, None)
        authority.on_connected(A)
        authority.on_ping_answered(A, 3.0)
        self.assertAlmostEqual(authority.compute_until(), 1.0 + AUTHORITY_S)
        authority.on_ping_answered(B, 3.0)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    # Guards against a limit that counts from when the planner learned of its claim,
    # which may be long after another one has claimed.
    def test_answers_count_only_after_a_renewal(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A}), True, 0.0)
        authority.on_ping_answered(A, 3.0)
        self.assertLess(authority.compute_until(), 0.0)

    def test_only_voter_needs_no_answer(self) -> None:
        authority = make_authority()
        self.assertAlmostEqual(authority.compute_until(), MAX_WITHOUT_STORE_S)

    # Guards against renewals after the time that a successor which is no voter waits.
    def test_authority_without_the_store_is_limited(self) -> None:
        authority = make_answered(MAX_WITHOUT_STORE_S - 0.5)
        self.assertAlmostEqual(authority.compute_until(), MAX_WITHOUT_STORE_S)
        authority.on_renewed(200.0, None)
        authority.on_ping_answered(A, 202.0)
        authority.on_ping_answered(B, 202.0)
        self.assertAlmostEqual(authority.compute_until(), 202.0 + ANSWERED_S)


class UnconfirmedListTest(unittest.TestCase):
    # Guards against a member that reads in the log that it is a voter, while the
    # planner, which received no answer, does without it.
    def test_voters_of_a_list_that_may_be_stored_are_needed(self) -> None:
        authority = make_answered(3.0)
        authority.on_connected(C)
        self.assertIn(C, authority.choose_voters(1.0) or ())
        self.assertAlmostEqual(authority.compute_until(), AUTHORITY_S)
        authority.on_ping_answered(C, 3.0)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    # Guards against an outage of the store in which a host that was connected for a
    # while is needed to the end, though no list with it was stored.
    def test_voters_of_a_refused_list_are_not_needed(self) -> None:
        authority = make_answered(3.0)
        authority.on_connected(C)
        self.assertIn(C, authority.choose_voters(3.0) or ())
        authority.on_renewal_refused()
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    # Guards against a refusal that settles an earlier list, which may be stored.
    def test_refused_list_leaves_earlier_ones_unconfirmed(self) -> None:
        authority = make_answered(3.0)
        authority.on_connected(C)
        authority.choose_voters(1.0)
        authority.choose_voters(1.2)
        authority.on_renewal_refused()
        self.assertAlmostEqual(authority.compute_until(), AUTHORITY_S)

    # Guards against forgetting the first of two lists that may be stored.
    def test_voters_of_every_unconfirmed_list_are_needed(self) -> None:
        authority = make_answered(30.0)
        authority.on_connected(C)
        authority.choose_voters(1.0)
        authority.on_disconnected(C, 1.1)
        later = authority.choose_voters(1.2 + VOTER_RETENTION_S)
        self.assertNotIn(C, later or ())
        self.assertAlmostEqual(authority.compute_until(), AUTHORITY_S)

    # Guards against doing without a dropped voter before the log says so.
    def test_dropped_voter_is_needed_until_the_list_is_stored(self) -> None:
        authority = make_authority(A, B)
        authority.on_disconnected(B, 1.0)
        sent_at = 1.0 + VOTER_RETENTION_S
        voters = authority.choose_voters(sent_at)
        self.assertEqual(voters, (OWN, A))
        authority.on_ping_answered(A, 30.0)
        self.assertAlmostEqual(authority.compute_until(), AUTHORITY_S)
        authority.on_renewed(sent_at, voters)
        self.assertAlmostEqual(authority.compute_until(), 30.0 + ANSWERED_S)

    def test_stored_list_settles_earlier_ones(self) -> None:
        authority = make_answered(30.0)
        authority.on_connected(C)
        authority.choose_voters(1.0)
        authority.on_disconnected(C, 1.1)
        sent_at = 1.2 + VOTER_RETENTION_S
        authority.on_renewed(sent_at, authority.choose_voters(sent_at))
        self.assertAlmostEqual(authority.compute_until(), 30.0 + ANSWERED_S)

    # Guards against a renewal without a list while it is open which one is stored.
    def test_list_is_named_again_until_it_is_stored(self) -> None:
        authority = make_authority(A)
        authority.on_connected(B)
        for attempt in range(3):
            voters = authority.choose_voters(1.0 + attempt / 10)
            self.assertEqual(voters, (OWN, A, B))
        authority.on_disconnected(B, 1.5)
        self.assertEqual(authority.choose_voters(1.6), (OWN, A, B))


class VoterListTest(unittest.TestCase):
    def test_first_list_names_the_planner_and_its_members(self) -> None:
        authority = LeaseAuthority(OWN, None, True, 0.0)
        self.assertEqual(authority.choose_voters(0.0), (OWN,))
        authority.on_connected(B)
        authority.on_connected(A)
        self.assertEqual(authority.choose_voters(0.1), (OWN, A, B))

    def test_unchanged_list_is_not_named_again_at_once(self) -> None:
        authority = make_authority(A)
        self.assertIsNone(authority.choose_voters(min(RENEW_S, LIST_INTERVAL_S / 2)))

    # Guards against a log from which the only list of voters was deleted.
    def test_unchanged_list_is_named_again_after_an_interval(self) -> None:
        authority = make_authority(A)
        self.assertIsNone(authority.choose_voters(LIST_INTERVAL_S - 0.1))
        self.assertEqual(authority.choose_voters(LIST_INTERVAL_S), (OWN, A))

    def test_host_without_a_connection_is_dropped_after_a_while(self) -> None:
        authority = make_authority(A, B)
        authority.on_disconnected(B, 1.0)
        last = authority.choose_voters(0.9 + VOTER_RETENTION_S)
        self.assertEqual(last, (OWN, A, B))
        self.assertEqual(authority.choose_voters(1.0 + VOTER_RETENTION_S), (OWN, A))

    def test_host_that_connects_again_remains(self) -> None:
        authority = make_authority(A, B)
        authority.on_disconnected(B, 1.0)
        authority.on_connected(B)
        voters = authority.choose_voters(1.0 + VOTER_RETENTION_S)
        self.assertEqual(voters, (OWN, A, B))

    # Guards against a planner whose list leaves out the hosts that have yet to connect
    # to it, so that none of these may succeed it soon.
    def test_voters_of_the_predecessor_remain_for_a_while(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A, B}), True, 5.0)
        authority.on_connected(A)
        self.assertEqual(authority.choose_voters(5.1), (OWN, A, B))
        self.assertEqual(authority.choose_voters(5.0 + VOTER_RETENTION_S), (OWN, A))


class PredecessorTest(unittest.TestCase):
    def test_voter_counts_on_a_short_time(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A}), True, 0.0)
        self.assertEqual(authority.predecessor_s, KNOWN_PREDECESSOR_S)

    # Guards against leases taken as expired by a member whose answer nobody needs.
    def test_planner_that_is_no_voter_counts_on_a_long_time(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({A, B}), False, 0.0)
        self.assertEqual(authority.predecessor_s, UNKNOWN_PREDECESSOR_S)

    # Guards against a successor that takes the list of such a planner for all voters.
    def test_planner_that_is_no_voter_names_none_at_first(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({A, B}), False, 5.0)
        authority.on_connected(A)
        self.assertIsNone(authority.choose_voters(5.0))
        self.assertIsNone(authority.choose_voters(4.9 + UNKNOWN_PREDECESSOR_S))
        voters = authority.choose_voters(5.0 + UNKNOWN_PREDECESSOR_S)
        self.assertEqual(voters, (OWN, A))

    def test_planner_that_is_no_voter_relies_on_the_earlier_voters(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({A, B}), False, 0.0)
        authority.on_renewed(1.0, authority.choose_voters(1.0))
        self.assertAlmostEqual(authority.compute_until(), 1.0 + AUTHORITY_S)
        authority.on_ping_answered(A, 3.0)
        authority.on_ping_answered(B, 3.0)
        self.assertAlmostEqual(authority.compute_until(), 3.0 + ANSWERED_S)

    def test_planner_that_knows_no_voters_relies_on_its_claim_alone(self) -> None:
        authority = LeaseAuthority(OWN, None, False, 0.0)
        authority.on_connected(A)
        authority.on_renewed(1.0, authority.choose_voters(1.0))
        authority.on_ping_answered(A, 3.0)
        self.assertAlmostEqual(authority.compute_until(), 1.0 + AUTHORITY_S)


class InheritanceTest(unittest.TestCase):
    # Guards against a third planner that is a voter of the second one only, while the
    # first one goes on with the answers of its own voters.
    def test_voters_are_voters_of_the_predecessor(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A, B}), True, 5.0)
        authority.on_connected(A)
        authority.on_connected(C)
        self.assertEqual(authority.choose_voters(6.0), (OWN, A, B))
        last = authority.choose_voters(4.9 + UNKNOWN_PREDECESSOR_S)
        self.assertEqual(last, (OWN, A))

    def test_any_host_becomes_a_voter_once_no_predecessor_can_live_on(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A}), True, 5.0)
        authority.on_connected(A)
        authority.on_connected(C)
        voters = authority.choose_voters(5.0 + UNKNOWN_PREDECESSOR_S)
        self.assertEqual(voters, (OWN, A, C))

    # Guards against inheriting the second list of the planner itself.
    def test_dropped_voter_returns_while_voters_are_inherited(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A, B}), True, 0.0)
        authority.on_connected(A)
        sent_at = VOTER_RETENTION_S
        authority.on_renewed(sent_at, authority.choose_voters(sent_at))
        authority.on_connected(B)
        self.assertEqual(authority.choose_voters(sent_at + 1.0), (OWN, A, B))


class SilentVoterTest(unittest.TestCase):
    def make_without_store(self) -> LeaseAuthority:
        authority = make_authority(A, B)
        authority.abdicate()
        return authority

    def test_voter_without_a_connection_is_silent(self) -> None:
        authority = self.make_without_store()
        authority.on_disconnected(B, 3.0)
        self.assertEqual(authority.list_silent_voters(3.0), [B])

    # Guards against queries that cost as much as the connections of all members.
    def test_connected_voters_are_not_queried(self) -> None:
        authority = self.make_without_store()
        self.assertEqual(authority.list_silent_voters(3.0), [])

    def test_none_is_queried_while_the_claim_suffices(self) -> None:
        authority = make_authority(A, B)
        authority.on_disconnected(B, 0.1)
        self.assertEqual(authority.list_silent_voters(AUTHORITY_S - 0.1), [])
        self.assertEqual(authority.list_silent_voters(AUTHORITY_S), [B])

    def test_voter_that_has_just_answered_is_not_queried(self) -> None:
        authority = self.make_without_store()
        authority.on_disconnected(B, 3.0)
        authority.on_ping_answered(B, 3.0)
        self.assertEqual(authority.list_silent_voters(2.9 + SILENT_AFTER_S), [])
        self.assertEqual(authority.list_silent_voters(3.1 + SILENT_AFTER_S), [B])

    def test_voter_of_the_predecessor_that_never_connected_is_queried(self) -> None:
        authority = LeaseAuthority(OWN, frozenset({OWN, A}), True, 0.0)
        self.assertEqual(authority.list_silent_voters(3.0), [A])


class SuccessorTest(unittest.TestCase):
    # Guards against a planned change of the planner that costs the long margin.
    def test_voters_of_the_stored_list_may_succeed(self) -> None:
        authority = make_authority(A)
        authority.on_connected(B)
        authority.choose_voters(1.0)
        self.assertTrue(authority.may_succeed(A))
        self.assertFalse(authority.may_succeed(B))

    def test_any_host_may_succeed_without_a_list(self) -> None:
        self.assertTrue(LeaseAuthority(OWN, None, True, 0.0).may_succeed(A))


class MarginTest(unittest.TestCase):
    # Guards against constants under which authority outlasts what a successor assumes.
    def test_successors_wait_longer_than_authority_lasts(self) -> None:
        self.assertLess(ANSWERED_S, KNOWN_PREDECESSOR_S * 0.96)
        self.assertLess(AUTHORITY_S, KNOWN_PREDECESSOR_S * 0.96)
        self.assertLess(MAX_WITHOUT_STORE_S, UNKNOWN_PREDECESSOR_S * 0.96)
        self.assertLess(AUTHORITY_S, CLAIM_AFTER_S * 0.96)


if __name__ == "__main__":
    unittest.main()
