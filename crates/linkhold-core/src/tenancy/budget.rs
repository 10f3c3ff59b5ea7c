//! Budgets of operations: a tenant's coordinator grants them, nodes spend them.
//!
//! All nodes choose a tenant's coordinator alike ([`crate::rendezvous`]). A node
//! that has no budget asks it for one; a budget lapses after a short while,
//! whether it was spent or not.
//!
//! # Invariant
//!
//! What is spent in a window is never more than [`WindowLimit::most`], as long as
//! no more than two nodes take themselves for a tenant's first within
//! [`VIEW_SETTLE`]:
//!
//! * The coordinator counts what it grants from the grant until a window after
//!   its lapse, so whatever of it is spent in a window is counted in all of it.
//! * Without a claim the first node grants half of what is owed, so that two that
//!   both believe they are first, or two lives of one, grant no more than that.
//! * A claim is a row in the platform's store that names its holder; it holds for
//!   [`CLAIM_LIFE`] unless it is renewed. A [`ClaimExtent::Whole`] one is taken
//!   only by who is first in the fleet as the store lists it at that moment. With
//!   it a coordinator grants all that is owed, once the claim that it replaced
//!   has lapsed, and whoever was first before it has learnt that it is no longer
//!   ([`VIEW_SETTLE`]), with all their budgets.
//! * Who has not heard from the store for [`VIEW_TRUST`] no longer takes itself
//!   for first.
//! * Who finds another's whole claim, or has not read the claims, grants from the
//!   reserve, which is [`WindowLimit::most`] less what is owed, until nothing that
//!   was granted under that claim counts.
//! * A node that is asked since others before it were not reached grants a part of
//!   the reserve that halves with its rank and, once it has taken a claim of
//!   [`ClaimExtent::Half`], half of what is owed.

use std::time::{Duration, Instant};

use super::rate::{ExpiringCount, WindowLimit};

/// Life of a budget while a tenant uses little of what it is owed: long enough
/// that a busy node asks seldom.
pub const LONG_LAPSE: Duration = Duration::from_millis(1_500);
/// Life of a budget otherwise. A window and this must hold no more than the
/// overshoot allows: at an overshoot of 10% and a window of 5 s, half a second.
pub const SHORT_LAPSE: Duration = Duration::from_millis(300);
/// Part of what is owed, in use, up to which budgets live long.
const LITTLE_USE: f64 = 0.25;
/// Part of what is owed that is granted without a claim.
const UNCLAIMED_PART: f64 = 0.5;
/// Part of what is owed, in use, from which a claim is worth its calls.
const CLAIM_FROM: f64 = 0.35;
/// Life of a claim from before it was written, unless renewed.
pub const CLAIM_LIFE: Duration = Duration::from_millis(4_000);
/// Age at which a claim that is still needed is renewed.
pub const CLAIM_RENEWAL: Duration = Duration::from_millis(1_500);
/// How long a view of the fleet may be without news from the store for its node to
/// act on being first: longer than most outages of the store, in which the fleet
/// cannot change either.
pub const VIEW_TRUST: Duration = Duration::from_millis(8_000);
/// Time in which every node has learnt who is first now, or distrusts its view:
/// [`VIEW_TRUST`], and as much for the way of the news through readers.
pub const VIEW_SETTLE: Duration = Duration::from_millis(16_000);
/// Shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(50);
/// Longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_millis(2_000);

/// What a coordinator may take itself for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// First in its view of the fleet.
    First,
    /// Asked since so many before it were not reached.
    Deputy(u32),
}

/// How much a claim lets its holder grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimExtent {
    /// Half of what is owed.
    Half,
    /// All of it.
    Whole,
}

/// What is known of others' claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OthersClaims {
    /// The store was not read since this coordinator began.
    Unknown,
    /// From this moment on nothing counts that was granted under a whole claim of
    /// another, or of a former life.
    OverAt(Instant),
}

/// A claim of another, or of a former life, as the store tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OthersClaim {
    /// How much it lets its holder grant.
    pub extent: ClaimExtent,
    /// How long ago it was written.
    pub age: Duration,
}

impl OthersClaim {
    /// Whether it still holds.
    pub fn holds(&self) -> bool {
        self.age < CLAIM_LIFE
    }

    /// How long what was granted under it may still count.
    fn over_in(&self, terms: &GrantTerms) -> Duration {
        (CLAIM_LIFE + terms.claim_aftermath()).saturating_sub(self.age)
    }
}

