//! Leases that are held ready, so that a promotion needs no store where the authority
//! itself refuses old tokens.
//!
//! The nodes that read the store share the services. Each reads all leases in one call
//! and writes those that are its own together, so that calls do not grow with services:
//! one by one they were 2,000 for 1,000 services, and 330 a second once other nodes had
//! become the first for them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::{self, ClaimTime, FailoverLease};
use linkhold_core::service::lead::LeadRecord;
use linkhold_core::service::store_place::StorePlace;
use linkhold_events::Event;
use tokio::time::sleep;

use crate::gateway::Gateway;
use crate::lease_format::{decode_lease, encode_lease};
use crate::ports::{FleetTable, Platform, RowRange, RowWrite, StoreError, WriteResult};
use crate::store_call::{CALL_TIMEOUT, CallReason, READ_TIMEOUT, with_timeout};

/// How often a node looks for leases that it is to hold ready.
const LOOK_INTERVAL: Duration = Duration::from_millis(3_000);
/// How long others' leases are left alone after they were read: one whose holder is gone
/// is missed only while the store is away as well.
const REVIEW_INTERVAL: Duration = Duration::from_secs(30);
/// Leases that are written in one call, at the most: the store takes a hundred entries, and a
/// row with its condition is two.
const MOST_TOGETHER: usize = 50;

/// Holds the leases ready whose first node this is. Runs until the process ends.
pub(crate) async fn hold_leases_ready<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut reviewed: Option<Review> = None;
    loop {
        sleep(LOOK_INTERVAL.mul_f64(rand::random_range(0.8..1.2))).await;
        let wanted = wanted(&gateway);
        let is_known = reviewed.as_ref().is_some_and(|it| it.covers(&wanted));
        if wanted.is_empty() || is_known || gateway.is_leaving() {
            continue;
        }
        // Without the store there is nothing to hold; the next round tries again.
        if hold_ready(&gateway, &wanted).await.is_ok() {
            reviewed = Some(Review {
                services: wanted,
                at: Instant::now(),
            });
        }
    }
}

/// Services whose leases were looked at.
struct Review {
    services: BTreeSet<ServiceName>,
    at: Instant,
}

impl Review {
    /// Whether nothing is to be found out by looking again.
    fn covers(&self, wanted: &BTreeSet<ServiceName>) -> bool {
        self.at.elapsed() < REVIEW_INTERVAL && wanted.is_subset(&self.services)
    }
}

/// Services whose leases this node is the first to hold and does not.
fn wanted<P: Platform>(gateway: &Gateway<P>) -> BTreeSet<ServiceName> {
    let node = &gateway.settings.node;
    let era = gateway.store_era.latest();
    let services = gateway.beliefs.services().into_iter();
    services
        .filter(|service| gateway.fleet.is_duty_owner(node, service))
        .filter(|service| !gateway.leases.holds(service, node, era))
        .collect()
}

/// A lease to be written.
struct NewLease {
    service: ServiceName,
    lease: FailoverLease,
    record: LeadRecord,
    version: StorePlace,
}

async fn hold_ready<P: Platform>(
    gateway: &Gateway<P>,
    wanted: &BTreeSet<ServiceName>,
) -> Result<(), StoreError> {
    let leases = leases_to_write(gateway, wanted).await?;
    for together in leases.chunks(MOST_TOGETHER) {
        let rows = together.iter().map(|new| RowWrite {
            table: FleetTable::Leases,
            key: &new.service,
            value: encode_lease(&new.lease, &new.record),
            expected: Some(new.version),
        });
        gateway.metrics.store_calls.count(CallReason::Lease);
        let rows: Vec<RowWrite<'_>> = rows.collect();
        let call = gateway.platform.write_rows(&rows);
        if with_timeout(call, CALL_TIMEOUT).await? == WriteResult::Conflict {
            // Another node claimed one of them meanwhile: all are read again.
            return Err(StoreError::Refused);
        }
        for new in together {
            gateway.leases.record(&new.service, &new.lease);
            Event::info("lease_held_ready")
                .field("service", &new.service)
                .field("token", new.lease.token)
                .log();
        }
    }
    Ok(())
}

/// Reads all leases; those that this node may take.
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
            // A row that cannot be read may hold any token: none is handed out over it.
            continue;
        }
        let (current, record) = current.flatten().unzip();
        let is_in_fleet = |holder: &str| gateway.fleet.may_include(holder);
        let lease = failover::hold_ready(current.as_ref(), node, is_in_fleet, time);
        new.extend(lease.map(|lease| NewLease {
            service: service.clone(),
            lease,
            record: record.unwrap_or_default(),
            version: row.map_or_else(StorePlace::default, |row| row.version),
        }));
    }
    Ok(new)
}
