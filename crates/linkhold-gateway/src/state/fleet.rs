//! Known state of the fleet: its size, its nodes and its readers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::rendezvous;
use linkhold_core::service::joins::JoinTimes;
use linkhold_core::service::permission::FleetSizes;
use linkhold_core::service::readers::{self, Source};
use linkhold_core::service::regions::RegionName;
use linkhold_peer::{FeedFleet, FeedNode, PeerKey};

use crate::admission::Coordinator;
use crate::cluster_state::lock;
use crate::registry::{Member, Process, Registration, Registry};
use crate::watchers::Watchers;
use crate::zone_map::ZoneMap;

/// Known state of the fleet.
#[derive(Default)]
pub(crate) struct Fleet {
    view: Mutex<View>,
}

#[derive(Default)]
struct View {
    key: Option<PeerKey>,
    /// Number of nodes, this one included; 0 until the fleet is known.
    size: usize,
    /// Nodes by name.
    nodes: BTreeMap<String, FeedNode>,
    /// Since when they have been known.
    joins: JoinTimes,
    /// When the nodes were last read or received.
    adopted_at: Option<Instant>,
    /// The nodes that read the store for others, of all regions.
    readers: Vec<FeedNode>,
    /// When a node was last found to have left, or to run as another process.
    departure_at: Option<Instant>,
    /// Recent sizes of the fleet.
    sizes: FleetSizes,
    /// Number of nodes per reader.
    followers_per_reader: usize,
    /// Whether `size` counts all nodes; false while a fleet starts.
    is_settled: bool,
    /// Nodes among which duties are distributed, as of this node's own last
    /// read of the fleet: all nodes of a small fleet, the readers of a larger one.
    duty_nodes: Vec<NodeId>,
    /// When this node became a reader, on the store's clock.
    reads_since: Option<u64>,
    /// The store's clock and when it was requested.
    store_clock: Option<(u64, Instant)>,
    /// Whether this node was listed when it first read the fleet.
    was_listed: Option<bool>,
    /// Processes that the rows listed when they were last read.
    processes: Vec<Registration>,
    /// When these rows were requested.
    processes_as_of: Option<Instant>,
    /// When this node last read the fleet itself.
    read_at: Option<Instant>,
    /// Until when nodes that are not listed stay in the view.
    retain_until: Option<Instant>,
}

/// How many nodes are asked for a tenant's budget, one after the other: with a tenth
/// of the fleet lost, one in a thousand tenants reaches none of them.
const MAX_COORDINATORS: usize = 3;

/// Gap between two reads of the fleet from which a reader is known to have lost the store.
const MAX_READ_GAP: Duration = Duration::from_millis(6_000);
/// How long unlisted nodes stay in the view after such a gap: their readers had lost the
/// store too and need time to renew their rows.
const UNLISTED_RETENTION: Duration = Duration::from_millis(5_000);

impl View {
    /// Records a read of the fleet at `now`. Returns whether unlisted nodes stay in the
    /// view.
    fn retains_unlisted(&mut self, now: Instant) -> bool {
        let has_gap = self.read_at.is_none_or(|at| at + MAX_READ_GAP < now);
        if self.is_settled && has_gap {
            self.retain_until = Some(now + UNLISTED_RETENTION);
        }
        self.read_at = Some(now);
        self.retain_until.is_some_and(|until| now < until)
    }
}

/// Where this node gets configuration and instances from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetSource {
    /// Unknown: no node is known to read the store.
    Unknown,
    /// From the store.
    Store,
    /// From one of the nodes at these addresses.
    Readers(ReaderAddresses),
}

/// Addresses of the readers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReaderAddresses {
    /// Readers of this node's region.
    pub near: Vec<SocketAddr>,
    /// Readers of other regions.
    pub far: Vec<SocketAddr>,
}