/// A claim of this coordinator's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OwnClaim {
    extent: ClaimExtent,
    holds_until: Instant,
    /// From when on nothing counts that was granted under the claim that it
    /// replaced.
    alone_from: Instant,
}

/// A grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Operations.
    pub amount: u64,
    /// How long they may be spent.
    pub lapse: Duration,
    /// When to ask again if there was none.
    pub retry_after: Duration,
}

impl Standing {
    /// The standing of a node at `rank` in its view of the fleet, of which the
    /// store was last heard `view_age` ago. `None`: it is not among the first.
    pub fn of_rank(rank: Option<usize>, view_age: Duration, is_leaving: bool) -> Self {
        match rank {
            Some(0) if view_age < VIEW_TRUST && !is_leaving => Self::First,
            Some(rank) if rank > 0 => Self::Deputy(u32::try_from(rank).unwrap_or(FAR_RANK)),
            Some(_) | None => Self::Deputy(FAR_RANK),
        }
    }
}

/// Rank of a node that is not among the first, or does not know.
const FAR_RANK: u32 = 8;

/// What decides a grant besides the budget itself.
#[derive(Clone, Copy, Debug)]
pub struct GrantTerms {
    /// The tenant's limit.
    pub limit: WindowLimit,
    /// Length of the sliding window.
    pub window: Duration,
    /// What the coordinator takes itself for.
    pub standing: Standing,
    /// From when on nobody else takes itself for first because this node was not
    /// in the fleet yet.
    pub settled_at: Instant,
}

impl GrantTerms {
    /// Operations that may be exceeded in no case, less those that are owed.
    fn reserve(&self) -> f64 {
        self.limit.most - self.limit.owed
    }

    /// How long after its lapse a claim's last budgets may count.
    fn claim_aftermath(&self) -> Duration {
        LONG_LAPSE + self.window
    }
}

/// A tenant's budget at its coordinator.
#[derive(Clone, Debug)]
pub struct CoordinatedBudget {
    granted: ExpiringCount,
    others: OthersClaims,
    own: Option<OwnClaim>,
    /// When this node was last asked while it was not first.
    displaced_at: Option<Instant>,
}

impl Default for CoordinatedBudget {
    fn default() -> Self {
        Self {
            granted: ExpiringCount::default(),
            others: OthersClaims::Unknown,
            own: None,
            displaced_at: None,
        }
    }
}

impl CoordinatedBudget {
    /// Grants up to `wanted` operations.
    pub fn grant(&mut self, now: Instant, wanted: u64, terms: &GrantTerms) -> Grant {
        if terms.standing != Standing::First {
            self.not_first(now);
        }
        let used = self.granted.total(now);
        let most = self.most(now, terms);
        let left = (most.floor() as u64).saturating_sub(used);
        let amount = wanted.min(left);
        let in_use = (used + amount) as f64;
        let lapse = if in_use <= terms.limit.owed * LITTLE_USE {
            LONG_LAPSE
        } else {
            SHORT_LAPSE
        };
        self.granted.add(now + lapse + terms.window, amount);
        Grant {
            amount,
            lapse,
            retry_after: self.retry_after(now),
        }
    }

    /// Operations that may count at a time.
    fn most(&self, now: Instant, terms: &GrantTerms) -> f64 {
        let owed = terms.limit.owed;
        let claimed = self.own.filter(|own| now < own.holds_until);
        let is_over = matches!(self.others, OthersClaims::OverAt(moment) if now >= moment);
        match (terms.standing, claimed) {
            (Standing::First, Some(own))
                if own.extent == ClaimExtent::Whole && now >= own.alone_from =>
            {
                owed
            }
            (Standing::First, _) if is_over => owed * UNCLAIMED_PART,
            (Standing::Deputy(_), Some(_)) if is_over => owed * UNCLAIMED_PART,
            (Standing::First, _) => terms.reserve() / 2.0,
            (Standing::Deputy(rank), _) => terms.reserve() / 2_f64.powi(rank.min(30) as i32 + 1),
        }
    }

    fn retry_after(&self, now: Instant) -> Duration {
        let freed_at = self.granted.freed_at(1);
        let wait = freed_at.map_or(LEAST_RETRY, |at| at.saturating_duration_since(now));
        wait.clamp(LEAST_RETRY, LONGEST_RETRY)
    }

    /// This node is not first: whoever is may grant and claim meanwhile.
    fn not_first(&mut self, now: Instant) {
        self.displaced_at = Some(now);
        if self.own.is_some_and(|own| own.extent == ClaimExtent::Whole) {
            self.own = None;
        }
        if self.own.is_none() {
            self.others = OthersClaims::Unknown;
        }
    }

