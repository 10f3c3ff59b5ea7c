//! Classification of SQL text by the back end that it needs.
//!
//! In doubt, a statement goes to the primary. A text that cannot be parsed, a
//! function that is not known to be free of effects, a locking clause or a
//! data-modifying common table expression all count as writes.

mod effects;

use sqlparser::ast::{
    Declare, Expr, ObjectName, Set, Statement, TransactionAccessMode, TransactionMode,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use effects::{Effects, effects_of};

/// A feature that needs a dedicated back end session, which transaction pooling
/// does not provide. Such statements are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsupported {
    /// `COPY` in either direction.
    Copy,
    /// `LISTEN` and `UNLISTEN`.
    Listen,
    /// Temporary tables.
    TemporaryTable,
    /// Session-level advisory locks.
    AdvisoryLock,
    /// Cursors declared `WITH HOLD`.
    HoldableCursor,
    /// SQL-level `PREPARE` and `EXECUTE`.
    SqlPrepare,
    /// Session settings changed inside a multi-statement string or by function.
    HiddenSetting,
    /// Two-phase commit, which hands a transaction to another session.
    TwoPhaseCommit,
}

impl Unsupported {
    /// Name of the feature for messages.
    pub fn feature(self) -> &'static str {
        match self {
            Self::Copy => "COPY",
            Self::Listen => "LISTEN",
            Self::TemporaryTable => "temporary tables",
            Self::AdvisoryLock => "session advisory locks",
            Self::HoldableCursor => "cursors WITH HOLD",
            Self::SqlPrepare => "SQL-level PREPARE",
            Self::HiddenSetting => "SET in a multi-statement string or by function",
            Self::TwoPhaseCommit => "two-phase commit",
        }
    }
}

/// Kind of a statement, as far as the proxy handles it differently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Only reads; any sufficiently fresh instance can run it.
    Read,
    /// May write, or its effects are not known.
    Write,
    /// Not accepted by the parser; may do anything, including ending a transaction.
    Opaque,
    /// Starts a transaction.
    Begin {
        /// Whether it is declared `READ ONLY`.
        read_only: bool,
    },
    /// Ends a transaction, keeping its effects.
    Commit,
    /// Ends a transaction, discarding its effects.
    Rollback,
    /// Changes a session setting.
    Set {
        /// Lower-case name.
        name: String,
        /// Value without quotes.
        value: String,
        /// Whether it is `SET LOCAL`, which ends with the transaction.
        local: bool,
    },
    /// Resets one setting, or all, to the default.
    Reset {
        /// Lower-case name; `None` for `RESET ALL`.
        name: Option<String>,
    },
    /// Shows a setting.
    Show {
        /// Lower-case name.
        name: String,
    },
    /// `DISCARD ALL`.
    DiscardAll,
    /// `DEALLOCATE` of one prepared statement, or of all.
    Deallocate {
        /// Name of the prepared statement; `None` for all.
        name: Option<String>,
    },
    /// Refused under transaction pooling.
    Unsupported(Unsupported),
}

/// Access that a whole request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Access {
    /// A sufficiently fresh instance.
    Read,
    /// The primary.
    Write,
}

/// Classification of one SQL text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Classified {
    /// One entry for each statement of the text.
    pub statements: Vec<StatementKind>,
}

impl Classified {
    /// Access needed outside an explicit transaction.
    pub fn access(&self) -> Access {
        let only_reads = self.statements.iter().all(|kind| {
            matches!(
                kind,
                StatementKind::Read
                    | StatementKind::Show { .. }
                    | StatementKind::Set { .. }
                    | StatementKind::Reset { .. }
            )
        });
        if only_reads {
            Access::Read
        } else {
            Access::Write
        }
    }

    /// Whether the text may end an explicit transaction and keep its effects.
    pub fn may_commit(&self) -> bool {
        self.statements
            .iter()
            .any(|kind| matches!(kind, StatementKind::Commit | StatementKind::Opaque))
    }

    /// The first unsupported feature in the text; `None` if there is none.
    pub fn unsupported(&self) -> Option<Unsupported> {
        let multiple = self.statements.len() > 1;
        self.statements.iter().find_map(|kind| match kind {
            StatementKind::Unsupported(feature) => Some(*feature),
            StatementKind::Set { local: false, .. }
            | StatementKind::Reset { .. }
            | StatementKind::DiscardAll
            | StatementKind::Deallocate { .. }
                if multiple =>
            {
                Some(Unsupported::HiddenSetting)
            }
            _ => None,
        })
    }

    /// The statement, if the text consists of exactly one.
    pub fn single(&self) -> Option<&StatementKind> {
        match self.statements.as_slice() {
            [kind] => Some(kind),
            _ => None,
        }
    }
}

/// Classifies a text of zero or more statements.
pub fn classify(text: &str) -> Classified {
    if let Some(kind) = classify_by_keywords(text) {
        return Classified {
            statements: vec![kind],
        };
    }
    let statements = match Parser::parse_sql(&PostgreSqlDialect {}, text) {
        Ok(parsed) => parsed.iter().map(classify_statement).collect(),
        Err(_) => vec![classify_unparsed(text)],
    };
    Classified { statements }
}

/// Recognises `RESET`, `DEALLOCATE ALL` and `ABORT` by their keywords, because the
/// parser does not accept them in every form.
fn classify_by_keywords(text: &str) -> Option<StatementKind> {
    let words = words(text)?;
    match words.as_slice() {
        [reset, all] if reset == "reset" && all == "all" => {
            Some(StatementKind::Reset { name: None })
        }
        [reset, name] if reset == "reset" => Some(StatementKind::Reset {
            name: Some(name.clone()),
        }),
        [deallocate, all] if deallocate == "deallocate" && all == "all" => {
            Some(StatementKind::Deallocate { name: None })
        }
        [abort] if abort == "abort" => Some(StatementKind::Rollback),
        _ => None,
    }
}

