//! Which nodes watch the primary of a service in a large fleet.
//!
//! An instance accepts a few hundred connections. If every node that doubts a primary,
//! and every node that is asked about it, connected to it to find out, a fleet of some
//! hundred nodes would use them up; rejected nodes would take the primary for lost and
//! ask in turn, so that the demand would grow with the square of the fleet. So a few
//! nodes in each zone watch a service. Only they probe its instances when a node asks,
//! and replace its primary; all others answer from what they know, and learn from them.

use std::collections::BTreeMap;

use crate::membership::NodeId;
use crate::rendezvous;

/// Largest fleet in which every node watches every service: few enough to connect at
/// once to an instance with the smallest connection limit on offer.
pub const MAX_FLEET_ALL_WATCH: usize = 24;
/// Watchers in each zone: if one is lost or frozen, another is left.
const WATCHERS_PER_ZONE: usize = 2;
/// Minimum number of watchers in all, for fleets with few zones.
const MIN_WATCHERS: usize = 8;

/// The watchers of a service among the nodes of the fleet, each with its zone. All
/// nodes that see the same fleet choose the same watchers.
pub fn choose<'a>(service: &str, nodes: impl Iterator<Item = (NodeId, &'a str)>) -> Vec<NodeId> {
    let mut zones: BTreeMap<&str, Vec<NodeId>> = BTreeMap::new();
    for (node, zone) in nodes {
        zones.entry(zone).or_default().push(node);
    }
    let per_zone = WATCHERS_PER_ZONE.max(MIN_WATCHERS.div_ceil(zones.len().max(1)));
    let chosen = zones
        .into_values()
        .flat_map(|nodes| rendezvous::owners(service, nodes.into_iter(), per_zone));
    chosen.collect()
}
