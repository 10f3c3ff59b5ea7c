//! Budgets of operations, granted by a tenant's coordinator and spent by nodes.
//!
//! All nodes choose the same coordinator for a tenant ([`crate::rendezvous`]) and
//! request grants from it. The coordinator grants from a token bucket that fills at
//! the tenant's rate; a grant expires after [`GRANT_LIFETIME`], spent or not.
//!
//! # Invariants
//!
//! * Successive coordinators, each of which starts without knowing what its
//!   predecessor granted, never exceed [`WindowLimit::max`] in a window. What a
//!   bucket can hold and what it fills in a window and a grant's lifetime stay
//!   below `max` by half of the headroom (`max - guaranteed`), and a new bucket
//!   starts with an eighth of the headroom. So a successor needs no state and does
//!   not wait; two of them in one window are covered.
//! * A node that is asked in place of a coordinator that still runs grants only
//!   from the rest of the headroom. It grants at the tenant's rate only after the
//!   nodes ranked before it have not answered its own questions either.
//! * A former coordinator that learns of its successor redirects requests to it
//!   (`BudgetAnswer::Redirect` in the gateway).
//! * Two running coordinators that do not reach each other, each asked by a part of
//!   the fleet, grant each part no more than its previous share ([`super::shares`]).

use std::time::{Duration, Instant};

use super::rate::{ExpiringCount, WindowLimit};
use super::tenant::RateLimit;

/// Lifetime of a grant: long enough for an answer to travel between regions and a
/// caller to take its turn, short enough that an overshoot of 10% of five seconds
/// covers what it adds to a window.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(300);
/// Fractions of the headroom: what a bucket may hold beyond the burst, what a new
/// bucket starts with, and what stand-ins for a running coordinator may grant in a
/// window.
const BUCKET_FRACTION: f64 = 0.5;
const INITIAL_FRACTION: f64 = 0.125;
const STAND_IN_FRACTION: f64 = 0.25;
/// Fraction of the rate that a coordinator grants whatever it reserves.
const MIN_FILL_FRACTION: f64 = 0.05;
/// Age of a node's view of the fleet from which the node no longer considers itself
/// the coordinator: less than the time after which other nodes consider it gone.
pub const MAX_VIEW_AGE: Duration = Duration::from_millis(11_000);
/// How long a former coordinator redirects requests to a successor that has
/// announced itself.
pub const REDIRECT_PERIOD: Duration = Duration::from_millis(3_000);
/// Shortest retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest retry delay given to a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_000);

/// Role in which a node grants a tenant's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantRole {
    /// The tenant's coordinator.
    Coordinator,
    /// Asked in place of a coordinator that may still run.
    StandIn,
}

impl GrantRole {
    /// The role of a node at `rank` in its view of the fleet (`None`: not among the
    /// tenant's coordinators). The store was last heard from `view_age` ago;
    /// `predecessors_lost` says that the nodes ranked before this one did not answer
    /// it.
    pub fn of_rank(rank: Option<usize>, view_age: Duration, predecessors_lost: bool) -> Self {
        match rank {
            Some(0) if view_age < MAX_VIEW_AGE => Self::Coordinator,
            Some(rank) if rank > 0 && predecessors_lost && view_age < MAX_VIEW_AGE => {
                Self::Coordinator
            }
            Some(_) | None => Self::StandIn,
        }
    }
}

/// Limits and role that determine a grant, besides the bucket's level.
#[derive(Clone, Copy, Debug)]
pub struct GrantPolicy {
    /// The tenant's rate limit.
    pub limit: RateLimit,
    /// Operations that the limit allows in a window.
    pub in_window: WindowLimit,
    /// Length of the window.
    pub window: Duration,
    /// Role in which the node grants.
    pub role: GrantRole,
    /// Operations per second reserved for nodes that may ask another coordinator
    /// ([`super::shares`]).
    pub reserved_rate: f64,
}

impl GrantPolicy {
    /// Operations allowed in a window beyond the guaranteed ones.
    fn headroom(&self) -> f64 {
        self.in_window.max - self.in_window.guaranteed
    }

    /// Most operations that the bucket holds. A grant may be spent up to
    /// [`GRANT_LIFETIME`] later, so a window may also contain what the bucket filled
    /// in that time.
    fn capacity(&self) -> f64 {
        let capacity = match self.role {
            GrantRole::Coordinator => {
                let expiring = self.limit.rate_per_second * GRANT_LIFETIME.as_secs_f64();
                self.limit.burst + self.headroom() * BUCKET_FRACTION - expiring
            }
            GrantRole::StandIn => self.headroom() * STAND_IN_FRACTION,
        };
        capacity.max(1.0)
    }

