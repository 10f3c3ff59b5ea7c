//! The failover lease of each service in the metadata store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{self, ClaimDecision, FailoverLease, LEASE, ORDER_TIMEOUT};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::permission::RecentClaim;
use linkhold_events::Event;
use tokio::time::{sleep, timeout};

use crate::gateway::Gateway;
use crate::lease_format::{decode_lease, encode_lease};
use crate::ports::{FleetTable, Platform, RowRange, StoreError, WriteResult};
use crate::store_call::{CallReason, READ_TIMEOUT, bounded};

/// How long a claim, a read and a write, may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Claims tried in a row when the store gives no answer.
const CLAIM_TRIES: u32 = 2;
/// How often a node looks for leases that it is to hold ready.
const READY_INTERVAL: Duration = Duration::from_millis(3_000);

/// A lease that this node claimed.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    /// The lease.
    pub lease: FailoverLease,
    /// When the store was asked for the clock from which the lease counts; it expires
    /// no earlier than counted from here.
    pub asked_at: Instant,
}

impl Claim {
    /// The last moment at which an order may be sent that is answered, or given up,
    /// while the lease lasts.
    pub fn order_by(&self) -> Instant {
        self.asked_at + (LEASE - ORDER_TIMEOUT)
    }
}

/// Claims the lease of a service for a successor; `None` if another node holds
/// it or the store cannot be used. An answer that is lost or late is no reason
/// to find out everything anew: the row tells whether the claim was taken.
pub(super) async fn claim<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    successor: &InstanceId,
) -> Option<Claim> {
    for _ in 0..CLAIM_TRIES {
        let asked_at = Instant::now();
        let claiming = timeout(STORE_TIMEOUT, try_claim(gateway, service, successor));
        if let Ok(Ok(lease)) = claiming.await {
            match &lease {
                Some(lease) => gateway.leases.remember(service, lease),
                None => gateway.leases.lost(service),
            }
            return lease.map(|lease| Claim { lease, asked_at });
        }
    }
    let asked_at = Instant::now();
    let checks_tokens = gateway.platform.checks_tokens();
    let held = gateway
        .leases
        .use_without_store(service, successor, checks_tokens);
    Event::warn("lease_unconfirmed")
        .field("service", service)
        .field("acts_on_old_lease", held.is_some())
        .log();
    held.map(|lease| Claim { lease, asked_at })
}

/// Holds the leases ready whose first node this is. Runs until the process
/// ends.
pub(crate) async fn hold_leases_ready<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        sleep(READY_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        for service in gateway.beliefs.services() {
            let node = &gateway.settings.node;
            let is_first = gateway.fleet.is_first(node, &service);
            if is_first && !gateway.leases.holds(&service, node) && !gateway.is_leaving() {
                // Without the store there is nothing to hold; the next round tries again.
                let _ = timeout(STORE_TIMEOUT, hold_ready(&gateway, &service)).await;
            }
        }
    }
}

async fn hold_ready<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<(), StoreError> {
    let (current, version, now) = read_lease(gateway, service).await?;
    let is_in_fleet = |holder: &str| gateway.fleet.knows(holder);
    let node = &gateway.settings.node;
    let Some(lease) = failover::hold_ready(current.as_ref(), node, is_in_fleet, now) else {
        return Ok(());
    };
    if write_lease(gateway, service, &lease, version).await? {
        gateway.leases.remember(service, &lease);
        Event::info("lease_held_ready")
            .field("service", service)
            .field("token", lease.token)
            .log();
    }
    Ok(())
}

/// The lease's row as it is, its version, and the store's clock.
async fn read_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<(Option<FailoverLease>, u64, u64), StoreError> {
    gateway.metrics.store_calls.count(CallReason::Lease);
    let rows = gateway
        .platform
        .read_rows(FleetTable::Leases, RowRange::Key(service))
        .await?;
    let row = rows.rows.first();
    // A row that cannot be read may hold any token: none is handed out over it.
    let current = row
        .map(|row| decode_lease(&row.value).ok_or(StoreError::Malformed))
        .transpose()?;
    Ok((current, row.map_or(0, |row| row.version), rows.now))
}

/// Writes a lease if its row still has `version`; whether it was written.
async fn write_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    lease: &FailoverLease,
    version: u64,
) -> Result<bool, StoreError> {
    gateway.metrics.store_calls.count(CallReason::Lease);
    let written = gateway
        .platform
        .write_row(
            FleetTable::Leases,
            service,
            encode_lease(lease),
            Some(version),
        )
        .await?;
    Ok(written == WriteResult::Written)
}

