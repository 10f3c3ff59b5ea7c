//! The few nodes that watch a service's primary: their number does not grow with the
//! fleet.

use std::collections::BTreeSet;

use linkhold_core::membership::NodeId;
use linkhold_core::service::watchers::choose;
use proptest::prelude::*;

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn fleet(size: usize, zones: usize) -> Vec<(NodeId, &'static str)> {
    let node = |number: usize| {
        let id = NodeId::of_name(&format!("node-{number}"));
        (id, ZONES[number % zones])
    };
    (0..size).map(node).collect()
}

fn watchers(service: &str, fleet: &[(NodeId, &'static str)]) -> BTreeSet<NodeId> {
    choose(service, fleet.iter().copied()).into_iter().collect()
}

/// Connections to one instance that accepts 140, while all nodes of a fleet ask at once
/// whether it can be reached and each node that is asked connects once.
#[test]
fn connections_do_not_grow_with_the_fleet() {
    for size in [100, 300, 1_000, 2_200] {
        let fleet = fleet(size, 6);
        let max_watchers = (0..100)
            .map(|number| watchers(&format!("service-{number}"), &fleet).len())
            .max();
        assert_eq!(max_watchers, Some(12), "{size} nodes");
    }
}

#[test]
fn services_are_spread_over_the_nodes() {
    let fleet = fleet(985, 6);
    let mut services_per_node = std::collections::BTreeMap::new();
    for number in 0..1_000 {
        for node in watchers(&format!("service-{number}"), &fleet) {
            *services_per_node.entry(node).or_insert(0) += 1;
        }
    }
    // The average is twelve.
    assert!(
        services_per_node.values().max() < Some(&36),
        "{:?}",
        services_per_node.values().max()
    );
}

proptest! {
    /// Whichever tenth of the nodes is silent, or even one whole zone, a service has a
    /// watcher left.
    #[test]
    fn a_service_keeps_a_watcher(
        size in 25_usize..1_000,
        zones in 1_usize..=6,
        service in "[a-z]{3,8}",
        lost_zone in 0_usize..6,
        lost in prop::collection::vec(any::<prop::sample::Index>(), 0..8),
    ) {
        let fleet = fleet(size, zones);
        let chosen = watchers(&service, &fleet);
        prop_assert!(chosen.len() >= 8.min(size));
        let outside = fleet.iter().filter(|(node, zone)| {
            chosen.contains(node) && (zones == 1 || *zone != ZONES[lost_zone % zones])
        });
        prop_assert!(outside.count() > 0);
        let silent: BTreeSet<NodeId> = lost.iter().map(|it| fleet[it.index(size)].0).collect();
        prop_assert!(chosen.difference(&silent).count() > 0);
    }

    /// A node that joins or leaves changes one zone's watchers at most.
    #[test]
    fn watchers_stay_while_others_come_and_go(size in 50_usize..300, departed in any::<prop::sample::Index>()) {
        let before = fleet(size, 6);
        let mut after = before.clone();
        after.remove(departed.index(size));
        let (before, after) = (watchers("ledger", &before), watchers("ledger", &after));
        prop_assert!(before.difference(&after).count() <= 1);
    }
}
