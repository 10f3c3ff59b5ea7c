//! Verifies that an instance which is considered primary only because it announces that
//! role was not replaced before this node knew of it.
//!
//! Before the first answer of such a primary is passed on, the instances of its service
//! are asked once for their terms, and the store's record of earlier promotions is
//! checked ([`linkhold_core::service::primary_verification`]).

use std::sync::Arc;

use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::primary_verification::{self, PrimaryVerdict};
use linkhold_events::Event;

use crate::evidence::survey;
use crate::failover;
use crate::gateway::Gateway;
use crate::pool::CheckoutError;
use crate::ports::{BackendErrorKind, Platform};
use crate::request::attempt::{NotRunCause, checkout_failure_cause};
use crate::state::UnansweredVerification;

/// Verifies that `primary` was not replaced, unless that is verified already. The error
/// is the reason why nothing may be sent to it as a primary.
pub(crate) async fn verify_primary<P: Platform>(
    gateway: &Gateway<P>,
    primary: &Arc<Instance>,
) -> Result<(), NotRunCause> {
    if !gateway.cluster.needs_verification(&primary.id) {
        return reject_denied(gateway, primary);
    }
    let slot = gateway.primary_verifications.slot(&primary.service);
    let mut last_unanswered = slot.lock().await;
    // Another task may have verified it meanwhile.
    if !gateway.cluster.needs_verification(&primary.id) {
        return reject_denied(gateway, primary);
    }
    if gateway.promotion_records.of(&primary.service).is_none() {
        // This node is not listed yet, so it may not acknowledge for any primary.
        return Err(NotRunCause::Refused(BackendErrorKind::Busy));
    }
    if let Some(cause) = last_unanswered
        .as_ref()
        .and_then(UnansweredVerification::current_cause)
    {
        return Err(cause);
    }
    let instances = gateway.cluster.instances(&primary.service);
    let statuses = survey::statuses_direct_or_relayed(gateway, &instances).await;
    for status in &statuses {
        gateway.cluster.observe_term(&primary.service, status.term);
    }
    match determine_verdict(gateway, primary, &statuses).await {
        PrimaryVerdict::Leads => {
            gateway.cluster.mark_verified(&primary.id);
            Ok(())
        }
        PrimaryVerdict::Silent => {
            let cause = probe_unanswering(gateway, primary).await;
            *last_unanswered = Some(UnansweredVerification::ended(cause));
            Err(cause)
        }
        verdict @ (PrimaryVerdict::Replaced(_) | PrimaryVerdict::Unknown) => {
            log_not_verified(primary, &statuses, verdict);
            gateway.record_primary_denial(primary);
            Err(NotRunCause::Refused(BackendErrorKind::ReadOnly))
        }
    }
}

/// Refuses an instance whose announcement that it is primary is to be ignored.
fn reject_denied<P: Platform>(gateway: &Gateway<P>, primary: &Instance) -> Result<(), NotRunCause> {
    if gateway.cluster.is_denied(&primary.id) {
        return Err(NotRunCause::Refused(BackendErrorKind::ReadOnly));
    }
    Ok(())
}

/// Determines whether an instance that announces being primary was replaced, from the
/// statuses of its service's instances and the service's promotion record. Reads the
/// record from the store again if the known one does not decide.
pub(crate) async fn determine_verdict<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    statuses: &[InstanceStatus],
) -> PrimaryVerdict {
    let service = &instance.service;
    if let Some(record) = gateway.promotion_records.of(service) {
        let verdict = primary_verification::verify_primary(&instance.id, statuses, &record);
        if verdict != PrimaryVerdict::Unknown {
            return verdict;
        }
    }
    match failover::read_promotion_record(gateway, service).await {
        Ok(record) => {
            let verdict = primary_verification::verify_primary(&instance.id, statuses, &record);
            gateway.promotion_records.update(service, record);
            verdict
        }
        Err(_) => PrimaryVerdict::Unknown,
    }
}

/// Probes a primary that returned no status, which may only be busy; returns why
/// nothing may be sent to it.
async fn probe_unanswering<P: Platform>(
    gateway: &Gateway<P>,
    primary: &Arc<Instance>,
) -> NotRunCause {
    if gateway.relays.is_relayed(&primary.id) {
        return NotRunCause::Unreachable;
    }
    match survey::probe_write_transaction(gateway, primary).await {
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

fn log_not_verified(primary: &Instance, statuses: &[InstanceStatus], verdict: PrimaryVerdict) {
    let answered: Vec<&InstanceId> = statuses.iter().map(|status| &status.id).collect();
    let answered: Vec<String> = answered.iter().map(ToString::to_string).collect();
    Event::warn("primary_outdated")
        .field("service", &primary.service)
        .field("instance", &primary.id)
        .field("verdict", format_args!("{verdict:?}"))
        .field("told_by", answered.join(","))
        .log();
}
