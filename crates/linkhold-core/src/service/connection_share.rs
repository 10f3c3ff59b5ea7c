//! How many connections to an instance one node may hold.
//!
//! An instance bounds the connections of all callers together. Each node takes
//! an equal part, less a reserve: connections of a node that lost power still
//! stand for some seconds while its next life opens new ones.

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
