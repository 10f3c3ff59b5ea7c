//! Makes sure that an instance which is believed to lead for its entry alone was not
//! replaced before this node knew of it.
//!
//! Before the first answer of such a primary is told, the instances of its service are asked
//! once for their terms, and what the store keeps of earlier promotions is looked at
//! ([`linkhold_core::service::lead`]).

use std::sync::Arc;

use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::lead::{self, LeadVerdict};
use linkhold_events::Event;

use crate::evidence::survey;
use crate::failover;
use crate::gateway::Gateway;
use crate::pool::CheckoutError;
use crate::ports::{BackendErrorKind, Platform};
use crate::request::attempt::{NotRunCause, checkout_failure_cause};
use crate::state::SilentRound;

/// Makes sure that `primary` leads, unless that is proved; an error tells why nothing may be
/// sent to it as one.
pub(crate) async fn prove<P: Platform>(
    gateway: &Gateway<P>,
    primary: &Arc<Instance>,
) -> Result<(), NotRunCause> {
    if !gateway.beliefs.needs_lead_proof(&primary.id) {
        return unless_denied(gateway, primary);
    }
    let turn = gateway.lead_proofs.turn(&primary.service);
    let mut last_silent = turn.lock().await;
    // Somebody else may have asked meanwhile.
    if !gateway.beliefs.needs_lead_proof(&primary.id) {
        return unless_denied(gateway, primary);
    }
    if gateway.lead_records.of(&primary.service).is_none() {
        // This node is not listed yet: it may speak for no primary anyway.
        return Err(NotRunCause::Refused(BackendErrorKind::Busy));
    }
    if let Some(cause) = last_silent.as_ref().and_then(SilentRound::present_cause) {
        return Err(cause);
    }
    let instances = gateway.beliefs.instances(&primary.service);
    let statuses = survey::statuses_by_any_way(gateway, &instances).await;
    for status in &statuses {
        gateway.beliefs.term_seen(&primary.service, status.term);
    }
    match judge(gateway, primary, &statuses).await {
        LeadVerdict::Leads => {
            gateway.beliefs.prove_lead(&primary.id);
            Ok(())
        }
        LeadVerdict::Silent => {
            let cause = look_at_silent(gateway, primary).await;
            *last_silent = Some(SilentRound::ended(cause));
            Err(cause)
        }
        verdict @ (LeadVerdict::Replaced(_) | LeadVerdict::Unknown) => {
            log_not_proved(primary, &statuses, verdict);
            gateway.record_primary_denial(primary);
            Err(NotRunCause::Refused(BackendErrorKind::ReadOnly))
        }
    }
}

fn unless_denied<P: Platform>(gateway: &Gateway<P>, primary: &Instance) -> Result<(), NotRunCause> {
    if gateway.beliefs.is_denied(&primary.id) {
        return Err(NotRunCause::Refused(BackendErrorKind::ReadOnly));
    }
    Ok(())
}

/// Judges an instance that says it leads by what the instances of its service told and by
/// what the store keeps, which is read again if it does not tell.
pub(crate) async fn judge<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    statuses: &[InstanceStatus],
) -> LeadVerdict {
    let service = &instance.service;
    if let Some(record) = gateway.lead_records.of(service) {
        let verdict = lead::judge(&instance.id, statuses, &record);
        if verdict != LeadVerdict::Unknown {
            return verdict;
        }
    }
    match failover::read_lead_record(gateway, service).await {
        Ok(record) => {
            let verdict = lead::judge(&instance.id, statuses, &record);
            gateway.lead_records.update(service, record);
            verdict
        }
        Err(_) => LeadVerdict::Unknown,
    }
}

/// Why nothing may be sent to an instance that tells no status: it may be busy.
async fn look_at_silent<P: Platform>(gateway: &Gateway<P>, primary: &Arc<Instance>) -> NotRunCause {
    if gateway.relays.is_relayed(&primary.id) {
        return NotRunCause::Unreachable;
    }
    match survey::begin(gateway, primary).await {
        Ok(reply) if reply.error() == Some(BackendErrorKind::ReadOnly) => {
            gateway.record_primary_denial(primary);
            NotRunCause::Refused(BackendErrorKind::ReadOnly)
        }
        Ok(_) => NotRunCause::Refused(BackendErrorKind::Busy),
        Err(error) => {
            let cause = checkout_failure_cause(gateway, primary, CheckoutError::Connect(error));
            if cause == NotRunCause::Unreachable {
                gateway.record_instance_failure(primary, "unreachable");
            }
            cause
        }
    }
}

fn log_not_proved(primary: &Instance, statuses: &[InstanceStatus], verdict: LeadVerdict) {
    let told: Vec<&InstanceId> = statuses.iter().map(|status| &status.id).collect();
    let told: Vec<String> = told.iter().map(ToString::to_string).collect();
    Event::warn("primary_outdated")
        .field("service", &primary.service)
        .field("instance", &primary.id)
        .field("verdict", format_args!("{verdict:?}"))
        .field("told_by", told.join(","))
        .log();
}