/// Makes sure that a lease lasts for an order, which is about to leave. Where nobody
/// refuses old tokens, the row is written once more and tells so, under the condition
/// that no other claim came in between: a process that was paused since its claim sent an
/// order 8.3 s after it. `None` if the lease is lost.
pub(super) async fn prepare_order<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    claimed: &Claim,
    is_handed_over: bool,
) -> Option<Claim> {
    if gateway.platform.checks_tokens() {
        let successor = claimed.lease.successor.as_ref()?;
        let lasts = Instant::now() < claimed.order_by();
        return match lasts {
            true => Some(claimed.clone()),
            false => claim(gateway, service, successor).await,
        };
    }
    // A node that was listed meanwhile was not asked, and may have read this claim.
    if claimed.asked_at.elapsed() >= LEASE && !is_handed_over {
        return None;
    }
    let asked_at = Instant::now();
    let marking = timeout(STORE_TIMEOUT, mark_order(gateway, service, &claimed.lease));
    let lease = marking.await.ok()?.ok()??;
    gateway.leases.remember(service, &lease);
    Some(Claim { lease, asked_at })
}

/// An order was answered: other nodes need not wait for it.
pub(super) async fn settle_order<P: Platform>(
    gateway: Arc<Gateway<P>>,
    service: ServiceName,
    ordered: FailoverLease,
) {
    let settling = async {
        let (row, version, _) = read_lease(&gateway, &service).await?;
        match row.filter(|row| *row == ordered) {
            Some(row) => {
                let settled = FailoverLease {
                    ordered_at: None,
                    ..row
                };
                write_lease(&gateway, &service, &settled, version).await
            }
            None => Ok(false),
        }
    };
    // Without an answer, others wait for the order's whole time.
    let _ = timeout(STORE_TIMEOUT, settling).await;
}

async fn mark_order<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    claimed: &FailoverLease,
) -> Result<Option<FailoverLease>, StoreError> {
    let (row, version, now) = read_lease(gateway, service).await?;
    let Some(lease) = row.and_then(|row| row.about_to_order(claimed, now)) else {
        return Ok(None);
    };
    let written = write_lease(gateway, service, &lease, version).await?;
    Ok(written.then_some(lease))
}

/// Claims of leases as they were read.
#[derive(Clone, Debug)]
pub(crate) struct KnownClaims {
    /// Those under which a promotion may still take effect.
    pub claims: Vec<RecentClaim>,
    /// When they were read; their ages count from no later.
    pub read_at: Instant,
}

impl KnownClaims {
    /// The same with their ages as of now.
    pub fn aged(&self) -> Vec<RecentClaim> {
        let since = self.read_at.elapsed();
        let aged = |claim: &RecentClaim| RecentClaim {
            age: claim.age + since,
            ..claim.clone()
        };
        self.claims.iter().map(aged).collect()
    }
}

/// Reads which leases were claimed lately.
pub(crate) async fn recent_claims<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<KnownClaims, StoreError> {
    gateway.metrics.store_calls.count(CallReason::Lease);
    let call = gateway
        .platform
        .read_rows(FleetTable::Leases, RowRange::All);
    let rows = bounded(call, READ_TIMEOUT).await?;
    let read_at = Instant::now();
    let mut claims = Vec::new();
    for row in &rows.rows {
        let lease = decode_lease(&row.value).ok_or(StoreError::Malformed)?;
        claims.push(RecentClaim {
            service: row.key.as_str().into(),
            successor: lease.successor,
            age: Duration::from_millis(rows.now.saturating_sub(lease.claimed_at)),
        });
    }
    claims.retain(RecentClaim::may_take_effect);
    Ok(KnownClaims { claims, read_at })
}

async fn try_claim<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    successor: &InstanceId,
) -> Result<Option<FailoverLease>, StoreError> {
    let (row, version, now) = read_lease(gateway, service).await?;
    let node = &gateway.settings.node;
    let current = row.map(|row| match row.holder == *node {
        true => gateway.leases.completed(service, row),
        false => row,
    });
    let lease = match failover::claim(current.as_ref(), node, successor, now) {
        ClaimDecision::Write(lease) => lease,
        ClaimDecision::HeldElsewhere(left) => {
            Event::info("lease_held_elsewhere")
                .field("service", service)
                .field("holder", current.map_or_else(String::new, |it| it.holder))
                .field("left_ms", left.as_millis())
                .log();
            return Ok(None);
        }
    };
    let written = write_lease(gateway, service, &lease, version).await?;
    Ok(written.then_some(lease))
}
