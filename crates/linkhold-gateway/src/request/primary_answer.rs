//! Checks that an answer is that of a service's current primary before it is relayed.

use std::time::Instant;

use linkhold_core::position::Position;
use linkhold_core::service::instance::Instance;

use crate::gateway::Gateway;
use crate::ports::{BackendReply, Platform};
use crate::request::attempt::AttemptOutcome;
use crate::request::batch::{TransactionFrame, Work};

/// Whether an instance's answer may be relayed as that of the primary. Its log must end
/// in the newest known term or a later one, and not before `proved`, the position that
/// its log was known to reach when the statement was sent. A commit is acknowledged only
/// while this node may acknowledge for the instance.
pub(crate) fn may_relay_answer<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    replies: &[BackendReply],
    proved: Option<Position>,
) -> bool {
    let position = replies.last().and_then(|reply| reply.position);
    record_commit(gateway, instance, work, position);
    let is_permitted = !work.may_commit()
        || gateway
            .cluster
            .may_acknowledge_for(instance, Instant::now());
    is_permitted
        && !gateway.detect_outdated_primary(instance, position)
        && !gateway.detect_lost_log(instance, position, proved)
}

/// Records a commit before the check whether it may be acknowledged: a node that agrees
/// to a replacement after that check reports the commit.
fn record_commit<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    position: Option<Position>,
) {
    if let Some(position) = position.filter(|_| work.may_commit()) {
        gateway
            .cluster
            .record_acknowledged(&instance.service, position);
    }
}

/// Whether only a primary may answer a statement: it writes, ends a transaction that may
/// have written, or must see everything that was acknowledged.
pub(crate) fn requires_primary<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    frame: TransactionFrame,
) -> bool {
    match frame {
        TransactionFrame::ProvingPrimary | TransactionFrame::Autocommit { fence: None } => true,
        TransactionFrame::Begin { read_only, .. } => !read_only,
        TransactionFrame::Autocommit { fence: Some(_) } => false,
        // Only read-only transactions are open on a replica.
        TransactionFrame::InTransaction => {
            work.may_commit() && !gateway.cluster.is_replica(instance)
        }
    }
}

/// Turns the answer to a commit into [`AttemptOutcome::Lost`] if this node knows that the
/// instance was replaced meanwhile. An owner that ran the commit for this node may not
/// know it yet.
pub(crate) fn withhold_if_replaced<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    frame: TransactionFrame,
    attempt: AttemptOutcome<P>,
) -> AttemptOutcome<P> {
    let is_answered = match &attempt {
        AttemptOutcome::Answered(answer) => {
            record_commit(gateway, instance, work, answer.reply.position);
            true
        }
        _ => false,
    };
    let commits = work.may_commit() && requires_primary(gateway, instance, work, frame);
    if is_answered && commits && gateway.cluster.is_replaced(instance) {
        return AttemptOutcome::Lost;
    }
    attempt
}
