//! Which node may replace a primary, when, and which successor is promoted.

use std::time::Duration;

use linkhold_core::position::{Position, Term};
use linkhold_core::service::failover::{
    ClaimDecision, ClaimTime, FailoverLease, InstanceStatus, LEASE, ReachabilityTally, Successor,
    choose_successor, claim, claim_in_advance, has_current_term, may_hand_over,
    switchover_candidates,
};
use linkhold_core::service::instance::{InstanceId, Role};
use proptest::prelude::*;

fn id(name: &str) -> InstanceId {
    InstanceId(name.into())
}

/// A moment of the store's clock, in the only era.
fn at(now: u64) -> ClaimTime {
    ClaimTime {
        now,
        ..ClaimTime::default()
    }
}

fn candidate(name: &str, received: Position, is_leaving: bool) -> Successor {
    Successor {
        status: InstanceStatus {
            id: id(name),
            role: Role::Replica,
            term: Term(received.term.0),
            received,
        },
        is_leaving,
        is_in_primary_region: true,
        is_warm: true,
    }
}

proptest! {
    /// Nodes claim at any times on a store that decides by row version: tokens never
    /// repeat for another holder or successor, and no other node claims within the
    /// lease.
    #[test]
    fn tokens_belong_to_one_holder_and_one_successor(
        claims in prop::collection::vec((0_u8..4, 0_u8..3, 0_u64..3_000), 1..60),
    ) {
        let mut now = 1_000;
        let mut current: Option<FailoverLease> = None;
        let mut seen: Vec<FailoverLease> = Vec::new();
        for (node, successor, pause) in claims {
            now += pause;
            let node = format!("node-{node}");
            if successor == 0 {
                if let Some(lease) = claim_in_advance(current.as_ref(), &node, |_| false, at(now)) {
                    current = Some(lease);
                }
                continue;
            }
            let successor = id(&format!("instance-{successor}"));
            let ClaimDecision::Write(lease) = claim(current.as_ref(), &node, &successor, at(now)) else {
                continue;
            };
            if let Some(previous) = &current {
                prop_assert!(lease.token >= previous.token);
                if previous.holder != lease.holder {
                    let age = now - previous.claimed_at;
                    prop_assert!(Duration::from_millis(age) >= LEASE);
                }
            }
            for other in seen.iter().filter(|other| other.token == lease.token) {
                prop_assert_eq!(&other.holder, &lease.holder);
                prop_assert_eq!(&other.successor, &lease.successor);
            }
            seen.push(lease.clone());
            current = Some(lease);
        }
    }
}

#[test]
fn a_lease_claimed_in_advance_promotes_one_successor_and_is_taken_over_once_its_holder_left() {
    let lease = claim_in_advance(None, "node-1", |_| true, at(1_000)).unwrap();
    assert_eq!(lease.token, 1);
    let later = 1_000 + LEASE.as_millis() as u64;
    assert_eq!(
        claim_in_advance(Some(&lease), "node-2", |_| true, at(later)),
        None
    );
    assert_eq!(
        claim_in_advance(Some(&lease), "node-2", |_| false, at(later - 1)),
        None
    );
    let taken = claim_in_advance(Some(&lease), "node-2", |_| false, at(later)).unwrap();
    assert_eq!((taken.holder.as_str(), taken.token), ("node-2", 2));
    let ClaimDecision::Write(used) = claim(Some(&lease), "node-1", &id("a"), at(later)) else {
        panic!("its own lease");
    };
    assert_eq!(
        used.token, 1,
        "the first successor takes the token as it is"
    );
    let ClaimDecision::Write(next) = claim(Some(&used), "node-1", &id("b"), at(later)) else {
        panic!("its own lease");
    };
    assert_eq!(next.token, 2, "another one takes a higher token");
}

#[test]
fn a_primary_that_any_node_reaches_is_not_lost() {
    let tally = ReachabilityTally {
        nodes: 7,
        reached: 1,
        unreached: 6,
        not_primary: 0,
    };
    assert!(!tally.is_lost());
}

#[test]
fn a_silent_node_may_be_on_the_side_of_the_primary() {
    let mut tally = ReachabilityTally {
        nodes: 7,
        reached: 0,
        unreached: 6,
        not_primary: 0,
    };
    assert!(!tally.is_lost());
    tally.unreached = 7;
    assert!(tally.is_lost());
    assert!(!ReachabilityTally::default().is_lost(), "nothing is known");
}

#[test]
fn the_most_advanced_replica_is_promoted_and_all_choose_alike() {
    let candidates = [
        candidate("b", Position::new(2, 10), false),
        candidate("a", Position::new(2, 10), false),
        candidate("c", Position::new(1, 90), false),
    ];
    let chosen = choose_successor(&candidates, false).unwrap();
    assert_eq!(chosen.status.id, id("a"));
}

