//! Which nodes hold the connections to an instance where there are too few for
//! all nodes.
//!
//! An instance bounds the connections of all callers together. Where an equal
//! part is of no use to a node, a few nodes near the instance, its owners, hold
//! what there is, and the others have their statements run by them. What stands
//! idle is then there for everybody, and a connection that was opened once
//! serves many nodes.
//!
//! # Invariants
//!
//! * All nodes that see the same fleet choose the same owners, without talking.
//! * While views differ, an owner too many holds what its share allows: owners
//!   share [`OWNED_PERCENT`] of the limit, and the instance refuses what goes
//!   beyond, which proves that nothing ran.

use std::time::Duration;

use crate::membership::NodeId;
use crate::rendezvous;
use crate::tenancy::TenantName;

use super::instance::InstanceId;

/// Owners of an instance, if so many nodes are near it.
pub const OWNERS_PER_INSTANCE: usize = 4;
/// Part of the limit that owners share, in percent. The rest is for questions
/// to instances and for nodes that find no owner.
const OWNED_PERCENT: usize = 85;
/// How long an owner keeps a connection that it does not use.
pub const OWNER_IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The owners of an instance among the nodes near it: the same in all its lives.
pub fn choose(instance: &InstanceId, nearby: impl Iterator<Item = NodeId>) -> Vec<NodeId> {
    rendezvous::owners(instance.name(), nearby, OWNERS_PER_INSTANCE)
}

/// The order in which a node asks the owners of an instance: spread over the
/// nodes, and for each node the same as long as the owners are.
pub fn preference(node: NodeId, owners: &[NodeId]) -> Vec<NodeId> {
    let duty = node.0.to_string();
    rendezvous::owners(&duty, owners.iter().copied(), owners.len())
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
