//! The nodes of the fleet, as they register themselves in the metadata store.
//!
//! A node writes its row every [`REGISTER_INTERVAL`] and reads all rows; one
//! that was not renewed for [`EXPIRY`] on the store's clock is gone. The number
//! of nodes decides each node's share of connections. While the store cannot
//! be read, the last view stays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linkhold_core::membership::NodeId;
use linkhold_core::rendezvous;
use linkhold_events::Event;
use linkhold_peer::PeerKey;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::beliefs::lock;
use crate::gateway::Gateway;
use crate::ports::{FleetTable, Platform, StoreError, StoredRows, WriteResult};

/// How often a node renews its row and reads the others'.
const REGISTER_INTERVAL: Duration = Duration::from_millis(4_000);
/// Pause before registering is tried again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Age at which a row no longer counts, on the store's clock.
const EXPIRY: Duration = Duration::from_millis(13_000);
/// How long a call to the store may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a node that stops waits for its row to be removed.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(300);
/// Row of the key between nodes.
const PEER_KEY_ROW: &str = "peer";
/// Bytes of that key.
const PEER_KEY_LENGTH: usize = 32;
/// A node's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NodeRow {
    /// Where other nodes reach it.
    address: Option<SocketAddr>,
    /// When it was written, on the store's clock in milliseconds.
    renewed_at: u64,
}

/// What is known of the fleet.
#[derive(Default)]
pub(crate) struct Fleet {
    view: Mutex<View>,
}

#[derive(Default)]
struct View {
    key: Option<PeerKey>,
    /// Nodes by name, this one included once it is registered.
    nodes: BTreeMap<String, Option<SocketAddr>>,
}

impl Fleet {
    /// The key between nodes.
    pub fn key(&self) -> Option<PeerKey> {
        lock(&self.view).key.clone()
    }

    /// Other nodes' addresses.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        lock(&self.view)
            .nodes
            .iter()
            .filter(|(name, _)| *name != own_name)
            .filter_map(|(_, address)| *address)
            .collect()
    }

    /// This node's place in the order in which nodes take up a duty.
    pub fn rank(&self, own_name: &str, duty: &str) -> usize {
        let view = lock(&self.view);
        let own = NodeId::of_name(own_name);
        let nodes = view.nodes.keys().map(|name| NodeId::of_name(name));
        rendezvous::owners(duty, nodes, view.nodes.len())
            .iter()
            .position(|node| *node == own)
            .unwrap_or(view.nodes.len())
    }
}

/// Keeps this node registered and the view of the fleet fresh. Runs until the
/// node leaves.
pub(crate) async fn keep_registered<P: Platform>(gateway: Arc<Gateway<P>>) {
    while !gateway.is_leaving() {
        let pause = match register(&gateway).await {
            Ok(()) => REGISTER_INTERVAL,
            Err(error) => {
                gateway.metrics.store_failures.add();
                Event::info("registration_failed")
                    .field("error", error)
                    .log();
                RETRY_INTERVAL
            }
        };
        sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

async fn register<P: Platform>(gateway: &Gateway<P>) -> Result<(), StoreError> {
    if gateway.fleet.key().is_none() {
        let key = bounded(shared_key(gateway)).await?;
        lock(&gateway.fleet.view).key = Some(key);
    }
    let rows = bounded(gateway.platform.read_rows(FleetTable::Nodes, None)).await?;
    adopt(gateway, &rows);
    bounded(write_own_row(gateway, rows.now)).await
}

async fn bounded<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}

async fn write_own_row<P: Platform>(gateway: &Gateway<P>, now: u64) -> Result<(), StoreError> {
    let row = NodeRow {
        address: gateway.peers.address(),
        renewed_at: now,
    };
    let value = serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?;
    gateway
        .platform
        .write_row(FleetTable::Nodes, &gateway.settings.node, value, None)
        .await
        .map(|_| ())
}

/// Takes this node out of the fleet, so that nobody waits for its answers.
pub(crate) async fn deregister<P: Platform>(gateway: &Gateway<P>) {
    let node = &gateway.settings.node;
    let removal = gateway.platform.remove_row(FleetTable::Nodes, node);
    // Without it, the row expires by itself.
    let _ = timeout(DEREGISTER_TIMEOUT, removal).await;
}

/// The key between nodes; made by whichever node comes first.
async fn shared_key<P: Platform>(gateway: &Gateway<P>) -> Result<PeerKey, StoreError> {
    let own: [u8; PEER_KEY_LENGTH] = rand::random();
    let known = gateway
        .platform
        .read_rows(FleetTable::Keys, Some(PEER_KEY_ROW))
        .await?;
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

fn adopt<P: Platform>(gateway: &Gateway<P>, rows: &StoredRows) {
    let own_name = &gateway.settings.node;
    let mut nodes = BTreeMap::new();
    nodes.insert(own_name.clone(), gateway.peers.address());
    for row in &rows.rows {
        let Ok(node) = serde_json::from_slice::<NodeRow>(&row.value) else {
            continue;
        };
        let age = Duration::from_millis(rows.now.saturating_sub(node.renewed_at));
        if age < EXPIRY {
            nodes.insert(row.key.clone(), node.address);
        }
    }
    let count = nodes.len();
    let mut view = lock(&gateway.fleet.view);
    let previous = view.nodes.len();
    view.nodes = nodes;
    drop(view);
    if previous != count {
        Event::info("fleet_changed")
            .field("nodes", count)
            .field("previous", previous)
            .log();
    }
    gateway.pools.set_nodes(count, &gateway.beliefs);
}
