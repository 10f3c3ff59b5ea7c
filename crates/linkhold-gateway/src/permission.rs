//! This node's permission to speak for primaries, and what it has agreed to.

use std::sync::Mutex;
use std::time::Instant;

use linkhold_core::service::instance::Instance;
use linkhold_core::service::permission::{Consents, Permission, RecentClaim, Renewed};
use linkhold_events::Event;
use linkhold_peer::{QuestionSubject, milliseconds};

use crate::beliefs::lock;

/// This node's permission to speak for primaries, and what it has agreed to.
#[derive(Debug, Default)]
pub(crate) struct OwnPermission {
    permission: Mutex<Permission>,
    consents: Mutex<Consents>,
}

impl OwnPermission {
    /// The store confirmed a renewal that was sent at a moment.
    pub fn record_renewal(&self, sent_at: Instant) -> Renewed {
        lock(&self.permission).renewed(sent_at, Instant::now())
    }

    /// This node was listed by a renewal that was sent at a moment, and has learnt
    /// which leases were claimed by then.
    pub fn record_admission(&self, sent_at: Instant, claims: &[RecentClaim]) {
        let now = Instant::now();
        let mut permission = lock(&self.permission);
        let held = permission.holds(now);
        let age = age_ms(&permission, now);
        permission.admitted(sent_at, claims, now);
        if !held {
            Event::info("permission_gained")
                .field("sent_ms_ago", sent_at.elapsed().as_millis())
                .field("renewed_ms_ago", logged_age(age))
                .field("claims", claims.len())
                .log();
        }
    }

    /// Enough nodes confirmed that this node may go on, to a question that was sent at a
    /// moment, and has agreed to nothing but `agreed`.
    pub fn record_confirmation(&self, asked_at: Instant, agreed: &[String]) {
        if self.has_agreed_to_all(agreed) {
            lock(&self.permission).confirmed(asked_at);
        }
    }

    /// Whether this node may speak for an instance as a primary at a moment.
    pub fn may_acknowledge_for(
        &self,
        instance: &Instance,
        moment: Instant,
        directory_as_of: Option<Instant>,
    ) -> bool {
        let permission = lock(&self.permission);
        permission.covers(&instance.service, &instance.id, moment, directory_as_of)
    }

    /// Whether this node may speak for primaries at all.
    pub fn is_held(&self) -> bool {
        lock(&self.permission).holds(Instant::now())
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
    pub fn agreed_if_held(&self) -> Option<Vec<String>> {
        self.is_held().then(|| self.agreed())
    }

    /// What this node has agreed to lately.
    pub fn agreed(&self) -> Vec<String> {
        lock(&self.consents).recent(Instant::now())
    }

    /// Whether this node has agreed to all that others have.
    pub fn has_agreed_to_all(&self, agreed: &[String]) -> bool {
        lock(&self.consents).include(agreed, Instant::now())
    }

    /// How long ago the last renewal that the store confirmed was sent, in whole
    /// milliseconds; `None` if none was.
    pub fn age_ms(&self) -> Option<u64> {
        age_ms(&lock(&self.permission), Instant::now())
    }

    /// The same for the log.
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
