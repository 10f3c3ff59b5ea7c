//! Counters of a node, read by the console and the status command.

use std::sync::atomic::{AtomicU64, Ordering};

use linkhold_core::outcome::{Failure, NotRun, Unknown};

/// Counters since the node started.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Client connections accepted.
    pub connections_accepted: AtomicU64,
    /// Client connections open.
    pub connections_open: AtomicU64,
    /// Reads answered by replicas.
    pub reads_replica: AtomicU64,
    /// Reads answered by primaries.
    pub reads_primary: AtomicU64,
    /// Writes and transactions acknowledged.
    pub writes: AtomicU64,
    /// Requests retried on another instance.
    pub retries: AtomicU64,
    /// Status probes sent.
    pub probes: AtomicU64,
    not_run: [AtomicU64; NOT_RUN_REASONS.len()],
    unknown: [AtomicU64; UNKNOWN_REASONS.len()],
}

const NOT_RUN_REASONS: [NotRun; 9] = [
    NotRun::NoPrimary,
    NotRun::Overloaded,
    NotRun::NoFreshInstance,
    NotRun::NoMajority,
    NotRun::Stopping,
    NotRun::BackendUnavailable,
    NotRun::Cancelled,
    NotRun::KeyCancelled,
    NotRun::UnknownDatabase,
];

const UNKNOWN_REASONS: [Unknown; 4] = [
    Unknown::ConnectionLost,
    Unknown::PrimaryReplaced,
    Unknown::NotConfirmed,
    Unknown::TimedOut,
];

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Metrics {
    /// Counts a request that did not complete.
    pub fn count_failure(&self, failure: Failure) {
        match failure {
            Failure::NotRun(reason) => count_in(&self.not_run, &NOT_RUN_REASONS, &reason),
            Failure::Unknown(reason) => count_in(&self.unknown, &UNKNOWN_REASONS, &reason),
            Failure::AlreadyCompleted => {}
        }
    }

    /// Every counter with its name.
    pub fn snapshot(&self) -> Vec<(String, u64)> {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let mut values = vec![
            (
                "connections_accepted".to_owned(),
                load(&self.connections_accepted),
            ),
            ("connections_open".to_owned(), load(&self.connections_open)),
            ("reads_replica".to_owned(), load(&self.reads_replica)),
            ("reads_primary".to_owned(), load(&self.reads_primary)),
            ("writes".to_owned(), load(&self.writes)),
            ("retries".to_owned(), load(&self.retries)),
            ("probes".to_owned(), load(&self.probes)),
        ];
        for (reason, counter) in NOT_RUN_REASONS.iter().zip(&self.not_run) {
            values.push((format!("not_run_{}", reason.reason()), load(counter)));
        }
        for (reason, counter) in UNKNOWN_REASONS.iter().zip(&self.unknown) {
            values.push((format!("unknown_{}", reason.reason()), load(counter)));
        }
        values
    }
}

fn count_in<T: PartialEq>(counters: &[AtomicU64], reasons: &[T], wanted: &T) {
    if let Some(index) = reasons.iter().position(|reason| reason == wanted) {
        count(&counters[index]);
    }
}
