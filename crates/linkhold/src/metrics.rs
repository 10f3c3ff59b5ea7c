//! Counters of a node, read by the console and the status command.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

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
    /// Datagrams sent to other nodes.
    pub peer_messages_sent: AtomicU64,
    /// Bytes of these datagrams, without headers.
    pub peer_bytes_sent: AtomicU64,
    /// Datagrams dropped as foreign, forged or malformed.
    pub peer_messages_dropped: AtomicU64,
    /// Time reads took to find a fresh instance with a slot.
    pub read_wait: DurationHistogram,
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

/// Histogram of durations, in buckets of powers of two from one microsecond.
#[derive(Debug, Default)]
pub struct DurationHistogram {
    buckets: [AtomicU64; BUCKETS],
}

const BUCKETS: usize = 32;

impl DurationHistogram {
    /// Records a duration.
    pub fn record(&self, duration: Duration) {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let significant_bits = (u64::BITS - microseconds.leading_zeros()) as usize;
        count(&self.buckets[significant_bits.min(BUCKETS - 1)]);
    }

    /// Upper bound of the bucket that holds the quantile.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let counts = self
            .buckets
            .each_ref()
            .map(|bucket| bucket.load(Ordering::Relaxed));
        let total: u64 = counts.iter().sum();
        let wanted = (total as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        for (bits, count) in counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return Duration::from_micros((1 << bits) - 1);
            }
        }
        Duration::ZERO
    }
}

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
            (
                "peer_messages_sent".to_owned(),
                load(&self.peer_messages_sent),
            ),
            ("peer_bytes_sent".to_owned(), load(&self.peer_bytes_sent)),
            (
                "peer_messages_dropped".to_owned(),
                load(&self.peer_messages_dropped),
            ),
        ];
        for (name, quantile) in [("read_wait_p50_us", 0.5), ("read_wait_p99_us", 0.99)] {
            let wait = self.read_wait.quantile(quantile).as_micros();
            values.push((name.to_owned(), u64::try_from(wait).unwrap_or(u64::MAX)));
        }
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
