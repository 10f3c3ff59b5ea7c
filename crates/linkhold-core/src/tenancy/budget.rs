//! Budgets of operations: a tenant's coordinator grants them, nodes spend them.
//!
//! All nodes choose a tenant's coordinator alike ([`crate::rendezvous`]) and ask
//! it before an operation. It grants from a token bucket, which fills at the
//! tenant's rate; a grant lapses after [`LAPSE`], spent or not.
//!
//! # Invariants
//!
//! * One coordinator after another, each starting anew without any knowledge,
//!   lets no window have more than [`WindowLimit::most`]: what a bucket fills in a
//!   window and a lapse, and what it holds at most, come to less than that by half
//!   of the reserve (`most` less what is owed), and a new bucket starts with an
//!   eighth of the reserve. So a successor needs to know nothing and waits for
//!   nothing; two in one window are covered.
//! * A node that is asked in place of another which still lives grants from what
//!   is left of the reserve alone. It grants at the tenant's rate only after the
//!   nodes before it gave no answer to itself either.
//! * A node that was first and learns that another is now sends those who ask it
//!   there ([`BudgetAnswer::Redirect`] in the shell).
//!
//! * Two coordinators that both live, each reached by a part of the fleet and not by each
//!   other, grant each part no more than it had ([`super::parts`]).

use std::time::{Duration, Instant};

use super::rate::{ExpiringCount, WindowLimit};
use super::tenant::RateLimit;

/// Life of a grant: long enough for the answer's way between regions and a
/// caller's turn, short enough that an overshoot of 10% of five seconds covers
/// what it adds to a window.
pub const LAPSE: Duration = Duration::from_millis(300);
/// Parts of the reserve: what a bucket may hold beyond the burst, what a new one
/// starts with, and what nodes grant in place of a live one in a window.
const HELD_PART: f64 = 0.5;
const START_PART: f64 = 0.125;
const STAND_IN_PART: f64 = 0.25;
/// Part of the rate that a coordinator grants whatever it holds back.
const LEAST_FILLED_PART: f64 = 0.05;
/// How long a node without news from the store takes itself for first: less than
/// the time after which others take it for gone.
pub const VIEW_TRUST: Duration = Duration::from_millis(11_000);
/// How long a node that was told of another first sends its askers there.
pub const ELSEWHERE_FOR: Duration = Duration::from_millis(3_000);
/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(50);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_millis(2_000);

/// As what a node grants a tenant's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is the tenant's coordinator.
    Coordinator,
    /// It was asked in place of a node that may live.
    StandIn,
}

impl Standing {
    /// The standing of a node at `rank` in its view of the fleet (`None`: not among
    /// the first ones), of which the store was last heard `view_age` ago.
    /// `others_lost` tells whether the nodes before it gave it no answer.
    pub fn of_rank(rank: Option<usize>, view_age: Duration, others_lost: bool) -> Self {
        match rank {
            Some(0) if view_age < VIEW_TRUST => Self::Coordinator,
            Some(rank) if rank > 0 && others_lost && view_age < VIEW_TRUST => Self::Coordinator,
            Some(_) | None => Self::StandIn,
        }
    }
}

/// What decides a grant besides the bucket itself.
#[derive(Clone, Copy, Debug)]
pub struct GrantTerms {
    /// What the tenant may ask.
    pub limit: RateLimit,
    /// What that comes to in a window.
    pub in_window: WindowLimit,
    /// Length of the window.
    pub window: Duration,
    /// As what the node grants.
    pub standing: Standing,
    /// Operations a second that are kept for nodes which may ask another coordinator
    /// ([`super::parts`]).
    pub held_back: f64,
}

impl GrantTerms {
    /// Operations that no window may exceed, less those that are owed.
    fn reserve(&self) -> f64 {
        self.in_window.most - self.in_window.owed
    }

    /// What the bucket holds at most. A grant may be spent up to [`LAPSE`] later,
    /// so a window may have what filled in as much more time.
    fn capacity(&self) -> f64 {
        let held = match self.standing {
            Standing::Coordinator => {
                let lapse = self.limit.rate_per_second * LAPSE.as_secs_f64();
                self.limit.burst + self.reserve() * HELD_PART - lapse
            }
            Standing::StandIn => self.reserve() * STAND_IN_PART,
        };
        held.max(1.0)
    }

    /// Operations that fill in a second.
    fn fill_rate(&self) -> f64 {
        match self.standing {
            Standing::Coordinator => {
                let rate = self.limit.rate_per_second;
                (rate - self.held_back).max(rate * LEAST_FILLED_PART)
            }
            Standing::StandIn => self.reserve() * STAND_IN_PART / self.window.as_secs_f64() / 2.0,
        }
    }
}

