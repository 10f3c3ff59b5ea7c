//! Health of one instance as observed from traffic: failures, silence, load, and how
//! far its log has come.

use std::time::{Duration, Instant};

use crate::position::Position;

/// First pause after a failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause between trials of a failing instance.
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
/// How long a trial keeps other requests away.
const TRIAL_PERIOD: Duration = Duration::from_millis(600);
/// Shortest pause before an instance that lacked a position is tried again.
const MIN_CATCH_UP_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause before an instance that lacked a position is tried again.
const MAX_CATCH_UP_PAUSE: Duration = Duration::from_millis(400);
/// Pause for an instance that is behind, in percent of the time for which it has been
/// behind: one that has been behind for long will be for longer.
const CATCH_UP_PERCENT: u32 = 20;
/// Share of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// The state of an instance whose log lacked a position that a read required.
#[derive(Clone, Copy, Debug)]
struct Behind {
    since: Instant,
    observed_at: Instant,
}

/// Health of one instance as one node sees it.
#[derive(Debug, Default)]
pub struct InstanceHealth {
    consecutive_failures: u32,
    failing_since: Option<Instant>,
    last_success: Option<Instant>,
    avoid_until: Option<Instant>,
    known_position: Option<Position>,
    behind: Option<Behind>,
    busy_until: Option<Instant>,
    latency: Option<f64>,
    in_flight: usize,
}

impl InstanceHealth {
    /// Records that a statement is sent.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records that a statement sent before has ended in any way.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that the instance answered, whatever the answer.
    pub fn record_success(&mut self, now: Instant, took: Duration) {
        self.consecutive_failures = 0;
        self.failing_since = None;
        self.avoid_until = None;
        self.last_success = Some(now);
        let seconds = took.as_secs_f64();
        self.latency = Some(match self.latency {
            Some(average) => average + LATENCY_WEIGHT * (seconds - average),
            None => seconds,
        });
    }

    /// Records that the instance could not be reached or did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failing_since.get_or_insert(now);
        let doubled = FIRST_BACKOFF * 2_u32.pow((self.consecutive_failures - 1).min(4));
        self.avoid_until = Some(now + doubled.min(MAX_BACKOFF));
    }

    /// Begins a trial of a failing instance by one request: others avoid the instance
    /// meanwhile.
    pub fn begin_trial(&mut self, now: Instant) {
        if self.is_failing() {
            self.avoid_until = Some(now + TRIAL_PERIOD);
        }
    }

    /// Records that the instance lacked a position that a read required.
    pub fn record_lag(&mut self, now: Instant) {
        // The position known so far may have been rolled back.
        self.known_position = None;
        let since = self.behind.map_or(now, |behind| behind.since);
        self.behind = Some(Behind {
            since,
            observed_at: now,
        });
    }

    /// Records that the instance reported a position of its log.
    pub fn record_position(&mut self, position: Position) {
        self.known_position = self.known_position.max(Some(position));
    }

    /// Records that the instance had what a read required.
    pub fn record_fresh_read(&mut self) {
        self.behind = None;
    }

    /// Whether to skip the instance for a read that requires a position: its log is not
    /// known to have come so far, and lacked a position a moment ago.
    pub fn lacks(&self, required: Position, now: Instant) -> bool {
        let Some(behind) = self.behind else {
            return false;
        };
        if self
            .known_position
            .is_some_and(|position| position >= required)
        {
            return false;
        }
        let behind_for = behind.observed_at.saturating_duration_since(behind.since);
        let pause =
            (behind_for * CATCH_UP_PERCENT / 100).clamp(MIN_CATCH_UP_PAUSE, MAX_CATCH_UP_PAUSE);
        now < behind.observed_at + pause
    }

    /// Records that the instance had no free slot; it counts as busy for `pause`.
    pub fn record_busy(&mut self, now: Instant, pause: Duration) {
        self.busy_until = Some(now + pause);
    }

    /// Whether to avoid the instance for now.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Whether the instance has failed and has not answered since.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the instance recently had no free slot.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// When the instance last answered.
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    /// Moving average of the time to an answer; `None` if there was none.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Number of statements sent and not answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
