//! Replaces a primary: chooses the successor and hands over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::directory::PrimarySource;
use linkhold_core::service::failover::{self, FailoverLease, InstanceStatus, Successor};
use linkhold_core::service::instance::{Instance, InstanceId, Role};
use linkhold_core::service::lead::LeadVerdict;
use linkhold_core::service::permission::CONFIRMATION_LIFE;
use linkhold_events::Event;
use tokio::time::{sleep, sleep_until};

use super::diagnosis::{Agreement, confirm_none_leads, confirm_not_replaced, learn_leader};
use super::lease::{Claim, claim};
use super::order::{Grounds, OrderEnd, order};
use super::{Trouble, is_still_subject};
use crate::evidence::{lead_proof, survey};
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How long replicas may take to receive what a primary that stepped down had.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);
/// The same where the old primary stays: nothing it had is to be undone.
const MISPLACED_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between questions whether they have.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(15);

/// What was found out before a primary is replaced.
pub(super) struct Situation {
    pub(super) service: ServiceName,
    /// All instances but the old primary.
    pub(super) others: Vec<Arc<Instance>>,
    pub(super) statuses: Vec<InstanceStatus>,
    pub(super) old: Option<Arc<Instance>>,
}

pub(super) async fn replace<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    trouble: Trouble,
    subject: Option<&InstanceId>,
) {
    if !is_still_subject(gateway, service, subject) {
        return;
    }
    let situation = survey_service(gateway, service).await;
    if trouble == Trouble::Unknown && find_primary(gateway, &situation).await {
        return;
    }
    let Some(successor) = successor(gateway, service, trouble, &situation) else {
        return;
    };
    let Some(claimed) = claim(gateway, service, &successor.status.id).await else {
        return;
    };
    let grounds = |claim, agreement| Grounds {
        trouble,
        claim,
        agreement,
    };
    match trouble {
        Trouble::Leaving | Trouble::Misplaced => {
            let grounds = grounds(claimed, None);
            switch_over(gateway, &situation, &successor.status, grounds).await;
        }
        Trouble::Lost | Trouble::Unknown => {
            let agreed = agree(gateway, trouble, &situation, claimed).await;
            let Some((claimed, agreement)) = agreed else {
                return;
            };
            let grounds = grounds(claimed, Some(agreement));
            if !is_still_subject(gateway, service, subject) {
                return grounds.give_up(gateway, service, "primary_changed").await;
            }
            order(gateway, service, &successor.status, grounds).await;
        }
    }
}

/// Ends the term of a primary that still serves and has its successor lead; or has the old
/// one lead again if the successor cannot.
async fn switch_over<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    situation: &Situation,
    successor: &InstanceStatus,
    grounds: Grounds,
) {
    let (Some(old), Some(instance)) = (&situation.old, gateway.beliefs.instance(&successor.id))
    else {
        return;
    };
    let trouble = grounds.trouble;
    let Some(ended) = end_term(gateway, situation, old, successor, trouble).await else {
        return;
    };
    let service = &situation.service;
    let handed_over = grounds.claim.lease.clone();
    let caught_up = catch_up(gateway, &instance, successor, &ended, trouble).await;
    if !is_still_subject(gateway, service, Some(&old.id)) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    let end = match caught_up {
        Some(caught_up) => order(gateway, service, &caught_up, grounds).await,
        None => OrderEnd::NotCarriedOut,
    };
    if end == OrderEnd::NotCarriedOut {
        lead_again(gateway, old, &ended, &handed_over, trouble).await;
    }
}

/// Has an old primary lead again that stepped down for a successor which does not lead,
/// unless somebody else may have ordered a promotion since `handed_over` was claimed. A
/// service whose successor ended just then had no primary for 2.5 s, until the nodes had
/// agreed that none leads.
async fn lead_again<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    old: &Arc<Instance>,
    ended: &InstanceStatus,
    handed_over: &FailoverLease,
    trouble: Trouble,
) {
    let Some(present) = survey::status(gateway, old).await else {
        return;
    };
    // Its term is newer if somebody else has ordered a promotion since.
    if present.role == Role::Primary || present.term != ended.term {
        return;
    }
    let service = &old.service;
    let Some(claim) = claim(gateway, service, &old.id).await else {
        return;
    };
    // One that is cut off does not hear of a promotion, so its term does not tell.
    let leads_again = claim.lease.directly_follows(handed_over);
    Event::info("hand_over_undone")
        .field("service", service)
        .field("old", &old.id)
        .field("term", present.term)
        .field("token", claim.lease.token)
        .field("handed_over_under", handed_over.token)
        .field("leads_again", leads_again)
        .log();
    if !leads_again {
        return;
    }
    let grounds = Grounds {
        trouble,
        claim,
        agreement: None,
    };
    if !is_still_subject(gateway, service, None) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    order(gateway, service, &present, grounds).await;
}

