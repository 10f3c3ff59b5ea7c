//! Whether a node has permission to acknowledge writes and serve strict reads for
//! primaries, that is, to take a primary's answer as proof of how far its log has come.
//!
//! A node that replaces a primary first needs the agreement of every node that the
//! store lists, and of more than a quarter of those that it listed up to
//! [`EXPIRED_NODE_PERIOD`] ago. A node that is no longer listed may not be asked, so it
//! has to stop by itself before the others may leave it out. It goes on as long as one
//! of these holds:
//!
//! * the store confirmed a renewal of its registration that was sent less than
//!   [`LISTING_VALIDITY`] ago;
//! * three quarters of the nodes that it knows, which have a permission themselves,
//!   confirmed less than [`CONFIRMATION_VALIDITY`] ago that they have agreed to no
//!   replacement which this node does not know, and such confirmations have followed
//!   its last renewal without a gap. So a store outage that affects all nodes does not
//!   stop the fleet at once.
//!
//! # Invariants
//!
//! * All times count from before the question or renewal was sent, by the node's own
//!   steady clock. A process that was paused therefore has an older permission, never a
//!   younger one.
//! * A node that replaces a primary lists the nodes after it has claimed the service's
//!   lease. A node that joins or returns reads the leases after it was listed: either
//!   it is asked, or it sees the claim and waits for [`CLAIM_EFFECT_PERIOD`].
//! * A node that agreed to a replacement reports so for [`CONSENT_RETENTION`], longer
//!   than a gap in others' confirmations may be. A confirming node has a permission, so
//!   it still counts for the quarter that has to agree to a replacement; three quarters
//!   and more than a quarter of the same nodes share one. So a node that relies on
//!   confirmations and was not asked has stopped [`CONFIRMATION_VALIDITY`] after enough
//!   nodes agreed; a replacement that leaves out silent nodes waits for that.
//!
//! Nodes that joined after a node lost the store are not among the nodes that it knows.
//! The last invariant therefore assumes that fewer than a quarter of the nodes join
//! within [`EXPIRED_NODE_PERIOD`].

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::configuration::ServiceName;
use super::failover::{LATEST_ORDER_AGE, MAX_ORDER_DELAY, PROMOTION_TIME};
use super::instance::InstanceId;
use super::listing::{LISTING_MARGIN, LISTING_VALIDITY, Listing};
use super::readers::ROW_EXPIRY;
use crate::recent_maximum::RecentMaximum;

/// How long after its row has expired a node is still asked before a primary is
/// replaced, and counts for the quarter that has to agree.
pub const EXPIRED_NODE_PERIOD: Duration = Duration::from_secs(30);
/// How long confirmations permit a node to go on. Renewals of followers, their reader's
/// questions and the answers to these follow each other within it.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(3_000);
/// How long a node reports a replacement that it agreed to: four times as long as a
/// permission lasts that rests on confirmations, so that no node can miss it.
pub const CONSENT_RETENTION: Duration = CONFIRMATION_VALIDITY.saturating_mul(4);
/// How long after its last renewal a node may go on by confirmations alone. Others
/// count it a little longer.
const MAX_UNLISTED_PERIOD: Duration = LISTING_VALIDITY.saturating_add(EXPIRED_NODE_PERIOD);
/// Age of a renewal from which a node asks others to confirm that it may go on.
pub const CONFIRMATION_START_AGE: Duration = Duration::from_millis(8_000);
/// How long after a lease was claimed a promotion under it may take effect: an order is
/// sent within the lease, is carried out late, and takes the platform's time; and half a
/// second of margin.
pub const CLAIM_EFFECT_PERIOD: Duration = LATEST_ORDER_AGE
    .saturating_add(MAX_ORDER_DELAY)
    .saturating_add(PROMOTION_TIME)
    .saturating_add(Duration::from_millis(500));

/// A claim of a service's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecentClaim {
    /// The service.
    pub service: ServiceName,
    /// The instance to be promoted; `None` if the lease was only claimed in advance.
    pub successor: Option<InstanceId>,
    /// How long ago the claim was made.
    pub age: Duration,
}

