//! Replaces a primary: chooses a successor, and hands over to it or promotes it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::{self, FailoverLease, InstanceStatus, Successor};
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::permission::CONFIRMATION_VALIDITY;
use linkhold_core::service::primary_verification::PrimaryVerdict;
use linkhold_events::Event;
use tokio::time::{sleep, sleep_until};

use super::diagnosis::{Agreement, confirm_no_primary, confirm_not_replaced, learn_primary};
use super::lease::{Claim, claim};
use super::order::{Grounds, OrderOutcome, order};
use super::{FailoverReason, is_diagnosis_current};
use crate::evidence::{primary_verification, survey};
use crate::gateway::Gateway;
use crate::ports::Platform;

/// Time that a successor may take to receive the log of a primary that stepped down.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// The same where the old primary is not leaving: none of its commits may be undone.
const MISPLACED_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between status requests to a successor that catches up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// Instances of a service and their statuses, as surveyed before its primary is
/// replaced.
pub(super) struct ServiceSurvey {
    pub(super) service: ServiceName,
    /// All instances except the old primary.
    pub(super) others: Vec<Arc<Instance>>,
    /// Statuses of those of `others` that answered.
    pub(super) statuses: Vec<InstanceStatus>,
    pub(super) old: Option<Arc<Instance>>,
}

/// Replaces the primary of a service for a reason, as long as `diagnosed` is still its
/// primary or it has none.
pub(super) async fn replace<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    reason: FailoverReason,
    diagnosed: Option<&InstanceId>,
) {
    if !is_diagnosis_current(gateway, service, diagnosed) {
        return;
    }
    let surveyed = survey_service(gateway, service).await;
    if reason == FailoverReason::Unknown && find_primary(gateway, &surveyed).await {
        return;
    }
    let Some(successor) = select_successor(gateway, service, reason, &surveyed) else {
        return;
    };
    let Some(claimed) = claim(gateway, service, &successor.status.id).await else {
        return;
    };
    let grounds = |claim, agreement| Grounds {
        reason,
        claim,
        agreement,
    };
    match reason {
        FailoverReason::Leaving | FailoverReason::Misplaced => {
            let grounds = grounds(claimed, None);
            switch_over(gateway, &surveyed, &successor.status, grounds).await;
        }
        FailoverReason::Lost | FailoverReason::Unknown => {
            let agreed = obtain_agreement(gateway, reason, &surveyed, claimed).await;
            let Some((claimed, agreement)) = agreed else {
                return;
            };
            let grounds = grounds(claimed, Some(agreement));
            if !is_diagnosis_current(gateway, service, diagnosed) {
                return grounds.give_up(gateway, service, "primary_changed").await;
            }
            order(gateway, service, &successor.status, grounds).await;
        }
    }
}

