//! How long a node certainly counts as one of the fleet.
//!
//! Whoever replaces a primary asks every node that the store lists. A node knows
//! that it is listed by the renewals of its registration that the store confirmed,
//! its own or those of the reader that it follows. Each counts from before it was
//! sent, by the node's own steady clock, so that time on the way, or in a process
//! that was paused, makes a listing older and never younger.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::readers::ROW_EXPIRY;

/// Part of a row's life that is left for steady clocks that run apart, and for the
/// time between a look at the clock and what follows from it.
pub const LISTING_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a node counts on a renewal after it was sent.
pub const LISTING_VALIDITY: Duration = ROW_EXPIRY.saturating_sub(LISTING_MARGIN);

/// What a node knows of its own listing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    /// When the last renewal that the store confirmed was sent.
    renewed_at: Option<Instant>,
}

impl Listing {
    /// The store confirmed a renewal that was sent at a moment.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// When the last renewal that the store confirmed was sent; `None` if none was.
    pub fn renewed_at(&self) -> Option<Instant> {
        self.renewed_at
    }

    /// Until when the node certainly counts; `None` if it was never listed.
    pub fn valid_until(&self) -> Option<Instant> {
        self.renewed_at.map(|at| at + LISTING_VALIDITY)
    }

    /// Whether the node certainly counts at a moment.
    pub fn is_valid(&self, moment: Instant) -> bool {
        self.valid_until().is_some_and(|until| moment < until)
    }
}

/// The renewals that a follower has sent on a stream, by their numbers.
///
/// Numbers start anywhere, so that what a reader still says of an earlier stream
/// confirms nothing of this one.
#[derive(Debug)]
pub struct SentRenewals {
    next: u64,
    /// Those that were not confirmed yet, oldest first.
    sent: VecDeque<(u64, Instant)>,
    /// The one that was confirmed last.
    last_confirmed: Option<(u64, Instant)>,
}

/// Renewals whose confirmation is waited for, at the most: more than are sent while
/// a listing holds.
const MOST_SENT: usize = 64;

impl SentRenewals {
    /// Nothing was sent; the first renewal will have this number.
    pub fn starting_at(number: u64) -> Self {
        Self {
            next: number,
            sent: VecDeque::new(),
            last_confirmed: None,
        }
    }

    /// A renewal is about to be sent; its number.
    pub fn send(&mut self, now: Instant) -> u64 {
        let number = self.next;
        self.next = number.wrapping_add(1);
        self.sent.push_back((number, now));
        if self.sent.len() > MOST_SENT {
            self.sent.pop_front();
        }
        number
    }

    /// A renewal is confirmed, and with it those before it; when it was sent, if it is
    /// one of this stream.
    pub fn confirm(&mut self, number: u64) -> Option<Instant> {
        let index = self.sent.iter().position(|(sent, _)| *sent == number)?;
        let (_, sent_at) = self.sent[index];
        self.sent.drain(..=index);
        self.last_confirmed = Some((number, sent_at));
        Some(sent_at)
    }

    /// When a renewal was sent; `None` if that is not known any more.
    pub fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut known = self.sent.iter().chain(&self.last_confirmed);
        let (_, sent_at) = known.find(|(sent, _)| *sent == number)?;
        Some(*sent_at)
    }
}
