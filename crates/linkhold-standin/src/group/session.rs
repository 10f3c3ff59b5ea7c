//! One connection to an instance: simple and extended queries, transactions
//! and settings.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use linkhold_wire::frontend::{Named, Target, query_text};
use linkhold_wire::reply::{self, ErrorFields, ResultColumn, SessionStatus, TEXT_OID};
use linkhold_wire::{Frame, FrameReader, WireError, kind};
use pgwire::messages::extendedquery::{Bind, Execute, Parse, PortalSuspended};
use rusqlite::types::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedMutexGuard, OwnedSemaphorePermit};

use super::engine::{Column, Description, Engine, LoggedStatement, Outcome, SqlError};
use super::state::GroupShared;
use super::values::{decode, encode};

const FLUSH_THRESHOLD: usize = 64 * 1024;
const READ_ONLY_TRANSACTION: &str = "25006";
const FAILED_TRANSACTION: &str = "25P02";
const QUERY_CANCELED: &str = "57014";
const UNDEFINED_STATEMENT: &str = "26000";
const UNDEFINED_CURSOR: &str = "34000";
const INVALID_PARAMETER: &str = "22P02";
const CANNOT_CONNECT: &str = "57P01";
/// Text of the status query this stand-in answers.
const STATUS_QUERY: &str = "SHOW linkhold.status";

#[derive(Clone)]
struct Prepared {
    text: Arc<str>,
    types: Vec<u32>,
    description: Description,
}

struct Portal {
    statement: Prepared,
    parameters: Vec<Value>,
    result_formats: Vec<i16>,
    started: Option<(VecDeque<Vec<Value>>, String)>,
}

/// An explicit transaction: the engine is held until it ends.
struct OpenTransaction {
    engine: OwnedMutexGuard<Engine>,
    number: u64,
    statements: Vec<LoggedStatement>,
    failed: bool,
    _slot: OwnedSemaphorePermit,
}

impl Drop for OpenTransaction {
    fn drop(&mut self) {
        self.engine.rollback();
    }
}

pub struct Session {
    shared: Arc<GroupShared>,
    instance: usize,
    connection: u64,
    cancelled: Arc<Notify>,
    settings: HashMap<String, String>,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    transaction: Option<OpenTransaction>,
    skip_until_sync: bool,
    output: BytesMut,
}

