//! How many connections to an instance one node may hold.
//!
//! An instance bounds the connections of all callers together. Each node takes
//! an equal part, less a reserve: connections of a node that lost power still
//! stand for some seconds while its next life opens new ones.
//!
//! Where nodes are so many that equal parts are of no use, the nodes near an
//! instance keep one each ([`kept_ready`]) and open others when needed.

use std::time::Duration;

use super::instance::InstanceId;
use crate::membership::NodeId;
use crate::rendezvous;

/// Connections below which a fair share is of no use: a transaction holds one
/// for as long as its caller thinks.
const LEAST_USEFUL: usize = 2;
/// Connections that a node may hold at a time where fair shares are of no use.
const CROWDED_CONNECTIONS: usize = 3;
/// How long such a node keeps a connection that it does not use: the fewer
/// stand idle, the more nodes get one.
pub const CROWDED_IDLE: Duration = Duration::from_millis(50);

/// Connections to an instance that a node keeps ready where fair shares are of
/// no use. `nearby` nodes are in the instance's region, the node among them;
/// 0 where they are not counted.
///
/// A replica serves its neighbours' reads: they keep what is shared out, one
/// connection each, or one in as many of them as there are connections. Half
/// of that at a primary, where nodes of all regions open connections for their
/// writes as well.
pub fn kept_ready(
    limit: usize,
    nearby: usize,
    is_primary: bool,
    node: NodeId,
    instance: &InstanceId,
) -> usize {
    let kept = if is_primary {
        shared(limit) / 2
    } else {
        shared(limit)
    };
    let is_holder = nearby > 0 && rendezvous::is_chosen(&instance.0, node, kept, nearby);
    usize::from(is_holder)
}

/// Whether so many nodes share a limit that connections cannot be held ready.
/// They are then opened when needed and closed soon after; an instance that
/// has none left refuses, which proves that nothing ran.
pub fn is_crowded(limit: usize, nodes: usize) -> bool {
    shared(limit) / nodes.max(1) < LEAST_USEFUL
}

/// Connections that a node may hold to an instance at a time.
pub fn most_at_a_time(limit: usize, nodes: usize, has_just_started: bool) -> usize {
    if is_crowded(limit, nodes) {
        CROWDED_CONNECTIONS.min(limit)
    } else if has_just_started {
        of_starting_node(limit, nodes)
    } else {
        of_node(limit, nodes)
    }
}

/// Limit assumed for a service whose limit is not known.
pub const UNKNOWN_LIMIT: usize = 20;
/// Part of the limit that is shared out, in percent.
const SHARED_PERCENT: usize = 60;

/// The share of one of `nodes` nodes in `limit` connections; at least one.
pub fn of_node(limit: usize, nodes: usize) -> usize {
    (shared(limit) / nodes.max(1)).max(1)
}

/// The share of a node that has just started, while connections of its last
/// life may still stand: its part of what is not shared out, at least one. A
/// fleet that lost power as a whole stays within the limit.
pub fn of_starting_node(limit: usize, nodes: usize) -> usize {
    let nodes = nodes.max(1);
    let reserve = limit.saturating_sub(of_node(limit, nodes) * nodes);
    (reserve / nodes).clamp(1, of_node(limit, nodes))
}

fn shared(limit: usize) -> usize {
    limit * SHARED_PERCENT / 100
}
