//! Decides which replies of a back end are forwarded to the caller.
//!
//! A unit sent to a back end differs from what the caller sent: statements have
//! other names, some are prepared already, others must be prepared first. The
//! plan lists, in order, how to handle the reply to each message.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use linkhold_wire::frontend::{DescribeOrClose, Target, put_flush, put_sync};
use linkhold_wire::{kind, reply};

use super::state::PreparedStatement;
use super::unit::{ExtendedMessage, UnitEnd};
use crate::backend::{BackendConnection, MAX_PREPARED};

/// Name of a statement that no back end has prepared, so that using it fails
/// with the error that the caller expects.
const MISSING_STATEMENT: &str = "lh_missing";

/// How to handle the reply to one message.
#[derive(Debug)]
enum PlannedReply {
    /// Forward the reply to the caller.
    Forward,
    /// Discard the reply: it answers a message of the node's own. `prepares`
    /// names the statement that the message prepares on the connection.
    Discard { prepares: Option<String> },
    /// As `Forward`, for a caller's own Parse of the statement `prepares`.
    ForwardParse { prepares: String },
    /// No message was sent to the back end; send these bytes to the caller.
    Synthesize(Bytes),
}

/// Where a reply goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// To the caller.
    Forward,
    /// Nowhere.
    Discard,
}

/// Bytes to send to a back end, and how to handle the replies.
#[derive(Debug, Default)]
pub struct ReplyPlan {
    /// Messages for the back end.
    pub request: BytesMut,
    replies: VecDeque<PlannedReply>,
    extended: bool,
    ends_with_flush: bool,
    statements_out_of_sync: bool,
}

impl ReplyPlan {
    /// A plan for a simple query: every reply goes to the caller.
    pub fn simple(frame: &[u8]) -> Self {
        Self {
            request: BytesMut::from(frame),
            ..Self::default()
        }
    }

    /// A plan for extended-protocol messages on a given connection.
    pub fn extended(
        messages: &[ExtendedMessage],
        end: UnitEnd,
        connection: &mut BackendConnection,
    ) -> Self {
        let mut builder = PlanBuilder {
            plan: Self {
                extended: true,
                ends_with_flush: end == UnitEnd::Flush,
                ..Self::default()
            },
            connection,
            planned: Vec::new(),
        };
        for message in messages {
            builder.add(message);
        }
        let mut plan = builder.plan;
        match end {
            UnitEnd::Sync => put_sync(&mut plan.request),
            UnitEnd::Flush => put_flush(&mut plan.request),
        }
        plan
    }

    /// Whether the unit ends with Flush, hence without a ReadyForQuery, and every
    /// message has been answered.
    pub fn is_flushed(&self) -> bool {
        self.ends_with_flush && self.replies.is_empty()
    }

    /// Whether the unit ends with Flush.
    pub fn ends_with_flush(&self) -> bool {
        self.ends_with_flush
    }

    /// Whether an error kept the back end from closing a statement that the
    /// connection's record no longer lists. The connection must then be closed.
    pub fn statements_out_of_sync(&self) -> bool {
        self.statements_out_of_sync
    }

    fn has_pending_close(&self) -> bool {
        self.replies
            .iter()
            .any(|reply| matches!(reply, PlannedReply::Discard { prepares: None }))
    }

    /// Appends synthesized replies that are due before the next real one.
    pub fn put_synthesized(&mut self, output: &mut BytesMut) {
        while let Some(PlannedReply::Synthesize(_)) = self.replies.front() {
            if let Some(PlannedReply::Synthesize(bytes)) = self.replies.pop_front() {
                output.extend_from_slice(&bytes);
            }
        }
    }

    /// Returns where a reply goes, and records the statement that it confirms as
    /// prepared.
    pub fn on_reply(&mut self, reply: u8, connection: &mut PreparedNames<'_>) -> Disposition {
        if !self.extended {
            return Disposition::Forward;
        }
        match reply {
            kind::ERROR_RESPONSE => {
                self.statements_out_of_sync |= self.has_pending_close();
                self.replies.clear();
                Disposition::Forward
            }
            reply if completes_reply(reply) => match self.replies.pop_front() {
                Some(PlannedReply::Discard { prepares }) => {
                    if let Some(name) = prepares {
                        connection.add(name);
                    }
                    Disposition::Discard
                }
                Some(PlannedReply::ForwardParse { prepares }) => {
                    connection.add(prepares);
                    Disposition::Forward
                }
                _ => Disposition::Forward,
            },
            _ => Disposition::Forward,
        }
    }
}

