//! Shares of a tenant's rate that nodes had, for when two coordinators run at once.
//!
//! A partition may leave some nodes with a tenant's coordinator while the others switch
//! to the next one. Neither coordinator can detect that the other still runs, so each
//! limits its side to the share that this side had before. A node that switches sends
//! its share ([`InheritedShare`]) to the new coordinator, which grants the sum of these
//! shares and no more. A coordinator reserves the shares of nodes that no longer ask it
//! ([`RequesterShares`]) and grants them to no other node. Both rules end once the list
//! of the fleet has changed; by then a coordinator that is cut off grants only as a
//! stand-in.
//!
//! # Costs
//!
//! During a partition a side may use no more of the quota than it used before. Nothing
//! is reserved for nodes that are reached or whose processes are known to have ended.
//!
//! # What can exceed the limit
//!
//! The silence of a node that sends less than one request per second is not noticed, so
//! its share may be granted twice. If a tenant begins to saturate its limit on both
//! sides at once, their shares are measured from then on.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::rate::ExpiringCount;
use super::tenant::RateLimit;
use crate::service::readers::ROW_EXPIRY;

/// Period over which a node's share and its request rate are measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_millis(2_000);
/// How long a tenant counts as saturating its limit after a request was not granted in
/// full. A tenant below its limit leaves room for two coordinators, so nothing is
/// reserved.
const SATURATION_PERIOD: Duration = Duration::from_millis(2_000);
/// Shortest silence after which a node that asks often may be cut off: twice the
/// lifetime of a grant. A node that switches to another coordinator waits as long, so
/// that the first one has noticed its silence.
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// Mean pauses between a node's requests that a silence has to last. With callers that
/// arrive at random, one pause in seven is as long, so nothing is reserved for nodes
/// that are reached.
const SILENT_PAUSES: f64 = 2.0;
/// Least number of requests from which a node's request rate is known.
const MIN_REQUESTS: u64 = 2;
/// How long a share is reserved: until the list of the fleet no longer holds a node
/// that is gone.
const RESERVATION_PERIOD: Duration = ROW_EXPIRY;
/// Least share in operations per second, for a node that had none before.
const MIN_SHARE: f64 = 1.0;
/// Fraction of a node's spending that it takes as its share if its tenant saturates the
/// limit. Spending comes in bursts, and the rates that all nodes measure, each at its
/// own time, add up to more than the tenant's rate.
const SATURATED_FRACTION: f64 = 0.9;
/// Factor by which a node may exceed its share if its tenant does not saturate the
/// limit.
const UNSATURATED_FACTOR: f64 = 1.25;

/// Recent requests of one node and the operations granted to it.
#[derive(Clone, Debug)]
struct NodeShare {
    granted: ExpiringCount,
    requests: ExpiringCount,
    /// When the node sent its last request.
    requested_at: Instant,
    /// Requests per second; 0 if not known.
    request_rate: f64,
    /// Operations granted per second.
    rate: f64,
    /// Share that the node had from the first coordinator, if it switched from that
    /// one.
    inherited: Option<f64>,
}

impl NodeShare {
    fn new(now: Instant) -> Self {
        Self {
            granted: ExpiringCount::default(),
            requests: ExpiringCount::default(),
            requested_at: now,
            request_rate: 0.0,
            rate: 0.0,
            inherited: None,
        }
    }

    fn record_request(&mut self, inherited: Option<f64>, now: Instant) {
        self.inherited = inherited;
        self.requests.add(now + MEASUREMENT_PERIOD, 1);
        self.requested_at = now;
        let requests = self.requests.total(now);
        let is_known = requests >= MIN_REQUESTS;
        let seconds = MEASUREMENT_PERIOD.as_secs_f64();
        self.request_rate = if is_known {
            requests as f64 / seconds
        } else {
            0.0
        };
    }

    fn record_grant(&mut self, granted: u64, now: Instant) {
        self.granted.add(now + MEASUREMENT_PERIOD, granted);
        self.rate = self.granted.total(now) as f64 / MEASUREMENT_PERIOD.as_secs_f64();
    }

