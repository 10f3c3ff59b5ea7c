//! How many statements one node may have in flight at an instance.
//!
//! An instance runs a few statements at once, queues some more in the order of their
//! arrival, and refuses the rest. Statements that wait at the node instead are sent in
//! the order of their priority, and cause no refusals by the instance. The limit
//! follows the instance's answers: additive increase, multiplicative decrease.
//!
//! Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
//! Congestion Avoidance in Computer Networks", 1989.

use std::time::{Duration, Instant};

/// Initial limit, as a multiple of the capacity that the instance announces.
const START_CAPACITIES: f64 = 2.0;
/// Smallest limit.
const MIN_LIMIT: f64 = 2.0;
/// Factor by which a refusal lowers the limit.
const DECREASE: f64 = 0.7;
/// Increase of the limit for a statement that was answered while others waited, divided
/// by the limit: one more after four times as many answers as the limit.
const INCREASE: f64 = 0.25;
/// Refusals closer together than this count as one.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The concurrency limit of one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    max_limit: f64,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// The initial limit for an instance that announces `capacity` concurrent
    /// statements and to which the node may hold `connections`.
    pub fn new(capacity: usize, connections: usize) -> Self {
        let max_limit = (connections as f64).max(1.0);
        let start = (capacity as f64 * START_CAPACITIES)
            .max(MIN_LIMIT)
            .min(max_limit);
        Self {
            limit: start,
            max_limit,
            decreased_at: None,
        }
    }

    /// Sets the number of connections that the node may hold now.
    pub fn set_connections(&mut self, connections: usize) {
        self.max_limit = (connections as f64).max(1.0);
        self.limit = self.limit.min(self.max_limit);
    }

    /// Number of statements that may be in flight.
    pub fn get(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// Records an answer of the instance while other statements waited at the node.
    pub fn record_answer_under_load(&mut self) {
        self.limit = (self.limit + INCREASE / self.limit).min(self.max_limit);
    }

    /// Records a refusal because the instance had no room.
    pub fn record_refusal(&mut self, now: Instant) {
        let is_new = self
            .decreased_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DECREASE_INTERVAL);
        if is_new {
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT.min(self.max_limit));
        }
    }
}
