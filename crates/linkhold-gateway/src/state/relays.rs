//! Peers through which instances are reached, and what is relayed for others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use rand::seq::IndexedRandom;

use crate::cluster_state::lock;

/// How long a peer stays chosen after a connection through it was made.
const PATH_LIFE: Duration = Duration::from_millis(3_000);
/// How often the direct way is tried while connections are relayed.
const DIRECT_TRIAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Peers that connections are spread over: those that answered first.
const MOST_PEERS: usize = 3;
/// Connections that are relayed for other nodes at a time.
const MOST_RELAYS: usize = 64;

/// Peers through which an instance is reached.
struct Path {
    peers: Vec<RelayPeer>,
    until: Instant,
    direct_tried_at: Instant,
}

/// A peer that relays, and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RelayPeer {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it stands; empty if that is not known.
    pub region: RegionName,
}

/// What a node relays, and for which instances it needs that.
#[derive(Default)]
pub(crate) struct Relays {
    paths: Mutex<HashMap<InstanceId, Path>>,
    serving: AtomicUsize,
}

impl Relays {
    /// Peers reach an instance that this node does not.
    /// Those of the instance's own region come first, since every request that may
    /// run there may pass through them.
    pub fn learn(&self, id: &InstanceId, instance_region: &str, mut peers: Vec<RelayPeer>) {
        peers.sort_by_key(|peer| &*peer.region != instance_region);
        peers.truncate(MOST_PEERS);
        let now = Instant::now();
        let path = Path {
            peers,
            until: now + PATH_LIFE,
            direct_tried_at: now,
        };
        lock(&self.paths).insert(id.clone(), path);
    }

    /// The instance is reached directly, or by nobody.
    pub fn forget(&self, id: &InstanceId) -> bool {
        lock(&self.paths).remove(id).is_some()
    }

    /// Whether connections to an instance are relayed.
    pub fn is_relayed(&self, id: &InstanceId) -> bool {
        let paths = lock(&self.paths);
        let path = paths.get(id);
        path.is_some_and(|path| Instant::now() < path.until)
    }

    /// Starts to relay for another node; `None` if too many are relayed.
    pub fn start_serving(&self) -> Option<Serving<'_>> {
        Serving::start(&self.serving)
    }

    /// Connections that are relayed for other nodes.
    pub fn serving(&self) -> usize {
        self.serving.load(Ordering::Relaxed)
    }

    /// One of the peers in the allowed regions; `None` if there is none.
    pub fn peer(&self, id: &InstanceId, regions: &AllowedRegions) -> Option<RelayPeer> {
        let paths = lock(&self.paths);
        let path = paths.get(id)?;
        let peers = path.peers.iter();
        let permitted: Vec<&RelayPeer> =
            peers.filter(|peer| regions.permits(&peer.region)).collect();
        permitted.choose(&mut rand::rng()).copied().cloned()
    }

    /// Whether an instance is reached through peers of which none may see a request
    /// of these regions.
    pub fn bars(&self, id: &InstanceId, regions: &AllowedRegions) -> bool {
        self.is_relayed(id) && self.peer(id, regions).is_none()
    }

    /// A connection through a peer was made.
    pub fn connected(&self, id: &InstanceId) {
        if let Some(path) = lock(&self.paths).get_mut(id) {
            path.until = Instant::now() + PATH_LIFE;
        }
    }

    /// A connection through a peer could not be made.
    pub fn failed(&self, id: &InstanceId, peer: SocketAddr) {
        let mut paths = lock(&self.paths);
        let Some(path) = paths.get_mut(id) else {
            return;
        };
        path.peers.retain(|other| other.address != peer);
        if path.peers.is_empty() {
            paths.remove(id);
        }
    }

    /// Instances whose direct way is to be tried now.
    pub fn due_for_direct_trial(&self) -> Vec<InstanceId> {
        let now = Instant::now();
        let mut paths = lock(&self.paths);
        paths.retain(|_, path| now < path.until);
        let due = paths
            .iter_mut()
            .filter(|(_, path)| now >= path.direct_tried_at + DIRECT_TRIAL_INTERVAL);
        due.map(|(id, path)| {
            path.direct_tried_at = now;
            id.clone()
        })
        .collect()
    }
}

/// Counts a relayed connection until it is dropped.
pub(crate) struct Serving<'a>(&'a AtomicUsize);

impl<'a> Serving<'a> {
    /// `None` if there are too many.
    fn start(count: &'a AtomicUsize) -> Option<Self> {
        let before = count.fetch_add(1, Ordering::Relaxed);
        let serving = Self(count);
        (before < MOST_RELAYS).then_some(serving)
    }
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
