//! Assignment of duties to nodes by rendezvous hashing.
//!
//! Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
//! Rates", IEEE/ACM Transactions on Networking, 1998. Nodes that see the same
//! members make the same choice without communication, and a node that joins or
//! leaves moves only the duties it gains or loses.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::membership::NodeId;

/// The `count` nodes with the highest weights for `duty`, highest first.
pub fn owners(duty: &str, nodes: impl Iterator<Item = NodeId>, count: usize) -> Vec<NodeId> {
    let mut weighted: Vec<(u64, NodeId)> = nodes
        .map(|node| (xxh3_64_with_seed(duty.as_bytes(), node.0), node))
        .collect();
    weighted.sort_unstable_by(|first, second| second.cmp(first));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, node)| node).collect()
}
