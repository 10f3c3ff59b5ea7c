//! Rate limit of log lines: one token bucket per event name.

use std::collections::HashMap;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Instant;

/// Bucket size: lines of one event name that may be logged at once.
const BURST: f64 = 400.0;
/// Refill rate: lines of one event name per second.
const RATE_PER_SECOND: f64 = 60.0;

/// Whether an event is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogDecision {
    /// The event is logged.
    Log {
        /// Events of this name suppressed since the last logged one.
        suppressed: u64,
    },
    /// The event is suppressed.
    Suppress,
}

/// Token bucket of one event name.
#[derive(Debug)]
pub struct Bucket {
    tokens: f64,
    updated: Instant,
    suppressed: u64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            updated: now,
            suppressed: 0,
        }
    }

    /// Refills the bucket and takes a token; without a token, counts the event as
    /// suppressed.
    pub fn take(&mut self, now: Instant) -> LogDecision {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * RATE_PER_SECOND).min(BURST);
        self.updated = now;
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return LogDecision::Suppress;
        }
        self.tokens -= 1.0;
        LogDecision::Log {
            suppressed: std::mem::take(&mut self.suppressed),
        }
    }
}

static BUCKETS: LazyLock<Mutex<HashMap<&'static str, Bucket>>> = LazyLock::new(Mutex::default);

/// Decides whether an event of this name may be logged now.
pub fn check(name: &'static str, now: Instant) -> LogDecision {
    let mut buckets = BUCKETS.lock().unwrap_or_else(PoisonError::into_inner);
    buckets
        .entry(name)
        .or_insert_with(|| Bucket::new(now))
        .take(now)
}
