//! Parts of a tenant's rate that nodes have, for when two coordinators live at once.
//!
//! A partition may leave a tenant's coordinator with some nodes only; the others turn to
//! the next one. Neither can tell that the other goes on, so both keep to what their side
//! had: a node that turns to another coordinator tells it the share that it had
//! ([`InheritedShare`]), which grants the sum of these and no more, and a coordinator that
//! nodes no longer ask gives their shares to nobody ([`RequesterShares`]). Both end when the
//! fleet's list has changed, by which time a coordinator that is cut off grants as a stand-in
//! alone.
//!
//! # What is given up
//!
//! A side may use no more of the quota than it used before. Nodes that are reached, and those
//! whose processes are known to have ended, hold nothing back.
//!
//! # What can exceed the limit
//!
//! A node that asks less than once a second is not missed: its share may be granted twice. A
//! tenant that begins to press on both sides at once has them measured from there.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::rate::ExpiringCount;
use super::tenant::RateLimit;
use crate::service::readers::ROW_EXPIRY;

/// How far back a node's share, and how often it asks, is measured.
const MEASURED: Duration = Duration::from_millis(2_000);
/// How long a tenant counts as pressing after a coordinator had less than was wanted. One
/// that does not press has room for two coordinators, so nothing is held back.
const PRESSING: Duration = Duration::from_millis(2_000);
/// How long a node that asks often has to be silent, at the least: twice the life of a grant.
/// A node that turns to another coordinator waits as long for the first to have noticed.
const TURNING_TIME: Duration = Duration::from_millis(600);
/// Pauses between its questions that a silence has to be as long as. One in seven of callers who
/// come at random is: nothing is held back for those whose node is reached.
const PAUSES: f64 = 2.0;
/// Questions from which it is known how often a node asks.
const LEAST_QUESTIONS: u64 = 2;
/// How long a share is held back: until the fleet's list no longer holds a node that is gone.
const HOLD: Duration = ROW_EXPIRY;
/// Operations a second that a node may have that had none before.
const FIRST_PART: f64 = 1.0;
/// Of what a node spent while its tenant pressed, what it counts as its share: spending comes in
/// bursts, and what all nodes measure at their own moments adds up to more than the rate.
const PRESSED_PART: f64 = 0.9;
/// By how much a node may exceed its share where the tenant does not press.
const ROOM: f64 = 1.25;

/// What one node was granted lately.
#[derive(Clone, Debug)]
struct NodeShare {
    granted: ExpiringCount,
    questions: ExpiringCount,
    /// When it asked last, and how often and what it was granted by then, a second.
    asked_at: Instant,
    questions_a_second: f64,
    rate: f64,
    /// The share that it had of the first coordinator, if it turned from that one.
    inherited: Option<f64>,
}

impl NodeShare {
    fn new(now: Instant) -> Self {
        Self {
            granted: ExpiringCount::default(),
            questions: ExpiringCount::default(),
            asked_at: now,
            questions_a_second: 0.0,
            rate: 0.0,
            inherited: None,
        }
    }

    fn record_request(&mut self, inherited: Option<f64>, now: Instant) {
        self.inherited = inherited;
        self.questions.add(now + MEASURED, 1);
        self.asked_at = now;
        let questions = self.questions.total(now);
        let is_known = questions >= LEAST_QUESTIONS;
        let seconds = MEASURED.as_secs_f64();
        self.questions_a_second = if is_known {
            questions as f64 / seconds
        } else {
            0.0
        };
    }

    fn record_grant(&mut self, granted: u64, now: Instant) {
        self.granted.add(now + MEASURED, granted);
        self.rate = self.granted.total(now) as f64 / MEASURED.as_secs_f64();
    }

    /// Whether it is silent for longer than pauses of its callers explain.
    fn is_silent(&self, now: Instant) -> bool {
        if self.questions_a_second <= 0.0 {
            return false;
        }
        let pauses = Duration::from_secs_f64(PAUSES / self.questions_a_second);
        now >= self.asked_at + pauses.max(TURNING_TIME)
    }
}

