//! Encoding of nodes.

use minicbor::{Decode, Encode};

use super::message::FeedNode;

#[derive(Encode, Decode)]
pub(super) struct WireNode {
    #[n(0)]
    name: String,
    #[n(1)]
    zone: String,
    #[n(2)]
    address: Option<String>,
    #[n(3)]
    bandwidth: Option<u32>,
}

#[derive(Encode, Decode)]
pub(super) struct WireFleet {
    #[n(0)]
    pub size: u64,
    #[n(1)]
    pub readers: Vec<WireNode>,
    #[n(2)]
    pub nodes: Vec<WireNode>,
}

pub(super) fn node_to_wire(node: &FeedNode) -> WireNode {
    WireNode {
        name: node.name.clone(),
        zone: node.zone.clone(),
        address: node.address.map(|address| address.to_string()),
        bandwidth: Some(node.bandwidth),
    }
}

pub(super) fn nodes_to_wire(nodes: &[FeedNode]) -> Vec<WireNode> {
    nodes.iter().map(node_to_wire).collect()
}

pub(super) fn nodes_from_wire(wire: Vec<WireNode>) -> Option<Vec<FeedNode>> {
    wire.into_iter().map(node_from_wire).collect()
}

pub(super) fn node_from_wire(wire: WireNode) -> Option<FeedNode> {
    let address = match wire.address {
        Some(text) => Some(text.parse().ok()?),
        None => None,
    };
    Some(FeedNode {
        name: wire.name,
        zone: wire.zone,
        address,
        bandwidth: wire.bandwidth.unwrap_or_default(),
    })
}
