//! How many connections to an instance one node may hold.
//!
//! An instance bounds the connections of all callers together. Each node takes
//! an equal part, less a reserve: connections of a node that lost power still
//! stand for some seconds while its next life opens new ones.

/// Limit assumed for a service whose limit is not known.
pub const UNKNOWN_LIMIT: usize = 20;
/// Part of the limit that is shared out, in percent.
const SHARED_PERCENT: usize = 85;

/// The share of one of `nodes` nodes in `limit` connections; at least one.
pub fn of_node(limit: usize, nodes: usize) -> usize {
    let shared = limit * SHARED_PERCENT / 100;
    (shared / nodes.max(1)).max(1)
}
