//! The platform's service that carries out promotions.

use std::future::Future;
use std::time::Instant;

use linkhold_core::service::instance::InstanceId;

/// An order to promote an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromoteOrder {
    /// Name of the service.
    pub service: String,
    /// The instance to promote.
    pub successor: InstanceId,
    /// The node that holds the failover lease.
    pub holder: String,
    /// Fencing token of the lease.
    pub token: u64,
    /// The latest moment at which this node may send the order.
    pub send_by: Instant,
}

/// Answer to a promotion order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// The promotion is done or in progress.
    Accepted,
    /// The authority has seen a higher token, or the instance does not run.
    Refused,
    /// Too many orders; nothing was done.
    Throttled,
    /// The order was not sent by [`PromoteOrder::send_by`]; nothing was done.
    NotSent,
    /// No answer; the order may still be carried out.
    Unknown,
}

/// Carries out promotions.
pub trait FailoverAuthority: Send + Sync + 'static {
    /// Whether the authority refuses orders with an old token.
    fn checks_tokens(&self) -> bool;
    /// Orders a promotion. If the returned future is dropped before it completes, the
    /// order must not leave this node any more.
    fn promote(&self, order: &PromoteOrder) -> impl Future<Output = PromoteAnswer> + Send;
}