impl ReaderAddresses {
    fn among(readers: &[FeedNode], zone_map: &ZoneMap) -> Self {
        let own_region = zone_map.own_region();
        let (near, far): (Vec<&FeedNode>, Vec<&FeedNode>) = readers
            .iter()
            .partition(|node| zone_map.region(&node.zone) == own_region);
        let addresses = |nodes: Vec<&FeedNode>| nodes.iter().filter_map(|it| it.address).collect();
        Self {
            near: addresses(near),
            far: addresses(far),
        }
    }

    /// Whether a reader has this address.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.near.contains(address) || self.far.contains(address)
    }
}

impl Fleet {
    /// The key between nodes.
    pub fn key(&self) -> Option<PeerKey> {
        lock(&self.view).key.clone()
    }

    /// Addresses of the other known nodes.
    pub fn peer_addresses(&self, own_name: &str) -> Vec<SocketAddr> {
        lock(&self.view)
            .nodes
            .values()
            .filter(|node| node.name != own_name)
            .filter_map(|node| node.address)
            .collect()
    }

    /// The region of the node at an address; `None` if it is not known.
    pub fn region_of(&self, address: SocketAddr, zone_map: &ZoneMap) -> Option<RegionName> {
        let view = lock(&self.view);
        let mut nodes = view.nodes.values();
        let node = nodes.find(|node| node.address == Some(address))?;
        Some(zone_map.region(&node.zone))
    }

    /// Addresses of all other nodes; `None` unless all nodes are known.
    pub fn all_peer_addresses(&self, own_name: &str) -> Option<Vec<SocketAddr>> {
        self.knows_all_nodes()
            .then(|| self.peer_addresses(own_name))
    }

    /// Age of the list of nodes, from when it was last read or received; `None` before.
    pub fn list_age(&self) -> Option<Duration> {
        let adopted_at = lock(&self.view).adopted_at;
        adopted_at.map(|at| at.elapsed())
    }

    /// Nodes that a list may lack which another node adopted this long ago; `None` if
    /// there are too many to name.
    pub fn joined_since(&self, list_age: Duration) -> Option<Vec<SocketAddr>> {
        lock(&self.view).joins.since(list_age, Instant::now())
    }

    /// Whether this node knows all nodes.
    pub fn knows_all_nodes(&self) -> bool {
        let view = lock(&self.view);
        view.is_settled && view.size > 0 && view.size == view.nodes.len()
    }

    /// Whether this node was already listed when it first read the fleet.
    pub fn was_listed(&self) -> bool {
        lock(&self.view).was_listed.unwrap_or(false)
    }

    /// Whether a node may be in the fleet. Always true while not all nodes are known.
    pub fn may_include(&self, name: &str) -> bool {
        let view = lock(&self.view);
        view.nodes.contains_key(name) || !view.is_settled || view.size > view.nodes.len()
    }

    /// Number of nodes, this one included.
    pub fn size(&self) -> usize {
        lock(&self.view).size
    }

    /// The largest recent size of the fleet: other nodes may still count nodes that have
    /// left since.
    pub fn largest_recent_size(&self) -> usize {
        let view = lock(&self.view);
        view.sizes.largest(Instant::now()).max(view.size)
    }

    /// Number of nodes per reader.
    pub fn followers_per_reader(&self) -> usize {
        lock(&self.view).followers_per_reader
    }

    /// The fleet as it is sent to followers; `None` while not all nodes are known.
    pub fn for_followers(&self) -> Option<FeedFleet> {
        let view = lock(&self.view);
        view.is_settled.then(|| FeedFleet {
            size: view.size,
            readers: view.readers.clone(),
            nodes: view.nodes.values().cloned().collect(),
        })
    }

