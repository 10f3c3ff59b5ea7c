//! What a node knows of the fleet: its size, which decides shares of
//! connections, who reads the store, and whom to ask.
//!
//! Nodes that read the store see the rows by which nodes register
//! ([`crate::registration`]), up to a limit: a larger fleet is not counted.
//! Followers of a reader are told the same. While the store cannot be read, the
//! last view stays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::membership::NodeId;
use linkhold_core::rendezvous;
use linkhold_core::service::readers::{self, LARGEST_FOLLOWING_FLEET, ReaderCandidate, Source};
use linkhold_events::Event;
use linkhold_peer::{FeedFleet, FeedNode, PeerKey};

use crate::beliefs::lock;
use crate::gateway::Gateway;
use crate::places::Places;
use crate::ports::Platform;

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
    /// Nodes by name; in a fleet too large to be counted, some of them.
    nodes: BTreeMap<String, FeedNode>,
    /// The region's nodes that read the store.
    readers: Vec<FeedNode>,
    /// Nodes among which duties are dealt out, as of this node's own last
    /// reading of the fleet: all of a small fleet, the readers of a larger one.
    duty_nodes: Vec<NodeId>,
    /// Followers that told this node that they live, and when.
    renewals: BTreeMap<String, Renewal>,
    /// The store's clock and when it was read.
    store_clock: Option<(u64, Instant)>,
}

/// A follower that lives.
#[derive(Clone, Debug)]
pub(crate) struct Renewal {
    /// The follower.
    pub node: FeedNode,
    /// When it said so.
    pub heard_at: Instant,
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

    /// Addresses of the other nodes that are known.
    pub fn peers(&self, own_name: &str) -> Vec<SocketAddr> {
        lock(&self.view)
            .nodes
            .values()
            .filter(|node| node.name != own_name)
            .filter_map(|node| node.address)
            .collect()
    }

    /// Other nodes' addresses; `None` unless all nodes are known.
    pub fn all_peers(&self, own_name: &str) -> Option<Vec<SocketAddr>> {
        let view = lock(&self.view);
        let knows_all =
            view.size > 0 && view.size == view.nodes.len() && view.size <= LARGEST_FOLLOWING_FLEET;
        drop(view);
        knows_all.then(|| self.peers(own_name))
    }

