//! Statements that a node answers itself: linkhold's own settings, `DISCARD`,
//! `DEALLOCATE` and empty queries.

use bytes::BytesMut;
use linkhold_core::classify::{Access, StatementKind};
use linkhold_core::position::Position;
use linkhold_core::request_key;
use linkhold_wire::frontend::Target;
use linkhold_wire::reply::{self, ErrorFields, ResultColumn, SessionStatus};

use super::state::{Freshness, SessionState};
use super::unit::{ExtendedMessage, Unit, UnitEnd};
use super::{Session, ends_with_sync};
use crate::node::NodeShared;

const OWN_PREFIX: &str = "linkhold.";
const INVALID_PARAMETER_VALUE: &str = "22023";
const UNDEFINED_OBJECT: &str = "42704";
const FAILED_TRANSACTION: &str = "25P02";

/// A node's own answer to a statement.
#[derive(Default)]
pub(super) struct LocalAnswer {
    /// Name and value of the only row, for `SHOW`.
    row: Option<(String, String)>,
    /// Completion tag; empty for an empty query.
    tag: &'static str,
}

impl LocalAnswer {
    pub(super) fn tagged(tag: &'static str) -> Self {
        Self { row: None, tag }
    }

    fn columns(&self) -> Vec<ResultColumn> {
        self.row
            .iter()
            .map(|(name, _)| ResultColumn::text(name))
            .collect()
    }

    fn put_description(&self, output: &mut BytesMut) {
        match self.row {
            Some(_) => reply::put_row_description(output, &self.columns()),
            None => reply::put_no_data(output),
        }
    }

    fn put_result(&self, output: &mut BytesMut) {
        if let Some((_, value)) = &self.row {
            reply::put_text_row(output, &[value]);
        }
        if self.tag.is_empty() {
            reply::put_empty_query(output);
        } else {
            reply::put_complete(output, self.tag);
        }
    }
}

impl Session {
    /// Answers the unit if a node answers it itself; otherwise returns `false`.
    pub(super) fn answer_locally(&mut self, unit: &Unit) -> bool {
        let in_batch = self.held.as_ref().is_some_and(|held| !held.in_transaction);
        if in_batch {
            return false;
        }
        if is_empty_query(unit) {
            self.put_local_answer(unit, &LocalAnswer::default());
            return true;
        }
        let Some(statement) = unit.single_statement() else {
            return false;
        };
        let statement = statement.clone();
        let answer = match &statement {
            StatementKind::Set { name, value, .. } if name.starts_with(OWN_PREFIX) => self
                .set_own(unit, name, Some(value))
                .map(|()| LocalAnswer::tagged("SET")),
            StatementKind::Reset { name: Some(name) } if name.starts_with(OWN_PREFIX) => self
                .set_own(unit, name, None)
                .map(|()| LocalAnswer::tagged("RESET")),
            StatementKind::Show { name } if name.starts_with(OWN_PREFIX) => self.show_own(name),
            StatementKind::DiscardAll if self.held.is_none() => {
                if unit.executes() {
                    self.state.discard();
                }
                Ok(LocalAnswer::tagged("DISCARD ALL"))
            }
            StatementKind::Deallocate { name } => {
                if unit.executes() {
                    self.deallocate(name.as_deref());
                }
                Ok(LocalAnswer::tagged("DEALLOCATE"))
            }
            _ => return false,
        };
        match answer {
            Ok(answer) => self.put_local_answer(unit, &answer),
            Err(fields) => self.put_failure(unit, &fields),
        }
        true
    }

    fn set_own(&mut self, unit: &Unit, name: &str, value: Option<&str>) -> Result<(), ErrorFields> {
        if !unit.executes() {
            return Ok(());
        }
        let database = self.database.clone();
        apply_linkhold_setting(&self.node, &database, &mut self.state, name, value)
    }

    fn show_own(&self, name: &str) -> Result<LocalAnswer, ErrorFields> {
        let value = match name {
            "linkhold.token" => self.node.token_key.issue(&self.database, self.state.floor),
            "linkhold.node" => self.node.settings.node.clone(),
            "linkhold.repeatable" => on_or_off(self.state.repeatable).to_owned(),
            "linkhold.access" => match self.state.declared_access {
                None => "auto",
                Some(Access::Read) => "read_only",
                Some(Access::Write) => "read_write",
            }
            .to_owned(),
            "linkhold.request_key" => self.state.request_key.clone().unwrap_or_default(),
            "linkhold.table_version" => self.node.table.load().version.to_string(),
            _ => return Err(unknown_setting(name)),
        };
        Ok(LocalAnswer {
            row: Some((name.to_owned(), value)),
            tag: "SHOW",
        })
    }

