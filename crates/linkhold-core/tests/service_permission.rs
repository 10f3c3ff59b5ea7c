//! How long a node may acknowledge for primaries.

use std::time::{Duration, Instant};

use linkhold_core::service::failover::{
    FailoverLease, LATEST_ORDER_AGE, LEASE, MAX_ORDER_DELAY, ORDER_TIMEOUT, PROMOTION_TIME,
};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::listing::LISTING_VALIDITY;
use linkhold_core::service::permission::{
    CLAIM_EFFECT_PERIOD, CONFIRMATION_VALIDITY, CONSENT_RETENTION, Consents, EXPIRED_NODE_PERIOD,
    FleetSizes, Permission, RecentClaim, RenewalOutcome, agreements_needed, confirmations_needed,
};
use linkhold_core::service::readers::ROW_EXPIRY;
use linkhold_core::service::withholding::{ORDER_WINDOW, WITHHOLDING_PERIOD};
use proptest::prelude::*;

const SERVICE: &str = "ledger";

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn one() -> InstanceId {
    InstanceId("one".into())
}

/// A node that was listed by a renewal sent at `start`.
fn listed(start: Instant) -> Permission {
    let mut permission = Permission::default();
    assert_eq!(
        permission.record_renewal(start, start),
        RenewalOutcome::NeedsAdmission
    );
    permission.admit(start, &[], start);
    permission
}

#[test]
fn a_permission_ends_before_the_node_may_be_left_out() {
    let start = Instant::now();
    let permission = listed(start);
    assert!(!Permission::default().may_acknowledge_for(SERVICE, &one(), start, Some(start)));
    assert!(permission.may_acknowledge_for(
        SERVICE,
        &one(),
        start + LISTING_VALIDITY - milliseconds(1),
        Some(start + LISTING_VALIDITY - milliseconds(1))
    ));
    assert!(!permission.may_acknowledge_for(
        SERVICE,
        &one(),
        start + LISTING_VALIDITY,
        Some(start + LISTING_VALIDITY)
    ));
    assert!(LISTING_VALIDITY < ROW_EXPIRY);
}

#[test]
fn a_returning_node_reads_the_leases_first() {
    let start = Instant::now();
    let mut permission = listed(start);
    let returned_at = start + ROW_EXPIRY;
    assert_eq!(
        permission.record_renewal(returned_at, returned_at),
        RenewalOutcome::NeedsAdmission
    );
    assert!(!permission.is_valid(returned_at));
    let claim = RecentClaim {
        service: SERVICE.into(),
        successor: Some(InstanceId("two".into())),
        age: milliseconds(1_000),
    };
    permission.admit(returned_at, &[claim], returned_at);
    let two = InstanceId("two".into());
    assert!(permission.may_acknowledge_for("other", &one(), returned_at, Some(returned_at)));
    assert!(!permission.may_acknowledge_for(SERVICE, &one(), returned_at, Some(returned_at)));
    // The successor is primary: the replacement is over.
    assert!(permission.may_acknowledge_for(SERVICE, &two, returned_at, Some(returned_at)));
    let ends_at = returned_at + CLAIM_EFFECT_PERIOD - milliseconds(1_000);
    // The node stays listed for longer than the claim counts.
    let renewed_at = returned_at + LISTING_VALIDITY / 2;
    assert_eq!(
        permission.record_renewal(renewed_at, renewed_at),
        RenewalOutcome::Continued
    );
    assert!(!permission.may_acknowledge_for(
        SERVICE,
        &one(),
        ends_at - milliseconds(1),
        Some(ends_at - milliseconds(1))
    ));
    assert!(permission.may_acknowledge_for(SERVICE, &one(), ends_at, Some(ends_at)));
}

#[test]
fn a_lease_that_is_old_or_only_claimed_in_advance_blocks_nothing() {
    let start = Instant::now();
    let two = Some(InstanceId("two".into()));
    for (successor, age) in [(two, CLAIM_EFFECT_PERIOD), (None, Duration::ZERO)] {
        let mut permission = Permission::default();
        let claim = RecentClaim {
            service: SERVICE.into(),
            successor,
            age,
        };
        permission.admit(start, &[claim], start);
        assert!(permission.may_acknowledge_for(SERVICE, &one(), start, Some(start)));
    }
    assert!(LEASE < CLAIM_EFFECT_PERIOD);
}

/// A node that starts waits for as long as an order under a claim that it reads may take
/// effect. It once waited for 8 s where orders could be carried out after 10 s.
#[test]
fn a_claim_counts_for_as_long_as_an_order_under_it_may_take_effect() {
    let longest_delay_reported = Duration::from_secs(12);
    assert!(MAX_ORDER_DELAY > longest_delay_reported);
    let latest_effect = LATEST_ORDER_AGE + MAX_ORDER_DELAY + PROMOTION_TIME;
    assert!(latest_effect < CLAIM_EFFECT_PERIOD);
    assert_eq!(LATEST_ORDER_AGE + ORDER_TIMEOUT, LEASE);
    let lease = FailoverLease {
        holder: "node".to_owned(),
        token: 1,
        claimed_at: 0,
        successor: Some(InstanceId("two".into())),
        ordered_at: None,
    };
    let until = |period: Duration| period.as_millis() as u64;
    assert!(lease.may_take_effect(until(latest_effect)));
    // Nodes that agreed withhold for as long.
    assert!(ORDER_WINDOW + MAX_ORDER_DELAY + PROMOTION_TIME <= WITHHOLDING_PERIOD);
}

