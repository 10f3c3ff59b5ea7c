//! What an instance's replies come to, and whether they prove that nothing ran.

use std::time::Instant;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::session::TransactionStatus;

use super::{Answer, AttemptOutcome, BeginReply, ConnectionOf, HeldConnection, NotRunCause};
use crate::gateway::Gateway;
use crate::pool::{CheckoutError, Lease};
use crate::ports::{BackendErrorKind, BackendReply, ConnectError, ExchangeError, Platform};

/// Why no connection was had. An instance that has none left lives: nobody is to
/// look whether it is lost, which would take yet more of its connections.
pub(crate) fn checkout_failure_cause<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    error: CheckoutError,
) -> NotRunCause {
    let is_full = match error {
        CheckoutError::Exhausted => return NotRunCause::NoConnection,
        CheckoutError::Connect(ConnectError::Rejected) => true,
        CheckoutError::Connect(ConnectError::Closed) => gateway.answered_lately(instance),
        CheckoutError::Connect(ConnectError::Unreachable | ConnectError::WrongInstance) => false,
    };
    if is_full {
        NotRunCause::Refused(BackendErrorKind::TooManyConnections)
    } else {
        NotRunCause::Unreachable
    }
}

/// What an instance's replies come to. The one at `statement_index` is the statement's own.
pub(super) fn answered_outcome<P: Platform>(
    gateway: &Gateway<P>,
    lease: Lease<ConnectionOf<P>>,
    replies: &[BackendReply],
    statement_index: usize,
    begin: Option<BeginReply>,
    sent_at: Instant,
) -> AttemptOutcome<P> {
    let status = replies[replies.len() - 1].status;
    let reply = replies[statement_index].clone();
    if let Some(kind) = refusal(begin.as_ref(), &reply) {
        return refused_outcome(gateway, lease, kind, status);
    }
    AttemptOutcome::Answered(Answer {
        reply,
        begin,
        held: HeldConnection::Own(lease),
        sent_at,
    })
}

/// What a connection that broke comes to, after the replies that came before.
pub(super) fn broken_outcome<P: Platform>(
    lease: Lease<ConnectionOf<P>>,
    error: &ExchangeError,
    statement_index: usize,
) -> AttemptOutcome<P> {
    drop(lease);
    // A refusal that came before the break still proves that nothing ran.
    let refusal = error
        .replies
        .get(statement_index)
        .and_then(BackendReply::error)
        .filter(|kind| proves_not_run(*kind));
    match refusal {
        Some(kind) => AttemptOutcome::NotRun(NotRunCause::Refused(kind)),
        None => AttemptOutcome::Lost,
    }
}

/// The refusal in an answer that proves that the statement did not run.
fn refusal(begin: Option<&BeginReply>, reply: &BackendReply) -> Option<BackendErrorKind> {
    let begin_refused = begin.and_then(|(_, reply)| reply.error());
    begin_refused.or_else(|| reply.error().filter(|kind| proves_not_run(*kind)))
}

/// Gives back the connection of a statement that was refused. `status` is the
/// connection's state after the last reply.
fn refused_outcome<P: Platform>(
    gateway: &Gateway<P>,
    mut lease: Lease<ConnectionOf<P>>,
    kind: BackendErrorKind,
    status: TransactionStatus,
) -> AttemptOutcome<P> {
    let instance = lease.instance().clone();
    lease.pooled().needs_rollback = status != TransactionStatus::Idle;
    if kind == BackendErrorKind::UnknownPrepared {
        // What was recorded as prepared is not there: do not use it again.
        drop(lease);
    } else {
        lease.release();
    }
    if kind == BackendErrorKind::Busy {
        gateway
            .pools
            .pool(&instance, &gateway.beliefs)
            .gate()
            .record_refusal();
    }
    gateway.note_refusal(&instance, kind);
    AttemptOutcome::NotRun(NotRunCause::Refused(kind))
}

/// Whether an error is a promise that the statement did not run.
fn proves_not_run(kind: BackendErrorKind) -> bool {
    match kind {
        BackendErrorKind::Busy
        | BackendErrorKind::Lagging
        | BackendErrorKind::ReadOnly
        | BackendErrorKind::WrongInstance
        | BackendErrorKind::TooManyConnections
        | BackendErrorKind::UnknownPrepared => true,
        BackendErrorKind::Aborted | BackendErrorKind::Ran => false,
    }
}
