//! Registers nodes in the metadata store and refreshes the view of the fleet.
//!
//! A node that reads the store renews its row at an interval; a row that was not
//! renewed for long on the store's clock expires. Followers send renewals to their
//! reader, and its row lists them ([`crate::registry`]).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::permission::RenewalOutcome;
use linkhold_core::service::primary_verification::PromotionRecord;
use linkhold_core::service::readers;
use linkhold_core::service::store_revision::{Era, StoreRevision};
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, PeerKey};
use tokio::time::{sleep, timeout_at};

use crate::failover;
use crate::fleet::{self, ReaderCandidacy};
use crate::gateway::Gateway;
use crate::name_conflicts::NameConflicts;
use crate::ports::{FleetTable, Platform, RowRange, RowWrite, StoreError, WriteResult};
use crate::registry::{self, ERA_ROW, EraRow, PEER_KEY_ROW, Process, Registry};
use crate::store_call::{CALL_TIMEOUT, CallReason, READ_TIMEOUT, with_timeout};

/// Minimum pause before registration is retried after a failure.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Maximum further pause after a failure while no other call of this node is answered.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(2_500);
/// When a node that has just registered reads the fleet again.
const FIRST_REREAD_DELAY: Duration = Duration::from_millis(400);
/// How often a reader reads the fleet while it changes: followers learn of each other
/// within this time.
const CHANGING_FLEET_INTERVAL: Duration = Duration::from_millis(1_000);
/// Followers that arrive within this time are listed in one call.
const ARRIVAL_BATCH_TIME: Duration = Duration::from_millis(60);
/// How long a stopping node waits for its row to be removed.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a stopping follower waits for its leave notice to be sent.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(30);
/// How long listing all nodes may take: the replacement of a primary waits for it.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Length of the key between nodes, in bytes.
const PEER_KEY_LENGTH: usize = 32;

/// Renews this node's registration and its view of the fleet while it reads the store.
/// Runs until the node leaves.
pub(crate) async fn keep_registered<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut is_first = true;
    loop {
        gateway.sources.wait_until_reading().await;
        if gateway.is_leaving() {
            break;
        }
        let pause = match renew_and_read_fleet(&gateway).await {
            // Nodes that start together see each other in the second read.
            Ok(_) if std::mem::take(&mut is_first) => FIRST_REREAD_DELAY,
            Ok(has_changed) => next_read_pause(&gateway, has_changed),
            Err(error) => {
                wait_after_failure(&gateway, error).await;
                continue;
            }
        };
        let until = Instant::now() + pause.mul_f64(rand::random_range(0.8..1.2));
        list_new_followers(&gateway, until).await;
    }
    // No node should choose this one as a reader any more.
    gateway.fleet.stop_reading();
    if let Err(error) = write_row(&gateway).await {
        log_failure(&gateway, error);
    }
}

/// The pause before the fleet is read again.
fn next_read_pause<P: Platform>(gateway: &Gateway<P>, has_changed: bool) -> Duration {
    if !gateway.fleet.is_settled() {
        return CHANGING_FLEET_INTERVAL;
    }
    match (gateway.fleet.has_readers(), has_changed) {
        (true, true) => CHANGING_FLEET_INTERVAL,
        (true, false) => readers::FOLLOWER_RENEWAL_INTERVAL,
        (false, _) => readers::RENEWAL_INTERVAL,
    }
}

/// Counts and logs a failure to write the row or to read the fleet.
pub(crate) fn log_failure<P: Platform>(gateway: &Gateway<P>, error: StoreError) {
    gateway.metrics.store_failures.add();
    Event::info("registration_failed")
        .field("error", error)
        .log();
}

/// Waits after a failure until the store answers another call of this node, at most
/// [`MAX_RETRY_PAUSE`] after the minimum pause.
async fn wait_after_failure<P: Platform>(gateway: &Gateway<P>, error: StoreError) {
    log_failure(gateway, error);
    let spread = rand::random_range(0.8..1.2);
    sleep(MIN_RETRY_PAUSE.mul_f64(spread)).await;
    gateway
        .sources
        .wait_for_store(MAX_RETRY_PAUSE.mul_f64(spread))
        .await;
}

/// Lists followers that arrive before `until`.
async fn list_new_followers<P: Platform>(gateway: &Gateway<P>, until: Instant) {
    while timeout_at(until.into(), gateway.followers.changed())
        .await
        .is_ok()
    {
        sleep(ARRIVAL_BATCH_TIME).await;
        if !gateway.sources.is_reading() || gateway.is_leaving() {
            return;
        }
        if let Err(error) = write_row(gateway).await {
            wait_after_failure(gateway, error).await;
            return;
        }
    }
}