    /// Whether the claims have to be read.
    pub fn needs_reading(&self, standing: Standing) -> bool {
        standing == Standing::First && self.others == OthersClaims::Unknown
    }

    /// The claims were read after this coordinator began; `found` is another's, or
    /// a former life's, for this tenant.
    pub fn claims_read(&mut self, now: Instant, found: Option<OthersClaim>, terms: &GrantTerms) {
        if self.others == OthersClaims::Unknown {
            self.others = OthersClaims::OverAt(now + whole_over_in(found, terms));
        }
    }

    /// The claim that is to be taken or renewed now.
    pub fn wanted_claim(&mut self, now: Instant, terms: &GrantTerms) -> Option<ClaimExtent> {
        let in_use = self.granted.total(now) as f64;
        let is_fresh = |own: &OwnClaim| now + CLAIM_LIFE < own.holds_until + CLAIM_RENEWAL;
        let extent = match terms.standing {
            Standing::First if in_use >= terms.limit.owed * CLAIM_FROM => ClaimExtent::Whole,
            Standing::Deputy(_) if in_use > 0.0 => ClaimExtent::Half,
            Standing::First | Standing::Deputy(_) => return None,
        };
        let has_it = self
            .own
            .as_ref()
            .is_some_and(|own| own.extent == extent && is_fresh(own));
        (!has_it).then_some(extent)
    }

    /// A claim was written in calls that began at `asked_at`. `replaced` is the
    /// claim of another, or of a former life, that it took the place of.
    pub fn claimed(
        &mut self,
        asked_at: Instant,
        extent: ClaimExtent,
        replaced: Option<OthersClaim>,
        terms: &GrantTerms,
    ) {
        let alone_from = match (self.own, replaced) {
            (_, Some(others)) => asked_at + others.over_in(terms),
            (Some(own), None) if own.extent == extent => own.alone_from,
            (_, None) => asked_at,
        };
        let alone_from = alone_from.max(self.settled_at(terms) + terms.claim_aftermath());
        let whole_over = asked_at + whole_over_in(replaced, terms);
        self.others = match self.others {
            OthersClaims::OverAt(moment) => OthersClaims::OverAt(moment.max(whole_over)),
            OthersClaims::Unknown => OthersClaims::OverAt(whole_over),
        };
        self.own = Some(OwnClaim {
            extent,
            holds_until: asked_at + CLAIM_LIFE,
            alone_from,
        });
    }

    /// From when on nobody else takes itself for first.
    fn settled_at(&self, terms: &GrantTerms) -> Instant {
        let displaced = self.displaced_at.map(|at| at + VIEW_SETTLE);
        displaced.map_or(terms.settled_at, |at| at.max(terms.settled_at))
    }

    /// Another holds the claim now: this coordinator's own is lost.
    pub fn claim_lost(&mut self) {
        self.own = None;
        self.others = OthersClaims::Unknown;
    }

    /// Operations that count now.
    pub fn in_use(&mut self, now: Instant) -> u64 {
        self.granted.total(now)
    }
}

/// How long what was granted under a whole claim of another may still count.
fn whole_over_in(claim: Option<OthersClaim>, terms: &GrantTerms) -> Duration {
    claim
        .filter(|claim| claim.extent == ClaimExtent::Whole)
        .map_or(Duration::ZERO, |claim| claim.over_in(terms))
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
    refused_until: Option<Instant>,
}

impl HeldBudget {
    /// Spends one operation if there is one.
    pub fn spend(&mut self, now: Instant) -> Spending {
        if self.tokens.take(now, 1) {
            self.spent.add(now + NEED_WINDOW, 1);
            return Spending::Granted;
        }
        match self.refused_until {
            Some(until) if now < until => Spending::Refused(until - now),
            _ => Spending::Ask,
        }
    }

    /// Operations to ask for: one, and as many as were spent lately.
    pub fn need(&mut self, now: Instant) -> u64 {
        self.spent.total(now) + 1
    }

    /// A budget was granted in answer to a question that was sent at `asked_at`.
    /// Its life counts from there, since the coordinator counts from later.
    pub fn granted(&mut self, asked_at: Instant, grant: Grant) {
        self.tokens.add(asked_at + grant.lapse, grant.amount);
        self.refused_until = (grant.amount == 0).then(|| asked_at + grant.retry_after);
    }
}
