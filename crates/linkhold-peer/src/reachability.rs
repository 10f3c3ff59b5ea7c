//! Questions between nodes: whether a node reaches an instance as the primary, and
//! whether it agrees to send it nothing while it is replaced.

use std::fmt;

use minicbor::{Decode, Encode};

use crate::{MAX_DATAGRAM, PeerError, PeerKey};

/// Result of an attempt to reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Reachability {
    /// The instance answered as the primary.
    #[n(0)]
    Reached,
    /// The instance did not answer.
    #[n(1)]
    Unreached,
    /// The instance answered that it is not the primary.
    #[n(2)]
    NotPrimary,
}

/// Purpose of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum QuestionPurpose {
    /// To find out whether the instance is lost.
    #[n(0)]
    Probe,
    /// To replace the instance. A node that answers [`Reachability::Unreached`] agrees
    /// to acknowledge nothing that the instance commits for a while.
    #[n(1)]
    Replace,
}

/// Subject of a question.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum QuestionSubject {
    /// An instance.
    #[n(0)]
    Instance(#[n(0)] String),
    /// The instance that the node asked considers the primary of a service. The asking
    /// node may not know this instance.
    #[n(1)]
    PrimaryOf(#[n(0)] String),
}

impl fmt::Display for QuestionSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Instance(id) => write!(formatter, "instance {id}"),
            Self::PrimaryOf(service) => write!(formatter, "service {service}"),
        }
    }
}

/// What a node knows of the commits of a service that it acknowledged. Ages are in
/// milliseconds, as of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcknowledgedCommits {
    /// How long the node's process has run.
    #[n(0)]
    pub running_ms: u64,
    /// Age of its latest evidence of the primary's log; `None` without evidence.
    #[n(1)]
    pub evidence_age_ms: Option<u64>,
    /// The newest position that it acknowledged or has evidence of, as term and index.
    #[n(2)]
    pub newest: Option<(u64, u64)>,
    /// Number of instances that may hold commits of the service.
    #[n(3)]
    pub log_holders: u64,
    /// The newest term of which the node knows that a primary's log ends in it.
    #[n(4)]
    pub proved_term: Option<u64>,
}

/// A message about the reachability of an instance, or about what a node has agreed
/// to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReachabilityMessage {
    /// Asks a node to try to reach an instance.
    #[n(0)]
    Question {
        /// Number that the answer repeats.
        #[n(0)]
        number: u64,
        /// The instance to reach.
        #[n(1)]
        subject: QuestionSubject,
        /// Purpose of the question.
        #[n(2)]
        purpose: QuestionPurpose,
        /// Age in milliseconds of the list of nodes that are asked to agree, if the
        /// asking node could not read it from the store.
        #[n(3)]
        list_age_ms: Option<u64>,
    },
    /// Answers a question.
    #[n(1)]
    Answer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Result of the attempt to reach the instance.
        #[n(1)]
        found: Reachability,
        /// The instance that was reached as the primary, if the question names a
        /// service.
        #[n(2)]
        primary: Option<String>,
        /// What the node knows of the commits that it acknowledged, if it agrees to a
        /// replacement; `None` from a node that does not report it.
        #[n(3)]
        acknowledged: Option<AcknowledgedCommits>,
        /// Addresses of the nodes that a list of the age in the question may lack;
        /// `None` if there are too many, or the question tells no age.
        #[n(4)]
        joined: Option<Vec<String>>,
    },
    /// Withdraws a question with the purpose [`QuestionPurpose::Replace`]: the asking
    /// node orders no replacement.
    #[n(4)]
    Release {
        /// The question's number.
        #[n(0)]
        number: u64,
    },
    /// Asks which replacements a node has recently agreed to.
    #[n(2)]
    ConfirmationQuestion {
        /// Number that the answer repeats.
        #[n(0)]
        number: u64,
    },
    /// Lists all replacements that the node has recently agreed to.
    #[n(3)]
    ConfirmationAnswer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// The replacements, as [`QuestionSubject`]s are displayed; `None` if the node
        /// may not acknowledge for primaries itself, or if there are too many.
        #[n(1)]
        agreed: Option<Vec<String>>,
    },
}

/// Encodes a message for one datagram.
pub fn encode_reachability(message: &ReachabilityMessage, key: &PeerKey) -> Vec<u8> {
    let body = minicbor::to_vec(message).expect("encoding to a vector does not fail");
    key.seal(&body)
}

/// Checks and decodes a datagram.
pub fn decode_reachability(bytes: &[u8], key: &PeerKey) -> Result<ReachabilityMessage, PeerError> {
    let body = key.open(bytes, MAX_DATAGRAM)?;
    minicbor::decode(body).map_err(|_| PeerError::Malformed)
}
