//! Compares what callers observed with the contents of the databases.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

use super::history::{CallerId, Events, ReadOutcome, WriteEvent, WriteOutcome};

/// Time for which a leaving back end may still get new work.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Start of the comment in a statement that names its caller's transaction.
pub const TRANSACTION_MARK: &str = "/* transaction=";

/// A statement that an instance executed.
#[derive(Clone, Debug)]
pub struct ExecutedStatement {
    /// Instance index.
    pub instance: usize,
    /// Connection on which the statement arrived.
    pub connection: u64,
    /// Transaction of the statement.
    pub transaction: u64,
    /// SQL text.
    pub text: String,
    /// Start time.
    pub at: Instant,
}

/// Contents and records of a database, as reported by its stand-in.
#[derive(Clone, Debug, Default)]
pub struct DatabaseTruth {
    /// IDs of all rows; an ID occurs once for each of its rows.
    pub ids: Vec<String>,
    /// Executed statements, in order.
    pub statements: Vec<ExecutedStatement>,
    /// Elections: time, term and elected instance.
    pub elections: Vec<(Instant, u64, usize)>,
    /// Maximum number of connections open at once on any instance.
    pub most_connections: usize,
    /// Connection limit of an instance.
    pub connection_limit: usize,
}

/// Kinds of violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ViolationKind {
    /// A session did not read its own acknowledged write.
    StaleRead,
    /// An acknowledged write is missing.
    LostWrite,
    /// A write was applied more than once.
    DoubleRun,
    /// A write refused as not run was applied.
    FalseNotRun,
    /// A write reported as already completed is missing.
    FalseCompleted,
    /// Only part of a transaction was applied.
    PartialTransaction,
    /// Statements of two callers' transactions ran in one transaction.
    MixedTransactions,
    /// One transaction ran on two connections.
    SplitTransaction,
    /// A caller got the answer to another request.
    WrongAnswer,
    /// An answer is incomplete.
    PartialAnswer,
    /// A node's table went back to a lower version.
    VersionReversal,
    /// An accepted edit never took effect on a node.
    EditNotInForce,
    /// Another edit overwrote an accepted edit.
    LostEdit,
    /// A leaving back end got new work.
    WorkAfterLeaving,
    /// A graceful stop cut a request.
    CutRequest,
    /// An instance had more connections than its limit.
    ConnectionOverrun,
}

/// A violation with its details.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Kind.
    pub kind: ViolationKind,
    /// Details of the violation.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.kind, self.detail)
    }
}

/// Returns every violation of a run.
pub fn check(events: &Events, truth: &[DatabaseTruth]) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_writes(events, truth, &mut violations);
    check_reads(events, &mut violations);
    check_transactions(truth, &mut violations);
    check_versions(events, &mut violations);
    check_leaving(events, truth, &mut violations);
    check_cuts(events, &mut violations);
    check_connections(truth, &mut violations);
    violations
}

fn add(violations: &mut Vec<Violation>, kind: ViolationKind, detail: String) {
    violations.push(Violation { kind, detail });
}

fn check_writes(events: &Events, truth: &[DatabaseTruth], violations: &mut Vec<Violation>) {
    let counts: Vec<HashMap<&str, usize>> = truth
        .iter()
        .map(|database| {
            let mut counts = HashMap::new();
            for id in &database.ids {
                *counts.entry(id.as_str()).or_default() += 1;
            }
            counts
        })
        .collect();
    let mut reported: HashMap<(usize, &str), Vec<WriteOutcome>> = HashMap::new();
    for write in &events.writes {
        for id in &write.ids {
            reported
                .entry((write.database, id))
                .or_default()
                .push(write.outcome);
        }
        check_atomicity(write, &counts[write.database], violations);
    }
    for ((database, id), outcomes) in &reported {
        let count = counts[*database].get(id).copied().unwrap_or(0);
        check_row(id, count, outcomes, violations);
    }
}

/// Checks that all rows of a transaction exist, or none.
fn check_atomicity(
    write: &WriteEvent,
    counts: &HashMap<&str, usize>,
    violations: &mut Vec<Violation>,
) {
    let present = write
        .ids
        .iter()
        .filter(|id| counts.contains_key(id.as_str()))
        .count();
    if present != 0 && present != write.ids.len() {
        let detail = format!("{present} of {:?}", write.ids);
        add(violations, ViolationKind::PartialTransaction, detail);
    }
}

/// Checks a row against the outcomes of all requests that tried to write it; several
/// requests with one key may have.
fn check_row(id: &str, count: usize, outcomes: &[WriteOutcome], violations: &mut Vec<Violation>) {
    let detail = || format!("row {id} exists {count} times; reported {outcomes:?}");
    let any = |wanted: WriteOutcome| outcomes.contains(&wanted);
    if count > 1 {
        add(violations, ViolationKind::DoubleRun, detail());
    }
    if count == 0 && any(WriteOutcome::Acknowledged) {
        add(violations, ViolationKind::LostWrite, detail());
    }
    if count == 0 && any(WriteOutcome::AlreadyCompleted) {
        add(violations, ViolationKind::FalseCompleted, detail());
    }
    let all_not_run = outcomes
        .iter()
        .all(|outcome| *outcome == WriteOutcome::NotRun);
    if count > 0 && all_not_run {
        add(violations, ViolationKind::FalseNotRun, detail());
    }
}

