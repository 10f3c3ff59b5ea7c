//! What a node agrees to when another one is about to replace a primary that
//! neither of them reaches.
//!
//! A primary that is cut off goes on committing until it hears of its
//! successor. A node whose way to it comes back in between would acknowledge
//! commits that the successor lacks. So whoever orders a promotion first has
//! every node agree to acknowledge nothing of the old primary for a while.
//!
//! # Invariant
//!
//! An order goes out less than [`ORDER_WINDOW`] after the question that all
//! nodes agreed to was sent. That is shorter than [`WITHHOLDING`] by more than
//! an order takes, and each node counts from when it answered, which is later.
//! After that time, a node that has heard of no successor goes on only once it
//! knows the list of instances as of a moment at which one would have been in it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::instance::InstanceId;

/// How long a node acknowledges nothing of an instance after it agreed.
pub const WITHHOLDING: Duration = Duration::from_millis(2_500);
/// How soon after it asked the others a node must have ordered the promotion.
pub const ORDER_WINDOW: Duration = Duration::from_millis(1_000);
/// How long a failed try to reach an instance is as good as a new one for a
/// node that agrees to withhold.
pub const RECENT_FAILURE: Duration = Duration::from_millis(1_500);

/// How long after it leads a successor's entry says so, at the most: it is written at
/// once, and a write takes no longer.
const ANNOUNCEMENT: Duration = Duration::from_millis(500);
/// How long an agreement is remembered of whose outcome nothing is heard: an instance
/// is forgotten before that.
const MEMORY: Duration = Duration::from_secs(600);

/// Instances of which a node acknowledges nothing for now.
#[derive(Debug, Default)]
pub struct Withholdings {
    agreed_at: HashMap<InstanceId, Instant>,
}

impl Withholdings {
    /// The node agrees to acknowledge nothing of an instance.
    pub fn agree(&mut self, id: &InstanceId, now: Instant) {
        self.agreed_at
            .retain(|_, agreed_at| now < *agreed_at + MEMORY);
        self.agreed_at.insert(id.clone(), now);
    }

    /// Whether this holds for any instance.
    pub fn holds_any(&self, now: Instant, directory_as_of: Option<Instant>) -> bool {
        let mut ids = self.agreed_at.keys();
        ids.any(|id| self.holds(id, now, directory_as_of))
    }

    /// Whether nothing of an instance may be acknowledged. `directory_as_of` is the last
    /// moment as of which the list of instances is known.
    pub fn holds(&self, id: &InstanceId, now: Instant, directory_as_of: Option<Instant>) -> bool {
        let Some(agreed_at) = self.agreed_at.get(id) else {
            return false;
        };
        let over = *agreed_at + WITHHOLDING;
        let would_know = directory_as_of.is_some_and(|as_of| as_of >= over + ANNOUNCEMENT);
        now < over || !would_know
    }
}