    /// Operations added to the bucket per second.
    fn fill_rate(&self) -> f64 {
        match self.role {
            GrantRole::Coordinator => {
                let rate = self.limit.rate_per_second;
                (rate - self.reserved_rate).max(rate * MIN_FILL_FRACTION)
            }
            GrantRole::StandIn => {
                self.headroom() * STAND_IN_FRACTION / self.window.as_secs_f64() / 2.0
            }
        }
    }
}

/// Answer of a coordinator to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of operations granted.
    pub amount: u64,
    /// Delay before the next request if none were granted.
    pub retry_after: Duration,
}

/// Token bucket of one tenant at its coordinator.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// A bucket that holds a fraction of the headroom only.
    pub fn new(now: Instant, policy: &GrantPolicy) -> Self {
        Self {
            level: (policy.headroom() * INITIAL_FRACTION).min(policy.capacity()),
            filled_at: now,
        }
    }

    /// Grants up to `wanted` operations.
    pub fn grant(&mut self, now: Instant, wanted: u64, policy: &GrantPolicy) -> Grant {
        self.fill(now, policy);
        let amount = wanted.min(self.level.floor() as u64);
        self.level -= amount as f64;
        Grant {
            amount,
            retry_after: self.retry_after(policy),
        }
    }

    /// Returns operations that were granted and certainly did not run.
    pub fn return_unused(&mut self, amount: u64, policy: &GrantPolicy) {
        self.level = (self.level + amount as f64).min(policy.capacity());
    }

    fn fill(&mut self, now: Instant, policy: &GrantPolicy) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let filled = self.level + passed.as_secs_f64() * policy.fill_rate();
        self.level = filled.min(policy.capacity());
    }

    /// Time until the bucket holds an operation again.
    fn retry_after(&self, policy: &GrantPolicy) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / policy.fill_rate());
        wait.unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Period of recent spending from which a node estimates its demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(1_500);

/// Whether an operation may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendDecision {
    /// The operation may run.
    Granted,
    /// A grant has to be requested first.
    NeedsGrant,
    /// The coordinator recently had nothing to grant; retry after this time.
    Refused(Duration),
}

/// Granted operations of one tenant at the node that spends them.
#[derive(Clone, Debug, Default)]
pub struct NodeBudget {
    tokens: ExpiringCount,
    /// Operations spent within [`DEMAND_WINDOW`].
    spent: ExpiringCount,
    /// Operations that did not run and are not yet returned to the coordinator.
    unused: u64,
    refused_until: Option<Instant>,
    /// Size of the last request.
    requested: u64,
    /// When a request was last granted in part or not at all.
    shortfall_at: Option<Instant>,
}

impl NodeBudget {
    /// Spends one operation if one is available.
    pub fn spend(&mut self, now: Instant) -> SpendDecision {
        if self.tokens.take_one(now) {
            self.spent.add(now + DEMAND_WINDOW, 1);
            return SpendDecision::Granted;
        }
        match self.refused_until {
            Some(until) if now < until => SpendDecision::Refused(until - now),
            _ => SpendDecision::NeedsGrant,
        }
    }

    /// Size of the next request while `waiting` operations wait: these and the ones
    /// expected within the grant's lifetime, estimated from recent spending.
    pub fn operations_to_request(&mut self, now: Instant, waiting: u64) -> u64 {
        let recent = self.spent.total(now) as f64;
        let coming = recent * GRANT_LIFETIME.as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.requested = waiting.max(1) + coming.floor() as u64;
        self.requested
    }

    /// Records that an operation certainly did not run. The node does not spend it
    /// again, since its grant may have expired.
    pub fn record_not_run(&mut self) {
        self.unused += 1;
    }

    /// Operations per second spent within [`DEMAND_WINDOW`].
    pub fn recent_rate(&mut self, now: Instant) -> f64 {
        self.spent.total(now) as f64 / DEMAND_WINDOW.as_secs_f64()
    }

    /// Whether a recent request was not granted in full.
    pub fn is_saturated(&self, now: Instant) -> bool {
        self.shortfall_at.is_some_and(|at| now < at + DEMAND_WINDOW)
    }

    /// Takes the operations to return to the coordinator.
    pub fn take_unused(&mut self) -> u64 {
        std::mem::take(&mut self.unused)
    }

    /// Records the answer to a request that was sent at `requested_at`. The grant's
    /// lifetime counts from then, which is earlier than the coordinator counts it from.
    pub fn record_grant(&mut self, requested_at: Instant, grant: Grant) {
        self.tokens.add(requested_at + GRANT_LIFETIME, grant.amount);
        self.refused_until = (grant.amount == 0).then(|| requested_at + grant.retry_after);
        if grant.amount < self.requested {
            self.shortfall_at = Some(requested_at);
        }
    }
}
