//! Looks after primaries: finds out who is primary, and replaces one that is
//! lost or leaving.
//!
//! Every node looks at a primary when its own traffic makes it suspect, or when
//! another node asks. Which of them acts is settled by a lease in the metadata
//! store; the rendezvous rank of a node only spreads their tries.

mod diagnosis;
mod lease;
mod misplaced;
mod order;
mod promotion;
mod ready_leases;
mod recorder;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::instance::InstanceId;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::relay;

use diagnosis::{diagnose, learn_leader};
use misplaced::MisplacedPrimaries;
use promotion::replace;

pub(crate) use lease::{read_lead_record, recent_claims};
pub(crate) use ready_leases::hold_leases_ready;
pub(crate) use recorder::keep_lead_records;

/// How often primaries that leave are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);
/// Time between the tries of nodes of consecutive rank.
const RANK_INTERVAL: Duration = Duration::from_millis(90);
/// Longest delay that a rank causes.
const LONGEST_RANK_DELAY: Duration = Duration::from_millis(700);
/// Pause before a primary that turned out reachable is looked at again.
const CALM_PAUSE: Duration = Duration::from_millis(250);
/// First pause before the watchers of a service are asked who leads it: a replacement takes
/// about as long.
const FIRST_LEARNING_PAUSE: Duration = Duration::from_millis(500);
/// Longest of these pauses, which double: a thousand nodes ask a service's twelve watchers
/// 250 times a second then.
const LONGEST_LEARNING_PAUSE: Duration = Duration::from_millis(8_000);
/// Pause after a try that led to nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Starts a look at each service that needs one; one at a time for a service.
/// Runs until the process ends.
pub(crate) async fn watch_primaries<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut busy: HashSet<ServiceName> = HashSet::new();
    let mut misplaced = MisplacedPrimaries::default();
    let (finished, mut finishes) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            () = gateway.suspected_primaries.changed() => {}
            () = sleep(LOOK_INTERVAL) => {}
            Some(service) = finishes.recv() => {
                busy.remove(&service);
            }
        }
        relay::try_direct_ways(&gateway);
        let mut services = gateway.suspected_primaries.take();
        services.extend(services_with_leaving_primary(&gateway));
        services.extend(misplaced.due(&gateway));
        for service in services {
            if !busy.insert(service.clone()) {
                continue;
            }
            let gateway = gateway.clone();
            let finished = finished.clone();
            tokio::spawn(async move {
                look_after(&gateway, &service).await;
                // The receiver lives as long as the process.
                let _ = finished.send(service);
            });
        }
    }
}

fn services_with_leaving_primary<P: Platform>(gateway: &Gateway<P>) -> Vec<ServiceName> {
    let now = Instant::now();
    gateway.beliefs.services_without_lasting_primary(now)
}

/// What is wrong with a service's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Nobody is known to be primary.
    Unknown,
    /// It is not reached by most nodes.
    Lost,
    /// It is leaving and still serves.
    Leaving,
    /// It serves, and stands where a primary of its service should not.
    Misplaced,
}

/// Looks at a service's primary and replaces it if that is needed.
async fn look_after<P: Platform>(gateway: &Arc<Gateway<P>>, service: &ServiceName) {
    loop {
        if gateway.is_leaving() {
            return;
        }
        let subject = primary_id(gateway, service);
        let Some(trouble) = diagnose(gateway, service).await else {
            sleep(CALM_PAUSE).await;
            return;
        };
        if !gateway.watches(service) {
            return wait_for_watchers(gateway, service).await;
        }
        sleep(rank_delay(gateway, service)).await;
        replace(gateway, service, trouble, subject.as_ref()).await;
        if trouble == Trouble::Misplaced {
            // It serves all the while: the next try comes when it is due.
            return;
        }
        if !needs_care(gateway, service) {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Waits until the primary of a service that others watch needs no care any more: they
/// replace it, and tell who leads if nobody else does.
async fn wait_for_watchers<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) {
    let mut pause = FIRST_LEARNING_PAUSE;
    while !gateway.is_leaving() && needs_care(gateway, service) {
        sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        pause = (pause * 2).min(LONGEST_LEARNING_PAUSE);
        if needs_care(gateway, service) && learn_leader(gateway, service).await {
            return;
        }
    }
}

fn primary_id<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<InstanceId> {
    gateway
        .beliefs
        .primary(service)
        .map(|primary| primary.id.clone())
}

/// Whether the primary that was diagnosed is still the one believed in, or is
/// no longer believed in and nobody else is. A diagnosis says nothing about
/// another primary.
fn is_still_subject<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    subject: Option<&InstanceId>,
) -> bool {
    let present = primary_id(gateway, service);
    present.is_none() || present.as_ref() == subject
}

fn rank_delay<P: Platform>(gateway: &Gateway<P>, service: &str) -> Duration {
    let rank = gateway.fleet.rank(&gateway.settings.node, service);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    RANK_INTERVAL.saturating_mul(rank).min(LONGEST_RANK_DELAY)
}

fn needs_care<P: Platform>(gateway: &Gateway<P>, service: &str) -> bool {
    let now = Instant::now();
    match gateway.beliefs.primary(service) {
        None => true,
        Some(primary) => {
            gateway.beliefs.is_leaving(&primary.id, now)
                || gateway
                    .beliefs
                    .inspect(&primary.id, |health| health.is_failing())
                    .unwrap_or(false)
        }
    }
}
