//! Messages of the membership protocol.

use super::member::{MemberRecord, NodeId};

/// The table version that a node has in force; part of every message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Version of the table.
    pub table_version: u64,
    /// Digest of that version's cells.
    pub table_digest: u64,
}

/// Request or answer of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Requests a [`Payload::Ack`] with the same number.
    Ping {
        /// Number of the probe.
        number: u64,
    },
    /// Requests a ping of `target` on the sender's behalf; its answer is relayed.
    PingRequest {
        /// Number of the sender's probe.
        number: u64,
        /// Member to ping.
        target: NodeId,
    },
    /// Answer to a ping.
    Ack {
        /// Number of the probe.
        number: u64,
    },
    /// Carries records only; is not answered.
    Gossip,
    /// Compares views; records follow only if the digests differ.
    Exchange {
        /// Digest of the sender's view.
        digest: u64,
        /// Number of members that the sender knows, including itself.
        known: u32,
        /// Whether this message answers an exchange.
        is_answer: bool,
    },
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's own record.
    pub from: MemberRecord,
    /// Request or answer.
    pub payload: Payload,
    /// Table version of the sender.
    pub announcement: Announcement,
    /// Statements about other members.
    pub records: Vec<MemberRecord>,
}
