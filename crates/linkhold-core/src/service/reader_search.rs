//! How a node that does not read the store finds a reader to follow, and when it turns
//! to the store itself.
//!
//! The node tries some readers in turn. If none of them is usable by a random moment
//! soon after its trust has ended, it checks once whether the store answers: all nodes
//! lose their readers together when the store fails. If the store answers it and still
//! no reader is usable, the node reads the store itself for a while. If the store does
//! not answer either, the node stays with readers in turn until one of them reaches the
//! store again, and repeats the check from time to time: the store may be unavailable
//! to some nodes only.
//!
//! # Invariant
//!
//! A node without a usable reader, which the store answers, reads the store within
//! twice [`Freshness::search_time`], the time of two attempts to follow a reader and of
//! one call, after its trust has ended: within the bound on changes. If the store did
//! not answer it then, the node reads within its trust period and twice
//! [`Freshness::search_time`] after the store does.

use std::time::{Duration, Instant};

use super::readers::Freshness;

/// The next step of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Follow the next reader, and leave it as soon as it has lost the store.
    Follow,
    /// Follow a reader until then, even one that has lost the store.
    Stay(Instant),
    /// Check once whether the store answers.
    CheckStore,
    /// Read the store.
    Read,
}

/// Shortest and longest pause between two checks of a store that does not answer, in
/// percent of the trust period: the store may be unavailable to some nodes only, and
/// this one must soon detect that it answers again.
const STORE_CHECK_PAUSE_PERCENTS: [u32; 2] = [50, 90];
/// After the first round, the node stays with one of this many readers in turn.
const STAY_EVERY: usize = 3;
/// How long a node stays with a reader that has lost the store before it tries others:
/// some may not have lost it.
const STAY_PERIOD: Duration = Duration::from_millis(1_500);
/// Like [`STAY_PERIOD`], while the node waits for a reader to detect that the store
/// answers again.
const STAY_AFTER_STORE_CHECK: Duration = Duration::from_millis(300);
/// Divisor of the search time for a node that cannot serve callers yet.
const STARTING_DIVISOR: u32 = 4;

/// A search for a reader. A new one begins whenever a reader was trusted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderSearch {
    failed_readers: usize,
    /// When to check the store; set when the first reader fails.
    check_store_at: Option<Instant>,
    /// After a check that the store answered: when the node reads the store itself,
    /// unless a reader has detected by then that the store answers.
    read_store_at: Option<Instant>,
}

/// Input of a decision.
#[derive(Clone, Copy, Debug)]
pub struct SearchSituation {
    /// The current time.
    pub now: Instant,
    /// Until when the data of the last reader may be used.
    pub trusted_until: Instant,
    /// Number of readers in a first round.
    pub readers: usize,
    /// Whether callers are served meanwhile.
    pub can_serve: bool,
    /// Freshness settings of the node.
    pub freshness: Freshness,
}

impl SearchSituation {
    fn time_to_search(&self) -> Duration {
        if self.can_serve {
            self.freshness.search_time
        } else {
            self.freshness.search_time / STARTING_DIVISOR
        }
    }
}

impl ReaderSearch {
    /// Readers that were not usable since one was last trusted.
    pub fn failed_readers(&self) -> usize {
        self.failed_readers
    }

    /// Records that a reader was not usable. `draw`, uniform between 0 and 1, spreads
    /// the store checks of nodes that lose their readers together.
    pub fn record_reader_failure(&mut self, situation: &SearchSituation, draw: f64) {
        self.failed_readers += 1;
        self.check_store_at.get_or_insert_with(|| {
            let untrusted_at = situation.trusted_until.max(situation.now);
            untrusted_at + situation.time_to_search().mul_f64(draw)
        });
    }

    /// Records whether the store answered a check. `draw` spreads the next check.
    pub fn record_store_check(
        &mut self,
        has_answered: bool,
        situation: &SearchSituation,
        draw: f64,
    ) {
        if has_answered {
            self.read_store_at = Some(situation.now + situation.time_to_search());
            return;
        }
        let [shortest, longest] = STORE_CHECK_PAUSE_PERCENTS;
        let trust = situation.freshness.trust_period;
        let spread = (trust * (longest - shortest) / 100).mul_f64(draw);
        self.check_store_at = Some(situation.now + trust * shortest / 100 + spread);
    }

    /// The next step.
    pub fn next(&self, situation: &SearchSituation) -> Step {
        let now = situation.now;
        if let Some(read_store_at) = self.read_store_at {
            return if now >= read_store_at {
                Step::Read
            } else {
                Step::Stay(read_store_at.min(now + STAY_AFTER_STORE_CHECK))
            };
        }
        let extra_failures = self.failed_readers.checked_sub(situation.readers);
        let stays = extra_failures.is_some_and(|extra_failures| extra_failures % STAY_EVERY == 0);
        match self.check_store_at {
            Some(check_store_at) if now >= check_store_at => Step::CheckStore,
            Some(check_store_at) if stays => Step::Stay(check_store_at.min(now + STAY_PERIOD)),
            Some(_) | None => Step::Follow,
        }
    }
}