    /// Where this node gets configuration and instances from.
    pub fn source(&self, own_name: &str, zone_map: &ZoneMap) -> FleetSource {
        let view = lock(&self.view);
        let names: Vec<&str> = view.readers.iter().map(|node| node.name.as_str()).collect();
        let mut addresses = ReaderAddresses::among(&view.readers, zone_map);
        if view.key.is_none() {
            // Without the key, no message can be sent to a reader.
            addresses = ReaderAddresses::default();
        }
        if names.contains(&own_name) {
            return FleetSource::Store;
        }
        let has_addresses = !addresses.near.is_empty() || !addresses.far.is_empty();
        if !view.is_settled {
            return if has_addresses {
                FleetSource::Readers(addresses)
            } else {
                FleetSource::Unknown
            };
        }
        match readers::source(own_name, &names, view.size) {
            Source::Readers if has_addresses => FleetSource::Readers(addresses),
            Source::Store if !readers::has_readers(view.size) => FleetSource::Store,
            Source::Readers | Source::Store => FleetSource::Unknown,
        }
    }

    /// Time since this node itself last read the fleet; `Duration::MAX` if it never did.
    pub fn last_read_age(&self) -> Duration {
        let read_at = lock(&self.view).read_at;
        read_at.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Whether the known fleet is large enough that only a few readers read the store.
    pub fn has_readers(&self) -> bool {
        readers::has_readers(self.size())
    }

    /// Whether the size of the fleet counts all nodes.
    pub fn is_settled(&self) -> bool {
        lock(&self.view).is_settled
    }

    /// The present time on the store's clock, extrapolated from when it was requested;
    /// `None` until the store was read.
    pub fn store_time(&self) -> Option<u64> {
        let (time, read_at) = lock(&self.view).store_clock?;
        Some(time + u64::try_from(read_at.elapsed().as_millis()).ok()?)
    }

    /// Sets the key between nodes.
    pub fn set_key(&self, key: PeerKey) {
        lock(&self.view).key = Some(key);
    }

    /// When this node became a reader, on the store's clock in milliseconds; `None` if it
    /// is none.
    pub fn reads_since(&self) -> Option<u64> {
        lock(&self.view).reads_since
    }

    /// Makes this node a reader, unless it is one already.
    pub fn start_reading(&self, own: FeedNode) {
        let now = self.store_time();
        let mut view = lock(&self.view);
        view.reads_since = view.reads_since.or(now);
        if !view.readers.iter().any(|reader| reader.name == own.name) {
            view.readers.push(own);
        }
    }

    /// Records that this node is no reader.
    pub fn stop_reading(&self) {
        lock(&self.view).reads_since = None;
    }

    /// Whether this node is the first in the order of nodes for a duty. Always false for
    /// followers of a reader, which know too little of the fleet, and for every node while
    /// not all nodes are known.
    pub fn is_duty_owner(&self, own_name: &str, duty: &str) -> bool {
        let view = lock(&self.view);
        if !view.is_settled {
            return false;
        }
        let nodes = view.duty_nodes.iter().copied();
        rendezvous::owners(duty, nodes, 1) == [NodeId::of_name(own_name)]
    }

    /// The first nodes in the order of coordinators of a tenant's budget; empty while not
    /// all nodes are known.
    pub fn coordinators(&self, own_name: &str, tenant: &str) -> Vec<Coordinator> {
        if !self.knows_all_nodes() {
            return Vec::new();
        }
        let view = lock(&self.view);
        let ids = view.nodes.keys().map(|name| NodeId::of_name(name));
        let order = rendezvous::owners(tenant, ids, MAX_COORDINATORS);
        let coordinator = |id: &NodeId| {
            let mut nodes = view.nodes.values();
            let node = nodes.find(|node| NodeId::of_name(&node.name) == *id)?;
            if node.name == own_name {
                return Some(Coordinator::Itself);
            }
            node.address.map(Coordinator::Peer)
        };
        order.iter().filter_map(coordinator).collect()
    }

    /// Known nodes that stay in the view although they may not be listed; empty unless this
    /// node recently regained the store.
    pub fn retained_nodes(&self) -> Vec<FeedNode> {
        let mut view = lock(&self.view);
        if !view.retains_unlisted(Instant::now()) {
            return Vec::new();
        }
        view.nodes.values().cloned().collect()
    }

    /// The other processes of a name, as the rows listed them when they were last read.
    pub fn others_of_name(&self, process: &Process) -> Vec<Registration> {
        let view = lock(&self.view);
        let since = view
            .processes_as_of
            .map_or(Duration::ZERO, |at| at.elapsed());
        let same_name = view.processes.iter();
        let same_name = same_name.filter(|it| it.node.name == process.name);
        let others = same_name.filter(|it| it.node.address != process.address);
        let aged = |it: &Registration| Registration {
            age: it.age + since,
            ..it.clone()
        };
        others.map(aged).collect()
    }

    /// Sets the nodes among which duties are distributed.
    pub fn set_duty_nodes(&self, nodes: Vec<NodeId>) {
        lock(&self.view).duty_nodes = nodes;
    }

    /// Records the contents of the registry other than its members.
    pub fn record_registry(&self, registry: &Registry, own_name: &str) {
        let mut view = lock(&self.view);
        // Counted from the request, the clock runs ahead rather than behind. A renewal
        // written by it never appears older than it is.
        view.store_clock = Some((registry.now, registry.asked_at));
        view.processes = registry.processes.values().cloned().collect();
        view.processes_as_of = Some(registry.asked_at);
        if let Some(key) = &registry.key {
            view.key = Some(key.clone());
        }
        // This node may have been a reader before it was restarted.
        let own = registry.members.get(own_name);
        let is_listed = own.is_some_and(Member::is_present);
        view.was_listed.get_or_insert(is_listed);
        let reads_since = own.and_then(Member::active_reader_since);
        view.reads_since = view.reads_since.or(reads_since);
    }

    /// Adopts the nodes of the fleet, this one included, and passes them to the watchers.
    pub fn adopt(&self, adopted: AdoptedFleet, watchers: &Watchers) -> FleetChange {
        let AdoptedFleet {
            nodes,
            size,
            readers,
            is_settled,
        } = adopted;
        let mut view = lock(&self.view);
        let have_nodes_changed = view.nodes != nodes;
        if have_nodes_changed {
            watchers.set_nodes(nodes.values());
        }
        let stays = |node: &FeedNode| {
            let now = nodes.get(&node.name);
            now.is_some_and(|now| now.address == node.address)
        };
        if !view.nodes.values().all(stays) {
            view.departure_at = Some(Instant::now());
        }
        let previous_size = view.size;
        view.sizes.record(size, Instant::now());
        let has_changed =
            have_nodes_changed || view.readers != readers || view.is_settled != is_settled;
        let now = Instant::now();
        let addresses = nodes.values().filter_map(|node| node.address);
        view.joins.record(addresses, now);
        view.adopted_at = Some(now);
        view.size = size;
        view.followers_per_reader = nodes.len().div_ceil(readers.len().max(1));
        view.nodes = nodes;
        view.readers = readers;
        view.is_settled = is_settled;
        FleetChange {
            has_changed,
            previous_size,
        }
    }

    /// When a node was last found to have left the fleet, or to run as another process.
    pub fn departure_at(&self) -> Option<Instant> {
        lock(&self.view).departure_at
    }

    /// This node's rank in the order of known nodes for a duty; 0 is the first.
    pub fn duty_rank(&self, own_name: &str, duty: &str) -> usize {
        let view = lock(&self.view);
        let own = NodeId::of_name(own_name);
        let nodes = view.nodes.keys().map(|name| NodeId::of_name(name));
        rendezvous::owners(duty, nodes, view.nodes.len())
            .iter()
            .position(|node| *node == own)
            .unwrap_or(view.nodes.len())
    }
}

/// The fleet as read from the store or received from a reader.
pub(crate) struct AdoptedFleet {
    /// Nodes by name, this one included.
    pub nodes: BTreeMap<String, FeedNode>,
    /// Number of nodes.
    pub size: usize,
    /// The nodes that read the store for others.
    pub readers: Vec<FeedNode>,
    /// Whether `size` counts all nodes.
    pub is_settled: bool,
}

/// Result of adopting a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetChange {
    /// Whether it differs from the previous view.
    pub has_changed: bool,
    /// Previous number of nodes.
    pub previous_size: usize,
}
