//! Questions between nodes: can you reach this instance as a primary, and will
//! you send it nothing while it is replaced?

use std::fmt;

use minicbor::{Decode, Encode};

use crate::{MAX_DATAGRAM, PeerError, PeerKey};

/// What a node found when it tried to reach an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Reachability {
    /// It answered as a primary.
    #[n(0)]
    Reached,
    /// It did not answer.
    #[n(1)]
    Unreached,
    /// It answered that it is not the primary.
    #[n(2)]
    NotPrimary,
}

/// What a question is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum QuestionPurpose {
    /// To find out whether the instance is lost.
    #[n(0)]
    Probe,
    /// To replace it. Whoever answers [`Reachability::Unreached`] agrees to
    /// acknowledge nothing that the instance commits for a while.
    #[n(1)]
    Replace,
}

/// What a question is about.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum QuestionSubject {
    /// An instance.
    #[n(0)]
    Instance(#[n(0)] String),
    /// Whichever instance the node that is asked believes to be the primary of a
    /// service. Whoever asks may not even list it.
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

/// A message about the reachability of an instance, or about what a node has agreed
/// to.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ReachabilityMessage {
    /// Please try to reach an instance.
    #[n(0)]
    Question {
        /// Told back in the answer.
        #[n(0)]
        number: u64,
        /// What it is about.
        #[n(1)]
        subject: QuestionSubject,
        /// What it is asked for.
        #[n(2)]
        purpose: QuestionPurpose,
    },
    /// What was found.
    #[n(1)]
    Answer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// What was found.
        #[n(1)]
        found: Reachability,
        /// The instance that was found to lead, where the question names a service and it
        /// was reached as a primary.
        #[n(2)]
        primary: Option<String>,
    },
    /// Whoever asked a question to replace an instance orders nothing.
    #[n(4)]
    Release {
        /// The question's number.
        #[n(0)]
        number: u64,
    },
    /// What replacements have you agreed to lately?
    #[n(2)]
    ConfirmationQuestion {
        /// Told back in the answer.
        #[n(0)]
        number: u64,
    },
    /// These, and no others.
    #[n(3)]
    ConfirmationAnswer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// What it has agreed to, as [`QuestionSubject`]s are displayed; `None` if it
        /// may not speak for primaries itself, or if they are too many.
        #[n(1)]
        agreed: Option<Vec<String>>,
    },
}

/// Encodes a message for one datagram.
pub fn encode_reachability(message: &ReachabilityMessage, key: &PeerKey) -> Vec<u8> {
    let body = minicbor::to_vec(message).expect("encoding to a vector does not fail");
    key.seal(&body)
}

/// Decodes a datagram.
pub fn decode_reachability(bytes: &[u8], key: &PeerKey) -> Result<ReachabilityMessage, PeerError> {
    let body = key.open(bytes, MAX_DATAGRAM)?;
    minicbor::decode(body).map_err(|_| PeerError::Malformed)
}
