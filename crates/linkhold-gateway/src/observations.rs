//! What a node takes note of when an instance fails, refuses or keeps silent.

use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;

use crate::gateway::Gateway;
use crate::ports::{BackendErrorKind, ConnectError, Platform};

impl<P: Platform> Gateway<P> {
    /// A connection to an instance could not be made.
    pub(crate) fn connect_failed(&self, instance: &Instance, error: ConnectError) {
        match error {
            ConnectError::Unreachable => self.record_instance_failure(instance, "unreachable"),
            ConnectError::WrongInstance => {
                self.record_instance_failure(instance, "address_used_by_another");
            }
            ConnectError::Closed if !self.answered_lately(instance) => {
                self.record_instance_failure(instance, "closed_at_once");
            }
            ConnectError::Rejected | ConnectError::Closed => {
                self.note_refusal(instance, BackendErrorKind::TooManyConnections);
            }
        }
    }

    /// A connection broke. Its instance may still be well; the next attempt to
    /// connect tells. A primary is looked at right away.
    pub(crate) fn connection_lost(&self, instance: &Instance) {
        self.warm_ups.doubted(&instance.id);
        let is_primary = self
            .beliefs
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        if is_primary {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// An instance refused a statement.
    pub(crate) fn note_refusal(&self, instance: &Instance, kind: BackendErrorKind) {
        /// How long an instance without room is passed over.
        const BUSY_PAUSE: Duration = Duration::from_millis(40);
        let now = Instant::now();
        match kind {
            BackendErrorKind::ReadOnly => self.record_primary_denial(instance),
            BackendErrorKind::Busy | BackendErrorKind::TooManyConnections => self
                .beliefs
                .observe(&instance.id, |health| health.was_busy(now, BUSY_PAUSE)),
            BackendErrorKind::Lagging => self
                .beliefs
                .observe(&instance.id, |health| health.lagged(now)),
            BackendErrorKind::WrongInstance => {
                self.record_instance_failure(instance, "address_used_by_another");
            }
            BackendErrorKind::UnknownPrepared
            | BackendErrorKind::Aborted
            | BackendErrorKind::Ran => {}
        }
    }

    /// A statement got no answer in time.
    pub(crate) fn instance_silent(&self, instance: &Instance, sent_at: Instant) {
        if !self.answered_since(instance, sent_at) {
            self.record_instance_failure(instance, "silent");
        }
    }

    /// A statement has waited unusually long.
    pub(crate) fn look_at_silent(&self, instance: &Instance, sent_at: Instant) {
        let is_primary = self
            .beliefs
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        if is_primary && !self.answered_since(instance, sent_at) {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// Whether an instance has answered on some connection a moment ago, so
    /// that one it closed at once was one too many.
    pub(crate) fn answered_lately(&self, instance: &Instance) -> bool {
        /// How long an answer tells that an instance lives.
        const ALIVE_TIME: Duration = Duration::from_millis(600);
        Instant::now()
            .checked_sub(ALIVE_TIME)
            .is_some_and(|moment| self.answered_since(instance, moment))
    }

    /// Whether an instance has answered on some connection since a moment.
    pub(crate) fn answered_since(&self, instance: &Instance, moment: Instant) -> bool {
        self.beliefs
            .inspect(&instance.id, |health| health.last_success())
            .flatten()
            .is_some_and(|at| at >= moment)
    }
}
