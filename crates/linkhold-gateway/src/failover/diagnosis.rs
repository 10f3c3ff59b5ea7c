//! Finds out what is wrong with a primary, from this node's own try and from
//! what other nodes find.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::ReachabilityTally;
use linkhold_core::service::instance::Instance;
use linkhold_events::Event;
use linkhold_peer::Reachability;

use super::Trouble;
use super::promotion::Situation;
use crate::gateway::Gateway;
use crate::peers;
use crate::ports::Platform;
use crate::survey;

/// What is wrong with the primary; `None` if nothing is, or if it cannot be
/// told yet.
pub(super) async fn diagnose<P: Platform>(gateway: &Gateway<P>, service: &str) -> Option<Trouble> {
    let Some(primary) = gateway.beliefs.primary(service) else {
        return Some(Trouble::Unknown);
    };
    let peers = peers::ask(gateway, &primary.id);
    tokio::pin!(peers);
    let own = survey::reach_primary(gateway, &primary);
    tokio::pin!(own);
    // Both run at once; the own finding decides alone unless it is a failure.
    let (own, early) = tokio::select! {
        own = &mut own => (own, None),
        tally = &mut peers => (own.await, Some(tally)),
    };
    match own {
        Reachability::Reached => {
            gateway.relays.forget(&primary.id);
            gateway.instance_answered(&primary.id, Duration::ZERO);
            let leaves = gateway.beliefs.is_leaving(&primary.id, Instant::now());
            leaves.then_some(Trouble::Leaving)
        }
        Reachability::NotPrimary => {
            gateway.beliefs.deny_primary(&primary.id);
            Some(Trouble::Unknown)
        }
        Reachability::Unreached => {
            // Through a peer it may be served all the while.
            if !gateway.relays.is_relayed(&primary.id) {
                gateway.instance_failed(&primary, "unreachable");
            }
            let findings = match early {
                Some(findings) => findings,
                None => peers.await,
            };
            use_peers(gateway, &primary, findings.reached_by);
            judge_unreached(&primary, findings.tally)
        }
    }
}

/// Has connections to a primary that this node does not reach relayed by peers
/// that do.
fn use_peers<P: Platform>(gateway: &Gateway<P>, primary: &Instance, peers: Vec<SocketAddr>) {
    if peers.is_empty() {
        if gateway.relays.forget(&primary.id) {
            gateway.instance_failed(primary, "unreachable");
        }
        return;
    }
    if !gateway.relays.is_relayed(&primary.id) {
        Event::info("relay_used")
            .field("service", &primary.service)
            .field("instance", &primary.id)
            .field("peers", peers.len())
            .log();
    }
    gateway.relays.learn(&primary.id, peers);
    gateway.instance_answered(&primary.id, Duration::ZERO);
}

/// Judges a primary that this node does not reach by what others found.
fn judge_unreached(primary: &Instance, mut tally: ReachabilityTally) -> Option<Trouble> {
    tally.unreached += 1;
    log_tally(primary, tally);
    if tally.reached > 0 {
        return None;
    }
    if tally.not_primary > 0 {
        return Some(Trouble::Unknown);
    }
    tally.is_lost().then_some(Trouble::Lost)
}

fn log_tally(instance: &Instance, tally: ReachabilityTally) {
    Event::info("primary_questioned")
        .field("service", &instance.service)
        .field("instance", &instance.id)
        .field("nodes", tally.nodes)
        .field("reached", tally.reached)
        .field("unreached", tally.unreached)
        .field("not_primary", tally.not_primary)
        .log();
}

/// Whether an instance that this node does not see as primary may be one: it is
/// not listed for now, or it told this node nothing and may serve others.
pub(super) async fn someone_may_lead<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    situation: &Situation,
) -> bool {
    if !gateway.beliefs.is_directory_settled(Instant::now()) {
        Event::info("promotion_withheld")
            .field("service", service)
            .field("reason", "directory_not_settled")
            .log();
        return true;
    }
    for instance in &situation.others {
        let answered = situation
            .statuses
            .iter()
            .any(|status| status.id == instance.id);
        if answered {
            continue;
        }
        let mut tally = peers::ask(gateway, &instance.id).await.tally;
        tally.unreached += 1;
        log_tally(instance, tally);
        if !tally.is_lost() {
            return true;
        }
    }
    false
}
