//! Datagrams between nodes: questions about primaries, and budgets of tenants.
//!
//! Both kinds arrive on one socket, so the variants of [`BudgetMessage`] and of
//! [`ReachabilityMessage`] have distinct numbers.

use minicbor::{Decode, Encode};

use crate::{MAX_DATAGRAM, PeerError, PeerKey, ReachabilityMessage};

/// A message between a node and a tenant's coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BudgetMessage {
    /// Asks the coordinator for operations.
    #[n(10)]
    Question {
        /// Number that the answer repeats.
        #[n(0)]
        number: u64,
        /// The tenant.
        #[n(1)]
        tenant: String,
        /// Number of operations wanted.
        #[n(2)]
        wanted: u64,
        /// Operations of earlier grants that certainly did not run.
        #[n(3)]
        unused: u64,
        /// Rate that the node had from the first coordinator, which it does not reach,
        /// in thousandths of operations per second; `None` if it asks the first.
        #[n(4)]
        inherited: Option<u64>,
    },
    /// The coordinator's answer.
    #[n(11)]
    Answer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Number of operations granted.
        #[n(1)]
        amount: u64,
        /// Time after which to ask again if none was granted, in milliseconds.
        #[n(2)]
        retry_after_ms: u64,
    },
    /// Another node is the tenant's coordinator.
    #[n(12)]
    Redirect {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Address of the coordinator.
        #[n(1)]
        address: String,
    },
    /// The sender has replaced the receiver as the tenant's coordinator.
    #[n(13)]
    Displaced {
        /// The tenant.
        #[n(0)]
        tenant: String,
    },
}

/// The message in one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// A message about the reachability of an instance.
    Reachability(ReachabilityMessage),
    /// A message about a tenant's budget.
    Budget(BudgetMessage),
}

/// Encodes a message about a budget for one datagram.
pub fn encode_budget(message: &BudgetMessage, key: &PeerKey) -> Vec<u8> {
    let body = minicbor::to_vec(message).expect("encoding to a vector does not fail");
    key.seal(&body)
}

/// Checks and decodes a datagram.
pub fn decode_datagram(bytes: &[u8], key: &PeerKey) -> Result<Datagram, PeerError> {
    let body = key.open(bytes, MAX_DATAGRAM)?;
    if let Ok(message) = minicbor::decode(body) {
        return Ok(Datagram::Reachability(message));
    }
    let message = minicbor::decode(body).map_err(|_| PeerError::Malformed)?;
    Ok(Datagram::Budget(message))
}
