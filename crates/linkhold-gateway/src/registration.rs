//! Registers nodes in the metadata store and keeps the view of the fleet.
//!
//! A node that reads the store renews its row at an interval; one that was not
//! renewed for long on the store's clock is gone. Followers of a reader tell it
//! that they live, and its row lists them ([`crate::registry`]).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::lead::LeadRecord;
use linkhold_core::service::permission::Renewed;
use linkhold_core::service::readers;
use linkhold_core::service::store_place::{Era, StorePlace};
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, PeerKey};
use tokio::time::{sleep, timeout_at};

use crate::failover;
use crate::fleet::{self, Reading};
use crate::gateway::Gateway;
use crate::name_conflicts::NameConflicts;
use crate::ports::{FleetTable, Platform, RowRange, RowWrite, StoreError, WriteResult};
use crate::registry::{self, ERA_ROW, EraRow, PEER_KEY_ROW, Process, Registry};
use crate::store_call::{CALL_TIMEOUT, CallReason, READ_TIMEOUT, with_timeout};

/// Pause before registering is tried again after a failure, at the least.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Longest pause after a failure while nothing tells that the store is back.
const LONGEST_RETRY: Duration = Duration::from_millis(2_500);
/// When a node that has just registered looks at the fleet again.
const SECOND_LOOK: Duration = Duration::from_millis(400);
/// When a reader looks at the fleet again while it changes: followers are told
/// of each other that soon.
const CHANGING_INTERVAL: Duration = Duration::from_millis(1_000);
/// Followers that come closer together are listed in one call.
const GATHER_TIME: Duration = Duration::from_millis(60);
/// How long a node that stops waits for its row to be removed.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the word of a follower that stops takes to go out.
const FAREWELL_TIME: Duration = Duration::from_millis(30);
/// How long reading them may take: a primary waits to be replaced.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of the key between nodes.
const PEER_KEY_LENGTH: usize = 32;

/// Keeps this node registered, and its view of the fleet fresh, whenever it
/// reads the store. Runs until the node leaves.
pub(crate) async fn keep_registered<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut is_first = true;
    loop {
        gateway.sources.wait_until_reading().await;
        if gateway.is_leaving() {
            break;
        }
        let pause = match register(&gateway).await {
            // Nodes that start together see each other at the second look.
            Ok(_) if std::mem::take(&mut is_first) => SECOND_LOOK,
            Ok(has_changed) => pause(&gateway, has_changed),
            Err(error) => {
                failed(&gateway, error).await;
                continue;
            }
        };
        let until = Instant::now() + pause.mul_f64(rand::random_range(0.8..1.2));
        list_arrivals(&gateway, until).await;
    }
    // Nobody is to choose it as a reader any more.
    gateway.fleet.give_up_reading();
    if let Err(error) = write_row(&gateway).await {
        log_failure(&gateway, error);
    }
}

/// How soon the fleet is looked at again.
fn pause<P: Platform>(gateway: &Gateway<P>, has_changed: bool) -> Duration {
    if !gateway.fleet.is_settled() {
        return CHANGING_INTERVAL;
    }
    match (gateway.fleet.has_readers(), has_changed) {
        (true, true) => CHANGING_INTERVAL,
        (true, false) => readers::FOLLOWER_RENEWAL,
        (false, _) => readers::RENEWAL,
    }
}

/// Logs that the row could not be written or the fleet not be read.
pub(crate) fn log_failure<P: Platform>(gateway: &Gateway<P>, error: StoreError) {
    gateway.metrics.store_failures.add();
    Event::info("registration_failed")
        .field("error", error)
        .log();
}

/// Waits after a failure until the store answers others of this node's calls, or
/// for so long that it is worth another try.
async fn failed<P: Platform>(gateway: &Gateway<P>, error: StoreError) {
    log_failure(gateway, error);
    let spread = rand::random_range(0.8..1.2);
    sleep(RETRY_INTERVAL.mul_f64(spread)).await;
    gateway
        .sources
        .wait_for_store(LONGEST_RETRY.mul_f64(spread))
        .await;
}

/// Lists followers that come before `until`.
async fn list_arrivals<P: Platform>(gateway: &Gateway<P>, until: Instant) {
    while timeout_at(until.into(), gateway.followers.changed())
        .await
        .is_ok()
    {
        sleep(GATHER_TIME).await;
        if !gateway.sources.is_reading() || gateway.is_leaving() {
            return;
        }
        if let Err(error) = write_row(gateway).await {
            failed(gateway, error).await;
            return;
        }
    }
}

/// Renews this node's row and reads the fleet; whether it has changed.
async fn register<P: Platform>(gateway: &Gateway<P>) -> Result<bool, StoreError> {
    // Rows are renewed first: what is read then holds this node.
    enlist(gateway).await?;
    let registry = read_registry(gateway, CallReason::Fleet).await?;
    gateway.own_row.read(registry.own_version);
    write_what_is_lost(gateway, &registry).await?;
    Ok(fleet::adopt_registry(gateway, &registry, Reading::Yes))
}

