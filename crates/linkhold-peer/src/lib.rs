//! Messages between nodes.
//!
//! A message is a version byte, a CBOR body (RFC 8949) and a MAC
//! (HMAC-SHA-256 truncated to 128 bits, RFC 2104) under the fleet's key, so
//! that a host without the key cannot change a node's view. Membership messages
//! fit one datagram; table messages are framed on a stream by a length.

mod datagram;
mod feed;
mod forward;
mod membership;
mod packing;
mod reachability;
mod table;

use std::time::Duration;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

pub use datagram::{BudgetMessage, Datagram, decode_datagram, encode_budget};
pub use feed::{
    EvidenceAnswer, EvidenceQuestion, FeedEvacuations, FeedFleet, FeedFleetChanges,
    FeedInstanceChanges, FeedInstances, FeedMessage, FeedNode, MAX_FEED_MESSAGE, RelativeTimestamp,
    decode_feed, encode_feed,
};
pub use forward::{
    ForwardErrorKind, ForwardFrame, ForwardIneligible, ForwardMessage, ForwardOutcome,
    ForwardPosition, ForwardReply, ForwardResult, ForwardStatement, ForwardStatus, ForwardWork,
    MAX_FORWARD_MESSAGE, decode_forward, encode_forward,
};
pub use membership::{decode_message, encode_message};
pub use packing::{pack, unpack};
pub use reachability::{
    AcknowledgedCommits, QuestionPurpose, QuestionSubject, Reachability, ReachabilityMessage,
    decode_reachability, encode_reachability,
};
pub use table::{TableMessage, decode_table, encode_table};

/// Version of the format; a node drops messages with another version.
pub const VERSION: u8 = 2;
/// Longest datagram, which fits one Ethernet frame with IP and UDP headers.
pub const MAX_DATAGRAM: usize = 1_400;
/// Longest table message, in bytes.
pub const MAX_TABLE_MESSAGE: usize = 64 * 1024 * 1024;
const MAC_LENGTH: usize = 16;

/// A duration in whole milliseconds, rounded down, as messages and rows carry it.
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Why a message was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// Longer or shorter than any message.
    #[error("message of {0} bytes")]
    Length(usize),
    /// Another version of the format.
    #[error("message of version {0}")]
    Version(u8),
    /// The MAC does not match: foreign, forged or damaged.
    #[error("message with a wrong MAC")]
    Mac,
    /// The body cannot be decoded.
    #[error("malformed message")]
    Malformed,
}

/// Key shared by the nodes of a fleet.
#[derive(Clone)]
pub struct PeerKey(Vec<u8>);

impl PeerKey {
    /// Wraps key bytes.
    pub fn new(key: impl Into<Vec<u8>>) -> Self {
        Self(key.into())
    }

    /// The key's bytes, as stored for the nodes of the fleet.
    pub fn secret(&self) -> &[u8] {
        &self.0
    }

    fn mac(&self) -> Hmac<Sha256> {
        <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("HMAC takes a key of any length")
    }

    /// Adds version and MAC to a body.
    fn seal(&self, body: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(1 + body.len() + MAC_LENGTH);
        bytes.push(VERSION);
        bytes.extend_from_slice(body);
        let mut mac = self.mac();
        mac.update(&bytes);
        bytes.extend_from_slice(&mac.finalize().into_bytes()[..MAC_LENGTH]);
        bytes
    }

    /// Checks version and MAC; returns the body.
    fn open<'a>(&self, bytes: &'a [u8], max_length: usize) -> Result<&'a [u8], PeerError> {
        if bytes.len() <= 1 + MAC_LENGTH || bytes.len() > max_length {
            return Err(PeerError::Length(bytes.len()));
        }
        let (sealed, mac) = bytes.split_at(bytes.len() - MAC_LENGTH);
        let mut verifier = self.mac();
        verifier.update(sealed);
        verifier
            .verify_truncated_left(mac)
            .map_err(|_| PeerError::Mac)?;
        match sealed[0] {
            VERSION => Ok(&sealed[1..]),
            other => Err(PeerError::Version(other)),
        }
    }
}
