//! Datagrams between nodes: questions about primaries, and budgets of tenants.
//!
//! Both kinds come to one socket; variants of [`BudgetMessage`] are numbered
//! apart from those of [`ReachabilityMessage`].

use minicbor::{Decode, Encode};

use crate::{MAX_DATAGRAM, PeerError, PeerKey, ReachabilityMessage};

/// A message between a node and a tenant's coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BudgetMessage {
    /// A node asks for operations.
    #[n(10)]
    Question {
        /// Told back in the answer.
        #[n(0)]
        number: u64,
        /// The tenant.
        #[n(1)]
        tenant: String,
        /// Operations that are wanted.
        #[n(2)]
        wanted: u64,
        /// Operations of earlier grants that certainly did not run.
        #[n(3)]
        unused: u64,
        /// What the node had of the first coordinator, which it does not reach, in
        /// thousandths of operations a second; `None` if it asks the first.
        #[n(4)]
        inherited: Option<u64>,
    },
    /// The coordinator's answer.
    #[n(11)]
    Answer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Operations that are granted.
        #[n(1)]
        amount: u64,
        /// When to ask again if there was none, in milliseconds.
        #[n(2)]
        retry_after_ms: u64,
    },
    /// Another node is the tenant's coordinator.
    #[n(12)]
    Redirect {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Where it is reached.
        #[n(1)]
        address: String,
    },
    /// The sender is the tenant's coordinator now.
    #[n(13)]
    Displaced {
        /// The tenant.
        #[n(0)]
        tenant: String,
    },
}

/// What one datagram holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Datagram {
    /// About the reachability of an instance.
    Reachability(ReachabilityMessage),
    /// About a tenant's budget.
    Budget(BudgetMessage),
}

/// Encodes a message about a budget for one datagram.
pub fn encode_budget(message: &BudgetMessage, key: &PeerKey) -> Vec<u8> {
    let body = minicbor::to_vec(message).expect("encoding to a vector does not fail");
    key.seal(&body)
}

/// Decodes a datagram.
pub fn decode_datagram(bytes: &[u8], key: &PeerKey) -> Result<Datagram, PeerError> {
    let body = key.open(bytes, MAX_DATAGRAM)?;
    if let Ok(message) = minicbor::decode(body) {
        return Ok(Datagram::Reachability(message));
    }
    let message = minicbor::decode(body).map_err(|_| PeerError::Malformed)?;
    Ok(Datagram::Budget(message))
}
