//! What callers saw.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Identifies a caller.
pub type CallerId = u32;

/// What a caller was told about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Acknowledged.
    Acknowledged,
    /// Refused as not run.
    NotRun,
    /// Said to have completed under its request key.
    AlreadyCompleted,
    /// Not known.
    Unknown,
    /// The connection broke without an answer.
    Cut,
}

/// One write of a caller: a row, or several in one transaction.
#[derive(Clone, Debug)]
pub struct WriteEvent {
    /// Who.
    pub caller: CallerId,
    /// Where.
    pub database: usize,
    /// Identities of the rows.
    pub ids: Vec<String>,
    /// Number of the write in the caller's own order.
    pub sequence: u64,
    /// Since the start of the run.
    pub started: Duration,
    /// Since the start of the run.
    pub finished: Duration,
    /// What was said.
    pub outcome: WriteOutcome,
}

/// What a caller got for a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Rows.
    Answered {
        /// The number the caller put into the query, as it came back.
        nonce: String,
        /// Highest of the caller's own writes in the answer.
        sequence: u64,
        /// Number of rows.
        rows: usize,
    },
    /// Refused as not run.
    NotRun,
    /// No answer.
    Failed,
    /// The connection broke without an answer.
    Cut,
}

/// One read of a caller.
#[derive(Clone, Debug)]
pub struct ReadEvent {
    /// Who.
    pub caller: CallerId,
    /// Where.
    pub database: usize,
    /// Since the start of the run.
    pub started: Duration,
    /// Since the start of the run.
    pub finished: Duration,
    /// The number put into the query.
    pub nonce: String,
    /// Rows a whole answer has.
    pub expected_rows: usize,
    /// What came back.
    pub outcome: ReadOutcome,
}

/// A table version seen in force on a node.
#[derive(Clone, Copy, Debug)]
pub struct VersionEvent {
    /// Which node.
    pub node: usize,
    /// Which version.
    pub version: u64,
}

/// Moments that faults make notable.
#[derive(Clone, Copy, Debug)]
pub struct FaultEvent {
    /// Since the start of the run.
    pub at: Duration,
    /// Database whose primary was taken away.
    pub database: usize,
}

/// An instance that takes no new work from a moment on.
#[derive(Clone, Copy, Debug)]
pub struct LeavingEvent {
    /// When the table said so.
    pub at: Instant,
    /// When it might work again, if it was brought back.
    pub until: Option<Instant>,
    /// Where.
    pub database: usize,
    /// Which instance.
    pub instance: usize,
}

/// Everything seen in a run.
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
    /// Primaries taken away.
    pub primary_faults: Vec<FaultEvent>,
    /// Instances told to leave.
    pub leaving: Vec<LeavingEvent>,
    /// Edits acknowledged to operators, with their versions.
    pub accepted_edits: Vec<u64>,
    /// Accepted edits whose cells another accepted edit undid.
    pub lost_edits: Vec<String>,
    /// Milliseconds from an accepted edit until it was in force everywhere.
    pub edit_in_force_ms: Vec<u64>,
    /// Nodes were stopped in an orderly way: no request may be cut.
    pub no_cut_allowed: bool,
}

/// A history that many tasks add to.
#[derive(Clone)]
pub struct History {
    start: Instant,
    events: Arc<Mutex<Events>>,
    burst: Arc<AtomicBool>,
}

impl History {
    /// An empty history that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
            burst: Arc::default(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// When it started.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Switch for the extra readers of a burst.
    pub fn burst(&self) -> Arc<AtomicBool> {
        self.burst.clone()
    }

    /// Adds to the events.
    pub fn record(&self, add: impl FnOnce(&mut Events)) {
        add(&mut self.events.lock().expect("no panic while held"));
    }

    /// Highest version of an accepted edit; 0 if there was none.
    pub fn newest_accepted_edit(&self) -> u64 {
        let events = self.events.lock().expect("no panic while held");
        events.accepted_edits.iter().max().copied().unwrap_or(0)
    }

    /// Takes all events out.
    pub fn take(&self) -> Events {
        std::mem::take(&mut self.events.lock().expect("no panic while held"))
    }
}

impl Default for History {
    fn default() -> Self {
        Self::new()
    }
}
