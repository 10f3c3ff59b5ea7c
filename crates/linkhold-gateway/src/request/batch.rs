//! The commands that run one statement of a session on a connection.
//!
//! # Invariant
//!
//! A statement is sent only after everything it depends on was acknowledged:
//! the session's values, prepared statements and the start of its transaction.
//! If they were sent together, the statement would still run when one of them was
//! refused: outside its transaction or with another session's values.

use bytes::Bytes;
use linkhold_core::position::Position;
use linkhold_core::service::session::{Access, Prepared, SessionValues};

use crate::pool::PooledConnection;
use crate::ports::Command;

/// Maximum number of prepared statements on a connection; a connection with more is
/// closed when it is given back.
const MAX_PREPARED: usize = 200;

/// A caller's statement that an instance must run.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// A statement as text.
    Text {
        id: Bytes,
        text: Bytes,
        access: Access,
    },
    /// An execution of a prepared statement of the session.
    Prepared {
        id: Bytes,
        prepared: Prepared,
        arguments: Bytes,
    },
    /// The commit of a transaction.
    Commit { id: Bytes, text: Bytes },
}

impl Work {
    /// Whether the statement may change data.
    pub fn access(&self) -> Access {
        match self {
            Self::Text { access, .. } => *access,
            Self::Prepared { prepared, .. } => prepared.access,
            Self::Commit { .. } => Access::Read,
        }
    }

    /// Whether a successful answer may acknowledge a change of data.
    pub fn may_commit(&self) -> bool {
        matches!(self, Self::Commit { .. }) || self.access() == Access::Write
    }

    /// The caller's identifier of the request.
    pub fn id(&self) -> &Bytes {
        match self {
            Self::Text { id, .. } | Self::Prepared { id, .. } | Self::Commit { id, .. } => id,
        }
    }
}

/// The transaction that surrounds a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransactionFrame {
    /// The transaction that is open on the connection.
    InTransaction,
    /// None: the statement is a transaction of its own.
    Autocommit {
        /// Position that the instance's log must have reached.
        fence: Option<Position>,
    },
    /// A transaction that starts with the statement.
    Begin {
        /// Whether a replica may run the transaction.
        read_only: bool,
        /// Position that the instance's log must have reached.
        fence: Option<Position>,
    },
    /// A read-write transaction that is rolled back after the statement. It proves
    /// that the instance was primary while the statement ran. Begin, statement and
    /// rollback are sent in one write, since the answer is dropped if the proof fails.
    ProvingPrimary,
}

/// The commands of one statement.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Commands that must be acknowledged before the rest is sent.
    pub setup: Vec<Command>,
    /// Whether the last command of the setup starts the statement's transaction.
    pub begins_transaction: bool,
    /// The statement and the commands that are sent with it in one write.
    pub commands: Vec<Command>,
    /// Index of the statement's reply among the replies to `commands`.
    pub statement_index: usize,
}

/// Builds the batch. Records the state that the connection will have after it.
pub(crate) fn build<C>(
    pooled: &mut PooledConnection<C>,
    values: &SessionValues,
    work: &Work,
    frame: TransactionFrame,
) -> Batch {
    let mut setup = Vec::new();
    if std::mem::take(&mut pooled.needs_rollback) {
        setup.push(Command::Rollback);
    }
    add_value_changes(pooled, values, &mut setup);
    let number = add_prepare(pooled, work, &mut setup);
    let mut batch = Batch {
        setup,
        begins_transaction: false,
        commands: Vec::with_capacity(1),
        statement_index: 0,
    };
    match frame {
        TransactionFrame::InTransaction => {
            batch.commands.push(statement_command(work, number, None))
        }
        TransactionFrame::Autocommit { fence } => {
            batch.commands.push(statement_command(work, number, fence))
        }
        TransactionFrame::Begin { read_only, fence } => {
            batch.setup.push(Command::Begin { read_only, fence });
            batch.begins_transaction = true;
            batch.commands.push(statement_command(work, number, None));
        }
        TransactionFrame::ProvingPrimary => {
            batch.commands.push(Command::Begin {
                read_only: false,
                fence: None,
            });
            batch.commands.push(statement_command(work, number, None));
            batch.commands.push(Command::Rollback);
            batch.statement_index = 1;
        }
    }
    batch
}

fn add_value_changes<C>(
    pooled: &mut PooledConnection<C>,
    values: &SessionValues,
    commands: &mut Vec<Command>,
) {
    let changes = pooled.state.adopt_values(values);
    if changes.discard {
        commands.push(Command::Discard);
    }
    for (name, value) in changes.set {
        commands.push(Command::Set { name, value });
    }
}

fn add_prepare<C>(
    pooled: &mut PooledConnection<C>,
    work: &Work,
    commands: &mut Vec<Command>,
) -> Option<usize> {
    let Work::Prepared { prepared, .. } = work else {
        return None;
    };
    let (number, is_new) = pooled.state.adopt_prepared(prepared);
    if is_new {
        commands.push(Command::Prepare {
            number,
            prepared: prepared.clone(),
        });
    }
    Some(number)
}

fn statement_command(work: &Work, number: Option<usize>, fence: Option<Position>) -> Command {
    match work {
        Work::Text { id, text, .. } | Work::Commit { id, text } => Command::Run {
            id: id.clone(),
            text: text.clone(),
            fence,
        },
        Work::Prepared { id, arguments, .. } => Command::Execute {
            id: id.clone(),
            number: number.unwrap_or_default(),
            arguments: arguments.clone(),
            fence,
        },
    }
}

/// Whether a connection has so many prepared statements that it is to be closed.
pub(crate) fn has_too_many_prepared<C>(pooled: &PooledConnection<C>) -> bool {
    pooled.state.prepared.len() > MAX_PREPARED
}
