//! Whether a node may speak for primaries: acknowledge what they commit, and take
//! what they answer for proof of how far their logs have come.
//!
//! Whoever replaces a primary has every node agree that the store lists, and over a
//! quarter of those that it listed until [`EXPIRED_NODE_PERIOD`] ago. A node that is not
//! listed may not be asked, so it has to stop by itself, before others may leave it
//! out. It goes on as long as one of these holds:
//!
//! * the store confirmed a renewal of its registration that was sent less than
//!   [`LISTING_VALIDITY`] ago;
//! * three quarters of the nodes that it knows, which have a permission themselves,
//!   confirmed less than [`CONFIRMATION_VALIDITY`] ago that they have agreed to no
//!   replacement of which this node does not know, and this goes on without a gap from
//!   its last renewal. So a store that is away for all does not stop the fleet at once.
//!
//! # Invariants
//!
//! * All times count from before the question or renewal was sent, by the node's own
//!   steady clock: a process that was paused holds an older permission, never a
//!   younger one.
//! * Whoever replaces a primary lists the nodes after it has claimed the service's
//!   lease. A node that joins, or comes back, reads the leases after it was listed:
//!   either it is asked, or it sees the claim and waits for [`CLAIM_EFFECT_PERIOD`].
//! * A node that agreed to a replacement tells so for [`CONSENT_RETENTION`], longer than
//!   a gap in others' confirmations may be. Whoever confirms has a permission, so it
//!   still counts for the quarter that has to agree to a replacement; three quarters and
//!   more than a quarter of the same nodes share one. So whoever relies on
//!   confirmations and was not asked has stopped [`CONFIRMATION_VALIDITY`] after enough
//!   agreed; a replacement that leaves out silent nodes waits for that.
//!
//! Nodes that joined since a node lost the store are not among those that it knows:
//! the last invariant takes fewer than a quarter of the nodes to join within
//! [`EXPIRED_NODE_PERIOD`].

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::configuration::ServiceName;
use super::failover::{LEASE, ORDER_TIMEOUT};
use super::instance::InstanceId;
use super::listing::{LISTING_MARGIN, LISTING_VALIDITY, Listing};
use super::readers::ROW_EXPIRY;

/// For how long after its row has expired a node is still asked before a primary is
/// replaced, and counts for the part that has to agree.
pub const EXPIRED_NODE_PERIOD: Duration = Duration::from_secs(30);
/// How long confirmations permit a node to go on. Renewals of followers,
/// questions of their reader and its answers follow each other within it.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(3_000);
/// How long a node tells of a replacement that it agreed to: four times as long as a
/// permission lasts that rests on confirmations, so none can miss it.
pub const CONSENT_RETENTION: Duration = CONFIRMATION_VALIDITY.saturating_mul(4);
/// How long after its last renewal a node may go on by confirmations alone: others
/// count it a little longer.
const LONGEST_UNLISTED: Duration = LISTING_VALIDITY.saturating_add(EXPIRED_NODE_PERIOD);
/// Age of a renewal from which a node has others confirm that it may go on.
pub const CONFIRMATION_START_AGE: Duration = Duration::from_millis(8_000);
/// How long after a lease was claimed a promotion under it may take effect: the
/// lease, within which an order leaves, the time in which it is on its way, and a second
/// that the platform takes, with half a second to spare.
pub const CLAIM_EFFECT_PERIOD: Duration = LEASE
    .saturating_add(ORDER_TIMEOUT)
    .saturating_add(Duration::from_millis(1_500));

/// A claim of a service's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentClaim {
    /// The service.
    pub service: ServiceName,
    /// The instance to be promoted; `None` if the lease is only held ready.
    pub successor: Option<InstanceId>,
    /// How long ago it was made.
    pub age: Duration,
}

impl RecentClaim {
    /// Whether a promotion under it may still take effect.
    pub fn may_take_effect(&self) -> bool {
        self.successor.is_some() && self.age < CLAIM_EFFECT_PERIOD
    }
}