impl Session {
    pub fn new(
        shared: Arc<GroupShared>,
        instance: usize,
        connection: u64,
        cancelled: Arc<Notify>,
    ) -> Self {
        Self {
            shared,
            instance,
            connection,
            cancelled,
            settings: HashMap::new(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            transaction: None,
            skip_until_sync: false,
            output: BytesMut::new(),
        }
    }

    pub async fn run(
        &mut self,
        stream: &mut TcpStream,
        reader: &mut FrameReader,
    ) -> Result<(), WireError> {
        while let Some(frame) = reader.next(stream).await? {
            if frame.kind() == kind::TERMINATE {
                return Ok(());
            }
            self.handle(&frame, stream).await?;
            if reader.is_empty() {
                self.flush(stream).await?;
            }
        }
        Ok(())
    }

    async fn flush(&mut self, stream: &mut TcpStream) -> Result<(), WireError> {
        let delay = self.shared.instances()[self.instance].answer_delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let output = self.output.split();
        stream.write_all(&output).await?;
        Ok(())
    }

    async fn handle(&mut self, frame: &Frame, stream: &mut TcpStream) -> Result<(), WireError> {
        if self.skip_until_sync && frame.kind() != kind::SYNC {
            return Ok(());
        }
        let result = match frame.kind() {
            kind::QUERY => {
                let text = query_text(frame)?;
                self.simple_query(&text, stream).await?;
                return Ok(());
            }
            kind::PARSE => self.parse(frame.decode("Parse")?).await,
            kind::BIND => self.bind(frame.decode("Bind")?),
            kind::DESCRIBE => self.describe(&Named::read(frame)?),
            kind::EXECUTE => self.execute(frame.decode("Execute")?, stream).await?,
            kind::CLOSE => {
                self.close(&Named::read(frame)?);
                Ok(())
            }
            kind::FLUSH => return self.flush(stream).await,
            kind::SYNC => {
                self.skip_until_sync = false;
                self.put_ready();
                Ok(())
            }
            _ => return Err(WireError::Malformed("frontend")),
        };
        if let Err(error) = result {
            self.put_error(&error);
            self.skip_until_sync = true;
        }
        Ok(())
    }

    fn put_error(&mut self, error: &SqlError) {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
        let fields = ErrorFields::error(error.code, error.message.clone());
        reply::put_error(&mut self.output, &fields);
    }

    fn put_ready(&mut self) {
        let status = match &self.transaction {
            None => SessionStatus::Idle,
            Some(transaction) if transaction.failed => SessionStatus::Error,
            Some(_) => SessionStatus::Transaction,
        };
        reply::put_ready(&mut self.output, status);
    }

    /// Runs the statements of a simple query. Outside an explicit transaction
    /// they share one implicit transaction, as the protocol requires.
    async fn simple_query(&mut self, text: &str, stream: &mut TcpStream) -> Result<(), WireError> {
        let statements = split_statements(text);
        if statements.is_empty() {
            reply::put_empty_query(&mut self.output);
        }
        let implicit = statements.len() > 1
            && self.transaction.is_none()
            && !statements.iter().any(|text| is_control(text));
        if implicit {
            self.begin().await;
        }
        let mut failure = None;
        for statement in &statements {
            if let Err(error) = self.run_simple(statement, stream).await? {
                failure = Some(error);
                break;
            }
        }
        if implicit && failure.is_none() {
            failure = self.commit().err();
        } else if implicit {
            self.transaction = None;
        }
        if let Some(error) = failure {
            self.put_error(&error);
        }
        self.put_ready();
        Ok(())
    }

    async fn run_simple(
        &mut self,
        text: &str,
        stream: &mut TcpStream,
    ) -> Result<Result<(), SqlError>, WireError> {
        if let Some(result) = self.run_special(text, true).await {
            return Ok(result.map(|tag| reply::put_complete(&mut self.output, &tag)));
        }
        let description = match self.describe_text(text).await {
            Ok(description) => description,
            Err(error) => return Ok(Err(error)),
        };
        let outcome = match self.run_statement(text, &[], &description).await {
            Ok(outcome) => outcome,
            Err(error) => return Ok(Err(error)),
        };
        let tag = tag_of(text, &outcome);
        if !description.columns.is_empty() {
            let columns = result_columns(&description.columns, &[]);
            reply::put_row_description(&mut self.output, &columns);
            for row in &outcome.rows {
                self.put_row(row, &columns, stream).await?;
            }
        }
        reply::put_complete(&mut self.output, &tag);
        Ok(Ok(()))
    }

    async fn put_row(
        &mut self,
        row: &[Value],
        columns: &[ResultColumn],
        stream: &mut TcpStream,
    ) -> Result<(), WireError> {
        let values: Vec<Option<Vec<u8>>> = row
            .iter()
            .zip(columns)
            .map(|(value, column)| encode(value, column.type_oid, column.format))
            .collect();
        reply::put_data_row(&mut self.output, &values);
        if self.output.len() > FLUSH_THRESHOLD {
            let output = self.output.split();
            stream.write_all(&output).await?;
        }
        Ok(())
    }

    /// Statements the engine does not know. `None` if `text` is not one.
    async fn run_special(&mut self, text: &str, simple: bool) -> Option<Result<String, SqlError>> {
        let upper = text.to_ascii_uppercase();
        let first = upper.split_whitespace().next().unwrap_or_default();
        match first {
            "BEGIN" | "START" => {
                if self.transaction.is_none() {
                    self.begin().await;
                }
                Some(Ok("BEGIN".to_owned()))
            }
            "COMMIT" | "END" => Some(self.commit().map(str::to_owned)),
            "ROLLBACK" | "ABORT" if !upper.contains(" TO ") => {
                self.transaction = None;
                Some(Ok("ROLLBACK".to_owned()))
            }
            _ if self.has_failed() => Some(Err(SqlError {
                code: FAILED_TRANSACTION,
                message: "current transaction is aborted".to_owned(),
            })),
            "SET" => Some(self.set(text)),
            "RESET" | "DISCARD" => {
                self.settings.clear();
                Some(Ok(first.to_owned()))
            }
            "SHOW" => {
                let value = if text.eq_ignore_ascii_case(STATUS_QUERY) {
                    self.status()
                } else {
                    self.show(text)
                };
                if simple {
                    let columns = [ResultColumn::text("setting")];
                    reply::put_row_description(&mut self.output, &columns);
                }
                reply::put_text_row(&mut self.output, &[&value]);
                Some(Ok("SHOW".to_owned()))
            }
            "SELECT" if upper.starts_with("SELECT PG_SLEEP(") => {
                Some(self.sleep(&upper, simple).await)
            }
            _ => None,
        }
    }

    fn has_failed(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed)
    }

