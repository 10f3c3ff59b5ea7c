//! Which nodes are asked to agree by a node that cannot read the list of nodes.
//!
//! Guards against nodes that were added after that list was read, and that are not asked.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::is_broken;
use linkhold_core::service::joins::{JoinTimes, MAX_LIST_LAG, MAX_NAMED};
use proptest::prelude::*;

const NODES: u16 = 10;
/// Index of the node that replaces the primary, and of the one that agrees.
const DECIDER: usize = 0;
const AGREEING: usize = 1;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A node is added, or leaves for good.
    Change(u16),
    /// A node adopts the list as the store had it some time ago.
    Adopt { node: usize, lag_ms: u64 },
    /// Time passes.
    Wait(u64),
}

/// What a node knows of the fleet.
#[derive(Default)]
struct View {
    nodes: BTreeSet<u16>,
    joins: JoinTimes,
    adopted_at: Option<Instant>,
}

fn address(node: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + node))
}

/// Whether each node that the agreeing node knows is asked, which is so if the list of the
/// deciding node has it or the agreeing node names it. Without the lag of lists,
/// the agreeing node names only those that it has seen since the other one's adoption.
fn are_all_asked(steps: &[Step], counts_lag: bool) -> bool {
    let started_at = Instant::now();
    let mut now = started_at;
    let mut history = vec![(now, BTreeSet::from([0, 1]))];
    let mut views = [View::default(), View::default()];
    let initial = [0, 1].map(|node| Step::Adopt { node, lag_ms: 0 });
    for step in initial.iter().chain(steps) {
        match *step {
            Step::Change(node) => {
                let was_added = history.iter().any(|(_, nodes)| nodes.contains(&node));
                let mut nodes = history[history.len() - 1].1.clone();
                if !nodes.remove(&node) && !was_added {
                    nodes.insert(node);
                }
                history.push((now, nodes));
            }
            Step::Adopt { node, lag_ms } => {
                let as_of = now.checked_sub(Duration::from_millis(lag_ms));
                let known = history.iter().rev().find(|(at, _)| Some(*at) <= as_of);
                let nodes = known.unwrap_or(&history[0]).1.clone();
                let view = &mut views[node];
                view.joins.record(nodes.iter().map(|it| address(*it)), now);
                view.nodes = nodes;
                view.adopted_at = Some(now);
            }
            Step::Wait(ms) => now += Duration::from_millis(ms),
        }
    }
    let list_age = now - views[DECIDER].adopted_at.unwrap();
    let told_age = match counts_lag {
        true => list_age,
        false => list_age.saturating_sub(MAX_LIST_LAG),
    };
    let named = views[AGREEING].joins.since(told_age, now).unwrap();
    // The agreeing node may not have seen yet that a node has left.
    let present = &history[history.len() - 1].1;
    let mut known = views[AGREEING].nodes.intersection(present);
    known.all(|node| views[DECIDER].nodes.contains(node) || named.contains(&address(*node)))
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let lag = 0..=MAX_LIST_LAG.as_millis() as u64;
    let step = prop_oneof![
        (2..NODES).prop_map(Step::Change),
        (0..2_usize, lag).prop_map(|(node, lag_ms)| Step::Adopt { node, lag_ms }),
        (1..8_000_u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn every_added_node_that_the_agreeing_one_knows_is_asked(steps in steps()) {
        prop_assert!(are_all_asked(&steps, true));
    }
}

/// The property without the lag of lists: a node is found that is not asked.
#[test]
fn added_nodes_are_missed_if_lists_count_as_new_as_their_adoption() {
    assert!(is_broken(4_096, &steps(), |steps| are_all_asked(
        &steps, false
    )));
}

/// A fleet that has just started cannot name all of its nodes, and says so.
#[test]
fn too_many_added_nodes_are_not_named_in_part() {
    let now = Instant::now();
    let mut joins = JoinTimes::default();
    let ports = 0..MAX_NAMED as u16;
    joins.record(ports.map(address), now);
    let named = joins.since(Duration::ZERO, now);
    assert_eq!(named.map(|nodes| nodes.len()), Some(MAX_NAMED));
    joins.record((0..=MAX_NAMED as u16).map(address), now);
    assert_eq!(joins.since(Duration::ZERO, now), None);
}
