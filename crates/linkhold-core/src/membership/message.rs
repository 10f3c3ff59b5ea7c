//! Messages of the membership protocol.

use super::member::{MemberRecord, NodeId};

/// What a node tells in every message: the table version it has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Version.
    pub table_version: u64,
    /// Digest of that version's cells.
    pub table_digest: u64,
}

/// What a message asks or answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Answer with [`Payload::Ack`] of the same number.
    Ping {
        /// Number of the probe.
        number: u64,
    },
    /// Ping `target` for the sender, and pass its answer on.
    PingRequest {
        /// Number of the sender's probe.
        number: u64,
        /// Whom to ping.
        target: NodeId,
    },
    /// Answer to a ping.
    Ack {
        /// Number of the probe.
        number: u64,
    },
    /// Carries records only.
    Gossip,
    /// Compares views; records follow only if they differ.
    Exchange {
        /// Digest of the sender's view.
        digest: u64,
        /// Members the sender knows, itself included.
        known: u32,
        /// Whether this answers an exchange.
        is_answer: bool,
    },
}

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender, as it states itself.
    pub from: MemberRecord,
    /// What it asks or answers.
    pub payload: Payload,
    /// The sender's table.
    pub announcement: Announcement,
    /// Statements about other members.
    pub records: Vec<MemberRecord>,
}
