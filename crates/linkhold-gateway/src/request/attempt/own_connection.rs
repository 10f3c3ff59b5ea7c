//! Sends a statement on a connection of this node.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::eligibility::{Ineligible, StatementBinding};
use linkhold_core::service::session::TransactionStatus;
use linkhold_events::Event;

use super::outcome::{answered_outcome, broken_outcome};
use super::{AttemptOutcome, BeginReply, ConnectionOf, NotRunCause};
use crate::gateway::Gateway;
use crate::log_group;
use crate::pool::Lease;
use crate::ports::{BackendConnection, BackendErrorKind, Platform};
use crate::request::batch::{self, Batch, TransactionFrame, Work};
use crate::request::exchange::{ExchangeOutcome, exchange_commands};
use crate::request::primary_answer::{may_relay_answer, requires_primary};
use crate::request::principal::Principal;

/// Runs `work` on a leased connection of this node. All statements of callers are sent to
/// instances here, so the last check whether a statement may be sent is here as well.
pub(crate) async fn run_on_lease<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lease: Lease<ConnectionOf<P>>,
    principal: Principal<'_>,
    work: &Work,
    frame: TransactionFrame,
    answer_by: Instant,
) -> AttemptOutcome<P> {
    if is_withheld(gateway, &lease) {
        // This closes the connection, which undoes the open transaction.
        return AttemptOutcome::NotRun(NotRunCause::Unreachable);
    }
    if let Err(reason) = check_eligibility(gateway, &lease, principal) {
        return refuse_ineligible(work, &lease, reason);
    }
    let batch = batch::build(lease.pooled(), principal.values, work, frame);
    let mut begin = None;
    if !batch.setup.is_empty() {
        (lease, begin) = match prepare_connection(gateway, lease, &batch, answer_by).await {
            Ok(prepared) => prepared,
            Err(attempt) => return attempt,
        };
    }
    let opened_at = lease.opened_at();
    gateway
        .wait_for_warm_proof(lease.instance(), opened_at)
        .await;
    // The statement may have become ineligible while the connection was prepared.
    if let Err(reason) = check_eligibility(gateway, &lease, principal) {
        return refuse_ineligible(work, &lease, reason);
    }
    let is_urgent = work.may_commit() || frame == TransactionFrame::InTransaction;
    if let Err(after) = gateway.admit_to_instance(lease.instance(), opened_at, is_urgent) {
        return refuse_for_warm_up(lease, frame, after);
    }
    let needs_permission = requires_primary(gateway, lease.instance(), work, frame);
    let commits = needs_permission && work.may_commit();
    let service = lease.instance().service.clone();
    let record_by = answer_by.min(Instant::now() + log_group::RECORD_TIMEOUT);
    if commits && !log_group::wait_until_recorded(gateway, &service, record_by).await {
        // This closes the connection, which undoes an open transaction.
        return AttemptOutcome::NotRun(NotRunCause::Refused(BackendErrorKind::Busy));
    }
    let sent_at = Instant::now();
    // Without this check, nodes that a failover may not have taken into account
    // acknowledged 20 commits of the old primary during a network cut of 26 s.
    if needs_permission
        && !gateway
            .cluster
            .may_acknowledge_for(lease.instance(), sent_at)
    {
        return AttemptOutcome::NotRun(NotRunCause::Unreachable);
    }
    let proved = needs_permission.then(|| gateway.cluster.newest_position(&service));
    let outcome = exchange_commands(gateway, &mut lease, &batch.commands, answer_by).await;
    // An instance that appeared meanwhile may be one that the commit counts on.
    let is_answered = matches!(outcome, ExchangeOutcome::Answered(_));
    let is_recorded = !commits
        || !is_answered
        || log_group::wait_until_recorded(gateway, &service, answer_by).await;
    match outcome {
        ExchangeOutcome::Silent => {
            log_unanswered(work, &lease, sent_at, "silent");
            AttemptOutcome::TimedOut
        }
        ExchangeOutcome::Broken(error) => {
            log_unanswered(work, &lease, sent_at, "connection_lost");
            broken_outcome(lease, &error, batch.statement_index)
        }
        ExchangeOutcome::Answered(replies)
            if needs_permission
                && !may_relay_answer(
                    gateway,
                    lease.instance(),
                    work,
                    &replies,
                    proved.flatten(),
                ) =>
        {
            log_unanswered(work, &lease, sent_at, "primary_may_be_replaced");
            if work.may_commit() {
                AttemptOutcome::Lost
            } else {
                // A read keeps nothing, so it can run again on the current primary.
                AttemptOutcome::NotRun(NotRunCause::Refused(BackendErrorKind::ReadOnly))
            }
        }
        ExchangeOutcome::Answered(_) if !is_recorded => {
            log_unanswered(work, &lease, sent_at, "log_group_not_recorded");
            AttemptOutcome::Lost
        }
        ExchangeOutcome::Answered(replies) => {
            if frame == TransactionFrame::ProvingPrimary {
                begin = Some((sent_at, replies[0].clone()));
            }
            answered_outcome(
                gateway,
                lease,
                &replies,
                batch.statement_index,
                begin,
                sent_at,
            )
        }
    }
}

