//! Members and records about them.

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

/// What is believed of a member, from least to most severe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// In service.
    Alive,
    /// About to stop in order; answers, takes no new duties.
    Leaving,
    /// Has not answered; dead unless it refutes.
    Suspect,
    /// Gone.
    Dead,
}

/// A record about a member that travels between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Who.
    pub node: NodeId,
    /// Where it receives messages.
    pub address: SocketAddr,
    /// Where it serves callers.
    pub client_address: SocketAddr,
    /// Zone, as a hash of its name.
    pub zone: u32,
    /// Chosen by the member itself; rises with each start and refutation.
    pub incarnation: u64,
    /// What is stated.
    pub state: MemberState,
}

impl MemberRecord {
    /// Digest of what is stated, for comparing views.
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; 17];
        bytes[..8].copy_from_slice(&self.node.0.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.incarnation.to_be_bytes());
        bytes[16] = self.state as u8;
        xxh3_64(&bytes)
    }

    /// Whether this record replaces another about the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}

/// A member as one node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// The newest record.
    pub record: MemberRecord,
    /// When the state was learnt, on the node's monotonic clock.
    pub since: Duration,
}

impl Member {
    /// Whether it can be expected to answer.
    pub fn is_reachable(&self) -> bool {
        self.record.state != MemberState::Dead
    }

    /// Whether duties may be given to it.
    pub fn takes_duties(&self) -> bool {
        matches!(self.record.state, MemberState::Alive | MemberState::Suspect)
    }
}
