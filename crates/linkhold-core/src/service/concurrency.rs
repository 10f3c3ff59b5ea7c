//! How many statements one node may have under way at an instance.
//!
//! An instance runs a few statements at once, lets some more wait in the order of
//! their arrival, and refuses the rest. What waits at the node instead can go in
//! the order of its urgency, and costs the instance no refusals. The limit follows
//! what the instance answers: additive increase, multiplicative decrease.
//!
//! Source: Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
//! Congestion Avoidance in Computer Networks", 1989.

use std::time::{Duration, Instant};

/// Limit at the start, in what the instance says to run at once.
const START_CAPACITIES: f64 = 2.0;
/// Smallest limit.
const LEAST: f64 = 2.0;
/// What is left of the limit after a refusal.
const DECREASE: f64 = 0.7;
/// What a statement that was answered while others waited adds, in parts of the
/// limit's inverse: one more after as many answers as the limit.
const INCREASE: f64 = 0.25;
/// Refusals closer together than this are one sign.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// The limit for one instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    most: f64,
    decreased_at: Option<Instant>,
}

impl ConcurrencyLimit {
    /// The limit at the start, for an instance that says to run `capacity`
    /// statements at once and to which the node may hold `connections`.
    pub fn new(capacity: usize, connections: usize) -> Self {
        let most = (connections as f64).max(1.0);
        let start = (capacity as f64 * START_CAPACITIES).max(LEAST).min(most);
        Self {
            limit: start,
            most,
            decreased_at: None,
        }
    }

    /// The node may hold so many connections now.
    pub fn set_connections(&mut self, connections: usize) {
        self.most = (connections as f64).max(1.0);
        self.limit = self.limit.min(self.most);
    }

    /// Statements that may be under way.
    pub fn get(&self) -> usize {
        self.limit.max(1.0) as usize
    }

    /// The instance answered while others waited here.
    pub fn record_answer_under_load(&mut self) {
        self.limit = (self.limit + INCREASE / self.limit).min(self.most);
    }

    /// The instance had no room.
    pub fn record_refusal(&mut self, now: Instant) {
        let is_news = self
            .decreased_at
            .is_none_or(|at| now.saturating_duration_since(at) >= DECREASE_INTERVAL);
        if is_news {
            self.decreased_at = Some(now);
            self.limit = (self.limit * DECREASE).max(LEAST.min(self.most));
        }
    }
}
