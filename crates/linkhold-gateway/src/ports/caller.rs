//! Connections of callers, their statements and the answers.

use std::future::Future;

use bytes::Bytes;
use linkhold_core::outcome::Failure;
use linkhold_core::service::session::{Access, Prepared, TransactionStatus};
use linkhold_core::tenancy::Credential;
use thiserror::Error;

use super::BackendReply;

/// A statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's identifier of the request.
    pub id: Bytes,
    /// The statement's text as received.
    pub text: Bytes,
    /// The parsed statement.
    pub statement: Statement,
}

/// A caller's statement by its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// Whether the transaction only reads.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes data.
    Run(Access),
    /// Sets a value for the session.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// Name in the session.
        name: Bytes,
        /// The statement.
        prepared: Prepared,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name in the session.
        name: Bytes,
        /// The rest of the text.
        arguments: Bytes,
    },
    /// Drops a prepared statement.
    Deallocate {
        /// Name in the session.
        name: Bytes,
    },
    /// A text that is no statement of the language.
    Malformed,
}

/// First message of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Startup {
    /// The requested database.
    pub database: String,
    /// The caller's credential; `None` if it sent none.
    pub credential: Option<Credential>,
}

/// Why a statement is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The text is unknown, or the statement is not allowed in the state of the session.
    Malformed,
    /// The prepared statement does not exist.
    UnknownPrepared,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The proxy handled the statement itself.
    Acknowledged,
    /// An instance's answer, unchanged.
    Relayed(BackendReply),
    /// The statement is invalid.
    Rejected(Rejection),
    /// The statement failed; the failure says whether it may have run.
    Failed(Failure),
}

/// A connection to a caller failed, or the caller violated the protocol.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The connection failed.
    #[error("connection to the caller failed: {0}")]
    Io(#[from] std::io::Error),
    /// The caller sent something that is not a message.
    #[error("caller broke the protocol: {0}")]
    Protocol(&'static str),
}

/// A caller's connection.
pub trait CallerConnection: Send + 'static {
    /// Reads the first message; `None` if the caller closed the connection before it.
    fn startup(&mut self) -> impl Future<Output = Result<Option<Startup>, CallerError>> + Send;
    /// Reads the next statement; `None` if the caller has ended the session. Cancel
    /// safe: no bytes that were read are lost.
    fn request(
        &mut self,
    ) -> impl Future<Output = Result<Option<CallerRequest>, CallerError>> + Send;
    /// Whether bytes of an unanswered request have arrived.
    fn has_pending_input(&mut self) -> bool;
    /// Confirms to the caller that the session is open.
    fn accept(&mut self) -> impl Future<Output = Result<(), CallerError>> + Send;
    /// Refuses the session.
    fn refuse(&mut self, failure: Failure) -> impl Future<Output = Result<(), CallerError>> + Send;
    /// Answers a request.
    fn reply(
        &mut self,
        reply: &CallerReply,
        status: TransactionStatus,
    ) -> impl Future<Output = Result<(), CallerError>> + Send;
}
