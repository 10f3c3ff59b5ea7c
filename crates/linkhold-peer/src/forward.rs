//! Messages by which a node has another one, an owner of connections to the
//! instance, run its statements.
//!
//! Messages go both ways on one stream between two nodes, framed by their
//! length. The asking node chooses a number for each statement or question, and
//! the answer repeats it. A connection on which a transaction was opened stays
//! lent until it is released; the number of the statement that opened the
//! transaction identifies it.

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use crate::{PeerError, PeerKey};

/// Longest message, in bytes: a statement or an answer of the users' platform
/// with its envelope.
pub const MAX_FORWARD_MESSAGE: usize = 4 * 1024 * 1024;

/// A position in an instance's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardPosition {
    /// Term of the entry.
    #[n(0)]
    pub term: u64,
    /// Number of the entry.
    #[n(1)]
    pub index: u64,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardWork {
    /// A statement as text.
    #[n(0)]
    Text {
        /// The caller's identifier of the statement.
        #[n(0)]
        id: ByteVec,
        /// The text as the caller sent it.
        #[n(1)]
        text: ByteVec,
        /// Whether the statement may change data.
        #[n(2)]
        writes: bool,
    },
    /// An execution of a prepared statement.
    #[n(1)]
    Prepared {
        /// The caller's identifier of the statement.
        #[n(0)]
        id: ByteVec,
        /// Shape of the prepared statement, which the proxy does not parse.
        #[n(1)]
        shape: ByteVec,
        /// Whether the statement may change data.
        #[n(2)]
        writes: bool,
        /// The arguments as the caller sent them.
        #[n(3)]
        arguments: ByteVec,
    },
    /// The end of a transaction.
    #[n(2)]
    Commit {
        /// The caller's identifier of the statement.
        #[n(0)]
        id: ByteVec,
        /// The text as the caller sent it.
        #[n(1)]
        text: ByteVec,
    },
}

/// The transaction to start around a statement, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardFrame {
    /// The statement runs without one.
    #[n(0)]
    Bare {
        /// Position that the instance's log must have reached.
        #[n(0)]
        fence: Option<ForwardPosition>,
    },
    /// The statement opens a transaction.
    #[n(1)]
    Opening {
        /// Whether a replica may run the transaction.
        #[n(0)]
        read_only: bool,
        /// Position that the instance's log must have reached.
        #[n(1)]
        fence: Option<ForwardPosition>,
    },
    /// The statement runs in a transaction that proves the instance to be the primary.
    #[n(2)]
    ProvingPrimary,
}

/// A statement to run.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardStatement {
    /// Number that the answer repeats.
    #[n(0)]
    pub number: u64,
    /// Number of the statement that opened the transaction this one belongs to; `None`
    /// if it belongs to none or opens one.
    #[n(1)]
    pub transaction: Option<u64>,
    /// The instance that is to run it.
    #[n(2)]
    pub instance: String,
    /// Values of the session, by name.
    #[n(3)]
    pub values: Vec<(ByteVec, ByteVec)>,
    /// The statement.
    #[n(4)]
    pub work: ForwardWork,
    /// The transaction to start around it.
    #[n(5)]
    pub frame: ForwardFrame,
    /// Whether it queues for a connection as a read.
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
    /// The tenant whose connection it needs; `None` for a connection of no tenant.
    #[n(10)]
    pub tenant: Option<String>,
    /// Regions in which it may run; empty means everywhere.
    #[n(11)]
    pub regions: Vec<String>,
}

/// Meaning of an instance's error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ForwardErrorKind {
    /// The instance has no free slot; not run.
    #[n(0)]
    Busy,
    /// The instance's log has not reached the required position; not run.
    #[n(1)]
    Lagging,
    /// The instance is not the primary; not run.
    #[n(2)]
    ReadOnly,
    /// The address belongs to another instance or service; not run.
    #[n(3)]
    WrongInstance,
    /// The instance accepts no more connections; not run.
    #[n(4)]
    TooManyConnections,
    /// The instance does not know the prepared statement; not run.
    #[n(5)]
    UnknownPrepared,
    /// The transaction was rolled back.
    #[n(6)]
    Aborted,
    /// The statement ran and failed, or its outcome is unknown.
    #[n(7)]
    Ran,
}

