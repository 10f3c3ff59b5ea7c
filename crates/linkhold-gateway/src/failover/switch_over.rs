//! Hands a primary's role over to a successor while the primary still serves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Term;
use linkhold_core::service::failover::{self, FailoverLease, InstanceStatus};
use linkhold_core::service::instance::{Instance, Role};
use linkhold_events::Event;
use tokio::time::sleep;

use super::lease::claim;
use super::order::{Grounds, OrderOutcome, order};
use super::service_survey::ServiceSurvey;
use super::{FailoverReason, is_diagnosis_current};
use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// Time that a successor may take to receive the log of a primary that stepped down.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// The same where the old primary is not leaving: none of its commits may be undone.
const MISPLACED_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between status requests to a successor that catches up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// Ends the term of a primary that still serves and promotes its successor, or restores
/// the old primary if the successor cannot be promoted.
pub(super) async fn switch_over<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    surveyed: &ServiceSurvey,
    successor: &InstanceStatus,
    grounds: Grounds,
) {
    let (Some(old), Some(instance)) = (&surveyed.old, gateway.cluster.instance(&successor.id))
    else {
        return;
    };
    let reason = grounds.reason;
    let Some(ended) = end_term(gateway, surveyed, old, successor, reason).await else {
        return;
    };
    let service = &surveyed.service;
    let handed_over = grounds.claim.lease.clone();
    let caught_up = catch_up(gateway, &instance, successor, &ended, reason).await;
    if !is_diagnosis_current(gateway, service, Some(&old.id)) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    let outcome = match caught_up {
        Some(caught_up) => order(gateway, service, &caught_up, grounds).await,
        None => OrderOutcome::NotCarriedOut,
    };
    if outcome == OrderOutcome::NotCarriedOut {
        restore_old_primary(gateway, old, &ended, &handed_over, reason).await;
    }
}

/// Promotes an old primary again that stepped down for a successor which was not
/// promoted, unless another node may have ordered a promotion since `handed_over` was
/// claimed. Without this, a service whose successor failed at that point had no primary
/// for 2.5 s, until the nodes had agreed that there is none.
async fn restore_old_primary<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    old: &Arc<Instance>,
    ended: &InstanceStatus,
    handed_over: &FailoverLease,
    reason: FailoverReason,
) {
    let Some(present) = survey::status(gateway, old).await else {
        return;
    };
    // Its term is newer if another node has ordered a promotion since.
    if present.role == Role::Primary || present.term != ended.term {
        return;
    }
    let service = &old.service;
    let Some(claim) = claim(gateway, service, &old.id).await else {
        return;
    };
    // An instance that is cut off does not learn of a promotion, so its term is not
    // enough.
    let may_restore = claim.lease.directly_follows(handed_over);
    Event::info("hand_over_undone")
        .field("service", service)
        .field("old", &old.id)
        .field("term", present.term)
        .field("token", claim.lease.token)
        .field("handed_over_under", handed_over.token)
        .field("leads_again", may_restore)
        .log();
    if !may_restore {
        return;
    }
    let grounds = Grounds {
        reason,
        claim,
        agreement: None,
    };
    if !is_diagnosis_current(gateway, service, None) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    order(gateway, service, &present, grounds).await;
}

/// Whether an instance reports being primary, and no newer term is known.
fn is_primary_of_newest_term<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    status: &InstanceStatus,
) -> bool {
    let newest = gateway.cluster.newest_term(&instance.service);
    status.role == Role::Primary && Some(status.term) >= newest
}

/// Ends the term of a primary that is leaving or misplaced; returns its status
/// afterwards, or `None` if its term cannot be ended yet.
async fn end_term<P: Platform>(
    gateway: &Gateway<P>,
    surveyed: &ServiceSurvey,
    old: &Arc<Instance>,
    successor: &InstanceStatus,
    reason: FailoverReason,
) -> Option<InstanceStatus> {
    let present = survey::status(gateway, old).await?;
    // A node that was paused during another node's hand-over repeated it on resuming,
    // from the old primary's log: 3 to 5 commits of the new primary were undone.
    if !gateway.cluster.permission.is_held() {
        return None;
    }
    if !is_primary_of_newest_term(gateway, old, &present) {
        gateway.record_primary_denial(old);
        return None;
    }
    // A misplaced primary does not leave by itself: it waits for its successor.
    let leaving_for = match reason {
        FailoverReason::Leaving => gateway.cluster.leaving_for(&old.id, Instant::now())?,
        FailoverReason::Unknown | FailoverReason::Lost | FailoverReason::Misplaced => {
            Duration::ZERO
        }
    };
    let drain = gateway.settings.drain;
    if !failover::may_hand_over(present.received, successor.received, leaving_for, drain) {
        Event::info("hand_over_postponed")
            .field("service", &surveyed.service)
            .field("position", present.received)
            .field("successor_position", successor.received)
            .log();
        return None;
    }
    let term = Term(successor.term.max(present.term).0 + 1);
    let ended = survey::step_down(gateway, old, term).await?;
    gateway.cluster.deny_primary(&old.id);
    Some(ended)
}

/// Waits until a successor has received the whole log of the old primary, so that no
/// commit is rolled back; returns its latest status. `None` if it has not caught up and
/// the old primary can be restored.
async fn catch_up<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    successor: &InstanceStatus,
    ended: &InstanceStatus,
    reason: FailoverReason,
) -> Option<InstanceStatus> {
    let limit = match reason {
        FailoverReason::Misplaced => MISPLACED_CATCH_UP_TIMEOUT,
        FailoverReason::Unknown | FailoverReason::Lost | FailoverReason::Leaving => {
            CATCH_UP_TIMEOUT
        }
    };
    let deadline = Instant::now() + limit;
    let mut latest = successor.clone();
    while latest.received < ended.received && Instant::now() < deadline {
        sleep(CATCH_UP_PAUSE).await;
        latest = survey::status(gateway, instance).await.unwrap_or(latest);
    }
    Event::info("primary_stepped_down")
        .field("service", &instance.service)
        .field("old", &ended.id)
        .field("position", ended.received)
        .field("successor", &successor.id)
        .field("successor_position", latest.received)
        .log();
    // A leaving primary is replaced all the same: it may be gone before it could be
    // restored.
    let would_lose_commits =
        reason == FailoverReason::Misplaced && latest.received < ended.received;
    (!would_lose_commits).then_some(latest)
}
