//! The outcome of an attempt, and whether it proves that the statement did not run.

use std::time::Instant;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::session::TransactionStatus;

use super::{Answer, AttemptOutcome, BeginReply, ConnectionOf, HeldConnection, NotRunCause};
use crate::gateway::Gateway;
use crate::pool::{CheckoutError, Lease};
use crate::ports::{BackendErrorKind, BackendReply, ConnectError, ExchangeError, Platform};

/// Why a checkout failed. An instance that has no connection left is alive: it is not
/// reported as unreachable, since probing it would take more of its connections.
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

/// The outcome of complete replies. The reply at `statement_index` is the statement's.
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

/// The outcome of a connection that broke, given the replies that arrived before.
pub(super) fn broken_outcome<P: Platform>(
    lease: Lease<ConnectionOf<P>>,
    error: &ExchangeError,
    statement_index: usize,
) -> AttemptOutcome<P> {
    drop(lease);
    // A refusal that arrived before the break still proves that nothing ran.
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

/// The refusal that proves that the statement did not run; `None` if there is none.
fn refusal(begin: Option<&BeginReply>, reply: &BackendReply) -> Option<BackendErrorKind> {
    let begin_refused = begin.and_then(|(_, reply)| reply.error());
    begin_refused.or_else(|| reply.error().filter(|kind| proves_not_run(*kind)))
}

/// The outcome of a refusal. Gives the connection back; `status` is its state after the
/// last reply.
fn refused_outcome<P: Platform>(
    gateway: &Gateway<P>,
    mut lease: Lease<ConnectionOf<P>>,
    kind: BackendErrorKind,
    status: TransactionStatus,
) -> AttemptOutcome<P> {
    let instance = lease.instance().clone();
    lease.pooled().needs_rollback = status != TransactionStatus::Idle;
    if kind == BackendErrorKind::UnknownPrepared {
        // The recorded prepared statements do not exist on the instance: the
        // connection must not be used again.
        drop(lease);
    } else {
        lease.release();
    }
    if kind == BackendErrorKind::Busy {
        gateway
            .pools
            .pool(&instance, &gateway.cluster)
            .gate()
            .record_refusal();
    }
    gateway.note_refusal(&instance, kind);
    AttemptOutcome::NotRun(NotRunCause::Refused(kind))
}

/// Whether an error guarantees that the statement did not run.
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