#[test]
fn confirmations_prolong_a_permission_without_a_gap_and_not_for_ever() {
    let start = Instant::now();
    let mut permission = listed(start);
    let mut asked_at = start + LISTING_VALIDITY - milliseconds(1);
    while permission.is_valid(asked_at) {
        permission.record_confirmation(asked_at);
        asked_at += CONFIRMATION_VALIDITY - milliseconds(1);
    }
    let last = start + LISTING_VALIDITY + EXPIRED_NODE_PERIOD;
    assert_eq!(permission.valid_until(), Some(last));
    assert!(last < start + ROW_EXPIRY + EXPIRED_NODE_PERIOD);
    // A permission that has run out is not restored.
    permission.record_confirmation(last);
    assert!(!permission.is_valid(last));
    let mut gap = listed(start);
    gap.record_confirmation(start + LISTING_VALIDITY);
    assert!(!gap.is_valid(start + LISTING_VALIDITY));
}

#[test]
fn a_consent_is_reported_for_longer_than_others_rely_on_its_absence() {
    let start = Instant::now();
    let mut consents = Consents::default();
    assert!(consents.recent(start).is_empty());
    consents.agree("one", 1, start);
    let reported = consents.recent(start + CONSENT_RETENTION - milliseconds(1));
    assert_eq!(reported, ["one"]);
    let mut other = Consents::default();
    assert!(!other.include_all(&reported, start));
    other.agree("one", 1, start);
    assert!(other.include_all(&reported, start));
    assert!(consents.recent(start + CONSENT_RETENTION).is_empty());
    assert!(CONFIRMATION_VALIDITY * 2 < CONSENT_RETENTION);
}

/// Nodes of a fleet in the property below; the last one replaces the primary.
const NODES: usize = 5;

/// One run: nodes are cut off from the store at some moments, and from each other in
/// two sides; the last node replaces the primary as soon as it may.
#[derive(Clone, Debug)]
struct Run {
    /// When each node's last renewal was sent, in milliseconds.
    renewed: Vec<u64>,
    /// Whether each node is on the side of the node that replaces the primary.
    is_near: Vec<bool>,
    /// Whether the far nodes reach those on the near side, except the one that replaces
    /// the primary.
    reaches_near: bool,
    /// Pause of each node between its questions, in milliseconds.
    pause: u64,
}

fn runs() -> impl Strategy<Value = Run> {
    (
        prop::collection::vec(0_u64..40_000, NODES),
        prop::collection::vec(any::<bool>(), NODES),
        any::<bool>(),
        300_u64..2_500,
    )
        .prop_map(|(renewed, mut is_near, reaches_near, pause)| {
            is_near[NODES - 1] = true;
            Run {
                renewed,
                is_near,
                reaches_near,
                pause,
            }
        })
}

/// The part of the mechanism that is switched off.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    Agreements,
    Wait,
    OwnPermission,
}

