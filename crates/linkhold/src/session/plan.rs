//! Which replies of a back end belong to the caller.
//!
//! A unit sent to a back end is not what the caller sent: statements carry
//! other names, some are prepared already, others must be prepared first. The
//! plan lists, in order, what becomes of the reply to each message.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use linkhold_wire::frontend::{DescribeOrClose, Target, put_flush, put_sync};
use linkhold_wire::{kind, reply};

use super::state::PreparedStatement;
use super::unit::{ExtendedMessage, UnitEnd};
use crate::backend::{BackendConnection, MAX_PREPARED};

/// Name of a statement no back end has, so that using it fails there as the
/// caller expects.
const MISSING_STATEMENT: &str = "lh_missing";

/// What becomes of the reply to one message.
#[derive(Debug)]
enum PlannedReply {
    /// It goes to the caller.
    Forward,
    /// It answers a message of the node's own. A statement prepared by it is
    /// then known on the connection.
    Swallow { prepares: Option<String> },
    /// As `Forward`, for a caller's own Parse.
    ForwardParse { prepares: String },
    /// No message was sent; the caller gets these bytes.
    Synthesize(Bytes),
}

/// Where a reply goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// To the caller.
    Forward,
    /// Nowhere.
    Swallow,
}

/// Bytes to send and what becomes of the replies.
#[derive(Debug, Default)]
pub struct ReplyPlan {
    /// Messages for the back end.
    pub request: BytesMut,
    replies: VecDeque<PlannedReply>,
    extended: bool,
    ends_with_flush: bool,
    lost_track: bool,
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
        let mut builder = Builder {
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

    /// Whether the unit ends without a ReadyForQuery and all is answered.
    pub fn is_flushed(&self) -> bool {
        self.ends_with_flush && self.replies.is_empty()
    }

    /// Whether the unit ends with Flush.
    pub fn ends_with_flush(&self) -> bool {
        self.ends_with_flush
    }

    /// Whether an error kept the back end from closing a statement that the
    /// connection's record no longer holds; the connection must be closed.
    pub fn lost_track(&self) -> bool {
        self.lost_track
    }

    fn has_pending_close(&self) -> bool {
        self.replies
            .iter()
            .any(|reply| matches!(reply, PlannedReply::Swallow { prepares: None }))
    }

    /// Appends synthesized replies that are due before the next real one.
    pub fn put_due(&mut self, output: &mut BytesMut) {
        while let Some(PlannedReply::Synthesize(_)) = self.replies.front() {
            if let Some(PlannedReply::Synthesize(bytes)) = self.replies.pop_front() {
                output.extend_from_slice(&bytes);
            }
        }
    }

    /// Decides about a reply, and notes statements that it shows prepared.
    pub fn on_reply(&mut self, reply: u8, connection: &mut PreparedNames<'_>) -> Disposition {
        if !self.extended {
            return Disposition::Forward;
        }
        match reply {
            kind::ERROR_RESPONSE => {
                self.lost_track |= self.has_pending_close();
                self.replies.clear();
                Disposition::Forward
            }
            reply if ends_a_reply(reply) => match self.replies.pop_front() {
                Some(PlannedReply::Swallow { prepares }) => {
                    if let Some(name) = prepares {
                        connection.add(name);
                    }
                    Disposition::Swallow
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
    /// The same, oldest first.
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
fn ends_a_reply(reply: u8) -> bool {
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

struct Builder<'a> {
    plan: ReplyPlan,
    connection: &'a mut BackendConnection,
    /// Statements this unit prepares before they are needed.
    planned: Vec<String>,
}

impl Builder<'_> {
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

    fn is_known(&self, name: &str) -> bool {
        self.connection.prepared.contains(name) || self.planned.iter().any(|known| known == name)
    }

    fn add_parse(&mut self, statement: &PreparedStatement) {
        let name = &statement.backend_name;
        if self.is_known(name) {
            let mut reply = BytesMut::new();
            reply::put_parse_complete(&mut reply);
            self.push(PlannedReply::Synthesize(reply.freeze()));
            return;
        }
        self.make_room();
        statement.parse.write(&mut self.plan.request, name);
        self.planned.push(name.clone());
        self.push(PlannedReply::ForwardParse {
            prepares: name.clone(),
        });
    }

    /// Prepares a statement unless it is; returns its name on the back end.
    fn ensure_prepared(&mut self, statement: Option<&PreparedStatement>) -> String {
        let Some(statement) = statement else {
            return MISSING_STATEMENT.to_owned();
        };
        let name = &statement.backend_name;
        if !self.is_known(name) {
            self.make_room();
            statement.parse.write(&mut self.plan.request, name);
            self.planned.push(name.clone());
            self.push(PlannedReply::Swallow {
                prepares: Some(name.clone()),
            });
        }
        name.clone()
    }

    /// Closes the oldest statement once the connection holds its most.
    fn make_room(&mut self) {
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
        self.push(PlannedReply::Swallow { prepares: None });
    }

    fn add_close(&mut self, named: &DescribeOrClose) {
        match named.target {
            // Statements stay prepared on the back end, for other sessions.
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