/// Ends the term of a primary that still serves and promotes its successor, or restores
/// the old primary if the successor cannot be promoted.
async fn switch_over<P: Platform>(
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

/// Obtains the agreement of all nodes, and waits until those that cannot be asked have
/// stopped acknowledging. Returns it with the claim under which the nodes were last
/// asked.
async fn obtain_agreement<P: Platform>(
    gateway: &Gateway<P>,
    reason: FailoverReason,
    surveyed: &ServiceSurvey,
    claimed: Claim,
) -> Option<(Claim, Agreement)> {
    let service = &surveyed.service;
    let agreement = ask_all_nodes(gateway, reason, surveyed).await?;
    if agreement.silent_former == 0 {
        return Some((claimed, agreement));
    }
    wait_for_silent_nodes(service, &agreement).await;
    agreement.release(gateway).await;
    // A node that is listed from now on reads the new claim, or is asked to agree.
    let successor = claimed.lease.successor.as_ref()?;
    let claimed = claim(gateway, service, successor).await?;
    let agreement = ask_all_nodes(gateway, reason, surveyed).await?;
    Some((claimed, agreement))
}

/// Asks all nodes to stop acknowledging for the present primary, so that it may be
/// replaced; `None` if they do not agree.
async fn ask_all_nodes<P: Platform>(
    gateway: &Gateway<P>,
    reason: FailoverReason,
    surveyed: &ServiceSurvey,
) -> Option<Agreement> {
    match &surveyed.old {
        Some(primary) if reason == FailoverReason::Lost => {
            confirm_not_replaced(gateway, primary).await
        }
        // The lost primary is no longer the known one: the others decide.
        _ => confirm_no_primary(gateway, surveyed).await,
    }
}

/// Waits until nodes that are no longer listed and did not answer have stopped
/// acknowledging for the primary: they may rely on confirmations that others gave
/// before they agreed.
async fn wait_for_silent_nodes(service: &ServiceName, agreement: &Agreement) {
    Event::info("promotion_delayed")
        .field("service", service)
        .field("silent_former", agreement.silent_former)
        .field("for_ms", CONFIRMATION_VALIDITY.as_millis())
        .log();
    sleep_until((agreement.answered_at + CONFIRMATION_VALIDITY).into()).await;
}

/// Asks all instances of a service but its primary for their statuses.
async fn survey_service<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> ServiceSurvey {
    let old = gateway.cluster.primary(service);
    let others: Vec<Arc<Instance>> = gateway
        .cluster
        .instances(service)
        .into_iter()
        .filter(|instance| old.as_ref().is_none_or(|old| old.id != instance.id))
        .collect();
    let statuses = survey::statuses(gateway, &others).await;
    for status in &statuses {
        gateway.cluster.observe_term(service, status.term);
    }
    ServiceSurvey {
        service: service.clone(),
        others,
        statuses,
        old,
    }
}

/// Looks for an instance that reports being primary and was not replaced, as far as
/// this node can verify, or else for one that other nodes name. Returns whether a
/// primary is known now.
async fn find_primary<P: Platform>(gateway: &Gateway<P>, surveyed: &ServiceSurvey) -> bool {
    let service = &surveyed.service;
    let Some(claimant) = newest_claimant(gateway, service, &surveyed.statuses) else {
        return false;
    };
    let Some(instance) = gateway.cluster.instance(&claimant.id) else {
        return false;
    };
    let verdict =
        primary_verification::determine_verdict(gateway, &instance, &surveyed.statuses).await;
    if verdict == PrimaryVerdict::Leads {
        gateway
            .cluster
            .confirm_primary(&claimant.id, PrimarySource::Asked);
        return true;
    }
    learn_primary(gateway, service).await
}

/// An instance that reports being primary in the newest known term. Where several
/// announce the role, all of them have to report their terms: one that does not answer
/// may be the newest.
fn newest_claimant<'a, P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    statuses: &'a [InstanceStatus],
) -> Option<&'a InstanceStatus> {
    let has_answered = |id: &InstanceId| statuses.iter().any(|status| status.id == *id);
    let claimants = gateway.cluster.claimants(service);
    if claimants.len() > 1 && !claimants.iter().all(has_answered) {
        return None;
    }
    let newest = gateway.cluster.newest_term(service)?;
    // An instance that has restarted holds nothing, but may still report being primary.
    let proved = gateway.cluster.newest_position(service);
    let holds_proved = |status: &&InstanceStatus| Some(status.received) >= proved;
    statuses
        .iter()
        .filter(holds_proved)
        .find(|status| status.role == Role::Primary && status.term >= newest)
}

/// The instance to promote; `None` if too few statuses are known to choose one.
fn select_successor<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    reason: FailoverReason,
    surveyed: &ServiceSurvey,
) -> Option<Successor> {
    let now = Instant::now();
    let synchronous = gateway
        .cluster
        .limits(service)
        .map_or(0, |limits| limits.synchronous_replicas);
    let required = failover::statuses_required(surveyed.others.len(), synchronous);
    let evidence = newest_evidence(gateway, service);
    let candidates: Vec<Successor> = surveyed
        .statuses
        .iter()
        .filter(|status| failover::has_current_term(status, evidence))
        .map(|status| Successor {
            status: status.clone(),
            is_leaving: gateway.cluster.is_leaving(&status.id, now),
            is_in_primary_region: is_well_placed(gateway, &status.id),
            is_warm: !gateway.cluster.is_cold(&status.id),
        })
        // A misplaced primary still serves: its successor must be well placed and not
        // leaving.
        .filter(|it| {
            reason != FailoverReason::Misplaced || it.is_in_primary_region && !it.is_leaving
        })
        .collect();
    let candidates = match reason {
        FailoverReason::Leaving | FailoverReason::Misplaced => {
            failover::switchover_candidates(candidates, synchronous)
        }
        FailoverReason::Unknown | FailoverReason::Lost => candidates,
    };
    let chosen = failover::choose_successor(&candidates, synchronous);
    if chosen.is_none() || surveyed.statuses.len() < required {
        Event::warn("no_successor")
            .field("service", service)
            .field("replicas", surveyed.others.len())
            .field("statuses", surveyed.statuses.len())
            .field("candidates", candidates.len())
            .field("required", required)
            .log();
        return None;
    }
    chosen.cloned()
}

/// The lowest position at which a log lacks nothing that is proved, nor the newest
/// proved term.
fn newest_evidence<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<Position> {
    let proved_term = gateway.cluster.newest_proved_term(service);
    let start_of_term = proved_term.map(|term| Position { term, index: 0 });
    start_of_term.max(gateway.cluster.newest_position(service))
}

fn is_well_placed<P: Platform>(gateway: &Gateway<P>, id: &InstanceId) -> bool {
    let instance = gateway.cluster.instance(id);
    instance.is_some_and(|instance| gateway.cluster.is_well_placed(&instance))
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
