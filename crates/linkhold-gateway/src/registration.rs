//! Registers nodes in the metadata store.
//!
//! Each node has a row, keyed by zone and name. It is renewed at an interval
//! that grows with the fleet; one that was not renewed for some intervals on the
//! store's clock is gone. Followers of a reader tell it that they live, and it
//! renews their rows with its own in one call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::readers::{self, LARGEST_FOLLOWING_FLEET};
use linkhold_events::Event;
use linkhold_peer::{FeedNode, PeerKey};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::fleet::{self, Renewal};
use crate::gateway::Gateway;
use crate::ports::{
    FleetTable, MOST_ROWS_AT_ONCE, NewRow, Platform, RowRange, StoreError, StoredRows, WriteResult,
};

/// Pause before registering is tried again after a failure, at the least.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// When a node that has just registered looks at the fleet again.
const SECOND_LOOK: Duration = Duration::from_millis(400);
/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a node that stops waits for its row to be removed.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// For how long after its row has expired a node is still asked before a
/// primary is replaced: it may live and have lost the store alone.
const FORMER_TIME: Duration = Duration::from_secs(30);
/// How long reading them may take: a primary waits to be replaced.
const LIST_TIMEOUT: Duration = Duration::from_millis(500);
/// Row of the key between nodes.
const PEER_KEY_ROW: &str = "peer";
/// Bytes of that key.
const PEER_KEY_LENGTH: usize = 32;

/// A node's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NodeRow {
    /// Its name.
    name: String,
    /// Where other nodes reach it.
    address: Option<SocketAddr>,
    /// Its zone.
    zone: String,
    /// When it was written, on the store's clock in milliseconds.
    renewed_at: u64,
}

/// Keeps this node registered and the view of the fleet fresh. Runs until the
/// node leaves.
pub(crate) async fn keep_registered<P: Platform>(gateway: Arc<Gateway<P>>) {
    let mut is_first = true;
    while !gateway.is_leaving() {
        let pause = match register(&gateway).await {
            // Nodes that start together see each other at the second look.
            Ok(()) if std::mem::take(&mut is_first) => SECOND_LOOK,
            Ok(()) if gateway.fleet.has_readers() => readers::FOLLOWER_RENEWAL,
            Ok(()) => readers::renewal_interval(gateway.fleet.size()),
            Err(error) => {
                gateway.metrics.store_failures.add();
                Event::info("registration_failed")
                    .field("error", error)
                    .log();
                RETRY_INTERVAL.max(gateway.longest_store_pause())
            }
        };
        sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

async fn register<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    if gateway.fleet.key().is_none() {
        let key = bounded(shared_key(gateway)).await?;
        gateway.fleet.set_key(key);
    }
    if gateway.sources.is_following() {
        // The reader renews this node's row.
        return Ok(());
    }
    // Rows are renewed first: what is read then holds this node, and after the
    // store was lost for long, all rows would be too old to count. The clock is
    // known from reading the key.
    let now = gateway.fleet.store_time().ok_or(StoreError::Refused)?;
    renew_rows(gateway, now).await?;
    read_fleet(gateway).await
}

/// Renews the rows of this node and of those that follow it.
async fn renew_rows<P: Platform>(gateway: &Gateway<P>, now: u64) -> Result<(), StoreError> {
    let own = Renewal {
        node: fleet::own_node(gateway),
        heard_at: Instant::now(),
    };
    let renewals: Vec<Renewal> = std::iter::once(own)
        .chain(gateway.fleet.take_renewals())
        .collect();
    for part in renewals.chunks(MOST_ROWS_AT_ONCE) {
        let rows: Result<Vec<NewRow>, StoreError> =
            part.iter().map(|renewal| new_row(renewal, now)).collect();
        bounded(gateway.platform.write_rows(FleetTable::Nodes, &rows?)).await?;
    }
    Ok(())
}

/// The row of a node that lives, dated back to when it said so.
fn new_row(renewal: &Renewal, now: u64) -> Result<NewRow, StoreError> {
    let age = u64::try_from(renewal.heard_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    let node = &renewal.node;
    let row = NodeRow {
        name: node.name.clone(),
        address: node.address,
        zone: node.zone.clone(),
        renewed_at: now.saturating_sub(age),
    };
    Ok(NewRow {
        key: row_key(&node.zone, &node.name),
        value: serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?,
    })
}

/// Reads the fleet, as far as it is counted.
async fn read_fleet<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    let range = RowRange::From {
        key: "",
        limit: LARGEST_FOLLOWING_FLEET + 1,
    };
    let rows = bounded(gateway.platform.read_rows(FleetTable::Nodes, range)).await?;
    gateway.fleet.set_store_time(rows.now);
    fleet::adopt_nodes(gateway, fresh_nodes(&rows));
    Ok(())
}

async fn bounded<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}

