//! Connections to a primary that this node does not reach, through a node that
//! does.
//!
//! A partition may leave a primary with some nodes only. It is not replaced,
//! since it goes on acknowledging commits; a node on the other side opens its
//! connections through a peer that answered that it reaches the primary. The
//! peer passes bytes on and decides nothing: whatever a broken connection
//! proves or leaves open holds for a relayed one as well.
//!
//! # Invariants
//!
//! * A relayed connection is not used again once it is older than
//!   [`LONGEST_REUSE`], so that a peer that stops loses it between requests.
//! * A peer relays to instances of its own directory only, for nodes that hold
//!   the key between nodes, and starts nothing while it is leaving.
//! * A connection for requests that may not leave some regions is relayed by a
//!   peer of these alone.
//! * A peer that agrees to the replacement of a primary breaks what it relays to it.
//!   Those whom it serves agree as well: it may not have been asked.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::eligibility::Engagement;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::regions::{AllowedRegions, RegionName};
use linkhold_core::tenancy::ConnectionHolder;
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, PeerKey, Reachability};
use rand::seq::IndexedRandom;
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::beliefs::lock;
use crate::feed::{read_message, write_message};
use crate::gateway::Gateway;
use crate::ports::{BackendConnector, ConnectError, Platform};
use crate::survey;

/// Age up to which a relayed connection is used for other requests.
pub(crate) const LONGEST_REUSE: Duration = Duration::from_millis(1_000);
/// How long a peer stays chosen after a connection through it was made.
const PATH_LIFE: Duration = Duration::from_millis(3_000);
/// How often the direct way is tried while connections are relayed.
const DIRECT_TRIAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Peers that connections are spread over: those that answered first.
const MOST_PEERS: usize = 3;
/// How long a peer may take to connect to the instance and say so.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest life of a connection that is relayed for another node: one whose
/// other end has gone dark does not stand for ever.
const LONGEST_RELAY: Duration = Duration::from_secs(30);
/// How often it is looked whether what is relayed may go on.
const BARRED_LOOK_INTERVAL: Duration = Duration::from_millis(200);
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

    /// Connections that are relayed for other nodes.
    pub fn serving(&self) -> usize {
        self.serving.load(Ordering::Relaxed)
    }

    /// One of the peers in the allowed regions; `None` if there is none.
    fn peer(&self, id: &InstanceId, regions: &AllowedRegions) -> Option<RelayPeer> {
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

    fn connected(&self, id: &InstanceId) {
        if let Some(path) = lock(&self.paths).get_mut(id) {
            path.until = Instant::now() + PATH_LIFE;
        }
    }

    fn failed(&self, id: &InstanceId, peer: SocketAddr) {
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

/// A connection to an instance.
pub(crate) struct Connected<C> {
    /// The connection.
    pub connection: C,
    /// The region of the peer through which it goes, if it does.
    pub relayed_through: Option<RegionName>,
}

/// Connects to an instance: directly, or through a peer in the allowed regions
/// where this node does not reach it.
pub(crate) async fn connect<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    holder: &ConnectionHolder,
    regions: &AllowedRegions,
) -> Result<Connected<<P as BackendConnector>::Connection>, ConnectError> {
    if !gateway.relays.is_relayed(&instance.id) {
        let connection = gateway.platform.connect(instance, holder).await?;
        return Ok(Connected {
            connection,
            relayed_through: None,
        });
    }
    let peer = gateway.relays.peer(&instance.id, regions);
    let peer = peer.ok_or(ConnectError::Unreachable)?;
    let connected = connect_through(gateway, instance, holder, peer.address).await;
    match &connected {
        Ok(_) => gateway.relays.connected(&instance.id),
        Err(error) => {
            Event::info("relay_failed")
                .field("instance", &instance.id)
                .field("peer", peer.address)
                .field("error", error)
                .log();
            gateway.relays.failed(&instance.id, peer.address);
        }
    }
    Ok(Connected {
        connection: connected?,
        relayed_through: Some(peer.region),
    })
}

async fn connect_through<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    holder: &ConnectionHolder,
    peer: SocketAddr,
) -> Result<<P as BackendConnector>::Connection, ConnectError> {
    let key = gateway.fleet.key().ok_or(ConnectError::Unreachable)?;
    let asking = ask_for_relay(peer, &instance.id, &key);
    let stream = timeout(ACCEPT_TIMEOUT, asking)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(|_| ConnectError::Unreachable)?;
    gateway
        .platform
        .connect_over(stream, instance, holder)
        .await
}

async fn ask_for_relay(peer: SocketAddr, id: &InstanceId, key: &PeerKey) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    write_message(&mut stream, &FeedMessage::Relay(id.clone()), key).await?;
    match read_message(&mut stream, key).await? {
        FeedMessage::Relayed => Ok(stream),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Counts a relayed connection until it is dropped.
struct Serving<'a>(&'a AtomicUsize);

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

/// Relays a peer's connection to an instance until either side closes it.
pub(crate) async fn serve<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut stream: TcpStream,
    id: &InstanceId,
    key: &PeerKey,
) {
    let Some(_serving) = Serving::start(&gateway.relays.serving) else {
        return;
    };
    let Some(instance) = gateway.beliefs.instance(id) else {
        return;
    };
    if gateway.is_leaving() || is_barred(gateway, &instance) {
        return;
    }
    let connecting = timeout(ACCEPT_TIMEOUT, TcpStream::connect(instance.address));
    let Ok(Ok(mut onward)) = connecting.await else {
        return;
    };
    // A socket that refuses it still works, only later.
    let _ = onward.set_nodelay(true);
    if write_message(&mut stream, &FeedMessage::Relayed, key)
        .await
        .is_err()
    {
        return;
    }
    gateway.metrics.relays_served.add();
    // However it ends, both sides are closed.
    tokio::select! {
        _ = timeout(LONGEST_RELAY, copy_bidirectional(&mut stream, &mut onward)) => {}
        () = until_barred(gateway, &instance) => {}
    }
}

/// Whether nothing may pass to an instance any more: this node has agreed to
/// acknowledge nothing of it, or its zone is evacuated.
fn is_barred<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let beliefs = &gateway.beliefs;
    // The regions of what passes are the asking node's to look after.
    let everywhere = AllowedRegions::Everywhere;
    beliefs.is_withheld(&instance.id)
        || beliefs
            .eligibility(instance, &everywhere, Engagement::Bound)
            .is_err()
}

async fn until_barred<P: Platform>(gateway: &Gateway<P>, instance: &Instance) {
    let mut changes = gateway.beliefs.subscribe();
    while !is_barred(gateway, instance) {
        // An evacuated zone closes as time passes.
        let _ = timeout(BARRED_LOOK_INTERVAL, changes.changed()).await;
    }
}

/// Tries the direct way to instances whose connections are relayed.
pub(crate) fn try_direct_ways<P: Platform>(gateway: &Arc<Gateway<P>>) {
    for id in gateway.relays.due_for_direct_trial() {
        let Some(instance) = gateway.beliefs.instance(&id) else {
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let found = survey::reach_primary(&gateway, &instance).await;
            if found != Reachability::Unreached && gateway.relays.forget(&id) {
                Event::info("relay_ended").field("instance", &id).log();
            }
        });
    }
}
