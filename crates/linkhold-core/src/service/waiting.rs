//! How long a request may wait for a free slot or for a primary before it is refused.
//!
//! An early refusal lets the caller retry elsewhere within its latency objective. The
//! wait is a fixed part of that objective.

use std::time::Duration;

/// Part of the latency objective that may be spent on waiting, in percent.
const WAIT_PERCENT: u32 = 23;

/// Longest wait of a request with this latency objective.
pub fn max_wait(latency_objective: Duration) -> Duration {
    latency_objective * WAIT_PERCENT / 100
}