/// Key of a node's row: zones first, so that a zone's rows lie together.
fn row_key(zone: &str, name: &str) -> String {
    format!("{zone}/{name}")
}

/// Takes this node out of the fleet, so that nobody waits for its answers.
pub(crate) async fn deregister<P: Platform>(gateway: &Gateway<P>) {
    let key = row_key(&gateway.settings.places.zone, &gateway.settings.node);
    let removal = gateway.platform.remove_row(FleetTable::Nodes, &key);
    // Without it, the row expires by itself.
    let _ = timeout(DEREGISTER_TIMEOUT, removal).await;
}

/// The key between nodes; made by whichever node comes first.
async fn shared_key<P: Platform>(gateway: &Gateway<P>) -> Result<PeerKey, StoreError> {
    let own: [u8; PEER_KEY_LENGTH] = rand::random();
    let known = gateway
        .platform
        .read_rows(FleetTable::Keys, RowRange::Key(PEER_KEY_ROW))
        .await?;
    gateway.fleet.set_store_time(known.now);
    if let Some(row) = known.rows.into_iter().next() {
        return Ok(PeerKey::new(row.value));
    }
    let written = gateway
        .platform
        .write_row(FleetTable::Keys, PEER_KEY_ROW, own.to_vec(), Some(0))
        .await?;
    match written {
        WriteResult::Written => Ok(PeerKey::new(own)),
        // Another node was first; its key is read at the next try.
        WriteResult::Conflict => Err(StoreError::Refused),
    }
}

/// The nodes in rows that were renewed lately, in the order of their keys.
fn fresh_nodes(rows: &StoredRows) -> Vec<FeedNode> {
    let expiry = readers::row_expiry(rows.rows.len());
    node_rows(rows)
        .filter(|(_, age)| *age < expiry)
        .map(|(node, _)| FeedNode {
            name: node.name,
            zone: node.zone,
            address: node.address,
        })
        .collect()
}

/// The rows of nodes that can be read, and how long ago each was renewed.
fn node_rows(rows: &StoredRows) -> impl Iterator<Item = (NodeRow, Duration)> {
    rows.rows.iter().filter_map(|row| {
        let node: NodeRow = serde_json::from_slice(&row.value).ok()?;
        let age = Duration::from_millis(rows.now.saturating_sub(node.renewed_at));
        Some((node, age))
    })
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
    let reading = gateway.platform.read_rows(FleetTable::Nodes, RowRange::All);
    let rows = timeout(LIST_TIMEOUT, reading)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))?;
    let expiry = readers::row_expiry(rows.rows.len());
    let mut listed = ListedNodes {
        present: Vec::new(),
        former: Vec::new(),
    };
    for (node, age) in node_rows(&rows) {
        let Some(address) = node.address.filter(|_| node.name != gateway.settings.node) else {
            continue;
        };
        if age < expiry {
            listed.present.push(address);
        } else if age < expiry + FORMER_TIME {
            listed.former.push(address);
        }
    }
    Ok(listed)
}
