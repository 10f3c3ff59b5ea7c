//! This node's permission to acknowledge for primaries, and the replacements it agreed to.

use std::sync::Mutex;
use std::time::Instant;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::permission::{Consents, Permission, RecentClaim, RenewalOutcome};
use linkhold_events::Event;
use linkhold_peer::{QuestionSubject, milliseconds};

use crate::cluster_state::lock;

/// This node's permission to acknowledge writes and serve strict reads for primaries, and
/// the replacements that it agreed to.
#[derive(Debug, Default)]
pub(crate) struct OwnPermission {
    permission: Mutex<Permission>,
    consents: Mutex<Consents>,
}

impl OwnPermission {
    /// Records that the store confirmed a renewal sent at `sent_at`.
    pub fn record_renewal(&self, sent_at: Instant) -> RenewalOutcome {
        lock(&self.permission).record_renewal(sent_at, Instant::now())
    }

    /// Records that a renewal sent at `sent_at` listed this node, which then learnt which
    /// leases were claimed by that time.
    pub fn record_admission(&self, sent_at: Instant, claims: &[RecentClaim]) {
        let now = Instant::now();
        let mut permission = lock(&self.permission);
        let held = permission.is_valid(now);
        let age = age_ms(&permission, now);
        permission.admit(sent_at, claims, now);
        if !held {
            Event::info("permission_gained")
                .field("sent_ms_ago", sent_at.elapsed().as_millis())
                .field("renewed_ms_ago", logged_age(age))
                .field("claims", claims.len())
                .log();
        }
    }

    /// Records that enough nodes confirmed the permission, in answer to a question sent at
    /// `asked_at`, and agreed to no replacement but `agreed`. Ignored if this node has not
    /// agreed to all of these.
    pub fn record_confirmation(&self, asked_at: Instant, agreed: &[String]) {
        if self.has_agreed_to_all(agreed) {
            lock(&self.permission).record_confirmation(asked_at);
        }
    }

    /// Whether this node may acknowledge writes and serve strict reads for an instance as
    /// the primary at a moment.
    pub fn may_acknowledge_for(
        &self,
        instance: &Instance,
        moment: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let permission = lock(&self.permission);
        permission.may_acknowledge_for(&instance.service, &instance.id, moment, directory_as_of)
    }

    /// Whether this node holds a permission at present.
    pub fn is_held(&self) -> bool {
        lock(&self.permission).is_valid(Instant::now())
    }

    /// Whether this node needs others to confirm its permission.
    pub fn needs_confirmation(&self) -> bool {
        lock(&self.permission).needs_confirmation(Instant::now())
    }

    /// Records that this node agreed to a replacement in answer to a question.
    pub fn agree(&self, subject: &QuestionSubject, question: u64) {
        lock(&self.consents).agree(&subject.to_string(), question, Instant::now());
    }

    /// Withdraws the agreement to a question whose sender orders no replacement.
    pub fn release(&self, question: u64) {
        lock(&self.consents).release(question);
    }

    /// Revokes the permission: another process has this node's name and is asked in its
    /// place.
    pub fn revoke(&self) {
        *lock(&self.permission) = Permission::default();
    }

    /// The replacements this node agreed to recently, as a confirmation for another node;
    /// `None` if this node holds no permission itself.
    pub fn agreed_if_held(&self) -> Option<Vec<String>> {
        self.is_held().then(|| self.agreed())
    }

    /// The replacements this node agreed to recently.
    pub fn agreed(&self) -> Vec<String> {
        lock(&self.consents).recent(Instant::now())
    }

    /// Whether this node has agreed to all of these replacements too.
    pub fn has_agreed_to_all(&self, agreed: &[String]) -> bool {
        lock(&self.consents).include_all(agreed, Instant::now())
    }

    /// Time since the last renewal confirmed by the store was sent, in whole milliseconds;
    /// `None` if there was none.
    pub fn age_ms(&self) -> Option<u64> {
        age_ms(&lock(&self.permission), Instant::now())
    }

    /// [`Self::age_ms`] as it is logged; `never` if there was no renewal.
    pub fn logged_age(&self) -> String {
        logged_age(self.age_ms())
    }
}

fn age_ms(permission: &Permission, now: Instant) -> Option<u64> {
    let renewed_at = permission.listing().renewed_at();
    let age = renewed_at.map(|at| now.saturating_duration_since(at));
    age.map(milliseconds)
}

fn logged_age(age_ms: Option<u64>) -> String {
    age_ms.map_or_else(|| "never".to_owned(), |age| age.to_string())
}
