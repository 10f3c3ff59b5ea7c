//! Instances that have just started and may get few requests a second from the
//! whole fleet until they are warm.
//!
//! Only the owners of an instance's connections send to it. An owner knows that it
//! is warm by a connection of its own that has stood, and answered, since the
//! instance's entry said so: a restart would have broken it. While it does not
//! know, and while the instance is cold, only the first [`SENDERS`] owners in the
//! order that all nodes share send, each within its part of the bound.
//!
//! # Invariants
//!
//! * An owner that sends without counting has a connection that was opened at
//!   least the settling time ago, and has seen the instance listed as of later than that
//!   ([`Warmth::record_listing`]): whoever was listed then had written its entry since, so the
//!   entry is that of the life to which the connection leads. And that connection
//!   has answered a question sent after the last doubt and within [`ANSWER_VALIDITY`].
//!   The connection on which it sends was opened before that question was sent: a
//!   restart since then would have broken it as well.
//! * What one node counts in any second is at most its part of the bound, and the
//!   parts of all spenders together are at most the bound.
//! * A node counts as a spender only while it has heard of the fleet lately, and
//!   only after the others had time to learn of it ([`may_send`]). So a node that
//!   froze, was cut off or was started again is a spender in nobody's place.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Owners that may send to a cold instance.
pub const SENDERS: usize = 2;
/// How often an owner asks on the connection by which it knows an instance warm.
pub const QUESTION_INTERVAL: Duration = Duration::from_millis(500);
/// How long an answer tells that the connection stands: a question may be missed.
pub const ANSWER_VALIDITY: Duration = Duration::from_millis(1_300);
/// Intervals of the instances' announcements after which an entry that was not written has
/// gone: three, and half of one for a store that removes it late.
const SETTLING_INTERVALS: f64 = 3.5;
/// How long the fleet may not have been heard of: less than the time after which
/// others take a node for gone.
const VIEW_TRUST: Duration = Duration::from_millis(6_000);
/// How long others may take to learn of a node that was not listed before.
const JOINING_TIME: Duration = Duration::from_millis(10_000);
/// What a node spent in its last life counts for a second.
const LAST_LIFE: Duration = Duration::from_millis(1_100);
/// The bound counts in any second; the rest is for a clock that is read late.
const WINDOW: Duration = Duration::from_millis(1_020);
/// Part of a spender's requests that only urgent ones may use, as a divisor.
const URGENT_PART: usize = 3;
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_millis(1_000);

/// What a service allows its cold instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimit {
    /// Requests a second.
    pub per_second: f64,
    /// How long an instance is cold after its start.
    pub length: Duration,
}

/// How the limit is counted, as operators set it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRules {
    /// By what the limit is multiplied.
    pub overshoot: f64,
    /// Requests a second besides.
    pub slack: f64,
    /// How often instances write their entries.
    pub announcement_interval: Duration,
}

impl WarmUpRules {
    /// Requests that may reach a cold instance in any second.
    pub fn max_requests(&self, limit: WarmUpLimit) -> f64 {
        limit.per_second * self.overshoot + self.slack
    }

    /// Requests that one spender may send in any second.
    pub fn sender_share(&self, limit: WarmUpLimit) -> usize {
        (self.max_requests(limit) / SENDERS as f64).floor() as usize
    }

    /// How long a connection must have stood before it proves anything: an entry from
    /// before it was opened, of an instance that started again just then and does not reach
    /// the store, has gone by then.
    pub fn settling_time(&self) -> Duration {
        self.announcement_interval.mul_f64(SETTLING_INTERVALS)
    }
}

/// The connection by which an owner knows whether an instance was started again.
#[derive(Clone, Copy, Debug)]
struct Watch {
    opened_at: Instant,
    /// When the last question was sent that was answered.
    answered_as_of: Option<Instant>,
    /// The entry was seen that the life to which it leads has written.
    is_incarnation_listed: bool,
}

/// What a node knows of an instance's warmth.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    watch: Option<Watch>,
    doubted_at: Option<Instant>,
}

