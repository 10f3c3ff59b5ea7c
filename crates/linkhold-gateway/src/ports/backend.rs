//! Instances: connections, commands and replies.

use std::future::Future;

use bytes::Bytes;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::session::{Prepared, TransactionStatus};
use linkhold_core::tenancy::ConnectionHolder;
use thiserror::Error;
use tokio::net::TcpStream;

/// A command to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A caller's statement, unchanged.
    Run {
        /// The caller's identifier.
        id: Bytes,
        /// The text as it came.
        text: Bytes,
        /// Position the instance must have.
        fence: Option<Position>,
    },
    /// A caller's execution of a prepared statement.
    Execute {
        /// The caller's identifier.
        id: Bytes,
        /// Number of the prepared statement on this connection.
        number: usize,
        /// Arguments as they came.
        arguments: Bytes,
        /// Position the instance must have.
        fence: Option<Position>,
    },
    /// Starts a transaction.
    Begin {
        /// A replica may run it.
        read_only: bool,
        /// Position the instance must have.
        fence: Option<Position>,
    },
    /// Rolls back.
    Rollback,
    /// Drops values and prepared statements.
    Discard,
    /// Sets a value.
    Set {
        /// Name of the value.
        name: Bytes,
        /// The value.
        value: Bytes,
    },
    /// Prepares a statement.
    Prepare {
        /// Its number on this connection.
        number: usize,
        /// What it stands for.
        prepared: Prepared,
    },
    /// Asks for the instance's status.
    Status,
    /// Turns a primary of a lower term into a replica.
    StepDown {
        /// The term that ends it.
        term: Term,
    },
}

/// What an instance's error means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendErrorKind {
    /// No free slot; not run.
    Busy,
    /// The log lacks the position asked for; not run.
    Lagging,
    /// Not the primary; not run.
    ReadOnly,
    /// Another instance or service; not run.
    WrongInstance,
    /// Its connections are used up; not run.
    TooManyConnections,
    /// The prepared name is not known; not run.
    UnknownPrepared,
    /// The transaction is undone.
    Aborted,
    /// It ran and failed, or its fate is not known.
    Ran,
}

/// How an instance ended a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// Done; the signature proves it.
    Completed(Bytes),
    /// Refused or failed.
    Error {
        /// What it means.
        kind: BackendErrorKind,
        /// Code and text as they came.
        message: Bytes,
    },
}

/// An instance's answer to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReply {
    /// Rows as they came.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub outcome: BackendOutcome,
    /// State of the transaction on this connection.
    pub status: TransactionStatus,
    /// Position of the instance's log.
    pub position: Option<Position>,
}

impl BackendReply {
    /// The kind of error, if it is one.
    pub fn error(&self) -> Option<BackendErrorKind> {
        match &self.outcome {
            BackendOutcome::Completed(_) => None,
            BackendOutcome::Error { kind, .. } => Some(*kind),
        }
    }
}

/// A connection to an instance could not be made. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ConnectError {
    /// Refused, reset or silent.
    #[error("instance cannot be reached")]
    Unreachable,
    /// Another instance answers at the address.
    #[error("another instance answers at the address")]
    WrongInstance,
    /// It said that it has no connection left.
    #[error("instance has no connection left")]
    Rejected,
    /// The connection was taken and closed without a word: the instance has
    /// none left, or something stands before an instance that is gone.
    #[error("connection was closed at once")]
    Closed,
}

/// A connection to an instance broke during an exchange.
#[derive(Debug, Error)]
#[error("connection to the instance broke")]
pub struct ExchangeError {
    /// Replies that came before.
    pub replies: Vec<BackendReply>,
}

/// A connection to an instance.
pub trait BackendConnection: Send + 'static {
    /// Sends commands in one write and reads a reply to each.
    fn exchange(
        &mut self,
        commands: &[Command],
    ) -> impl Future<Output = Result<Vec<BackendReply>, ExchangeError>> + Send;
    /// Whether the connection still stands, as far as can be told at once.
    fn is_open(&mut self) -> bool;
}

/// Opens connections to instances.
pub trait BackendConnector: Send + Sync + 'static {
    /// What it opens.
    type Connection: BackendConnection;
    /// Connects to an instance and makes sure that it is the one meant. The
    /// instance is told whose connection it is, which cannot change later.
    fn connect(
        &self,
        instance: &Instance,
        holder: &ConnectionHolder,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
    /// The same over a stream that leads to the instance's address.
    fn connect_over(
        &self,
        stream: TcpStream,
        instance: &Instance,
        holder: &ConnectionHolder,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
}

/// An instance's answer to a status question, and its log's position.
pub type StatusReply = Option<InstanceStatus>;

/// Reads a status reply; the format is the platform's.
pub trait StatusReader: Send + Sync + 'static {
    /// The status in a reply to [`Command::Status`] or [`Command::StepDown`].
    fn read_status(&self, id: &InstanceId, reply: &BackendReply) -> StatusReply;
}