    /// Whether a node is in the fleet; in a fleet too large to be counted, any is
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
        Some(FeedFleet {
            size: view.size,
            readers: view.readers.clone(),
            nodes: view.nodes.values().cloned().collect(),
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

    /// Longest pause between two tries of a store that gives no answer.
    pub fn longest_pause(&self, own_name: &str, can_serve: bool) -> Duration {
        let source = match self.source(own_name) {
            FleetSource::Store => Source::Store,
            FleetSource::Readers(_) => Source::Readers,
        };
        readers::longest_pause(source, can_serve)
    }

    /// Whether few nodes of the fleet read the store.
    pub fn has_readers(&self) -> bool {
        readers::has_readers(self.size())
    }

    /// The store's clock, carried on from when it was read.
    pub fn store_time(&self) -> Option<u64> {
        let (time, read_at) = lock(&self.view).store_clock?;
        Some(time + u64::try_from(read_at.elapsed().as_millis()).ok()?)
    }

    /// Takes in the key between nodes.
    pub fn set_key(&self, key: PeerKey) {
        lock(&self.view).key = Some(key);
    }

    /// Takes in the store's clock, read just now.
    pub fn set_store_time(&self, now: u64) {
        lock(&self.view).store_clock = Some((now, Instant::now()));
    }

    /// A follower of this node lives.
    pub fn heard(&self, node: FeedNode) {
        let heard_at = Instant::now();
        let renewal = Renewal { node, heard_at };
        lock(&self.view)
            .renewals
            .insert(renewal.node.name.clone(), renewal);
    }

    /// Takes the followers that told that they live since the last call.
    pub fn take_renewals(&self) -> Vec<Renewal> {
        let renewals = std::mem::take(&mut lock(&self.view).renewals);
        renewals.into_values().collect()
    }

    /// Whether this node is the first of those that take up a duty. Followers
    /// of a reader know too little of the fleet to be.
    pub fn is_first(&self, own_name: &str, duty: &str) -> bool {
        let view = lock(&self.view);
        let nodes = view.duty_nodes.iter().copied();
        rendezvous::owners(duty, nodes, 1) == [NodeId::of_name(own_name)]
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

/// The node itself, as it tells others.
pub(crate) fn own_node<P: Platform>(gateway: &Gateway<P>) -> FeedNode {
    FeedNode {
        name: gateway.settings.node.clone(),
        zone: gateway.settings.places.zone.to_string(),
        address: gateway.peers.address(),
    }
}

/// Takes in the fleet as it was read. This node always counts itself.
pub(crate) fn adopt_nodes<P: Platform>(gateway: &Gateway<P>, mut nodes: Vec<FeedNode>) {
    let own = own_node(gateway);
    if !nodes.iter().any(|node| node.name == own.name) {
        nodes.push(own);
    }
    let own_region = gateway.settings.places.own_region();
    let readers = regional_readers(&gateway.settings.places, &nodes);
    let own_readers = readers.get(&own_region).cloned().unwrap_or_default();
    let duty_nodes = if readers::has_readers(nodes.len()) {
        let all_readers = readers.values().flatten();
        all_readers
            .map(|node| NodeId::of_name(&node.name))
            .collect()
    } else {
        let names = nodes.iter().map(|node| NodeId::of_name(&node.name));
        names.collect()
    };
    let fleet = FeedFleet {
        size: nodes.len(),
        readers: own_readers,
        nodes,
    };
    adopt_fleet(gateway, fleet);
    lock(&gateway.fleet.view).duty_nodes = duty_nodes;
}

/// The nodes of each region that read the store in a fleet that has readers.
fn regional_readers(places: &Places, nodes: &[FeedNode]) -> BTreeMap<Arc<str>, Vec<FeedNode>> {
    let mut regions: BTreeMap<Arc<str>, Vec<&FeedNode>> = BTreeMap::new();
    for node in nodes {
        let region = places.region(&node.zone);
        regions.entry(region).or_default().push(node);
    }
    let choose = |(region, nodes): (Arc<str>, Vec<&FeedNode>)| {
        let candidates: Vec<ReaderCandidate<'_>> = nodes.iter().map(|it| candidate(it)).collect();
        let chosen = readers::choose_readers(&candidates);
        let is_chosen = |node: &&&FeedNode| chosen.contains(&node.name.as_str());
        let chosen = nodes.iter().filter(is_chosen).map(|node| (*node).clone());
        (region, chosen.collect())
    };
    regions.into_iter().map(choose).collect()
}

fn candidate(node: &FeedNode) -> ReaderCandidate<'_> {
    ReaderCandidate {
        zone: &node.zone,
        name: &node.name,
    }
}

/// Takes in the fleet as it was read or told.
pub(crate) fn adopt_fleet<P: Platform>(gateway: &Gateway<P>, fleet: FeedFleet) {
    let own = own_node(gateway);
    let mut nodes: BTreeMap<String, FeedNode> = fleet
        .nodes
        .into_iter()
        .map(|node| (node.name.clone(), node))
        .collect();
    nodes.insert(own.name.clone(), own);
    gateway
        .pools
        .owners()
        .set_nodes(nodes.values().filter(|node| node.address.is_some()));
    let mut view = lock(&gateway.fleet.view);
    let previous = view.size;
    view.size = fleet.size.max(1);
    view.nodes = nodes;
    view.readers = fleet.readers;
    drop(view);
    if previous != fleet.size {
        Event::info("fleet_changed")
            .field("nodes", fleet.size)
            .field("previous", previous)
            .log();
    }
    gateway.pools.set_nodes(fleet.size, &gateway.beliefs);
}
