//! Evacuated zones: what a node knows of them, and when it sends nothing to them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use linkhold_core::service::eligibility::{EligibilityFacts, Ineligible, StatementBinding, check};
use linkhold_core::service::evacuation::{
    EvacuationChange, Evacuations, OPEN_WORK_PERCENT, ZoneName, ZoneState,
};
use linkhold_core::service::store_revision::{Era, StoreRevision};
use proptest::prelude::*;

const BOUND: Duration = Duration::from_millis(5_000);

fn milliseconds(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// What the store lists after each of its changes.
fn history(changes: &[(usize, bool)]) -> Vec<BTreeSet<ZoneName>> {
    let mut listed = BTreeSet::new();
    let mut history = vec![listed.clone()];
    for (zone, is_evacuated) in changes {
        let zone = ZoneName::from(["a", "b", "c"][*zone]);
        if *is_evacuated {
            listed.insert(zone);
        } else {
            listed.remove(&zone);
        }
        history.push(listed.clone());
    }
    history
}

fn known(evacuations: &Evacuations) -> BTreeSet<ZoneName> {
    evacuations.zones().map(|(zone, _)| zone.clone()).collect()
}

/// A revision of the store, in the only era.
fn at(count: u64) -> StoreRevision {
    StoreRevision::new(Era::default(), count)
}

proptest! {
    /// Whatever is reported, in whatever order and how often (readers change, messages
    /// are late or duplicated), a node knows what the store listed at the latest
    /// reported revision.
    #[test]
    fn known_evacuations_never_go_back(
        changes in prop::collection::vec((0_usize..3, any::<bool>()), 1..20),
        reported in prop::collection::vec(0_usize..20, 1..40),
    ) {
        let now = Instant::now();
        let history = history(&changes);
        let mut evacuations = Evacuations::default();
        let mut latest = 0;
        for revision in reported {
            let revision = revision % history.len();
            evacuations.replace(at(revision as u64), history[revision].clone(), BOUND, now);
            latest = latest.max(revision);
            prop_assert_eq!(&known(&evacuations), &history[latest]);
        }
    }

    /// Read completely once and followed from there, the known zones are those that the
    /// store lists.
    #[test]
    fn following_changes_leads_to_what_is_listed(
        changes in prop::collection::vec((0_usize..3, any::<bool>()), 1..20),
        start in 0_usize..20,
    ) {
        let now = Instant::now();
        let history = history(&changes);
        let start = start % history.len();
        let mut evacuations = Evacuations::default();
        evacuations.replace(at(start as u64), history[start].clone(), BOUND, now);
        for (index, (zone, is_evacuated)) in changes.iter().enumerate().skip(start) {
            let zone = ZoneName::from(["a", "b", "c"][*zone]);
            let change = if *is_evacuated {
                EvacuationChange::Evacuated(zone)
            } else {
                EvacuationChange::TakenBack(zone)
            };
            evacuations.apply(at(index as u64 + 1), [change], BOUND, now);
        }
        prop_assert_eq!(known(&evacuations), history.last().unwrap().clone());
    }

    /// A node learns at any moments that nothing is evacuated, until the evacuation is
    /// acknowledged, and learns of it at any later one, however late. Nothing is sent
    /// from `OPEN_WORK_PERCENT` of the bound after the acknowledgement on, or from when
    /// the node learnt of it if that is later; nothing new is ever sent once it knows.
    #[test]
    fn open_work_ends_in_time_however_late_a_node_learns(
        confirmed in prop::collection::vec(0_u64..10_000, 0..10),
        acknowledged in 10_000_u64..12_000,
        learnt_after in 0_u64..20_000,
        asked_after in 0_u64..20_000,
    ) {
        let start = Instant::now();
        let mut evacuations = Evacuations::default();
        for moment in confirmed {
            evacuations.confirm_as_of(start + milliseconds(moment));
        }
        let acknowledged_at = start + milliseconds(acknowledged);
        let learnt_at = acknowledged_at + milliseconds(learnt_after);
        let new_changes = evacuations.apply(at(7), [EvacuationChange::Evacuated("a".into())], BOUND, learnt_at);
        prop_assert_eq!(new_changes.len(), 1);
        let asked_at = learnt_at + milliseconds(asked_after);
        let zone = evacuations.state("a", asked_at);
        let facts = EligibilityFacts { is_in_regions: true, zone };
        prop_assert_eq!(check(facts, StatementBinding::Unbound), Err(Ineligible::Evacuated));
        let ends_at = learnt_at.max(acknowledged_at + BOUND * OPEN_WORK_PERCENT / 100);
        if asked_at >= ends_at {
            prop_assert_eq!(check(facts, StatementBinding::Bound), Err(Ineligible::Evacuated));
        }
        prop_assert_eq!(evacuations.state("b", asked_at), ZoneState::InService);
    }
}

/// The property above with its mechanism switched off: a node whose knowledge counts as
/// confirmed just now gives open work time from when it learnt of the evacuation.
#[test]
fn counting_from_when_a_node_learnt_would_end_open_work_late() {
    let acknowledged_at = Instant::now();
    let learnt_at = acknowledged_at + milliseconds(4_000);
    let mut evacuations = Evacuations::default();
    evacuations.confirm_as_of(learnt_at);
    evacuations.apply(
        at(1),
        [EvacuationChange::Evacuated("a".into())],
        BOUND,
        learnt_at,
    );
    let late = acknowledged_at + BOUND + milliseconds(500);
    assert_eq!(evacuations.state("a", late), ZoneState::Draining);
}

#[test]
fn an_evacuation_taken_back_and_set_again_counts_anew() {
    let start = Instant::now();
    let mut evacuations = Evacuations::default();
    let evacuated = || [EvacuationChange::Evacuated("a".into())];
    evacuations.confirm_as_of(start);
    evacuations.apply(at(1), evacuated(), BOUND, start);
    // Reported again, it is no change.
    assert!(
        evacuations
            .apply(at(2), evacuated(), BOUND, start)
            .is_empty()
    );
    let much_later = start + BOUND * 3;
    assert_eq!(evacuations.state("a", much_later), ZoneState::Closed);
    evacuations.apply(
        at(3),
        [EvacuationChange::TakenBack("a".into())],
        BOUND,
        much_later,
    );
    assert_eq!(evacuations.state("a", much_later), ZoneState::InService);
    evacuations.confirm_as_of(much_later);
    evacuations.apply(at(4), evacuated(), BOUND, much_later);
    assert_eq!(evacuations.state("a", much_later), ZoneState::Draining);
}