/// A grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Operations.
    pub amount: u64,
    /// When to ask again if there was none.
    pub retry_after: Duration,
}

/// A tenant's budget at its coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatedBudget {
    level: f64,
    filled_at: Instant,
}

impl CoordinatedBudget {
    /// A new bucket.
    pub fn new(now: Instant, terms: &GrantTerms) -> Self {
        Self {
            level: (terms.reserve() * START_PART).min(terms.capacity()),
            filled_at: now,
        }
    }

    /// Grants up to `wanted` operations.
    pub fn grant(&mut self, now: Instant, wanted: u64, terms: &GrantTerms) -> Grant {
        self.fill(now, terms);
        let amount = wanted.min(self.level.floor() as u64);
        self.level -= amount as f64;
        Grant {
            amount,
            retry_after: self.retry_after(terms),
        }
    }

    /// Operations that were granted and certainly did not run.
    pub fn give_back(&mut self, amount: u64, terms: &GrantTerms) {
        self.level = (self.level + amount as f64).min(terms.capacity());
    }

    fn fill(&mut self, now: Instant, terms: &GrantTerms) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let filled = self.level + passed.as_secs_f64() * terms.fill_rate();
        self.level = filled.min(terms.capacity());
    }

    /// When there will be an operation again.
    fn retry_after(&self, terms: &GrantTerms) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / terms.fill_rate());
        wait.unwrap_or(LONGEST_RETRY)
            .clamp(LEAST_RETRY, LONGEST_RETRY)
    }
}

/// How far back a node looks to tell what it will need.
const NEED_WINDOW: Duration = Duration::from_millis(1_500);

/// What a node may do with an operation now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spending {
    /// It may run.
    Granted,
    /// A budget is to be asked for.
    Ask,
    /// The coordinator had nothing a moment ago; it will not before this.
    Refused(Duration),
}

/// A tenant's budget at a node that spends it.
#[derive(Clone, Debug, Default)]
pub struct HeldBudget {
    tokens: ExpiringCount,
    /// What was spent lately.
    spent: ExpiringCount,
    /// Spent on operations that did not run, and not told to the coordinator yet.
    unused: u64,
    refused_until: Option<Instant>,
    /// What was asked for last.
    wanted: u64,
    /// When less than that was granted.
    short_at: Option<Instant>,
}

impl HeldBudget {
    /// Spends one operation if there is one.
    pub fn spend(&mut self, now: Instant) -> Spending {
        if self.tokens.take_one(now) {
            self.spent.add(now + NEED_WINDOW, 1);
            return Spending::Granted;
        }
        match self.refused_until {
            Some(until) if now < until => Spending::Refused(until - now),
            _ => Spending::Ask,
        }
    }

    /// Operations to ask for where `waiting` wait: these, and as many as will
    /// surely come while the grant lasts, by what was spent lately.
    pub fn need(&mut self, now: Instant, waiting: u64) -> u64 {
        let recent = self.spent.total(now) as f64;
        let coming = recent * LAPSE.as_secs_f64() / NEED_WINDOW.as_secs_f64();
        self.wanted = waiting.max(1) + coming.floor() as u64;
        self.wanted
    }

    /// An operation did certainly not run. It is not spent anew here: its life may
    /// be over.
    pub fn not_run(&mut self) {
        self.unused += 1;
    }

    /// Operations a second that were spent lately.
    pub fn recent_rate(&mut self, now: Instant) -> f64 {
        self.spent.total(now) as f64 / NEED_WINDOW.as_secs_f64()
    }

    /// Whether the tenant asked for more than it has a moment ago.
    pub fn presses(&self, now: Instant) -> bool {
        self.short_at.is_some_and(|at| now < at + NEED_WINDOW)
    }

    /// Takes what is to be given back to the coordinator.
    pub fn take_unused(&mut self) -> u64 {
        std::mem::take(&mut self.unused)
    }

    /// A budget was granted in answer to a question that was sent at `asked_at`.
    /// Its life counts from there, since the coordinator counts from later.
    pub fn granted(&mut self, asked_at: Instant, grant: Grant) {
        self.tokens.add(asked_at + LAPSE, grant.amount);
        self.refused_until = (grant.amount == 0).then(|| asked_at + grant.retry_after);
        if grant.amount < self.wanted {
            self.short_at = Some(asked_at);
        }
    }
}
