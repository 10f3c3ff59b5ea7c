//! Keeps the stored records complete, so that commits can be acknowledged.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::log_completeness::LogHolders;
use linkhold_core::service::log_group::LogGroup;
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_events::Event;
use tokio::time::sleep;

use super::format::{decode, encode};
use super::is_recorded;
use crate::failover::is_recorder;
use crate::gateway::Gateway;
use crate::ports::{FleetTable, Platform, RowWrite, StoreError, WriteResult};
use crate::store_call::{CALL_TIMEOUT, CallReason, RowRead, read_row, with_timeout};

/// How often records are checked that nothing asked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long other nodes leave a new record to its recorder: a read and a write.
const RECORDER_HEAD_START: Duration = Duration::from_millis(25);
/// Tries of a change in a row while other nodes change the record.
const WRITE_TRIES: usize = 4;
/// Maximum number of records that are changed at once.
const MAX_CONCURRENT: usize = 16;

/// Records instances that appear, and lower promises of synchronous replicas. Runs until
/// the process ends.
pub(crate) async fn keep_recorded<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut lists = gateway.cluster.subscribe_to_lists();
    loop {
        lists.mark_unchanged();
        let services = recorded_services(&gateway);
        let has_services = !services.is_empty();
        let updates = services
            .into_iter()
            .map(|service| update(gateway.clone(), service));
        let mut updates = futures::stream::iter(updates).buffer_unordered(MAX_CONCURRENT);
        while updates.next().await.is_some() {}
        tokio::select! {
            () = gateway.log_groups.requested() => {}
            _ = lists.changed(), if has_services => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Services whose record this node may have to change: those with synchronous replicas,
/// and those that had some.
fn recorded_services<P: Platform>(gateway: &Gateway<P>) -> Vec<ServiceName> {
    let mut services = gateway.cluster.services_that_forbid_loss();
    let known = gateway.log_groups.services().into_iter();
    services.extend(known.filter(|service| !gateway.cluster.forbids_loss(service)));
    services
}

/// Brings the record of a service up to date if this node is its recorder or has commits
/// that wait for it.
async fn update<P: Platform>(gateway: Arc<Gateway<P>>, service: ServiceName) {
    let (gateway, service) = (&*gateway, &service);
    let is_outdated = match gateway.cluster.forbids_loss(service) {
        true => !is_recorded(gateway, service),
        false => promises_too_much(gateway, service),
    };
    if !is_outdated {
        return;
    }
    if !is_recorder(gateway, service) {
        if !gateway.log_groups.is_awaited(service) {
            return;
        }
        sleep(RECORDER_HEAD_START).await;
    }
    if let Err(error) = change(gateway, service, |_| {}).await {
        Event::warn("log_group_not_recorded")
            .field("service", service)
            .field("reason", error)
            .log();
    }
}

/// Whether the record of a service promises more synchronous replicas than its commits
/// had lately.
fn promises_too_much<P: Platform>(gateway: &Gateway<P>, service: &str) -> bool {
    let guaranteed = gateway.cluster.guaranteed_replicas(service);
    let recorded = gateway.log_groups.latest(service);
    recorded.is_some_and(|group| group.synchronous > guaranteed)
}

/// Adds what this node knows to the stored record of a service, and then changes it.
pub(super) async fn change<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    change: impl Fn(&mut LogGroup),
) -> Result<(), StoreError> {
    for _ in 0..WRITE_TRIES {
        let read = read(gateway, service).await?;
        let mut group = completed(gateway, service, &read);
        change(&mut group);
        let is_stored = read.value.as_ref() == Some(&group);
        if is_stored || write(gateway, service, &group, read.version).await? {
            if !is_stored {
                log_recorded(service, &group);
            }
            gateway.log_groups.record(service, group, read.era);
            return Ok(());
        }
    }
    Err(StoreError::Refused)
}

/// The record with everything that this node knows. After a restore of the store, the
/// copy may lack what this node had read before.
fn completed<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    read: &RowRead<LogGroup>,
) -> LogGroup {
    let guaranteed = gateway.cluster.guaranteed_replicas(service);
    // Without a record no commit was acknowledged under an earlier setting that this node
    // does not know: the record is written when the first setting appears.
    let mut group = read.value.clone().unwrap_or_else(|| LogGroup {
        members: Vec::new(),
        synchronous: guaranteed,
    });
    if let Some(known) = gateway.log_groups.latest_of_other_era(service, read.era) {
        group.merge(&known);
    }
    admit_listed(gateway, service, &mut group);
    group.limit_synchronous(guaranteed);
    group
}

/// Adds the instances that are listed. One that is not may have been removed from the
/// record.
fn admit_listed<P: Platform>(gateway: &Gateway<P>, service: &ServiceName, group: &mut LogGroup) {
    let foreign = gateway.cluster.addresses_of_other_services(service);
    group.release_addresses(&foreign, |id| gateway.cluster.is_listed(id));
    for instance in gateway.cluster.listed_instances(service) {
        group.admit(&instance);
    }
}

/// The logs that may hold commits of a service, by the stored record and by what this
/// node knows. If the record cannot be read, no statuses are a proof.
pub(crate) async fn read_holders<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> LogHolders {
    let forbids_loss = gateway.cluster.forbids_loss(service);
    let mut group = LogGroup::default();
    if forbids_loss {
        match read(gateway, service).await {
            Ok(read) => group = completed(gateway, service, &read),
            Err(error) => {
                Event::warn("log_group_not_read")
                    .field("service", service)
                    .field("reason", error)
                    .log();
                admit_listed(gateway, service, &mut group);
            }
        }
    }
    let guaranteed = gateway.cluster.guaranteed_replicas(service);
    LogHolders {
        synchronous: group.synchronous.min(guaranteed),
        group,
        instances: gateway.cluster.count_log_holders(service, Instant::now()),
        forbids_loss,
    }
}

async fn read<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
) -> Result<RowRead<LogGroup>, StoreError> {
    let table = FleetTable::LogGroups;
    let call = read_row(gateway, table, service, CallReason::LogGroup, decode);
    with_timeout(call, CALL_TIMEOUT).await
}

/// Writes a record if it has not changed since it was read; returns whether it was
/// written.
async fn write<P: Platform>(
    gateway: &Gateway<P>,
    service: &ServiceName,
    group: &LogGroup,
    version: StoreRevision,
) -> Result<bool, StoreError> {
    gateway.metrics.store_calls.count(CallReason::LogGroup);
    let rows = [RowWrite {
        table: FleetTable::LogGroups,
        key: service,
        value: encode(group),
        expected: Some(version),
    }];
    let call = gateway.platform.write_rows(&rows);
    let written = with_timeout(call, CALL_TIMEOUT).await?;
    Ok(matches!(written, WriteResult::Written(_)))
}

fn log_recorded(service: &ServiceName, group: &LogGroup) {
    let members = group.members.iter().map(|member| {
        let state = format!("{:?}", member.state);
        format!("{}:{}", member.id, state.to_lowercase())
    });
    Event::info("log_group_recorded")
        .field("service", service)
        .field("members", members.collect::<Vec<_>>().join(","))
        .field("synchronous", group.synchronous)
        .log();
}
