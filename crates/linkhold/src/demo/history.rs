//! History of a run, as callers observed it.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Identifies a caller.
pub type CallerId = u32;

/// Outcome of a write, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Acknowledged.
    Acknowledged,
    /// Refused as not run.
    NotRun,
    /// Reported as already completed under its request key.
    AlreadyCompleted,
    /// Reported as unknown.
    Unknown,
    /// The connection broke without an answer.
    Cut,
}

/// A write of a caller: one row, or several in one transaction.
#[derive(Clone, Debug)]
pub struct WriteEvent {
    /// Caller.
    pub caller: CallerId,
    /// Database index.
    pub database: usize,
    /// IDs of the rows.
    pub ids: Vec<String>,
    /// Sequence number of the write among the caller's writes.
    pub sequence: u64,
    /// Start, as time since the start of the run.
    pub started: Duration,
    /// End, as time since the start of the run.
    pub finished: Duration,
    /// Reported outcome.
    pub outcome: WriteOutcome,
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Answered with rows.
    Answered {
        /// Nonce in the answer.
        nonce: String,
        /// Highest sequence number of the caller's own writes in the answer.
        sequence: u64,
        /// Number of rows.
        rows: usize,
    },
    /// Refused as not run.
    NotRun,
    /// Answered with an error other than not run.
    Failed,
    /// The connection broke without an answer.
    Cut,
}

/// A read of a caller.
#[derive(Clone, Debug)]
pub struct ReadEvent {
    /// Caller.
    pub caller: CallerId,
    /// Database index.
    pub database: usize,
    /// Start, as time since the start of the run.
    pub started: Duration,
    /// End, as time since the start of the run.
    pub finished: Duration,
    /// Nonce in the query.
    pub nonce: String,
    /// Rows a whole answer has.
    pub expected_rows: usize,
    /// What came back.
    pub outcome: ReadOutcome,
}

/// A table version that was in force on a node.
#[derive(Clone, Copy, Debug)]
pub struct VersionEvent {
    /// Node index.
    pub node: usize,
    /// Table version.
    pub version: u64,
}

/// Loss of a primary by a fault.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryLossEvent {
    /// Time since the start of the run.
    pub at: Duration,
    /// Database that lost its primary.
    pub database: usize,
}

/// An instance that the table marks as leaving, so that it must get no new work.
#[derive(Clone, Copy, Debug)]
pub struct LeavingEvent {
    /// Time at which the table marked the instance as leaving.
    pub at: Instant,
    /// Time from which the instance may get work again, if it was made active.
    pub until: Option<Instant>,
    /// Database index.
    pub database: usize,
    /// Instance index.
    pub instance: usize,
}

/// All events of a run.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Writes.
    pub writes: Vec<WriteEvent>,
    /// Reads.
    pub reads: Vec<ReadEvent>,
    /// Table versions.
    pub versions: Vec<VersionEvent>,
    /// Table versions of the nodes that are up at the end of the run.
    pub final_versions: Vec<VersionEvent>,
    /// Losses of primaries.
    pub primary_faults: Vec<PrimaryLossEvent>,
    /// Instances marked as leaving.
    pub leaving: Vec<LeavingEvent>,
    /// Versions of the edits acknowledged to operators.
    pub accepted_edits: Vec<u64>,
    /// Accepted edits that another accepted edit overwrote.
    pub lost_edits: Vec<String>,
    /// Milliseconds from each accepted edit until it was in force on all nodes.
    pub edit_in_force_ms: Vec<u64>,
    /// Whether nodes were only stopped gracefully, so that no request may be cut.
    pub cuts_forbidden: bool,
}

/// A history that many tasks record to.
#[derive(Clone)]
pub struct History {
    start: Instant,
    events: Arc<Mutex<Events>>,
    burst: Arc<AtomicBool>,
}

impl History {
    /// Creates an empty history that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
            burst: Arc::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the start of the history.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Returns the switch for the extra readers of a burst.
    pub fn burst(&self) -> Arc<AtomicBool> {
        self.burst.clone()
    }

    /// Records an event: calls `add` with the events so far.
    pub fn record(&self, add: impl FnOnce(&mut Events)) {
        add(&mut self.events.lock().expect("no panic while held"));
    }

    /// Returns the highest version of an accepted edit, or 0 if there was none.
    pub fn newest_accepted_edit(&self) -> u64 {
        let events = self.events.lock().expect("no panic while held");
        events.accepted_edits.iter().max().copied().unwrap_or(0)
    }

    /// Takes all events, leaving the history empty.
    pub fn take(&self) -> Events {
        std::mem::take(&mut self.events.lock().expect("no panic while held"))
    }
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}
