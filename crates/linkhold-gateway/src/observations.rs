//! Records failures, refusals and timeouts of instances.

use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;

use crate::gateway::Gateway;
use crate::ports::{BackendErrorKind, ConnectError, Platform};

impl<P: Platform> Gateway<P> {
    /// Records that a connection to an instance could not be made.
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

    /// Records that a connection broke. The instance may still be healthy; the next
    /// attempt to connect will show. A primary is checked at once.
    pub(crate) fn connection_lost(&self, instance: &Instance) {
        self.warm_ups.suspect_restart(&instance.id);
        let is_primary = self
            .cluster
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        if is_primary {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// Records that an instance refused a statement.
    pub(crate) fn note_refusal(&self, instance: &Instance, kind: BackendErrorKind) {
        /// Time for which an instance without free capacity gets no statements.
        const BUSY_PAUSE: Duration = Duration::from_millis(40);
        let now = Instant::now();
        match kind {
            BackendErrorKind::ReadOnly => self.record_primary_denial(instance),
            BackendErrorKind::Busy | BackendErrorKind::TooManyConnections => self
                .cluster
                .update_health(&instance.id, |health| health.record_busy(now, BUSY_PAUSE)),
            BackendErrorKind::Lagging => self
                .cluster
                .update_health(&instance.id, |health| health.record_lag(now)),
            BackendErrorKind::WrongInstance => {
                self.record_instance_failure(instance, "address_used_by_another");
            }
            BackendErrorKind::UnknownPrepared
            | BackendErrorKind::Aborted
            | BackendErrorKind::Ran => {}
        }
    }

    /// Records that a statement got no answer in time.
    pub(crate) fn statement_timed_out(&self, instance: &Instance, sent_at: Instant) {
        if !self.answered_since(instance, sent_at) {
            self.record_instance_failure(instance, "silent");
        }
    }

    /// Starts a check of a primary if a statement has waited unusually long for it and it
    /// has answered nothing since.
    pub(crate) fn suspect_if_primary_is_silent(&self, instance: &Instance, sent_at: Instant) {
        let is_primary = self
            .cluster
            .primary(&instance.service)
            .is_some_and(|primary| primary.id == instance.id);
        if is_primary && !self.answered_since(instance, sent_at) {
            self.suspected_primaries.add(&instance.service);
        }
    }

    /// Whether an instance has recently answered on any connection. If it has, a
    /// connection that it closed at once exceeded its limit.
    pub(crate) fn answered_lately(&self, instance: &Instance) -> bool {
        /// Time for which an answer shows that an instance is up.
        const ALIVE_TIME: Duration = Duration::from_millis(600);
        Instant::now()
            .checked_sub(ALIVE_TIME)
            .is_some_and(|moment| self.answered_since(instance, moment))
    }

    /// Whether an instance has answered on any connection since a moment.
    pub(crate) fn answered_since(&self, instance: &Instance, moment: Instant) -> bool {
        self.cluster
            .read_health(&instance.id, |health| health.last_success())
            .flatten()
            .is_some_and(|at| at >= moment)
    }
}
