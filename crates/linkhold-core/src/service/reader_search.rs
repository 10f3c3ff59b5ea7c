//! How a node that does not read the store finds a reader to follow, and when
//! it turns to the store itself.
//!
//! The node tries some readers in turn. If none of them is of use by a random
//! moment soon after its trust has ended, it looks at the store once: all nodes
//! lose their readers together when the store fails. If the store answers it and
//! still no reader is of use, the node reads the store itself for a while. If the
//! store does not answer either, the node stays with readers in turn until one
//! finds the store back, and looks again from time to time: the store may be away
//! for some nodes only.
//!
//! # Invariant
//!
//! A node whose readers are all of no use while the store answers it reads the
//! store within twice [`Freshness::search_time`], the time of two tries of a reader
//! and of one call, after its trust has ended: within the bound on changes. If
//! the store did not answer it then, the node reads within its trust and twice
//! [`Freshness::search_time`] after the store does.

use std::time::{Duration, Instant};

use super::readers::Freshness;

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Follow the next reader, and leave it as soon as it has lost the store.
    Follow,
    /// Follow a reader, also one that has lost the store, until then.
    Stay(Instant),
    /// Ask the store once.
    CheckStore,
    /// Read the store.
    Read,
}

/// Shortest and longest pause between two looks at a store that does not answer,
/// in percent of the trust in a reader: the store may be away for some nodes
/// only, and this one must find out soon that it is not any more.
const LOOK_PAUSE_PERCENTS: [u32; 2] = [50, 90];
/// After the first round, of so many readers in turn one is stayed with.
const STAY_EVERY: usize = 3;
/// How long a node stays with a reader that has lost the store before it tries
/// others: some may not have lost it.
const STAY_TIME: Duration = Duration::from_millis(1_500);
/// The same while it waits for a reader to find out that the store is back.
const CONFIRMATION_STAY: Duration = Duration::from_millis(300);
/// Part of its time to search that a node takes if it cannot serve yet.
const STARTING_PART: u32 = 4;

/// A search for a reader. Begins anew whenever a reader was trusted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReaderSearch {
    failed: usize,
    /// When the store is looked at, from the first reader that failed on.
    look_at: Option<Instant>,
    /// Until when readers have time to find out what a look found: the store
    /// answers.
    confirmed_at: Option<Instant>,
}

/// What the node knows when it decides.
#[derive(Clone, Copy, Debug)]
pub struct SearchSituation {
    /// Now.
    pub now: Instant,
    /// Until when what the last reader told may be used.
    pub trusted_until: Instant,
    /// Readers that are tried in a first round.
    pub readers: usize,
    /// Whether callers are served meanwhile.
    pub can_serve: bool,
    /// How fresh knowledge is kept.
    pub freshness: Freshness,
}

impl SearchSituation {
    fn time_to_search(&self) -> Duration {
        if self.can_serve {
            self.freshness.search_time
        } else {
            self.freshness.search_time / STARTING_PART
        }
    }
}

impl ReaderSearch {
    /// Readers that were of no use, since one was trusted.
    pub fn failed_readers(&self) -> usize {
        self.failed
    }

    /// A reader was of no use. `draw`, uniform between 0 and 1, spreads the looks
    /// of nodes that lose their readers together.
    pub fn record_reader_failure(&mut self, situation: &SearchSituation, draw: f64) {
        self.failed += 1;
        self.look_at.get_or_insert_with(|| {
            let untrusted_at = situation.trusted_until.max(situation.now);
            untrusted_at + situation.time_to_search().mul_f64(draw)
        });
    }

    /// The store answered a look, or did not; `draw` spreads the next one.
    pub fn record_store_check(
        &mut self,
        has_answered: bool,
        situation: &SearchSituation,
        draw: f64,
    ) {
        if has_answered {
            self.confirmed_at = Some(situation.now + situation.time_to_search());
            return;
        }
        let [shortest, longest] = LOOK_PAUSE_PERCENTS;
        let trust = situation.freshness.trust_period;
        let spread = (trust * (longest - shortest) / 100).mul_f64(draw);
        self.look_at = Some(situation.now + trust * shortest / 100 + spread);
    }

    /// What to do next.
    pub fn next(&self, situation: &SearchSituation) -> Step {
        let now = situation.now;
        if let Some(confirmed_at) = self.confirmed_at {
            return if now >= confirmed_at {
                Step::Read
            } else {
                Step::Stay(confirmed_at.min(now + CONFIRMATION_STAY))
            };
        }
        let further = self.failed.checked_sub(situation.readers);
        let stays = further.is_some_and(|further| further % STAY_EVERY == 0);
        match self.look_at {
            Some(look_at) if now >= look_at => Step::CheckStore,
            Some(look_at) if stays => Step::Stay(look_at.min(now + STAY_TIME)),
            Some(_) | None => Step::Follow,
        }
    }
}
