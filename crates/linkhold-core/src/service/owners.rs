//! Which nodes hold the connections to an instance where there are too few for all
//! nodes.
//!
//! An instance limits the connections of all callers together. Where an equal share
//! would be too small to be useful, a few nodes near the instance, its owners, hold all
//! connections, and the other nodes have their statements run by the owners. Idle
//! connections are then available to every node, and a connection that was opened once
//! serves many nodes.
//!
//! # Invariants
//!
//! * All nodes that see the same fleet choose the same owners, without communicating.
//! * While views differ, an additional owner holds what its share allows: owners share
//!   [`OWNED_PERCENT`] of the limit, and the instance refuses what exceeds the limit,
//!   which proves that nothing ran.

use std::time::Duration;

use crate::membership::NodeId;
use crate::rendezvous;
use crate::tenancy::TenantName;

use super::instance::InstanceId;

/// Owners of an instance, if that many nodes are near it.
pub const OWNERS_PER_INSTANCE: usize = 4;
/// Part of the limit that owners share, in percent. The rest is for status questions to
/// instances and for nodes that find no owner.
const OWNED_PERCENT: usize = 85;
/// How long an owner keeps an idle connection.
pub const OWNER_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The owners of an instance among the nodes near it: the same for all its
/// incarnations.
pub fn choose(instance: &InstanceId, nearby: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
    rendezvous::owners(instance.name(), nearby, OWNERS_PER_INSTANCE)
}

/// The order in which a node asks the owners of an instance: spread over the nodes, and
/// the same for each node as long as the owners are.
pub fn preference(node: NodeId, owners: &[NodeId]) -> Vec<NodeId> {
    let key = node.0.to_string();
    rendezvous::owners(&key, owners.iter().copied(), owners.len())
}

/// The order in which all nodes ask the owners of an instance for connections of
/// a tenant.
pub fn tenant_preference(tenant: &TenantName, owners: &[NodeId]) -> Vec<NodeId> {
    rendezvous::owners(tenant, owners.iter().copied(), owners.len())
}

/// Connections that each of `owners` nodes may hold.
pub fn share(limit: usize, owners: usize) -> usize {
    (limit * OWNED_PERCENT / 100 / owners.max(1)).max(1)
}