/// A service whose primary may be about to be replaced without this node's consent.
#[derive(Clone, Debug)]
struct Bar {
    until: Instant,
    /// The instance that takes over; once it is known to lead, that is done.
    successor: InstanceId,
}

/// What a confirmed renewal means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The node goes on.
    Continued,
    /// The node had no permission: it is to read the leases before it has one.
    NeedsAdmission,
}

/// A node's permission.
#[derive(Clone, Debug, Default)]
pub struct Permission {
    listing: Listing,
    confirmed_until: Option<Instant>,
    bars: HashMap<ServiceName, Bar>,
    /// When it was admitted again after its permission had run out.
    regained_at: Option<Instant>,
}

impl Permission {
    /// The store confirmed a renewal that was sent at a moment. A node without a
    /// permission has none before [`Permission::admit`].
    pub fn record_renewal(&mut self, sent_at: Instant, now: Instant) -> RenewalOutcome {
        if !self.is_valid(now) {
            return RenewalOutcome::NeedsAdmission;
        }
        self.listing.record_renewal(sent_at);
        RenewalOutcome::Continued
    }

    /// The node is listed by a renewal that was sent at a moment, and has read which
    /// leases are claimed since.
    pub fn admit(&mut self, sent_at: Instant, claims: &[RecentClaim], now: Instant) {
        if self.listing.renewed_at().is_some() {
            self.regained_at = Some(now);
        }
        self.listing.record_renewal(sent_at);
        for claim in claims.iter().filter(|claim| claim.may_take_effect()) {
            let Some(successor) = claim.successor.clone() else {
                continue;
            };
            let until = now + (CLAIM_EFFECT_PERIOD - claim.age);
            self.bars
                .insert(claim.service.clone(), Bar { until, successor });
        }
    }

    /// Enough of the nodes that this one knows confirmed, to a question that was sent at
    /// a moment, that they have agreed to no replacement. A permission that had
    /// run out by then does not come back.
    pub fn record_confirmation(&mut self, asked_at: Instant) {
        let Some(renewed_at) = self.listing.renewed_at() else {
            return;
        };
        if !self.is_valid(asked_at) {
            return;
        }
        let until = (asked_at + CONFIRMATION_VALIDITY).min(renewed_at + LONGEST_UNLISTED);
        self.confirmed_until = self.confirmed_until.max(Some(until));
    }

    /// Until when the node may go on; `None` if it never might.
    pub fn valid_until(&self) -> Option<Instant> {
        self.listing.valid_until().max(self.confirmed_until)
    }

    /// Whether the node may speak for primaries at a moment.
    pub fn is_valid(&self, moment: Instant) -> bool {
        self.valid_until().is_some_and(|until| moment < until)
    }

    /// Whether the node may speak at a moment for an instance as the primary of a
    /// service. `directory_as_of` is the last moment as of which it knows the instances:
    /// what was replaced while it had no permission, or was barred, it has to have heard.
    pub fn may_acknowledge_for(
        &self,
        service: &str,
        instance: &InstanceId,
        moment: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let has_heard = |since: Instant| directory_as_of.is_some_and(|as_of| as_of >= since);
        let is_over = |bar: &Bar| moment >= bar.until && has_heard(bar.until);
        let bar = self.bars.get(service);
        let is_barred = bar.is_some_and(|bar| !is_over(bar) && bar.successor != *instance);
        let knows_what_it_missed = self.regained_at.is_none_or(has_heard);
        self.is_valid(moment) && knows_what_it_missed && !is_barred
    }

    /// Whether the node is to have others confirm that it may go on.
    pub fn needs_confirmation(&self, now: Instant) -> bool {
        let is_old = |renewed_at: Instant| now >= renewed_at + CONFIRMATION_START_AGE;
        self.is_valid(now) && self.listing.renewed_at().is_some_and(is_old)
    }