/// Names of statements prepared on a connection.
pub struct PreparedNames<'a> {
    /// The names.
    pub names: &'a mut std::collections::HashSet<String>,
    /// The same names, oldest first.
    pub order: &'a mut VecDeque<String>,
}

impl PreparedNames<'_> {
    fn add(&mut self, name: String) {
        if self.names.insert(name.clone()) {
            self.order.push_back(name);
        }
    }
}

/// Whether a backend message is the last reply to a frontend message.
fn completes_reply(reply: u8) -> bool {
    const PORTAL_SUSPENDED: u8 = b's';
    const NO_DATA: u8 = b'n';
    const EMPTY_QUERY: u8 = b'I';
    matches!(
        reply,
        kind::PARSE_COMPLETE
            | kind::BIND_COMPLETE
            | kind::CLOSE_COMPLETE
            | kind::ROW_DESCRIPTION
            | kind::COMMAND_COMPLETE
            | PORTAL_SUSPENDED
            | NO_DATA
            | EMPTY_QUERY
    )
}

struct PlanBuilder<'a> {
    plan: ReplyPlan,
    connection: &'a mut BackendConnection,
    /// Statements that this unit prepares.
    planned: Vec<String>,
}

impl PlanBuilder<'_> {
    fn add(&mut self, message: &ExtendedMessage) {
        match message {
            ExtendedMessage::Parse(statement) => self.add_parse(statement),
            ExtendedMessage::Bind(bind, statement) => {
                let name = self.ensure_prepared(statement.as_deref());
                bind.write(&mut self.plan.request, &name);
                self.push(PlannedReply::Forward);
            }
            ExtendedMessage::Describe(named, statement) => {
                let name = match named.target {
                    Target::Statement => self.ensure_prepared(statement.as_deref()),
                    Target::Portal => named.name.clone(),
                };
                named.write(&mut self.plan.request, kind::DESCRIBE, &name);
                self.push(PlannedReply::Forward);
            }
            ExtendedMessage::Execute(frame) => {
                self.plan.request.extend_from_slice(frame.bytes());
                self.push(PlannedReply::Forward);
            }
            ExtendedMessage::Close(named) => self.add_close(named),
        }
    }

    fn push(&mut self, reply: PlannedReply) {
        self.plan.replies.push_back(reply);
    }

    fn is_prepared(&self, name: &str) -> bool {
        self.connection.prepared.contains(name) || self.planned.iter().any(|known| known == name)
    }

    fn add_parse(&mut self, statement: &PreparedStatement) {
        let name = &statement.backend_name;
        if self.is_prepared(name) {
            let mut reply = BytesMut::new();
            reply::put_parse_complete(&mut reply);
            self.push(PlannedReply::Synthesize(reply.freeze()));
            return;
        }
        self.evict_if_full();
        statement.parse.write(&mut self.plan.request, name);
        self.planned.push(name.clone());
        self.push(PlannedReply::ForwardParse {
            prepares: name.clone(),
        });
    }

    /// Adds a Parse unless the statement is prepared already; returns its name on
    /// the back end.
    fn ensure_prepared(&mut self, statement: Option<&PreparedStatement>) -> String {
        let Some(statement) = statement else {
            return MISSING_STATEMENT.to_owned();
        };
        let name = &statement.backend_name;
        if !self.is_prepared(name) {
            self.evict_if_full();
            statement.parse.write(&mut self.plan.request, name);
            self.planned.push(name.clone());
            self.push(PlannedReply::Discard {
                prepares: Some(name.clone()),
            });
        }
        name.clone()
    }

    /// Closes the oldest statement if the connection holds [`MAX_PREPARED`].
    fn evict_if_full(&mut self) {
        if self.connection.prepared.len() < MAX_PREPARED {
            return;
        }
        let Some(oldest) = self.connection.prepared_order.pop_front() else {
            return;
        };
        self.connection.prepared.remove(&oldest);
        let named = DescribeOrClose {
            target: Target::Statement,
            name: oldest,
        };
        named.write(&mut self.plan.request, kind::CLOSE, &named.name);
        self.push(PlannedReply::Discard { prepares: None });
    }

    fn add_close(&mut self, named: &DescribeOrClose) {
        match named.target {
            // Statements stay prepared on the back end for other sessions.
            Target::Statement => {
                let mut reply = BytesMut::new();
                reply::put_close_complete(&mut reply);
                self.push(PlannedReply::Synthesize(reply.freeze()));
            }
            Target::Portal => {
                named.write(&mut self.plan.request, kind::CLOSE, &named.name);
                self.push(PlannedReply::Forward);
            }
        }
    }
}
