//! Connections to instances, commands and replies.

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
        /// The text as received.
        text: Bytes,
        /// Position that the instance's log must have reached.
        fence: Option<Position>,
    },
    /// A caller's execution of a prepared statement.
    Execute {
        /// The caller's identifier.
        id: Bytes,
        /// Number of the prepared statement on this connection.
        number: usize,
        /// The arguments as received.
        arguments: Bytes,
        /// Position that the instance's log must have reached.
        fence: Option<Position>,
    },
    /// Starts a transaction.
    Begin {
        /// Whether a replica may run the transaction.
        read_only: bool,
        /// Position that the instance's log must have reached.
        fence: Option<Position>,
    },
    /// Rolls back the open transaction.
    Rollback,
    /// Drops the session values and prepared statements of the connection.
    Discard,
    /// Sets a session value.
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
        /// The statement.
        prepared: Prepared,
    },
    /// Asks for the instance's status.
    Status,
    /// Turns a primary of a lower term into a replica.
    StepDown {
        /// The new term; a primary of a lower term steps down.
        term: Term,
    },
}

/// What an instance's error means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendErrorKind {
    /// No free slot; the command did not run.
    Busy,
    /// The log has not reached the required position; the command did not run.
    Lagging,
    /// Not the primary; the command did not run.
    ReadOnly,
    /// Another instance or service; the command did not run.
    WrongInstance,
    /// No connection is left; the command did not run.
    TooManyConnections,
    /// The prepared statement does not exist; the command did not run.
    UnknownPrepared,
    /// The transaction was rolled back.
    Aborted,
    /// The command ran and failed, or its outcome is unknown.
    Ran,
}

/// How an instance ended a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// The command is done; the signature proves it.
    Completed(Bytes),
    /// The command was refused or failed.
    Error {
        /// Meaning of the error.
        kind: BackendErrorKind,
        /// Code and text as received.
        message: Bytes,
    },
}

/// An instance's answer to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendReply {
    /// Rows as received.
    pub rows: Vec<Bytes>,
    /// How the command ended.
    pub outcome: BackendOutcome,
    /// State of the transaction on this connection.
    pub status: TransactionStatus,
    /// Position of the instance's log.
    pub position: Option<Position>,
}

impl BackendReply {
    /// The kind of error; `None` if the command completed.
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
    /// The connection was refused or reset, or no answer came.
    #[error("instance cannot be reached")]
    Unreachable,
    /// Another instance answers at the address.
    #[error("another instance answers at the address")]
    WrongInstance,
    /// The instance answered that it has no connection left.
    #[error("instance has no connection left")]
    Rejected,
    /// The connection was accepted and closed without a message: the instance has no
    /// connection left, or a proxy in front of the instance accepts connections while the
    /// instance is down.
    #[error("connection was closed at once")]
    Closed,
}

/// A connection to an instance broke during an exchange.
#[derive(Debug, Error)]
#[error("connection to the instance broke")]
pub struct ExchangeError {
    /// Replies that arrived before.
    pub replies: Vec<BackendReply>,
}

/// A connection to an instance.
pub trait BackendConnection: Send + 'static {
    /// Sends commands in one write and reads a reply to each. Fails if the connection
    /// breaks.
    fn exchange(
        &mut self,
        commands: &[Command],
    ) -> impl Future<Output = Result<Vec<BackendReply>, ExchangeError>> + Send;
    /// Whether the connection is open, as far as can be determined without waiting.
    fn is_open(&mut self) -> bool;
}

/// Opens connections to instances.
pub trait BackendConnector: Send + Sync + 'static {
    /// The type of connection.
    type Connection: BackendConnection;
    /// Connects to an instance and checks its identity. The holder is sent to the
    /// instance and cannot change later.
    fn connect(
        &self,
        instance: &Instance,
        holder: &ConnectionHolder,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
    /// Like [`Self::connect`], over a stream that ends at the instance's address.
    fn connect_over(
        &self,
        stream: TcpStream,
        instance: &Instance,
        holder: &ConnectionHolder,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
}

/// An instance's status with the position of its log; `None` if the reply has none.
pub type StatusReply = Option<InstanceStatus>;

/// Reads a status reply; the format is the platform's.
pub trait StatusReader: Send + Sync + 'static {
    /// The status in a reply to [`Command::Status`] or [`Command::StepDown`].
    fn read_status(&self, id: &InstanceId, reply: &BackendReply) -> StatusReply;
}
