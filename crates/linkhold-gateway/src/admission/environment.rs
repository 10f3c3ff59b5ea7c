//! What the admission of tenants requires from its node.

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
    /// Another node.
    Peer(SocketAddr),
}

/// The fleet, the network and the configuration that the admission of tenants uses.
pub(crate) trait BudgetEnvironment: Send + Sync + 'static {
    /// The budgets of this node.
    fn quotas(&self) -> &Quotas;
    /// How limits are counted; `None` if they are not enforced.
    fn quota_rules(&self) -> Option<QuotaRules>;
    /// A tenant's limit by the configuration in force; `None` if it has none.
    fn limit(&self, tenant: &str) -> Option<RateLimit>;
    /// The first nodes in the order in which they coordinate a tenant's budget; empty
    /// while the fleet is not completely known.
    fn coordinators(&self, tenant: &str) -> Vec<Coordinator>;
    /// How long ago the fleet was last read from the store, by this node or by the
    /// reader that it follows.
    fn view_age(&self) -> Duration;
    /// How long this process has run.
    fn uptime(&self) -> Duration;
    /// Sends a datagram to a node; it may be lost.
    fn send(&self, to: SocketAddr, message: BudgetMessage) -> impl Future<Output = ()> + Send;
    /// Counts an operation that was refused because its tenant was over the quota or no
    /// coordinator answered.
    fn count_refusal(&self);
    /// Counts a question that was sent to another node.
    fn count_question(&self);
}