    /// Term, position and role as `current_term log_term log_index role`.
    fn status(&self) -> String {
        let report = self.shared.reports()[self.instance];
        let role = if report.is_primary {
            "primary"
        } else {
            "replica"
        };
        format!(
            "{} {} {} {role}",
            report.current_term, report.log_term, report.log_index
        )
    }

    fn set(&mut self, text: &str) -> Result<String, SqlError> {
        let assignment = text[3..].trim();
        let separator = assignment
            .find('=')
            .or_else(|| assignment.to_ascii_uppercase().find(" TO "));
        let Some(separator) = separator else {
            return Err(SqlError {
                code: "42601",
                message: "SET needs a value".to_owned(),
            });
        };
        let name = assignment[..separator].trim().to_ascii_lowercase();
        let value = assignment[separator..]
            .trim_start_matches('=')
            .trim_start_matches(" TO ")
            .trim_start_matches(" to ");
        let value = value.trim().trim_matches('\'').to_owned();
        self.settings.insert(name, value);
        Ok("SET".to_owned())
    }

    fn show(&self, text: &str) -> String {
        let name = text[4..].trim().to_ascii_lowercase();
        self.settings.get(&name).cloned().unwrap_or_default()
    }

    async fn sleep(&mut self, upper: &str, simple: bool) -> Result<String, SqlError> {
        let seconds: f64 = upper
            .trim_start_matches("SELECT PG_SLEEP(")
            .trim_end_matches([')', ';', ' '])
            .parse()
            .unwrap_or(0.0);
        let cancelled = self.cancelled.clone();
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(seconds)) => {}
            () = cancelled.notified() => {
                return Err(SqlError {
                    code: QUERY_CANCELED,
                    message: "canceling statement due to user request".to_owned(),
                });
            }
        }
        if simple {
            reply::put_row_description(&mut self.output, &[ResultColumn::text("pg_sleep")]);
        }
        reply::put_text_row(&mut self.output, &[""]);
        Ok("SELECT 1".to_owned())
    }

    /// Takes the slot before the engine, so that whoever holds the engine
    /// never waits for a slot.
    async fn begin(&mut self) {
        let slot = take_slot(&self.shared.clone(), self.instance).await;
        let engine = self.shared.engine(self.instance).lock_owned().await;
        engine.begin().expect("no transaction is open");
        self.transaction = Some(OpenTransaction {
            engine,
            number: self.shared.new_transaction(),
            statements: Vec::new(),
            failed: false,
            _slot: slot,
        });
    }

    fn commit(&mut self) -> Result<&'static str, SqlError> {
        let Some(mut transaction) = self.transaction.take() else {
            return Ok("COMMIT");
        };
        if transaction.failed {
            return Ok("ROLLBACK");
        }
        let statements = std::mem::take(&mut transaction.statements);
        if !statements.is_empty() && !self.shared.append(self.instance, statements) {
            return Err(SqlError {
                code: CANNOT_CONNECT,
                message: "this instance is no longer primary".to_owned(),
            });
        }
        transaction.engine.commit()?;
        Ok("COMMIT")
    }

    async fn describe_text(&mut self, text: &str) -> Result<Description, SqlError> {
        if let Some(transaction) = &self.transaction {
            return transaction.engine.describe(text);
        }
        let engine = self.shared.engine(self.instance);
        let engine = engine.lock().await;
        engine.describe(text)
    }

    async fn run_statement(
        &mut self,
        text: &str,
        parameters: &[Value],
        description: &Description,
    ) -> Result<Outcome, SqlError> {
        if !description.read_only && !self.shared.accepts_writes(self.instance) {
            return Err(SqlError {
                code: READ_ONLY_TRANSACTION,
                message: "cannot execute a write on a replica".to_owned(),
            });
        }
        let shared = self.shared.clone();
        // A transaction holds its slot since it began.
        let _slot = match self.transaction {
            Some(_) => None,
            None => Some(take_slot(&shared, self.instance).await),
        };
        if !shared.options.service_time.is_zero() {
            tokio::time::sleep(shared.options.service_time).await;
        }
        let logged = || LoggedStatement {
            text: text.into(),
            parameters: parameters.to_vec(),
        };
        if let Some(transaction) = &mut self.transaction {
            shared.record(self.instance, self.connection, transaction.number, text);
            let outcome = transaction.engine.run(text, parameters)?;
            if !description.read_only {
                transaction.statements.push(logged());
            }
            return Ok(outcome);
        }
        let number = shared.new_transaction();
        shared.record(self.instance, self.connection, number, text);
        let engine = shared.engine(self.instance);
        let engine = engine.lock().await;
        if description.read_only {
            return engine.run(text, parameters);
        }
        engine.begin()?;
        let result = engine.run(text, parameters);
        if result.is_err() || !shared.append(self.instance, vec![logged()]) {
            engine.rollback();
            result?;
            return Err(SqlError {
                code: READ_ONLY_TRANSACTION,
                message: "this instance is no longer primary".to_owned(),
            });
        }
        engine.commit()?;
        result
    }

    async fn parse(&mut self, parse: Parse) -> Result<(), SqlError> {
        let description = if is_special(&parse.query) {
            Description {
                columns: special_columns(&parse.query),
                parameters: 0,
                read_only: true,
            }
        } else {
            self.describe_text(&parse.query).await?
        };
        let mut types = parse.type_oids;
        types.resize(description.parameters, 0);
        for type_oid in types.iter_mut().filter(|oid| **oid == 0) {
            *type_oid = TEXT_OID;
        }
        let statement = Prepared {
            text: parse.query.into(),
            types,
            description,
        };
        self.statements
            .insert(parse.name.unwrap_or_default(), statement);
        reply::put_parse_complete(&mut self.output);
        Ok(())
    }

    fn bind(&mut self, bind: Bind) -> Result<(), SqlError> {
        let name = bind.statement_name.clone().unwrap_or_default();
        let statement = self.statement(&name)?;
        let format_of = |index: usize| match bind.parameter_format_codes.as_slice() {
            [] => 0,
            [all] => *all,
            each => each.get(index).copied().unwrap_or(0),
        };
        let parameters: Option<Vec<Value>> = bind
            .parameters
            .iter()
            .enumerate()
            .map(|(index, bytes)| {
                let type_oid = statement.types.get(index).copied().unwrap_or(TEXT_OID);
                decode(bytes.as_deref(), type_oid, format_of(index))
            })
            .collect();
        let Some(parameters) = parameters else {
            return Err(SqlError {
                code: INVALID_PARAMETER,
                message: "a parameter does not fit its type".to_owned(),
            });
        };
        let portal = Portal {
            statement,
            parameters,
            result_formats: bind.result_column_format_codes,
            started: None,
        };
        self.portals
            .insert(bind.portal_name.unwrap_or_default(), portal);
        reply::put_bind_complete(&mut self.output);
        Ok(())
    }

    fn statement(&self, name: &str) -> Result<Prepared, SqlError> {
        self.statements.get(name).cloned().ok_or_else(|| SqlError {
            code: UNDEFINED_STATEMENT,
            message: format!("prepared statement \"{name}\" does not exist"),
        })
    }

    fn portal(&mut self, name: &str) -> Result<&mut Portal, SqlError> {
        self.portals.get_mut(name).ok_or_else(|| SqlError {
            code: UNDEFINED_CURSOR,
            message: format!("portal \"{name}\" does not exist"),
        })
    }

    fn describe(&mut self, named: &Named) -> Result<(), SqlError> {
        let (columns, formats) = match named.target {
            Target::Statement => {
                let statement = self.statement(&named.name)?;
                reply::put_parameter_description(&mut self.output, statement.types);
                (statement.description.columns, Vec::new())
            }
            Target::Portal => {
                let portal = self.portal(&named.name)?;
                let columns = portal.statement.description.columns.clone();
                (columns, portal.result_formats.clone())
            }
        };
        if columns.is_empty() {
            reply::put_no_data(&mut self.output);
        } else {
            let columns = result_columns(&columns, &formats);
            reply::put_row_description(&mut self.output, &columns);
        }
        Ok(())
    }

    async fn execute(
        &mut self,
        execute: Execute,
        stream: &mut TcpStream,
    ) -> Result<Result<(), SqlError>, WireError> {
        let name = execute.name.unwrap_or_default();
        let portal = match self.portals.remove(&name) {
            Some(portal) => portal,
            None => {
                return Ok(Err(SqlError {
                    code: UNDEFINED_CURSOR,
                    message: format!("portal \"{name}\" does not exist"),
                }));
            }
        };
        let text = portal.statement.text.clone();
        if let Some(result) = self.run_special(&text, false).await {
            self.portals.insert(name, portal);
            return Ok(result.map(|tag| reply::put_complete(&mut self.output, &tag)));
        }
        match self.start_portal(portal).await {
            Ok(portal) => {
                let portal = self.send_rows(portal, execute.max_rows, stream).await?;
                self.portals.insert(name, portal);
                Ok(Ok(()))
            }
            Err(error) => Ok(Err(error)),
        }
    }

    async fn start_portal(&mut self, mut portal: Portal) -> Result<Portal, SqlError> {
        if portal.started.is_none() {
            let statement = &portal.statement;
            let outcome = self
                .run_statement(&statement.text, &portal.parameters, &statement.description)
                .await?;
            let tag = tag_of(&statement.text, &outcome);
            portal.started = Some((outcome.rows.into(), tag));
        }
        Ok(portal)
    }

    async fn send_rows(
        &mut self,
        mut portal: Portal,
        max_rows: i32,
        stream: &mut TcpStream,
    ) -> Result<Portal, WireError> {
        let columns = result_columns(
            &portal.statement.description.columns,
            &portal.result_formats,
        );
        let (rows, tag) = portal.started.as_mut().expect("the portal was started");
        let limit = usize::try_from(max_rows).ok().filter(|limit| *limit > 0);
        let count = limit.map_or(rows.len(), |limit| limit.min(rows.len()));
        for row in rows.drain(..count).collect::<Vec<_>>() {
            self.put_row(&row, &columns, stream).await?;
        }
        if rows.is_empty() {
            reply::put_complete(&mut self.output, tag);
        } else {
            let suspended = Frame::encode(&PortalSuspended::new());
            self.output.extend_from_slice(suspended.bytes());
        }
        Ok(portal)
    }

    fn close(&mut self, named: &Named) {
        match named.target {
            Target::Statement => {
                self.statements.remove(&named.name);
            }
            Target::Portal => {
                self.portals.remove(&named.name);
            }
        }
        reply::put_close_complete(&mut self.output);
    }
}

