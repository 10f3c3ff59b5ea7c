//! Adopts the view of the fleet: its size, which determines the shares of connections, its
//! readers, and the nodes to ask.
//!
//! Nodes that read the store derive the view from the rows by which nodes register
//! ([`crate::registration`]). Followers receive it from their reader. While the
//! store cannot be read, the last view stays.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use linkhold_core::membership::NodeId;
use linkhold_core::service::readers::{self, ReaderCandidate};
use linkhold_core::service::regions::RegionName;
use linkhold_events::Event;
use linkhold_peer::{FeedFleet, FeedNode};

use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::registry::{Member, Registration, Registry};
use crate::state::AdoptedFleet;
use crate::zone_map::ZoneMap;

/// This node's own entry, as other nodes receive it.
pub(crate) fn own_node<P: Platform>(gateway: &Gateway<P>) -> FeedNode {
    FeedNode {
        name: gateway.settings.node.clone(),
        zone: gateway.settings.zone_map.zone.to_string(),
        address: gateway.peers.address(),
        bandwidth: gateway.settings.bandwidth,
    }
}

/// Whether the node that reads the registry may be chosen as a reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReaderCandidacy {
    /// It only reads the registry.
    No,
    /// It reads the store for the fleet.
    Yes,
}

/// Adopts the fleet read from the registry. Returns whether the view has changed.
pub(crate) fn adopt_registry<P: Platform>(
    gateway: &Gateway<P>,
    registry: &Registry,
    candidacy: ReaderCandidacy,
) -> bool {
    record_registry(gateway, registry);
    let members = present_members(gateway, registry, candidacy);
    let members: Vec<&Member> = members.values().collect();
    let is_settled = registry.is_settled();
    let may_fill = is_settled || candidacy == ReaderCandidacy::Yes;
    let readers = chosen_readers(&gateway.settings.zone_map, &members, may_fill);
    let duty_nodes = duty_nodes(&members, &readers);
    let listed = members
        .iter()
        .map(|member| member.registration.node.clone());
    let retained = gateway.fleet.retained_nodes();
    let is_settled = is_settled || !retained.is_empty();
    // For a node that is both listed and retained, the listed entry wins.
    let nodes: BTreeMap<String, FeedNode> = retained
        .into_iter()
        .chain(listed)
        .map(|node| (node.name.clone(), node))
        .collect();
    let fleet = FeedFleet {
        size: nodes.len(),
        readers,
        nodes: nodes.into_values().collect(),
    };
    let has_changed = adopt_fleet(gateway, fleet, is_settled);
    gateway.fleet.set_duty_nodes(duty_nodes);
    has_changed
}

/// Present nodes by name: listed nodes, followers that this node's row does not list yet,
/// and the node itself if it reads the store.
fn present_members<P: Platform>(
    gateway: &Gateway<P>,
    registry: &Registry,
    candidacy: ReaderCandidacy,
) -> BTreeMap<String, Member> {
    let mut present: BTreeMap<String, Member> = registry
        .present_members()
        .map(|member| (member.registration.node.name.clone(), member.clone()))
        .collect();
    for registration in gateway.followers.present() {
        let name = registration.node.name.clone();
        present.entry(name).or_insert(Member {
            registration,
            reads_since: None,
        });
    }
    if candidacy == ReaderCandidacy::Yes {
        let own = own_member(gateway);
        present.insert(own.registration.node.name.clone(), own);
    }
    present
}

/// Records the contents of the registry other than its members.
fn record_registry<P: Platform>(gateway: &Gateway<P>, registry: &Registry) {
    gateway
        .fleet
        .record_registry(registry, &gateway.settings.node);
    gateway.followers.restore(&registry.own_followers);
}

fn own_member<P: Platform>(gateway: &Gateway<P>) -> Member {
    Member {
        registration: Registration {
            node: own_node(gateway),
            age: Duration::ZERO,
        },
        reads_since: gateway.fleet.reads_since(),
    }
}

/// The nodes among which duties are distributed: the readers of a large fleet, all nodes of
/// a small one.
fn duty_nodes(members: &[&Member], readers: &[FeedNode]) -> Vec<NodeId> {
    if readers::has_readers(members.len()) {
        let names = readers.iter().map(|node| &node.name);
        return names.map(|name| NodeId::of_name(name)).collect();
    }
    let names = members.iter().map(|it| it.registration.node.name.as_str());
    names.map(NodeId::of_name).collect()
}

/// The nodes that read the store for the others in a large fleet.
fn chosen_readers(zone_map: &ZoneMap, members: &[&Member], may_fill: bool) -> Vec<FeedNode> {
    let regions: Vec<RegionName> = members
        .iter()
        .map(|member| zone_map.region(&member.registration.node.zone))
        .collect();
    let candidates: Vec<ReaderCandidate<'_>> = members
        .iter()
        .zip(&regions)
        .map(|(member, region)| candidate(member, region, may_fill))
        .collect();
    let chosen: HashSet<&str> = readers::choose_readers(&candidates).into_iter().collect();
    let nodes = members.iter().map(|member| &member.registration.node);
    let is_chosen = |node: &&FeedNode| chosen.contains(node.name.as_str());
    nodes.filter(is_chosen).cloned().collect()
}

fn candidate<'a>(member: &'a Member, region: &'a str, may_fill: bool) -> ReaderCandidate<'a> {
    let node = &member.registration.node;
    ReaderCandidate {
        region,
        zone: &node.zone,
        name: &node.name,
        reads_since: member.active_reader_since(),
        may_start: may_fill && node.address.is_some(),
        bandwidth: node.bandwidth,
    }
}

/// Adopts the fleet as read from the store or received from a reader. Returns whether the
/// view has changed.
pub(crate) fn adopt_fleet<P: Platform>(
    gateway: &Gateway<P>,
    fleet: FeedFleet,
    is_settled: bool,
) -> bool {
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
    let size = fleet.size.max(nodes.len());
    let adopted = AdoptedFleet {
        nodes,
        size,
        readers: fleet.readers,
        is_settled,
    };
    let change = gateway.fleet.adopt(adopted, &gateway.watchers);
    if change.previous_size != size {
        Event::info("fleet_changed")
            .field("nodes", size)
            .field("previous", change.previous_size)
            .log();
    }
    gateway.pools.set_node_count(size, &gateway.cluster);
    change.has_changed
}
