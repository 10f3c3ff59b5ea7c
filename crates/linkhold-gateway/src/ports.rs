//! What the engine needs from the world around it.
//!
//! An adapter translates these typed messages to one platform's protocols. It
//! makes no decision, retries nothing and keeps no state beyond a call.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use linkhold_core::outcome::Failure;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::configuration::Configuration;
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::session::{Access, Prepared, TransactionStatus};
use thiserror::Error;

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
    /// Who asks.
    pub user: String,
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

/// The store could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// It refused the call; nothing was done.
    #[error("store refused the call")]
    Refused,
    /// No answer, or a broken one; a write may have been done.
    #[error("store gave no answer")]
    NoAnswer,
    /// Changes since the cursor are no longer known.
    #[error("store has forgotten its history")]
    HistoryGone,
    /// The answer made no sense.
    #[error("store gave an answer that makes no sense")]
    Malformed,
}

/// Place in a stream of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);

/// A change to one entry of the instance directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The entry is there and reads so.
    Present(Instance),
    /// The entry is gone.
    Absent(InstanceId),
}

/// Where the configuration comes from.
pub trait ConfigurationSource: Send + Sync + 'static {
    /// The newest version, and the place from which to follow.
    fn read_configuration(
        &self,
    ) -> impl Future<Output = Result<(Option<Configuration>, Cursor), StoreError>> + Send;
    /// Newer versions; returns when there is one or after `wait`.
    fn follow_configuration(
        &self,
        from: Cursor,
        wait: Duration,
    ) -> impl Future<Output = Result<(Option<Configuration>, Cursor), StoreError>> + Send;
}

/// Where instances announce themselves.
pub trait InstanceDirectory: Send + Sync + 'static {
    /// All instances, and the place from which to follow.
    fn read_instances(
        &self,
    ) -> impl Future<Output = Result<(Vec<Instance>, Cursor), StoreError>> + Send;
    /// Changes; returns when there is one or after `wait`.
    fn follow_instances(
        &self,
        from: Cursor,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<DirectoryChange>, Cursor), StoreError>> + Send;
}

/// A row of the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Version for conditional writes.
    pub version: u64,
}

/// Which rows of a table are read, in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowRange<'a> {
    /// All of them.
    All,
    /// The one with this key.
    Key(&'a str),
    /// Some from this key on.
    From {
        /// The first key.
        key: &'a str,
        /// Rows at the most.
        limit: usize,
    },
}

/// Rows and the store's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredRows {
    /// The rows in the order of their keys.
    pub rows: Vec<StoredRow>,
    /// The store's steady clock, in milliseconds.
    pub now: u64,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// Done.
    Written,
    /// The row had changed; nothing was done.
    Conflict,
}

/// A table of the fleet's own in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetTable {
    /// Nodes that are in service.
    Nodes,
    /// Failover leases by service.
    Leases,
    /// Secrets that all nodes share.
    Keys,
}

/// Small rows that outlive every node, with conditional writes.
pub trait MetadataStore: Send + Sync + 'static {
    /// Reads rows of a table.
    fn read_rows(
        &self,
        table: FleetTable,
        range: RowRange<'_>,
    ) -> impl Future<Output = Result<StoredRows, StoreError>> + Send;
    /// Writes a row if it still has `expected` as version (0: not there);
    /// without a condition if `expected` is `None`.
    fn write_row(
        &self,
        table: FleetTable,
        key: &str,
        value: Vec<u8>,
        expected: Option<u64>,
    ) -> impl Future<Output = Result<WriteResult, StoreError>> + Send;
    /// Removes a row.
    fn remove_row(
        &self,
        table: FleetTable,
        key: &str,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// An order to promote an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromoteOrder {
    /// The service.
    pub service: String,
    /// The instance to promote.
    pub successor: InstanceId,
    /// The node that holds the lease.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
}

/// Answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromoteAnswer {
    /// It is done or under way.
    Accepted,
    /// A higher token was seen, or the instance does not run.
    Refused,
    /// Too many orders; nothing was done.
    Throttled,
    /// No answer; it may still be carried out.
    Unknown,
}

/// Who carries out promotions.
pub trait FailoverAuthority: Send + Sync + 'static {
    /// Whether orders with an old token are refused by the authority.
    fn checks_tokens(&self) -> bool;
    /// Orders a promotion.
    fn promote(&self, order: &PromoteOrder) -> impl Future<Output = PromoteAnswer> + Send;
}

/// Opens connections to instances.
pub trait BackendConnector: Send + Sync + 'static {
    /// What it opens.
    type Connection: BackendConnection;
    /// Connects to an instance and makes sure that it is the one meant.
    fn connect(
        &self,
        instance: &Instance,
    ) -> impl Future<Output = Result<Self::Connection, ConnectError>> + Send;
}

/// An instance's answer to a status question, and its log's position.
pub type StatusReply = Option<InstanceStatus>;

/// Reads a status reply; the format is the platform's.
pub trait StatusReader: Send + Sync + 'static {
    /// The status in a reply to [`Command::Status`] or [`Command::StepDown`].
    fn read_status(&self, id: &InstanceId, reply: &BackendReply) -> StatusReply;
}

/// Everything the engine needs.
pub trait Platform:
    ConfigurationSource
    + InstanceDirectory
    + MetadataStore
    + FailoverAuthority
    + BackendConnector
    + StatusReader
{
}

impl<T> Platform for T where
    T: ConfigurationSource
        + InstanceDirectory
        + MetadataStore
        + FailoverAuthority
        + BackendConnector
        + StatusReader
{
}
