//! What traffic tells about one instance: failures, silence, load, how far its
//! log has come.

use std::time::{Duration, Instant};

use crate::position::Position;

/// First pause after a failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);
/// Longest pause between trials of a failing instance.
const LONGEST_BACKOFF: Duration = Duration::from_millis(2_000);
/// How long a trial keeps others away.
const TRIAL_TIME: Duration = Duration::from_millis(600);
/// Shortest pause before an instance that lacked a position is tried again.
const LEAST_CATCH_UP: Duration = Duration::from_millis(40);
/// Longest such pause.
const MOST_CATCH_UP: Duration = Duration::from_millis(400);
/// Part of the time for which it has been behind that is waited for, in percent:
/// one that has been behind for long will be for longer.
const CATCH_UP_PERCENT: u32 = 20;
/// Share of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// An instance's log lacked a position that a read required.
#[derive(Clone, Copy, Debug)]
struct Behind {
    since: Instant,
    found_at: Instant,
}

/// Health of one instance as one node sees it.
#[derive(Debug, Default)]
pub struct InstanceHealth {
    consecutive_failures: u32,
    failing_since: Option<Instant>,
    last_success: Option<Instant>,
    avoid_until: Option<Instant>,
    held: Option<Position>,
    behind: Option<Behind>,
    busy_until: Option<Instant>,
    latency: Option<f64>,
    in_flight: usize,
}

impl InstanceHealth {
    /// A statement is sent.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// A statement sent before has ended in any way.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// It answered, whatever the answer.
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

    /// It could not be reached or did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        self.failing_since.get_or_insert(now);
        let doubled = FIRST_BACKOFF * 2_u32.pow((self.consecutive_failures - 1).min(4));
        self.avoid_until = Some(now + doubled.min(LONGEST_BACKOFF));
    }

    /// A failing instance is tried again, by one request: others leave it alone
    /// meanwhile.
    pub fn begin_trial(&mut self, now: Instant) {
        if self.is_failing() {
            self.avoid_until = Some(now + TRIAL_TIME);
        }
    }

    /// It lacked a position that a read required.
    pub fn record_lag(&mut self, now: Instant) {
        // What it held may have been rolled back.
        self.held = None;
        let since = self.behind.map_or(now, |behind| behind.since);
        self.behind = Some(Behind {
            since,
            found_at: now,
        });
    }

    /// It said that its log has come so far.
    pub fn record_position(&mut self, position: Position) {
        self.held = self.held.max(Some(position));
    }

    /// It had what a read required.
    pub fn record_fresh_read(&mut self) {
        self.behind = None;
    }

    /// Whether it is not worth asking for a read that requires a position: it is
    /// not known to have come so far, and lacked one a moment ago.
    pub fn lacks(&self, required: Position, now: Instant) -> bool {
        let Some(behind) = self.behind else {
            return false;
        };
        if self.held.is_some_and(|held| held >= required) {
            return false;
        }
        let behind_for = behind.found_at.saturating_duration_since(behind.since);
        let pause = (behind_for * CATCH_UP_PERCENT / 100).clamp(LEAST_CATCH_UP, MOST_CATCH_UP);
        now < behind.found_at + pause
    }

    /// It had no free slot.
    pub fn record_busy(&mut self, now: Instant, pause: Duration) {
        self.busy_until = Some(now + pause);
    }

    /// Whether it should be left alone for now.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }

    /// Whether it has failed and has not answered since.
    pub fn is_failing(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether it recently had no free slot.
    pub fn is_busy(&self, now: Instant) -> bool {
        self.busy_until.is_some_and(|until| now < until)
    }

    /// When it last answered.
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success
    }

    /// Moving average of the time to an answer.
    pub fn latency(&self) -> Option<Duration> {
        self.latency.map(Duration::from_secs_f64)
    }

    /// Statements sent and not answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}