/// Renews this node's row and reads the fleet. Returns whether the fleet has changed.
async fn renew_and_read_fleet<P: Platform>(gateway: &Gateway<P>) -> Result<bool, StoreError> {
    // The row is written first, so that the rows read next include this node.
    register(gateway).await?;
    let registry = read_registry(gateway, CallReason::Fleet).await?;
    gateway.own_row.set_version(registry.own_version);
    restore_lost_rows(gateway, &registry).await?;
    Ok(fleet::adopt_registry(
        gateway,
        &registry,
        ReaderCandidacy::Yes,
    ))
}

/// Writes the shared rows that a store restored from an older copy lacks: the key between
/// nodes, and since when nodes know of the store's new era.
async fn restore_lost_rows<P: Platform>(
    gateway: &Gateway<P>,
    registry: &Registry,
) -> Result<(), StoreError> {
    let mut rows = Vec::new();
    if registry.is_era_row_outdated() {
        rows.push(era_row(registry.era, registry.now, registry.era_version)?);
    }
    let lost_key = gateway.fleet.key().filter(|_| registry.key.is_none());
    if let Some(key) = lost_key {
        rows.push(RowWrite {
            table: FleetTable::Nodes,
            key: PEER_KEY_ROW,
            value: key.secret().to_vec(),
            expected: Some(StoreRevision::default()),
        });
    }
    if rows.is_empty() {
        return Ok(());
    }
    gateway.metrics.store_calls.count(CallReason::Key);
    let call = gateway.platform.write_rows(&rows);
    // Another node may have written them first.
    with_timeout(call, CALL_TIMEOUT).await.map(|_| ())
}

fn era_row(era: Era, since: u64, expected: StoreRevision) -> Result<RowWrite<'static>, StoreError> {
    let row = EraRow { era: era.0, since };
    Ok(RowWrite {
        table: FleetTable::Nodes,
        key: ERA_ROW,
        value: serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?,
        expected: Some(expected),
    })
}

/// Writes this node's row, for the first time if necessary. Reads the fleet and obtains the
/// peer key before if they are unknown.
pub(crate) async fn register<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    if gateway.fleet.store_time().is_none() {
        read_fleet(gateway).await?;
    }
    if gateway.fleet.key().is_none() {
        let key = obtain_peer_key(gateway).await?;
        gateway.fleet.set_key(key);
    }
    write_row(gateway).await
}

/// How often a row is written in one call: a second time if an earlier, unanswered write of
/// this node took effect in between.
const MAX_WRITE_ATTEMPTS: usize = 2;

/// Writes this node's own row on condition that no other process has written it.
async fn write_own_row<P: Platform>(
    gateway: &Gateway<P>,
    row: &registry::NewRow,
    own: &Process,
) -> Result<(), StoreError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let version = own_row_version(gateway, &row.key, own).await?;
        let rows = [RowWrite {
            table: FleetTable::Nodes,
            key: &row.key,
            value: row.value.clone(),
            expected: Some(version),
        }];
        let call = gateway.platform.write_rows(&rows);
        gateway.metrics.store_calls.count(CallReason::Register);
        if let WriteResult::Written(version) = with_timeout(call, CALL_TIMEOUT).await? {
            gateway.own_row.mark_written();
            // If this version is stale, the next write conflicts and the row is read.
            gateway.own_row.set_version(version);
            return Ok(());
        }
    }
    Err(StoreError::Refused)
}

/// Returns the version of this node's own row, reading it if unknown. If another process
/// has written the row since, other nodes ask that process instead: the permission is
/// revoked and the result is `Refused`.
async fn own_row_version<P: Platform>(
    gateway: &Gateway<P>,
    key: &str,
    own: &Process,
) -> Result<StoreRevision, StoreError> {
    if let Some(version) = gateway.own_row.take_version() {
        return Ok(version);
    }
    if !gateway.own_row.was_written() {
        return claim_name(gateway, own).await;
    }
    let registry = read_rows(
        gateway,
        RowRange::Key(key),
        CALL_TIMEOUT,
        CallReason::Register,
    )
    .await?;
    let writer = registry.own_writer.as_ref();
    if writer.is_some_and(|writer| writer != own) {
        Event::warn("name_taken_by_another").log();
        gateway.cluster.permission.revoke();
        return Err(StoreError::Refused);
    }
    Ok(registry.own_version)
}

/// Claims this node's name; refused while another process holds it in any row. Returns the
/// version of the node's own row. A process that held the name recently stays listed as a
/// follower of this node: confirmations may still let it acknowledge for primaries.
async fn claim_name<P: Platform>(
    gateway: &Gateway<P>,
    own: &Process,
) -> Result<StoreRevision, StoreError> {
    let registry = read_registry(gateway, CallReason::Register).await?;
    let others = registry.other_processes_of_name(own).cloned().collect();
    let conflicts = NameConflicts::probe(others).await;
    if conflicts.is_name_held(own) {
        return Err(StoreError::Refused);
    }
    gateway.followers.restore(&conflicts.former);
    Ok(registry.own_version)
}

