//! The owners of connections to instances, as this node sees the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use linkhold_core::membership::NodeId;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::owners;
use linkhold_core::tenancy::{ConnectionHolder, TenantName};
use linkhold_peer::FeedNode;

use crate::beliefs::lock;
use crate::places::Places;

/// The owners of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct InstanceOwners {
    /// How many there are, this node included if it is one.
    pub count: usize,
    /// This node is one.
    pub includes_self: bool,
    /// The others, in the order in which this node asks them for what is no
    /// tenant's.
    pub others: Vec<SocketAddr>,
    /// All of them, and where they are; `None` is this node.
    members: Vec<(NodeId, Option<SocketAddr>)>,
}

impl InstanceOwners {
    /// Owners whom this node asks for a connection of a holder before it uses one
    /// of its own. All nodes ask the owners in the same order for a tenant, so
    /// that its few connections are in one place.
    pub fn before_self(&self, holder: &ConnectionHolder) -> Vec<SocketAddr> {
        match holder {
            ConnectionHolder::NoTenant if self.includes_self => Vec::new(),
            ConnectionHolder::NoTenant => self.others.clone(),
            ConnectionHolder::Tenant(tenant) => self.in_order_of(tenant),
        }
    }

    fn in_order_of(&self, tenant: &TenantName) -> Vec<SocketAddr> {
        let ids: Vec<NodeId> = self.members.iter().map(|(id, _)| *id).collect();
        let order = owners::tenant_preference(tenant, &ids);
        let address = |id: &NodeId| {
            let member = self.members.iter().find(|(member, _)| member == id);
            member.and_then(|(_, address)| *address)
        };
        order.iter().map_while(address).collect()
    }
}

#[derive(Default)]
struct State {
    nodes: Vec<Known>,
    by_instance: HashMap<InstanceId, Arc<InstanceOwners>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Known {
    id: NodeId,
    zone: Arc<str>,
    address: SocketAddr,
}

/// Knows the owners of every instance.
pub(crate) struct Owners {
    own: NodeId,
    places: Places,
    state: Mutex<State>,
}

impl Owners {
    /// No node is known.
    pub fn new(own: NodeId, places: Places) -> Self {
        Self {
            own,
            places,
            state: Mutex::default(),
        }
    }

    /// Takes in the nodes that can own connections.
    pub fn set_nodes<'a>(&self, nodes: impl Iterator<Item = &'a FeedNode>) {
        let nodes: Vec<Known> = nodes
            .filter_map(|node| {
                Some(Known {
                    id: NodeId::of_name(&node.name),
                    zone: node.zone.as_str().into(),
                    address: node.address?,
                })
            })
            .collect();
        let mut state = lock(&self.state);
        if state.nodes != nodes {
            state.nodes = nodes;
            state.by_instance.clear();
        }
    }

    /// The owners of an instance.
    pub fn of(&self, instance: &Instance) -> Arc<InstanceOwners> {
        let mut state = lock(&self.state);
        if let Some(known) = state.by_instance.get(&instance.id) {
            return known.clone();
        }
        let found = Arc::new(self.choose(&state.nodes, instance));
        state.by_instance.insert(instance.id.clone(), found.clone());
        found
    }

    /// An instance is gone.
    pub fn forget(&self, id: &InstanceId) {
        lock(&self.state).by_instance.remove(id);
    }

    /// Owners are of the instance's zone if it has enough nodes, else of its
    /// region, or of anywhere if that has none.
    fn choose(&self, nodes: &[Known], instance: &Instance) -> InstanceOwners {
        let region = self.places.region(&instance.zone);
        let in_zone: Vec<&Known> = nodes
            .iter()
            .filter(|node| node.zone == instance.zone)
            .collect();
        let in_region: Vec<&Known> = nodes
            .iter()
            .filter(|node| self.places.region(&node.zone) == region)
            .collect();
        let nearby = if in_zone.len() >= owners::OWNERS {
            in_zone
        } else if in_region.is_empty() {
            nodes.iter().collect()
        } else {
            in_region
        };
        let chosen = owners::choose(&instance.id, nearby.iter().map(|node| node.id));
        let order = owners::preference(self.own, &chosen);
        let address = |id: &NodeId| {
            let node = nearby.iter().find(|node| node.id == *id)?;
            (node.id != self.own).then_some(node.address)
        };
        InstanceOwners {
            count: chosen.len(),
            includes_self: chosen.contains(&self.own),
            others: order.iter().filter_map(address).collect(),
            members: chosen.iter().map(|id| (*id, address(id))).collect(),
        }
    }
}
