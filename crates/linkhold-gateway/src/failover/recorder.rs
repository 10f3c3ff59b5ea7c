//! Has the store keep in which term a service's log was proved to end.
//!
//! A node that starts knows nothing of earlier promotions. The lease's claims tell it of those
//! that were ordered with the store; a promotion on a lease held ready, or one that a store
//! lost when it came back from an older copy, is known to nobody once all nodes that saw it
//! have ended.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::store_place::Era;
use linkhold_events::Event;
use tokio::time::timeout;

use super::lease::record_proved_term;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often terms are looked at that the store did not take, or has lost.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// A term, and the era of the store that keeps it; `None` while none does.
#[derive(Clone, Copy, Debug)]
struct Risen {
    term: Term,
    kept_in: Option<Era>,
}

/// Has the store keep newer terms of the services whose duty this is. Runs until the process
/// ends.
pub(crate) async fn keep_lead_records<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut known: BTreeMap<ServiceName, Risen> = BTreeMap::new();
    loop {
        for (service, term) in gateway.beliefs.take_risen_terms() {
            known.insert(
                service,
                Risen {
                    term,
                    kept_in: None,
                },
            );
        }
        for (service, risen) in &mut known {
            let era = gateway.store_era.latest();
            if risen.kept_in != Some(era) && is_recorder(&gateway, service) {
                risen.kept_in = record(&gateway, service, risen.term).await.then_some(era);
            }
        }
        // Time passing is as good a reason to look again as a new term.
        let _ = timeout(RETRY_INTERVAL, gateway.beliefs.term_risen()).await;
    }
}

/// Whether this node is the one that has a service's terms kept: the first owner of its
/// primary's connections, which sees its log, or the first of all nodes where each has its
/// own.
fn is_recorder<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> bool {
    let primary = gateway.beliefs.primary(service);
    let owners = primary.and_then(|it| gateway.pools.owners_of(&it, &gateway.beliefs));
    match owners {
        Some(owners) => owners.rank() == Some(0),
        None => gateway.fleet.duty_rank(&gateway.settings.node, service) == 0,
    }
}

async fn record<P: Platform>(gateway: &Gateway<P>, service: &ServiceName, term: Term) -> bool {
    let kept = record_proved_term(gateway, service, term).await;
    Event::info("lead_recorded")
        .field("service", service)
        .field("term", term)
        .field("is_kept", kept == Ok(true))
        .log();
    kept == Ok(true)
}
