//! Statements that a node has run by another one, an owner of connections to
//! the instance.
//!
//! Messages go both ways on one stream between two nodes, framed by their
//! length, and are told apart by numbers that the asking node chooses. A
//! connection on which a transaction was opened stays lent until it is
//! released; it goes by the number of the statement that opened it.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use crate::{PeerError, PeerKey};

/// Longest message, in bytes: a statement or an answer of the users' platform
/// and what goes with it.
pub const MAX_FORWARD_MESSAGE: usize = 4 * 1024 * 1024;

/// A place in an instance's log: term and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardPosition {
    /// The term.
    #[n(0)]
    pub term: u64,
    /// The number.
    #[n(1)]
    pub index: u64,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardWork {
    /// Its text.
    #[n(0)]
    Text {
        /// The caller's identifier.
        #[n(0)]
        id: ByteVec,
        /// The text as it came.
        #[n(1)]
        text: ByteVec,
        /// It may change data.
        #[n(2)]
        writes: bool,
    },
    /// An execution of a prepared statement.
    #[n(1)]
    Prepared {
        /// The caller's identifier.
        #[n(0)]
        id: ByteVec,
        /// Shape of the prepared statement.
        #[n(1)]
        shape: ByteVec,
        /// It may change data.
        #[n(2)]
        writes: bool,
        /// Arguments as they came.
        #[n(3)]
        arguments: ByteVec,
    },
    /// The end of a transaction.
    #[n(2)]
    Commit {
        /// The caller's identifier.
        #[n(0)]
        id: ByteVec,
        /// The text as it came.
        #[n(1)]
        text: ByteVec,
    },
}

/// What stands around a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardFrame {
    /// Nothing.
    #[n(0)]
    Bare {
        /// Position the instance must have.
        #[n(0)]
        fence: Option<ForwardPosition>,
    },
    /// It opens a transaction.
    #[n(1)]
    Opening {
        /// A replica may run it.
        #[n(0)]
        read_only: bool,
        /// Position the instance must have.
        #[n(1)]
        fence: Option<ForwardPosition>,
    },
    /// A transaction that proves the instance to be primary.
    #[n(2)]
    ProvingPrimary,
}

/// A statement to run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardStatement {
    /// Ties the answer to it.
    #[n(0)]
    pub number: u64,
    /// Number of the statement that opened the transaction it belongs to.
    #[n(1)]
    pub lent: Option<u64>,
    /// The instance that is to run it.
    #[n(2)]
    pub instance: String,
    /// Values of the session, by name.
    #[n(3)]
    pub values: Vec<(ByteVec, ByteVec)>,
    /// The statement.
    #[n(4)]
    pub work: ForwardWork,
    /// What stands around it.
    #[n(5)]
    pub frame: ForwardFrame,
    /// It waits among reads.
    #[n(6)]
    pub is_read: bool,
    /// The route's priority.
    #[n(7)]
    pub priority: u8,
    /// How long it may wait for a connection, in milliseconds.
    #[n(8)]
    pub connection_within_ms: u64,
    /// How long its answer may take, in milliseconds.
    #[n(9)]
    pub answer_within_ms: u64,
    /// The tenant whose connection it needs; `None` for no tenant's.
    #[n(10)]
    pub tenant: Option<String>,
    /// Regions in which it may be run; empty is everywhere.
    #[n(11)]
    pub regions: Vec<String>,
}

/// What an instance's error means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ForwardErrorKind {
    /// No free slot; not run.
    #[n(0)]
    Busy,
    /// The log lacks the position asked for; not run.
    #[n(1)]
    Lagging,
    /// Not the primary; not run.
    #[n(2)]
    ReadOnly,
    /// Another instance or service; not run.
    #[n(3)]
    WrongInstance,
    /// Its connections are used up; not run.
    #[n(4)]
    TooManyConnections,
    /// The prepared name is not known; not run.
    #[n(5)]
    UnknownPrepared,
    /// The transaction is undone.
    #[n(6)]
    Aborted,
    /// It ran and failed, or its fate is not known.
    #[n(7)]
    Ran,
}

