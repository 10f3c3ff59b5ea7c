//! The largest value that was seen recently.

use std::time::{Duration, Instant};

/// Values in falling order, and until when each counts.
#[derive(Clone, Debug, Default)]
pub struct RecentMaximum(Vec<(usize, Instant)>);

impl RecentMaximum {
    /// Records a value that counts for `retention` from `now`.
    pub fn record(&mut self, value: usize, now: Instant, retention: Duration) {
        self.0
            .retain(|(known, until)| now < *until && *known > value);
        self.0.push((value, now + retention));
    }

    /// The largest value that still counts; 0 if there is none.
    pub fn largest(&self, now: Instant) -> usize {
        let current = self.0.iter().filter(|(_, until)| now < *until);
        current.map(|(value, _)| *value).max().unwrap_or(0)
    }
}
