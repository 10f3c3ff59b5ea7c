//! Asks primaries for the positions of their logs when reads need them and no write has
//! shown them.
//!
//! At most one request at a time is in flight for a service; it serves every read that
//! waits when it is sent. A write transaction that is begun and rolled back proves the
//! primary and takes none of its slots.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::evidence::Sample;
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::service::session::SessionValues;
use linkhold_core::tenancy::ConnectionHolder;
use tokio::time::timeout_at;

use crate::evidence::primary_verification;
use crate::evidence::sharing;
use crate::forward;
use crate::gate::Urgency;
use crate::gateway::Gateway;
use crate::ports::{BackendConnection, BackendErrorKind, Command, Platform};
use crate::request::principal::Principal;

/// Timeout of a request for evidence.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// Returns a position that covers everything acknowledged before `moment`, or `None` if
/// none is known by `deadline`.
pub(crate) async fn fence<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    moment: Instant,
    deadline: Instant,
) -> Option<Position> {
    let mut changes = gateway.cluster.subscribe();
    loop {
        changes.mark_unchanged();
        if let Some(position) = gateway.cluster.fence(service, moment) {
            return Some(position);
        }
        request_evidence(gateway, service, moment);
        timeout_at(deadline.into(), changes.changed())
            .await
            .ok()?
            .ok()?;
    }
}

/// Requests evidence that covers `moment` in the background, unless a request is in
/// flight: from the primary if this node owns connections to it, otherwise from the
/// reader that it follows. An owner that asked its reader would be asked back, since
/// readers ask owners.
pub(crate) fn request_evidence<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    moment: Instant,
) {
    if !gateway.evidence_questions.start(service) {
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
            Some(sample) => gateway.cluster.record_evidence(&service, sample),
            None => ask_primary(&gateway, &service, moment).await,
        }
        gateway.evidence_questions.end(&service);
    });
}

/// Whether this node is one of the owners of connections to a primary.
fn owns_primary<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> bool {
    gateway
        .cluster
        .primary(service)
        .and_then(|primary| gateway.pools.designated_owners(&primary, &gateway.cluster))
        .is_some_and(|owners| owners.includes_self)
}

/// Requests evidence from the primary, or from an owner of connections to it.
async fn ask_primary<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    service: &ServiceName,
    moment: Instant,
) {
    let started = Instant::now();
    let Some(primary) = gateway.cluster.usable_primary(service, started) else {
        // Waiting reads repeat the request after the next change of the cluster state.
        tokio::time::sleep(Duration::from_millis(20)).await;
        return;
    };
    if let Some(owners) = gateway.pools.designated_owners(&primary, &gateway.cluster)
        && !owners.includes_self
        && let Some(sample) = forward::ask_evidence(gateway, &owners, &primary, moment).await
    {
        // The owner has verified the primary.
        gateway.cluster.mark_verified(&primary.id);
        gateway.record_primary_proof(&primary, sample);
        return;
    }
    gateway.metrics.evidence_probes.add();
    if primary_verification::verify_primary(gateway, &primary)
        .await
        .is_err()
    {
        return;
    }
    let deadline = tokio::time::Instant::from_std(started + REQUEST_TIMEOUT);
    let pool = gateway.pools.pool(&primary, &gateway.cluster);
    let urgency = Urgency {
        is_read: false,
        priority: 0,
    };
    let checkout = pool
        .checkout(
            gateway,
            // The transaction carries no data of a request.
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
    let proved = gateway.cluster.newest_position(service);
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
        Err(_) => gateway.statement_timed_out(&primary, sent_at),
    }
}
