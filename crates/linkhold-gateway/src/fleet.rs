//! The nodes of the fleet, as they register themselves in the metadata store.
//!
//! A node renews its row at an interval that grows with the fleet; one that was
//! not renewed for some intervals on the store's clock is gone. Nodes that read
//! the store read all rows, the others are told by them. The number of nodes
//! decides each node's share of connections. While the store cannot be read,
//! the last view stays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::rendezvous;
use linkhold_core::service::readers::{self, Source};
use linkhold_events::Event;
use linkhold_peer::{FeedNode, PeerKey};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::beliefs::lock;
use crate::gateway::Gateway;
use crate::ports::{FleetTable, Platform, StoreError, StoredRows, WriteResult};

/// Pause before registering is tried again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
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
    /// Its zone.
    zone: String,
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
    nodes: BTreeMap<String, Member>,
    /// The store's clock and when it was read.
    store_clock: Option<(u64, Instant)>,
}

/// Another node, or this one.
#[derive(Clone, Debug)]
struct Member {
    zone: String,
    address: Option<SocketAddr>,
}

/// Where this node gets configuration and instances from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetSource {
    /// From the store.
    Store,
    /// From one of the nodes at these addresses.
    Readers(Vec<SocketAddr>),
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
            .filter_map(|(_, member)| member.address)
            .collect()
    }

    /// Nodes of the fleet, this one included.
    pub fn size(&self) -> usize {
        lock(&self.view).nodes.len()
    }

    /// All nodes, as they are told to followers.
    pub fn nodes(&self) -> Vec<FeedNode> {
        lock(&self.view)
            .nodes
            .iter()
            .map(|(name, member)| FeedNode {
                name: name.clone(),
                zone: member.zone.clone(),
                address: member.address,
            })
            .collect()
    }

    /// Where this node gets configuration and instances from.
    pub fn source(&self, own_name: &str, zone: &str) -> FleetSource {
        let view = lock(&self.view);
        let in_zone = || view.nodes.iter().filter(|(_, member)| member.zone == zone);
        let ids = in_zone().map(|(name, _)| NodeId::of_name(name));
        let own = NodeId::of_name(own_name);
        match readers::source(own, zone, ids, view.nodes.len()) {
            Source::Store => FleetSource::Store,
            Source::Readers(readers) => {
                let addresses = in_zone()
                    .filter(|(name, _)| readers.contains(&NodeId::of_name(name)))
                    .filter_map(|(_, member)| member.address);
                FleetSource::Readers(addresses.collect())
            }
        }
    }

    /// The store's clock, carried on from when it was read.
    fn store_time(&self) -> Option<u64> {
        let (time, read_at) = lock(&self.view).store_clock?;
        Some(time + u64::try_from(read_at.elapsed().as_millis()).ok()?)
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
            Ok(()) => readers::renewal_interval(gateway.fleet.size()),
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
    let known_time = gateway.fleet.store_time();
    if let Some(now) = known_time
        && gateway.sources.is_following()
    {
        return bounded(write_own_row(gateway, now)).await;
    }
    let rows = bounded(gateway.platform.read_rows(FleetTable::Nodes, None)).await?;
    lock(&gateway.fleet.view).store_clock = Some((rows.now, Instant::now()));
    adopt_rows(gateway, &rows);
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
        zone: gateway.settings.places.zone.to_string(),
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

fn adopt_rows<P: Platform>(gateway: &Gateway<P>, rows: &StoredRows) {
    let expiry = readers::row_expiry(rows.rows.len());
    let mut nodes = Vec::new();
    for row in &rows.rows {
        let Ok(node) = serde_json::from_slice::<NodeRow>(&row.value) else {
            continue;
        };
        let age = Duration::from_millis(rows.now.saturating_sub(node.renewed_at));
        if age < expiry {
            nodes.push(FeedNode {
                name: row.key.clone(),
                zone: node.zone,
                address: node.address,
            });
        }
    }
    adopt_nodes(gateway, nodes);
}

/// Takes in the nodes of the fleet. This node always counts itself.
pub(crate) fn adopt_nodes<P: Platform>(gateway: &Gateway<P>, nodes: Vec<FeedNode>) {
    let own = FeedNode {
        name: gateway.settings.node.clone(),
        zone: gateway.settings.places.zone.to_string(),
        address: gateway.peers.address(),
    };
    let members: BTreeMap<String, Member> = nodes
        .into_iter()
        .chain([own])
        .map(|node| {
            let member = Member {
                zone: node.zone,
                address: node.address,
            };
            (node.name, member)
        })
        .collect();
    let count = members.len();
    let mut view = lock(&gateway.fleet.view);
    let previous = view.nodes.len();
    view.nodes = members;
    drop(view);
    if previous != count {
        Event::info("fleet_changed")
            .field("nodes", count)
            .field("previous", previous)
            .log();
    }
    gateway.pools.set_nodes(count, &gateway.beliefs);
}
