//! Callers: their sessions, statements and answers.

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
    /// The statement's text as it came.
    pub text: Bytes,
    /// What it is.
    pub statement: Statement,
}

/// What a caller's statement is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Starts a transaction.
    Begin {
        /// The transaction only reads.
        read_only: bool,
    },
    /// Commits it.
    Commit,
    /// Rolls it back.
    Rollback,
    /// Runs the text on data.
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
        /// What it stands for.
        prepared: Prepared,
    },
    /// Executes a prepared statement.
    Execute {
        /// Name in the session.
        name: Bytes,
        /// The rest of the text.
        arguments: Bytes,
    },
    /// Drops a prepared name.
    Deallocate {
        /// Name in the session.
        name: Bytes,
    },
    /// Not a statement of the language.
    Malformed,
}

/// First message of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Startup {
    /// The database asked for.
    pub database: String,
    /// By what the caller is known; `None` if it gave nothing.
    pub credential: Option<Credential>,
}

/// Why a statement was refused for what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It does not fit here: unknown text, or out of place.
    Malformed,
    /// The prepared name is not known.
    UnknownPrepared,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// The proxy did it itself.
    Acknowledged,
    /// An instance answered; passed on as it came.
    Relayed(BackendReply),
    /// It is refused for what it is.
    Rejected(Rejection),
    /// It failed; whether it ran is told.
    Failed(Failure),
}

/// A connection to a caller broke or was misused.
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
    /// The first message; `None` if the caller closed before it.
    fn startup(&mut self) -> impl Future<Output = Result<Option<Startup>, CallerError>> + Send;
    /// The next statement; `None` if the caller has ended the session. Safe to
    /// cancel: nothing that was read is lost.
    fn request(
        &mut self,
    ) -> impl Future<Output = Result<Option<CallerRequest>, CallerError>> + Send;
    /// Whether bytes of a request have arrived that are not answered.
    fn has_pending_input(&mut self) -> bool;
    /// Tells the caller that the session is open.
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
