//! A bound on the lines of each event name: a token bucket per name.

use std::collections::HashMap;
use std::sync::{LazyLock, Mutex, PoisonError};
use std::time::Instant;

/// Lines of one name that may come at once.
const BURST: f64 = 400.0;
/// Lines of one name a second in the long run.
const RATE_PER_SECOND: f64 = 60.0;

/// Whether an event is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// Yes; this many of its name were left out before it.
    Log {
        /// Events of the name left out since the last line.
        left_out: u64,
    },
    /// No.
    LeaveOut,
}

/// Bucket of one name.
#[derive(Debug)]
pub struct Bucket {
    tokens: f64,
    updated: Instant,
    left_out: u64,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: BURST,
            updated: now,
            left_out: 0,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Instant) -> Permission {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * RATE_PER_SECOND).min(BURST);
        self.updated = now;
        if self.tokens < 1.0 {
            self.left_out += 1;
            return Permission::LeaveOut;
        }
        self.tokens -= 1.0;
        Permission::Log {
            left_out: std::mem::take(&mut self.left_out),
        }
    }
}

static BUCKETS: LazyLock<Mutex<HashMap<&'static str, Bucket>>> = LazyLock::new(Mutex::default);

/// Asks for permission to log an event.
pub fn ask(name: &'static str, now: Instant) -> Permission {
    let mut buckets = BUCKETS.lock().unwrap_or_else(PoisonError::into_inner);
    buckets
        .entry(name)
        .or_insert_with(|| Bucket::new(now))
        .take(now)
}