/// How an instance ended a statement.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardResult {
    /// The statement completed, with this signature.
    #[n(0)]
    Completed(#[n(0)] ByteVec),
    /// The statement was refused or failed: meaning of the error, and its code and
    /// text.
    #[n(1)]
    Error(#[n(0)] ForwardErrorKind, #[n(1)] ByteVec),
}

/// State of the transaction on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ForwardStatus {
    /// No transaction is open.
    #[n(0)]
    Idle,
    /// A transaction is open.
    #[n(1)]
    Open,
    /// A transaction is open and has failed.
    #[n(2)]
    Failed,
}

/// An instance's reply.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ForwardReply {
    /// Rows as the instance sent them.
    #[n(0)]
    pub rows: Vec<ByteVec>,
    /// How the statement ended.
    #[n(1)]
    pub result: ForwardResult,
    /// State of the connection's transaction.
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
    /// The instance is outside the request's regions.
    #[n(0)]
    OutsideRegions,
    /// The instance's zone is evacuated.
    #[n(1)]
    Evacuated,
}

/// How a forwarded statement ended.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardOutcome {
    /// The instance answered.
    #[n(0)]
    Answered {
        /// The instance's reply to the statement.
        #[n(0)]
        reply: ForwardReply,
        /// The instance's reply to the start of the transaction, if the statement
        /// opened one.
        #[n(1)]
        begin: Option<ForwardReply>,
        /// Whether the connection stays lent.
        #[n(2)]
        is_lent: bool,
    },
    /// Certainly not run: no connection was free in time.
    #[n(1)]
    NoConnection,
    /// Certainly not run: the owner does not reach the instance or no longer has the
    /// lent connection.
    #[n(2)]
    Unreachable,
    /// Certainly not run: this node takes no statements for the instance.
    #[n(3)]
    NotOwner,
    /// Certainly not run: refused by the instance.
    #[n(4)]
    Refused(#[n(0)] ForwardErrorKind),
    /// The connection broke after the statement was sent.
    #[n(5)]
    Lost,
    /// No answer came in time.
    #[n(6)]
    TimedOut,
    /// Certainly not run: the statement may not be sent to the instance.
    #[n(7)]
    Ineligible(#[n(0)] ForwardIneligible),
    /// Certainly not run: the instance may be cold, and this owner may send to it again
    /// after this many milliseconds.
    #[n(8)]
    WarmingUp(#[n(0)] u64),
}

/// A message between a node and an owner.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ForwardMessage {
    /// Asks an owner to run a statement.
    #[n(0)]
    Run(#[n(0)] ForwardStatement),
    /// Gives a lent connection back, or gives its statement up.
    #[n(1)]
    Release {
        /// Number of the statement that opened the transaction.
        #[n(0)]
        number: u64,
        /// Whether the connection must be closed instead of being used again.
        #[n(1)]
        close: bool,
    },
    /// A statement has ended.
    #[n(2)]
    Ended {
        /// The statement's number.
        #[n(0)]
        number: u64,
        /// How the statement ended.
        #[n(1)]
        outcome: ForwardOutcome,
    },
    /// Asks for evidence of the position that a service's log has reached.
    #[n(3)]
    EvidenceQuestion {
        /// Number that the answer repeats.
        #[n(0)]
        number: u64,
        /// The service.
        #[n(1)]
        service: String,
        /// Age that the evidence may have when the question arrives, in
        /// milliseconds.
        #[n(2)]
        max_age_ms: u64,
        /// The instance that the asking node considers the primary. An owner that knows
        /// another primary has no evidence for it.
        #[n(3)]
        instance: Option<String>,
    },
    /// Answers an evidence question.
    #[n(4)]
    EvidenceAnswer {
        /// The question's number.
        #[n(0)]
        number: u64,
        /// Age of the evidence when the question arrived, in milliseconds rounded up.
        #[n(1)]
        age_ms: u64,
        /// Position of the primary's log; `None` if there is no evidence.
        #[n(2)]
        position: Option<ForwardPosition>,
    },
    /// Asks an owner whether it is alive.
    #[n(5)]
    Ping,
    /// Answers a ping.
    #[n(6)]
    Pong,
}

/// Encodes a message, without its length prefix.
pub fn encode_forward(message: &ForwardMessage, key: &PeerKey) -> Vec<u8> {
    let body = minicbor::to_vec(message).expect("encoding to a vector does not fail");
    key.seal(&body)
}

/// Checks and decodes a message.
pub fn decode_forward(bytes: &[u8], key: &PeerKey) -> Result<ForwardMessage, PeerError> {
    let body = key.open(bytes, MAX_FORWARD_MESSAGE)?;
    minicbor::decode(body).map_err(|_| PeerError::Malformed)
}
