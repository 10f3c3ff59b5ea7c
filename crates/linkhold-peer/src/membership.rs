//! Encoding of membership messages.

use std::net::{IpAddr, SocketAddr};

use linkhold_core::membership::{
    Announcement, MemberRecord, MemberState, Message, NodeId, Payload,
};
use minicbor::{Decode, Encode};

use crate::{MAX_DATAGRAM, PeerError, PeerKey};

/// Maximum number of records in a message.
const MAX_RECORDS: usize = 64;

#[derive(Encode, Decode)]
struct WireRecord {
    #[n(0)]
    node: u64,
    #[cbor(n(1), with = "minicbor::bytes")]
    address: Vec<u8>,
    #[n(2)]
    port: u16,
    #[cbor(n(3), with = "minicbor::bytes")]
    client_address: Vec<u8>,
    #[n(4)]
    client_port: u16,
    #[n(5)]
    zone: u32,
    #[n(6)]
    incarnation: u64,
    #[n(7)]
    state: u8,
}

#[derive(Encode, Decode)]
struct WireMessage {
    #[n(0)]
    from: WireRecord,
    #[n(1)]
    kind: u8,
    #[n(2)]
    number: u64,
    #[n(3)]
    target: u64,
    #[n(4)]
    table_version: u64,
    #[n(5)]
    table_digest: u64,
    #[n(6)]
    records: Vec<WireRecord>,
}

const PING: u8 = 0;
const PING_REQUEST: u8 = 1;
const ACK: u8 = 2;
const GOSSIP: u8 = 3;
const EXCHANGE: u8 = 4;
const EXCHANGE_ANSWER: u8 = 5;

/// Encodes a message for one datagram.
pub fn encode_message(message: &Message, key: &PeerKey) -> Vec<u8> {
    let (kind, number, target) = match message.payload {
        Payload::Ping { number } => (PING, number, 0),
        Payload::PingRequest { number, target } => (PING_REQUEST, number, target.0),
        Payload::Ack { number } => (ACK, number, 0),
        Payload::Gossip => (GOSSIP, 0, 0),
        Payload::Exchange {
            digest,
            known,
            is_answer,
        } => {
            let kind = if is_answer { EXCHANGE_ANSWER } else { EXCHANGE };
            (kind, u64::from(known), digest)
        }
    };
    let wire = WireMessage {
        from: to_wire(&message.from),
        kind,
        number,
        target,
        table_version: message.announcement.table_version,
        table_digest: message.announcement.table_digest,
        records: message.records.iter().map(to_wire).collect(),
    };
    let body = minicbor::to_vec(&wire).expect("encoding to memory does not fail");
    key.seal(&body)
}

/// Checks and decodes a datagram.
pub fn decode_message(bytes: &[u8], key: &PeerKey) -> Result<Message, PeerError> {
    let body = key.open(bytes, MAX_DATAGRAM)?;
    let wire: WireMessage = minicbor::decode(body).map_err(|_| PeerError::Malformed)?;
    if wire.records.len() > MAX_RECORDS {
        return Err(PeerError::Malformed);
    }
    let number = wire.number;
    let payload = match wire.kind {
        PING => Payload::Ping { number },
        PING_REQUEST => Payload::PingRequest {
            number,
            target: NodeId(wire.target),
        },
        ACK => Payload::Ack { number },
        GOSSIP => Payload::Gossip,
        EXCHANGE | EXCHANGE_ANSWER => Payload::Exchange {
            digest: wire.target,
            known: u32::try_from(number).map_err(|_| PeerError::Malformed)?,
            is_answer: wire.kind == EXCHANGE_ANSWER,
        },
        _ => return Err(PeerError::Malformed),
    };
    let records: Option<Vec<MemberRecord>> = wire.records.iter().map(from_wire).collect();
    Ok(Message {
        from: from_wire(&wire.from).ok_or(PeerError::Malformed)?,
        payload,
        announcement: Announcement {
            table_version: wire.table_version,
            table_digest: wire.table_digest,
        },
        records: records.ok_or(PeerError::Malformed)?,
    })
}

fn to_wire(record: &MemberRecord) -> WireRecord {
    WireRecord {
        node: record.node.0,
        address: address_bytes(record.address.ip()),
        port: record.address.port(),
        client_address: address_bytes(record.client_address.ip()),
        client_port: record.client_address.port(),
        zone: record.zone,
        incarnation: record.incarnation,
        state: match record.state {
            MemberState::Alive => 0,
            MemberState::Leaving => 1,
            MemberState::Suspect => 2,
            MemberState::Dead => 3,
        },
    }
}

fn from_wire(wire: &WireRecord) -> Option<MemberRecord> {
    Some(MemberRecord {
        node: NodeId(wire.node),
        address: SocketAddr::new(address_of(&wire.address)?, wire.port),
        client_address: SocketAddr::new(address_of(&wire.client_address)?, wire.client_port),
        zone: wire.zone,
        incarnation: wire.incarnation,
        state: match wire.state {
            0 => MemberState::Alive,
            1 => MemberState::Leaving,
            2 => MemberState::Suspect,
            3 => MemberState::Dead,
            _ => return None,
        },
    })
}

fn address_bytes(address: IpAddr) -> Vec<u8> {
    match address {
        IpAddr::V4(address) => address.octets().to_vec(),
        IpAddr::V6(address) => address.octets().to_vec(),
    }
}

fn address_of(bytes: &[u8]) -> Option<IpAddr> {
    if let Ok(octets) = <[u8; 4]>::try_from(bytes) {
        return Some(octets.into());
    }
    <[u8; 16]>::try_from(bytes).ok().map(IpAddr::from)
}