/// Parts of the nodes that ask a coordinator.
#[derive(Clone, Debug)]
pub struct RequesterShares<A> {
    shares: HashMap<A, NodeShare>,
    /// When less was granted than was wanted.
    pressed_at: Option<Instant>,
}

impl<A> Default for RequesterShares<A> {
    fn default() -> Self {
        Self {
            shares: HashMap::new(),
            pressed_at: None,
        }
    }
}

impl<A: Clone + Eq + Hash> RequesterShares<A> {
    /// A node asks; `inherited` is the share that it had of the first coordinator, if it turned
    /// from that one.
    pub fn record_request(&mut self, requester: A, inherited: Option<f64>, now: Instant) {
        self.share(requester, now).record_request(inherited, now);
    }

    /// A node that asked for so many operations was granted so many.
    pub fn record_grant(&mut self, requester: A, wanted: u64, granted: u64, now: Instant) {
        if granted < wanted {
            self.pressed_at = Some(now);
        }
        self.share(requester, now).record_grant(granted, now);
    }

    fn share(&mut self, requester: A, now: Instant) -> &mut NodeShare {
        self.shares
            .entry(requester)
            .or_insert_with(|| NodeShare::new(now))
    }

    /// Operations a second that the nodes which turned to this coordinator had of the first:
    /// it grants these to any of them. `None` if none did.
    pub fn inherited_rate(&self) -> Option<f64> {
        let inherited = self.shares.values().filter_map(|share| share.inherited);
        inherited.reduce(|sum, share| sum + share)
    }

    /// Operations a second that are to be held back for nodes which may ask another
    /// coordinator. `may_ask_another` tells whether one that is silent does: it is not
    /// reached, and its process is not known to have ended.
    pub fn reserved_rate(&mut self, now: Instant, may_ask_another: impl Fn(&A) -> bool) -> f64 {
        self.shares.retain(|_, share| now < share.asked_at + HOLD);
        let is_saturated = self.pressed_at.is_some_and(|at| now < at + PRESSING);
        if !is_saturated {
            return 0.0;
        }
        let silent = self.shares.iter().filter(|(_, share)| share.is_silent(now));
        let cut_off = silent.filter(|(requester, _)| may_ask_another(requester));
        cut_off.map(|(_, share)| share.rate).sum()
    }
}

/// What a coordinator does not grant, since another one may.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedRate {
    /// Operations a second that nodes had which are cut off.
    pub cut_off: f64,
    /// Operations a second that the nodes which turned to this coordinator had of the first;
    /// `None` if this is the first.
    pub inherited: Option<f64>,
}

impl ReservedRate {
    /// Of a limit, operations a second that are not granted.
    pub fn of(&self, limit: RateLimit) -> f64 {
        let rate = limit.rate_per_second;
        let others = self
            .inherited
            .map_or(0.0, |shares| (rate - shares).max(0.0));
        self.cut_off + others
    }
}

/// What a node had of the first coordinator, for the one to which it turns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InheritedShare {
    /// Operations a second.
    pub rate: f64,
    begins_at: Instant,
}

impl InheritedShare {
    /// The share of a node that spent `rate` operations a second until now. Where the tenant
    /// is_saturated, the first coordinator may still grant it to others for a while.
    pub fn new(rate: f64, is_saturated: bool, now: Instant) -> Self {
        let rate = rate.max(FIRST_PART);
        if is_saturated {
            return Self {
                rate: rate * PRESSED_PART,
                begins_at: now + TURNING_TIME,
            };
        }
        Self {
            rate: rate * ROOM,
            begins_at: now,
        }
    }

    /// When the share begins, unless it has.
    pub fn begins_at(&self, now: Instant) -> Option<Instant> {
        (now < self.begins_at).then_some(self.begins_at)
    }
}
