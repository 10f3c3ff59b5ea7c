//! This node's permission to speak for primaries, and what it has agreed to.

use std::sync::Mutex;
use std::time::Instant;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::permission::{Consents, Permission, RecentClaim, RenewalOutcome};
use linkhold_events::Event;
use linkhold_peer::{QuestionSubject, milliseconds};

use crate::cluster_state::lock;

/// This node's permission to speak for primaries, and what it has agreed to.
#[derive(Debug, Default)]
pub(crate) struct OwnPermission {
    permission: Mutex<Permission>,
    consents: Mutex<Consents>,
}

impl OwnPermission {
    /// The store confirmed a renewal that was sent at a moment.
    pub fn renewed(&self, sent_at: Instant) -> RenewalOutcome {
        lock(&self.permission).record_renewal(sent_at, Instant::now())
    }

    /// This node was listed by a renewal that was sent at a moment, and has learnt
    /// which leases were claimed by then.
    pub fn admitted(&self, sent_at: Instant, claims: &[RecentClaim]) {
        let now = Instant::now();
        let mut permission = lock(&self.permission);
        let held = permission.is_valid(now);
        let age = age_ms(&permission, now);
        permission.admit(sent_at, claims, now);
        if !held {
            Event::info("permission_gained")
                .field("sent_ms_ago", sent_at.elapsed().as_millis())
                .field("renewed_ms_ago", told_age(age))
                .field("claims", claims.len())
                .log();
        }
    }

    /// Enough nodes confirmed that this node may go on, to a question that was sent at a
    /// moment, and has agreed to nothing but `agreed`.
    pub fn confirmed(&self, asked_at: Instant, agreed: &[String]) {
        if self.knows(agreed) {
            lock(&self.permission).record_confirmation(asked_at);
        }
    }

    /// Whether this node may speak for an instance as a primary at a moment.
    pub fn covers(
        &self,
        instance: &Instance,
        moment: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let permission = lock(&self.permission);
        permission.may_acknowledge_for(&instance.service, &instance.id, moment, directory_as_of)
    }

    /// Whether this node may speak for primaries at all.
    pub fn holds(&self) -> bool {
        lock(&self.permission).is_valid(Instant::now())
    }

    /// Whether this node is to have others confirm that it may go on.
    pub fn needs_confirmation(&self) -> bool {
        lock(&self.permission).needs_confirmation(Instant::now())
    }

    /// This node agrees to a replacement, to a question with a number.
    pub fn agree(&self, subject: &QuestionSubject, question: u64) {
        lock(&self.consents).agree(&subject.to_string(), question, Instant::now());
    }

    /// Whoever asked a question orders nothing.
    pub fn release(&self, question: u64) {
        lock(&self.consents).release(question);
    }

    /// Another process has this node's name: it is asked in this one's place.
    pub fn revoke(&self) {
        *lock(&self.permission) = Permission::default();
    }

    /// What this node has agreed to lately, told to one that relies on it; `None` if
    /// this node may not speak for primaries itself.
    pub fn confirm(&self) -> Option<Vec<String>> {
        self.holds().then(|| self.agreed())
    }

    /// What this node has agreed to lately.
    pub fn agreed(&self) -> Vec<String> {
        lock(&self.consents).recent(Instant::now())
    }

    /// Whether this node has agreed to all that others have.
    pub fn knows(&self, agreed: &[String]) -> bool {
        lock(&self.consents).include_all(agreed, Instant::now())
    }

    /// How long ago the last renewal that the store confirmed was sent, in whole
    /// milliseconds; `None` if none was.
    pub fn age_ms(&self) -> Option<u64> {
        age_ms(&lock(&self.permission), Instant::now())
    }

    /// The same for the log.
    pub fn told_age(&self) -> String {
        told_age(self.age_ms())
    }
}

fn age_ms(permission: &Permission, now: Instant) -> Option<u64> {
    let renewed_at = permission.listing().renewed_at();
    let age = renewed_at.map(|at| now.saturating_duration_since(at));
    age.map(milliseconds)
}

fn told_age(age_ms: Option<u64>) -> String {
    age_ms.map_or_else(|| "never".to_owned(), |age| age.to_string())
}
