//! What the admission of tenants needs of the node around it.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use linkhold_core::tenancy::{QuotaRules, RateLimit};
use linkhold_peer::BudgetMessage;

use super::Quotas;

/// A node that may coordinate a tenant's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Coordinator {
    /// This node.
    Itself,
    /// Another one.
    Peer(SocketAddr),
}

/// The fleet and the network, as the admission of tenants sees them.
pub(crate) trait BudgetEnvironment: Send + Sync + 'static {
    /// What is kept of budgets.
    fn quotas(&self) -> &Quotas;
    /// How limits are counted.
    fn quota_rules(&self) -> Option<QuotaRules>;
    /// A tenant's limit by the configuration in force.
    fn limit(&self, tenant: &str) -> Option<RateLimit>;
    /// The first nodes in the order in which they coordinate a tenant's budget;
    /// none while the fleet is not known whole.
    fn coordinators(&self, tenant: &str) -> Vec<Coordinator>;
    /// How long ago the store was last heard of the fleet, by this node or by the
    /// reader that it follows.
    fn view_age(&self) -> Duration;
    /// How long this life of the node has lasted.
    fn life_time(&self) -> Duration;
    /// Sends a datagram to a node; it may be lost.
    fn send(&self, to: SocketAddr, message: BudgetMessage) -> impl Future<Output = ()> + Send;
    /// An operation was refused as over the quota, or for want of a coordinator.
    fn count_refusal(&self);
    /// A question was sent to another node.
    fn count_question(&self);
}