impl RecentClaim {
    /// Whether a promotion under this claim may still take effect.
    pub fn may_take_effect(&self) -> bool {
        self.successor.is_some() && self.age < CLAIM_EFFECT_PERIOD
    }
}

/// A possible replacement of a service's primary to which this node did not agree.
#[derive(Clone, Debug)]
struct PendingReplacement {
    until: Instant,
    /// The instance that takes over. Once it is known to be primary, the replacement is
    /// over.
    successor: InstanceId,
}

/// Result of a confirmed renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The permission continues.
    Continued,
    /// The node had no permission and has to read the leases before it gets one.
    NeedsAdmission,
}

/// A node's permission to acknowledge for primaries.
#[derive(Clone, Debug, Default)]
pub struct Permission {
    listing: Listing,
    confirmed_until: Option<Instant>,
    pending_replacements: HashMap<ServiceName, PendingReplacement>,
    /// When the node was admitted again after its permission had run out.
    readmitted_at: Option<Instant>,
}

impl Permission {
    /// Records that the store confirmed a renewal that was sent at `sent_at`. A node
    /// without a permission gets none before [`Permission::admit`].
    pub fn record_renewal(&mut self, sent_at: Instant, now: Instant) -> RenewalOutcome {
        if !self.is_valid(now) {
            return RenewalOutcome::NeedsAdmission;
        }
        self.listing.record_renewal(sent_at);
        RenewalOutcome::Continued
    }

    /// Admits a node that is listed by a renewal sent at `sent_at` and has read the
    /// leases claimed since then.
    pub fn admit(&mut self, sent_at: Instant, claims: &[RecentClaim], now: Instant) {
        if self.listing.renewed_at().is_some() {
            self.readmitted_at = Some(now);
        }
        self.listing.record_renewal(sent_at);
        for claim in claims.iter().filter(|claim| claim.may_take_effect()) {
            let Some(successor) = claim.successor.clone() else {
                continue;
            };
            let until = now + (CLAIM_EFFECT_PERIOD - claim.age);
            self.pending_replacements.insert(
                claim.service.clone(),
                PendingReplacement { until, successor },
            );
        }
    }

    /// Records that enough of the known nodes confirmed, in answer to a question sent
    /// at `asked_at`, that they have agreed to no replacement. A permission that had
    /// run out by then is not restored.
    pub fn record_confirmation(&mut self, asked_at: Instant) {
        let Some(renewed_at) = self.listing.renewed_at() else {
            return;
        };
        if !self.is_valid(asked_at) {
            return;
        }
        let until = (asked_at + CONFIRMATION_VALIDITY).min(renewed_at + MAX_UNLISTED_PERIOD);
        self.confirmed_until = self.confirmed_until.max(Some(until));
    }

    /// End of the permission; `None` if the node never had one.
    pub fn valid_until(&self) -> Option<Instant> {
        self.listing.valid_until().max(self.confirmed_until)
    }

    /// Whether the node may acknowledge for primaries at a moment.
    pub fn is_valid(&self, moment: Instant) -> bool {
        self.valid_until().is_some_and(|until| moment < until)
    }

    /// Whether the node may acknowledge at a moment for an instance as the primary of a
    /// service. `directory_as_of` is the latest moment for which it knows the
    /// instances. It has to cover the moment of readmission and the end of a pending
    /// replacement, so that the node knows which primaries were replaced in the
    /// meantime.
    pub fn may_acknowledge_for(
        &self,
        service: &str,
        instance: &InstanceId,
        moment: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let is_known_since = |since: Instant| directory_as_of.is_some_and(|as_of| as_of >= since);
        let is_over =
            |pending: &PendingReplacement| moment >= pending.until && is_known_since(pending.until);
        let pending = self.pending_replacements.get(service);
        let is_replacement_pending =
            pending.is_some_and(|pending| !is_over(pending) && pending.successor != *instance);
        let knows_missed_changes = self.readmitted_at.is_none_or(is_known_since);
        self.is_valid(moment) && knows_missed_changes && !is_replacement_pending
    }

