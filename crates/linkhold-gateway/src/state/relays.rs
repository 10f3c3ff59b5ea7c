//! Peers through which instances are reached, and relays for other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use rand::seq::IndexedRandom;

use crate::cluster_state::lock;

/// How long the peers of an instance stay in use after a connection through one was
/// made.
const PATH_LIFETIME: Duration = Duration::from_millis(3_000);
/// How often a direct connection is tried while connections are relayed.
const DIRECT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum number of peers that connections are spread over: the first that answered.
const MAX_PEERS: usize = 3;
/// Maximum number of connections relayed for other nodes at a time.
const MAX_RELAYS: usize = 64;

/// Peers through which an instance is reached.
struct Path {
    peers: Vec<RelayPeer>,
    until: Instant,
    direct_tried_at: Instant,
}

/// A peer that relays, and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayPeer {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Region of the peer; empty if unknown.
    pub region: RegionName,
}

/// Paths to instances that this node reaches through peers, and the number of
/// connections that it relays for other nodes.
#[derive(Default)]
pub(crate) struct Relays {
    paths: Mutex<HashMap<InstanceId, Path>>,
    relayed_count: AtomicUsize,
}

impl Relays {
    /// Sets the peers that reach an instance which this node does not reach.
    /// Those in the instance's own region come first, since every request that may run
    /// there may pass through them.
    pub fn set_peers(&self, id: &InstanceId, instance_region: &str, mut peers: Vec<RelayPeer>) {
        peers.sort_by_key(|peer| &*peer.region != instance_region);
        peers.truncate(MAX_PEERS);
        let now = Instant::now();
        let path = Path {
            peers,
            until: now + PATH_LIFETIME,
            direct_tried_at: now,
        };
        lock(&self.paths).insert(id.clone(), path);
    }

    /// Ends relaying to an instance that is reached directly, or by no node. Returns
    /// whether its connections were relayed.
    pub fn forget(&self, id: &InstanceId) -> bool {
        lock(&self.paths).remove(id).is_some()
    }

    /// Whether connections to an instance are relayed.
    pub fn is_relayed(&self, id: &InstanceId) -> bool {
        let paths = lock(&self.paths);
        let path = paths.get(id);
        path.is_some_and(|path| Instant::now() < path.until)
    }

    /// Counts a new relay for another node; `None` if there are too many.
    pub fn start_relay(&self) -> Option<RelayGuard<'_>> {
        RelayGuard::start(&self.relayed_count)
    }

    /// Number of connections relayed for other nodes.
    pub fn relayed_connections(&self) -> usize {
        self.relayed_count.load(Ordering::Relaxed)
    }

    /// A random peer in the allowed regions; `None` if there is none.
    pub fn peer(&self, id: &InstanceId, regions: &AllowedRegions) -> Option<RelayPeer> {
        let paths = lock(&self.paths);
        let path = paths.get(id)?;
        let peers = path.peers.iter();
        let permitted: Vec<&RelayPeer> =
            peers.filter(|peer| regions.permits(&peer.region)).collect();
        permitted.choose(&mut rand::rng()).copied().cloned()
    }

    /// Whether an instance is reached only through peers of which none is in the
    /// allowed regions.
    pub fn has_no_permitted_peer(&self, id: &InstanceId, regions: &AllowedRegions) -> bool {
        self.is_relayed(id) && self.peer(id, regions).is_none()
    }

    /// Keeps an instance's peers in use after a connection through one was made.
    pub fn extend(&self, id: &InstanceId) {
        if let Some(path) = lock(&self.paths).get_mut(id) {
            path.until = Instant::now() + PATH_LIFETIME;
        }
    }

    /// Removes a peer through which a connection could not be made.
    pub fn remove_peer(&self, id: &InstanceId, peer: SocketAddr) {
        let mut paths = lock(&self.paths);
        let Some(path) = paths.get_mut(id) else {
            return;
        };
        path.peers.retain(|other| other.address != peer);
        if path.peers.is_empty() {
            paths.remove(id);
        }
    }

    /// Instances to which a direct connection is to be tried now.
    pub fn due_for_direct_attempt(&self) -> Vec<InstanceId> {
        let now = Instant::now();
        let mut paths = lock(&self.paths);
        paths.retain(|_, path| now < path.until);
        let due = paths
            .iter_mut()
            .filter(|(_, path)| now >= path.direct_tried_at + DIRECT_ATTEMPT_INTERVAL);
        due.map(|(id, path)| {
            path.direct_tried_at = now;
            id.clone()
        })
        .collect()
    }
}

/// Counts a relayed connection until it is dropped.
pub(crate) struct RelayGuard<'a>(&'a AtomicUsize);

impl<'a> RelayGuard<'a> {
    /// `None` if there are too many.
    fn start(count: &'a AtomicUsize) -> Option<Self> {
        let before = count.fetch_add(1, Ordering::Relaxed);
        let guard = Self(count);
        (before < MAX_RELAYS).then_some(guard)
    }
}

impl Drop for RelayGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