async fn take_slot(shared: &GroupShared, instance: usize) -> OwnedSemaphorePermit {
    let slots = shared.limits[instance].slots.clone();
    slots
        .acquire_owned()
        .await
        .expect("the semaphore is never closed")
}

fn result_columns(columns: &[Column], formats: &[i16]) -> Vec<ResultColumn> {
    columns
        .iter()
        .enumerate()
        .map(|(index, column)| ResultColumn {
            name: column.name.clone(),
            type_oid: column.type_oid,
            format: match formats {
                [] => 0,
                [all] => *all,
                each => each.get(index).copied().unwrap_or(0),
            },
        })
        .collect()
}

fn tag_of(text: &str, outcome: &Outcome) -> String {
    let verb = text
        .split_whitespace()
        .next()
        .unwrap_or_default()
        .to_ascii_uppercase();
    match verb.as_str() {
        "INSERT" => format!("INSERT 0 {}", outcome.changes),
        "UPDATE" | "DELETE" => format!("{verb} {}", outcome.changes),
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", outcome.rows.len()),
        _ => verb,
    }
}

fn is_control(text: &str) -> bool {
    let first = text
        .split_whitespace()
        .next()
        .unwrap_or_default()
        .to_ascii_uppercase();
    matches!(
        first.as_str(),
        "BEGIN" | "START" | "COMMIT" | "END" | "ROLLBACK" | "ABORT"
    )
}

