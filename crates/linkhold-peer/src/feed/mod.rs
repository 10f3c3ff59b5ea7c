//! Streams between nodes: the feed from a node that reads the store to its followers,
//! and the requests that turn a stream over to relaying or forwarding.
//!
//! Messages are framed on a stream by their length; see [`MAX_FEED_MESSAGE`].

mod configuration;
mod fleet;
mod instances;
mod leases;
mod message;
mod position;

use std::time::Duration;

use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::store_revision::StoreRevision;
use minicbor::{Decode, Encode};

use crate::packing::{pack, unpack};
use crate::{PeerError, PeerKey, milliseconds};
use configuration::{WireConfiguration, configuration_from_wire, configuration_to_wire};
use fleet::{WireFleet, WireNode, node_from_wire, node_to_wire, nodes_from_wire, nodes_to_wire};
use instances::{WireInstance, instances_from_wire, instances_to_wire};
use leases::{
    WireClaim, WirePromotionRecord, claim_from_wire, claim_to_wire, promotion_record_from_wire,
    promotion_record_to_wire,
};
use position::{WirePosition, position_from_wire, position_to_wire};

pub use message::{
    EvidenceAnswer, EvidenceQuestion, FeedEvacuations, FeedFleet, FeedFleetChanges,
    FeedInstanceChanges, FeedInstances, FeedMessage, FeedNode, RelativeTimestamp,
};

/// Longest message, in bytes.
pub const MAX_FEED_MESSAGE: usize = 8 * 1024 * 1024;

