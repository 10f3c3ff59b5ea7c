//! Stores the newest term in which each service's log was proved to end.
//!
//! A node that starts knows nothing of earlier promotions. From the claims of the lease
//! it learns of those that were ordered with the store. A promotion on a lease claimed
//! in advance, or one that the store lost when it was restored from an older copy, would
//! be forgotten once all nodes that saw it have ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::store_revision::Era;
use linkhold_events::Event;
use tokio::time::timeout;

use super::lease::record_proved_term;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often terms are retried that the store did not accept or has lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// A term, and the era of the store in which it is stored; `None` while it is not.
#[derive(Clone, Copy, Debug)]
struct ProvedTerm {
    term: Term,
    stored_in: Option<Era>,
}

/// Stores newer terms of the services for which this node is the recorder. Runs until
/// the process ends.
pub(crate) async fn update_promotion_records<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut known: BTreeMap<ServiceName, ProvedTerm> = BTreeMap::new();
    loop {
        for (service, term) in gateway.cluster.take_terms_to_store() {
            known.insert(
                service,
                ProvedTerm {
                    term,
                    stored_in: None,
                },
            );
        }
        for (service, proved) in &mut known {
            let era = gateway.store_era.latest();
            if proved.stored_in != Some(era) && is_recorder(&gateway, service) {
                proved.stored_in = record(&gateway, service, proved.term).await.then_some(era);
            }
        }
        // Checks again after a new term or a timeout alike.
        let _ = timeout(RETRY_INTERVAL, gateway.cluster.wait_for_term_to_store()).await;
    }
}

/// Whether this node records a service's terms: it is the first owner of its primary's
/// connections, which sees the log, or first in rank where every node has connections
/// of its own.
pub(crate) fn is_recorder<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> bool {
    let primary = gateway.cluster.primary(service);
    let owners = primary.and_then(|it| gateway.pools.designated_owners(&it, &gateway.cluster));
    match owners {
        Some(owners) => owners.rank() == Some(0),
        None => gateway.fleet.duty_rank(&gateway.settings.node, service) == 0,
    }
}

/// Stores a term; returns whether the store holds it or a newer one.
async fn record<P: Platform>(gateway: &Gateway<P>, service: &ServiceName, term: Term) -> bool {
    let stored = record_proved_term(gateway, service, term).await;
    Event::info("lead_recorded")
        .field("service", service)
        .field("term", term)
        .field("is_kept", stored == Ok(true))
        .log();
    stored == Ok(true)
}
