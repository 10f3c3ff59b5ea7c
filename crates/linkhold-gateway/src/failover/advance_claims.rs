//! Claims leases in advance, so that a promotion does not need the store where the
//! authority itself refuses old tokens.
//!
//! The nodes that read the store divide the services among them. Each reads all leases
//! in one call and writes its own in batches, so that the number of calls does not grow
//! with the services: one by one, 1,000 services took 2,000 calls, and 330 a second
//! after other nodes had become the first in rank for them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{self, ClaimTime, FailoverLease};
use linkhold_core::service::primary_verification::PromotionRecord;
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_events::Event;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::lease_format::{decode_lease, encode_lease};
use crate::ports::{FleetTable, Platform, RowRange, RowWrite, StoreError, WriteResult};
use crate::store_call::{CALL_TIMEOUT, CallReason, READ_TIMEOUT, with_timeout};

/// How often a node checks for leases to claim in advance.
const CHECK_INTERVAL: Duration = Duration::from_millis(3_000);
/// How long other nodes' leases are not read again: a lease whose holder has left the
/// fleet is needed only while the store is unavailable.
const REVIEW_INTERVAL: Duration = Duration::from_secs(30);
/// Maximum number of leases written in one call: the store accepts 100 entries per
/// call, and a row with its condition takes two.
const MAX_BATCH: usize = 50;

/// Claims in advance the leases of the services for which this node is first in rank.
/// Runs until the process ends.
pub(crate) async fn claim_leases_in_advance<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut reviewed: Option<Review> = None;
    loop {
        sleep(CHECK_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        let wanted = wanted(&gateway);
        let is_known = reviewed.as_ref().is_some_and(|it| it.covers(&wanted));
        if wanted.is_empty() || is_known || gateway.is_leaving() {
            continue;
        }
        // If the store is unavailable, the next round tries again.
        if claim_wanted(&gateway, &wanted).await.is_ok() {
            reviewed = Some(Review {
                services: wanted,
                at: Instant::now(),
            });
        }
    }
}

/// Services whose leases were reviewed, and when.
struct Review {
    services: BTreeSet<ServiceName>,
    at: Instant,
}

impl Review {
    /// Whether the review is recent and includes all wanted services.
    fn covers(&self, wanted: &BTreeSet<ServiceName>) -> bool {
        self.at.elapsed() < REVIEW_INTERVAL && wanted.is_subset(&self.services)
    }
}

/// Services for which this node is first in rank and whose lease it does not hold.
fn wanted<P: Platform>(gateway: &Gateway<P>) -> BTreeSet<ServiceName> {
    let node = &gateway.settings.node;
    let era = gateway.store_era.latest();
    let services = gateway.cluster.services().into_iter();
    services
        .filter(|service| gateway.fleet.is_duty_owner(node, service))
        .filter(|service| !gateway.leases.holds(service, node, era))
        .collect()
}

/// A lease to be written, and the version of the row that it replaces.
struct NewLease {
    service: ServiceName,
    lease: FailoverLease,
    record: PromotionRecord,
    version: StoreRevision,
}

/// Claims the wanted leases that are free, in batches.
async fn claim_wanted<P: Platform>(
    gateway: &Gateway<P>,
    wanted: &BTreeSet<ServiceName>,
) -> Result<(), StoreError> {
    let leases = leases_to_write(gateway, wanted).await?;
    for batch in leases.chunks(MAX_BATCH) {
        let rows = batch.iter().map(|new| RowWrite {
            table: FleetTable::Leases,
            key: &new.service,
            value: encode_lease(&new.lease, &new.record),
            expected: Some(new.version),
        });
        gateway.metrics.store_calls.count(CallReason::Lease);
        let rows: Vec<RowWrite<'_>> = rows.collect();
        let call = gateway.platform.write_rows(&rows);
        if with_timeout(call, CALL_TIMEOUT).await? == WriteResult::Conflict {
            // Another node claimed one of the leases in between: all are read again.
            return Err(StoreError::Refused);
        }
        for new in batch {
            gateway.leases.record(&new.service, &new.lease);
            Event::info("lease_held_ready")
                .field("service", &new.service)
                .field("token", new.lease.token)
                .log();
        }
    }
    Ok(())
}

/// Reads all leases; returns the new values of those that this node may take.
async fn leases_to_write<P: Platform>(
    gateway: &Gateway<P>,
    wanted: &BTreeSet<ServiceName>,
) -> Result<Vec<NewLease>, StoreError> {
    gateway.metrics.store_calls.count(CallReason::Lease);
    let call = gateway
        .platform
        .read_rows(FleetTable::Leases, RowRange::All);
    let rows = with_timeout(call, READ_TIMEOUT).await?;
    let time = ClaimTime {
        now: rows.now,
        era: rows.era,
    };
    let node = &gateway.settings.node;
    let mut new = Vec::new();
    for service in wanted {
        let row = rows.rows.iter().find(|row| *row.key == **service);
        let current = row.map(|row| decode_lease(&row.value));
        if current.as_ref().is_some_and(Option::is_none) {
            // A row that cannot be decoded may hold any token, so no token is issued
            // over it.
            continue;
        }
        let (current, record) = current.flatten().unzip();
        let is_in_fleet = |holder: &str| gateway.fleet.may_include(holder);
        let lease = failover::claim_in_advance(current.as_ref(), node, is_in_fleet, time);
        new.extend(lease.map(|lease| NewLease {
            service: service.clone(),
            lease,
            record: record.unwrap_or_default(),
            version: row.map_or_else(StoreRevision::default, |row| row.version),
        }));
    }
    Ok(new)
}
