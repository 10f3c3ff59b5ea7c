//! SQL execution over in-memory SQLite.

use std::sync::Arc;

use rusqlite::types::Value;
use rusqlite::{Connection, params_from_iter};

use super::values::column_type;

/// A statement with its parameters, as shipped to replicas.
#[derive(Clone, Debug)]
pub struct LoggedStatement {
    pub text: Arc<str>,
    pub parameters: Vec<Value>,
}

/// Column of a result.
#[derive(Clone, Debug)]
pub struct Column {
    pub name: String,
    pub type_oid: u32,
}

/// Columns, parameter count and kind of a statement.
#[derive(Clone, Debug)]
pub struct Description {
    pub columns: Vec<Column>,
    pub parameters: usize,
    pub read_only: bool,
}

/// Result of a statement.
#[derive(Debug, Default)]
pub struct Outcome {
    pub rows: Vec<Vec<Value>>,
    pub changes: usize,
}

/// Error of the engine: SQLSTATE and message.
#[derive(Clone, Debug)]
pub struct SqlError {
    pub code: &'static str,
    pub message: String,
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        const UNIQUE_VIOLATION: &str = "23505";
        const CONSTRAINT_VIOLATION: &str = "23000";
        const SYNTAX_ERROR: &str = "42601";
        const UNDEFINED_TABLE: &str = "42P01";
        let message = error.to_string();
        let code = match error.sqlite_error_code() {
            Some(rusqlite::ErrorCode::ConstraintViolation) if message.contains("UNIQUE") => {
                UNIQUE_VIOLATION
            }
            Some(rusqlite::ErrorCode::ConstraintViolation) => CONSTRAINT_VIOLATION,
            _ if message.contains("no such table") => UNDEFINED_TABLE,
            _ => SYNTAX_ERROR,
        };
        Self { code, message }
    }
}

/// Database of one instance.
pub struct Engine {
    connection: Connection,
}

impl Engine {
    pub fn new(schema: &[String]) -> Self {
        let connection = Connection::open_in_memory().expect("SQLite opens an in-memory database");
        for statement in schema {
            connection
                .execute_batch(statement)
                .expect("the schema is valid");
        }
        Self { connection }
    }

    pub fn reset(&mut self, schema: &[String]) {
        *self = Self::new(schema);
    }

    pub fn describe(&self, text: &str) -> Result<Description, SqlError> {
        let text = to_sqlite(text);
        let statement = self.connection.prepare_cached(&text)?;
        let columns = statement
            .columns()
            .iter()
            .map(|column| Column {
                name: column.name().to_owned(),
                type_oid: column_type(column.decl_type()),
            })
            .collect();
        Ok(Description {
            columns,
            parameters: statement.parameter_count(),
            read_only: statement.readonly(),
        })
    }

    pub fn begin(&self) -> Result<(), SqlError> {
        Ok(self.connection.execute_batch("BEGIN")?)
    }

    pub fn commit(&self) -> Result<(), SqlError> {
        Ok(self.connection.execute_batch("COMMIT")?)
    }

    pub fn rollback(&self) {
        // Fails only without an open transaction, and then there is nothing to roll
        // back.
        let _ = self.connection.execute_batch("ROLLBACK");
    }

    pub fn run(&self, text: &str, parameters: &[Value]) -> Result<Outcome, SqlError> {
        let text = to_sqlite(text);
        let mut statement = self.connection.prepare_cached(&text)?;
        let width = statement.column_count();
        let before = self.connection.total_changes();
        let mut outcome = Outcome::default();
        let mut rows = statement.query(params_from_iter(parameters))?;
        while let Some(row) = rows.next()? {
            let values: Result<Vec<Value>, _> = (0..width).map(|index| row.get(index)).collect();
            outcome.rows.push(values?);
        }
        drop(rows);
        let changed = self.connection.total_changes() - before;
        outcome.changes = usize::try_from(changed).unwrap_or(usize::MAX);
        Ok(outcome)
    }

    /// Applies a transaction that the primary shipped.
    pub fn apply(&mut self, statements: &[LoggedStatement]) {
        for statement in statements {
            self.run(&statement.text, &statement.parameters)
                .expect("a statement that ran on the primary runs on a replica");
        }
    }

    /// Runs a query and returns its rows as text, for checks.
    pub fn rows_as_text(&self, query: &str) -> Result<Vec<Vec<Option<String>>>, String> {
        let outcome = self.run(query, &[]).map_err(|error| error.message)?;
        let text = |value: &Value| match value {
            Value::Null => None,
            Value::Integer(number) => Some(number.to_string()),
            Value::Real(number) => Some(number.to_string()),
            Value::Text(text) => Some(text.clone()),
            Value::Blob(bytes) => Some(String::from_utf8_lossy(bytes).into_owned()),
        };
        Ok(outcome
            .rows
            .iter()
            .map(|row| row.iter().map(text).collect())
            .collect())
    }
}

/// Translates `$1` to SQLite's `?1` and drops locking clauses, which SQLite does not
/// have and an exclusively locked engine does not need.
fn to_sqlite(text: &str) -> String {
    const LOCKING_CLAUSE: &str = " FOR UPDATE";
    let mut output = String::with_capacity(text.len());
    let mut in_string = false;
    let mut characters = text.trim_end().trim_end_matches(';').chars().peekable();
    while let Some(character) = characters.next() {
        if character == '\'' {
            in_string = !in_string;
        }
        let is_parameter =
            character == '$' && !in_string && characters.peek().is_some_and(char::is_ascii_digit);
        output.push(if is_parameter { '?' } else { character });
    }
    match output.strip_suffix(LOCKING_CLAUSE) {
        Some(without) => without.to_owned(),
        None => output,
    }
}
