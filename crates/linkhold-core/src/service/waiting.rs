//! How long a request may wait for room or for a primary before it is refused.
//!
//! A refusal that comes early lets the caller go elsewhere within its latency
//! objective. The wait is a fixed part of that objective.

use std::time::Duration;

/// Part of the latency objective that may be spent on waiting, in percent.
const WAIT_PERCENT: u32 = 23;

/// How long a request with this latency objective may wait.
pub fn max_wait(latency_objective: Duration) -> Duration {
    latency_objective * WAIT_PERCENT / 100
}
