//! Asks primaries how far their logs have come, when reads need to know and
//! no write has told it.
//!
//! One question at a time is under way for a service; every read that waits
//! when it is sent is answered by it. Starting a writing transaction and
//! rolling it back proves the primary and takes none of its slots.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::evidence::Sample;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::SessionValues;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::timeout_at;

use crate::evidence::lead_proof;
use crate::evidence::sharing;
use crate::forward;
use crate::gate::Urgency;
use crate::gateway::Gateway;
use crate::ports::{BackendConnection, BackendErrorKind, Command, Platform};
use crate::request::principal::Principal;

/// How long one question may take.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(600);

/// A position that covers everything acknowledged before `moment`; waits for
/// it until `deadline`.
pub(crate) async fn fence<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    moment: Instant,
    deadline: Instant,
) -> Option<Position> {
    let mut changes = gateway.beliefs.subscribe();
    loop {
        changes.mark_unchanged();
        if let Some(position) = gateway.beliefs.fence(service, moment) {
            return Some(position);
        }
        ask_in_background(gateway, service, moment);
        timeout_at(deadline.into(), changes.changed())
            .await
            .ok()?
            .ok()?;
    }
}

/// Asks for evidence that covers `moment` unless a question is under way: the
/// primary itself if this node owns connections to it, or else the reader that
/// is followed. An owner that asked its reader would be asked back: readers ask
/// owners.
pub(crate) fn ask_in_background<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    moment: Instant,
) {
    if !gateway.questions.start(service) {
        return;
    }
    let gateway = gateway.clone();
    let service = service.clone();
    tokio::spawn(async move {
        let shared = if owns_primary(&gateway, &service) {
            None
        } else {
            sharing::ask_reader(&gateway, &service, moment).await
        };
        match shared {
            Some(sample) => gateway.beliefs.record_evidence(&service, sample),
            None => ask_primary(&gateway, &service, moment).await,
        }
        gateway.questions.end(&service);
    });
}

/// Whether this node is one of those that own the connections to a primary.
fn owns_primary<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> bool {
    gateway
        .beliefs
        .primary(service)
        .and_then(|primary| gateway.pools.owners_of(&primary, &gateway.beliefs))
        .is_some_and(|owners| owners.includes_self)
}

async fn ask_primary<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    moment: Instant,
) {
    let started = Instant::now();
    let Some(primary) = gateway.beliefs.usable_primary(service, started) else {
        // The next change of beliefs asks again.
        tokio::time::sleep(Duration::from_millis(20)).await;
        return;
    };
    if let Some(owners) = gateway.pools.owners_of(&primary, &gateway.beliefs)
        && !owners.includes_self
        && let Some(sample) = forward::ask_evidence(gateway, &owners, &primary, moment).await
    {
        // The owner has proved that it leads.
        gateway.beliefs.prove_lead(&primary.id);
        gateway.record_primary_proof(&primary, sample);
        return;
    }
    gateway.metrics.evidence_probes.add();
    if lead_proof::prove(gateway, &primary).await.is_err() {
        return;
    }
    let deadline = tokio::time::Instant::from_std(started + QUESTION_TIMEOUT);
    let pool = gateway.pools.pool(&primary, &gateway.beliefs);
    let urgency = Urgency {
        is_read: false,
        priority: 0,
    };
    let checkout = pool
        .checkout(
            gateway,
            // It carries nothing of a request.
            Principal {
                holder: &ConnectionHolder::NoTenant,
                values: &SessionValues::new(),
                regions: &AllowedRegions::Everywhere,
            },
            urgency,
            deadline,
        )
        .await;
    let Ok(mut lease) = checkout else {
        return;
    };
    let proved = gateway.beliefs.newest_position(service);
    let sent_at = Instant::now();
    let commands = [
        Command::Begin {
            read_only: false,
            fence: None,
        },
        Command::Rollback,
    ];
    let exchange = lease.pooled().connection.exchange(&commands);
    match timeout_at(deadline, exchange).await {
        Ok(Ok(replies)) => {
            gateway.record_instance_answer(&primary.id, sent_at.elapsed(), None);
            match (replies[0].error(), replies[0].position) {
                (None, Some(position))
                    if gateway.detect_lost_log(&primary, Some(position), proved) => {}
                (None, Some(position)) => {
                    gateway.record_primary_proof(&primary, Sample { sent_at, position });
                }
                (Some(BackendErrorKind::ReadOnly), _) => gateway.record_primary_denial(&primary),
                _ => {}
            }
            lease.release();
        }
        Ok(Err(_)) => gateway.connection_lost(&primary),
        Err(_) => gateway.instance_silent(&primary, sent_at),
    }
}
