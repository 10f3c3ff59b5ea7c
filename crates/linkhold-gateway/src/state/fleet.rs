//! What is known of the fleet: its size, its nodes, and who reads the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::rendezvous;
use linkhold_core::service::permission::FleetSizes;
use linkhold_core::service::readers::{self, Source};
use linkhold_core::service::regions::RegionName;
use linkhold_peer::{FeedFleet, FeedNode, PeerKey};

use crate::admission::Coordinator;
use crate::beliefs::lock;
use crate::registry::{Member, Process, Registration, Registry};
use crate::watchers::Watchers;
use crate::zone_map::ZoneMap;

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
    /// Nodes by name.
    nodes: BTreeMap<String, FeedNode>,
    /// The nodes that read the store for others, of all regions.
    readers: Vec<FeedNode>,
    /// Sizes that it had lately.
    sizes: FleetSizes,
    /// Nodes for each reader.
    followers_per_reader: usize,
    /// Whether `size` counts all nodes: not while a fleet starts.
    is_settled: bool,
    /// Nodes among which duties are dealt out, as of this node's own last
    /// reading of the fleet: all of a small fleet, the readers of a larger one.
    duty_nodes: Vec<NodeId>,
    /// When this node took up reading for others, on the store's clock.
    reads_since: Option<u64>,
    /// The store's clock and when it was asked for.
    store_clock: Option<(u64, Instant)>,
    /// Whether this node was listed when it first looked.
    was_listed: Option<bool>,
    /// Processes that the rows listed when they were read last, and when that was.
    processes: Vec<Registration>,
    processes_as_of: Option<Instant>,
    /// When this node last read the fleet itself.
    read_at: Option<Instant>,
    /// Until when nodes that are not listed stay in the view.
    keep_until: Option<Instant>,
}

/// Nodes that are asked for a tenant's budget, one after the other: with a tenth
/// of the fleet lost, one in a thousand tenants finds none.
const MOST_COORDINATORS: usize = 3;

/// A reader that has not read the fleet for so long had lost the store.
const READING_GAP: Duration = Duration::from_millis(6_000);
/// How long nodes that are not listed stay in the view after such a gap: their
/// readers had lost the store too and need time to renew their rows.
const KEEPING_TIME: Duration = Duration::from_millis(5_000);

impl View {
    /// Whether nodes that are not listed stay, as of a reading just now.
    fn keeps_unlisted(&mut self, now: Instant) -> bool {
        let has_gap = self.read_at.is_none_or(|at| at + READING_GAP < now);
        if self.is_settled && has_gap {
            self.keep_until = Some(now + KEEPING_TIME);
        }
        self.read_at = Some(now);
        self.keep_until.is_some_and(|until| now < until)
    }
}

/// Where this node gets configuration and instances from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetSource {
    /// Not known: nobody is known to read the store.
    Unknown,
    /// From the store.
    Store,
    /// From one of the nodes at these addresses.
    Readers(ReaderAddresses),
}

/// Where readers are reached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReaderAddresses {
    /// Those of the own region.
    pub near: Vec<SocketAddr>,
    /// Those of other regions.
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

    /// Whether a reader is among them.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.near.contains(address) || self.far.contains(address)
    }
}

impl Fleet {
    /// The key between nodes.
    pub fn key(&self) -> Option<PeerKey> {
        lock(&self.view).key.clone()
    }

    /// Addresses of the other nodes that are known.
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

    /// Other nodes' addresses; `None` unless all nodes are known.
    pub fn all_peer_addresses(&self, own_name: &str) -> Option<Vec<SocketAddr>> {
        self.knows_all_nodes()
            .then(|| self.peer_addresses(own_name))
    }

    /// Whether this node knows all nodes.
    pub fn knows_all_nodes(&self) -> bool {
        let view = lock(&self.view);
        view.is_settled && view.size > 0 && view.size == view.nodes.len()
    }

    /// Whether the fleet listed this node when it first looked.
    pub fn was_listed(&self) -> bool {
        lock(&self.view).was_listed.unwrap_or(false)
    }

    /// Whether a node is in the fleet; any is taken to be as long as not all are
    /// known.
    pub fn may_include(&self, name: &str) -> bool {
        let view = lock(&self.view);
        view.nodes.contains_key(name) || !view.is_settled || view.size > view.nodes.len()
    }

    /// Nodes of the fleet, this one included.
    pub fn size(&self) -> usize {
        lock(&self.view).size
    }

    /// The most nodes that the fleet had while those that have gone since may still
    /// count for others.
    pub fn largest_recent_size(&self) -> usize {
        let view = lock(&self.view);
        view.sizes.largest(Instant::now()).max(view.size)
    }

    /// Nodes for each reader.
    pub fn followers_per_reader(&self) -> usize {
        lock(&self.view).followers_per_reader
    }

