//! Whether what an instance answered may be told as the word of its service's primary.

use std::time::Instant;

use linkhold_core::position::Position;
use linkhold_core::service::instance::Instance;

use crate::gateway::Gateway;
use crate::ports::{BackendReply, Platform};
use crate::request::attempt::AttemptOutcome;
use crate::request::batch::{TransactionFrame, Work};

/// Whether what an instance answered as a primary may be told: its log ends in no older
/// term than is known and not before `proved`, up to which it was proved to reach when it
/// was asked, and a commit is acknowledged only while this node may speak for the instance.
pub(crate) fn may_relay_answer<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    replies: &[BackendReply],
    proved: Option<Position>,
) -> bool {
    let position = replies.last().and_then(|reply| reply.position);
    let is_permitted =
        !work.may_commit() || gateway.beliefs.may_speak_for(instance, Instant::now());
    is_permitted
        && !gateway.detect_outdated_primary(instance, position)
        && !gateway.detect_lost_log(instance, position, proved)
}

/// Whether a statement's answer is told as that of a primary: it writes or ends a
/// transaction that may have written, or must see all that was acknowledged.
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
        // On a replica nothing but reads can be open.
        TransactionFrame::InTransaction => {
            work.may_commit() && !gateway.beliefs.is_replica(instance)
        }
    }
}

/// A commit is not acknowledged if its instance has been replaced meanwhile, as far as
/// this node has heard; whoever ran it for this node may not have.
pub(crate) fn withhold_if_replaced<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    work: &Work,
    frame: TransactionFrame,
    attempt: AttemptOutcome<P>,
) -> AttemptOutcome<P> {
    let is_answered = matches!(attempt, AttemptOutcome::Answered(_));
    let commits = work.may_commit() && requires_primary(gateway, instance, work, frame);
    if is_answered && commits && gateway.beliefs.is_replaced(instance) {
        return AttemptOutcome::Lost;
    }
    attempt
}
