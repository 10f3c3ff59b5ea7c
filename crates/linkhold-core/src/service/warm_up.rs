//! Instances that have just started and may get few requests a second from the whole
//! fleet until they are warm.
//!
//! Only the owners of an instance's connections send to it. An owner knows that the
//! instance is warm by a connection of its own that has been open, and has answered,
//! since the instance's entry said so: a restart would have broken it. While an owner
//! does not know this, and while the instance is cold, only the first [`SENDERS`]
//! owners in the order that all nodes share send, each within its share of
//! [`WarmUpRules::max_requests`].
//!
//! # Invariants
//!
//! * An owner that sends without counting has a connection that was opened at least the
//!   settling time ago, and has seen the instance listed as of a later moment
//!   ([`Warmth::record_listing`]): an instance that was listed then had written its
//!   entry in between, so the entry is that of the incarnation to which the connection
//!   is open. That connection has answered a question sent after the last doubt and
//!   within [`ANSWER_VALIDITY`]. The connection on which the owner sends was opened
//!   before that question was sent: a restart since then would have broken it as well.
//! * What one node counts in any second is at most its share, and the shares of all
//!   senders together are at most the maximum.
//! * A node counts as a sender only while its view of the fleet is recent, and only
//!   after the others had time to learn of it ([`may_send`]). So a node that was
//!   frozen, cut off or restarted does not send in addition to the node that took its
//!   rank.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Owners that may send to a cold instance.
pub const SENDERS: usize = 2;
/// How often an owner asks on the connection by which it knows that an instance is
/// warm.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// How long an answer proves that the connection is open: one question may be missed.
pub const ANSWER_VALIDITY: Duration = Duration::from_millis(1_300);
/// Intervals of the instances' announcements after which an entry that was not
/// rewritten has expired: three, and half of one for a store that removes it late.
const SETTLING_INTERVALS: f64 = 3.5;
/// Maximum age of the view of the fleet: less than the time after which others consider
/// a node gone.
const MAX_VIEW_AGE: Duration = Duration::from_millis(6_000);
/// How long others may take to learn of a node that was not listed before.
const JOINING_PERIOD: Duration = Duration::from_millis(10_000);
/// How long requests that a node sent before its restart still count.
const PREVIOUS_INCARNATION_PERIOD: Duration = Duration::from_millis(1_100);
/// The maximum applies to any second; the rest is for a clock that is read late.
const WINDOW: Duration = Duration::from_millis(1_020);
/// Divisor for the part of a sender's requests that only urgent ones may use.
const URGENT_DIVISOR: usize = 3;
/// Longest time after which a refused caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// A service's limit for its cold instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimit {
    /// Requests per second.
    pub per_second: f64,
    /// How long an instance is cold after its start.
    pub length: Duration,
}

/// How the limit is applied, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRules {
    /// Factor by which the limit is multiplied.
    pub overshoot: f64,
    /// Requests per second added to that.
    pub slack: f64,
    /// How often instances write their entries.
    pub announcement_interval: Duration,
}

impl WarmUpRules {
    /// Requests that may reach a cold instance in any second.
    pub fn max_requests(&self, limit: WarmUpLimit) -> f64 {
        limit.per_second * self.overshoot + self.slack
    }

    /// Requests that one sender may send in any second.
    pub fn sender_share(&self, limit: WarmUpLimit) -> usize {
        (self.max_requests(limit) / SENDERS as f64).floor() as usize
    }

    /// How long a connection must have been open before it proves anything. By then, an
    /// entry from before it was opened has expired, if its instance was restarted just
    /// then and does not reach the store.
    pub fn settling_time(&self) -> Duration {
        self.announcement_interval.mul_f64(SETTLING_INTERVALS)
    }
}

/// The connection by which an owner knows whether an instance was restarted.
#[derive(Clone, Copy, Debug)]
struct Watch {
    opened_at: Instant,
    /// When the last answered question was sent.
    answered_as_of: Option<Instant>,
    /// The entry that the incarnation at its other end has written was seen.
    is_incarnation_listed: bool,
}

/// A node's knowledge of whether an instance is warm.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    watch: Option<Watch>,
    doubted_at: Option<Instant>,
}

impl Warmth {
    /// Records that a connection to watch the instance by was opened.
    pub fn watch_opened(&mut self, now: Instant) {
        self.watch = Some(Watch {
            opened_at: now,
            answered_as_of: None,
            is_incarnation_listed: false,
        });
    }

