//! One attempt to run a statement on one instance.
//!
//! This module chooses between a connection of this node and one of an owner.
//! [`own_connection`] sends the statement on a connection of this node; [`outcome`]
//! classifies the replies.

mod held;
mod outcome;
mod own_connection;

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::eligibility::Ineligible;
use linkhold_core::service::instance::Instance;

use crate::evidence::primary_verification;
use crate::forward;
use crate::gate::Urgency;
use crate::gateway::Gateway;
use crate::ports::{BackendErrorKind, BackendReply, Platform};
use crate::request::batch::{TransactionFrame, Work};
use crate::request::primary_answer::{requires_primary, withhold_if_replaced};
use crate::request::principal::Principal;

pub(crate) use held::{ConnectionOf, HeldConnection, finish_lease};
pub(crate) use outcome::checkout_failure_cause;
pub(crate) use own_connection::run_on_lease;

/// Limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits {
    /// Rank in the queue for a connection.
    pub urgency: Urgency,
    /// Until when the attempt may wait for a connection.
    pub connection_by: Instant,
    /// Until when the answer must have arrived.
    pub answer_by: Instant,
}

/// How an attempt ended.
pub(crate) enum AttemptOutcome<P: Platform> {
    /// The instance answered the statement.
    Answered(Answer<P>),
    /// The statement did not run; the connection may have been given back.
    NotRun(NotRunCause),
    /// The connection broke after the statement was sent.
    Lost,
    /// No answer came in time; the connection is closed.
    TimedOut,
}

/// When a transaction's start was sent, and the reply to it.
pub(crate) type BeginReply = (Instant, BackendReply);

/// An instance's answer and the connection on which it arrived.
pub(crate) struct Answer<P: Platform> {
    pub reply: BackendReply,
    /// The reply to the start of the transaction, if the attempt started one.
    pub begin: Option<BeginReply>,
    pub held: HeldConnection<P>,
    /// A time just before the batch was sent.
    pub sent_at: Instant,
}

/// Why a statement certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotRunCause {
    /// No connection was free in time.
    NoConnection,
    /// The instance could not be reached.
    Unreachable,
    /// The instance refused it.
    Refused(BackendErrorKind),
    /// The statement may not be sent to the instance.
    Ineligible(Ineligible),
    /// The instance may be cold and accepts more statements after this time.
    WarmingUp(Duration),
}

/// Runs `work` on `instance`: on a connection of this node or, if only a few nodes own
/// the connections to the instance, on a connection of an owner.
pub(crate) async fn run<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    instance: &Arc<Instance>,
    principal: Principal<'_>,
    work: &Work,
    frame: TransactionFrame,
    limits: AttemptLimits,
) -> AttemptOutcome<P> {
    let now = Instant::now();
    gateway
        .cluster
        .update_health(&instance.id, |health| health.begin_trial(now));
    if let Some(owners) = gateway.pools.designated_owners(instance, &gateway.cluster) {
        let asked = if gateway.cluster.is_cold(&instance.id) {
            owners.permitted_senders(&principal)
        } else {
            owners.permitted(&principal)
        };
        let attempt = forward::run(gateway, &asked, instance, principal, work, frame, limits).await;
        if let Some(attempt) = attempt {
            if is_verified_by_owner(gateway, instance, work, frame, &attempt) {
                gateway.cluster.mark_verified(&instance.id);
            }
            return withhold_if_replaced(gateway, instance, work, frame, attempt);
        }
    }
    let attempt = run_locally(gateway, instance, principal, work, frame, limits).await;
    withhold_if_replaced(gateway, instance, work, frame, attempt)
}

/// Whether an owner ran `work` on an instance as a primary, which verifies the primary.
fn is_verified_by_owner<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    frame: TransactionFrame,
    attempt: &AttemptOutcome<P>,
) -> bool {
    let is_answered = matches!(attempt, AttemptOutcome::Answered(_));
    is_answered && requires_primary(gateway, instance, work, frame)
}

/// Runs `work` on a connection of this node.
pub(crate) async fn run_locally<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    instance: &Arc<Instance>,
    principal: Principal<'_>,
    work: &Work,
    frame: TransactionFrame,
    limits: AttemptLimits,
) -> AttemptOutcome<P> {
    if gateway
        .relays
        .has_no_permitted_peer(&instance.id, principal.regions)
    {
        return AttemptOutcome::NotRun(NotRunCause::Unreachable);
    }
    if requires_primary(gateway, instance, work, frame)
        && let Err(cause) = primary_verification::verify_primary(gateway, instance).await
    {
        return AttemptOutcome::NotRun(cause);
    }
    let pool = gateway.pools.pool(instance, &gateway.cluster);
    let permit = pool
        .gate()
        .acquire(limits.urgency, limits.connection_by)
        .await;
    let Some(_permit) = permit else {
        return AttemptOutcome::NotRun(NotRunCause::NoConnection);
    };
    let checkout = pool
        .checkout(
            gateway,
            principal,
            limits.urgency,
            limits.connection_by.into(),
        )
        .await;
    let lease = match checkout {
        Ok(lease) => lease,
        Err(error) => {
            return AttemptOutcome::NotRun(outcome::checkout_failure_cause(
                gateway, instance, error,
            ));
        }
    };
    run_on_lease(gateway, lease, principal, work, frame, limits.answer_by).await
}

/// Runs `work` in the open transaction of a held connection.
pub(crate) async fn run_on_held<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    held: HeldConnection<P>,
    principal: Principal<'_>,
    work: &Work,
    answer_by: Instant,
) -> AttemptOutcome<P> {
    let frame = TransactionFrame::InTransaction;
    let needs_permission = requires_primary(gateway, held.instance(), work, frame);
    if needs_permission && gateway.cluster.is_replaced(held.instance()) {
        // This closes the connection, which undoes the open transaction.
        drop(held);
        return AttemptOutcome::NotRun(NotRunCause::Unreachable);
    }
    let instance = held.instance().clone();
    let attempt = match held {
        HeldConnection::Own(lease) => {
            let opened_at = lease.opened_at();
            gateway
                .wait_for_warm_up_allowance(lease.instance(), opened_at, answer_by)
                .await;
            let _permit = lease.gate().acquire_immediately();
            run_on_lease(gateway, lease, principal, work, frame, answer_by).await
        }
        HeldConnection::Lent(lent) => {
            forward::run_in_transaction(gateway, lent, principal, work, answer_by).await
        }
    };
    withhold_if_replaced(gateway, &instance, work, frame, attempt)
}
