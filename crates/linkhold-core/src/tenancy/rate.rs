//! Operations that a tenant's limit allows in a sliding window.

use std::time::{Duration, Instant};

use super::tenant::RateLimit;

/// How limits are enforced, as operators configure it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the limit by which a window may exceed it.
    pub overshoot: f64,
    /// Operations by which a window may exceed the limit in addition.
    pub slack: f64,
}

/// Operations that a rate limit allows in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Operations that the tenant is entitled to.
    pub guaranteed: f64,
    /// Operations that a window must never exceed, whatever fails.
    pub max: f64,
}

impl QuotaRules {
    /// The operations that `limit` allows in a window.
    pub fn window_limit(&self, limit: RateLimit) -> WindowLimit {
        let guaranteed = limit.rate_per_second * self.window.as_secs_f64() + limit.burst;
        WindowLimit {
            guaranteed,
            max: guaranteed * (1.0 + self.overshoot) + self.slack,
        }
    }
}

/// Counter whose entries each expire at a time of their own.
#[derive(Clone, Debug, Default)]
pub struct ExpiringCount {
    /// Expiry times and amounts, unordered; the times differ by less than the longest
    /// lifetime.
    entries: Vec<(Instant, u64)>,
    total: u64,
}

impl ExpiringCount {
    /// Adds `amount`, which expires at `until`.
    pub fn add(&mut self, until: Instant, amount: u64) {
        if amount == 0 {
            return;
        }
        self.total += amount;
        match self.entries.last_mut() {
            Some((last, count)) if *last == until => *count += amount,
            _ => self.entries.push((until, amount)),
        }
    }

    /// Sum of the entries that have not expired; removes the others.
    pub fn total(&mut self, now: Instant) -> u64 {
        let total = &mut self.total;
        self.entries.retain(|(until, amount)| {
            let is_valid = now < *until;
            if !is_valid {
                *total -= amount;
            }
            is_valid
        });
        self.total
    }

    /// Takes one from the entry that expires first; `false` if there is none.
    pub fn take_one(&mut self, now: Instant) -> bool {
        if self.total(now) == 0 {
            return false;
        }
        let first = self.entries.iter_mut().min_by_key(|(until, _)| *until);
        let Some((_, count)) = first else {
            return false;
        };
        *count -= 1;
        self.total -= 1;
        self.entries.retain(|(_, count)| *count > 0);
        true
    }
}
