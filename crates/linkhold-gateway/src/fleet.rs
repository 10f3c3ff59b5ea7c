//! The nodes of the fleet, as they register themselves in the metadata store.
//!
//! A node renews its row at an interval that grows with the fleet; one that was
//! not renewed for some intervals on the store's clock is gone. Rows are keyed
//! by zone and name and read up to a limit: a larger fleet is not counted.
//! Followers of a reader are told the size and a sample. The size decides each
//! node's share of connections. While the store cannot be read,
//! the last view stays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::rendezvous;
use linkhold_core::service::placement::Distance;
use linkhold_core::service::readers::{
    self, LARGEST_FOLLOWING_FLEET, READERS_PER_ZONE, SAMPLE, Source,
};
use linkhold_events::Event;
use linkhold_peer::{FeedFleet, FeedNode, PeerKey};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::beliefs::lock;
use crate::gateway::Gateway;
use crate::pools::NodeCounts;
use crate::ports::{FleetTable, Platform, RowRange, StoreError, StoredRows, WriteResult};

/// Pause before registering is tried again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// When a node that has just registered looks at the fleet again.
const SECOND_LOOK: Duration = Duration::from_millis(400);
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
    /// Its name.
    name: String,
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
    /// Nodes in all, this one included; 0 until anything is known.
    size: usize,
    /// Nodes of this node's region; 0 where they are not counted.
    nearby: usize,
    /// Nodes by name: all, or a sample in a large fleet.
    nodes: BTreeMap<String, FeedNode>,
    /// The zone's nodes that read the store.
    readers: Vec<FeedNode>,
    /// The store's clock and when it was read.
    store_clock: Option<(u64, Instant)>,
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

    /// Other nodes' addresses; a sample in a large fleet.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        lock(&self.view)
            .nodes
            .values()
            .filter(|node| node.name != own_name)
            .filter_map(|node| node.address)
            .collect()
    }

    /// Whether a node is in the fleet; nodes beyond a large fleet's sample are
    /// taken to be.
    pub fn knows(&self, name: &str) -> bool {
        let view = lock(&self.view);
        let is_counted = view.size <= LARGEST_FOLLOWING_FLEET;
        view.nodes.contains_key(name) || !is_counted || view.size > view.nodes.len()
    }

    /// Nodes of the fleet, this one included.
    pub fn size(&self) -> usize {
        lock(&self.view).size
    }

    /// What followers are told; `None` as long as this node does not know
    /// itself to be a reader, since its view is not theirs.
    pub fn for_followers(&self, own_name: &str) -> Option<FeedFleet> {
        let view = lock(&self.view);
        if !view.readers.iter().any(|node| node.name == own_name) {
            return None;
        }
        let nodes: Vec<&FeedNode> = view.nodes.values().collect();
        let sample = nodes.choose_multiple(&mut rand::rng(), SAMPLE);
        Some(FeedFleet {
            size: view.size,
            nearby: view.nearby,
            readers: view.readers.clone(),
            sample: sample.map(|node| (*node).clone()).collect(),
        })
    }

    /// Where this node gets configuration and instances from.
    pub fn source(&self, own_name: &str) -> FleetSource {
        let view = lock(&self.view);
        let names: Vec<&str> = view.readers.iter().map(|node| node.name.as_str()).collect();
        match readers::source(own_name, &names, view.size) {
            Source::Store => FleetSource::Store,
            Source::Readers => {
                let addresses = view.readers.iter().filter_map(|node| node.address);
                FleetSource::Readers(addresses.collect())
            }
        }
    }

    /// The store's clock, carried on from when it was read.
    fn store_time(&self) -> Option<u64> {
        let (time, read_at) = lock(&self.view).store_clock?;
        Some(time + u64::try_from(read_at.elapsed().as_millis()).ok()?)
    }

    /// This node's place in the order in which nodes take up a duty, among
    /// those it knows.
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
    let mut is_first = true;
    while !gateway.is_leaving() {
        let pause = match register(&gateway).await {
            // What was read before its own row was there lacks this node: a
            // reader would not know that it is one.
            Ok(()) if std::mem::take(&mut is_first) => SECOND_LOOK,
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
    let now = read_fleet(gateway).await?;
    bounded(write_own_row(gateway, now)).await
}

/// Reads the fleet, as far as it is counted; returns the store's clock.
async fn read_fleet<P: Platform>(gateway: &Gateway<P>) -> Result<u64, StoreError> {
    let range = RowRange::From {
        key: "",
        limit: LARGEST_FOLLOWING_FLEET + 1,
    };
    let rows = read(gateway, range).await?;
    adopt_rows(gateway, &rows);
    Ok(rows.now)
}

async fn read<P: Platform>(
    gateway: &Gateway<P>,
    range: RowRange<'_>,
) -> Result<StoredRows, StoreError> {
    let rows = bounded(gateway.platform.read_rows(FleetTable::Nodes, range)).await?;
    lock(&gateway.fleet.view).store_clock = Some((rows.now, Instant::now()));
    Ok(rows)
}

async fn bounded<T>(call: impl Future<Output = Result<T, StoreError>>) -> Result<T, StoreError> {
    timeout(CALL_TIMEOUT, call)
        .await
        .unwrap_or(Err(StoreError::NoAnswer))
}

/// Key of a node of this zone: zones first, so that a zone's rows lie together.
fn row_key<P: Platform>(gateway: &Gateway<P>, name: &str) -> String {
    format!("{}/{name}", gateway.settings.places.zone)
}

fn own_key<P: Platform>(gateway: &Gateway<P>) -> String {
    row_key(gateway, &gateway.settings.node)
}

async fn write_own_row<P: Platform>(gateway: &Gateway<P>, now: u64) -> Result<(), StoreError> {
    let row = NodeRow {
        name: gateway.settings.node.clone(),
        address: gateway.peers.address(),
        zone: gateway.settings.places.zone.to_string(),
        renewed_at: now,
    };
    let value = serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?;
    gateway
        .platform
        .write_row(FleetTable::Nodes, &own_key(gateway), value, None)
        .await
        .map(|_| ())
}

/// Takes this node out of the fleet, so that nobody waits for its answers.
pub(crate) async fn deregister<P: Platform>(gateway: &Gateway<P>) {
    let key = own_key(gateway);
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
fn fresh_nodes(rows: &StoredRows, fleet_size: usize) -> Vec<FeedNode> {
    let expiry = readers::row_expiry(fleet_size);
    rows.rows
        .iter()
        .filter_map(|row| serde_json::from_slice::<NodeRow>(&row.value).ok())
        .filter(|node| Duration::from_millis(rows.now.saturating_sub(node.renewed_at)) < expiry)
        .map(|node| FeedNode {
            name: node.name,
            zone: node.zone,
            address: node.address,
        })
        .collect()
}

fn own_node<P: Platform>(gateway: &Gateway<P>) -> FeedNode {
    FeedNode {
        name: gateway.settings.node.clone(),
        zone: gateway.settings.places.zone.to_string(),
        address: gateway.peers.address(),
    }
}

/// Takes in the fleet as it was read. This node always counts itself.
fn adopt_rows<P: Platform>(gateway: &Gateway<P>, rows: &StoredRows) {
    let own = own_node(gateway);
    let mut nodes = fresh_nodes(rows, rows.rows.len());
    if !nodes.iter().any(|node| node.name == own.name) {
        nodes.push(own);
    }
    let in_zone = |node: &&FeedNode| node.zone == *gateway.settings.places.zone;
    let mut zone_nodes: Vec<FeedNode> = nodes.iter().filter(in_zone).cloned().collect();
    zone_nodes.sort_by(|first, second| first.name.cmp(&second.name));
    zone_nodes.truncate(READERS_PER_ZONE);
    let fleet = FeedFleet {
        size: nodes.len(),
        nearby: count_nearby(gateway, &nodes),
        readers: zone_nodes,
        sample: nodes,
    };
    adopt_fleet(gateway, fleet);
}

/// Nodes in this node's region, if all nodes were read.
fn count_nearby<P: Platform>(gateway: &Gateway<P>, nodes: &[FeedNode]) -> usize {
    if nodes.len() > LARGEST_FOLLOWING_FLEET {
        return 0;
    }
    let places = &gateway.settings.places;
    let is_nearby = |node: &&FeedNode| places.distance(&node.zone) != Distance::Remote;
    nodes.iter().filter(is_nearby).count()
}

/// Takes in the fleet as it was read or told.
pub(crate) fn adopt_fleet<P: Platform>(gateway: &Gateway<P>, fleet: FeedFleet) {
    let own = own_node(gateway);
    let mut nodes: BTreeMap<String, FeedNode> = fleet
        .sample
        .into_iter()
        .map(|node| (node.name.clone(), node))
        .collect();
    nodes.insert(own.name.clone(), own);
    let mut view = lock(&gateway.fleet.view);
    let previous = view.size;
    view.size = fleet.size.max(1);
    view.nearby = fleet.nearby;
    view.nodes = nodes;
    view.readers = fleet.readers;
    drop(view);
    if previous != fleet.size {
        Event::info("fleet_changed")
            .field("nodes", fleet.size)
            .field("previous", previous)
            .log();
    }
    let counts = NodeCounts {
        all: fleet.size,
        nearby: fleet.nearby,
    };
    gateway.pools.set_nodes(counts, &gateway.beliefs);
}
