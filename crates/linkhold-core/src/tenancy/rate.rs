//! What a tenant's limit lets through in a sliding window.

use std::time::{Duration, Instant};

use super::tenant::RateLimit;

/// How limits are counted, as operators set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRules {
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of the limit by which a window may exceed it.
    pub overshoot: f64,
    /// Operations by which a window may exceed it besides.
    pub slack: f64,
}

/// What a limit comes to in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Operations that a tenant is owed.
    pub guaranteed: f64,
    /// Operations that may never be exceeded, whatever goes wrong.
    pub max: f64,
}

impl QuotaRules {
    /// What a limit comes to.
    pub fn window_limit(&self, limit: RateLimit) -> WindowLimit {
        let guaranteed = limit.rate_per_second * self.window.as_secs_f64() + limit.burst;
        WindowLimit {
            guaranteed,
            max: guaranteed * (1.0 + self.overshoot) + self.slack,
        }
    }
}

/// Counts things that count until a moment of their own.
#[derive(Clone, Debug, Default)]
pub struct ExpiringCount {
    /// In no order of their moments, which differ by less than the longest life.
    entries: Vec<(Instant, u64)>,
    total: u64,
}

impl ExpiringCount {
    /// Counts `amount` until a moment.
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

    /// What counts now.
    pub fn total(&mut self, now: Instant) -> u64 {
        let total = &mut self.total;
        self.entries.retain(|(until, amount)| {
            let counts = now < *until;
            if !counts {
                *total -= amount;
            }
            counts
        });
        self.total
    }

    /// Takes one of what expires first; whether there was one.
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
