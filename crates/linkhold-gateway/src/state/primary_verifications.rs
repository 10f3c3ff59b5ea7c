//! Verifications of primaries, one at a time for each service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::ServiceName;

use crate::cluster_state::lock;
use crate::request::attempt::NotRunCause;

/// Time before a verification that the primary did not answer is repeated: each asks
/// all instances of the service, which may have no connection left.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// A verification that the primary did not answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredVerification {
    ended_at: Instant,
    cause: NotRunCause,
}

impl UnansweredVerification {
    /// Records a verification that has just ended, and why nothing may be sent to the
    /// primary.
    pub fn ended(cause: NotRunCause) -> Self {
        Self {
            ended_at: Instant::now(),
            cause,
        }
    }

    /// Why nothing may be sent to the primary; `None` if it is time for another
    /// verification.
    pub fn current_cause(&self) -> Option<NotRunCause> {
        (self.ended_at.elapsed() < RETRY_PAUSE).then_some(self.cause)
    }
}

/// Lock that a task holds while it verifies a service's primary, with the last
/// verification that the primary did not answer.
type VerificationSlot = Arc<tokio::sync::Mutex<Option<UnansweredVerification>>>;

/// Limits verifications of primaries to one at a time for each service.
#[derive(Debug, Default)]
pub(crate) struct PrimaryVerifications(Mutex<HashMap<ServiceName, VerificationSlot>>);

impl PrimaryVerifications {
    /// The slot to lock while a service's primary is verified.
    pub fn slot(&self, service: &ServiceName) -> VerificationSlot {
        lock(&self.0).entry(service.clone()).or_default().clone()
    }
}