/// How an instance ended a statement.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardResult {
    /// Done, with its signature.
    #[n(0)]
    Completed(#[n(0)] ByteVec),
    /// Refused or failed: what that means, code and text.
    #[n(1)]
    Error(#[n(0)] ForwardErrorKind, #[n(1)] ByteVec),
}

/// State of the transaction on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ForwardStatus {
    /// None is open.
    #[n(0)]
    Idle,
    /// One is open.
    #[n(1)]
    Open,
    /// One is open and has failed.
    #[n(2)]
    Failed,
}

/// An instance's reply.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardReply {
    /// Rows as they came.
    #[n(0)]
    pub rows: Vec<ByteVec>,
    /// How it ended.
    #[n(1)]
    pub result: ForwardResult,
    /// State of the transaction.
    #[n(2)]
    pub status: ForwardStatus,
    /// Position of the instance's log.
    #[n(3)]
    pub position: Option<ForwardPosition>,
}

/// Why a statement may not be sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ForwardIneligible {
    /// The instance stands outside the request's regions.
    #[n(0)]
    OutsideRegions,
    /// Its zone is evacuated.
    #[n(1)]
    Evacuated,
}

/// How a forwarded statement ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardOutcome {
    /// The instance answered it.
    #[n(0)]
    Answered {
        /// Its reply.
        #[n(0)]
        reply: ForwardReply,
        /// Its reply to the start of the transaction, if there was one.
        #[n(1)]
        begin: Option<ForwardReply>,
        /// The connection stays lent.
        #[n(2)]
        is_lent: bool,
    },
    /// Certainly not run: no connection was free in time.
    #[n(1)]
    NoConnection,
    /// Certainly not run: the instance, or the lent connection, is not there.
    #[n(2)]
    Unreachable,
    /// Certainly not run: the owner takes no statements for the instance.
    #[n(3)]
    NotOwner,
    /// Certainly not run: refused by the instance.
    #[n(4)]
    Refused(#[n(0)] ForwardErrorKind),
    /// The connection broke after it was sent.
    #[n(5)]
    Lost,
    /// No answer came in time.
    #[n(6)]
    TimedOut,
    /// Certainly not run: it may not be sent to the instance.
    #[n(7)]
    Ineligible(#[n(0)] ForwardIneligible),
    /// Certainly not run: the instance may be cold, and this owner may send to it
    /// after so many milliseconds.
    #[n(8)]
    WarmingUp(#[n(0)] u64),
}

/// A message between a node and an owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardMessage {
    /// Please run a statement.
    #[n(0)]
    Run(#[n(0)] ForwardStatement),
    /// A lent connection is given back, or its statement given up.
    #[n(1)]
    Release {
        /// Number of the statement that opened it.
        #[n(0)]
        number: u64,
        /// It must not be used again.
        #[n(1)]
        close: bool,
    },
    /// A statement has ended.
    #[n(2)]
    Ended {
        /// Its number.
        #[n(0)]
        number: u64,
        /// How.
        #[n(1)]
        outcome: ForwardOutcome,
    },
    /// How far has a service's log come?
    #[n(3)]
    EvidenceQuestion {
        /// Ties the answer to it.
        #[n(0)]
        number: u64,
        /// The service.
        #[n(1)]
        service: String,
        /// Age that the evidence may have when the question arrives, in
        /// milliseconds.
        #[n(2)]
        max_age_ms: u64,
        /// The instance that whoever asks believes to lead: what an owner that
        /// believes in another one knows is no evidence for it.
        #[n(3)]
        instance: Option<String>,
    },
    /// The answer to that.
    #[n(4)]
    EvidenceAnswer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Age of the evidence when the question arrived, rounded up.
        #[n(1)]
        age_ms: u64,
        /// Position of the primary's log, if there is evidence.
        #[n(2)]
        position: Option<ForwardPosition>,
    },
    /// Do you live?
    #[n(5)]
    Ping,
    /// I do.
    #[n(6)]
    Pong,
}

/// Encodes a message, without its length.
pub fn encode_forward(message: &ForwardMessage, key: &PeerKey) -> Vec<u8> {
    let body = minicbor::to_vec(message).expect("encoding to a vector does not fail");
    key.seal(&body)
}

/// Decodes a message.
pub fn decode_forward(bytes: &[u8], key: &PeerKey) -> Result<ForwardMessage, PeerError> {
    let body = key.open(bytes, MAX_FORWARD_MESSAGE)?;
    minicbor::decode(body).map_err(|_| PeerError::Malformed)
}
