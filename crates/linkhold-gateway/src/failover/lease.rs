//! The failover lease of each service in the metadata store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::position::Term;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{
    self, ClaimDecision, ClaimTime, FailoverLease, LATEST_ORDER_AGE, LEASE, era_of_token,
};
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::permission::RecentClaim;
use linkhold_core::service::primary_verification::PromotionRecord;
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_events::Event;
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::lease_format::{KnownClaims, decode_lease, encode_lease};
use crate::ports::{FleetTable, Platform, RowRange, RowWrite, StoreError, WriteResult};
use crate::store_call::{CALL_TIMEOUT, CallReason, READ_TIMEOUT, read_row, with_timeout};

/// Timeout of a claim, which is a read and a write of the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Claims attempted in a row while the store gives no answer.
const CLAIM_TRIES: u32 = 2;

/// A lease that this node claimed.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    /// The lease as it was written.
    pub lease: FailoverLease,
    /// When the store was asked for the time at which the lease starts: counted from
    /// here, the lease lasts at least its full time.
    pub asked_at: Instant,
}

impl Claim {
    /// The latest moment to send an order so that it is answered or given up while the
    /// lease lasts.
    pub fn order_by(&self) -> Instant {
        self.asked_at + LATEST_ORDER_AGE
    }
}

/// Claims the lease of a service for a successor; `None` if another node holds it or
/// the store cannot be used. If an answer is lost or late, the claim is repeated, not
/// the whole failover: the row shows whether the first attempt was written.
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
    let is_listed = gateway.cluster.permission.is_held();
    // A node that is not listed must not use its old lease: another process may have
    // run under its name since, and used that lease.
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

/// The row of a lease as it was read.
struct LeaseRead {
    lease: Option<FailoverLease>,
    record: PromotionRecord,
    version: StoreRevision,
    read_at: ClaimTime,
}

async fn read_lease<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<LeaseRead, StoreError> {
    // A row that cannot be decoded may hold any token, so no token is issued over it.
    let table = FleetTable::Leases;
    let row = read_row(gateway, table, service, CallReason::Lease, decode_lease).await?;
    let (lease, record) = row.value.unzip();
    let record: PromotionRecord = record.unwrap_or_default();
    if let Some(term) = record.proved_term {
        gateway.cluster.observe_proved_term(service, term);
    }
    Ok(LeaseRead {
        lease,
        record,
        version: row.version,
        read_at: ClaimTime {
            now: row.now,
            era: row.era,
        },
    })
}

/// Writes a lease with the record of `read` if its row has not changed since it was
/// read; returns whether it was written.
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
    // A node that becomes listed reads only the claims.
    let rows = [
        row(FleetTable::Leases, Some(read.version)),
        row(FleetTable::Claims, None),
    ];
    let written = gateway.platform.write_rows(&rows).await?;
    Ok(matches!(written, WriteResult::Written(_)))
}

/// Makes sure that a lease lasts for an order that is about to be sent; `None` if the
/// lease is lost. Where the authority does not refuse old tokens, the order is noted in
/// the row, under the condition that no other claim was made in between: a process that
/// was paused since its claim once sent an order 8.3 s after it.
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
    // A node that was listed since was not asked to agree, and may have read this
    // claim.
    if claimed.asked_at.elapsed() >= LEASE && !is_handed_over {
        return None;
    }
    let asked_at = Instant::now();
    let marking = timeout(STORE_TIMEOUT, mark_order(gateway, service, &claimed.lease));
    let lease = marking.await.ok()?.ok()??;
    gateway.leases.record(service, &lease);
    Some(Claim { lease, asked_at })
}

/// Records that an order was answered, so that other nodes need not wait for it.
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
    // If this fails, other nodes wait for as long as the order may take effect.
    let _ = timeout(STORE_TIMEOUT, settling).await;
}

/// Notes in the row of a claimed lease that an order is about to be sent; `None` if
/// another claim has replaced the lease.
async fn mark_order<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    claimed: &FailoverLease,
) -> Result<Option<FailoverLease>, StoreError> {
    let read = read_lease(gateway, service).await?;
    let now = read.read_at.now;
    let is_of_era = era_of_token(claimed.token) == read.read_at.era;
    let current = read.lease.as_ref().filter(|_| is_of_era);
    let Some(lease) = current.and_then(|row| row.with_order_recorded(claimed, now)) else {
        return Ok(None);
    };
    let written = write_lease(gateway, service, &lease, &read).await?;
    Ok(written.then_some(lease))
}

/// Reads the leases that were claimed recently. Leases that are only claimed in advance
/// are left out: with 1,000 services they were 0.3 MB for each group of nodes that began
/// to follow a reader, and most of the 0.33 GB read on a day on which the store refused
/// a third of 985 nodes.
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

/// Reads the record of a service's promotions from the store.
pub(crate) async fn read_promotion_record<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<PromotionRecord, StoreError> {
    with_timeout(read_lease(gateway, service), CALL_TIMEOUT)
        .await
        .map(|read| read.record)
}

/// Stores the term in which a primary's log was proved to end, unless a newer one is
/// stored; returns `false` if another node wrote the row in between.
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
        .record_proved_term(term, pending.and_then(|it| it.successor.as_ref()))
    {
        return Ok(true);
    }
    let node = &gateway.settings.node;
    let unused = || failover::claim_in_advance(None, node, |_| false, read.read_at);
    let Some(lease) = read.lease.clone().or_else(unused) else {
        return Ok(false);
    };
    with_timeout(write_lease(gateway, service, &lease, &read), CALL_TIMEOUT).await
}

/// Claims the lease if it is free; `None` if another node holds it or wrote its row in
/// between.
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
    read.record.record_claim(successor);
    let written = write_lease(gateway, service, &lease, &read).await?;
    Ok(written.then_some(lease))
}