#[test]
fn a_leaving_replica_is_passed_over_unless_it_alone_may_hold_a_commit() {
    let candidates = [
        candidate("a", Position::new(1, 12), true),
        candidate("b", Position::new(1, 10), false),
    ];
    assert_eq!(
        choose_successor(&candidates, false).unwrap().status.id,
        id("b")
    );
    assert_eq!(
        choose_successor(&candidates, true).unwrap().status.id,
        id("a")
    );
    assert_eq!(
        choose_successor(&candidates[..1], false).unwrap().status.id,
        id("a")
    );
}

#[test]
fn a_log_of_an_older_term_than_was_proved_is_not_promoted() {
    let old = candidate("a", Position::new(1, 900), false).status;
    assert!(has_current_term(&old, None));
    assert!(has_current_term(&old, Some(Position::new(1, 950))));
    assert!(!has_current_term(&old, Some(Position::new(2, 10))));
}

#[test]
fn a_leaving_primary_waits_for_a_successor_that_is_far_behind() {
    let drain = Duration::from_secs(7);
    let primary = Position::new(1, 1_000);
    let close = Position::new(1, 990);
    let behind = Position::new(1, 500);
    assert!(may_hand_over(primary, close, Duration::ZERO, drain));
    assert!(!may_hand_over(primary, behind, Duration::ZERO, drain));
    assert!(may_hand_over(
        primary,
        behind,
        Duration::from_secs(5),
        drain
    ));
}

/// No commits are given up for a better region: the candidate that has received more
/// goes first; among equals one in a primary region, whichever identity it has.
#[test]
fn a_successor_in_a_primary_region_goes_first_among_equals_only() {
    let at = |index| Position {
        term: Term(3),
        index,
    };
    let mut outside_region = candidate("a", at(8), false);
    outside_region.is_in_primary_region = false;
    let equal = [outside_region.clone(), candidate("b", at(8), false)];
    let chosen = choose_successor(&equal, false).unwrap();
    assert_eq!(chosen.status.id, id("b"));
    let behind = [outside_region, candidate("b", at(7), false)];
    let chosen = choose_successor(&behind, false).unwrap();
    assert_eq!(chosen.status.id, id("a"));
}

/// A new instance that replaces a leaving one has received as much: as a primary it
/// could serve next to no requests.
#[test]
fn a_cold_successor_is_passed_over_for_a_warm_one_that_is_close() {
    let at = |index| Position {
        term: Term(3),
        index,
    };
    let mut cold = candidate("a", at(100), false);
    cold.is_warm = false;
    let chosen = |candidates: Vec<Successor>| {
        let candidates = switchover_candidates(candidates, false);
        choose_successor(&candidates, false)
            .unwrap()
            .status
            .id
            .clone()
    };
    let close = candidate("b", at(90), false);
    let leaving = candidate("c", at(100), true);
    let candidates = vec![cold.clone(), leaving.clone(), close];
    assert_eq!(chosen(candidates), id("b"));
    let behind = candidate("b", at(10), false);
    assert_eq!(chosen(vec![cold.clone(), leaving.clone(), behind]), id("a"));
    // A commit that a replica had to hold may be on the cold one alone.
    let close = candidate("b", at(90), false);
    let candidates = switchover_candidates(vec![cold, leaving, close], true);
    assert_eq!(candidates.len(), 3);
}

/// All leases that nodes write which claim at any times for any successors.
fn written_leases(claims: &[(u8, u8, u64)]) -> Vec<FailoverLease> {
    let mut now = 1_000;
    let mut written: Vec<FailoverLease> = Vec::new();
    for (node, successor, pause) in claims {
        now += pause;
        let successor = id(&format!("instance-{successor}"));
        let node = format!("node-{node}");
        if let ClaimDecision::Write(lease) = claim(written.last(), &node, &successor, at(now)) {
            written.push(lease);
        }
    }
    written
}

proptest! {
    /// If one of two leases of a holder directly follows the other, no other node has
    /// claimed one in between.
    #[test]
    fn no_other_node_has_claimed_between_leases_that_follow_each_other(
        claims in prop::collection::vec((0_u8..3, 0_u8..3, 0_u64..6_000), 1..40),
    ) {
        let written = written_leases(&claims);
        for (first, earlier) in written.iter().enumerate() {
            for (second, later) in written.iter().enumerate().skip(first + 1) {
                if later.directly_follows(earlier) {
                    let between = &written[first..=second];
                    prop_assert!(between.iter().all(|it| it.holder == earlier.holder));
                }
            }
        }
    }
}

/// The same without the check of tokens: an equal holder alone does not prove it.
#[test]
fn a_claim_does_not_directly_follow_one_before_another_holders_claim() {
    let pause = LEASE.as_millis() as u64 + 1;
    let written = written_leases(&[(0, 1, 0), (1, 2, pause), (0, 0, pause)]);
    assert_eq!(written.len(), 3);
    assert_eq!(written[2].holder, written[0].holder);
    assert!(!written[2].directly_follows(&written[0]));
    let written = written_leases(&[(0, 1, 0), (0, 0, pause)]);
    assert!(written[1].directly_follows(&written[0]));
}