#[derive(Encode, Decode)]
enum WireMessage {
    #[n(0)]
    Subscribe,
    #[n(1)]
    Configuration(#[n(0)] WireConfiguration),
    #[n(2)]
    Instances(#[n(0)] u64, #[n(1)] Vec<WireInstance>),
    #[n(3)]
    Fleet(#[n(0)] WireFleet),
    #[n(4)]
    Heartbeat(#[n(0)] u64, #[n(1)] Option<u64>, #[n(2)] Option<i64>),
    #[n(5)]
    Renewal(#[n(0)] WireNode, #[n(1)] Option<u64>),
    #[n(6)]
    RelayRequest(#[n(0)] String),
    #[n(7)]
    RelayAccepted,
    #[n(10)]
    Forward,
    #[n(11)]
    Leaving,
    #[n(12)]
    InstanceChanges(#[n(0)] u64, #[n(1)] Vec<WireInstance>, #[n(2)] Vec<String>),
    #[n(13)]
    Evacuations(#[n(0)] u64, #[n(1)] Vec<String>),
    #[n(14)]
    Listed(
        #[n(0)] u64,
        #[n(1)] Option<Vec<WireClaim>>,
        #[n(2)] Option<Vec<WirePromotionRecord>>,
    ),
    #[n(15)]
    Confirmed(#[n(0)] u64, #[n(1)] Vec<String>),
    #[n(16)]
    FleetChanges(
        #[n(0)] u64,
        #[n(1)] Option<Vec<WireNode>>,
        #[n(2)] Vec<WireNode>,
        #[n(3)] Vec<String>,
    ),
    #[n(8)]
    EvidenceQuestion(#[n(0)] u64, #[n(1)] String, #[n(2)] u64),
    #[n(9)]
    EvidenceAnswer(#[n(0)] u64, #[n(1)] u64, #[n(2)] Option<WirePosition>),
}

/// Encodes a message, without its length prefix.
pub fn encode_feed(message: &FeedMessage, key: &PeerKey) -> Vec<u8> {
    let wire = to_wire(message);
    let body = minicbor::to_vec(&wire).expect("encoding to a vector does not fail");
    key.seal(&pack(&body))
}

/// Checks and decodes a message.
pub fn decode_feed(bytes: &[u8], key: &PeerKey) -> Result<FeedMessage, PeerError> {
    let body = unpack(key.open(bytes, MAX_FEED_MESSAGE)?, MAX_FEED_MESSAGE)?;
    let wire: WireMessage = minicbor::decode(&body).map_err(|_| PeerError::Malformed)?;
    from_wire(wire).ok_or(PeerError::Malformed)
}

fn to_wire(message: &FeedMessage) -> WireMessage {
    match message {
        FeedMessage::Subscribe => WireMessage::Subscribe,
        FeedMessage::Renewal { node, number } => WireMessage::Renewal(node_to_wire(node), *number),
        FeedMessage::Listed {
            number,
            claims,
            records,
        } => {
            let claims = claims
                .as_ref()
                .map(|claims| claims.iter().map(claim_to_wire).collect());
            let records = records.iter().map(promotion_record_to_wire).collect();
            WireMessage::Listed(*number, claims, Some(records))
        }
        FeedMessage::Confirmed { number, agreed } => {
            WireMessage::Confirmed(*number, agreed.clone())
        }
        FeedMessage::RelayRequest(id) => WireMessage::RelayRequest(id.0.to_string()),
        FeedMessage::Leaving => WireMessage::Leaving,
        FeedMessage::RelayAccepted => WireMessage::RelayAccepted,
        FeedMessage::Forward => WireMessage::Forward,
        FeedMessage::EvidenceQuestion(question) => WireMessage::EvidenceQuestion(
            question.number,
            question.service.to_string(),
            milliseconds(question.max_age),
        ),
        FeedMessage::EvidenceAnswer(answer) => WireMessage::EvidenceAnswer(
            answer.number,
            milliseconds(answer.age),
            answer.position.map(position_to_wire),
        ),
        FeedMessage::Configuration(configuration) => {
            WireMessage::Configuration(configuration_to_wire(configuration))
        }
        FeedMessage::Evacuations(known) => WireMessage::Evacuations(
            known.revision.to_bits(),
            known.zones.iter().map(ToString::to_string).collect(),
        ),
        FeedMessage::Instances(known) => WireMessage::Instances(
            known.revision.to_bits(),
            instances_to_wire(&known.instances),
        ),
        FeedMessage::InstanceChanges(changes) => WireMessage::InstanceChanges(
            changes.revision.to_bits(),
            instances_to_wire(&changes.changed),
            changes.removed.iter().map(ToString::to_string).collect(),
        ),
        FeedMessage::Fleet(fleet) => WireMessage::Fleet(WireFleet {
            size: fleet.size as u64,
            readers: nodes_to_wire(&fleet.readers),
            nodes: nodes_to_wire(&fleet.nodes),
        }),
        FeedMessage::FleetChanges(changes) => WireMessage::FleetChanges(
            changes.size as u64,
            changes.readers.as_deref().map(nodes_to_wire),
            nodes_to_wire(&changes.changed),
            changes.removed.clone(),
        ),
        FeedMessage::Heartbeat { age, list_as_of } => WireMessage::Heartbeat(
            milliseconds(*age),
            list_as_of.map(|list_as_of| list_as_of.renewal),
            list_as_of.map(|list_as_of| list_as_of.offset_ms),
        ),
    }
}

fn from_wire(wire: WireMessage) -> Option<FeedMessage> {
    Some(match wire {
        WireMessage::Subscribe => FeedMessage::Subscribe,
        WireMessage::Renewal(wire, number) => FeedMessage::Renewal {
            node: node_from_wire(wire)?,
            number,
        },
        WireMessage::Listed(number, claims, records) => FeedMessage::Listed {
            number,
            claims: claims.map(|claims| claims.into_iter().map(claim_from_wire).collect()),
            records: records
                .unwrap_or_default()
                .into_iter()
                .map(promotion_record_from_wire)
                .collect(),
        },
        WireMessage::Confirmed(number, agreed) => FeedMessage::Confirmed { number, agreed },
        WireMessage::RelayRequest(id) => FeedMessage::RelayRequest(InstanceId(id.into())),
        WireMessage::Leaving => FeedMessage::Leaving,
        WireMessage::RelayAccepted => FeedMessage::RelayAccepted,
        WireMessage::Forward => FeedMessage::Forward,
        WireMessage::EvidenceQuestion(number, service, max_age) => {
            FeedMessage::EvidenceQuestion(EvidenceQuestion {
                number,
                service: service.into(),
                max_age: Duration::from_millis(max_age),
            })
        }
        WireMessage::EvidenceAnswer(number, age, position) => {
            FeedMessage::EvidenceAnswer(EvidenceAnswer {
                number,
                age: Duration::from_millis(age),
                position: position.map(position_from_wire),
            })
        }
        WireMessage::Configuration(wire) => {
            FeedMessage::Configuration(configuration_from_wire(wire)?)
        }
        WireMessage::Evacuations(revision, zones) => FeedMessage::Evacuations(FeedEvacuations {
            revision: StoreRevision::from_bits(revision),
            zones: zones.into_iter().map(ZoneName::from).collect(),
        }),
        WireMessage::Instances(revision, wire) => FeedMessage::Instances(FeedInstances {
            revision: StoreRevision::from_bits(revision),
            instances: instances_from_wire(wire)?,
        }),
        WireMessage::InstanceChanges(revision, changed, removed) => {
            let removed = removed.into_iter().map(|id| InstanceId(id.into()));
            FeedMessage::InstanceChanges(FeedInstanceChanges {
                revision: StoreRevision::from_bits(revision),
                changed: instances_from_wire(changed)?,
                removed: removed.collect(),
            })
        }
        WireMessage::Fleet(wire) => FeedMessage::Fleet(FeedFleet {
            size: wire.size as usize,
            readers: nodes_from_wire(wire.readers)?,
            nodes: nodes_from_wire(wire.nodes)?,
        }),
        WireMessage::FleetChanges(size, readers, changed, removed) => {
            let readers = match readers {
                Some(readers) => Some(nodes_from_wire(readers)?),
                None => None,
            };
            FeedMessage::FleetChanges(FeedFleetChanges {
                size: size as usize,
                readers,
                changed: nodes_from_wire(changed)?,
                removed,
            })
        }
        WireMessage::Heartbeat(age, renewal, offset_ms) => FeedMessage::Heartbeat {
            age: Duration::from_millis(age),
            list_as_of: renewal
                .zip(offset_ms)
                .map(|(renewal, offset_ms)| RelativeTimestamp { renewal, offset_ms }),
        },
    })
}