    /// Whether the node has to ask others to confirm that it may go on.
    pub fn needs_confirmation(&self, now: Instant) -> bool {
        let is_old = |renewed_at: Instant| now >= renewed_at + CONFIRMATION_START_AGE;
        self.is_valid(now) && self.listing.renewed_at().is_some_and(is_old)
    }

    /// The node's knowledge of its own listing.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }
}

/// Replacements that a node has recently agreed to.
#[derive(Clone, Debug, Default)]
pub struct Consents {
    /// When the node agreed to each question, by subject and by the question's number.
    agreed: HashMap<String, HashMap<u64, Instant>>,
}

impl Consents {
    /// Records that the node agreed to a replacement. `subject` is what is replaced, as
    /// the question names it; all nodes use the same text.
    pub fn agree(&mut self, subject: &str, question: u64, now: Instant) {
        self.drop_expired(now);
        let questions = self.agreed.entry(subject.to_owned()).or_default();
        questions.insert(question, now);
    }

    /// Removes the consent to a question whose sender orders no promotion.
    pub fn release(&mut self, question: u64) {
        self.retain(|number, _| number != question);
    }

    /// Subjects that the node has recently agreed to.
    pub fn recent(&mut self, now: Instant) -> Vec<String> {
        self.drop_expired(now);
        self.agreed.keys().cloned().collect()
    }

    /// Whether this node has also agreed to all subjects that another node has agreed
    /// to, so that it acknowledges for nothing that is being replaced.
    pub fn include_all(&mut self, others: &[String], now: Instant) -> bool {
        self.drop_expired(now);
        others
            .iter()
            .all(|subject| self.agreed.contains_key(subject))
    }

    fn drop_expired(&mut self, now: Instant) {
        self.retain(|_, agreed_at| now < agreed_at + CONSENT_RETENTION);
    }

    fn retain(&mut self, is_kept: impl Fn(u64, Instant) -> bool) {
        for questions in self.agreed.values_mut() {
            questions.retain(|number, agreed_at| is_kept(*number, *agreed_at));
        }
        self.agreed.retain(|_, questions| !questions.is_empty());
    }
}

/// One node in this many may be missing where a node keeps its permission by
/// confirmations. Fewer may be missing than with majorities, so that a replacement needs
/// few of the remaining nodes: any number of nodes may be lost at once.
const QUORUM_DIVISOR: usize = 4;
/// Smallest fleet whose nodes keep their permission by confirmations. In a smaller fleet, a single
/// joining node would be enough to replace a primary.
const MIN_FLEET_FOR_CONFIRMATIONS: usize = 3;

/// Nodes, including the asking one, that have to confirm that it may go on; `None`
/// where confirmations do not count.
pub fn confirmations_needed(nodes: usize) -> Option<usize> {
    (nodes >= MIN_FLEET_FOR_CONFIRMATIONS).then(|| nodes - nodes / QUORUM_DIVISOR)
}

/// Fleet sizes that a node saw recently. Nodes that it no longer sees may still count for
/// others, so confirmations are counted against the largest size.
#[derive(Clone, Debug, Default)]
pub struct FleetSizes(RecentMaximum);

impl FleetSizes {
    /// Records the current size of the fleet.
    pub fn record(&mut self, size: usize, now: Instant) {
        self.0.record(size, now, ROW_EXPIRY + EXPIRED_NODE_PERIOD);
    }

    /// The largest recorded size that still counts.
    pub fn largest(&self, now: Instant) -> usize {
        self.0.largest(now)
    }
}

/// Nodes, including the asking one, that have to agree to a replacement, out of `nodes`
/// that were listed recently.
pub fn agreements_needed(nodes: usize) -> usize {
    nodes / QUORUM_DIVISOR + 1
}

// A node that keeps its permission by confirmations alone loses it while others still
// count the node.
const _: () = assert!(
    MAX_UNLISTED_PERIOD.as_millis() + LISTING_MARGIN.as_millis()
        <= ROW_EXPIRY.as_millis() + EXPIRED_NODE_PERIOD.as_millis()
);