    fn deallocate(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                self.state.prepared.remove(name);
            }
            None => self.state.prepared.clear(),
        }
    }

    pub(super) fn put_local_answer(&mut self, unit: &Unit, answer: &LocalAnswer) {
        let Unit::Extended { messages, end } = unit else {
            if answer.row.is_some() {
                answer.put_description(&mut self.output);
            }
            answer.put_result(&mut self.output);
            self.put_ready();
            return;
        };
        for message in messages {
            put_extended_reply(&mut self.output, message, answer);
        }
        if *end == UnitEnd::Sync {
            self.put_ready();
        }
    }

    /// Answers a unit after the transaction was lost with its connection. Until the
    /// caller ends the transaction, every statement fails, as in PostgreSQL.
    pub(super) fn answer_in_lost_transaction(&mut self, unit: &Unit) {
        let ends = matches!(
            unit.single_statement(),
            Some(StatementKind::Rollback | StatementKind::Commit)
        );
        if ends && unit.executes() {
            self.lost_transaction = false;
            self.put_local_answer(unit, &LocalAnswer::tagged("ROLLBACK"));
            return;
        }
        if ends {
            self.put_local_answer(unit, &LocalAnswer::tagged("ROLLBACK"));
            return;
        }
        let fields = ErrorFields::error(
            FAILED_TRANSACTION,
            "the transaction was lost with its connection; end it with ROLLBACK",
        )
        .with_detail("outcome=not_run reason=failed_transaction");
        reply::put_error(&mut self.output, &fields);
        if ends_with_sync(unit) {
            reply::put_ready(&mut self.output, SessionStatus::Error);
        } else {
            self.skip_until_sync = true;
        }
    }
}

fn put_extended_reply(output: &mut BytesMut, message: &ExtendedMessage, answer: &LocalAnswer) {
    match message {
        ExtendedMessage::Parse(..) => reply::put_parse_complete(output),
        ExtendedMessage::Bind(..) => reply::put_bind_complete(output),
        ExtendedMessage::Describe(named, _) => {
            if named.target == Target::Statement {
                reply::put_parameter_description(output, Vec::new());
            }
            answer.put_description(output);
        }
        ExtendedMessage::Execute(_) => answer.put_result(output),
        ExtendedMessage::Close(_) => reply::put_close_complete(output),
    }
}

/// Whether the unit has no statement, or only closes statements.
fn is_empty_query(unit: &Unit) -> bool {
    match unit {
        Unit::Simple { classified, .. } => classified.statements.is_empty(),
        Unit::Extended { messages, .. } => messages.iter().all(|message| match message {
            ExtendedMessage::Close(named) => named.target == Target::Statement,
            ExtendedMessage::Parse(statement) | ExtendedMessage::Bind(_, Some(statement)) => {
                statement.classified.statements.is_empty()
            }
            _ => false,
        }),
        Unit::Terminate | Unit::Unexpected => false,
    }
}

/// Applies one of linkhold's own settings; `None` resets it.
pub fn apply_linkhold_setting(
    node: &NodeShared,
    database: &str,
    state: &mut SessionState,
    name: &str,
    value: Option<&str>,
) -> Result<(), ErrorFields> {
    match name {
        "linkhold.token" => match value {
            None => state.freshness = Freshness::Fence,
            Some(token) => {
                let position = verified_position(node, database, token)?;
                state.raise_floor(position);
                state.freshness = Freshness::Token;
            }
        },
        "linkhold.access" => {
            state.declared_access = match value {
                None | Some("auto") => None,
                Some("read_only") => Some(Access::Read),
                Some("read_write") => Some(Access::Write),
                Some(other) => {
                    return Err(invalid_value(name, other, "auto, read_only or read_write"));
                }
            }
        }
        "linkhold.repeatable" => {
            state.repeatable = match value {
                None | Some("off" | "false") => false,
                Some("on" | "true") => true,
                Some(other) => return Err(invalid_value(name, other, "on or off")),
            }
        }
        "linkhold.request_key" => {
            let key = value.filter(|key| !key.is_empty());
            if let Some(key) = key.filter(|key| !request_key::is_valid(key)) {
                return Err(invalid_value(
                    name,
                    key,
                    "1 to 128 printable ASCII characters without quotes or backslashes",
                ));
            }
            state.request_key = key.map(str::to_owned);
        }
        _ => return Err(unknown_setting(name)),
    }
    Ok(())
}

/// Verifies a token and returns its position. The empty token stands for a session
/// that has not written yet. Fails if the token does not verify for this database.
fn verified_position(
    node: &NodeShared,
    database: &str,
    token: &str,
) -> Result<Position, ErrorFields> {
    if token.is_empty() {
        return Ok(Position::default());
    }
    node.token_key.verify(database, token).map_err(|error| {
        ErrorFields::error(INVALID_PARAMETER_VALUE, error.to_string())
            .with_detail("outcome=not_run reason=bad_token")
    })
}

fn invalid_value(name: &str, value: &str, allowed: &str) -> ErrorFields {
    ErrorFields::error(
        INVALID_PARAMETER_VALUE,
        format!("`{value}` is not allowed for {name}; expected {allowed}"),
    )
}

fn unknown_setting(name: &str) -> ErrorFields {
    ErrorFields::error(
        UNDEFINED_OBJECT,
        format!("unrecognized configuration parameter \"{name}\""),
    )
}

fn on_or_off(value: bool) -> &'static str {
    if value { "on" } else { "off" }
}
