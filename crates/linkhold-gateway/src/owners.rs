//! The owners of connections to instances, as this node sees the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use linkhold_core::membership::NodeId;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::owners;
use linkhold_core::service::regions::RegionName;
use linkhold_core::service::warm_up;
use linkhold_core::tenancy::{ConnectionHolder, TenantName};
use linkhold_peer::FeedNode;

use crate::beliefs::lock;
use crate::request::principal::Principal;
use crate::zone_map::ZoneMap;

/// The owners of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct InstanceOwners {
    /// How many there are, this node included if it is one.
    pub count: usize,
    /// This node is one.
    pub includes_self: bool,
    /// All of them, in the order in which this node asks them for what is no
    /// tenant's.
    members: Vec<Owner>,
    /// The first of them in the order that all nodes share: they alone send to the
    /// instance while it is cold.
    spenders: Vec<Owner>,
    /// This node's place in that order.
    rank: Option<usize>,
}

/// An owner, and where it is.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Owner {
    id: NodeId,
    /// `None` is this node.
    address: Option<SocketAddr>,
    region: RegionName,
}

impl Owner {
    /// Whether it may see the statements of a principal: this node does already.
    fn may_serve(&self, principal: &Principal<'_>) -> bool {
        self.address.is_none() || principal.regions.permits(&self.region)
    }
}

/// Owners that may be handed a statement, in the order in which they are asked.
/// Nothing else makes one, so no statement is handed to a node of a region that
/// its request does not allow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PermittedOwners(Vec<SocketAddr>);

impl PermittedOwners {
    /// Their addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.0
    }
}

impl InstanceOwners {
    /// Owners whom this node asks to run a statement before it uses a connection of
    /// its own. All nodes ask the owners in the same order for a tenant, so that
    /// its few connections are in one place.
    pub fn permitted(&self, principal: &Principal<'_>) -> PermittedOwners {
        let members = self.members.iter();
        let permitted: Vec<&Owner> = members.filter(|it| it.may_serve(principal)).collect();
        let asked = match principal.holder {
            ConnectionHolder::NoTenant if self.includes_self => Vec::new(),
            ConnectionHolder::NoTenant => permitted.iter().filter_map(|it| it.address).collect(),
            ConnectionHolder::Tenant(tenant) => in_order_of(tenant, &permitted),
        };
        PermittedOwners(asked)
    }

    /// As [`InstanceOwners::permitted`], for an instance that is cold.
    pub fn permitted_spenders(&self, principal: &Principal<'_>) -> PermittedOwners {
        let spenders = self.spenders.iter();
        let permitted = spenders.filter(|it| it.may_serve(principal));
        PermittedOwners(permitted.map_while(|owner| owner.address).collect())
    }

    /// This node's place among the owners, in the order that all nodes share.
    pub fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// The other owners, for questions that carry nothing of a request.
    pub fn others(&self) -> Vec<SocketAddr> {
        let addresses = self.members.iter().map(|owner| owner.address);
        addresses.flatten().collect()
    }
}

/// Owners that come before this node in a tenant's order.
fn in_order_of(tenant: &TenantName, owners: &[&Owner]) -> Vec<SocketAddr> {
    let ids: Vec<NodeId> = owners.iter().map(|owner| owner.id).collect();
    let order = owners::tenant_preference(tenant, &ids);
    let address = |id: &NodeId| {
        let owner = owners.iter().find(|owner| owner.id == *id);
        owner.and_then(|owner| owner.address)
    };
    order.iter().map_while(address).collect()
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
    zone_map: ZoneMap,
    state: Mutex<State>,
}

impl Owners {
    /// No node is known.
    pub fn new(own: NodeId, zone_map: ZoneMap) -> Self {
        Self {
            own,
            zone_map,
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
        let region = self.zone_map.region(&instance.zone);
        let in_zone: Vec<&Known> = nodes
            .iter()
            .filter(|node| node.zone == instance.zone)
            .collect();
        let in_region: Vec<&Known> = nodes
            .iter()
            .filter(|node| self.zone_map.region(&node.zone) == region)
            .collect();
        let nearby = if in_zone.len() >= owners::OWNERS {
            in_zone
        } else if in_region.is_empty() {
            nodes.iter().collect()
        } else {
            in_region
        };
        let chosen = owners::choose(&instance.id, nearby.iter().map(|node| node.id));
        let owner = |id: &NodeId| {
            let node = nearby.iter().find(|node| node.id == *id)?;
            Some(Owner {
                id: node.id,
                address: (node.id != self.own).then_some(node.address),
                region: self.zone_map.region(&node.zone),
            })
        };
        let order = owners::preference(self.own, &chosen);
        InstanceOwners {
            count: chosen.len(),
            includes_self: chosen.contains(&self.own),
            members: order.iter().filter_map(owner).collect(),
            spenders: chosen
                .iter()
                .take(warm_up::SPENDERS)
                .filter_map(owner)
                .collect(),
            rank: chosen.iter().position(|id| *id == self.own),
        }
    }
}
