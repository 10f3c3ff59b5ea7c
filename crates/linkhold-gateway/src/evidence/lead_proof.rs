//! Makes sure that an instance which is believed to lead for its entry alone was not
//! replaced before this node knew of it.
//!
//! An entry tells a role and no term. A primary that was replaced while it was cut off
//! goes on saying that it leads, and nobody contradicts it while its successor is away. The
//! other instances of its service follow the successor's term, so they are asked once,
//! before the first answer of such a primary is told.

use linkhold_core::position::Term;
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::Instance;
use linkhold_events::Event;

use crate::evidence::survey;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// Asks the instances of a service for their terms, unless the lead of `primary` is proved.
/// One that follows an older term than another is not believed to lead any more.
pub(crate) async fn prove<P: Platform>(gateway: &Gateway<P>, primary: &Instance) {
    if !gateway.beliefs.needs_lead_proof(&primary.id) {
        return;
    }
    let turn = gateway.lead_proofs.turn(&primary.service);
    let _turn = turn.lock().await;
    // Somebody else may have asked meanwhile.
    if !gateway.beliefs.needs_lead_proof(&primary.id) {
        return;
    }
    let instances = gateway.beliefs.instances(&primary.service);
    let statuses = survey::statuses(gateway, &instances).await;
    for status in &statuses {
        gateway.beliefs.term_seen(&primary.service, status.term);
    }
    let own = statuses.iter().find(|status| status.id == primary.id);
    match own.and_then(|own| newer_term(&statuses, own.term)) {
        Some(term) => {
            Event::warn("primary_outdated")
                .field("service", &primary.service)
                .field("instance", &primary.id)
                .field("newest_term", term)
                .log();
            gateway.instance_denied_primary(primary);
        }
        None => gateway.beliefs.prove_lead(&primary.id),
    }
}

fn newer_term(statuses: &[InstanceStatus], own: Term) -> Option<Term> {
    let newest = statuses.iter().map(|status| status.term).max()?;
    (newest > own).then_some(newest)
}
