//! Units of work as callers send them: one simple query, or extended-protocol
//! messages up to a Sync or Flush.

use std::sync::Arc;

use linkhold_core::classify::{Access, Classified, StatementKind, Unsupported};
use linkhold_wire::frontend::{Bind, DescribeOrClose, Parse, execute_portal, query_text};
use linkhold_wire::{Frame, FrameReader, WireError, kind};
use tokio::io::AsyncRead;

use super::state::{PreparedStatement, SessionState};
use crate::node::StatementCache;

/// Most bytes of one unit held in memory.
const MAX_UNIT_LENGTH: usize = 32 * 1024 * 1024;

/// Most prepared statements of a session.
const MAX_PREPARED: usize = 2_000;

/// A message of the extended protocol.
#[derive(Debug)]
pub enum ExtendedMessage {
    /// Prepares a statement.
    Parse(Arc<PreparedStatement>),
    /// Binds a statement; `None` if the session has not prepared it.
    Bind(Bind, Option<Arc<PreparedStatement>>),
    /// Describes a statement (`None` if the session has not prepared it) or portal.
    Describe(DescribeOrClose, Option<Arc<PreparedStatement>>),
    /// Runs a portal.
    Execute(Frame),
    /// Closes a statement or portal.
    Close(DescribeOrClose),
}

/// How an extended unit ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnitEnd {
    /// With Sync: the implicit transaction ends.
    Sync,
    /// With Flush: more messages of the same batch follow.
    Flush,
}

/// A unit of work, as a caller has sent it.
#[derive(Debug)]
pub enum Unit {
    /// A simple query.
    Simple {
        /// SQL text.
        text: String,
        /// Its classification.
        classified: Arc<Classified>,
        /// The message.
        frame: Frame,
    },
    /// Extended-protocol messages.
    Extended {
        /// The messages, without the end.
        messages: Vec<ExtendedMessage>,
        /// How they end.
        end: UnitEnd,
    },
    /// The caller ends the session.
    Terminate,
    /// A message that the protocol does not allow here.
    Unexpected,
}

impl Unit {
    /// All statements of the unit.
    fn classifications(&self) -> impl Iterator<Item = &Classified> {
        let (simple, messages): (Option<&Classified>, &[ExtendedMessage]) = match self {
            Self::Simple { classified, .. } => (Some(classified), &[]),
            Self::Extended { messages, .. } => (None, messages),
            Self::Terminate | Self::Unexpected => (None, &[]),
        };
        let extended = messages.iter().filter_map(|message| match message {
            ExtendedMessage::Parse(statement)
            | ExtendedMessage::Bind(_, Some(statement))
            | ExtendedMessage::Describe(_, Some(statement)) => Some(statement.classified.as_ref()),
            _ => None,
        });
        simple.into_iter().chain(extended)
    }

    /// Access the unit needs outside a transaction.
    pub fn access(&self) -> Access {
        let any_write = self
            .classifications()
            .any(|classified| classified.access() == Access::Write);
        if any_write {
            Access::Write
        } else {
            Access::Read
        }
    }

    /// First unsupported feature, if any.
    pub fn unsupported(&self) -> Option<Unsupported> {
        self.classifications()
            .find_map(|classified| classified.unsupported())
    }

    /// Whether the unit may commit an explicit transaction.
    pub fn may_commit(&self) -> bool {
        self.classifications()
            .any(|classified| classified.may_commit())
    }

    /// Whether the unit starts an explicit transaction.
    pub fn begins(&self) -> bool {
        self.classifications()
            .flat_map(|classified| &classified.statements)
            .any(|kind| matches!(kind, StatementKind::Begin { .. }))
    }

    /// The only statement of the unit, if it has exactly one.
    pub fn single_statement(&self) -> Option<&StatementKind> {
        let first = self.classifications().next()?.single()?;
        let same = self
            .classifications()
            .all(|classified| classified.single() == Some(first));
        same.then_some(first)
    }

    /// Whether the unit runs anything, as opposed to only preparing it.
    pub fn executes(&self) -> bool {
        match self {
            Self::Simple { .. } => true,
            Self::Extended { messages, .. } => messages
                .iter()
                .any(|message| matches!(message, ExtendedMessage::Execute(_))),
            Self::Terminate | Self::Unexpected => false,
        }
    }
}

/// Reads the next unit; `None` when the caller has closed the connection.
pub async fn read_unit(
    reader: &mut FrameReader,
    stream: &mut (impl AsyncRead + Unpin),
    state: &mut SessionState,
    cache: &StatementCache,
) -> Result<Option<Unit>, WireError> {
    let mut messages = Vec::new();
    let mut length = 0;
    loop {
        let Some(frame) = reader.next(stream).await? else {
            return Ok(None);
        };
        length += frame.bytes().len();
        if length > MAX_UNIT_LENGTH {
            return Err(WireError::Length(length));
        }
        let end = match frame.kind() {
            kind::QUERY => {
                let text = query_text(&frame)?;
                let classified = cache.classify(&text);
                return Ok(Some(Unit::Simple {
                    text,
                    classified,
                    frame,
                }));
            }
            kind::TERMINATE => return Ok(Some(Unit::Terminate)),
            kind::SYNC => UnitEnd::Sync,
            kind::FLUSH => UnitEnd::Flush,
            kind::PARSE | kind::BIND | kind::DESCRIBE | kind::EXECUTE | kind::CLOSE => {
                messages.push(read_message(&frame, state, cache)?);
                continue;
            }
            // Left over from a refused COPY; the protocol requires ignoring them.
            kind::COPY_DATA | kind::COPY_DONE | kind::COPY_FAIL => continue,
            _ => return Ok(Some(Unit::Unexpected)),
        };
        return Ok(Some(Unit::Extended { messages, end }));
    }
}

fn read_message(
    frame: &Frame,
    state: &mut SessionState,
    cache: &StatementCache,
) -> Result<ExtendedMessage, WireError> {
    match frame.kind() {
        kind::PARSE => {
            let parse = Parse::read(frame)?;
            let classified = cache.classify(&parse.query);
            let name = parse.name.clone();
            let statement = Arc::new(PreparedStatement::new(parse, classified));
            state.prepared.insert(name, statement.clone());
            if state.prepared.len() > MAX_PREPARED {
                return Err(WireError::Malformed(
                    "Parse beyond the limit of prepared statements",
                ));
            }
            Ok(ExtendedMessage::Parse(statement))
        }
        kind::BIND => {
            let bind = Bind::read(frame)?;
            let statement = state.prepared.get(&bind.statement).cloned();
            Ok(ExtendedMessage::Bind(bind, statement))
        }
        kind::DESCRIBE => {
            let named = DescribeOrClose::read(frame)?;
            let statement = match named.target {
                linkhold_wire::frontend::Target::Statement => {
                    state.prepared.get(&named.name).cloned()
                }
                linkhold_wire::frontend::Target::Portal => None,
            };
            Ok(ExtendedMessage::Describe(named, statement))
        }
        kind::EXECUTE => {
            execute_portal(frame)?;
            Ok(ExtendedMessage::Execute(frame.clone()))
        }
        _ => {
            let named = DescribeOrClose::read(frame)?;
            if named.target == linkhold_wire::frontend::Target::Statement {
                state.prepared.remove(&named.name);
            }
            Ok(ExtendedMessage::Close(named))
        }
    }
}
