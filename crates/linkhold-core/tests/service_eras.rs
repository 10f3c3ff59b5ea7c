//! A store that is restored from an older copy of itself: data of one era is neither
//! taken for that of another, nor undone by it.

use std::time::{Duration, Instant};

use linkhold_core::service::evacuation::{
    EvacuationChange, Evacuations, LOST_EVACUATION_PERIOD, ZoneName, ZoneState,
};
use linkhold_core::service::failover::{
    ClaimDecision, ClaimTime, FailoverLease, LEASE, claim, claim_in_advance, era_of_token,
};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::store_revision::{Era, StoreRevision};
use proptest::prelude::*;

const BOUND: Duration = Duration::from_millis(5_000);

fn revision(era: u32, count: u64) -> StoreRevision {
    StoreRevision::new(Era(era), count)
}

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().map(|name| ZoneName::from(*name)).collect()
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

proptest! {
    #[test]
    fn a_revision_of_a_later_era_is_later_whatever_its_count(
        (first, second) in (0_u32..1_000, 0_u32..1_000),
        (one, two) in (0_u64..1 << 39, 0_u64..1 << 39),
    ) {
        let (one, two) = (revision(first, one), revision(second, two));
        prop_assert_eq!(one.cmp(&two), (first, one.count()).cmp(&(second, two.count())));
        prop_assert_eq!(StoreRevision::from_bits(one.to_bits()), one);
        prop_assert_eq!(one.era(), Era(first));
    }

    /// The store is restored at any moment to any earlier state of a lease's row, while
    /// nodes claim it: no token is handed out twice, and each is above all earlier
    /// ones.
    #[test]
    fn tokens_rise_across_restores(
        steps in prop::collection::vec((0_u8..4, 0_u8..3, 0_u64..6_000, any::<u16>()), 1..60),
    ) {
        let mut rows: Vec<Option<FailoverLease>> = vec![None];
        let mut time = ClaimTime { now: 10_000, era: Era(1) };
        let mut highest = 0;
        for (node, kind, pause, copy) in steps {
            time.now += pause;
            if kind == 0 {
                rows.truncate(usize::from(copy) % rows.len() + 1);
                time.era = Era(time.era.0 + 1);
                continue;
            }
            let node = format!("node-{node}");
            let current = rows.last().cloned().flatten();
            let successor = InstanceId(format!("instance-{kind}").into());
            let next = match claim(current.as_ref(), &node, &successor, time) {
                ClaimDecision::Write(lease) => lease,
                ClaimDecision::HeldElsewhere(_) => continue,
            };
            let is_same = current.is_some_and(|row| row.token == next.token);
            prop_assert!(next.token > highest || is_same && next.token == highest);
            prop_assert_eq!(era_of_token(next.token), time.era);
            highest = next.token;
            rows.push(Some(next));
        }
    }
}

/// The property above with its mechanism switched off: within one era, a row that goes
/// back hands a token out twice.
#[test]
fn without_eras_a_token_would_be_handed_out_twice() {
    let time = |now| ClaimTime { now, era: Era(0) };
    let claimed = |current: Option<&FailoverLease>, node: &str, now| {
        let successor = InstanceId(node.into());
        match claim(current, node, &successor, time(now)) {
            ClaimDecision::Write(lease) => lease,
            ClaimDecision::HeldElsewhere(_) => panic!("its time is over"),
        }
    };
    let pause = milliseconds(LEASE) + 1;
    let first = claimed(None, "a", 1_000);
    let second = claimed(Some(&first), "b", 1_000 + pause);
    // The second claim is lost.
    let third = claimed(Some(&first), "c", 1_000 + 2 * pause);
    assert_eq!(second.token, third.token);
}

#[test]
fn a_lease_of_an_earlier_era_is_claimed_in_advance_anew() {
    let time = |era| ClaimTime {
        now: 100_000,
        era: Era(era),
    };
    let held = claim_in_advance(None, "a", |_| true, time(1)).unwrap();
    let later = ClaimTime {
        now: time(2).now + milliseconds(LEASE),
        ..time(2)
    };
    let replaced = claim_in_advance(Some(&held), "a", |_| true, later).unwrap();
    assert!(replaced.token > held.token);
}

#[test]
fn an_evacuation_that_the_store_lost_stays_in_force_until_it_is_requested_again() {
    let start = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.replace(revision(1, 50), zones(&["a"]), BOUND, start);
    evacuations.replace(revision(2, 40), zones(&[]), BOUND, start);
    let closed = start + BOUND;
    assert_eq!(evacuations.state("a", closed), ZoneState::Closed);
    // Read again within the new era, the list still lacks it.
    evacuations.replace(revision(2, 45), zones(&[]), BOUND, closed);
    assert_eq!(evacuations.state("a", closed), ZoneState::Closed);
    // The operator requests it again, and later takes it back.
    evacuations.apply(
        revision(2, 46),
        [EvacuationChange::Evacuated("a".into())],
        BOUND,
        closed,
    );
    assert!(
        evacuations
            .expire_lost(closed + LOST_EVACUATION_PERIOD)
            .is_empty()
    );
    evacuations.apply(
        revision(2, 47),
        [EvacuationChange::TakenBack("a".into())],
        BOUND,
        closed,
    );
    assert_eq!(evacuations.state("a", closed), ZoneState::InService);
}

#[test]
fn a_lost_evacuation_that_is_not_requested_again_ends() {
    let start = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.replace(revision(1, 50), zones(&["a"]), BOUND, start);
    evacuations.replace(revision(2, 40), zones(&[]), BOUND, start);
    assert!(
        evacuations
            .expire_lost(start + LOST_EVACUATION_PERIOD / 2)
            .is_empty()
    );
    let ended = evacuations.expire_lost(start + LOST_EVACUATION_PERIOD);
    assert_eq!(ended, [EvacuationChange::TakenBack("a".into())]);
    assert_eq!(
        evacuations.state("a", start + LOST_EVACUATION_PERIOD),
        ZoneState::InService
    );
}

/// Two restores in a row, reported by readers that are late.
#[test]
fn late_changes_of_an_earlier_era_have_no_effect() {
    let start = Instant::now();
    let mut evacuations = Evacuations::default();
    evacuations.replace(revision(3, 10), zones(&["b"]), BOUND, start);
    evacuations.replace(revision(2, 900), zones(&["a"]), BOUND, start);
    evacuations.apply(
        revision(1, 999),
        [EvacuationChange::TakenBack("b".into())],
        BOUND,
        start,
    );
    let known: Vec<&ZoneName> = evacuations.zones().map(|(zone, _)| zone).collect();
    assert_eq!(known, [&ZoneName::from("b")]);
}
