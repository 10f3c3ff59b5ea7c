//! The nodes that watch each service, as this node knows the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use linkhold_core::membership::NodeId;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::watchers::{self, MAX_FLEET_ALL_WATCH};
use linkhold_peer::FeedNode;

use crate::cluster_state::lock;

/// The nodes that watch a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceWatchers {
    /// Whether this node is one of them.
    pub includes_self: bool,
    /// Addresses of the other watchers.
    pub others: Vec<SocketAddr>,
}

/// A node that can be chosen as a watcher.
#[derive(Debug)]
struct KnownNode {
    id: NodeId,
    zone: String,
    address: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    /// Nodes that have an address for questions.
    nodes: Vec<KnownNode>,
    by_service: HashMap<ServiceName, Arc<ServiceWatchers>>,
}

/// The watchers of every service; chosen on first use, until the nodes change.
#[derive(Debug, Default)]
pub(crate) struct Watchers(Mutex<State>);

impl Watchers {
    /// Replaces the nodes of the fleet.
    pub fn set_nodes<'a>(&self, nodes: impl Iterator<Item = &'a FeedNode>) {
        let known = nodes.filter_map(|node| {
            Some(KnownNode {
                id: NodeId::of_name(&node.name),
                zone: node.zone.clone(),
                address: node.address?,
            })
        });
        let mut state = lock(&self.0);
        state.nodes = known.collect();
        state.by_service.clear();
    }

    /// The watchers of a service; `None` if every node watches it.
    pub fn of(&self, own_name: &str, service: &ServiceName) -> Option<Arc<ServiceWatchers>> {
        let mut state = lock(&self.0);
        if state.nodes.len() <= MAX_FLEET_ALL_WATCH {
            return None;
        }
        if let Some(known) = state.by_service.get(service) {
            return Some(known.clone());
        }
        let nodes = state.nodes.iter().map(|node| (node.id, node.zone.as_str()));
        let chosen = watchers::choose(service, nodes);
        let own = NodeId::of_name(own_name);
        let is_other = |node: &&KnownNode| node.id != own && chosen.contains(&node.id);
        let found = Arc::new(ServiceWatchers {
            includes_self: chosen.contains(&own),
            others: state
                .nodes
                .iter()
                .filter(is_other)
                .map(|node| node.address)
                .collect(),
        });
        state.by_service.insert(service.clone(), found.clone());
        Some(found)
    }
}
