//! Owners of the connections to instances, as determined from this node's view of the
//! fleet.

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

use crate::cluster_state::lock;
use crate::request::principal::Principal;
use crate::zone_map::ZoneMap;

/// The owners of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct InstanceOwners {
    /// Number of owners, including this node if it is one.
    pub count: usize,
    /// Whether this node is an owner.
    pub includes_self: bool,
    /// All owners, in the order in which this node asks them for statements of no
    /// tenant.
    members: Vec<Owner>,
    /// The first owners in the order that all nodes share: only they send to the
    /// instance while it is cold.
    senders: Vec<Owner>,
    /// This node's index in that order; `None` if it is not an owner.
    rank: Option<usize>,
}

/// An owner of an instance's connections.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Owner {
    id: NodeId,
    /// Address for other nodes; `None` for this node.
    address: Option<SocketAddr>,
    region: RegionName,
}

impl Owner {
    /// Whether the owner may see a principal's statements. This node always may: it has
    /// them already.
    fn may_serve(&self, principal: &Principal<'_>) -> bool {
        self.address.is_none() || principal.regions.permits(&self.region)
    }
}

/// Addresses of owners that may be handed a statement, in the order in which they are
/// asked. Only [`InstanceOwners`] constructs it, so no statement is handed to a node in
/// a region that its request does not allow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PermittedOwners(Vec<SocketAddr>);

impl PermittedOwners {
    /// The addresses, in order.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.0
    }
}

impl InstanceOwners {
    /// Owners that this node asks to run a statement before it uses a connection of its
    /// own. For a tenant, all nodes ask the owners in the same order, so that its few
    /// connections are at one owner.
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

    /// Like [`InstanceOwners::permitted`], for an instance that is cold.
    pub fn permitted_senders(&self, principal: &Principal<'_>) -> PermittedOwners {
        let senders = self.senders.iter();
        let permitted = senders.filter(|it| it.may_serve(principal));
        PermittedOwners(permitted.map_while(|owner| owner.address).collect())
    }

    /// This node's index among the owners, in the order that all nodes share; `None` if
    /// it is not an owner.
    pub fn rank(&self) -> Option<usize> {
        self.rank
    }

    /// Addresses of all other owners, for questions that carry no data of a request.
    pub fn others(&self) -> Vec<SocketAddr> {
        let addresses = self.members.iter().map(|owner| owner.address);
        addresses.flatten().collect()
    }
}

/// Addresses of the owners that come before this node in a tenant's order.
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
    nodes: Vec<OwnerCandidate>,
    by_instance: HashMap<InstanceId, Arc<InstanceOwners>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct OwnerCandidate {
    id: NodeId,
    zone: Arc<str>,
    address: SocketAddr,
}

/// The owners of every instance, determined on demand and cached.
pub(crate) struct Owners {
    own: NodeId,
    zone_map: ZoneMap,
    state: Mutex<State>,
}

impl Owners {
    /// Creates an instance that knows no nodes.
    pub fn new(own: NodeId, zone_map: ZoneMap) -> Self {
        Self {
            own,
            zone_map,
            state: Mutex::default(),
        }
    }

    /// Sets the nodes that can own connections.
    pub fn set_nodes<'a>(&self, nodes: impl Iterator<Item = &'a FeedNode>) {
        let nodes: Vec<OwnerCandidate> = nodes
            .filter_map(|node| {
                Some(OwnerCandidate {
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
        if let Some(cached) = state.by_instance.get(&instance.id) {
            return cached.clone();
        }
        let determined = Arc::new(self.determine(&state.nodes, instance));
        state
            .by_instance
            .insert(instance.id.clone(), determined.clone());
        determined
    }

    /// Forgets the owners of an instance that was removed.
    pub fn forget(&self, id: &InstanceId) {
        lock(&self.state).by_instance.remove(id);
    }

    /// Determines the owners of an instance: nodes of its zone if there are enough,
    /// else of its region, or of anywhere if the region has none.
    fn determine(&self, nodes: &[OwnerCandidate], instance: &Instance) -> InstanceOwners {
        let region = self.zone_map.region(&instance.zone);
        let in_zone: Vec<&OwnerCandidate> = nodes
            .iter()
            .filter(|node| node.zone == instance.zone)
            .collect();
        let in_region: Vec<&OwnerCandidate> = nodes
            .iter()
            .filter(|node| self.zone_map.region(&node.zone) == region)
            .collect();
        let nearby = if in_zone.len() >= owners::OWNERS_PER_INSTANCE {
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
            senders: chosen
                .iter()
                .take(warm_up::SENDERS)
                .filter_map(owner)
                .collect(),
            rank: chosen.iter().position(|id| *id == self.own),
        }
    }
}
