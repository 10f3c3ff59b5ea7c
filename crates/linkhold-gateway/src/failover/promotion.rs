//! Replaces a primary that is lost, leaving or misplaced.

use std::sync::Arc;

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::permission::CONFIRMATION_VALIDITY;
use linkhold_events::Event;
use tokio::time::sleep_until;

use super::diagnosis::{Agreement, confirm_no_primary, confirm_not_replaced};
use super::lease::{Claim, claim};
use super::order::{Grounds, order};
use super::service_survey::{ServiceSurvey, find_primary, select_successor, survey_service};
use super::successor_choice::choose_after_agreement;
use super::switch_over::switch_over;
use super::{FailoverReason, is_diagnosis_current};
use crate::gateway::Gateway;
use crate::ports::Platform;

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
    match reason {
        FailoverReason::Leaving | FailoverReason::Misplaced => {
            let grounds = Grounds {
                reason,
                claim: claimed,
                agreement: None,
            };
            switch_over(gateway, &surveyed, &successor.status, grounds).await;
        }
        FailoverReason::Lost | FailoverReason::Unknown => {
            replace_unreached(gateway, &surveyed, reason, claimed, diagnosed).await;
        }
    }
}

/// Replaces a primary that cannot be asked to step down, once no node acknowledges its
/// commits any more.
async fn replace_unreached<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    surveyed: &ServiceSurvey,
    reason: FailoverReason,
    claimed: Claim,
    diagnosed: Option<&InstanceId>,
) {
    let service = &surveyed.service;
    let agreed = obtain_agreement(gateway, reason, surveyed, claimed).await;
    let Some((claim, agreement)) = agreed else {
        return;
    };
    let grounds = Grounds {
        reason,
        claim,
        agreement: Some(agreement),
    };
    let chosen = choose_after_agreement(gateway, surveyed, &grounds).await;
    if !is_diagnosis_current(gateway, service, diagnosed) {
        return grounds.give_up(gateway, service, "primary_changed").await;
    }
    let successor = match chosen {
        Ok(successor) => successor,
        Err(unsuitable) => return grounds.give_up(gateway, service, unsuitable.name()).await,
    };
    if let Some(grounds) = grounds.claim_for(gateway, service, &successor.id).await {
        order(gateway, service, &successor, grounds).await;
    }
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
