//! Failover: finds the primary of each service, and replaces one that is lost, leaving
//! or misplaced.
//!
//! Every node checks a primary when its own traffic makes it suspect, or when another
//! node asks. A lease in the metadata store decides which node acts; the rendezvous
//! rank of a node only spreads their tries.

mod advance_claims;
mod diagnosis;
mod lease;
mod misplaced;
mod order;
mod promotion;
mod recorder;
mod service_survey;
mod successor_choice;
mod switch_over;

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

use diagnosis::{diagnose, learn_primary};
use misplaced::MisplacedPrimaries;
use promotion::replace;

pub(crate) use advance_claims::claim_leases_in_advance;
pub(crate) use lease::{read_promotion_record, recent_claims};
pub(crate) use recorder::{is_recorder, update_promotion_records};

/// How often services are checked for leaving primaries.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time between the tries of nodes of consecutive rank.
const RANK_INTERVAL: Duration = Duration::from_millis(90);
/// Longest delay by rank.
const MAX_RANK_DELAY: Duration = Duration::from_millis(700);
/// Pause before a primary that turned out to need no failover is checked again.
const RECHECK_PAUSE: Duration = Duration::from_millis(250);
/// First pause before the watchers of a service are asked for its primary: a
/// replacement takes about as long.
const FIRST_LEARNING_PAUSE: Duration = Duration::from_millis(500);
/// Longest of these pauses, which double: at this pause a thousand nodes ask a
/// service's twelve watchers 250 times a second.
const MAX_LEARNING_PAUSE: Duration = Duration::from_millis(8_000);
/// Pause after a try that did not end the failover.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Starts a check of each service that needs one, at most one at a time for a service.
/// Runs until the process ends.
pub(crate) async fn watch_primaries<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut in_progress: HashSet<ServiceName> = HashSet::new();
    let mut misplaced = MisplacedPrimaries::default();
    let (finished, mut finishes) = mpsc::unbounded_channel();
    loop {
        tokio::select! {
            () = gateway.suspected_primaries.changed() => {}
            () = sleep(CHECK_INTERVAL) => {}
            Some(service) = finishes.recv() => {
                in_progress.remove(&service);
            }
        }
        relay::try_direct_connections(&gateway);
        let mut services = gateway.suspected_primaries.take();
        services.extend(services_with_leaving_primary(&gateway));
        services.extend(misplaced.due(&gateway));
        for service in services {
            if !in_progress.insert(service.clone()) {
                continue;
            }
            let gateway = gateway.clone();
            let finished = finished.clone();
            tokio::spawn(async move {
                check_primary(&gateway, &service).await;
                // The receiver lives as long as the process.
                let _ = finished.send(service);
            });
        }
    }
}

fn services_with_leaving_primary<P: Platform>(gateway: &Gateway<P>) -> Vec<ServiceName> {
    let now = Instant::now();
    gateway.cluster.services_without_lasting_primary(now)
}

/// Why a service's primary is to be replaced. The names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailoverReason {
    /// No primary is known.
    Unknown,
    /// None of the nodes that were asked reaches it.
    Lost,
    /// It is leaving, and still serves.
    Leaving,
    /// It serves, but is not where a primary of its service should be.
    Misplaced,
}

/// Checks a service's primary and replaces it if needed.
async fn check_primary<P: Platform>(gateway: &Arc<Gateway<P>>, service: &ServiceName) {
    loop {
        if gateway.is_leaving() {
            return;
        }
        let diagnosed = primary_id(gateway, service);
        let Some(reason) = diagnose(gateway, service).await else {
            sleep(RECHECK_PAUSE).await;
            return;
        };
        if !gateway.watches(service) {
            return wait_for_watchers(gateway, service).await;
        }
        sleep(rank_delay(gateway, service)).await;
        replace(gateway, service, reason, diagnosed.as_ref()).await;
        if reason == FailoverReason::Misplaced {
            // The primary still serves: `MisplacedPrimaries` schedules the next try.
            return;
        }
        if !needs_failover(gateway, service) {
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Waits until the primary of a service that this node does not watch needs no failover
/// any more: its watchers replace it, and are asked for the new one if no announcement
/// names it.
async fn wait_for_watchers<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) {
    let mut pause = FIRST_LEARNING_PAUSE;
    while !gateway.is_leaving() && needs_failover(gateway, service) {
        sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        pause = (pause * 2).min(MAX_LEARNING_PAUSE);
        if needs_failover(gateway, service) && learn_primary(gateway, service).await {
            return;
        }
    }
}

fn primary_id<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<InstanceId> {
    gateway
        .cluster
        .primary(service)
        .map(|primary| primary.id.clone())
}

/// Whether the diagnosed primary is still the known one, or no primary is known any
/// more. A diagnosis does not apply to another primary.
fn is_diagnosis_current<P: Platform>(
    gateway: &Gateway<P>,
    service: &str,
    diagnosed: Option<&InstanceId>,
) -> bool {
    let known = primary_id(gateway, service);
    known.is_none() || known.as_ref() == diagnosed
}

/// Delay before this node's try, by its rank for the service.
fn rank_delay<P: Platform>(gateway: &Gateway<P>, service: &str) -> Duration {
    let rank = gateway.fleet.duty_rank(&gateway.settings.node, service);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    RANK_INTERVAL.saturating_mul(rank).min(MAX_RANK_DELAY)
}

/// Whether a service has no known primary, or one that is leaving or failing.
fn needs_failover<P: Platform>(gateway: &Gateway<P>, service: &str) -> bool {
    let now = Instant::now();
    match gateway.cluster.primary(service) {
        None => true,
        Some(primary) => {
            gateway.cluster.is_leaving(&primary.id, now)
                || gateway
                    .cluster
                    .read_health(&primary.id, |health| health.is_failing())
                    .unwrap_or(false)
        }
    }
}
