//! Session of a connection to an instance: simple and extended queries,
//! transactions and settings.

mod extended;
mod special;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bytes::BytesMut;
use linkhold_wire::frontend::{DescribeOrClose, query_text};
use linkhold_wire::reply::{self, ErrorFields, ResultColumn, SessionStatus};
use linkhold_wire::{Frame, FrameReader, WireError, kind};
use rusqlite::types::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedMutexGuard, OwnedSemaphorePermit};

use crate::group::engine::{Column, Description, Engine, LoggedStatement, Outcome, SqlError};
use crate::group::state::GroupShared;
use crate::group::values::encode;

const FLUSH_THRESHOLD: usize = 64 * 1024;
const READ_ONLY_TRANSACTION: &str = "25006";
const FAILED_TRANSACTION: &str = "25P02";
const QUERY_CANCELED: &str = "57014";
const UNDEFINED_STATEMENT: &str = "26000";
const UNDEFINED_CURSOR: &str = "34000";
const INVALID_PARAMETER: &str = "22P02";
const ADMIN_SHUTDOWN: &str = "57P01";
/// Text of the status query that this stand-in answers.
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

/// An open transaction; holds the engine's lock until it ends.
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
            kind::DESCRIBE => self.describe(&DescribeOrClose::read(frame)?),
            kind::EXECUTE => self.execute(frame.decode("Execute")?, stream).await?,
            kind::CLOSE => {
                self.close(&DescribeOrClose::read(frame)?);
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

    /// Runs the statements of a simple query. Outside an explicit transaction, they
    /// share one implicit transaction, as the protocol requires.
    async fn simple_query(&mut self, text: &str, stream: &mut TcpStream) -> Result<(), WireError> {
        let statements = split_statements(text);
        if statements.is_empty() {
            reply::put_empty_query(&mut self.output);
        }
        let implicit = statements.len() > 1
            && self.transaction.is_none()
            && !statements.iter().any(|text| is_transaction_control(text));
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
        if let Some(result) = self.run_session_command(text, true).await {
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
        let tag = command_tag(text, &outcome);
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

    /// Begins a transaction. Acquires the slot before the engine, so that no task
    /// waits for a slot while it holds the engine.
    async fn begin(&mut self) {
        let slot = acquire_slot(&self.shared.clone(), self.instance).await;
        let engine = self.shared.engine(self.instance).lock_owned().await;
        engine.begin().expect("no transaction is open");
        self.transaction = Some(OpenTransaction {
            engine,
            number: self.shared.next_transaction_id(),
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
                code: ADMIN_SHUTDOWN,
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
        // An open transaction already holds a slot.
        let _slot = match self.transaction {
            Some(_) => None,
            None => Some(acquire_slot(&shared, self.instance).await),
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
        let number = shared.next_transaction_id();
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
}

async fn acquire_slot(shared: &GroupShared, instance: usize) -> OwnedSemaphorePermit {
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

fn command_tag(text: &str, outcome: &Outcome) -> String {
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

fn is_transaction_control(text: &str) -> bool {
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

/// Splits a query at semicolons outside string literals.
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