/// Brings a connection to the session's state and starts the transaction. The statement
/// is sent only after all of this was acknowledged.
async fn prepare_connection<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut lease: Lease<ConnectionOf<P>>,
    batch: &Batch,
    answer_by: Instant,
) -> Result<(Lease<ConnectionOf<P>>, Option<BeginReply>), AttemptOutcome<P>> {
    let sent_at = Instant::now();
    let replies = match exchange_commands(gateway, &mut lease, &batch.setup, answer_by).await {
        ExchangeOutcome::Answered(replies) => replies,
        ExchangeOutcome::Broken(_) | ExchangeOutcome::Silent => {
            return Err(AttemptOutcome::NotRun(NotRunCause::Unreachable));
        }
    };
    let Some(refused) = replies.iter().position(|reply| reply.error().is_some()) else {
        let begin = replies
            .into_iter()
            .next_back()
            .filter(|_| batch.begins_transaction);
        return Ok((lease, begin.map(|reply| (sent_at, reply))));
    };
    let kind = replies[refused].error().unwrap_or(BackendErrorKind::Ran);
    let instance = lease.instance().clone();
    let only_begin_failed = batch.begins_transaction && refused + 1 == batch.setup.len();
    if only_begin_failed {
        lease.pooled().needs_rollback = replies[refused].status != TransactionStatus::Idle;
        lease.release();
    } else {
        // The recorded state of the connection is wrong, so the connection is closed.
        drop(lease);
    }
    gateway.note_refusal(&instance, kind);
    Err(AttemptOutcome::NotRun(NotRunCause::Refused(kind)))
}

/// Checks whether a statement may be sent on a connection now.
fn check_eligibility<P: Platform>(
    gateway: &Gateway<P>,
    lease: &Lease<ConnectionOf<P>>,
    principal: Principal<'_>,
) -> Result<(), Ineligible> {
    if !lease.is_within(principal.regions) {
        return Err(Ineligible::OutsideRegions);
    }
    let cluster = &gateway.cluster;
    cluster.eligibility(lease.instance(), principal.regions, StatementBinding::Bound)
}

/// The outcome of a statement that may not be sent. The caller closes the connection,
/// which undoes the open transaction.
fn refuse_ineligible<P: Platform>(
    work: &Work,
    lease: &Lease<ConnectionOf<P>>,
    reason: Ineligible,
) -> AttemptOutcome<P> {
    Event::info("statement_ineligible")
        .field("request", String::from_utf8_lossy(work.id()))
        .field("instance", &lease.instance().id)
        .field("zone", &lease.instance().zone)
        .field("reason", reason)
        .log();
    AttemptOutcome::NotRun(NotRunCause::Ineligible(reason))
}

/// The outcome of a statement for which a cold instance has no allowance left. An open
/// transaction on the connection is undone.
fn refuse_for_warm_up<P: Platform>(
    mut lease: Lease<ConnectionOf<P>>,
    frame: TransactionFrame,
    after: Duration,
) -> AttemptOutcome<P> {
    match frame {
        // Closing the connection ends its transaction.
        TransactionFrame::InTransaction => drop(lease),
        TransactionFrame::Begin { .. } => {
            lease.pooled().needs_rollback = true;
            lease.release();
        }
        TransactionFrame::Autocommit { .. } | TransactionFrame::ProvingPrimary => lease.release(),
    }
    AttemptOutcome::NotRun(NotRunCause::WarmingUp(after))
}

/// Whether acknowledgements of the connection's instance are withheld, including those
/// that arrive through a peer.
fn is_withheld<P: Platform>(gateway: &Gateway<P>, lease: &Lease<ConnectionOf<P>>) -> bool {
    gateway.cluster.is_withheld(&lease.instance().id)
}

/// Logs a statement that was sent and got no complete answer.
fn log_unanswered<C: BackendConnection>(
    work: &Work,
    lease: &Lease<C>,
    sent_at: Instant,
    reason: &'static str,
) {
    Event::warn("statement_unanswered")
        .field("request", String::from_utf8_lossy(work.id()))
        .field("instance", &lease.instance().id)
        .field("reason", reason)
        .field("waited_ms", sent_at.elapsed().as_millis())
        .log();
}