/// Has all nodes agree, and those that cannot be asked stop; with the claim under which
/// they were asked last.
async fn agree<P: Platform>(
    gateway: &Gateway<P>,
    trouble: Trouble,
    situation: &Situation,
    claimed: Claim,
) -> Option<(Claim, Agreement)> {
    let service = &situation.service;
    let agreement = ask_everyone(gateway, trouble, situation).await?;
    if agreement.silent_former == 0 {
        return Some((claimed, agreement));
    }
    wait_for_silent_nodes(service, &agreement).await;
    agreement.release(gateway).await;
    // Whoever is listed from now on sees the claim, or is asked.
    let successor = claimed.lease.successor.as_ref()?;
    let claimed = claim(gateway, service, successor).await?;
    let agreement = ask_everyone(gateway, trouble, situation).await?;
    Some((claimed, agreement))
}

/// Has all nodes acknowledge nothing that the present primary commits, so that it may
/// be replaced; `None` if they do not agree.
async fn ask_everyone<P: Platform>(
    gateway: &Gateway<P>,
    trouble: Trouble,
    situation: &Situation,
) -> Option<Agreement> {
    match &situation.old {
        Some(primary) if trouble == Trouble::Lost => confirm_not_replaced(gateway, primary).await,
        // What was lost is no longer believed in: the others decide.
        _ => confirm_none_leads(gateway, situation).await,
    }
}

/// Waits until nodes that are no longer listed, and were not heard, have stopped to
/// speak for the primary: they may rely on what others confirmed before they agreed.
async fn wait_for_silent_nodes(service: &ServiceName, agreement: &Agreement) {
    Event::info("promotion_delayed")
        .field("service", service)
        .field("silent_former", agreement.silent_former)
        .field("for_ms", CONFIRMATION_LIFE.as_millis())
        .log();
    sleep_until((agreement.answered_at + CONFIRMATION_LIFE).into()).await;
}

async fn survey_service<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> Situation {
    let old = gateway.beliefs.primary(service);
    let others: Vec<Arc<Instance>> = gateway
        .beliefs
        .instances(service)
        .into_iter()
        .filter(|instance| old.as_ref().is_none_or(|old| old.id != instance.id))
        .collect();
    let statuses = survey::statuses(gateway, &others).await;
    for status in &statuses {
        gateway.beliefs.term_seen(service, status.term);
    }
    Situation {
        service: service.clone(),
        others,
        statuses,
        old,
    }
}

/// Finds an instance that says it is primary and was not replaced, by what is known here or,
/// if that does not tell, by what others know; whether one is believed now.
async fn find_primary<P: Platform>(gateway: &Gateway<P>, situation: &Situation) -> bool {
    let service = &situation.service;
    let Some(claimant) = claimant(gateway, service, &situation.statuses) else {
        return false;
    };
    let Some(instance) = gateway.beliefs.instance(&claimant.id) else {
        return false;
    };
    let verdict = lead_proof::judge(gateway, &instance, &situation.statuses).await;
    if verdict == LeadVerdict::Leads {
        gateway
            .beliefs
            .confirm_primary(&claimant.id, PrimarySource::Asked);
        return true;
    }
    learn_leader(gateway, service).await
}

/// An instance that says it is primary in the newest term that is known. Where several
/// announce that they lead, all have to tell their term: the one that is silent may be
/// the newest.
fn claimant<'a, P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    statuses: &'a [InstanceStatus],
) -> Option<&'a InstanceStatus> {
    let has_told = |id: &InstanceId| statuses.iter().any(|status| status.id == *id);
    let claimants = gateway.beliefs.claimants(service);
    if claimants.len() > 1 && !claimants.iter().all(has_told) {
        return None;
    }
    let newest = gateway.beliefs.newest_term(service)?;
    // One that started again holds nothing, and may say that it leads all the same.
    let proved = gateway.beliefs.newest_position(service);
    let holds_proved = |status: &&InstanceStatus| Some(status.received) >= proved;
    statuses
        .iter()
        .filter(holds_proved)
        .find(|status| status.role == Role::Primary && status.term >= newest)
}