    /// Whether the node is silent for longer than pauses of its callers explain.
    fn is_silent(&self, now: Instant) -> bool {
        if self.request_rate <= 0.0 {
            return false;
        }
        let pauses = Duration::from_secs_f64(SILENT_PAUSES / self.request_rate);
        now >= self.requested_at + pauses.max(MIN_SILENCE)
    }
}

/// Shares of the nodes that ask a coordinator.
#[derive(Clone, Debug)]
pub struct RequesterShares<A> {
    shares: HashMap<A, NodeShare>,
    /// When a request was last not granted in full.
    saturated_at: Option<Instant>,
}

impl<A> Default for RequesterShares<A> {
    fn default() -> Self {
        Self {
            shares: HashMap::new(),
            saturated_at: None,
        }
    }
}

impl<A: Clone + Eq + Hash> RequesterShares<A> {
    /// Records a request of a node; `inherited` is the share that the node had from the
    /// first coordinator, if it switched from that one.
    pub fn record_request(&mut self, requester: A, inherited: Option<f64>, now: Instant) {
        self.share(requester, now).record_request(inherited, now);
    }

    /// Records that a node was granted `granted` of the `wanted` operations.
    pub fn record_grant(&mut self, requester: A, wanted: u64, granted: u64, now: Instant) {
        if granted < wanted {
            self.saturated_at = Some(now);
        }
        self.share(requester, now).record_grant(granted, now);
    }

    fn share(&mut self, requester: A, now: Instant) -> &mut NodeShare {
        self.shares
            .entry(requester)
            .or_insert_with(|| NodeShare::new(now))
    }

    /// Operations per second that nodes which switched to this coordinator had from the
    /// first one; this coordinator grants them to any of these nodes. `None` if no node
    /// switched.
    pub fn inherited_rate(&self) -> Option<f64> {
        let inherited = self.shares.values().filter_map(|share| share.inherited);
        inherited.reduce(|sum, share| sum + share)
    }

    /// Operations per second to reserve for nodes that may ask another coordinator.
    /// `may_ask_another` decides whether a silent node may, that is, whether the node
    /// is not reached and its process is not known to have ended.
    pub fn reserved_rate(&mut self, now: Instant, may_ask_another: impl Fn(&A) -> bool) -> f64 {
        self.shares
            .retain(|_, share| now < share.requested_at + RESERVATION_PERIOD);
        let is_saturated = self
            .saturated_at
            .is_some_and(|at| now < at + SATURATION_PERIOD);
        if !is_saturated {
            return 0.0;
        }
        let silent = self.shares.iter().filter(|(_, share)| share.is_silent(now));
        let cut_off = silent.filter(|(requester, _)| may_ask_another(requester));
        cut_off.map(|(_, share)| share.rate).sum()
    }
}

/// Rate that a coordinator does not grant, since another coordinator may.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedRate {
    /// Operations per second that nodes had which are cut off.
    pub cut_off: f64,
    /// Operations per second that nodes which switched to this coordinator had from the
    /// first one; `None` if no node switched.
    pub inherited: Option<f64>,
}

impl ReservedRate {
    /// Operations per second of `limit` that are not granted.
    pub fn of(&self, limit: RateLimit) -> f64 {
        let rate = limit.rate_per_second;
        let others = self
            .inherited
            .map_or(0.0, |shares| (rate - shares).max(0.0));
        self.cut_off + others
    }
}

/// Share that a node had from the first coordinator, for the one that it switches to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InheritedShare {
    /// Operations per second.
    pub rate: f64,
    begins_at: Instant,
}

impl InheritedShare {
    /// The share of a node that spent `rate` operations per second until now. If the
    /// tenant saturates its limit, the share begins later, since the first coordinator
    /// may still grant it to other nodes for a while.
    pub fn new(rate: f64, is_saturated: bool, now: Instant) -> Self {
        let rate = rate.max(MIN_SHARE);
        if is_saturated {
            return Self {
                rate: rate * SATURATED_FRACTION,
                begins_at: now + MIN_SILENCE,
            };
        }
        Self {
            rate: rate * UNSATURATED_FACTOR,
            begins_at: now,
        }
    }

    /// When the share begins; `None` if it has begun.
    pub fn begins_at(&self, now: Instant) -> Option<Instant> {
        (now < self.begins_at).then_some(self.begins_at)
    }
}