/// The first moment at which a node on the far side still acknowledges for the primary
/// after it was replaced, if there is one.
fn acknowledges_after_replacement(run: &Run, without: Without) -> Option<u64> {
    let start = Instant::now();
    let at = |moment: u64| start + milliseconds(moment);
    let far: Vec<usize> = (0..NODES).filter(|node| !run.is_near[*node]).collect();
    let near = NODES - far.len();
    let mut permissions: Vec<Permission> = (0..NODES)
        .map(|node| listed(at(run.renewed[node])))
        .collect();
    let mut agreed_at: Option<u64> = None;
    let mut replaced_at: Option<u64> = None;
    for now in (0..120_000).step_by(50) {
        let age = |node: &usize| milliseconds(now).saturating_sub(milliseconds(run.renewed[*node]));
        if now % run.pause < 50 {
            // Nodes of one side that have a permission confirm to each other.
            let has_permission = |node: &&usize| permissions[**node].is_valid(at(now));
            let confirming_far = match without {
                Without::OwnPermission => far.len(),
                _ => far.iter().filter(has_permission).count(),
            };
            // Near nodes stay listed, and report it once they have agreed.
            let confirms_near = run.reaches_near && agreed_at.is_none();
            let confirming = confirming_far + if confirms_near { near - 1 } else { 0 };
            for node in &far {
                if confirmations_needed(NODES).is_some_and(|needed| confirming >= needed) {
                    permissions[*node].record_confirmation(at(now));
                }
            }
        }
        let all_silent_left = far.iter().all(|node| age(node) >= ROW_EXPIRY);
        let counted = far
            .iter()
            .filter(|node| age(node) < ROW_EXPIRY + EXPIRED_NODE_PERIOD)
            .count();
        let have_agreed =
            near >= agreements_needed(near + counted) || without == Without::Agreements;
        if agreed_at.is_none() && all_silent_left && have_agreed {
            agreed_at = Some(now);
        }
        let wait = if without == Without::Wait { 0 } else { 3_000 };
        if replaced_at.is_none() && agreed_at.is_some_and(|agreed| now >= agreed + wait) {
            replaced_at = Some(now);
        }
        let acknowledges = far.iter().any(|node| permissions[*node].is_valid(at(now)));
        if replaced_at.is_some() && acknowledges {
            return Some(now);
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn no_node_acknowledges_for_a_primary_that_was_replaced_without_it(run in runs()) {
        prop_assert_eq!(acknowledges_after_replacement(&run, Without::Nothing), None);
    }
}

/// Four of five nodes lose the store and the other one, and confirm to each other.
/// Switching off each part of the rule shows what it is for.
#[test]
fn two_sides_would_go_on_without_agreements_a_wait_or_permissions_of_those_who_confirm() {
    let run = |renewed: [u64; NODES], far: usize| Run {
        renewed: renewed.to_vec(),
        is_near: (0..NODES).map(|node| node >= far).collect(),
        reaches_near: false,
        pause: 500,
    };
    let four_far = run([0; NODES], 4);
    let one_far = run([0; NODES], 1);
    let apart = run([0, 0, 20_000, 0, 0], 4);
    let reachable = Run {
        reaches_near: true,
        ..one_far.clone()
    };
    for run in [&four_far, &one_far, &apart, &reachable] {
        assert_eq!(acknowledges_after_replacement(run, Without::Nothing), None);
    }
    assert!(acknowledges_after_replacement(&four_far, Without::Agreements).is_some());
    assert!(acknowledges_after_replacement(&apart, Without::OwnPermission).is_some());
    assert!(acknowledges_after_replacement(&reachable, Without::Wait).is_some());
}

/// Whatever the fleet's size, confirming and agreeing nodes share a node.
#[test]
fn confirmations_and_agreements_meet_in_fleets_of_any_size() {
    for nodes in 3..3_000 {
        let confirming = confirmations_needed(nodes).unwrap();
        for counted in confirming..=nodes {
            assert!(confirming + agreements_needed(counted) > counted, "{nodes}");
        }
        assert!(agreements_needed(nodes) <= nodes / 4 + 1);
    }
    // One joining node replaces nothing by itself.
    assert_eq!(confirmations_needed(2), None);
    assert!(agreements_needed(3 + 1) > 1);
}

/// A node that returns may have missed a promotion: it needs the list of instances as
/// of a later moment.
#[test]
fn a_returning_node_acknowledges_for_no_primary_before_it_knows_the_instances() {
    let start = Instant::now();
    let mut permission = listed(start);
    assert!(permission.may_acknowledge_for(SERVICE, &one(), start, None));
    let returned_at = start + ROW_EXPIRY;
    permission.admit(returned_at, &[], returned_at);
    assert!(!permission.may_acknowledge_for(SERVICE, &one(), returned_at, None));
    assert!(!permission.may_acknowledge_for(
        SERVICE,
        &one(),
        returned_at,
        Some(returned_at - milliseconds(1))
    ));
    assert!(permission.may_acknowledge_for(SERVICE, &one(), returned_at, Some(returned_at)));
}

#[test]
fn a_consent_ends_when_its_question_is_released() {
    let start = Instant::now();
    let mut consents = Consents::default();
    consents.agree("one", 1, start);
    consents.agree("one", 2, start);
    consents.release(1);
    assert_eq!(consents.recent(start), ["one"]);
    consents.release(2);
    assert!(consents.recent(start).is_empty());
}

/// A zone of 24 of 71 nodes is cut off from the store for 15 s; the 47 others see 47
/// nodes once those rows have expired. Then the 47 lose the store, and the 24 reach it
/// again: they count 71, the 47 among them as former nodes.
#[test]
fn those_who_confirm_and_those_who_agree_share_a_node_where_views_differ() {
    let start = Instant::now();
    let (fleet, returned) = (71, 24);
    let mut sizes = FleetSizes::default();
    sizes.record(fleet, start);
    let lost = start + ROW_EXPIRY;
    sizes.record(fleet - returned, lost);
    let confirming = confirmations_needed(sizes.largest(lost + ROW_EXPIRY)).unwrap();
    let can_confirm = fleet - returned >= confirming;
    let can_agree = returned >= agreements_needed(fleet);
    assert!(can_agree && !can_confirm);
    // No node counts the others any more.
    let expired_at = start + ROW_EXPIRY + EXPIRED_NODE_PERIOD;
    assert_eq!(sizes.largest(expired_at), fleet - returned);
}