    /// Records that a question sent at `sent_at` was answered on the watched
    /// connection.
    pub fn record_answer(&mut self, sent_at: Instant) {
        if let Some(watch) = &mut self.watch {
            watch.answered_as_of = watch.answered_as_of.max(Some(sent_at));
        }
    }

    /// Records that the watched connection broke or is no longer kept.
    pub fn watch_closed(&mut self) {
        self.watch = None;
    }

    /// Records that another connection broke, or could not be made, so that the
    /// instance may have been restarted. Returns whether this requires an answer that
    /// was not required already.
    pub fn record_doubt(&mut self, now: Instant) -> bool {
        let known = self.watch.and_then(|watch| watch.answered_as_of);
        let is_new = self.doubted_at.is_none_or(|at| known > Some(at));
        self.doubted_at = Some(now);
        is_new
    }

    /// Whether the last answered question was sent at or after a moment. An instance
    /// that was not restarted since that moment is then proved to have been warm at it.
    pub fn is_answered_since(&self, moment: Instant) -> bool {
        let as_of = self.watch.and_then(|watch| watch.answered_as_of);
        as_of.is_some_and(|as_of| as_of >= moment)
    }

    /// Records whether the instance was listed as of a moment. An entry that existed
    /// for the settling time after the connection was opened is that of the incarnation
    /// to which the connection was opened; that holds while the connection is open.
    pub fn record_listing(&mut self, rules: &WarmUpRules, is_listed: bool, as_of: Option<Instant>) {
        if let Some(watch) = &mut self.watch {
            let settled_at = watch.opened_at + rules.settling_time();
            watch.is_incarnation_listed |= is_listed && as_of >= Some(settled_at);
        }
    }

    /// Whether the entry is known to be that of the incarnation to which the connection
    /// is open.
    pub fn is_incarnation_listed(&self) -> bool {
        self.watch.is_some_and(|watch| watch.is_incarnation_listed)
    }

    /// Whether the instance is certainly warm. `says_cold` is whether its entry says
    /// that it is cold.
    pub fn is_warm(&self, rules: &WarmUpRules, says_cold: bool, now: Instant) -> bool {
        let Some(watch) = self.watch else {
            return false;
        };
        let Some(as_of) = watch.answered_as_of else {
            return false;
        };
        !says_cold
            && now >= watch.opened_at + rules.settling_time()
            && now <= as_of + ANSWER_VALIDITY
            && self.doubted_at.is_none_or(|at| as_of > at)
    }
}

/// What decides whether a node may send to an instance that is not known to be warm.
#[derive(Clone, Copy, Debug)]
pub struct SenderRank {
    /// Its rank among the owners, in the order that all nodes share.
    pub rank: Option<usize>,
    /// Age of its view of the fleet.
    pub view_age: Duration,
    /// How long ago it was started.
    pub uptime: Duration,
    /// The fleet listed it before that start.
    pub was_listed: bool,
}

/// Whether a node may send to an instance that is not known to be warm.
pub fn may_send(sender: SenderRank) -> bool {
    let min_uptime = if sender.was_listed {
        PREVIOUS_INCARNATION_PERIOD
    } else {
        JOINING_PERIOD
    };
    sender.rank.is_some_and(|rank| rank < SENDERS)
        && sender.view_age < MAX_VIEW_AGE
        && sender.uptime >= min_uptime
}

/// Requests that a sender has sent to an instance in the last second.
#[derive(Clone, Debug, Default)]
pub struct RequestWindow {
    sent: VecDeque<Instant>,
}

impl RequestWindow {
    /// Counts one request if fewer than `max_requests` are counted, or returns how long
    /// until one may be. Some of them are reserved for urgent requests.
    pub fn try_count(
        &mut self,
        now: Instant,
        max_requests: usize,
        is_urgent: bool,
    ) -> Result<(), Duration> {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        let allowed = if is_urgent {
            max_requests
        } else {
            max_requests - max_requests / URGENT_DIVISOR
        };
        if self.sent.len() < allowed {
            self.sent.push_back(now);
            return Ok(());
        }
        // The first request whose expiry makes room.
        let index = self.sent.len().saturating_sub(allowed.max(1));
        let frees_at = self.sent.get(index).map(|at| *at + WINDOW);
        Err(frees_at.map_or(MAX_RETRY_AFTER, |at| at.saturating_duration_since(now)))
    }

    /// Requests counted in the second before `now`.
    pub fn count(&self, now: Instant) -> usize {
        let recent = self.sent.iter().filter(|at| **at + WINDOW > now);
        recent.count()
    }
}