/// Writes the row of this node and its followers, on condition that the row is unchanged
/// since it was read: an unanswered write that takes effect seconds later would remove
/// followers that arrived meanwhile. Newly listed nodes learn which leases were claimed by
/// then, because they were not asked to agree under these leases.
async fn write_row<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let _writing = gateway.own_row.lock_for_write().await;
    // Taken first: a renewal counted from here is older than the row says, never younger.
    let sent_at = Instant::now();
    // The first read of the fleet sets the clock.
    let now = gateway.fleet.store_time().ok_or(StoreError::NoAnswer)?;
    let own = fleet::own_node(gateway);
    let process = Process::of(&own);
    if !gateway.own_row.was_written() {
        // The row then lists the former processes of this name.
        let version = claim_name(gateway, &process).await?;
        gateway.own_row.set_version(version);
    }
    let list = gateway.followers.list();
    let reads_since = gateway.fleet.reads_since();
    let is_reached = own.address.is_some() || gateway.settings.peer_address.is_none();
    let row = registry::encode_row(own, reads_since, &list.followers, now)?;
    write_own_row(gateway, &row, &process).await?;
    if !is_reached {
        // Other nodes cannot ask this one, so it gets no permission.
        return Ok(());
    }
    let renewed = gateway.cluster.permission.record_renewal(sent_at);
    let claims = if renewed == RenewalOutcome::NeedsAdmission || list.covers.has_arrivals() {
        let known = failover::recent_claims(gateway).await?;
        adopt_promotion_records(gateway, &known.records);
        Some(known)
    } else {
        None
    };
    if renewed == RenewalOutcome::NeedsAdmission {
        let claims = claims.as_ref().map_or(&[][..], |known| &known.claims);
        gateway.cluster.permission.record_admission(sent_at, claims);
    }
    gateway.followers.record_written_row(list.covers, claims);
    Ok(())
}

async fn read_registry<P: Platform>(
    gateway: &Gateway<P>,
    reason: CallReason,
) -> Result<Registry, StoreError> {
    let limit = match reason {
        CallReason::List => LIST_TIMEOUT,
        _ => READ_TIMEOUT,
    };
    let registry = read_rows(gateway, RowRange::All, limit, reason).await?;
    gateway.store_era.observe(registry.era);
    Ok(registry)
}

async fn read_rows<P: Platform>(
    gateway: &Gateway<P>,
    range: RowRange<'_>,
    limit: Duration,
    reason: CallReason,
) -> Result<Registry, StoreError> {
    let call = gateway.platform.read_rows(FleetTable::Nodes, range);
    gateway.metrics.store_calls.count(reason);
    let asked_at = Instant::now();
    let rows = with_timeout(call, limit).await?;
    Ok(Registry::decode(&rows, asked_at, &gateway.settings.node))
}

/// Reads the fleet without being a part of it yet.
pub(crate) async fn read_fleet<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let registry = read_registry(gateway, CallReason::Look).await?;
    fleet::adopt_registry(gateway, &registry, ReaderCandidacy::No);
    Ok(())
}

/// Removes this node from the fleet, so that other nodes do not wait for its answers.
pub(crate) async fn deregister<P: Platform>(gateway: &Gateway<P>) {
    if gateway.sources.is_following() {
        gateway.reader_link.send(FeedMessage::Leaving);
        sleep(LEAVE_NOTICE_TIME).await;
        return;
    }
    if !gateway.own_row.was_written() {
        return;
    }
    if let Err(error) = with_timeout(withdraw_own_row(gateway), DEREGISTER_TIMEOUT).await {
        // The row expires by itself.
        log_failure(gateway, error);
    }
}

/// Removes this node's own row. Followers that no other row lists may be paused processes
/// that acknowledge for primaries when they resume: while they must be consulted, the row
/// stays and lists only them.
async fn withdraw_own_row<P: Platform>(gateway: &Gateway<P>) -> Result<WriteResult, StoreError> {
    let own = fleet::own_node(gateway);
    let key = registry::row_key(&own.zone, &own.name);
    let version = own_row_version(gateway, &key, &Process::of(&own)).await?;
    let mut followers = gateway.followers.list().followers;
    if !followers.is_empty() {
        let others = read_other_rows(gateway, &key).await?;
        followers.retain(|follower| !others.lists_as_present(&Process::of(&follower.node)));
    }
    gateway.metrics.store_calls.count(CallReason::Remove);
    // The version check keeps a late removal from changing a row that the next process of
    // this node has written.
    if followers.is_empty() {
        let removal = gateway
            .platform
            .remove_row(FleetTable::Nodes, &key, version);
        return removal.await;
    }
    let now = gateway.fleet.store_time().ok_or(StoreError::NoAnswer)?;
    let row = registry::encode_followers_only(own, &followers, now)?;
    let rows = [RowWrite {
        table: FleetTable::Nodes,
        key: &row.key,
        value: row.value,
        expected: Some(version),
    }];
    gateway.platform.write_rows(&rows).await
}