fn is_special(text: &str) -> bool {
    let upper = text.to_ascii_uppercase();
    let first = upper.split_whitespace().next().unwrap_or_default();
    is_control(text)
        || matches!(first, "SET" | "RESET" | "DISCARD" | "SHOW")
        || upper.starts_with("SELECT PG_SLEEP(")
}

fn special_columns(text: &str) -> Vec<Column> {
    let upper = text.to_ascii_uppercase();
    let name = if upper.starts_with("SHOW") {
        "setting"
    } else if upper.starts_with("SELECT PG_SLEEP(") {
        "pg_sleep"
    } else {
        return Vec::new();
    };
    vec![Column {
        name: name.to_owned(),
        type_oid: TEXT_OID,
    }]
}

/// Splits at semicolons outside string literals.
fn split_statements(text: &str) -> Vec<String> {
    let mut statements = Vec::new();
    let mut current = String::new();
    let mut in_string = false;
    for character in text.chars() {
        match character {
            '\'' => in_string = !in_string,
            ';' if !in_string => {
                statements.push(std::mem::take(&mut current));
                continue;
            }
            _ => {}
        }
        current.push(character);
    }
    statements.push(current);
    statements
        .into_iter()
        .map(|statement| statement.trim().to_owned())
        .filter(|statement| !statement.is_empty())
        .collect()
}