/// Writes what all nodes share and a store that came back from an older copy lacks: the
/// key between them, and since when they know of the copy.
async fn write_what_is_lost<P: Platform>(
    gateway: &Gateway<P>,
    registry: &Registry,
) -> Result<(), StoreError> {
    let mut rows = Vec::new();
    if registry.lacks_era() {
        rows.push(era_row(registry.era, registry.now, registry.era_version)?);
    }
    let lost_key = gateway.fleet.key().filter(|_| registry.key.is_none());
    if let Some(key) = lost_key {
        rows.push(RowWrite {
            table: FleetTable::Nodes,
            key: PEER_KEY_ROW,
            value: key.secret().to_vec(),
            expected: Some(StorePlace::default()),
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

fn era_row(era: Era, since: u64, expected: StorePlace) -> Result<RowWrite<'static>, StoreError> {
    let row = EraRow { era: era.0, since };
    Ok(RowWrite {
        table: FleetTable::Nodes,
        key: ERA_ROW,
        value: serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?,
        expected: Some(expected),
    })
}

/// Writes this node's row, which may be its first.
pub(crate) async fn enlist<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    if gateway.fleet.store_time().is_none() {
        look(gateway).await?;
    }
    if gateway.fleet.key().is_none() {
        let key = shared_key(gateway).await?;
        gateway.fleet.set_key(key);
    }
    write_row(gateway).await
}

/// Times that a row is written in a call: once more if a write of this node's own, which
/// had got no answer, came in between.
const WRITE_TRIES: usize = 2;

/// Writes this node's own row under the condition that no other process has written it.
async fn write_own<P: Platform>(
    gateway: &Gateway<P>,
    row: &registry::NewRow,
    own: &Process,
) -> Result<(), StoreError> {
    for _ in 0..WRITE_TRIES {
        let version = own_version(gateway, &row.key, own).await?;
        let rows = [RowWrite {
            table: FleetTable::Nodes,
            key: &row.key,
            value: row.value.clone(),
            expected: Some(version),
        }];
        let call = gateway.platform.write_rows(&rows);
        gateway.metrics.store_calls.count(CallReason::Register);
        if let WriteResult::Written(version) = with_timeout(call, CALL_TIMEOUT).await? {
            gateway.own_row.written();
            // If it is not that, the next write is refused, and the row is read.
            gateway.own_row.read(version);
            return Ok(());
        }
    }
    Err(StoreError::Refused)
}

/// The version of this node's own row, which is read if it is not known. A row that
/// another process has written since this one did means that the others ask that one.
async fn own_version<P: Platform>(
    gateway: &Gateway<P>,
    key: &str,
    own: &Process,
) -> Result<StorePlace, StoreError> {
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
        gateway.beliefs.permission.revoke();
        return Err(StoreError::Refused);
    }
    Ok(registry.own_version)
}

/// Makes sure that no other process has this node's name, wherever it is listed; the
/// version of the node's own row. One that had the name lately stays listed as a follower
/// of this node: it may speak for primaries by what others confirm to it.
async fn claim_name<P: Platform>(
    gateway: &Gateway<P>,
    own: &Process,
) -> Result<StorePlace, StoreError> {
    let registry = read_registry(gateway, CallReason::Register).await?;
    let others = registry.other_processes(own).cloned().collect();
    let conflicts = NameConflicts::probe(others).await;
    if conflicts.is_name_held(own) {
        return Err(StoreError::Refused);
    }
    gateway.followers.restore(&conflicts.former);
    Ok(registry.own_version)
}

/// Writes the row of this node and of those that follow it, under the condition that
/// nobody has written it since it was read: a write without an answer that is done
/// seconds later would take followers off the list that came meanwhile. Whoever is listed anew
/// learns which leases were claimed by then: it was not asked under these.
async fn write_row<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let _writing = gateway.own_row.turn_to_write().await;
    // What is counted from here is older than the row says, never younger.
    let sent_at = Instant::now();
    // The clock is known from the first look.
    let now = gateway.fleet.store_time().ok_or(StoreError::NoAnswer)?;
    let own = fleet::own_node(gateway);
    let process = Process::of(&own);
    if !gateway.own_row.was_written() {
        // Who had the name before is listed with it.
        let version = claim_name(gateway, &process).await?;
        gateway.own_row.read(version);
    }
    let list = gateway.followers.list();
    let reads_since = gateway.fleet.reads_since();
    let is_reached = own.address.is_some() || gateway.settings.peer_address.is_none();
    let row = registry::encode_row(own, reads_since, &list.followers, now)?;
    write_own(gateway, &row, &process).await?;
    if !is_reached {
        // Nobody can ask it.
        return Ok(());
    }
    let renewed = gateway.beliefs.permission.record_renewal(sent_at);
    let claims = if renewed == Renewed::ToBeAdmitted || list.covers.has_arrivals() {
        let known = failover::recent_claims(gateway).await?;
        adopt_lead_records(gateway, &known.records);
        Some(known)
    } else {
        None
    };
    if renewed == Renewed::ToBeAdmitted {
        let claims = claims.as_ref().map_or(&[][..], |known| &known.claims);
        gateway.beliefs.permission.record_admission(sent_at, claims);
    }
    gateway.followers.written(list.covers, claims);
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

/// Looks at the fleet without being a part of it yet.
pub(crate) async fn look<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let registry = read_registry(gateway, CallReason::Look).await?;
    fleet::adopt_registry(gateway, &registry, Reading::No);
    Ok(())
}