/// Adopts the store's records of earlier promotions.
pub(crate) fn adopt_promotion_records<P: Platform>(
    gateway: &Gateway<P>,
    records: &[(ServiceName, PromotionRecord)],
) {
    for (service, record) in records {
        if let Some(term) = record.proved_term {
            gateway.cluster.observe_proved_term(service, term);
        }
        if !record.claimed.is_empty() {
            gateway.cluster.mark_promotion_unconfirmed(service);
        }
    }
    gateway.promotion_records.replace(records);
}

/// Reads all rows except the row with a key.
async fn read_other_rows<P: Platform>(
    gateway: &Gateway<P>,
    key: &str,
) -> Result<Registry, StoreError> {
    gateway.metrics.store_calls.count(CallReason::List);
    let asked_at = Instant::now();
    let call = gateway.platform.read_rows(FleetTable::Nodes, RowRange::All);
    let mut rows = with_timeout(call, LIST_TIMEOUT).await?;
    rows.rows.retain(|row| row.key != key);
    Ok(Registry::decode(&rows, asked_at, &gateway.settings.node))
}

/// Returns the key between nodes; the first node that writes one creates it.
async fn obtain_peer_key<P: Platform>(gateway: &Gateway<P>) -> Result<PeerKey, StoreError> {
    let own: [u8; PEER_KEY_LENGTH] = rand::random();
    let key = RowWrite {
        table: FleetTable::Nodes,
        key: PEER_KEY_ROW,
        value: own.to_vec(),
        expected: Some(StoreRevision::default()),
    };
    let rows = [key];
    let call = gateway.platform.write_rows(&rows);
    gateway.metrics.store_calls.count(CallReason::Key);
    match with_timeout(call, CALL_TIMEOUT).await? {
        WriteResult::Written(_) => {
            write_first_era(gateway).await?;
            Ok(PeerKey::new(own))
        }
        WriteResult::Conflict => {
            let registry = read_registry(gateway, CallReason::Key).await?;
            registry.key.ok_or(StoreError::Malformed)
        }
    }
}

/// Records that the store was already in its present era when the first node ever started:
/// no node can have been lost with an earlier era.
async fn write_first_era<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let era = gateway.store_era.latest();
    if era == Era::default() {
        return Ok(());
    }
    let rows = [era_row(era, 0, StoreRevision::default())?];
    gateway.metrics.store_calls.count(CallReason::Key);
    let call = gateway.platform.write_rows(&rows);
    with_timeout(call, CALL_TIMEOUT).await.map(|_| ())
}

/// Addresses of the other nodes listed in the store.
pub(crate) struct ListedNodes {
    /// Nodes that count as present.
    pub present: Vec<SocketAddr>,
    /// Nodes whose entries expired recently.
    pub former: Vec<SocketAddr>,
}

/// Reads all other nodes from the store, however many there are. Fails with `OtherEra` if a
/// restored store may lack nodes.
pub(crate) async fn list_nodes<P: Platform>(
    gateway: &Gateway<P>,
) -> Result<ListedNodes, StoreError> {
    let registry = read_registry(gateway, CallReason::List).await?;
    if registry.may_lack_nodes() {
        return Err(StoreError::OtherEra);
    }
    let own = Process::of(&fleet::own_node(gateway));
    let mut listed = ListedNodes {
        present: Vec::new(),
        former: Vec::new(),
    };
    let ended = ended_replaced_processes(&registry).await;
    let processes = registry.processes.iter();
    for (process, registration) in processes.filter(|(process, _)| **process != own) {
        let Some(address) = process.address.filter(|_| !ended.contains(process)) else {
            continue;
        };
        if registration.is_present() {
            listed.present.push(address);
        } else if registration.is_consulted() {
            listed.former.push(address);
        }
    }
    Ok(listed)
}

/// Processes that have ended and whose names other processes have taken since.
async fn ended_replaced_processes(registry: &Registry) -> BTreeSet<Process> {
    let replaced = registry.replaced_processes().cloned().collect();
    let conflicts = NameConflicts::probe(replaced).await;
    let ended = conflicts.ended.iter();
    ended.map(|it| Process::of(&it.node)).collect()
}