fn check_reads(events: &Events, violations: &mut Vec<Violation>) {
    let mut own: HashMap<(CallerId, usize), Vec<(Duration, u64)>> = HashMap::new();
    for write in &events.writes {
        let is_completed = matches!(
            write.outcome,
            WriteOutcome::Acknowledged | WriteOutcome::AlreadyCompleted
        );
        if is_completed {
            own.entry((write.caller, write.database))
                .or_default()
                .push((write.finished, write.sequence));
        }
    }
    for read in &events.reads {
        let ReadOutcome::Answered {
            nonce,
            sequence,
            rows,
        } = &read.outcome
        else {
            continue;
        };
        if *nonce != read.nonce {
            let detail = format!("expected nonce {}, got {nonce}", read.nonce);
            add(violations, ViolationKind::WrongAnswer, detail);
        }
        if *rows != read.expected_rows {
            let detail = format!("{rows} of {} rows", read.expected_rows);
            add(violations, ViolationKind::PartialAnswer, detail);
        }
        let newest_own = own
            .get(&(read.caller, read.database))
            .into_iter()
            .flatten()
            .filter(|(finished, _)| *finished <= read.started)
            .map(|(_, sequence)| *sequence)
            .max()
            .unwrap_or(0);
        if *sequence < newest_own {
            let detail = format!(
                "caller {} in database {} saw {sequence} after {newest_own} was acknowledged",
                read.caller, read.database
            );
            add(violations, ViolationKind::StaleRead, detail);
        }
    }
}

fn check_transactions(truth: &[DatabaseTruth], violations: &mut Vec<Violation>) {
    for database in truth {
        let mut marks: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        let mut connections: BTreeMap<&str, BTreeSet<(usize, u64)>> = BTreeMap::new();
        for statement in &database.statements {
            let mark = transaction_mark(&statement.text);
            marks.entry(statement.transaction).or_default().extend(mark);
            if let Some(mark) = mark {
                let connection = (statement.instance, statement.connection);
                connections.entry(mark).or_default().insert(connection);
            }
        }
        for marks in marks.values().filter(|marks| marks.len() > 1) {
            add(
                violations,
                ViolationKind::MixedTransactions,
                format!("{marks:?}"),
            );
        }
        for (mark, used) in connections.iter().filter(|(_, used)| used.len() > 1) {
            let detail = format!("{mark} on {used:?}");
            add(violations, ViolationKind::SplitTransaction, detail);
        }
    }
}

/// Returns the caller's transaction that a statement's comment names; `None` without
/// one.
fn transaction_mark(text: &str) -> Option<&str> {
    let start = text.find(TRANSACTION_MARK)? + TRANSACTION_MARK.len();
    let end = text[start..].find(' ')? + start;
    Some(&text[start..end])
}

fn check_versions(events: &Events, violations: &mut Vec<Violation>) {
    let mut newest: HashMap<usize, u64> = HashMap::new();
    for event in &events.versions {
        let known = newest.entry(event.node).or_default();
        if event.version < *known {
            let detail = format!("node {} went from {known} to {}", event.node, event.version);
            add(violations, ViolationKind::VersionReversal, detail);
        }
        *known = (*known).max(event.version);
    }
    for lost in &events.lost_edits {
        add(violations, ViolationKind::LostEdit, lost.clone());
    }
    let accepted = events.accepted_edits.iter().max().copied().unwrap_or(0);
    let finals = events.final_versions.iter();
    for event in finals.filter(|event| event.version < accepted) {
        let detail = format!(
            "node {} has {}, accepted was {accepted}",
            event.node, event.version
        );
        add(violations, ViolationKind::EditNotInForce, detail);
    }
}

fn check_leaving(events: &Events, truth: &[DatabaseTruth], violations: &mut Vec<Violation>) {
    for leaving in &events.leaving {
        let from = leaving.at + LEAVING_GRACE;
        // A transaction that began before may continue.
        let begun: HashSet<u64> = truth[leaving.database]
            .statements
            .iter()
            .filter(|statement| statement.at < from)
            .map(|statement| statement.transaction)
            .collect();
        let late = truth[leaving.database]
            .statements
            .iter()
            .filter(|statement| {
                statement.instance == leaving.instance
                    && statement.at >= from
                    && leaving.until.is_none_or(|until| statement.at < until)
                    && !begun.contains(&statement.transaction)
            });
        let count = late.count();
        if count > 0 {
            let detail = format!(
                "{count} statements at instance {} of database {}",
                leaving.instance, leaving.database
            );
            add(violations, ViolationKind::WorkAfterLeaving, detail);
        }
    }
}

fn check_cuts(events: &Events, violations: &mut Vec<Violation>) {
    if !events.cuts_forbidden {
        return;
    }
    let writes = events
        .writes
        .iter()
        .filter(|write| write.outcome == WriteOutcome::Cut);
    let reads = events
        .reads
        .iter()
        .filter(|read| read.outcome == ReadOutcome::Cut);
    let cut = writes.count() + reads.count();
    if cut > 0 {
        add(
            violations,
            ViolationKind::CutRequest,
            format!("{cut} requests"),
        );
    }
}

fn check_connections(truth: &[DatabaseTruth], violations: &mut Vec<Violation>) {
    for database in truth {
        if database.most_connections > database.connection_limit {
            let detail = format!(
                "{} of {}",
                database.most_connections, database.connection_limit
            );
            add(violations, ViolationKind::ConnectionOverrun, detail);
        }
    }
}