    /// What followers are told; `None` as long as not all nodes are known.
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
            // Nothing can be said to them.
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

    /// How long ago this node itself read the fleet last; without end if never.
    pub fn last_read_age(&self) -> Duration {
        let read_at = lock(&self.view).read_at;
        read_at.map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Whether few nodes of the fleet read the store, as far as is known.
    pub fn has_readers(&self) -> bool {
        readers::has_readers(self.size())
    }

    /// Whether all nodes are known.
    pub fn is_settled(&self) -> bool {
        lock(&self.view).is_settled
    }

    /// The store's clock, carried on from when it was asked for.
    pub fn store_time(&self) -> Option<u64> {
        let (time, read_at) = lock(&self.view).store_clock?;
        Some(time + u64::try_from(read_at.elapsed().as_millis()).ok()?)
    }

    /// Takes in the key between nodes.
    pub fn set_key(&self, key: PeerKey) {
        lock(&self.view).key = Some(key);
    }

    /// When this node took up reading for others.
    pub fn reads_since(&self) -> Option<u64> {
        lock(&self.view).reads_since
    }

    /// This node takes up reading for others, unless it does already.
    pub fn take_up_reading(&self, own: FeedNode) {
        let now = self.store_time();
        let mut view = lock(&self.view);
        view.reads_since = view.reads_since.or(now);
        if !view.readers.iter().any(|reader| reader.name == own.name) {
            view.readers.push(own);
        }
    }

    /// This node does not read for others.
    pub fn give_up_reading(&self) {
        lock(&self.view).reads_since = None;
    }

    /// Whether this node is the first of those that take up a duty. Followers
    /// of a reader know too little of the fleet to be, and so does every node
    /// while not all are known.
    pub fn is_duty_owner(&self, own_name: &str, duty: &str) -> bool {
        let view = lock(&self.view);
        if !view.is_settled {
            return false;
        }
        let nodes = view.duty_nodes.iter().copied();
        rendezvous::owners(duty, nodes, 1) == [NodeId::of_name(own_name)]
    }

    /// The first nodes in the order in which they coordinate a tenant's budget;
    /// none while not all are known.
    pub fn coordinators(&self, own_name: &str, tenant: &str) -> Vec<Coordinator> {
        if !self.knows_all_nodes() {
            return Vec::new();
        }
        let view = lock(&self.view);
        let ids = view.nodes.keys().map(|name| NodeId::of_name(name));
        let order = rendezvous::owners(tenant, ids, MOST_COORDINATORS);
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

    /// Nodes that stay in the view though they may not be listed.
    pub fn kept_nodes(&self) -> Vec<FeedNode> {
        let mut view = lock(&self.view);
        if !view.keeps_unlisted(Instant::now()) {
            return Vec::new();
        }
        view.nodes.values().cloned().collect()
    }

    /// The other processes of a name that the rows listed when they were read last.
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

    /// The nodes among which duties are dealt out from now on.
    pub fn set_duty_nodes(&self, nodes: Vec<NodeId>) {
        lock(&self.view).duty_nodes = nodes;
    }

    /// Takes in what the registry tells beside the members.
    pub fn remember(&self, registry: &Registry, own_name: &str) {
        let mut view = lock(&self.view);
        // Counted from before it was told, it runs ahead rather than behind: a renewal
        // looks no older than it is.
        view.store_clock = Some((registry.now, registry.asked_at));
        view.processes = registry.processes.values().cloned().collect();
        view.processes_as_of = Some(registry.asked_at);
        if let Some(key) = &registry.key {
            view.key = Some(key.clone());
        }
        // This node read for others before it was started again.
        let own = registry.members.get(own_name);
        let is_listed = own.is_some_and(Member::is_present);
        view.was_listed.get_or_insert(is_listed);
        let reads_since = own.and_then(Member::active_reader_since);
        view.reads_since = view.reads_since.or(reads_since);
    }

    /// Takes in the nodes of the fleet, this one among them, and those that watch
    /// services among them.
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
        let previous_size = view.size;
        view.sizes.seen(size, Instant::now());
        let has_changed =
            have_nodes_changed || view.readers != readers || view.is_settled != is_settled;
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

    /// This node's place in the order in which nodes take up a duty, among
    /// those it knows.
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

/// The fleet as it was read or told.
pub(crate) struct AdoptedFleet {
    /// Nodes by name, this one included.
    pub nodes: BTreeMap<String, FeedNode>,
    /// Nodes in all.
    pub size: usize,
    /// The nodes that read the store for others.
    pub readers: Vec<FeedNode>,
    /// Whether `size` counts all nodes.
    pub is_settled: bool,
}

/// What taking in a fleet has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FleetChange {
    /// Whether it differs from what was known.
    pub has_changed: bool,
    /// Nodes in all until then.
    pub previous_size: usize,
}