/// Lower-case words of a single short statement; `None` for a long text or several
/// statements.
fn words(text: &str) -> Option<Vec<String>> {
    const MAX_LENGTH: usize = 200;
    let statement = text.trim().trim_end_matches(';').trim_end();
    if statement.len() > MAX_LENGTH || statement.contains(';') {
        return None;
    }
    Some(
        statement
            .split_whitespace()
            .map(str::to_ascii_lowercase)
            .collect(),
    )
}

/// Classifies a text that the parser rejects. It goes to the primary, unless it
/// mentions a feature whose effects must not leak from one session to another.
fn classify_unparsed(text: &str) -> StatementKind {
    let lower = text.to_ascii_lowercase();
    let mentions = |word: &str| {
        lower
            .split(|character: char| !character.is_alphanumeric() && character != '_')
            .any(|candidate| candidate == word)
    };
    if mentions("copy") {
        StatementKind::Unsupported(Unsupported::Copy)
    } else if mentions("listen") {
        StatementKind::Unsupported(Unsupported::Listen)
    } else if mentions("temp") || mentions("temporary") {
        StatementKind::Unsupported(Unsupported::TemporaryTable)
    } else if mentions("hold") {
        StatementKind::Unsupported(Unsupported::HoldableCursor)
    } else if mentions("set") || mentions("reset") || mentions("discard") {
        StatementKind::Unsupported(Unsupported::HiddenSetting)
    } else if mentions("prepare") || mentions("prepared") {
        StatementKind::Unsupported(Unsupported::SqlPrepare)
    } else {
        StatementKind::Opaque
    }
}

fn classify_statement(statement: &Statement) -> StatementKind {
    match statement {
        Statement::Query(_) => classify_query(statement),
        Statement::Explain { analyze: false, .. } => StatementKind::Read,
        Statement::StartTransaction { modes, .. } => StatementKind::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(
                TransactionAccessMode::ReadOnly,
            )),
        },
        Statement::Commit { .. } => StatementKind::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => StatementKind::Rollback,
        Statement::Set(set) => classify_set(set),
        Statement::ShowVariable { variable } => StatementKind::Show {
            name: joined(variable.iter().map(|ident| ident.value.as_str())),
        },
        Statement::Discard { .. } => StatementKind::DiscardAll,
        Statement::Deallocate { name, .. } => StatementKind::Deallocate {
            name: (!name.value.eq_ignore_ascii_case("all")).then(|| name.value.clone()),
        },
        Statement::Copy { .. } => StatementKind::Unsupported(Unsupported::Copy),
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => {
            StatementKind::Unsupported(Unsupported::Listen)
        }
        Statement::CreateTable(table) if table.temporary => {
            StatementKind::Unsupported(Unsupported::TemporaryTable)
        }
        Statement::CreateView {
            temporary: true, ..
        } => StatementKind::Unsupported(Unsupported::TemporaryTable),
        Statement::Declare { stmts } if stmts.iter().any(is_holdable) => {
            StatementKind::Unsupported(Unsupported::HoldableCursor)
        }
        Statement::Prepare { .. } | Statement::Execute { .. } => {
            StatementKind::Unsupported(Unsupported::SqlPrepare)
        }
        other => match effects_of(other) {
            Effects::Unsupported(feature) => StatementKind::Unsupported(feature),
            Effects::None | Effects::Possible => StatementKind::Write,
        },
    }
}

fn is_holdable(declare: &Declare) -> bool {
    declare.hold == Some(true)
}

fn classify_query(statement: &Statement) -> StatementKind {
    match effects_of(statement) {
        Effects::None => StatementKind::Read,
        Effects::Possible => StatementKind::Write,
        Effects::Unsupported(feature) => StatementKind::Unsupported(feature),
    }
}

fn classify_set(set: &Set) -> StatementKind {
    let unsupported = StatementKind::Unsupported(Unsupported::HiddenSetting);
    match set {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => StatementKind::Set {
            name: object_name(variable),
            value: joined_values(values),
            local: matches!(scope, Some(sqlparser::ast::ContextModifier::Local)),
        },
        Set::SetTimeZone { local, value } => StatementKind::Set {
            name: "timezone".to_owned(),
            value: unquoted(value),
            local: *local,
        },
        Set::SetNames { charset_name, .. } => StatementKind::Set {
            name: "client_encoding".to_owned(),
            value: charset_name.value.clone(),
            local: false,
        },
        // Affects the current transaction only.
        Set::SetTransaction { session: false, .. } => StatementKind::Write,
        _ => unsupported,
    }
}

fn joined_values(values: &[Expr]) -> String {
    let texts: Vec<String> = values.iter().map(unquoted).collect();
    texts.join(", ")
}

fn unquoted(value: &Expr) -> String {
    match value {
        Expr::Value(value) => value
            .clone()
            .into_string()
            .unwrap_or_else(|| value.to_string()),
        other => other.to_string(),
    }
}

fn object_name(name: &ObjectName) -> String {
    joined(
        name.0
            .iter()
            .filter_map(|part| part.as_ident())
            .map(|ident| ident.value.as_str()),
    )
}

fn joined<'a>(parts: impl Iterator<Item = &'a str>) -> String {
    let parts: Vec<&str> = parts.collect();
    parts.join(".").to_ascii_lowercase()
}