/// Takes this node out of the fleet, so that nobody waits for its answers.
pub(crate) async fn deregister<P: Platform>(gateway: &Gateway<P>) {
    if gateway.sources.is_following() {
        gateway.reader_link.send(FeedMessage::Leaving);
        sleep(FAREWELL_TIME).await;
        return;
    }
    if !gateway.own_row.was_written() {
        return;
    }
    if let Err(error) = with_timeout(withdraw_row(gateway), DEREGISTER_TIMEOUT).await {
        // Without it, the row expires by itself.
        log_failure(gateway, error);
    }
}

/// Removes this node's own row. Followers that no other row lists may stand still and speak
/// for primaries when they wake: as long as they are to be asked, the row lists them alone.
async fn withdraw_row<P: Platform>(gateway: &Gateway<P>) -> Result<WriteResult, StoreError> {
    let own = fleet::own_node(gateway);
    let key = registry::row_key(&own.zone, &own.name);
    let version = own_version(gateway, &key, &Process::of(&own)).await?;
    let mut followers = gateway.followers.list().followers;
    if !followers.is_empty() {
        let others = read_other_rows(gateway, &key).await?;
        followers.retain(|follower| !others.lists_as_present(&Process::of(&follower.node)));
    }
    gateway.metrics.store_calls.count(CallReason::Remove);
    // What is done late changes no row that this node's next life has written.
    if followers.is_empty() {
        let removal = gateway
            .platform
            .remove_row(FleetTable::Nodes, &key, version);
        return removal.await;
    }
    let now = gateway.fleet.store_time().ok_or(StoreError::NoAnswer)?;
    let row = registry::encode_followers_alone(own, &followers, now)?;
    let rows = [RowWrite {
        table: FleetTable::Nodes,
        key: &row.key,
        value: row.value,
        expected: Some(version),
    }];
    gateway.platform.write_rows(&rows).await
}

/// Takes in what the store keeps of earlier promotions.
pub(crate) fn adopt_lead_records<P: Platform>(
    gateway: &Gateway<P>,
    records: &[(ServiceName, LeadRecord)],
) {
    for (service, record) in records {
        if let Some(term) = record.proved_term {
            gateway.beliefs.term_proved(service, term);
        }
        if !record.claimed.is_empty() {
            gateway.beliefs.lead_unsettled(service);
        }
    }
    gateway.lead_records.replace(records);
}

/// Reads all rows but one.
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

/// The key between nodes; made by whichever node comes first.
async fn shared_key<P: Platform>(gateway: &Gateway<P>) -> Result<PeerKey, StoreError> {
    let own: [u8; PEER_KEY_LENGTH] = rand::random();
    let key = RowWrite {
        table: FleetTable::Nodes,
        key: PEER_KEY_ROW,
        value: own.to_vec(),
        expected: Some(StorePlace::default()),
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

/// Tells that the store ran on its era when the first node ever started: no node can have
/// been lost with an earlier one.
async fn write_first_era<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let era = gateway.store_era.latest();
    if era == Era::default() {
        return Ok(());
    }
    let rows = [era_row(era, 0, StorePlace::default())?];
    gateway.metrics.store_calls.count(CallReason::Key);
    let call = gateway.platform.write_rows(&rows);
    with_timeout(call, CALL_TIMEOUT).await.map(|_| ())
}

/// Addresses of the other nodes, as the store lists them.
pub(crate) struct ListedNodes {
    /// Nodes whose rows count.
    pub present: Vec<SocketAddr>,
    /// Nodes whose rows expired lately.
    pub former: Vec<SocketAddr>,
}

/// Reads all other nodes from the store, however many they are.
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
        } else if registration.is_asked() {
            listed.former.push(address);
        }
    }
    Ok(listed)
}

/// Processes that have ended and whose names others have taken since.
async fn ended_replaced_processes(registry: &Registry) -> BTreeSet<Process> {
    let replaced = registry.replaced_processes().cloned().collect();
    let conflicts = NameConflicts::probe(replaced).await;
    let ended = conflicts.ended.iter();
    ended.map(|it| Process::of(&it.node)).collect()
}