    /// What the node knows of its own registration.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }
}

/// What a node has agreed to lately, as far as permissions go.
#[derive(Clone, Debug, Default)]
pub struct Consents {
    /// What was asked for, and when the node agreed to each question, by its number.
    agreed: HashMap<String, HashMap<u64, Instant>>,
}

impl Consents {
    /// The node agreed to a replacement. `subject` tells of what, in the words of the
    /// question, which are the same at all nodes.
    pub fn agree(&mut self, subject: &str, question: u64, now: Instant) {
        self.forget(now);
        let questions = self.agreed.entry(subject.to_owned()).or_default();
        questions.insert(question, now);
    }

    /// Whoever asked a question orders nothing.
    pub fn release(&mut self, question: u64) {
        self.keep(|number, _| number != question);
    }

    /// What the node has agreed to lately.
    pub fn recent(&mut self, now: Instant) -> Vec<String> {
        self.forget(now);
        self.agreed.keys().cloned().collect()
    }

    /// Whether this node knows of all that another has agreed to: it agreed as well, so
    /// it speaks for nothing that is replaced.
    pub fn include_all(&mut self, others: &[String], now: Instant) -> bool {
        self.forget(now);
        others
            .iter()
            .all(|subject| self.agreed.contains_key(subject))
    }

    fn forget(&mut self, now: Instant) {
        self.keep(|_, agreed_at| now < agreed_at + CONSENT_RETENTION);
    }

    fn keep(&mut self, is_kept: impl Fn(u64, Instant) -> bool) {
        for questions in self.agreed.values_mut() {
            questions.retain(|number, agreed_at| is_kept(*number, *agreed_at));
        }
        self.agreed.retain(|_, questions| !questions.is_empty());
    }
}

/// One in so many nodes may be missing where a node goes on by confirmations. Fewer may
/// be missing than with majorities, so that a replacement needs few of the nodes that
/// are left: any number may be lost at once.
const PART: usize = 4;
/// Smallest fleet whose nodes go on by confirmations: in a smaller one, a single node
/// that joins would be enough to replace a primary.
const LEAST_CONFIRMED_FLEET: usize = 3;

/// Nodes, the one that asks included, that have to confirm that it may go on; `None`
/// where confirmations do not count.
pub fn confirmations_needed(nodes: usize) -> Option<usize> {
    (nodes >= LEAST_CONFIRMED_FLEET).then(|| nodes - nodes / PART)
}

/// Sizes of the fleet that a node saw lately. Nodes that it sees no more may still count
/// for others, so that confirmations are counted over the largest.
#[derive(Clone, Debug, Default)]
pub struct FleetSizes {
    /// Sizes, and until when each counts; falling.
    sizes: Vec<(usize, Instant)>,
}

impl FleetSizes {
    /// The node sees so many nodes.
    pub fn record(&mut self, size: usize, now: Instant) {
        self.sizes
            .retain(|(known, until)| now < *until && *known > size);
        self.sizes
            .push((size, now + ROW_EXPIRY + EXPIRED_NODE_PERIOD));
    }

    /// The most that it saw as long as they may count.
    pub fn largest(&self, now: Instant) -> usize {
        let sizes = self.sizes.iter().filter(|(_, until)| now < *until);
        sizes.map(|(size, _)| *size).max().unwrap_or(0)
    }
}

/// Nodes, the one that asks included, that have to agree to a replacement, of all that
/// were listed lately.
pub fn agreements_needed(nodes: usize) -> usize {
    nodes / PART + 1
}

// A node that goes on by confirmations alone stops while others still count it.
const _: () = assert!(
    LONGEST_UNLISTED.as_millis() + LISTING_MARGIN.as_millis()
        <= ROW_EXPIRY.as_millis() + EXPIRED_NODE_PERIOD.as_millis()
);
