//! Who carries out promotions.

use std::future::Future;
use std::time::Instant;

use linkhold_core::service::instance::InstanceId;

/// An order to promote an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromoteOrder {
    /// The service.
    pub service: String,
    /// The instance to promote.
    pub successor: InstanceId,
    /// The node that holds the lease.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// The last moment at which it may leave this node.
    pub send_by: Instant,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// It is done or under way.
    Accepted,
    /// A higher token was seen, or the instance does not run.
    Refused,
    /// Too many orders; nothing was done.
    Throttled,
    /// It had not left when its time was over; nothing was done.
    NotSent,
    /// No answer; it may still be carried out.
    Unknown,
}

/// Who carries out promotions.
pub trait FailoverAuthority: Send + Sync + 'static {
    /// Whether orders with an old token are refused by the authority.
    fn checks_tokens(&self) -> bool;
    /// Orders a promotion. An order that is given up while its answer is waited for is
    /// to leave this node no more.
    fn promote(&self, order: &PromoteOrder) -> impl Future<Output = PromoteAnswer> + Send;
}
