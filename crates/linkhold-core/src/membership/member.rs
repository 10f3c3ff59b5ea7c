//! Members and the records that nodes exchange about them.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Identifies a node: a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The identity of the node with this name.
    pub fn of_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// State of a member, from least to most severe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// In service.
    Alive,
    /// Shutting down in an orderly way; answers but accepts no new duties.
    Leaving,
    /// Has not answered; considered dead unless it refutes in time.
    Suspect,
    /// Considered to have stopped.
    Dead,
}

/// A record about a member, as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The member.
    pub node: NodeId,
    /// Address at which it receives membership messages.
    pub address: SocketAddr,
    /// Address at which it serves callers.
    pub client_address: SocketAddr,
    /// Zone, as a hash of its name.
    pub zone: u32,
    /// Set by the member itself; increases with each start and refutation.
    pub incarnation: u64,
    /// State of the member.
    pub state: MemberState,
}

impl MemberRecord {
    /// Digest of node, incarnation and state, for comparing views.
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&self.node.0.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes[16] = self.state as u8;
        xxh3_64(&bytes)
    }

    /// Whether this record overrides another about the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// A member as one node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// The newest record.
    pub record: MemberRecord,
    /// When the record was received, on the node's monotonic clock.
    pub since: Duration,
}

impl Member {
    /// Whether the member can be expected to answer.
    pub fn is_reachable(&self) -> bool {
        self.record.state != MemberState::Dead
    }

    /// Whether the member may be assigned duties.
    pub fn accepts_duties(&self) -> bool {
        matches!(self.record.state, MemberState::Alive | MemberState::Suspect)
    }
}
