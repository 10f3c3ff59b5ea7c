//! The watchers of services, as this node sees the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use linkhold_core::membership::NodeId;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::watchers::{self, ALL_WATCH};
use linkhold_peer::FeedNode;

use crate::cluster_state::lock;

/// Who watches a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceWatchers {
    /// This node does.
    pub includes_self: bool,
    /// The others that do.
    pub others: Vec<SocketAddr>,
}

#[derive(Debug)]
struct Known {
    id: NodeId,
    zone: String,
    address: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    /// Nodes that can be asked.
    nodes: Vec<Known>,
    by_service: HashMap<ServiceName, Arc<ServiceWatchers>>,
}

/// Knows the watchers of every service.
#[derive(Debug, Default)]
pub(crate) struct Watchers(Mutex<State>);

impl Watchers {
    /// Takes in the nodes of the fleet.
    pub fn set_nodes<'a>(&self, nodes: impl Iterator<Item = &'a FeedNode>) {
        let known = nodes.filter_map(|node| {
            Some(Known {
                id: NodeId::of_name(&node.name),
                zone: node.zone.clone(),
                address: node.address?,
            })
        });
        let mut state = lock(&self.0);
        state.nodes = known.collect();
        state.by_service.clear();
    }

    /// The watchers of a service; `None` where every node watches.
    pub fn of(&self, own_name: &str, service: &ServiceName) -> Option<Arc<ServiceWatchers>> {
        let mut state = lock(&self.0);
        if state.nodes.len() <= ALL_WATCH {
            return None;
        }
        if let Some(known) = state.by_service.get(service) {
            return Some(known.clone());
        }
        let nodes = state.nodes.iter().map(|node| (node.id, node.zone.as_str()));
        let chosen = watchers::choose(service, nodes);
        let own = NodeId::of_name(own_name);
        let is_other = |node: &&Known| node.id != own && chosen.contains(&node.id);
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
