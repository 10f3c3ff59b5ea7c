//! Proofs that primaries lead, one round of questions about a service at a time.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;

use crate::cluster_state::lock;
use crate::request::attempt::NotRunCause;

/// How long a round in which the primary told nothing counts: each asks all instances of the
/// service, which may have no connection left.
const SILENCE_LIFE: Duration = Duration::from_millis(250);

/// A round in which the primary told nothing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredVerification {
    ended_at: Instant,
    cause: NotRunCause,
}

impl UnansweredVerification {
    /// A round has just ended; why nothing may be sent to the primary.
    pub fn ended(cause: NotRunCause) -> Self {
        Self {
            ended_at: Instant::now(),
            cause,
        }
    }

    /// Why nothing may be sent to the primary, unless it is time for another round.
    pub fn present_cause(&self) -> Option<NotRunCause> {
        (self.ended_at.elapsed() < SILENCE_LIFE).then_some(self.cause)
    }
}

/// A round of questions about a service, which one task at a time holds, and the last one in
/// which the primary told nothing.
type Turn = Arc<tokio::sync::Mutex<Option<UnansweredVerification>>>;

/// One round of questions about a service at a time.
#[derive(Debug, Default)]
pub(crate) struct PrimaryVerifications(Mutex<HashMap<ServiceName, Turn>>);

impl PrimaryVerifications {
    /// What a round about a service holds while it lasts.
    pub fn turn(&self, service: &ServiceName) -> Turn {
        lock(&self.0).entry(service.clone()).or_default().clone()
    }
}
