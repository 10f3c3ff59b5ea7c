//! How long a node certainly counts as a member of the fleet.
//!
//! A node that replaces a primary asks every node that the store lists. A node knows
//! that it is listed by the renewals of its registration that the store confirmed, its
//! own or those of the reader that it follows. Each counts from before it was sent, by
//! the node's own steady clock, so that delays on the way or in a paused process make a
//! listing older and never younger.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::readers::ROW_EXPIRY;

/// Part of a row's validity that is kept in reserve for the drift of steady clocks, and
/// for the time between reading the clock and acting on it.
pub const LISTING_MARGIN: Duration = Duration::from_millis(1_000);
/// How long a renewal guarantees that the node is listed, from when it was sent.
pub const LISTING_VALIDITY: Duration = ROW_EXPIRY.saturating_sub(LISTING_MARGIN);

/// A node's knowledge of its own listing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listing {
    /// When the last renewal that the store confirmed was sent.
    renewed_at: Option<Instant>,
}

impl Listing {
    /// Records that the store confirmed a renewal sent at `sent_at`.
    pub fn record_renewal(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// When the last renewal that the store confirmed was sent; `None` if none was.
    pub fn renewed_at(&self) -> Option<Instant> {
        self.renewed_at
    }

    /// Until when the node is certainly listed; `None` if it never was.
    pub fn valid_until(&self) -> Option<Instant> {
        self.renewed_at.map(|at| at + LISTING_VALIDITY)
    }

    /// Whether the node is certainly listed at a moment.
    pub fn is_valid(&self, moment: Instant) -> bool {
        self.valid_until().is_some_and(|until| moment < until)
    }
}

/// The renewals that a follower has sent on a stream, by their numbers.
///
/// Numbers start anywhere, so that a reader's confirmation for an earlier stream
/// confirms nothing of this one.
#[derive(Debug)]
pub struct SentRenewals {
    next: u64,
    /// Renewals that were not confirmed yet, oldest first.
    sent: VecDeque<(u64, Instant)>,
    /// The renewal that was confirmed last.
    last_confirmed: Option<(u64, Instant)>,
}

/// Maximum number of unconfirmed renewals kept: more than are sent while a listing is
/// valid.
const MAX_SENT: usize = 64;

impl SentRenewals {
    /// Starts without any renewal sent; the first one gets this number.
    pub fn starting_at(number: u64) -> Self {
        Self {
            next: number,
            sent: VecDeque::new(),
            last_confirmed: None,
        }
    }

    /// Registers a renewal that is about to be sent; returns its number.
    pub fn send(&mut self, now: Instant) -> u64 {
        let number = self.next;
        self.next = number.wrapping_add(1);
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        number
    }

    /// Confirms a renewal and those before it. Returns when it was sent; `None` if it
    /// is not of this stream or was confirmed before.
    pub fn confirm(&mut self, number: u64) -> Option<Instant> {
        let index = self.sent.iter().position(|(sent, _)| *sent == number)?;
        let (_, sent_at) = self.sent[index];
        self.sent.drain(..=index);
        self.last_confirmed = Some((number, sent_at));
        Some(sent_at)
    }

    /// When a renewal was sent; `None` if that is no longer known.
    pub fn sent_at(&self, number: u64) -> Option<Instant> {
        let mut known = self.sent.iter().chain(&self.last_confirmed);
        let (_, sent_at) = known.find(|(sent, _)| *sent == number)?;
        Some(*sent_at)
    }
}
