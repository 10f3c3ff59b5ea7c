//! Session commands, which the session handles itself: transaction control, settings,
//! the status query and `pg_sleep`.

use std::time::Duration;

use linkhold_wire::reply::{self, ResultColumn, TEXT_OID};

use super::{FAILED_TRANSACTION, QUERY_CANCELED, STATUS_QUERY, Session, is_transaction_control};
use crate::group::engine::{Column, SqlError};

impl Session {
    /// Runs a session command and returns its command tag; `None` if `text` is not a
    /// session command.
    pub(super) async fn run_session_command(
        &mut self,
        text: &str,
        simple: bool,
    ) -> Option<Result<String, SqlError>> {
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
            _ if self.transaction_has_failed() => Some(Err(SqlError {
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

    pub(super) fn transaction_has_failed(&self) -> bool {
        self.transaction
            .as_ref()
            .is_some_and(|transaction| transaction.failed)
    }

    /// Returns the answer to the status query: `current_term log_term log_index role`.
    pub(super) fn status(&self) -> String {
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

    pub(super) fn set(&mut self, text: &str) -> Result<String, SqlError> {
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

    pub(super) fn show(&self, text: &str) -> String {
        let name = text[4..].trim().to_ascii_lowercase();
        self.settings.get(&name).cloned().unwrap_or_default()
    }

    pub(super) async fn sleep(&mut self, upper: &str, simple: bool) -> Result<String, SqlError> {
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
}

pub(super) fn is_session_command(text: &str) -> bool {
    let upper = text.to_ascii_uppercase();
    let first = upper.split_whitespace().next().unwrap_or_default();
    is_transaction_control(text)
        || matches!(first, "SET" | "RESET" | "DISCARD" | "SHOW")
        || upper.starts_with("SELECT PG_SLEEP(")
}

pub(super) fn session_command_columns(text: &str) -> Vec<Column> {
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