impl Warmth {
    /// A connection to watch it by was opened.
    pub fn watch_opened(&mut self, now: Instant) {
        self.watch = Some(Watch {
            opened_at: now,
            answered_as_of: None,
            is_incarnation_listed: false,
        });
    }

    /// A question that was sent at `sent_at` was answered on that connection.
    pub fn record_answer(&mut self, sent_at: Instant) {
        if let Some(watch) = &mut self.watch {
            watch.answered_as_of = watch.answered_as_of.max(Some(sent_at));
        }
    }

    /// That connection broke, or is no longer kept.
    pub fn watch_closed(&mut self) {
        self.watch = None;
    }

    /// Another connection broke, or could not be made: it may have been started
    /// again. Whether this asks for an answer that was not asked for already.
    pub fn record_doubt(&mut self, now: Instant) -> bool {
        let known = self.watch.and_then(|watch| watch.answered_as_of);
        let was_sure = self.doubted_at.is_none_or(|at| known > Some(at));
        self.doubted_at = Some(now);
        was_sure
    }

    /// Whether an instance that was not started again since a moment is proved to have
    /// been warm then: the question that was answered last was sent later.
    pub fn is_answered_since(&self, moment: Instant) -> bool {
        let as_of = self.watch.and_then(|watch| watch.answered_as_of);
        as_of.is_some_and(|as_of| as_of >= moment)
    }

    /// Whether the instance is listed is known as of a moment. An entry that stood for the
    /// settling time after the connection was opened is that of the life to which it leads;
    /// that stays so while the connection stands.
    pub fn record_listing(&mut self, rules: &WarmUpRules, is_listed: bool, as_of: Option<Instant>) {
        if let Some(watch) = &mut self.watch {
            let settled_at = watch.opened_at + rules.settling_time();
            watch.is_incarnation_listed |= is_listed && as_of >= Some(settled_at);
        }
    }

    /// Whether the entry is known to be that of the life to which the connection leads.
    pub fn is_incarnation_listed(&self) -> bool {
        self.watch.is_some_and(|watch| watch.is_incarnation_listed)
    }

    /// Whether it is certainly warm. `says_cold`: so does its entry.
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

/// What decides whether a node may send to an instance that is not known warm.
#[derive(Clone, Copy, Debug)]
pub struct SenderRank {
    /// Its place among the owners, in the order that all nodes share.
    pub rank: Option<usize>,
    /// How long ago it heard of the fleet.
    pub view_age: Duration,
    /// How long this life of it has lasted.
    pub uptime: Duration,
    /// The fleet listed it before this life.
    pub was_listed: bool,
}

/// Whether a node may send to an instance that is not known warm.
pub fn may_send(standing: SenderRank) -> bool {
    let joined = if standing.was_listed {
        LAST_LIFE
    } else {
        JOINING_TIME
    };
    standing.rank.is_some_and(|rank| rank < SENDERS)
        && standing.view_age < VIEW_TRUST
        && standing.uptime >= joined
}

/// What a spender has sent to an instance in the last second.
#[derive(Clone, Debug, Default)]
pub struct RequestWindow {
    sent: VecDeque<Instant>,
}

impl RequestWindow {
    /// Counts one request if there is room for it among `most`, or tells when there
    /// will be. Some room is kept for urgent ones.
    pub fn try_count(
        &mut self,
        now: Instant,
        most: usize,
        is_urgent: bool,
    ) -> Result<(), Duration> {
        while self.sent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.sent.pop_front();
        }
        let allowed = if is_urgent {
            most
        } else {
            most - most / URGENT_PART
        };
        if self.sent.len() < allowed {
            self.sent.push_back(now);
            return Ok(());
        }
        // The first whose leaving makes room.
        let leaves = self.sent.len().saturating_sub(allowed.max(1));
        let frees_at = self.sent.get(leaves).map(|at| *at + WINDOW);
        Err(frees_at.map_or(LONGEST_RETRY, |at| at.saturating_duration_since(now)))
    }

    /// Requests counted in the second before `now`.
    pub fn count(&self, now: Instant) -> usize {
        let recent = self.sent.iter().filter(|at| **at + WINDOW > now);
        recent.count()
    }
}