/// The instance to promote, if enough is known to choose one.
fn successor<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    trouble: Trouble,
    situation: &Situation,
) -> Option<Successor> {
    let now = Instant::now();
    let synchronous = gateway
        .beliefs
        .limits(service)
        .map_or(0, |limits| limits.synchronous_replicas);
    let required = failover::statuses_required(situation.others.len(), synchronous);
    let evidence = newest_evidence(gateway, service);
    let candidates: Vec<Successor> = situation
        .statuses
        .iter()
        .filter(|status| failover::is_current(status, evidence))
        .map(|status| Successor {
            status: status.clone(),
            is_leaving: gateway.beliefs.is_leaving(&status.id, now),
            is_well_placed: is_well_placed(gateway, &status.id),
            is_warm: !gateway.beliefs.is_cold(&status.id),
        })
        // A primary that serves is replaced only by one that is to stay.
        .filter(|it| trouble != Trouble::Misplaced || it.is_well_placed && !it.is_leaving)
        .collect();
    let candidates = match trouble {
        Trouble::Leaving | Trouble::Misplaced => {
            failover::candidates_to_wait_for(candidates, synchronous)
        }
        Trouble::Unknown | Trouble::Lost => candidates,
    };
    let chosen = failover::choose_successor(&candidates, synchronous);
    if chosen.is_none() || situation.statuses.len() < required {
        Event::warn("no_successor")
            .field("service", service)
            .field("replicas", situation.others.len())
            .field("statuses", situation.statuses.len())
            .field("candidates", candidates.len())
            .field("required", required)
            .log();
        return None;
    }
    chosen.cloned()
}

/// Where a log has to end at least to lack nothing of a newer term than its own.
fn newest_evidence<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<Position> {
    let proved_term = gateway.beliefs.newest_proved_term(service);
    let start_of_term = proved_term.map(|term| Position { term, index: 0 });
    start_of_term.max(gateway.beliefs.newest_position(service))
}

fn is_well_placed<P: Platform>(gateway: &Gateway<P>, id: &InstanceId) -> bool {
    let instance = gateway.beliefs.instance(id);
    instance.is_some_and(|instance| gateway.beliefs.is_well_placed(&instance))
}

/// Whether an instance says that it leads, and nothing is known of a newer term.
fn leads_newest_term<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    status: &InstanceStatus,
) -> bool {
    let newest = gateway.beliefs.newest_term(&instance.service);
    status.role == Role::Primary && Some(status.term) >= newest
}

/// Ends the term of a primary that leaves, or is misplaced; what it says afterwards. `None`
/// if that is not possible yet.
async fn end_term<P: Platform>(
    gateway: &Gateway<P>,
    situation: &Situation,
    old: &Arc<Instance>,
    successor: &InstanceStatus,
    trouble: Trouble,
) -> Option<InstanceStatus> {
    let present = survey::status(gateway, old).await?;
    // A node that stood still during another's hand-over did it once more when it woke,
    // from the old primary's log: 3 to 5 commits of the new one were undone.
    if !gateway.beliefs.permission.holds() {
        return None;
    }
    if !leads_newest_term(gateway, old, &present) {
        gateway.record_primary_denial(old);
        return None;
    }
    // One that is misplaced does not end by itself: it waits for its successor.
    let leaving_for = match trouble {
        Trouble::Leaving => gateway.beliefs.leaving_for(&old.id, Instant::now())?,
        Trouble::Unknown | Trouble::Lost | Trouble::Misplaced => Duration::ZERO,
    };
    let drain = gateway.settings.drain;
    if !failover::may_hand_over(present.received, successor.received, leaving_for, drain) {
        Event::info("hand_over_postponed")
            .field("service", &situation.service)
            .field("position", present.received)
            .field("successor_position", successor.received)
            .log();
        return None;
    }
    let term = Term(successor.term.max(present.term).0 + 1);
    let ended = survey::step_down(gateway, old, term).await?;
    gateway.beliefs.deny_primary(&old.id);
    Some(ended)
}

/// Waits until a successor has everything that the old primary had, so that no commit is
/// rolled back; what it says then. `None` if it has not, and the old primary may as well
/// lead again.
async fn catch_up<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    successor: &InstanceStatus,
    ended: &InstanceStatus,
    trouble: Trouble,
) -> Option<InstanceStatus> {
    let limit = match trouble {
        Trouble::Misplaced => MISPLACED_CATCH_UP_TIMEOUT,
        Trouble::Unknown | Trouble::Lost | Trouble::Leaving => CATCH_UP_TIMEOUT,
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
    // A leaving one is replaced all the same: it may be gone before it could lead again.
    let undoes = trouble == Trouble::Misplaced && latest.received < ended.received;
    (!undoes).then_some(latest)
}
