//! Which nodes look after the primary of a service in a large fleet.
//!
//! An instance takes a few hundred connections. Where every node that doubts a primary
//! connects to it to find out, and every node that is asked does as well, a fleet of some
//! hundred nodes uses them up, and those that are turned away take it for lost and ask in
//! turn: the demand grows with the square of the fleet. So a few nodes in each zone watch a
//! service. They alone try its instances when somebody asks, and replace its primary; all
//! others answer from what they know, and learn from them.

use std::collections::BTreeMap;

use crate::membership::NodeId;
use crate::rendezvous;

/// Largest fleet in which every node watches every service: few enough to connect at once
/// to an instance that takes as many connections as the smallest on offer.
pub const MAX_FLEET_ALL_WATCH: usize = 24;
/// Watchers in each zone: one that is lost or frozen leaves another.
const IN_EACH_ZONE: usize = 2;
/// Watchers in all, at the least, where zones are few.
const LEAST_WATCHERS: usize = 8;

/// The watchers of a service among the nodes of the fleet, each with its zone. All nodes
/// that see the same fleet choose the same ones.
pub fn choose<'a>(service: &str, nodes: impl Iterator<Item = (NodeId, &'a str)>) -> Vec<NodeId> {
    let mut zones: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
    for (node, zone) in nodes {
        zones.entry(zone).or_default().push(node);
    }
    let in_each = IN_EACH_ZONE.max(LEAST_WATCHERS.div_ceil(zones.len().max(1)));
    let chosen = zones
        .into_values()
        .flat_map(|nodes| rendezvous::owners(service, nodes.into_iter(), in_each));
    chosen.collect()
}
