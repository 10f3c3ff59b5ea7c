//! The failover lease of each service in the metadata store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{
    self, ClaimDecision, ClaimTime, FailoverLease, LEASE, ORDER_TIMEOUT, era_of_token,
};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::lead::LeadRecord;
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::store_place::StorePlace;
use linkhold_events::Event;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::lease_format::{KnownClaims, decode_lease, encode_lease};
use crate::ports::{FleetTable, Platform, RowRange, RowWrite, StoreError, WriteResult};
use crate::store_call::{CALL_TIMEOUT, CallReason, READ_TIMEOUT, with_timeout};

/// How long a claim, a read and a write, may take.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Claims tried in a row when the store gives no answer.
const CLAIM_TRIES: u32 = 2;

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
                Some(lease) => gateway.leases.record(service, lease),
                None => gateway.leases.forget(service),
            }
            return lease.map(|lease| Claim { lease, asked_at });
        }
    }
    let asked_at = Instant::now();
    let is_listed = gateway.beliefs.permission.is_held();
    // Another process may have had this node's name since, and used the lease.
    let may_use = gateway.platform.checks_tokens() && is_listed;
    let era = gateway.store_era.latest();
    let held = gateway
        .leases
        .use_without_store(service, successor, may_use, era);
    Event::warn("lease_unconfirmed")
        .field("service", service)
        .field("is_listed", is_listed)
        .field("acts_on_old_lease", held.is_some())
        .log();
    held.map(|lease| Claim { lease, asked_at })
}

/// A lease's row as it is.
struct LeaseRead {
    lease: Option<FailoverLease>,
    record: LeadRecord,
    version: StorePlace,
    read_at: ClaimTime,
}

async fn read_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<LeaseRead, StoreError> {
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
    let (lease, record) = current.unzip();
    Ok(LeaseRead {
        lease,
        record: record.unwrap_or_default(),
        version: row.map_or_else(StorePlace::default, |row| row.version),
        read_at: ClaimTime {
            now: rows.now,
            era: rows.era,
        },
    })
}

/// Writes a lease with the record of `read`, if its row is still as it was read; whether it
/// was written.
async fn write_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    lease: &FailoverLease,
    read: &LeaseRead,
) -> Result<bool, StoreError> {
    gateway.metrics.store_calls.count(CallReason::Lease);
    let row = |table, expected| RowWrite {
        table,
        key: service,
        value: encode_lease(lease, &read.record),
        expected,
    };
    // Whoever comes to be listed reads the claims alone.
    let rows = [
        row(FleetTable::Leases, Some(read.version)),
        row(FleetTable::Claims, None),
    ];
    let written = gateway.platform.write_rows(&rows).await?;
    Ok(matches!(written, WriteResult::Written(_)))
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
        let is_of_era = era_of_token(claimed.lease.token) == gateway.store_era.latest();
        let lasts = is_of_era && Instant::now() < claimed.order_by();
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
    gateway.leases.record(service, &lease);
    Some(Claim { lease, asked_at })
}

/// An order was answered: other nodes need not wait for it.
pub(super) async fn settle_order<P: Platform>(
    gateway: Arc<Gateway<P>>,
    service: ServiceName,
    ordered: FailoverLease,
) {
    let settling = async {
        let read = read_lease(&gateway, &service).await?;
        if read.lease.as_ref() != Some(&ordered) {
            return Ok(false);
        }
        let settled = FailoverLease {
            ordered_at: None,
            ..ordered
        };
        write_lease(&gateway, &service, &settled, &read).await
    };
    // Without an answer, others wait for the order's whole time.
    let _ = timeout(STORE_TIMEOUT, settling).await;
}

async fn mark_order<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    claimed: &FailoverLease,
) -> Result<Option<FailoverLease>, StoreError> {
    let read = read_lease(gateway, service).await?;
    let now = read.read_at.now;
    let is_of_era = era_of_token(claimed.token) == read.read_at.era;
    let current = read.lease.as_ref().filter(|_| is_of_era);
    let Some(lease) = current.and_then(|row| row.about_to_order(claimed, now)) else {
        return Ok(None);
    };
    let written = write_lease(gateway, service, &lease, &read).await?;
    Ok(written.then_some(lease))
}

/// Reads which leases were claimed lately. Those that are only held ready are left out: with
/// 1,000 services they were 0.3 MB for each group of nodes that came to follow a reader, most
/// of 0.33 GB read in a day on which the store turned a third of 985 nodes away.
pub(crate) async fn recent_claims<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<KnownClaims, StoreError> {
    gateway.metrics.store_calls.count(CallReason::Lease);
    let call = gateway
        .platform
        .read_rows(FleetTable::Claims, RowRange::All);
    let rows = with_timeout(call, READ_TIMEOUT).await?;
    let read_at = Instant::now();
    let mut claims = Vec::new();
    let mut records = Vec::new();
    for row in &rows.rows {
        let (lease, record) = decode_lease(&row.value).ok_or(StoreError::Malformed)?;
        let service: ServiceName = row.key.as_str().into();
        records.push((service.clone(), record));
        claims.push(RecentClaim {
            service,
            successor: lease.successor,
            age: Duration::from_millis(rows.now.saturating_sub(lease.claimed_at)),
        });
    }
    claims.retain(RecentClaim::may_take_effect);
    Ok(KnownClaims {
        claims,
        records,
        read_at,
    })
}

/// Reads what is kept of a service's promotions.
pub(crate) async fn read_lead_record<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<LeadRecord, StoreError> {
    with_timeout(read_lease(gateway, service), CALL_TIMEOUT)
        .await
        .map(|read| read.record)
}

/// Keeps that a primary's log was proved to end in a term, unless a newer one is kept;
/// `false` if somebody else wrote the row meanwhile.
pub(crate) async fn record_proved_term<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    term: Term,
) -> Result<bool, StoreError> {
    let mut read = with_timeout(read_lease(gateway, service), CALL_TIMEOUT).await?;
    let now = read.read_at.now;
    let claimed = read.lease.as_ref();
    let pending = claimed.filter(|it| it.may_take_effect(now));
    if !read
        .record
        .prove(term, pending.and_then(|it| it.successor.as_ref()))
    {
        return Ok(true);
    }
    let node = &gateway.settings.node;
    let unused = || failover::hold_ready(None, node, |_| false, read.read_at);
    let Some(lease) = read.lease.clone().or_else(unused) else {
        return Ok(false);
    };
    with_timeout(write_lease(gateway, service, &lease, &read), CALL_TIMEOUT).await
}

async fn try_claim<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    successor: &InstanceId,
) -> Result<Option<FailoverLease>, StoreError> {
    let mut read = read_lease(gateway, service).await?;
    let node = &gateway.settings.node;
    let current = read.lease.clone().map(|row| match row.holder == *node {
        true => gateway.leases.with_local_state(service, row),
        false => row,
    });
    let lease = match failover::claim(current.as_ref(), node, successor, read.read_at) {
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
    read.record.claim(successor);
    let written = write_lease(gateway, service, &lease, &read).await?;
    Ok(written.then_some(lease))
}
